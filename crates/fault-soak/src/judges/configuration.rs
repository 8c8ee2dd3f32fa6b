//! The last configuration is in force at every gateway in time, though the store was restored before it was written.

use super::{Rule, Violation};
use crate::evidence::Evidence;

/// Finds gateways at which it is not.
pub fn configuration(evidence: &Evidence) -> Vec<Violation> {
    let stale = evidence.stale_configurations.iter();
    stale
        .map(|stale| {
            let what = "a configuration is not in force in time";
            Violation::new(Rule::Configuration, what, stale)
        })
        .collect()
}
