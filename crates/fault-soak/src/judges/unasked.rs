//! Workers run, and do prefill for, only requests that callers sent, unchanged.

use std::collections::HashMap;

use super::{Rule, Violation};
use crate::evidence::{Evidence, SentRequest};
use crate::identity::RequestKey;

/// The HTTP method of all requests of callers.
const METHOD: &str = "POST";

/// Finds runs, prefills and bytes at workers that do not come from a request of a caller.
pub fn check_unasked(evidence: &Evidence) -> Vec<Violation> {
    let sent: HashMap<&RequestKey, &SentRequest> =
        evidence.sent.iter().map(|sent| (&sent.key, sent)).collect();
    let mut violations = Vec::new();
    for run in &evidence.runs {
        let what = match sent.get(&run.mark.key) {
            None => "worker ran a request that no caller sent",
            Some(_) if run.method != METHOD => "worker ran a request with a changed method",
            Some(sent) if sent.prompt != run.prompt => {
                "worker ran a request with a changed model, token count or prompt"
            }
            Some(_) => continue,
        };
        violations.push(Violation::new(Rule::Unasked, what, run));
    }
    for prefill in &evidence.readings {
        if !sent.contains_key(&prefill.key) {
            let what = "worker did prefill for a request that no caller sent";
            violations.push(Violation::new(Rule::Unasked, what, prefill));
        }
    }
    for garbled in &evidence.garbled {
        let what = "worker received bytes that are not a valid request";
        violations.push(Violation::new(Rule::Unasked, what, garbled));
    }
    violations
}
