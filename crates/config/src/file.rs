//! Resource files: TOML with one table array for each kind of resource.

use serde::Deserialize;
use tansyhall_policy::Diagnostic;

use crate::resource::{Policy, Pool, Resource, Service, Site, Tenant};
use crate::syntax;

/// The content of one resource file.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ResourceFile {
    /// Tenants.
    #[serde(default)]
    pub tenant: Vec<Tenant>,
    /// Policies.
    #[serde(default)]
    pub policy: Vec<Policy>,
    /// Sites.
    #[serde(default)]
    pub site: Vec<Site>,
    /// Services.
    #[serde(default)]
    pub service: Vec<Service>,
    /// Pools.
    #[serde(default)]
    pub pool: Vec<Pool>,
}

impl ResourceFile {
    /// Parses a file.
    pub fn parse(text: &str) -> Result<Self, Diagnostic> {
        syntax::parse(text)
    }

    /// The resources, each after those that its fields refer to.
    pub fn into_resources(self) -> Vec<Resource> {
        let tenants = self.tenant.into_iter().map(Resource::Tenant);
        let policies = self.policy.into_iter().map(Resource::Policy);
        let sites = self.site.into_iter().map(Resource::Site);
        let services = self.service.into_iter().map(Resource::Service);
        let pools = self.pool.into_iter().map(Resource::Pool);
        let owners = tenants.chain(policies);
        owners.chain(sites).chain(services).chain(pools).collect()
    }
}
