//! Builders for the evidence that an episode records.

use bytes::Bytes;
use tansyhall_fault_soak::{
    Arrival, BrokenAnswer, CallerAnswer, Evidence, Mark, Outcome, Prefill, RequestKey, RouteKind,
    Run, RunBody, SentRequest,
};

const PROMPT: &str = "- - -";
const WORKER: &str = "i-1";
/// The number of the last event of streams.
const LAST_EVENT: u32 = 3;

pub fn key(id: &str) -> RequestKey {
    RequestKey {
        id: id.into(),
        target: "/x".into(),
        body: 7,
    }
}

pub fn evidence(sent: Vec<SentRequest>, runs: Vec<Run>) -> Evidence {
    Evidence {
        sent,
        runs,
        ..Evidence::default()
    }
}

pub fn sent(route: RouteKind, key: RequestKey) -> SentRequest {
    SentRequest {
        key,
        route,
        prompt: PROMPT.into(),
        after_event: None,
        gateway: 0,
        at_ms: 0,
        is_first_try: true,
        patience_ms: 2_000,
        ended_ms: 0,
        outcome: Outcome::NoAnswer { why: "cut".into() },
    }
}

pub fn with_outcome(mut sent: SentRequest, outcome: Outcome) -> SentRequest {
    sent.outcome = outcome;
    sent
}

fn mark(number: u64, key: RequestKey) -> Mark {
    Mark {
        run: number,
        worker: WORKER.into(),
        key,
    }
}

pub fn plain_run(number: u64, key: RequestKey) -> Run {
    let mark = mark(number, key);
    let body = RunBody::Plain(Bytes::from(mark.text() + "\nend\n"));
    run(mark, body, None)
}

pub fn stream_run(number: u64, key: RequestKey, after_event: Option<u32>) -> Run {
    let body = RunBody::Stream { last: LAST_EVENT };
    run(mark(number, key), body, after_event)
}

fn run(mark: Mark, body: RunBody, after_event: Option<u32>) -> Run {
    Run {
        method: "POST".into(),
        version: "v1".into(),
        seal: format!("seal.{}", mark.run),
        prompt: PROMPT.into(),
        after_event,
        cache_source: None,
        at_ms: 0,
        status: 200,
        mark,
        body,
    }
}

/// Returns the complete answer of a run with a plain body.
pub fn answer(run: &Run) -> Outcome {
    let RunBody::Plain(body) = &run.body else {
        panic!("expected a run with a plain body");
    };
    answer_with_body(run, body.clone(), true)
}

pub fn stream_answer(run: &Run, events: &str, is_whole: bool) -> Outcome {
    answer_with_body(run, Bytes::from(events.to_owned()), is_whole)
}

fn answer_with_body(run: &Run, body: Bytes, is_whole: bool) -> Outcome {
    Outcome::Answer(CallerAnswer {
        status: run.status,
        id: Some(run.mark.key.id.clone()),
        seal: Some(run.seal.clone()),
        says_leaving: false,
        names_limit: false,
        body,
        is_whole,
    })
}

pub fn event(number: u32, run: u64, key: RequestKey) -> String {
    let mark = mark(run, key).text();
    format!("id: {number}\ndata: {number}/{LAST_EVENT} {mark}\n\n")
}

pub fn reading(place: &str, key: RequestKey) -> Prefill {
    Prefill {
        place: place.into(),
        key,
        at_ms: 0,
    }
}

pub fn arrival(key: RequestKey) -> Arrival {
    Arrival {
        key,
        worker: WORKER.into(),
        is_reading: false,
        is_taken_up: true,
        is_meant: true,
        at_ms: 0,
    }
}

/// Returns the record of an answer that its worker broke off.
pub fn broken_answer(id: &str) -> BrokenAnswer {
    BrokenAnswer {
        worker: WORKER.into(),
        id: Some(id.into()),
        at_ms: 0,
    }
}
