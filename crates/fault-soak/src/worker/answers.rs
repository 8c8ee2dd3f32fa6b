//! What a worker answers to each request and call.

use std::time::Duration;

use bytes::Bytes;
use rand::RngExt;
use serde_json::json;
use tansyhall_platform_standin::{
    CACHE_SOURCE, INSTANCE, LAST_EVENT, LEAVING, NOT_EXECUTED, PROMPT_PARTS, RATE_LIMIT,
    REQUEST_ID, RETRY_AFTER, SEAL, STAGE,
};
use tokio::time::sleep;

use super::reply::Reply;
use super::state::{SeenArrival, WorkerState};
use crate::evidence::{BackoffRequest, Run, RunBody};
use crate::faults::{Aspect, Fault};
use crate::http::Head;
use crate::identity::{body_hash, Mark, RequestKey, CRASH_BODY_PREFIX};
use crate::routes::RouteKind;

const PREFILL: &str = "prefill";
const MODEL: &str = "X-Model";
const TOKENS: &str = "X-Token-Counts";
/// Thousandths of a request in a request.
const MILLIREQUESTS: f64 = 1_000.0;
/// The longest time that a request takes before its answer begins, in milliseconds.
const MAX_WORK_MS: u64 = 20;
/// The longest pause between events, in milliseconds.
const MAX_EVENT_PAUSE_MS: u64 = 12;
/// The most events of a stream.
const MAX_EVENTS: u64 = 9;
/// The most lines that follow the mark in a plain body.
const MAX_LINES: u64 = 24;

/// A request as it came on a connection.
#[derive(Debug)]
pub(super) struct Request {
    pub(super) head: Head,
    pub(super) body: Vec<u8>,
}

impl Request {
    fn method(&self) -> &str {
        self.head.word(0)
    }

    fn target(&self) -> &str {
        self.head.word(1)
    }

    /// Whether only its prompt is to be read.
    fn is_reading(&self) -> bool {
        self.head.get(STAGE) == Some(PREFILL)
    }

    fn key(&self, id: &str) -> RequestKey {
        RequestKey {
            id: id.to_owned(),
            target: self.target().to_owned(),
            body: body_hash(&self.body),
        }
    }
}

/// The headers that tell model, tokens and prompt, as one text.
pub(super) fn prompt_text(head: &Head) -> String {
    let values = [MODEL, TOKENS, PROMPT_PARTS].map(|name| head.get(name).unwrap_or("-"));
    values.join(" ")
}

impl WorkerState {
    /// Works on a request and returns the answer.
    pub(super) async fn answer(&self, request: &Request) -> Reply {
        let id = request.head.get(REQUEST_ID);
        let mut reply = self.decide(request, id).await;
        if self.says_leaving() {
            reply = reply.with(LEAVING, "1");
        }
        if let Some(millirequests) = self.limit_milli() {
            let requests = millirequests as f64 / MILLIREQUESTS;
            reply = reply.with(RATE_LIMIT, requests.to_string());
        }
        match id {
            Some(id) => reply.with(REQUEST_ID, id),
            None => reply,
        }
    }

    async fn decide(&self, request: &Request, id: Option<&str>) -> Reply {
        let verdict = self.draw_fault(Aspect::Verdict);
        if let Some(fault) = verdict {
            self.notebook.count_fault(format!("worker {fault:?}"));
        }
        let is_call = RouteKind::of_target(request.target()).is_none();
        let refusal = self.refusal(request, id, verdict);
        if let (false, Some(id)) = (is_call, id) {
            self.record_arrival(SeenArrival {
                key: request.key(id),
                is_reading: request.is_reading(),
                is_taken_up: refusal.is_none(),
                is_meant: self.is_meant(request),
            });
        }
        let key = match (refusal, id) {
            (Some(refusal), _) => return refusal,
            (None, _) if is_call => return self.answer_call(request, id, verdict),
            (None, None) => return not_run(400),
            (None, Some(id)) => request.key(id),
        };
        let work_ms = self.draw(|random| random.random_range(0..MAX_WORK_MS));
        if request.is_reading() {
            sleep(Duration::from_millis(work_ms)).await;
            return self.read_prompt(key, verdict);
        }
        self.run(request, key, verdict, work_ms).await
    }

    /// The answer to a request or a call that is refused before anything is done.
    fn refusal(
        &self,
        request: &Request,
        id: Option<&str>,
        verdict: Option<Fault>,
    ) -> Option<Reply> {
        if !self.is_meant(request) || verdict == Some(Fault::Misdirect) {
            return Some(not_run(421));
        }
        RouteKind::of_target(request.target())?;
        if let (Some(id), Some(rest_ms)) = (id, self.rest_ms()) {
            return Some(self.ask_for_rest(request.key(id), rest_ms));
        }
        if verdict == Some(Fault::Refuse) {
            let status = self.draw(|random| [503, 429][random.random_range(0..2)]);
            return Some(not_run(status).with(RETRY_AFTER, "0.05"));
        }
        let is_wrong_stage = self
            .stage()
            .is_some_and(|stage| (stage == PREFILL) != request.is_reading());
        if is_wrong_stage {
            return Some(not_run(421));
        }
        id.is_none().then(|| not_run(400))
    }

    fn is_meant(&self, request: &Request) -> bool {
        let meant = request.head.get(INSTANCE);
        meant.is_none_or(|meant| meant == self.id)
    }

    fn ask_for_rest(&self, key: RequestKey, rest_ms: u64) -> Reply {
        self.notebook.count_fault("worker asks for rest");
        let rest = BackoffRequest {
            key,
            worker: self.id.clone(),
            at_ms: self.notebook.now_ms(),
            rest_ms,
        };
        let seconds = Duration::from_millis(rest_ms).as_secs_f64();
        let refusal = not_run(503).with(RETRY_AFTER, seconds.to_string());
        refusal.asking_for(rest)
    }

    fn answer_call(&self, request: &Request, id: Option<&str>, verdict: Option<Fault>) -> Reply {
        let (method, target) = (request.method(), request.target());
        self.record_call(format!("{method} {target}"), id);
        match verdict {
            Some(Fault::Refuse) => return not_run(503),
            Some(Fault::Fail) => return Reply::new(500, "failed"),
            _ => {}
        }
        match (method, target) {
            ("GET", "/report") => self.report(),
            ("GET", "/kv-list") => {
                json_reply(200, json!({ "epoch": 1, "next_token": 0, "held": [] }))
            }
            ("GET", "/healthz") => Reply::new(200, "well").with("X-Instance-Id", &self.id),
            ("POST", "/order") => match serde_json::from_slice(&request.body) {
                Ok(order) => Reply::new(self.take_order(order), ""),
                Err(_) => Reply::new(400, ""),
            },
            ("DELETE", target) if target.starts_with("/kv-handle/") => {
                let handle = target.trim_start_matches("/kv-handle/");
                self.notebook
                    .take_cache(&format!("{}/{handle}", self.address));
                Reply::new(200, "")
            }
            _ => Reply::new(404, ""),
        }
    }

    fn report(&self) -> Reply {
        let report = json!({
            "stage": self.stage(),
            "models": [{ "name": "m", "version": 1, "adapters": [] }],
            "busy": false,
            "seq": self.orders(),
            "queued": 0,
            "running": 1,
            "kv_used": 0,
            "kv_total": 100_000,
            "kv_handles": 0,
        });
        json_reply(200, report)
    }

    fn read_prompt(&self, key: RequestKey, verdict: Option<Fault>) -> Reply {
        if verdict == Some(Fault::Fail) {
            return Reply::new(500, "failed");
        }
        let handle = self.notebook.keep_cache(self.address, key);
        let body = json!({ "kv_handle": handle, "tokens": 8_000, "version": 1 });
        json_reply(200, body)
    }

    async fn run(
        &self,
        request: &Request,
        key: RequestKey,
        verdict: Option<Fault>,
        work_ms: u64,
    ) -> Reply {
        let source = request.head.get(CACHE_SOURCE);
        let is_gone = verdict == Some(Fault::HandleGone);
        if source.is_some_and(|place| is_gone || !self.notebook.take_cache(place)) {
            return not_run(503);
        }
        let run = self.begin_run(request, key, verdict == Some(Fault::Fail));
        self.record_run(run.clone());
        sleep(Duration::from_millis(work_ms)).await;
        let reply = match &run.body {
            RunBody::Plain(body) => Reply::new(run.status, body.clone()),
            RunBody::Stream { last } => {
                let pause_ms = self.draw(|random| random.random_range(0..MAX_EVENT_PAUSE_MS));
                let events = events(&run, *last);
                Reply::stream(run.status, events, Duration::from_millis(pause_ms))
            }
        };
        let reply = reply.with(SEAL, &run.seal);
        match request.body.starts_with(CRASH_BODY_PREFIX) {
            true => reply.ending_worker(run.mark.key),
            false => reply,
        }
    }

    fn begin_run(&self, request: &Request, key: RequestKey, fails: bool) -> Run {
        let number = self.notebook.next_run();
        let mark = Mark {
            run: number,
            worker: self.id.clone(),
            key,
        };
        let streams = RouteKind::of_target(request.target()).is_some_and(RouteKind::is_stream);
        let body = match streams && !fails {
            true => RunBody::Stream {
                last: last_event(mark.key.body),
            },
            false => RunBody::Plain(plain_body(&mark)),
        };
        let header = |name| request.head.get(name);
        Run {
            method: request.method().to_owned(),
            seal: format!("{}.{number}", self.id),
            prompt: prompt_text(&request.head),
            after_event: header(LAST_EVENT).and_then(|id| id.parse().ok()),
            cache_source: header(CACHE_SOURCE).map(str::to_owned),
            at_ms: self.notebook.now_ms(),
            status: if fails { 500 } else { 200 },
            mark,
            body,
        }
    }
}

fn not_run(status: u16) -> Reply {
    Reply::new(status, "not run").with(NOT_EXECUTED, "1")
}

fn json_reply(status: u16, body: serde_json::Value) -> Reply {
    Reply::new(status, body.to_string()).with("Content-Type", "application/json")
}

/// The last event of the stream that a request with this body gets, at any worker.
fn last_event(body: u64) -> u32 {
    let events = 1 + body % MAX_EVENTS;
    events as u32
}

fn plain_body(mark: &Mark) -> Bytes {
    let lines = mark.key.body % MAX_LINES;
    let mut body = mark.text() + "\n";
    for line in 0..lines {
        body.push_str(&format!("line {line} of {lines} of run {}\n", mark.run));
    }
    body.push_str("end\n");
    body.into()
}

fn events(run: &Run, last: u32) -> Vec<Bytes> {
    let first = run.after_event.unwrap_or(0) + 1;
    let mark = run.mark.text();
    let event = |number| Bytes::from(format!("id: {number}\ndata: {number}/{last} {mark}\n\n"));
    (first..=last).map(event).collect()
}
