//! Rules for names: each is well formed, each zone belongs to one site, and each tenant has an
//! owner.

use std::collections::HashMap;

use tansyhall_core::id::check_name;
use tansyhall_core::{SiteName, ZoneName};

use crate::configuration::Configuration;
use crate::problem::Problem;
use crate::resource::{ResourceKey, ResourceKind};

/// Syntax of a name, as shown in problems.
pub(super) const NAME_RULE: &str = "1 to 63 of a-z A-Z 0-9 . _ -";

pub(super) fn check(configuration: &Configuration, problems: &mut Vec<Problem>) {
    for key in configuration.keys() {
        if let Err(error) = check_name(&key.name) {
            let name = key.name.clone();
            problems.push(Problem::new(
                key,
                "name",
                name,
                error.to_string(),
                NAME_RULE,
            ));
        }
    }
    check_zones(configuration, problems);
    for tenant in configuration.tenants.values() {
        if tenant.owner.trim().is_empty() {
            let key = ResourceKey::new(ResourceKind::Tenant, tenant.name.as_str());
            let problem = Problem::new(key, "owner", "", "nobody answers for it", "a name");
            problems.push(problem);
        }
    }
}

fn check_zones(configuration: &Configuration, problems: &mut Vec<Problem>) {
    let mut owners: HashMap<&ZoneName, &SiteName> = HashMap::new();
    for site in configuration.sites.values() {
        let key = || ResourceKey::new(ResourceKind::Site, site.name.as_str());
        if site.zones.is_empty() {
            problems.push(Problem::new(
                key(),
                "zones",
                "[]",
                "a site needs a zone",
                "1 or more",
            ));
        }
        for zone in &site.zones {
            if let Err(error) = check_name(zone.as_str()) {
                problems.push(Problem::new(
                    key(),
                    "zones",
                    zone,
                    error.to_string(),
                    NAME_RULE,
                ));
            }
            if let Some(owner) = owners.insert(zone, &site.name) {
                let message = format!("the zone belongs to {owner} already");
                problems.push(Problem::new(
                    key(),
                    "zones",
                    zone,
                    message,
                    "each zone once",
                ));
            }
        }
    }
}
