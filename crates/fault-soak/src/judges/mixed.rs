//! Every caller receives the complete answer to its own request and nothing else, and no run continues from the KV
//! cache of another request.

use std::collections::HashMap;

use super::stream_events::read_events;
use super::{Rule, Violation};
use crate::evidence::{
    CallerAnswer, Evidence, Outcome, Prefill, Run, RunBody, SentRequest, StrayBytes,
};
use crate::identity::Mark;

/// Finds answers that belong to another request, or that differ from what the worker sent.
pub fn check_mixed(evidence: &Evidence) -> Vec<Violation> {
    let runs: HashMap<&str, &Run> = evidence
        .runs
        .iter()
        .map(|run| (run.seal.as_str(), run))
        .collect();
    let answers = evidence
        .sent
        .iter()
        .filter_map(|sent| check_answer(sent, &runs));
    let stray = evidence.stray.iter().filter_map(check_stray);
    let caches = check_caches(evidence);
    answers.chain(stray).chain(caches).collect()
}

fn check_answer(sent: &SentRequest, runs: &HashMap<&str, &Run>) -> Option<Violation> {
    let violation =
        |what: &str, run: Option<&Run>| Some(Violation::for_request(Rule::Mixed, what, sent, run));
    let answer = match &sent.outcome {
        Outcome::NoAnswer { .. } => return None,
        Outcome::Garbage { .. } => return violation("received bytes that are not an answer", None),
        Outcome::Answer(answer) => answer,
    };
    let Some(seal) = &answer.seal else {
        return check_unsigned(sent, answer);
    };
    let Some(run) = runs.get(seal.as_str()) else {
        return violation("answer has a signature that no worker issued", None);
    };
    if run.mark.key != sent.key {
        return violation("answer belongs to another request", Some(run));
    }
    if answer.id.as_ref() != Some(&sent.key.id) {
        return violation("answer has another request id", Some(run));
    }
    if answer.status != run.status {
        return violation(
            "answer has a status other than the one that the worker signed",
            Some(run),
        );
    }
    match &run.body {
        RunBody::Plain(body) => check_plain(answer, body),
        RunBody::Stream { .. } => check_stream(sent, answer),
    }
    .and_then(|what| violation(what, Some(run)))
}

fn check_unsigned(sent: &SentRequest, answer: &CallerAnswer) -> Option<Violation> {
    let violation = |what| Some(Violation::for_request(Rule::Mixed, what, sent, None));
    if answer.is_success() {
        return violation("successful answer has no signature of a worker");
    }
    let text = String::from_utf8_lossy(&answer.body);
    if Mark::find_all(&text)
        .iter()
        .any(|mark| mark.key != sent.key)
    {
        return violation("error answer contains text from the answer to another request");
    }
    None
}

fn check_plain(answer: &CallerAnswer, body: &[u8]) -> Option<&'static str> {
    if !body.starts_with(&answer.body) {
        return Some("body differs from the one that the worker sent");
    }
    if answer.is_whole && answer.body.len() < body.len() {
        return Some("truncated body looks complete");
    }
    None
}

fn check_stream(sent: &SentRequest, answer: &CallerAnswer) -> Option<&'static str> {
    let read = read_events(&answer.body);
    if read.events.iter().any(|event| event.mark.key != sent.key) {
        return Some("stream contains an event of another request");
    }
    if read.unrecognized.is_some() {
        return Some("stream contains bytes that are not an event of a worker");
    }
    None
}

/// Checks bytes received on an idle connection. A 4xx or 5xx answer is allowed: it says why the connection is closed.
fn check_stray(stray: &StrayBytes) -> Option<Violation> {
    let is_error_answer = ["HTTP/1.1 4", "HTTP/1.1 5"]
        .iter()
        .any(|prefix| stray.bytes.starts_with(prefix));
    let what = "received bytes on a connection without an outstanding request";
    (!is_error_answer).then(|| Violation::new(Rule::Mixed, what, stray))
}

fn check_caches(evidence: &Evidence) -> Vec<Violation> {
    let prefills: HashMap<&str, &Prefill> = evidence
        .readings
        .iter()
        .map(|prefill| (prefill.place.as_str(), prefill))
        .collect();
    let check = |run: &Run| {
        let place = run.cache_source.as_deref()?;
        let prefill = prefills.get(place);
        let belongs_to_request = prefill.is_some_and(|prefill| prefill.key == run.mark.key);
        let what = "run continues from the KV cache of another request";
        (!belongs_to_request).then(|| Violation::new(Rule::Mixed, what, (run, prefill)))
    };
    evidence.runs.iter().filter_map(check).collect()
}
