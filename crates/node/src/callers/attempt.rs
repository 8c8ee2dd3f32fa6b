//! Runs one request with as many attempts as are necessary and its verdict allows. If a stream
//! breaks, the request is resumed at another engine after the tokens already delivered.

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
use super::watch::await_with_stall_check;
use crate::dispatch::{InFlight, RequestClass};
use crate::state::Node;

/// What is known about a request before its first attempt.
pub struct RequestContext {
    /// Requested service, and the request's class in the service's policy.
    pub class: RequestClass,
    /// Estimated number of prompt tokens.
    pub prompt_tokens: u32,
    /// Block hashes of the prompt, as engines report them in their cache events.
    pub blocks: Vec<BlockHash>,
    /// Whether the request may be attempted again after it may have run.
    pub repeatable: bool,
    /// Deadline of the complete answer.
    pub deadline: Timestamp,
    /// The request's record.
    pub record: Arc<RequestRecord>,
}

struct Attempt {
    stream: EngineStream,
    engine: Backend,
    in_flight: InFlight,
    /// Engine that generates the answer after this one has prefilled the prompt.
    decode: Option<Backend>,
}

/// A request whose prompt is prefilled and that continues at the engine that generates the answer.
struct DecodeHandoff {
    source: Backend,
    target: Backend,
}

/// Predicted latency of the first attempt.
struct LatencyPrediction {
    sent_at: Timestamp,
    predicted: Duration,
}

/// Finish reason of an answer that has the requested number of tokens.
const FINISH_REASON_LENGTH: &str = "length";

/// A completion in progress. Dropping it cancels the work at its engine.
pub struct Execution {
    node: Arc<Node>,
    client: EngineClient,
    request: EngineRequest,
    context: RequestContext,
    verdict: Verdict,
    attempts: u32,
    excluded: Vec<EngineName>,
    /// Engine that was sent the request and has not answered yet.
    pending_engine: Option<SocketAddr>,
    current: Option<Attempt>,
    handoff: Option<DecodeHandoff>,
    prediction: Option<LatencyPrediction>,
}

impl Execution {
    /// Returns a completion that has not been sent to any engine yet.
    pub fn new(
        node: Arc<Node>,
        client: EngineClient,
        request: EngineRequest,
        context: RequestContext,
    ) -> Self {
        let verdict = Verdict::NotRun {
            retry_after: node.callers.health.advised_wait(&context.class.service),
        };
        Self {
            node,
            client,
            request,
            context,
            verdict,
            attempts: 0,
            excluded: Vec::new(),
            pending_engine: None,
            current: None,
            handoff: None,
            prediction: None,
        }
    }

    /// Returns the next chunk of the answer, or `None` after the last one.
    pub async fn next(&mut self) -> Result<Option<EngineChunk>, Failure> {
        loop {
            let Some(attempt) = &mut self.current else {
                match self.handoff.take() {
                    Some(handoff) => self.continue_at_decode_engine(handoff).await?,
                    None => self.connect().await?,
                }
                continue;
            };
            let address = attempt.engine.address;
            let stall = self.node.settings.limits.engine_stall;
            let chunk =
                await_with_stall_check(&self.client, address, stall, attempt.stream.next()).await;
            match chunk {
                Ok(chunk) => return Ok(chunk.map(|chunk| self.process_chunk(chunk))),
                Err(error) => self.handle_broken_stream(&error).await?,
            }
        }
    }

    /// Records a chunk and returns it in the form that the caller gets.
    fn process_chunk(&mut self, mut chunk: EngineChunk) -> EngineChunk {
        let tokens = chunk.token_index.saturating_add(chunk.tokens);
        self.context.record.set_generated_tokens(tokens);
        if let Some(attempt) = &self.current {
            attempt.in_flight.record_first_token();
        }
        let Some(reason) = &chunk.finish_reason else {
            return chunk;
        };
        let Some(attempt) = self.current.take() else {
            return chunk;
        };
        self.observe(attempt.engine.address, BreakerEvent::Success);
        let is_complete = reason != FINISH_REASON_LENGTH || tokens >= self.request.max_tokens;
        match attempt.decode {
            Some(target) if !is_complete => {
                self.request.resume_after = tokens;
                let source = attempt.engine;
                self.handoff = Some(DecodeHandoff { source, target });
                chunk.finish_reason = None;
            }
            _ => self.record_completion(tokens),
        }
        chunk
    }

    /// Updates the expected lengths and the accuracy of predictions with a complete answer.
    fn record_completion(&mut self, tokens: u32) {
        let lengths = &self.node.dispatch.lengths;
        lengths.learn(&self.context.class, tokens);
        if let Some(prediction) = self.prediction.take() {
            let actual = self.node.clock.now().since(prediction.sent_at);
            let ratio = actual.as_secs_f64() / prediction.predicted.as_secs_f64();
            self.node.metrics.prediction_ratio.observe(ratio);
        }
    }

    /// Ends the current attempt after its stream broke, and prepares to resume at another engine.
    async fn handle_broken_stream(&mut self, error: &EngineError) -> Result<(), Failure> {
        let Some(attempt) = self.current.take() else {
            return Ok(());
        };
        self.request.resume_after = attempt.stream.next_token();
        self.prediction = None;
        self.cancel_at(attempt.engine.address);
        self.handle_attempt_failure(&attempt.engine, error).await?;
        self.node.metrics.resumed.inc();
        Ok(())
    }

    /// Records a failed attempt and waits before the next one. Returns an error if the request ends
    /// here.
    async fn handle_attempt_failure(
        &mut self,
        engine: &Backend,
        error: &EngineError,
    ) -> Result<(), Failure> {
        self.count_failure(engine, error);
        self.verdict = self.verdict.after_attempt(self.verdict_of_error(error));
        if let EngineError::Rejected { status, message } = error {
            let status = StatusCode::from_u16(*status).unwrap_or(StatusCode::BAD_REQUEST);
            return Err(self.failure(status, message.clone(), self.verdict));
        }
        if let EngineError::Unavailable(_) = error {
            // The engine ran nothing and did not fail: this is only a wait and does not count as an
            // attempt.
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

    /// Returns the wait before the next attempt, or `None` if no further attempt is allowed.
    fn wait_before_retry(&self) -> Option<Duration> {
        let max_attempts = self.node.settings.limits.max_attempts;
        let allowed = self.verdict.allows_retry(self.context.repeatable);
        if !allowed || self.attempts >= max_attempts {
            return None;
        }
        let now = self.node.clock.now();
        let health = &self.node.callers.health;
        health.request_retry(&self.node.metrics, now, self.attempts.saturating_sub(1))
    }

    fn count_failure(&self, engine: &Backend, error: &EngineError) {
        let metrics = &self.node.metrics;
        metrics.attempts.with_label_values(&[error.name()]).inc();
        if matches!(error, EngineError::Mismatch(_)) {
            metrics.mismatches.inc();
        }
        if let EngineError::Unavailable(_) = error {
            let now = self.node.clock.now();
            self.node.callers.health.start_backoff(engine.address, now);
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

    fn verdict_of_error(&self, error: &EngineError) -> Verdict {
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

    fn time_to_deadline(&self) -> Duration {
        self.context.deadline.since(self.node.clock.now())
    }

    fn advised_wait(&self) -> Duration {
        self.node
            .callers
            .health
            .advised_wait(&self.context.class.service)
    }

    fn observe(&self, address: SocketAddr, event: BreakerEvent) -> BreakerDecision {
        let now = self.node.clock.now();
        let health = &self.node.callers.health;
        health.observe(&self.node.metrics, address, now, event)
    }

    /// Returns a failure with `verdict`, unless an earlier attempt may have run.
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
            // If the engine cannot be reached, nobody waits for the work that would be cancelled.
            let _ = client.cancel(address, &request_id).await;
        });
    }
}

impl Drop for Execution {
    fn drop(&mut self) {
        let current = self.current.as_ref().map(|attempt| attempt.engine.address);
        if let Some(address) = current.or(self.pending_engine) {
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
