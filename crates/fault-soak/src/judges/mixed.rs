//! Every caller gets the whole answer to its own request, and only that; no run goes on from the KV
//! cache of another request.

use std::collections::HashMap;

use super::stream_events::read_events;
use super::{Rule, Violation};
use crate::evidence::{CallerAnswer, Evidence, Outcome, Reading, Run, RunBody, Sent, StrayBytes};
use crate::identity::Mark;

/// Finds answers that are not the request's own, or not the worker's.
pub fn mixed(evidence: &Evidence) -> Vec<Violation> {
    let runs: HashMap<&str, &Run> = evidence
        .runs
        .iter()
        .map(|run| (run.seal.as_str(), run))
        .collect();
    let answers = evidence.sent.iter().filter_map(|sent| check(sent, &runs));
    let stray = evidence.stray.iter().filter_map(check_stray);
    let caches = check_caches(evidence);
    answers.chain(stray).chain(caches).collect()
}

fn check(sent: &Sent, runs: &HashMap<&str, &Run>) -> Option<Violation> {
    let violation =
        |what: &str, run: Option<&Run>| Some(Violation::of_answer(Rule::Mixed, what, sent, run));
    let answer = match &sent.outcome {
        Outcome::NoAnswer { .. } => return None,
        Outcome::Garbage { .. } => return violation("bytes that are no answer", None),
        Outcome::Answer(answer) => answer,
    };
    let Some(seal) = &answer.seal else {
        return check_unsealed(sent, answer);
    };
    let Some(run) = runs.get(seal.as_str()) else {
        return violation("a signature that no worker made", None);
    };
    if run.mark.key != sent.key {
        return violation("the answer to another request", Some(run));
    }
    if answer.id.as_ref() != Some(&sent.key.id) {
        return violation("an answer with another id", Some(run));
    }
    if answer.status != run.status {
        return violation("a worker's signature with another status", Some(run));
    }
    match &run.body {
        RunBody::Plain(body) => check_plain(answer, body),
        RunBody::Stream { .. } => check_stream(sent, answer),
    }
    .and_then(|what| violation(what, Some(run)))
}

fn check_unsealed(sent: &Sent, answer: &CallerAnswer) -> Option<Violation> {
    let violation = |what| Some(Violation::of_answer(Rule::Mixed, what, sent, None));
    if answer.is_success() {
        return violation("a success without a signature");
    }
    let text = String::from_utf8_lossy(&answer.body);
    if Mark::find_all(&text)
        .iter()
        .any(|mark| mark.key != sent.key)
    {
        return violation("a failure with the text of another request");
    }
    None
}

fn check_plain(answer: &CallerAnswer, body: &[u8]) -> Option<&'static str> {
    if !body.starts_with(&answer.body) {
        return Some("a body that is not the worker's");
    }
    if answer.is_whole && answer.body.len() < body.len() {
        return Some("a part of the worker's body that looks whole");
    }
    None
}

fn check_stream(sent: &Sent, answer: &CallerAnswer) -> Option<&'static str> {
    let read = read_events(&answer.body);
    if read.events.iter().any(|event| event.mark.key != sent.key) {
        return Some("an event of another request");
    }
    if read.foreign.is_some() {
        return Some("bytes in a stream that are no event of a worker");
    }
    None
}

/// A failure may be sent on an idle connection, to say why it is closed.
fn check_stray(stray: &StrayBytes) -> Option<Violation> {
    let is_failure = ["HTTP/1.1 4", "HTTP/1.1 5"]
        .iter()
        .any(|begin| stray.bytes.starts_with(begin));
    let what = "bytes on a connection on which no request waits";
    (!is_failure).then(|| Violation::new(Rule::Mixed, what, stray))
}

fn check_caches(evidence: &Evidence) -> Vec<Violation> {
    let readings: HashMap<&str, &Reading> = evidence
        .readings
        .iter()
        .map(|reading| (reading.place.as_str(), reading))
        .collect();
    let check = |run: &Run| {
        let place = run.cache_source.as_deref()?;
        let reading = readings.get(place);
        let is_own = reading.is_some_and(|reading| reading.key == run.mark.key);
        let what = "a run goes on from the KV cache of another request";
        (!is_own).then(|| Violation::new(Rule::Mixed, what, (run, reading)))
    };
    evidence.runs.iter().filter_map(check).collect()
}
