//! One request from its arrival to its end: performs the actions of its
//! [`RequestMachine`] and reports back what came of them.

mod deliver;
mod placing;
mod prompt;
mod run;

use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use tansyhall_core::Timestamp;
use tansyhall_forwarding::{
    Action, Admission, AttemptPolicy, Conclusion, Fingerprint, Need, PromptHandle, RefusalCause,
    RequestEvent, RequestMachine, Route, SendFailure, Worker, WorkerId,
};
use tokio::time::Instant;

use crate::answer::{Answer, AnswerHead, AnswerSink, OwnAnswer};
use crate::events::{Event, Weight};
use crate::headers::HeaderList;
use crate::placement::OpenPlacement;
use crate::protocol::{CallerTerms, SendTerms, Work};
use crate::send_guard::{SendGuard, Sent};
use crate::state::{whole_millis, InFlight, Routed, Shared};
use crate::worker_request::{Asked, WorkerRequest};

/// When a refused caller should come back, if nothing better is known.
const RETRY_AFTER: Duration = Duration::from_millis(150);
/// The longest time after which a refused caller should come back.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(5);
/// The rank of what goes before all else.
const MOST_URGENT: u8 = 0;
/// A silent worker is given up after this many times the latency objective, where another may try,
const SILENCE_FACTOR: u32 = 2;
/// but not before this many times the time that was expected.
const EXPECTED_FACTOR: u32 = 4;

/// A request as it came from its caller, with its route.
pub struct CallerRequest {
    /// The method.
    pub method: String,
    /// Path and query as sent.
    pub target: String,
    /// Headers without those of one connection.
    pub headers: HeaderList,
    /// The whole body.
    pub body: Bytes,
    /// What it asks for, equal for all its tries.
    pub fingerprint: Fingerprint,
    /// What the caller says of it.
    pub terms: CallerTerms,
    /// Where it goes.
    pub routed: Routed,
    /// When it arrived.
    pub arrived: Timestamp,
    /// When its time is over.
    pub deadline: Timestamp,
}

/// A request under way.
pub struct Exchange {
    shared: Arc<Shared>,
    request: CallerRequest,
    sink: AnswerSink,
    error_answer: Option<(AnswerHead, Bytes)>,
    unused_handle: Option<PromptHandle>,
    /// Where a scheduler has placed the next send.
    placed: Option<OpenPlacement>,
    retry_after: Duration,
    waiting: Duration,
    cause: &'static str,
    begun_after: Option<Duration>,
    /// Whether it counts in its tenant's usage already.
    counted: bool,
    /// Draws the compared workers, and one of nearly equal engines.
    draw: u64,
    _in_flight: InFlight,
}

impl Exchange {
    /// A request that is about to begin.
    pub fn new(shared: &Arc<Shared>, request: CallerRequest, sink: AnswerSink) -> Self {
        Self {
            _in_flight: InFlight::begin(shared),
            shared: Arc::clone(shared),
            request,
            sink,
            error_answer: None,
            unused_handle: None,
            placed: None,
            retry_after: RETRY_AFTER,
            waiting: Duration::ZERO,
            cause: "",
            begun_after: None,
            counted: false,
            draw: rand::random(),
        }
    }

    /// Sends the answer, or its head, to the caller.
    fn begin_answer(&mut self, answer: Answer) {
        let elapsed = self.shared.now().since(self.request.arrived);
        self.begun_after.get_or_insert(elapsed);
        self.sink.begin(answer);
    }

    /// Runs the request to its end, or until its caller leaves.
    pub async fn run(mut self) {
        let caller = self.sink.watch_caller();
        let ended = tokio::select! {
            biased;
            ended = self.drive() => Some(ended),
            () = caller.closed() => None,
        };
        match ended {
            Some((conclusion, sends)) => self.conclude(conclusion, sends).await,
            None => self.record("caller_left", 0, Weight::Routine),
        }
        self.release_unused_handle();
    }

    async fn drive(&mut self) -> (Conclusion, u32) {
        let now = self.shared.now();
        let service = &self.request.routed.service;
        self.shared.retries.lock().record_request(now, service);
        if self.is_barred() {
            return (Conclusion::Barred, 0);
        }
        let read_apart = match self.admit(now).await {
            Admission::Admitted { read_apart, draw } => {
                self.draw = draw;
                read_apart
            }
            Admission::Refused {
                cause,
                waiting,
                retry_after,
            } => {
                self.retry_after = retry_after.clamp(RETRY_AFTER, MAX_RETRY_AFTER);
                self.waiting = waiting;
                self.cause = refusal_cause(cause);
                return (Conclusion::Refused, 0);
            }
        };
        let mut machine = RequestMachine::new(self.policy(read_apart));
        let mut event = RequestEvent::Arrived;
        loop {
            event = match machine.step(event) {
                Action::Select { need, avoid } => {
                    let selected = self.select(need.clone(), avoid).await;
                    if selected.is_none() && need != Need::ReadPrompt {
                        self.note_no_worker(&need);
                    }
                    RequestEvent::Selected(selected)
                }
                Action::CheckRetryBudget => {
                    let allowed = self.ask_budget();
                    if !allowed {
                        self.cause = "retry_budget";
                    }
                    RequestEvent::RetryAllowed(allowed)
                }
                Action::ReadPrompt { .. } | Action::Run { .. } if self.is_barred() => {
                    RequestEvent::Barred
                }
                Action::ReadPrompt { worker } => self.read_prompt(&worker).await,
                Action::Run {
                    worker,
                    source,
                    resume_after,
                } => {
                    let patient = !machine.may_retry_on_another_worker();
                    self.run_on(&worker, source, resume_after, patient).await
                }
                Action::Finish(conclusion) => return (conclusion, machine.sends()),
            };
        }
    }

    /// Counts the request in its tenant's usage, once, as having begun to run at `began`.
    fn count_usage(&mut self, began: Timestamp) {
        let tenant = self.request.routed.tenant.as_ref();
        if let (Some(usage), Some(tenant), false) = (&self.shared.usage, tenant, self.counted) {
            usage.count(began, tenant);
            self.counted = true;
        }
    }

    fn route(&self) -> &Route {
        &self.request.routed.route
    }

    fn request_id(&self) -> &str {
        self.request.terms.request_id.as_deref().unwrap_or_default()
    }

    fn policy(&self, read_apart: bool) -> AttemptPolicy {
        AttemptPolicy {
            repeatability: self.route().repeatability,
            max_attempts: self.route().max_attempts,
            read_apart,
        }
    }

    /// Whether workers end under the request, as far as this gateway has heard by now.
    fn is_barred(&self) -> bool {
        let bars = self.shared.settings.read().decisions.quarantine;
        bars && self
            .shared
            .quarantine
            .lock()
            .is_barred(self.request.fingerprint)
    }

    fn ask_budget(&self) -> bool {
        let now = self.shared.now();
        let service = &self.request.routed.service;
        self.shared.retries.lock().try_retry(now, service)
    }

    fn retries_left(&self, now: Timestamp) -> u64 {
        let service = &self.request.routed.service;
        let left = self.shared.retries.lock().remaining(now, service);
        left.max(0.0) as u64
    }

    fn worker(&self, id: &WorkerId) -> Option<Worker> {
        self.shared.directory.lock().get(id).cloned()
    }

    fn begin_send(&mut self, worker: &Worker, asked: Asked, need: Need) -> SendGuard {
        let chosen = |placed: &OpenPlacement| placed.placement().worker == worker.id;
        let placement = self.placed.take().filter(chosen);
        let sent = Sent {
            request_id: self.request_id().to_owned(),
            fingerprint: self.request.fingerprint,
            route: self.route().name.clone(),
            worker: worker.id.clone(),
            service: worker.service.clone(),
            asked,
            prompt: self.request.terms.prompt.clone(),
            need,
        };
        SendGuard::begin(&self.shared, sent, placement)
    }

    fn time_left(&self) -> Duration {
        self.request.deadline.since(self.shared.now())
    }

    fn deadline(&self) -> Instant {
        Instant::now() + self.time_left()
    }

    /// The moment at which a worker that has said nothing is given up.
    fn silence_limit(&self, guard: &SendGuard) -> Instant {
        Instant::now() + self.longest_silence(guard)
    }

    /// How long a worker that says nothing is waited for where another may try.
    fn longest_silence(&self, guard: &SendGuard) -> Duration {
        let usual = self.route().latency_objective * SILENCE_FACTOR;
        let expected = guard.expected() * EXPECTED_FACTOR;
        usual.max(expected)
    }

    fn worker_request(&self, worker: &Worker, work: Work, guard: &SendGuard) -> WorkerRequest {
        let terms = SendTerms {
            worker: worker.id.clone(),
            time_left: self.time_left(),
            rank: self.rank_of(&work, guard),
            tenant: self.request.routed.tenant.clone(),
            work,
            fetch_from: guard.fetch_from(),
        };
        let protocol = &self.shared.protocol;
        WorkerRequest {
            asked: guard.asked(),
            has_rate_token: guard.has_rate_token(),
            method: self.request.method.clone(),
            target: self.request.target.clone(),
            headers: protocol.worker_headers(&self.request.headers, &terms),
            body: self.request.body.clone(),
        }
    }

    /// The rank that a worker is told. Readings that cost hardly anything go before all others: they
    /// keep nobody waiting, and behind long ones of a higher rank they would wait without end.
    fn rank_of(&self, work: &Work, guard: &SendGuard) -> u8 {
        let first = *work == Work::ReadPrompt && guard.is_short_reading();
        if first {
            return MOST_URGENT;
        }
        self.request.routed.rank
    }

    async fn conclude(&mut self, conclusion: Conclusion, sends: u32) {
        let (outcome, own) = match conclusion {
            Conclusion::Delivered => ("delivered", None),
            Conclusion::WorkerError => ("worker_error", None),
            Conclusion::Refused => {
                let retry_after = self.retry_after;
                ("refused", Some(OwnAnswer::NotRun { retry_after }))
            }
            Conclusion::Lost => ("lost", Some(OwnAnswer::Lost)),
            Conclusion::TimedOut => ("timed_out", Some(OwnAnswer::TimedOut)),
            Conclusion::Barred => ("barred", Some(OwnAnswer::Barred)),
            Conclusion::Broken => ("broken", None),
        };
        let weight = match conclusion {
            Conclusion::Delivered | Conclusion::WorkerError => Weight::Routine,
            _ => Weight::Important,
        };
        self.record(outcome, sends, weight);
        if let Some(own) = own {
            self.sink.begin(Answer::Own(own));
        }
        match (conclusion, self.error_answer.take()) {
            (Conclusion::WorkerError, Some((head, body))) => {
                self.sink.begin(Answer::Whole(head, body));
            }
            (Conclusion::WorkerError, None) => self.sink.begin(Answer::Own(OwnAnswer::Lost)),
            _ => {}
        }
    }

    fn record(&self, outcome: &str, sends: u32, weight: Weight) {
        let route = &self.route().name;
        let metrics = &self.shared.metrics;
        metrics
            .requests
            .with_label_values(&[
                route.as_str(),
                self.request.routed.service.as_str(),
                outcome,
                self.cause,
            ])
            .inc();
        let now = self.shared.now();
        let event = Event::Request {
            request: self.request_id(),
            fingerprint: &self.request.fingerprint.to_string(),
            route,
            configuration: self.request.routed.version,
            outcome,
            cause: self.cause,
            waiting_ms: whole_millis(self.waiting),
            sends,
            objective_ms: whole_millis(self.route().latency_objective),
            begun_ms: whole_millis(self.begun_after.unwrap_or_default()),
            took_ms: whole_millis(now.since(self.request.arrived)),
            left_ms: whole_millis(self.request.deadline.since(now)),
            retries_left: self.retries_left(now),
            store_age_ms: self.shared.store_age_ms(),
            gateways: self.shared.gateways.load(Ordering::Relaxed),
        };
        self.shared.log.record(weight, &event);
    }
}

/// A refusal's cause as log and metrics name it.
fn refusal_cause(cause: RefusalCause) -> &'static str {
    match cause {
        RefusalCause::Overload => "overload",
        RefusalCause::TenantShare => "tenant_share",
        RefusalCause::RateLimit => "rate_limit",
    }
}

/// The event for a send that failed.
fn failed(failure: SendFailure) -> RequestEvent {
    RequestEvent::Failed(failure)
}
