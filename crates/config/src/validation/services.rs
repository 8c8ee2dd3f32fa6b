//! Rules for services: the site, policy and tenant exist, and path prefixes are unique.

use std::collections::HashMap;

use super::check_exists;
use crate::configuration::Configuration;
use crate::problem::Problem;
use crate::resource::{ResourceKey, ResourceKind, Service, ServiceKind};

pub(super) fn check(configuration: &Configuration, problems: &mut Vec<Problem>) {
    let mut prefixes = HashMap::new();
    for service in configuration.services.values() {
        check_references(configuration, service, problems);
        check_prefix(service, &mut prefixes, problems);
    }
}

fn key(service: &Service) -> ResourceKey {
    ResourceKey::new(ResourceKind::Service, service.name.as_str())
}

fn check_references(configuration: &Configuration, service: &Service, problems: &mut Vec<Problem>) {
    let missing = |field, value: &str, what: &str| {
        let message = format!("no {what} has this name");
        Problem::new(
            key(service),
            field,
            value,
            message,
            format!("the name of a {what}"),
        )
    };
    check_exists(
        problems,
        || missing("site", service.site.as_str(), "site"),
        configuration.sites.contains_key(&service.site),
        configuration.names(ResourceKind::Site),
    );
    if let Some(policy) = &service.policy {
        check_exists(
            problems,
            || missing("policy", policy.as_str(), "policy"),
            configuration.policies.contains_key(policy),
            configuration.names(ResourceKind::Policy),
        );
    }
    if let Some(tenant) = &service.tenant {
        check_exists(
            problems,
            || missing("tenant", tenant.as_str(), "tenant"),
            configuration.tenants.contains_key(tenant),
            configuration.names(ResourceKind::Tenant),
        );
    }
}

fn check_prefix<'a>(
    service: &'a Service,
    prefixes: &mut HashMap<&'a str, &'a Service>,
    problems: &mut Vec<Problem>,
) {
    const FIELD: &str = "path_prefix";
    const RULE: &str = "a path such as /stock";
    match (service.kind, &service.path_prefix) {
        (ServiceKind::Application, None) => {
            let message = "an application needs a path prefix";
            problems.push(Problem::new(key(service), FIELD, "", message, RULE));
        }
        (ServiceKind::Application, Some(prefix)) if !prefix.starts_with('/') => {
            let message = "the path must start with '/'";
            problems.push(Problem::new(key(service), FIELD, prefix, message, RULE));
        }
        (ServiceKind::Application, Some(prefix)) => {
            if let Some(other) = prefixes.insert(prefix, service) {
                let message = format!("the path is taken by {}", other.name);
                problems.push(Problem::new(
                    key(service),
                    FIELD,
                    prefix,
                    message,
                    "a free path",
                ));
            }
        }
        (ServiceKind::LanguageModel, Some(prefix)) => {
            let message = "a path prefix is for applications only";
            problems.push(Problem::new(
                key(service),
                FIELD,
                prefix,
                message,
                "no value",
            ));
        }
        (ServiceKind::LanguageModel, None) => {}
    }
}
