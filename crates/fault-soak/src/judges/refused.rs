//! What was refused has not run and never will, if it may not be repeated.

use std::collections::HashMap;

use super::{Rule, Violation};
use crate::evidence::{Evidence, Outcome, Run};
use crate::identity::RequestKey;

/// Statuses that promise that a request has not run and never will.
const PROMISES: [u16; 4] = [408, 421, 429, 503];

/// Finds refused requests that ran.
pub fn refused(evidence: &Evidence) -> Vec<Violation> {
    let runs: HashMap<&RequestKey, &Run> = evidence
        .runs
        .iter()
        .map(|run| (&run.mark.key, run))
        .collect();
    let mut violations = Vec::new();
    for sent in evidence
        .sent
        .iter()
        .filter(|sent| !sent.route.may_run_again())
    {
        let Outcome::Answer(answer) = &sent.outcome else {
            continue;
        };
        let Some(run) = runs.get(&sent.key) else {
            continue;
        };
        if PROMISES.contains(&answer.status) {
            let what = format!("{} was said, and it ran", answer.status);
            violations.push(Violation::of_answer(Rule::Refused, what, sent, Some(run)));
        }
    }
    violations
}
