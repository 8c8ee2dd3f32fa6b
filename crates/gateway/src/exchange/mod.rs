//! Handling of one caller's request, from its arrival to the end of its answer. An [`Exchange`] performs the
//! actions that the [`RequestMachine`] returns and passes their results back to it.

mod attempt;
mod barring;
mod deliver;
mod ending;
mod incarnation;
mod order;
mod placing;
mod prompt;
mod run;
mod version;

use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use tansyhall_core::Timestamp;
use tansyhall_forwarding::{
    Action, Admission, AttemptPolicy, Conclusion, EventOrder, Fingerprint, Need, PromptHandle,
    RefusalCause, RequestEvent, RequestMachine, Route, SendFailure, SoftwareVersion, UrgencyGroup,
    Worker, WorkerId, WorkerState,
};
use tansyhall_memory_budget::Reservation;
use tokio::time::Instant;

use self::attempt::Attempt;
use self::barring::TrialState;
use self::run::ReplacementRule;
use crate::answer::{Answer, AnswerHead, AnswerSink, GatewayAnswer};
use crate::connections::Destination;
use crate::events::{Event, Priority};
use crate::headers::HeaderList;
use crate::placement::OpenPlacement;
use crate::protocol::{CallerTerms, SendTerms, Work};
use crate::send_guard::{SendDetails, SendGuard};
use crate::state::{saturating_millis, InFlightGuard, RoutedRequest, Shared};
use crate::stream_pause::StreamPause;
use crate::worker_request::{RequestKind, WorkerRequest};

/// Time after which a refused caller should retry if there is no better estimate; also the shortest such time
/// for requests that are refused at admission.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(150);
/// The longest time after which a caller that is refused at admission should retry.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(5);
/// The cause in logs and metrics of requests that end because the gateway is about to exit.
const STOP_CAUSE: &str = "stop";
/// The rank of requests that workers serve before all others.
const MOST_URGENT_RANK: u8 = 0;
/// A silent worker is abandoned after this multiple of the latency objective if another worker may run the request,
/// but not before [`EXPECTED_LATENCY_FACTOR`] allows it.
const LATENCY_OBJECTIVE_FACTOR: u32 = 2;
/// A silent worker is not abandoned before this multiple of the expected latency.
const EXPECTED_LATENCY_FACTOR: u32 = 4;

/// A request as received from its caller, with its route.
pub struct CallerRequest {
    /// The HTTP method.
    pub method: String,
    /// Path and query as the caller sent them.
    pub target: String,
    /// Headers without hop-by-hop headers.
    pub headers: HeaderList,
    /// The complete body.
    pub body: Bytes,
    /// The memory reserved for the request.
    pub memory: Reservation,
    /// Identifies the content of the request; it is equal for all attempts.
    pub fingerprint: Fingerprint,
    /// The fingerprints of the parts of its prompt that other requests may share.
    pub shared_parts: Arc<[Fingerprint]>,
    /// The conditions that the caller's headers and body state.
    pub terms: CallerTerms,
    /// The matching route and its service.
    pub routed: RoutedRequest,
    /// When the request arrived.
    pub arrived: Timestamp,
    /// Time until which the caller waits for the answer.
    pub deadline: Timestamp,
}

/// A request in progress.
pub struct Exchange {
    shared: Arc<Shared>,
    request: CallerRequest,
    sink: AnswerSink,
    error_answer: Option<(AnswerHead, Bytes)>,
    /// The attempt of a silent worker, until another worker has answered in its place.
    stalled: Option<Attempt>,
    /// Whether the worker that delivered the last event went silent without an end. Its attempt may have been dropped.
    has_silent_deliverer: bool,
    /// Whether the stream may have ended with the last event delivered, and another worker is asked to continue it.
    has_doubtful_end: bool,
    unused_handle: Option<PromptHandle>,
    /// The placement of the next send, if a scheduler has chosen its worker.
    placed: Option<OpenPlacement>,
    /// The worker of the first send, if this gateway has chosen one that is leaving.
    leaving_worker: Option<WorkerId>,
    retry_after: Duration,
    waiting: Duration,
    cause: &'static str,
    answer_started_after: Option<Duration>,
    /// The order of the events of the answer, whichever workers send them.
    order: EventOrder,
    /// The pauses of the stream, including those between two workers' answers.
    pause: StreamPause,
    /// Whether the request has been counted in its tenant's usage.
    usage_counted: bool,
    /// Random number that determines which workers are compared, and which of several nearly equal engines is chosen.
    draw: u64,
    /// The software version of the worker that began the stream, once that is known. Only workers of this version may
    /// continue it.
    version: Option<SoftwareVersion>,
    trial: TrialState,
    _in_flight: InFlightGuard,
}

impl Exchange {
    /// Creates the exchange for a request that starts now.
    pub fn new(shared: &Arc<Shared>, request: CallerRequest, sink: AnswerSink) -> Self {
        Self {
            _in_flight: InFlightGuard::begin(shared),
            shared: Arc::clone(shared),
            order: order::order_of_answer(&request),
            request,
            sink,
            error_answer: None,
            stalled: None,
            has_silent_deliverer: false,
            has_doubtful_end: false,
            unused_handle: None,
            placed: None,
            leaving_worker: None,
            retry_after: DEFAULT_RETRY_AFTER,
            waiting: Duration::ZERO,
            cause: "",
            answer_started_after: None,
            pause: StreamPause::default(),
            usage_counted: false,
            draw: rand::random(),
            version: None,
            trial: TrialState::Unneeded,
        }
    }

    /// Sends the complete answer, or the head of a streamed one, to the caller.
    fn begin_answer(&mut self, answer: Answer) {
        let elapsed = self.shared.now().since(self.request.arrived);
        self.answer_started_after.get_or_insert(elapsed);
        self.sink.begin(answer);
    }

    /// Runs the request to its end, or until its caller disconnects.
    pub async fn run(mut self) {
        let caller = self.sink.watch_caller();
        let ended = tokio::select! {
            biased;
            ended = self.drive() => Some(ended),
            () = caller.closed() => None,
        };
        match ended {
            Some((conclusion, sends)) => self.conclude(conclusion, sends).await,
            None => self.record("caller_left", 0, Priority::Routine),
        }
        self.release_unused_handle();
        self.cancel_unused_trial();
    }

    async fn drive(&mut self) -> (Conclusion, u32) {
        let now = self.shared.now();
        let service = &self.request.routed.service;
        self.shared.retries.lock().record_request(now, service);
        if let Some(conclusion) = self.check_barred() {
            return (conclusion, 0);
        }
        if !self.find_version().await {
            return (Conclusion::Refused, 0);
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
                self.retry_after = retry_after.clamp(DEFAULT_RETRY_AFTER, MAX_RETRY_AFTER);
                self.waiting = waiting;
                self.cause = refusal_cause(cause);
                return (Conclusion::Refused, 0);
            }
        };
        let mut machine = RequestMachine::new(self.policy(read_apart));
        let mut event = RequestEvent::Arrived;
        loop {
            let action = machine.step(event);
            if let Action::Finish(conclusion) = action {
                let conclusion = self.settle_doubtful_end(conclusion).await;
                if conclusion == Conclusion::Delivered {
                    // The cause says why a stalled worker was not replaced.
                    self.cause = "";
                }
                return (conclusion, machine.sends());
            }
            let shared = Arc::clone(&self.shared);
            let performed = tokio::select! {
                biased;
                event = self.perform(action, &machine) => Some(event),
                () = shared.end_of_requests() => None,
            };
            event = performed.unwrap_or_else(|| {
                self.cause = STOP_CAUSE;
                RequestEvent::DeadlinePassed
            });
        }
    }

    /// Performs an action of the machine and returns its result.
    async fn perform(&mut self, action: Action, machine: &RequestMachine) -> RequestEvent {
        match action {
            Action::Select { need, avoid } => {
                let selected = self.select(need.clone(), avoid).await;
                if selected.is_none() && need != Need::ReadPrompt {
                    self.record_no_worker(&need);
                }
                RequestEvent::Selected(selected)
            }
            Action::CheckRetryBudget
                if self.stalled.is_some()
                    && !self.has_available_worker(machine.avoided_workers()) =>
            {
                self.record_no_worker(&Need::Run);
                RequestEvent::RetryAllowed(false)
            }
            Action::CheckRetryBudget => {
                let allowed = self.check_retry_budget();
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
                let replacement = ReplacementRule::of(machine);
                let event = self
                    .run_on(&worker, source, resume_after, &replacement)
                    .await;
                self.record_trial_send(&event);
                event
            }
            Action::AwaitStalled => {
                let replacement = ReplacementRule::of(machine);
                self.await_stalled(&replacement).await
            }
            // A finished machine has no further action.
            Action::Finish(_) => RequestEvent::DeadlinePassed,
        }
    }

    /// Counts the request in its tenant's usage as started at `began`, unless it has been counted before.
    fn count_usage(&mut self, began: Timestamp) {
        let tenant = self.request.routed.tenant.as_ref();
        if let (Some(usage), Some(tenant), false) = (&self.shared.usage, tenant, self.usage_counted)
        {
            usage.count(began, tenant);
            self.usage_counted = true;
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

    fn check_retry_budget(&self) -> bool {
        let now = self.shared.now();
        let service = &self.request.routed.service;
        self.shared.retries.lock().try_retry(now, service)
    }

    fn retries_left(&self, now: Timestamp) -> u64 {
        let service = &self.request.routed.service;
        let remaining = self.shared.retries.lock().remaining(now, service);
        remaining.max(0.0) as u64
    }

    fn worker(&self, id: &WorkerId) -> Option<Worker> {
        self.shared.directory.lock().get(id).cloned()
    }

    fn begin_send(&mut self, worker: &Worker, kind: RequestKind, need: Need) -> SendGuard {
        let is_for_worker = |placed: &OpenPlacement| placed.placement().worker == worker.id;
        let placement = self.placed.take().filter(is_for_worker);
        if worker.state == WorkerState::Draining {
            let sends = &self.shared.metrics.leaving_worker_sends;
            sends.with_label_values(&[worker.service.as_str()]).inc();
        }
        let sent = SendDetails {
            request_id: self.request_id().to_owned(),
            fingerprint: self.request.fingerprint,
            shared_parts: Arc::clone(&self.request.shared_parts),
            route: self.route().name.clone(),
            yields: self.request.routed.yields,
            max_pause: self.route().pause_objective,
            worker: worker.id.clone(),
            service: worker.service.clone(),
            version: worker.version.clone(),
            kind,
            prompt: self.request.terms.prompt.clone(),
            need,
        };
        SendGuard::begin(&self.shared, sent, placement)
    }

    fn destination(&self, worker: &Worker, guard: &SendGuard) -> Destination {
        match guard.is_placed() {
            true => self.shared.placed_destination(worker),
            false => self.shared.destination(worker),
        }
    }

    fn time_left(&self) -> Duration {
        self.request.deadline.since(self.shared.now())
    }

    fn deadline(&self) -> Instant {
        Instant::now() + self.time_left()
    }

    /// Returns the time at which a silent worker is abandoned.
    fn silence_deadline(&self, guard: &SendGuard) -> Instant {
        Instant::now() + self.max_silence(guard)
    }

    /// Returns how long to wait for a silent worker if another worker may run the request.
    fn max_silence(&self, guard: &SendGuard) -> Duration {
        let by_objective = self.route().latency_objective * LATENCY_OBJECTIVE_FACTOR;
        let by_expectation = guard.expected_latency() * EXPECTED_LATENCY_FACTOR;
        by_objective.max(by_expectation)
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
            kind: guard.kind(),
            has_rate_token: guard.has_rate_token(),
            method: self.request.method.clone(),
            target: self.request.target.clone(),
            headers: protocol.worker_headers(&self.request.headers, &terms),
            body: self.request.body.clone(),
        }
    }

    /// Returns the rank to send to the worker. Prompt reads that cost hardly anything get the most urgent rank:
    /// they delay no other request, and behind long reads of a more urgent rank they could wait forever.
    fn rank_of(&self, work: &Work, guard: &SendGuard) -> u8 {
        let goes_first = *work == Work::ReadPrompt && guard.is_short_reading();
        if goes_first {
            return MOST_URGENT_RANK;
        }
        self.request.routed.rank
    }

    async fn conclude(&mut self, conclusion: Conclusion, sends: u32) {
        let (outcome, own_answer) = match conclusion {
            Conclusion::Delivered => ("delivered", None),
            Conclusion::WorkerError => ("worker_error", None),
            Conclusion::Refused => {
                let retry_after = self.retry_after;
                ("refused", Some(GatewayAnswer::NotRun { retry_after }))
            }
            Conclusion::Lost => ("lost", Some(GatewayAnswer::Lost)),
            Conclusion::TimedOut => ("timed_out", Some(GatewayAnswer::TimedOut)),
            Conclusion::Barred => ("barred", Some(GatewayAnswer::Barred)),
            Conclusion::Broken => ("broken", None),
        };
        if matches!(
            conclusion,
            Conclusion::Delivered | Conclusion::WorkerError | Conclusion::TimedOut
        ) {
            let took = self.shared.now().since(self.request.arrived);
            let mut answer_times = self.shared.answer_times.lock();
            answer_times.record(&self.route().name, took);
        }
        let priority = match conclusion {
            Conclusion::Delivered | Conclusion::WorkerError => Priority::Routine,
            _ => Priority::Important,
        };
        self.record(outcome, sends, priority);
        if let Some(own_answer) = own_answer {
            self.sink.begin(Answer::Gateway(own_answer));
        }
        match (conclusion, self.error_answer.take()) {
            (Conclusion::WorkerError, Some((head, body))) => {
                self.sink.begin(Answer::Whole(head, body));
            }
            (Conclusion::WorkerError, None) => {
                self.sink.begin(Answer::Gateway(GatewayAnswer::Lost))
            }
            _ => {}
        }
    }

    fn record(&self, outcome: &str, sends: u32, priority: Priority) {
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
        let pause = self.pause.longest().unwrap_or_default();
        if self
            .route()
            .pause_objective
            .is_some_and(|limit| pause > limit)
        {
            metrics
                .long_stream_pauses
                .with_label_values(&[route.as_str()])
                .inc();
        }
        let now = self.shared.now();
        let event = Event::Request {
            request: self.request_id(),
            fingerprint: &self.request.fingerprint.to_string(),
            route,
            configuration: self.request.routed.version,
            outcome,
            cause: self.cause,
            urgency: UrgencyGroup::of(self.request.routed.yields).name(),
            waiting_ms: saturating_millis(self.waiting),
            sends,
            objective_ms: saturating_millis(self.route().latency_objective),
            begun_ms: saturating_millis(self.answer_started_after.unwrap_or_default()),
            took_ms: saturating_millis(now.since(self.request.arrived)),
            pause_ms: saturating_millis(pause),
            left_ms: saturating_millis(self.request.deadline.since(now)),
            retries_left: self.retries_left(now),
            store_age_ms: self.shared.store_age_ms(),
            gateways: self.shared.gateways.load(Ordering::Relaxed),
            resumes: self.first_attempt().unwrap_or_default(),
        };
        self.shared.log.record(priority, &event);
    }
}

/// Returns the name of a refusal cause in logs and metrics.
fn refusal_cause(cause: RefusalCause) -> &'static str {
    match cause {
        RefusalCause::Overload => "overload",
        RefusalCause::TenantShare => "tenant_share",
        RefusalCause::RateLimit => "rate_limit",
    }
}

/// Returns the event for a failed send.
fn failed(failure: SendFailure) -> RequestEvent {
    RequestEvent::Failed(failure)
}
