//! A refused request that may not be repeated has not run and never will.

use std::collections::HashMap;

use super::{Rule, Violation};
use crate::evidence::{Evidence, Outcome, Run};
use crate::identity::RequestKey;

/// Statuses which guarantee that the request has not run and never will.
const NOT_RUN_STATUSES: [u16; 4] = [408, 421, 429, 503];

/// Finds requests that ran although they were refused.
pub fn check_refused(evidence: &Evidence) -> Vec<Violation> {
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
        if NOT_RUN_STATUSES.contains(&answer.status) {
            let what = format!("caller got status {}, but the request ran", answer.status);
            violations.push(Violation::for_request(Rule::Refused, what, sent, Some(run)));
        }
    }
    violations
}
