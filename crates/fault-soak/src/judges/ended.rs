//! No gateway process exits unless it is told to.

use super::{Rule, Violation};
use crate::evidence::Evidence;

/// Finds gateway processes that exited unexpectedly.
pub fn check_ended(evidence: &Evidence) -> Vec<Violation> {
    let ended = evidence.ended.iter();
    ended
        .map(|exit| Violation::new(Rule::Ended, "gateway process exited unexpectedly", exit))
        .collect()
}
