//! A request that may not be repeated runs at most once.

use std::collections::{HashMap, HashSet};

use super::{Rule, Violation};
use crate::evidence::{Evidence, Run};
use crate::identity::RequestKey;

/// Finds requests that may not be repeated and ran more than once.
pub fn check_twice(evidence: &Evidence) -> Vec<Violation> {
    let run_once_keys: HashSet<&RequestKey> = evidence
        .sent
        .iter()
        .filter(|sent| !sent.route.may_run_again())
        .map(|sent| &sent.key)
        .collect();
    let mut runs: HashMap<&RequestKey, Vec<&Run>> = HashMap::new();
    for run in &evidence.runs {
        if run_once_keys.contains(&run.mark.key) {
            runs.entry(&run.mark.key).or_default().push(run);
        }
    }
    let repeated = runs.into_values().filter(|runs| runs.len() > 1);
    repeated
        .map(|runs| {
            let what = format!("request that may run at most once ran {} times", runs.len());
            Violation::new(Rule::Twice, what, runs)
        })
        .collect()
}
