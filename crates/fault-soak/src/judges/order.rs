//! The events of a stream arrive exactly once and in order, up to the last one. Events of one run follow those of
//! another only where the stream was resumed.

use std::collections::HashMap;

use super::stream_events::{read_events, StreamBody, StreamEvent};
use super::{Rule, Violation};
use crate::evidence::{CallerAnswer, Evidence, Outcome, Run, RunBody, SentRequest};

/// Finds streams whose events are missing, duplicated, out of order, or of several runs without a resumption.
pub fn check_order(evidence: &Evidence) -> Vec<Violation> {
    let runs: HashMap<u64, &Run> = evidence
        .runs
        .iter()
        .map(|run| (run.mark.run, run))
        .collect();
    let mut violations = Vec::new();
    for sent in evidence.sent.iter().filter(|sent| sent.route.is_stream()) {
        let Outcome::Answer(answer) = &sent.outcome else {
            continue;
        };
        if !answer.is_success() {
            continue;
        }
        if let Some(what) = check_stream(sent, answer, &runs) {
            violations.push(Violation::for_request(Rule::Order, what, sent, None));
        }
    }
    violations
}

fn check_stream(
    sent: &SentRequest,
    answer: &CallerAnswer,
    runs: &HashMap<u64, &Run>,
) -> Option<&'static str> {
    let read = read_events(&answer.body);
    let after = sent.after_event.unwrap_or(0);
    let numbers = read.events.iter().map(|event| event.number);
    if !numbers.eq((after + 1..).take(read.events.len())) {
        return Some("events are missing, duplicated or out of order");
    }
    if read
        .events
        .iter()
        .any(|event| event.position.0 != event.number)
    {
        return Some("event has the text of another event");
    }
    if has_unresumed_run_change(sent, &read.events, runs) {
        return Some("events of two runs follow each other without a resumption");
    }
    if answer.is_whole && !is_complete(after, &read, runs, answer) {
        return Some("stream looks complete but ends before its last event");
    }
    None
}

/// Returns whether an event is followed by one of another run that did not resume the stream right after it.
fn has_unresumed_run_change(
    sent: &SentRequest,
    events: &[StreamEvent],
    runs: &HashMap<u64, &Run>,
) -> bool {
    events.windows(2).any(|pair| {
        let (before, after) = (&pair[0], &pair[1]);
        if before.mark.run == after.mark.run {
            return false;
        }
        let run = runs.get(&after.mark.run);
        let is_resumption = run.is_some_and(|run| run.after_event == Some(before.number));
        !(is_resumption && sent.route.is_resumable())
    })
}

fn is_complete(
    after: u32,
    read: &StreamBody,
    runs: &HashMap<u64, &Run>,
    answer: &CallerAnswer,
) -> bool {
    let reached = read.events.last().map_or(after, |event| event.number);
    let last = match read.events.last() {
        Some(event) => Some(event.position.1),
        None => last_event_of_signer(runs, answer),
    };
    read.trailing.is_empty() && last == Some(reached)
}

/// Returns the number of the last event of the run that signed the answer.
fn last_event_of_signer(runs: &HashMap<u64, &Run>, answer: &CallerAnswer) -> Option<u32> {
    let run = runs
        .values()
        .find(|run| Some(&run.seal) == answer.seal.as_ref())?;
    match run.body {
        RunBody::Stream { last } => Some(last),
        RunBody::Plain(_) => None,
    }
}
