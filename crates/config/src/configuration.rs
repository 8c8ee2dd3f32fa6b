//! All resources at one revision of the store. The rules that they must satisfy together are in
//! [`crate::validation`].

use std::collections::BTreeMap;

use tansyhall_core::{PolicyName, PoolName, ServiceName, SiteName, TenantName};

use crate::resource::{Policy, Pool, Resource, ResourceKey, ResourceKind, Service, Site, Tenant};

/// All resources at one revision of the store.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Configuration {
    /// Store revision of the last change; zero before the first change.
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

    /// Removes a resource and returns whether it existed.
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

    /// Returns the resource with this key.
    pub fn get(&self, key: &ResourceKey) -> Option<Resource> {
        let name = key.name.as_str();
        match key.kind {
            ResourceKind::Tenant => get_resource(&self.tenants, &name.into(), Resource::Tenant),
            ResourceKind::Policy => get_resource(&self.policies, &name.into(), Resource::Policy),
            ResourceKind::Site => get_resource(&self.sites, &name.into(), Resource::Site),
            ResourceKind::Service => get_resource(&self.services, &name.into(), Resource::Service),
            ResourceKind::Pool => get_resource(&self.pools, &name.into(), Resource::Pool),
        }
    }

    /// Returns all resources of a kind, sorted by name.
    pub fn list(&self, kind: ResourceKind) -> Vec<Resource> {
        match kind {
            ResourceKind::Tenant => list_resources(&self.tenants, Resource::Tenant),
            ResourceKind::Policy => list_resources(&self.policies, Resource::Policy),
            ResourceKind::Site => list_resources(&self.sites, Resource::Site),
            ResourceKind::Service => list_resources(&self.services, Resource::Service),
            ResourceKind::Pool => list_resources(&self.pools, Resource::Pool),
        }
    }

    /// Returns the keys of all resources, sorted by kind and then by name.
    pub fn keys(&self) -> impl Iterator<Item = ResourceKey> + '_ {
        let all = ResourceKind::ALL.into_iter();
        all.flat_map(move |kind| {
            self.names(kind)
                .map(move |name| ResourceKey::new(kind, name))
        })
    }

    /// Returns the names of all resources of a kind, sorted.
    pub fn names(&self, kind: ResourceKind) -> Box<dyn Iterator<Item = &str> + '_> {
        match kind {
            ResourceKind::Tenant => Box::new(self.tenants.keys().map(TenantName::as_str)),
            ResourceKind::Policy => Box::new(self.policies.keys().map(PolicyName::as_str)),
            ResourceKind::Site => Box::new(self.sites.keys().map(SiteName::as_str)),
            ResourceKind::Service => Box::new(self.services.keys().map(ServiceName::as_str)),
            ResourceKind::Pool => Box::new(self.pools.keys().map(PoolName::as_str)),
        }
    }

    /// Returns the tenant that owns a resource, or `None` if it belongs to the fleet's operators.
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

fn get_resource<Name: Ord, T: Clone>(
    table: &BTreeMap<Name, T>,
    name: &Name,
    wrap: fn(T) -> Resource,
) -> Option<Resource> {
    table.get(name).cloned().map(wrap)
}

fn list_resources<Name, T: Clone>(
    table: &BTreeMap<Name, T>,
    wrap: fn(T) -> Resource,
) -> Vec<Resource> {
    table.values().cloned().map(wrap).collect()
}
