//! No gateway process ends by itself.

use super::{Rule, Violation};
use crate::evidence::Evidence;

/// Finds processes that ended by themselves.
pub fn ended(evidence: &Evidence) -> Vec<Violation> {
    let ended = evidence.ended.iter();
    ended
        .map(|how| Violation::new(Rule::Ended, "a gateway process ended by itself", how))
        .collect()
}
