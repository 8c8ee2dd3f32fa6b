//! Events of a stream come once each and in order, to the last; one run's events follow another's
//! only where the stream was resumed.

use std::collections::HashMap;

use super::stream_events::{read_events, StreamBody, StreamEvent};
use super::{Rule, Violation};
use crate::evidence::{CallerAnswer, Evidence, Outcome, Run, RunBody, Sent};

/// Finds streams with missing, double or joined events.
pub fn order(evidence: &Evidence) -> Vec<Violation> {
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
        if let Some(what) = check(sent, answer, &runs) {
            violations.push(Violation::of_answer(Rule::Order, what, sent, None));
        }
    }
    violations
}

fn check(sent: &Sent, answer: &CallerAnswer, runs: &HashMap<u64, &Run>) -> Option<&'static str> {
    let read = read_events(&answer.body);
    let after = sent.after_event.unwrap_or(0);
    let numbers = read.events.iter().map(|event| event.number);
    if !numbers.eq((after + 1..).take(read.events.len())) {
        return Some("events are missing, double or out of turn");
    }
    if read
        .events
        .iter()
        .any(|event| event.piece.0 != event.number)
    {
        return Some("an event with the text of another");
    }
    if has_wrong_joint(sent, &read.events, runs) {
        return Some("events of two runs are joined");
    }
    if answer.is_whole && !is_complete(after, &read, runs, answer) {
        return Some("ends as whole before its last event");
    }
    None
}

/// Whether the events of another run follow, other than by a resumption after the event before.
fn has_wrong_joint(sent: &Sent, events: &[StreamEvent], runs: &HashMap<u64, &Run>) -> bool {
    events.windows(2).any(|pair| {
        let (before, after) = (&pair[0], &pair[1]);
        if before.mark.run == after.mark.run {
            return false;
        }
        let run = runs.get(&after.mark.run);
        let resumed = run.is_some_and(|run| run.after_event == Some(before.number));
        !(resumed && sent.route.is_resumable())
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
        Some(event) => Some(event.piece.1),
        None => last_of_seal(runs, answer),
    };
    read.rest.is_empty() && last == Some(reached)
}

/// The last event of the run that signed the answer.
fn last_of_seal(runs: &HashMap<u64, &Run>, answer: &CallerAnswer) -> Option<u32> {
    let run = runs
        .values()
        .find(|run| Some(&run.seal) == answer.seal.as_ref())?;
    match run.body {
        RunBody::Stream { last } => Some(last),
        RunBody::Plain(_) => None,
    }
}
