//! All resources at one revision of the store, and the rules they must meet together.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::fmt;

use tansyhall_core::id::check_name;
use tansyhall_core::{EngineName, PolicyName, PoolName, ServiceName, SiteName};

use crate::resource::{
    Policy, Pool, Resource, ResourceKey, ResourceKind, Service, ServiceKind, Site,
};

/// One broken rule.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Problem {
    /// The resource that breaks it.
    pub resource: ResourceKey,
    /// What is wrong and what is allowed.
    pub message: String,
    /// Byte range within a policy's source.
    pub span: Option<std::ops::Range<usize>>,
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.resource, self.message)
    }
}

/// A configuration that does not hold together.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{}", list(.0))]
pub struct ConfigurationError(pub Vec<Problem>);

fn list(problems: &[Problem]) -> String {
    let lines: Vec<String> = problems.iter().map(Problem::to_string).collect();
    lines.join("; ")
}

/// Every resource at one revision.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Configuration {
    /// The store's revision of the last change; zero before the first.
    pub revision: u64,
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
            ResourceKind::Policy => self
                .policies
                .get(&PolicyName::from(name))
                .cloned()
                .map(Resource::Policy),
            ResourceKind::Site => self
                .sites
                .get(&SiteName::from(name))
                .cloned()
                .map(Resource::Site),
            ResourceKind::Service => self
                .services
                .get(&ServiceName::from(name))
                .cloned()
                .map(Resource::Service),
            ResourceKind::Pool => self
                .pools
                .get(&PoolName::from(name))
                .cloned()
                .map(Resource::Pool),
        }
    }

    /// Every resource of a kind.
    pub fn list(&self, kind: ResourceKind) -> Vec<Resource> {
        match kind {
            ResourceKind::Policy => self
                .policies
                .values()
                .cloned()
                .map(Resource::Policy)
                .collect(),
            ResourceKind::Site => self.sites.values().cloned().map(Resource::Site).collect(),
            ResourceKind::Service => self
                .services
                .values()
                .cloned()
                .map(Resource::Service)
                .collect(),
            ResourceKind::Pool => self.pools.values().cloned().map(Resource::Pool).collect(),
        }
    }

    /// Checks every rule and reports every broken one.
    pub fn validate(&self) -> Result<(), ConfigurationError> {
        let mut problems = Vec::new();
        self.check_names(&mut problems);
        self.check_policies(&mut problems);
        self.check_services(&mut problems);
        self.check_pools(&mut problems);
        if problems.is_empty() {
            return Ok(());
        }
        Err(ConfigurationError(problems))
    }

    fn check_names(&self, problems: &mut Vec<Problem>) {
        for kind in ResourceKind::ALL {
            for resource in self.list(kind) {
                let key = resource.key();
                if let Err(error) = check_name(&key.name) {
                    problems.push(problem(key, error.to_string()));
                }
            }
        }
    }

    fn check_policies(&self, problems: &mut Vec<Problem>) {
        for policy in self.policies.values() {
            if let Err(fault) = tansyhall_policy::compile(&policy.source) {
                let key = Resource::Policy(policy.clone()).key();
                let span = Some(fault.span.clone());
                problems.push(Problem {
                    resource: key,
                    message: fault.to_string(),
                    span,
                });
            }
        }
    }

    fn check_services(&self, problems: &mut Vec<Problem>) {
        let mut prefixes: HashMap<&str, &Service> = HashMap::new();
        for service in self.services.values() {
            let key = || Resource::Service(service.clone()).key();
            if !self.sites.contains_key(&service.site) {
                problems.push(problem(key(), format!("no site is named {}", service.site)));
            }
            if let Some(policy) = &service.policy {
                if !self.policies.contains_key(policy) {
                    problems.push(problem(key(), format!("no policy is named {policy}")));
                }
            }
            match (service.kind, &service.path_prefix) {
                (ServiceKind::Application, None) => {
                    problems.push(problem(key(), "an application needs a path_prefix".into()));
                }
                (ServiceKind::Application, Some(prefix)) if !prefix.starts_with('/') => {
                    problems.push(problem(key(), "path_prefix must start with '/'".into()));
                }
                (ServiceKind::Application, Some(prefix)) => {
                    if let Some(other) = prefixes.insert(prefix, service) {
                        let message = format!("path_prefix {prefix} is taken by {}", other.name);
                        problems.push(problem(key(), message));
                    }
                }
                (ServiceKind::LanguageModel, Some(_)) => {
                    let message = "path_prefix is for applications only".to_owned();
                    problems.push(problem(key(), message));
                }
                (ServiceKind::LanguageModel, None) => {}
            }
        }
    }

    fn check_pools(&self, problems: &mut Vec<Problem>) {
        let zones: HashSet<_> = self.sites.values().flat_map(|site| &site.zones).collect();
        let mut owners: HashMap<&EngineName, &PoolName> = HashMap::new();
        for pool in self.pools.values() {
            let key = || Resource::Pool(pool.clone()).key();
            match self.services.get(&pool.service) {
                None => {
                    problems.push(problem(
                        key(),
                        format!("no service is named {}", pool.service),
                    ));
                }
                Some(service)
                    if service.kind == ServiceKind::LanguageModel && pool.model.is_none() =>
                {
                    problems.push(problem(key(), "a pool of engines needs a model".into()));
                }
                Some(_) => {}
            }
            if !zones.contains(&pool.zone) {
                problems.push(problem(
                    key(),
                    format!("no site has the zone {}", pool.zone),
                ));
            }
            for backend in &pool.backends {
                if let Some(owner) = owners.insert(&backend.name, &pool.name) {
                    let message = format!("back end {} belongs to {owner} already", backend.name);
                    problems.push(problem(key(), message));
                }
            }
            check_role_bounds(pool, problems);
        }
    }
}

fn check_role_bounds(pool: &Pool, problems: &mut Vec<Problem>) {
    let key = || Resource::Pool(pool.clone()).key();
    let least: u64 = pool
        .roles
        .iter()
        .map(|bounds| u64::from(bounds.least))
        .sum();
    if least > pool.backends.len() as u64 {
        let message = format!(
            "roles ask for {least} engines and the pool has {}",
            pool.backends.len()
        );
        problems.push(problem(key(), message));
    }
    let mut seen = HashSet::new();
    for bounds in &pool.roles {
        let role = bounds.role.name();
        if !seen.insert(bounds.role) {
            problems.push(problem(key(), format!("role {role} is bounded twice")));
        }
        if bounds.most.is_some_and(|most| most < bounds.least) {
            problems.push(problem(key(), format!("role {role}: most is below least")));
        }
    }
}

fn problem(resource: ResourceKey, message: String) -> Problem {
    Problem {
        resource,
        message,
        span: None,
    }
}
