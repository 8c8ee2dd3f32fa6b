//! Workers run and read only what callers sent, unchanged.

use std::collections::HashMap;

use super::{Rule, Violation};
use crate::evidence::{Evidence, Sent};
use crate::identity::RequestKey;

/// The method of all that callers send.
const METHOD: &str = "POST";

/// Finds what workers ran or read and no caller sent.
pub fn unasked(evidence: &Evidence) -> Vec<Violation> {
    let sent: HashMap<&RequestKey, &Sent> =
        evidence.sent.iter().map(|sent| (&sent.key, sent)).collect();
    let mut violations = Vec::new();
    for run in &evidence.runs {
        let what = match sent.get(&run.mark.key) {
            None => "a run of what no caller sent",
            Some(_) if run.method != METHOD => "a run with another method",
            Some(sent) if sent.prompt != run.prompt => "a run with another model or prompt",
            Some(_) => continue,
        };
        violations.push(Violation::new(Rule::Unasked, what, run));
    }
    for reading in &evidence.readings {
        if !sent.contains_key(&reading.key) {
            let what = "a reading of what no caller sent";
            violations.push(Violation::new(Rule::Unasked, what, reading));
        }
    }
    for garbled in &evidence.garbled {
        let what = "bytes at a worker that are no request";
        violations.push(Violation::new(Rule::Unasked, what, garbled));
    }
    violations
}
