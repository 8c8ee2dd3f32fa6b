//! Rules for pools: the service and zone exist, each back end belongs to one pool, and the role
//! bounds can be met.

use std::collections::{BTreeSet, HashMap, HashSet};
use std::net::SocketAddr;

use tansyhall_core::id::check_name;
use tansyhall_core::{EngineName, PoolName};

use super::check_exists;
use super::names::NAME_RULE;
use crate::configuration::Configuration;
use crate::problem::Problem;
use crate::resource::{Pool, ResourceKey, ResourceKind, ServiceKind};

pub(super) fn check(configuration: &Configuration, problems: &mut Vec<Problem>) {
    let zones = configuration.zones();
    let mut names = HashMap::new();
    let mut addresses = HashMap::new();
    for pool in configuration.pools.values() {
        check_references(configuration, &zones, pool, problems);
        check_names(pool, problems);
        check_backends(pool, &mut names, &mut addresses, problems);
        check_role_bounds(pool, problems);
    }
}

fn key(pool: &Pool) -> ResourceKey {
    ResourceKey::new(ResourceKind::Pool, pool.name.as_str())
}

fn check_references(
    configuration: &Configuration,
    zones: &BTreeSet<&str>,
    pool: &Pool,
    problems: &mut Vec<Problem>,
) {
    let service = configuration.services.get(&pool.service);
    let missing_service = || {
        let message = "no service has this name";
        Problem::new(
            key(pool),
            "service",
            &pool.service,
            message,
            "the name of a service",
        )
    };
    let services = configuration.names(ResourceKind::Service);
    check_exists(problems, missing_service, service.is_some(), services);
    let is_model = |kind| kind == ServiceKind::LanguageModel;
    if service.is_some_and(|service| is_model(service.kind)) && pool.model.is_none() {
        let message = "a pool of engines needs a model";
        problems.push(Problem::new(
            key(pool),
            "model",
            "",
            message,
            "a model's name",
        ));
    }
    let missing_zone = || {
        let message = "no site has this zone";
        Problem::new(key(pool), "zone", &pool.zone, message, "a zone of a site")
    };
    let known = zones.contains(pool.zone.as_str());
    check_exists(problems, missing_zone, known, zones.iter().copied());
}

fn check_names(pool: &Pool, problems: &mut Vec<Problem>) {
    let model = pool.model.iter().map(|name| ("model", name.as_str()));
    let versions = pool.versions.iter().map(|name| ("versions", name.as_str()));
    let adapters = pool.adapters.iter().map(|name| ("adapters", name.as_str()));
    let backends = pool
        .backends
        .iter()
        .map(|backend| ("backends", backend.name.as_str()));
    for (field, name) in model.chain(versions).chain(adapters).chain(backends) {
        if let Err(error) = check_name(name) {
            problems.push(Problem::new(
                key(pool),
                field,
                name,
                error.to_string(),
                NAME_RULE,
            ));
        }
    }
}

fn check_backends<'a>(
    pool: &'a Pool,
    names: &mut HashMap<&'a EngineName, &'a PoolName>,
    addresses: &mut HashMap<SocketAddr, &'a EngineName>,
    problems: &mut Vec<Problem>,
) {
    for backend in &pool.backends {
        if let Some(owner) = names.insert(&backend.name, &pool.name) {
            let message = format!("the back end belongs to {owner} already");
            let allowed = "each back end in one pool";
            problems.push(Problem::new(
                key(pool),
                "backends",
                &backend.name,
                message,
                allowed,
            ));
        }
        if let Some(other) = addresses.insert(backend.address, &backend.name) {
            let message = format!("{other} has the same address");
            let allowed = "each address once";
            problems.push(Problem::new(
                key(pool),
                "backends",
                backend.address,
                message,
                allowed,
            ));
        }
    }
}

fn check_role_bounds(pool: &Pool, problems: &mut Vec<Problem>) {
    let least = pool.roles.iter().map(|bounds| u64::from(bounds.least));
    let least: u64 = least.sum();
    let engines = pool.backends.len();
    if least > engines as u64 {
        let message = format!("the roles ask for more engines than the pool's {engines}");
        let allowed = format!("a sum of at most {engines}");
        problems.push(Problem::new(key(pool), "roles", least, message, allowed));
    }
    let mut seen = HashSet::new();
    for bounds in &pool.roles {
        let role = bounds.role.name();
        if !seen.insert(bounds.role) {
            let message = "the role is bounded twice";
            problems.push(Problem::new(
                key(pool),
                "roles",
                role,
                message,
                "each role once",
            ));
        }
        if bounds.most.is_some_and(|most| most < bounds.least) {
            let message = "most is below least";
            problems.push(Problem::new(
                key(pool),
                "roles",
                role,
                message,
                "most at or above least",
            ));
        }
    }
}
