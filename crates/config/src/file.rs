//! Resource files: TOML with one array of tables for each kind of resource.

use serde::{Deserialize, Serialize};
use tansyhall_policy::Diagnostic;

use crate::resource::{Policy, Pool, Resource, Service, Site, Tenant};
use crate::syntax;

/// The content of one resource file.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ResourceFile {
    /// Tenants.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub tenant: Vec<Tenant>,
    /// Policies.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub policy: Vec<Policy>,
    /// Sites.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub site: Vec<Site>,
    /// Services.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub service: Vec<Service>,
    /// Pools.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub pool: Vec<Pool>,
}

impl ResourceFile {
    /// Parses a file.
    pub fn parse(text: &str) -> Result<Self, Diagnostic> {
        syntax::parse(text)
    }

    /// Creates a file that holds these resources.
    pub fn from_resources(resources: Vec<Resource>) -> Self {
        let mut file = Self::default();
        for resource in resources {
            match resource {
                Resource::Tenant(tenant) => file.tenant.push(tenant),
                Resource::Policy(policy) => file.policy.push(policy),
                Resource::Site(site) => file.site.push(site),
                Resource::Service(service) => file.service.push(service),
                Resource::Pool(pool) => file.pool.push(pool),
            }
        }
        file
    }

    /// Returns the file as TOML text.
    pub fn to_text(&self) -> Result<String, toml::ser::Error> {
        toml::to_string(self)
    }

    /// Returns the resources, ordered so that each one follows those that its fields refer to.
    pub fn into_resources(self) -> Vec<Resource> {
        let tenants = self.tenant.into_iter().map(Resource::Tenant);
        let policies = self.policy.into_iter().map(Resource::Policy);
        let sites = self.site.into_iter().map(Resource::Site);
        let services = self.service.into_iter().map(Resource::Service);
        let pools = self.pool.into_iter().map(Resource::Pool);
        let tenants_and_policies = tenants.chain(policies);
        tenants_and_policies
            .chain(sites)
            .chain(services)
            .chain(pools)
            .collect()
    }
}
