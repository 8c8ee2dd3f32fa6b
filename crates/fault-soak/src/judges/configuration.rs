//! Every gateway applies the last configuration in time, even though the store was restored from a backup before the
//! configuration was written.

use super::{Rule, Violation};
use crate::evidence::Evidence;

/// Finds gateways that did not apply the last configuration in time.
pub fn check_configuration(evidence: &Evidence) -> Vec<Violation> {
    let stale = evidence.stale_configurations.iter();
    stale
        .map(|stale| {
            let what = "gateway did not apply the last configuration in time";
            Violation::new(Rule::Configuration, what, stale)
        })
        .collect()
}
