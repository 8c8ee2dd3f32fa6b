//! One request carried through as many attempts as it takes and its verdict allows. A stream that
//! breaks is resumed at another engine from the tokens already delivered.

mod connect;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use actix_rt::time::sleep;
use actix_web::http::StatusCode;
use tansyhall_admission::{BreakerDecision, BreakerEvent};
use tansyhall_config::Backend;
use tansyhall_core::{EngineName, Timestamp, Verdict};
use tansyhall_engine::blocks::BlockHash;
use tansyhall_engine::protocol::{EngineChunk, EngineRequest};
use tansyhall_engine::{EngineClient, EngineError, EngineStream};

use super::failure::Failure;
use super::requests::RequestRecord;
use super::watch::watched;
use crate::dispatch::{InFlight, RequestClass};
use crate::state::Node;

/// What is known of a request before its first attempt.
pub struct Plan {
    /// The service asked, and the request's class in its policy.
    pub class: RequestClass,
    /// Estimated tokens of the prompt.
    pub prompt_tokens: u32,
    /// The prompt's blocks, as engines name them in their cache events.
    pub blocks: Vec<BlockHash>,
    /// Whether the request may be attempted again after it may have run.
    pub repeatable: bool,
    /// When the whole answer is due.
    pub deadline: Timestamp,
    /// The request's record.
    pub record: Arc<RequestRecord>,
}

struct Attempt {
    stream: EngineStream,
    engine: Backend,
    in_flight: InFlight,
    /// The engine that generates the answer after this one has prefilled the prompt.
    decode: Option<Backend>,
}

/// A request whose prompt is prefilled, on its way to the engine that generates the answer.
struct HandOver {
    source: Backend,
    target: Backend,
}

/// What was expected of the first attempt.
struct Expectation {
    sent: Timestamp,
    predicted: Duration,
}

/// Why an engine ended an answer that has as many tokens as it was asked for.
const FINISHED_BY_LENGTH: &str = "length";

/// A completion under way. Dropping it cancels the work at its engine.
pub struct Execution {
    node: Arc<Node>,
    client: EngineClient,
    request: EngineRequest,
    plan: Plan,
    verdict: Verdict,
    attempts: u32,
    excluded: Vec<EngineName>,
    /// The engine that was sent the request and has not answered yet.
    unanswered: Option<SocketAddr>,
    current: Option<Attempt>,
    hand_over: Option<HandOver>,
    expectation: Option<Expectation>,
}

impl Execution {
    /// A completion that has not been sent anywhere yet.
    pub fn new(node: Arc<Node>, client: EngineClient, request: EngineRequest, plan: Plan) -> Self {
        let verdict = Verdict::NotRun {
            retry_after: node.callers.health.advised_wait(&plan.class.service),
        };
        Self {
            node,
            client,
            request,
            plan,
            verdict,
            attempts: 0,
            excluded: Vec::new(),
            unanswered: None,
            current: None,
            hand_over: None,
            expectation: None,
        }
    }

    /// The next chunk of the answer, or `None` after the last one.
    pub async fn next(&mut self) -> Result<Option<EngineChunk>, Failure> {
        loop {
            let Some(attempt) = &mut self.current else {
                match self.hand_over.take() {
                    Some(hand_over) => self.continue_at(hand_over).await?,
                    None => self.connect().await?,
                }
                continue;
            };
            let address = attempt.engine.address;
            let stall = self.node.settings.limits.engine_stall;
            let chunk = watched(&self.client, address, stall, attempt.stream.next()).await;
            match chunk {
                Ok(chunk) => return Ok(chunk.map(|chunk| self.progressed(chunk))),
                Err(error) => self.broke_off(&error).await?,
            }
        }
    }

    /// Notes a chunk and returns it as the caller gets it.
    fn progressed(&mut self, mut chunk: EngineChunk) -> EngineChunk {
        let tokens = chunk.token_index.saturating_add(chunk.tokens);
        self.plan.record.generated(tokens);
        if let Some(attempt) = &self.current {
            attempt.in_flight.first_token();
        }
        let Some(reason) = &chunk.finish_reason else {
            return chunk;
        };
        let Some(attempt) = self.current.take() else {
            return chunk;
        };
        self.observe(attempt.engine.address, BreakerEvent::Success);
        let whole = reason != FINISHED_BY_LENGTH || tokens >= self.request.max_tokens;
        match attempt.decode {
            Some(target) if !whole => {
                self.request.resume_after = tokens;
                let source = attempt.engine;
                self.hand_over = Some(HandOver { source, target });
                chunk.finish_reason = None;
            }
            _ => self.completed(tokens),
        }
        chunk
    }

    /// Learns from a whole answer.
    fn completed(&mut self, tokens: u32) {
        let lengths = &self.node.dispatch.lengths;
        lengths.learn(&self.plan.class, tokens);
        if let Some(expectation) = self.expectation.take() {
            let actual = self.node.clock.now().since(expectation.sent);
            let ratio = actual.as_secs_f64() / expectation.predicted.as_secs_f64();
            self.node.metrics.prediction_ratio.observe(ratio);
        }
    }

    /// Ends the present attempt after its stream broke, and prepares to resume elsewhere.
    async fn broke_off(&mut self, error: &EngineError) -> Result<(), Failure> {
        let Some(attempt) = self.current.take() else {
            return Ok(());
        };
        self.request.resume_after = attempt.stream.next_token();
        self.expectation = None;
        self.cancel_at(attempt.engine.address);
        self.attempt_failed(&attempt.engine, error).await?;
        self.node.metrics.resumed.inc();
        Ok(())
    }

    /// Records a failed attempt and waits before the next; an error ends the request.
    async fn attempt_failed(
        &mut self,
        engine: &Backend,
        error: &EngineError,
    ) -> Result<(), Failure> {
        self.count_failure(engine, error);
        self.verdict = self.verdict.after_attempt(self.outcome(error));
        if let EngineError::Rejected { status, message } = error {
            let status = StatusCode::from_u16(*status).unwrap_or(StatusCode::BAD_REQUEST);
            return Err(self.failure(status, message.clone(), self.verdict));
        }
        if let EngineError::Unavailable(_) = error {
            // Nothing was run and nobody is to blame: this is no retry, only a wait.
            self.attempts -= 1;
            return Ok(());
        }
        self.excluded.push(engine.name.clone());
        let Some(wait) = self.wait_before_retry() else {
            let status = status_of(self.verdict);
            return Err(self.failure(status, error.to_string(), self.verdict));
        };
        sleep(wait).await;
        Ok(())
    }

    /// The wait before the next attempt, or `None` if none is allowed.
    fn wait_before_retry(&self) -> Option<Duration> {
        let max_attempts = self.node.settings.limits.max_attempts;
        let allowed = self.verdict.allows_retry(self.plan.repeatable);
        if !allowed || self.attempts >= max_attempts {
            return None;
        }
        let now = self.node.clock.now();
        let health = &self.node.callers.health;
        health.retry(&self.node.metrics, now, self.attempts.saturating_sub(1))
    }

    fn count_failure(&self, engine: &Backend, error: &EngineError) {
        let metrics = &self.node.metrics;
        metrics.attempts.with_label_values(&[error.name()]).inc();
        if matches!(error, EngineError::Mismatch(_)) {
            metrics.mismatches.inc();
        }
        if let EngineError::Unavailable(_) = error {
            let now = self.node.clock.now();
            self.node.callers.health.pause(engine.address, now);
        }
        let event = match error {
            EngineError::Unavailable(_)
            | EngineError::Refused(_)
            | EngineError::Rejected { .. } => BreakerEvent::Success,
            EngineError::Unreachable(_) | EngineError::Broken(_) | EngineError::Mismatch(_) => {
                BreakerEvent::Failure
            }
        };
        self.observe(engine.address, event);
    }

    fn outcome(&self, error: &EngineError) -> Verdict {
        match error {
            EngineError::Rejected { .. } => Verdict::NotRun {
                retry_after: Duration::ZERO,
            },
            _ if error.may_have_run() => Verdict::MayHaveRun,
            _ => Verdict::NotRun {
                retry_after: self.advised_wait(),
            },
        }
    }

    fn remaining(&self) -> Duration {
        self.plan.deadline.since(self.node.clock.now())
    }

    fn advised_wait(&self) -> Duration {
        self.node
            .callers
            .health
            .advised_wait(&self.plan.class.service)
    }

    fn observe(&self, address: SocketAddr, event: BreakerEvent) -> BreakerDecision {
        let now = self.node.clock.now();
        let health = &self.node.callers.health;
        health.observe(&self.node.metrics, address, now, event)
    }

    /// A failure with `verdict`, unless the request may have run before.
    fn failure(&self, status: StatusCode, message: String, verdict: Verdict) -> Failure {
        Failure {
            status,
            verdict: self.verdict.after_attempt(verdict),
            message,
        }
    }

    fn cancel_at(&self, address: SocketAddr) {
        let client = self.client.clone();
        let request_id = self.request.request_id.clone();
        actix_rt::spawn(async move {
            // An engine that cannot be reached has nothing to cancel that anyone waits for.
            let _ = client.cancel(address, &request_id).await;
        });
    }
}

impl Drop for Execution {
    fn drop(&mut self) {
        let current = self.current.as_ref().map(|attempt| attempt.engine.address);
        if let Some(address) = current.or(self.unanswered) {
            self.cancel_at(address);
        }
    }
}

fn status_of(verdict: Verdict) -> StatusCode {
    match verdict {
        Verdict::NotRun { .. } => StatusCode::SERVICE_UNAVAILABLE,
        Verdict::Completed | Verdict::MayHaveRun => StatusCode::BAD_GATEWAY,
    }
}
