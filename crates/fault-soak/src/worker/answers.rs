//! How a worker answers requests and administrative calls.

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
const MODEL_HEADER: &str = "X-Model";
const TOKENS_HEADER: &str = "X-Token-Counts";
/// Converts thousandths of a request to requests.
const MILLIREQUESTS_PER_REQUEST: f64 = 1_000.0;
/// Maximum time between the arrival of a request and the first byte of its answer, in milliseconds.
const MAX_SERVICE_TIME_MS: u64 = 20;
/// Maximum pause between two events of a stream, in milliseconds.
const MAX_EVENT_PAUSE_MS: u64 = 12;
/// Maximum number of events of a stream.
const MAX_EVENTS: u64 = 9;
/// Maximum number of lines after the mark in a plain body.
const MAX_BODY_LINES: u64 = 24;

/// A request as received on a connection.
#[derive(Debug)]
pub(super) struct Request {
    pub(super) head: Head,
    pub(super) body: Vec<u8>,
}

impl Request {
    fn method(&self) -> &str {
        self.head.first_line_word(0)
    }

    fn target(&self) -> &str {
        self.head.first_line_word(1)
    }

    /// Whether this is a prefill request: the worker only processes the prompt.
    fn is_prefill(&self) -> bool {
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

/// Returns the values of the headers for model, token counts and prompt parts, separated by spaces; `-` for a missing
/// one.
pub(super) fn prompt_text(head: &Head) -> String {
    let values =
        [MODEL_HEADER, TOKENS_HEADER, PROMPT_PARTS].map(|name| head.get(name).unwrap_or("-"));
    values.join(" ")
}

impl WorkerState {
    /// Processes a request and returns the answer.
    pub(super) async fn answer(&self, request: &Request) -> Reply {
        let id = request.head.get(REQUEST_ID);
        let mut reply = self.choose_reply(request, id).await;
        if self.is_advertising_leaving() {
            reply = reply.with(LEAVING, "1");
        }
        if let Some(millirequests) = self.rate_limit_millirequests() {
            let requests = millirequests as f64 / MILLIREQUESTS_PER_REQUEST;
            reply = reply.with(RATE_LIMIT, requests.to_string());
        }
        match id {
            Some(id) => reply.with(REQUEST_ID, id),
            None => reply,
        }
    }

    async fn choose_reply(&self, request: &Request, id: Option<&str>) -> Reply {
        let decision_fault = self.draw_fault(Aspect::Decision);
        if let Some(fault) = decision_fault {
            self.recorder.count_fault(format!("worker {fault:?}"));
        }
        let is_call = RouteKind::of_target(request.target()).is_none();
        let refusal = self.refusal(request, id, decision_fault);
        if let (false, Some(id)) = (is_call, id) {
            self.record_arrival(SeenArrival {
                key: request.key(id),
                is_reading: request.is_prefill(),
                is_taken_up: refusal.is_none(),
                is_meant: self.is_addressed_to_this_worker(request),
            });
        }
        let key = match (refusal, id) {
            (Some(refusal), _) => return refusal,
            (None, _) if is_call => return self.answer_call(request, id, decision_fault),
            (None, None) => return not_executed(400),
            (None, Some(id)) => request.key(id),
        };
        let service_time_ms = self.draw(|random| random.random_range(0..MAX_SERVICE_TIME_MS));
        if request.is_prefill() {
            sleep(Duration::from_millis(service_time_ms)).await;
            return self.answer_prefill(key, decision_fault);
        }
        self.run(request, key, decision_fault, service_time_ms)
            .await
    }

    /// Returns the answer if the request or call is refused before it has any effect.
    fn refusal(
        &self,
        request: &Request,
        id: Option<&str>,
        decision_fault: Option<Fault>,
    ) -> Option<Reply> {
        if !self.is_addressed_to_this_worker(request) || decision_fault == Some(Fault::Misdirect) {
            return Some(not_executed(421));
        }
        RouteKind::of_target(request.target())?;
        if let (Some(id), Some(backoff_ms)) = (id, self.backoff_ms()) {
            return Some(self.request_backoff(request.key(id), backoff_ms));
        }
        if decision_fault == Some(Fault::Refuse) {
            let status = self.draw(|random| [503, 429][random.random_range(0..2)]);
            return Some(not_executed(status).with(RETRY_AFTER, "0.05"));
        }
        let is_wrong_stage = self
            .stage()
            .is_some_and(|stage| (stage == PREFILL) != request.is_prefill());
        if is_wrong_stage {
            return Some(not_executed(421));
        }
        id.is_none().then(|| not_executed(400))
    }

    fn is_addressed_to_this_worker(&self, request: &Request) -> bool {
        let addressee = request.head.get(INSTANCE);
        addressee.is_none_or(|addressee| addressee == self.id)
    }

    fn request_backoff(&self, key: RequestKey, backoff_ms: u64) -> Reply {
        self.recorder.count_fault("worker asks for rest");
        let backoff = BackoffRequest {
            key,
            worker: self.id.clone(),
            at_ms: self.recorder.now_ms(),
            rest_ms: backoff_ms,
        };
        let seconds = Duration::from_millis(backoff_ms).as_secs_f64();
        let refusal = not_executed(503).with(RETRY_AFTER, seconds.to_string());
        refusal.requesting_backoff(backoff)
    }

    fn answer_call(
        &self,
        request: &Request,
        id: Option<&str>,
        decision_fault: Option<Fault>,
    ) -> Reply {
        let (method, target) = (request.method(), request.target());
        self.record_call(format!("{method} {target}"), id);
        match decision_fault {
            Some(Fault::Refuse) => return not_executed(503),
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
                Ok(order) => Reply::new(self.apply_order(order), ""),
                Err(_) => Reply::new(400, ""),
            },
            ("DELETE", target) if target.starts_with("/kv-handle/") => {
                let handle = target.trim_start_matches("/kv-handle/");
                self.recorder
                    .remove_cache(&format!("{}/{handle}", self.address));
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

    fn answer_prefill(&self, key: RequestKey, decision_fault: Option<Fault>) -> Reply {
        if decision_fault == Some(Fault::Fail) {
            return Reply::new(500, "failed");
        }
        let handle = self.recorder.store_cache(self.address, key);
        let body = json!({ "kv_handle": handle, "tokens": 8_000, "version": 1 });
        json_reply(200, body)
    }

    async fn run(
        &self,
        request: &Request,
        key: RequestKey,
        decision_fault: Option<Fault>,
        service_time_ms: u64,
    ) -> Reply {
        let source = request.head.get(CACHE_SOURCE);
        let is_handle_gone = decision_fault == Some(Fault::HandleGone);
        if source.is_some_and(|place| is_handle_gone || !self.recorder.remove_cache(place)) {
            return not_executed(503);
        }
        let run = self.begin_run(request, key, decision_fault == Some(Fault::Fail));
        self.record_run(run.clone());
        sleep(Duration::from_millis(service_time_ms)).await;
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
            true => reply.crashing_worker(run.mark.key),
            false => reply,
        }
    }

    fn begin_run(&self, request: &Request, key: RequestKey, fails: bool) -> Run {
        let run_number = self.recorder.next_run();
        let mark = Mark {
            run: run_number,
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
            version: self.plan.version.to_owned(),
            seal: format!("{}.{run_number}", self.id),
            prompt: prompt_text(&request.head),
            after_event: header(LAST_EVENT).and_then(|id| id.parse().ok()),
            cache_source: header(CACHE_SOURCE).map(str::to_owned),
            at_ms: self.recorder.now_ms(),
            status: if fails { 500 } else { 200 },
            mark,
            body,
        }
    }
}

fn not_executed(status: u16) -> Reply {
    Reply::new(status, "not run").with(NOT_EXECUTED, "1")
}

fn json_reply(status: u16, body: serde_json::Value) -> Reply {
    Reply::new(status, body.to_string()).with("Content-Type", "application/json")
}

/// Returns the number of the last event in the stream for a request with this body. Every worker returns the same
/// number.
fn last_event(body: u64) -> u32 {
    let events = 1 + body % MAX_EVENTS;
    events as u32
}

fn plain_body(mark: &Mark) -> Bytes {
    let lines = mark.key.body % MAX_BODY_LINES;
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
