//! Finds the resources that refer to a resource. A resource cannot be deleted while others refer to
//! it.

use std::collections::BTreeSet;

use tansyhall_policy::ReferenceKind;

use crate::configuration::Configuration;
use crate::resource::{ResourceKey, ResourceKind};

impl Configuration {
    /// Returns all resources that refer to `key`, sorted by key. The resource itself need not
    /// exist.
    pub fn referrers(&self, key: &ResourceKey) -> Vec<ResourceKey> {
        let mut referrers = BTreeSet::new();
        self.collect_field_referrers(key, &mut referrers);
        self.collect_program_referrers(key, &mut referrers);
        referrers.remove(key);
        referrers.into_iter().collect()
    }

    fn collect_field_referrers(&self, key: &ResourceKey, referrers: &mut BTreeSet<ResourceKey>) {
        let name = key.name.as_str();
        for service in self.services.values() {
            let refers = match key.kind {
                ResourceKind::Tenant => service.tenant.as_ref().is_some_and(|t| t.as_str() == name),
                ResourceKind::Policy => service.policy.as_ref().is_some_and(|p| p.as_str() == name),
                ResourceKind::Site => service.site.as_str() == name,
                ResourceKind::Service | ResourceKind::Pool => false,
            };
            if refers {
                referrers.insert(ResourceKey::new(
                    ResourceKind::Service,
                    service.name.as_str(),
                ));
            }
        }
        for policy in self.policies.values() {
            let owned = policy.tenant.as_ref().is_some_and(|t| t.as_str() == name);
            if owned && key.kind == ResourceKind::Tenant {
                referrers.insert(ResourceKey::new(ResourceKind::Policy, policy.name.as_str()));
            }
        }
        let known_zones = self.zones();
        for pool in self.pools.values() {
            let refers = match key.kind {
                ResourceKind::Service => pool.service.as_str() == name,
                ResourceKind::Site => {
                    let site = self.sites.get(&name.into());
                    match site {
                        Some(site) => site.zones.contains(&pool.zone),
                        None => !known_zones.contains(pool.zone.as_str()),
                    }
                }
                ResourceKind::Tenant | ResourceKind::Policy | ResourceKind::Pool => false,
            };
            if refers {
                referrers.insert(ResourceKey::new(ResourceKind::Pool, pool.name.as_str()));
            }
        }
    }

    fn collect_program_referrers(&self, key: &ResourceKey, referrers: &mut BTreeSet<ResourceKey>) {
        let kind = match key.kind {
            ResourceKind::Tenant => ReferenceKind::Tenant,
            ResourceKind::Service => ReferenceKind::Service,
            ResourceKind::Pool => ReferenceKind::Pool,
            ResourceKind::Policy | ResourceKind::Site => return,
        };
        for policy in self.policies.values() {
            let Ok(program) = tansyhall_policy::compile(&policy.source) else {
                continue;
            };
            let mut references = program.references().iter();
            if references.any(|reference| reference.kind == kind && reference.name == key.name) {
                referrers.insert(ResourceKey::new(ResourceKind::Policy, policy.name.as_str()));
            }
        }
    }
}
