//! Rules for policies: each compiles, every name in it exists, and its pool bounds can be met.

use std::collections::BTreeSet;
use std::sync::Arc;

use tansyhall_policy::{Diagnostic, EngineSelector, Program, Reference, ReferenceKind};

use super::{check_exists, Programs};
use crate::configuration::Configuration;
use crate::problem::Problem;
use crate::resource::{Policy, Pool, ResourceKey, ResourceKind};

/// All names that a program may refer to.
struct KnownNames<'a> {
    configuration: &'a Configuration,
    zones: BTreeSet<&'a str>,
    models: BTreeSet<&'a str>,
    versions: BTreeSet<&'a str>,
    adapters: BTreeSet<&'a str>,
}

impl<'a> KnownNames<'a> {
    fn new(configuration: &'a Configuration) -> Self {
        let pools = || configuration.pools.values();
        let models = pools().filter_map(|pool| pool.model.as_ref());
        let versions = pools().flat_map(|pool| &pool.versions);
        let adapters = pools().flat_map(|pool| &pool.adapters);
        Self {
            configuration,
            zones: configuration.zones(),
            models: models.map(|model| model.as_str()).collect(),
            versions: versions.map(|version| version.as_str()).collect(),
            adapters: adapters.map(|adapter| adapter.as_str()).collect(),
        }
    }

    fn contains(&self, kind: ReferenceKind, name: &str) -> bool {
        match kind {
            ReferenceKind::Service => self.configuration.services.contains_key(&name.into()),
            ReferenceKind::Tenant => self.configuration.tenants.contains_key(&name.into()),
            ReferenceKind::Pool => self.configuration.pools.contains_key(&name.into()),
            ReferenceKind::Zone => self.zones.contains(name),
            ReferenceKind::Model => self.models.contains(name),
            ReferenceKind::Version => self.versions.contains(name),
            ReferenceKind::Adapter => self.adapters.contains(name),
        }
    }

    fn names(&self, kind: ReferenceKind) -> Box<dyn Iterator<Item = &str> + '_> {
        match kind {
            ReferenceKind::Service => self.configuration.names(ResourceKind::Service),
            ReferenceKind::Tenant => self.configuration.names(ResourceKind::Tenant),
            ReferenceKind::Pool => self.configuration.names(ResourceKind::Pool),
            ReferenceKind::Zone => Box::new(self.zones.iter().copied()),
            ReferenceKind::Model => Box::new(self.models.iter().copied()),
            ReferenceKind::Version => Box::new(self.versions.iter().copied()),
            ReferenceKind::Adapter => Box::new(self.adapters.iter().copied()),
        }
    }
}

pub(super) fn check(configuration: &Configuration, problems: &mut Vec<Problem>) -> Programs {
    let names = KnownNames::new(configuration);
    let mut programs = Programs::new();
    for policy in configuration.policies.values() {
        check_tenant(configuration, policy, problems);
        match tansyhall_policy::compile_all(&policy.source) {
            Ok(program) => {
                check_references(&names, policy, &program, problems);
                check_pools(configuration, policy, &program, problems);
                programs.insert(policy.name.clone(), Arc::new(program));
            }
            Err(diagnostics) => {
                let diagnostics = diagnostics.into_iter();
                problems.extend(
                    diagnostics.map(|diagnostic| problem_from_diagnostic(policy, diagnostic)),
                );
            }
        }
    }
    programs
}

fn key(policy: &Policy) -> ResourceKey {
    ResourceKey::new(ResourceKind::Policy, policy.name.as_str())
}

fn check_tenant(configuration: &Configuration, policy: &Policy, problems: &mut Vec<Problem>) {
    let Some(tenant) = &policy.tenant else { return };
    let missing_problem = || {
        let message = "no tenant has this name";
        Problem::new(
            key(policy),
            "tenant",
            tenant,
            message,
            "the name of a tenant",
        )
    };
    let exists = configuration.tenants.contains_key(tenant);
    check_exists(
        problems,
        missing_problem,
        exists,
        configuration.names(ResourceKind::Tenant),
    );
}

fn problem_from_diagnostic(policy: &Policy, diagnostic: Diagnostic) -> Problem {
    let value = policy.source.get(diagnostic.span.clone()).unwrap_or("");
    Problem {
        hint: diagnostic.hint,
        span: Some(diagnostic.span),
        ..Problem::new(
            key(policy),
            "source",
            value,
            diagnostic.message,
            diagnostic.expected,
        )
    }
}

fn check_references(
    names: &KnownNames<'_>,
    policy: &Policy,
    program: &Program,
    problems: &mut Vec<Problem>,
) {
    for Reference { kind, name, span } in program.references() {
        let missing_problem = || Problem {
            span: Some(span.clone()),
            ..Problem::new(
                key(policy),
                "source",
                name,
                format!("no {kind} has this name"),
                format!("the name of a {kind} in the configuration"),
            )
        };
        check_exists(
            problems,
            missing_problem,
            names.contains(*kind, name),
            names.names(*kind),
        );
    }
}

fn check_pools(
    configuration: &Configuration,
    policy: &Policy,
    program: &Program,
    problems: &mut Vec<Problem>,
) {
    for (name, bounds) in program.pools() {
        let Some(pool) = configuration.pools.get(name) else {
            continue;
        };
        check_pool_uses_policy(configuration, policy, pool, problems);
        let engines = pool.backends.len() as u64;
        let is_role = |selector: &EngineSelector| matches!(selector, EngineSelector::Role(_));
        let roles = bounds
            .engines
            .iter()
            .filter(|bound| is_role(&bound.selector));
        let least = roles.fold(0_u64, |sum, bound| sum.saturating_add(bound.least));
        if least > engines {
            let message =
                format!("the least of pool {name}'s roles add up to more than its engines");
            let allowed = format!("a sum of at most {engines}");
            problems.push(Problem::new(key(policy), "source", least, message, allowed));
        }
    }
}

/// Rejects bounds of a pool whose service uses another policy: a pool's bounds are read from the
/// policy of its service, so in any other policy they would have no effect.
fn check_pool_uses_policy(
    configuration: &Configuration,
    policy: &Policy,
    pool: &Pool,
    problems: &mut Vec<Problem>,
) {
    let service = configuration.services.get(&pool.service);
    let Some(service) = service else { return };
    if service.policy.as_ref() == Some(&policy.name) {
        return;
    }
    let message = format!("the pool's service {} has another policy", service.name);
    let allowed = "pools of the services that name this policy";
    problems.push(Problem::new(
        key(policy),
        "source",
        &pool.name,
        message,
        allowed,
    ));
}
