//! Resource files: TOML with one table array for each kind of resource.

use serde::Deserialize;

use crate::resource::{Policy, Pool, Resource, Service, Site};

/// The content of one resource file.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ResourceFile {
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
    pub fn parse(text: &str) -> Result<Self, toml::de::Error> {
        toml::from_str(text)
    }

    /// The resources, each after those it refers to.
    pub fn into_resources(self) -> Vec<Resource> {
        let policies = self.policy.into_iter().map(Resource::Policy);
        let sites = self.site.into_iter().map(Resource::Site);
        let services = self.service.into_iter().map(Resource::Service);
        let pools = self.pool.into_iter().map(Resource::Pool);
        policies.chain(sites).chain(services).chain(pools).collect()
    }
}
