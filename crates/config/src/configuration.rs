//! All resources at one revision of the store; [`crate::validation`] has the rules that they must
//! meet together.

use std::collections::BTreeMap;

use tansyhall_core::{PolicyName, PoolName, ServiceName, SiteName, TenantName};

use crate::resource::{Policy, Pool, Resource, ResourceKey, ResourceKind, Service, Site, Tenant};

/// Every resource at one revision.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Configuration {
    /// The store's revision of the last change; zero before the first.
    pub revision: u64,
    /// Tenants by name.
    pub tenants: BTreeMap<TenantName, Tenant>,
    /// Policies by name.
    pub policies: BTreeMap<PolicyName, Policy>,
    /// Sites by name.
    pub sites: BTreeMap<SiteName, Site>,
    /// Services by name.
    pub services: BTreeMap<ServiceName, Service>,
    /// Pools by name.
    pub pools: BTreeMap<PoolName, Pool>,
}

impl Configuration {
    /// Adds or replaces a resource.
    pub fn put(&mut self, resource: Resource) {
        match resource {
            Resource::Tenant(tenant) => {
                self.tenants.insert(tenant.name.clone(), tenant);
            }
            Resource::Policy(policy) => {
                self.policies.insert(policy.name.clone(), policy);
            }
            Resource::Site(site) => {
                self.sites.insert(site.name.clone(), site);
            }
            Resource::Service(service) => {
                self.services.insert(service.name.clone(), service);
            }
            Resource::Pool(pool) => {
                self.pools.insert(pool.name.clone(), pool);
            }
        }
    }

    /// Removes a resource; says whether it was there.
    pub fn remove(&mut self, key: &ResourceKey) -> bool {
        let name = key.name.as_str();
        match key.kind {
            ResourceKind::Tenant => self.tenants.remove(&TenantName::from(name)).is_some(),
            ResourceKind::Policy => self.policies.remove(&PolicyName::from(name)).is_some(),
            ResourceKind::Site => self.sites.remove(&SiteName::from(name)).is_some(),
            ResourceKind::Service => self.services.remove(&ServiceName::from(name)).is_some(),
            ResourceKind::Pool => self.pools.remove(&PoolName::from(name)).is_some(),
        }
    }

    /// The resource with this key.
    pub fn get(&self, key: &ResourceKey) -> Option<Resource> {
        let name = key.name.as_str();
        match key.kind {
            ResourceKind::Tenant => find(&self.tenants, &name.into(), Resource::Tenant),
            ResourceKind::Policy => find(&self.policies, &name.into(), Resource::Policy),
            ResourceKind::Site => find(&self.sites, &name.into(), Resource::Site),
            ResourceKind::Service => find(&self.services, &name.into(), Resource::Service),
            ResourceKind::Pool => find(&self.pools, &name.into(), Resource::Pool),
        }
    }

    /// Every resource of a kind, in the order of names.
    pub fn list(&self, kind: ResourceKind) -> Vec<Resource> {
        match kind {
            ResourceKind::Tenant => every(&self.tenants, Resource::Tenant),
            ResourceKind::Policy => every(&self.policies, Resource::Policy),
            ResourceKind::Site => every(&self.sites, Resource::Site),
            ResourceKind::Service => every(&self.services, Resource::Service),
            ResourceKind::Pool => every(&self.pools, Resource::Pool),
        }
    }

    /// Every key.
    pub fn keys(&self) -> impl Iterator<Item = ResourceKey> + '_ {
        let all = ResourceKind::ALL.into_iter();
        all.flat_map(move |kind| {
            self.names(kind)
                .map(move |name| ResourceKey::new(kind, name))
        })
    }

    /// Every name of a kind, in order.
    pub fn names(&self, kind: ResourceKind) -> Box<dyn Iterator<Item = &str> + '_> {
        match kind {
            ResourceKind::Tenant => Box::new(self.tenants.keys().map(TenantName::as_str)),
            ResourceKind::Policy => Box::new(self.policies.keys().map(PolicyName::as_str)),
            ResourceKind::Site => Box::new(self.sites.keys().map(SiteName::as_str)),
            ResourceKind::Service => Box::new(self.services.keys().map(ServiceName::as_str)),
            ResourceKind::Pool => Box::new(self.pools.keys().map(PoolName::as_str)),
        }
    }

    /// The tenant that owns a resource; `None` if it belongs to the fleet's operators.
    pub fn owner(&self, resource: &Resource) -> Option<TenantName> {
        match resource {
            Resource::Tenant(tenant) => Some(tenant.name.clone()),
            Resource::Policy(policy) => policy.tenant.clone(),
            Resource::Site(_) => None,
            Resource::Service(service) => service.tenant.clone(),
            Resource::Pool(pool) => {
                let service = self.services.get(&pool.service);
                service.and_then(|service| service.tenant.clone())
            }
        }
    }
}

fn find<Name: Ord, T: Clone>(
    table: &BTreeMap<Name, T>,
    name: &Name,
    wrap: fn(T) -> Resource,
) -> Option<Resource> {
    table.get(name).cloned().map(wrap)
}

fn every<Name, T: Clone>(table: &BTreeMap<Name, T>, wrap: fn(T) -> Resource) -> Vec<Resource> {
    table.values().cloned().map(wrap).collect()
}
