//! The rules that all resources must satisfy together. Each rule makes a single pass over the
//! resources, so that checking a fleet of thousands of engines stays fast.

mod names;
mod policies;
mod pools;
mod referrers;
mod services;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use tansyhall_core::PolicyName;
use tansyhall_policy::Program;

use crate::configuration::Configuration;
use crate::problem::{ConfigurationError, Problem};

/// The compiled policies of a valid configuration.
pub type Programs = BTreeMap<PolicyName, Arc<Program>>;

impl Configuration {
    /// Checks all rules and returns every violation.
    pub fn validate(&self) -> Result<(), ConfigurationError> {
        self.compile().map(drop)
    }

    /// Checks all rules and returns the compiled policies.
    pub fn compile(&self) -> Result<Programs, ConfigurationError> {
        let mut problems = Vec::new();
        names::check(self, &mut problems);
        services::check(self, &mut problems);
        pools::check(self, &mut problems);
        let programs = policies::check(self, &mut problems);
        if problems.is_empty() {
            return Ok(programs);
        }
        Err(ConfigurationError(problems))
    }

    fn zones(&self) -> BTreeSet<&str> {
        let zones = self.sites.values().flat_map(|site| &site.zones);
        zones.map(|zone| zone.as_str()).collect()
    }
}

/// Adds a problem with a suggestion from the existing names, unless the referenced name exists.
fn check_exists<'a>(
    problems: &mut Vec<Problem>,
    problem: impl FnOnce() -> Problem,
    exists: bool,
    names: impl IntoIterator<Item = &'a str>,
) {
    if !exists {
        problems.push(problem().did_you_mean(names));
    }
}
