//! One request carried through as many attempts as it takes and its verdict allows. A stream that
//! breaks is resumed at another engine from the tokens already delivered.

use std::future::Future;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use actix_rt::time::{sleep, timeout};
use actix_web::http::StatusCode;
use tansyhall_admission::{BreakerDecision, BreakerEvent};
use tansyhall_config::Backend;
use tansyhall_core::{EngineName, ServiceName, Timestamp, Verdict};
use tansyhall_engine::protocol::{EngineChunk, EngineRequest};
use tansyhall_engine::{EngineClient, EngineError, EngineStream};

use super::choice::{choose, Choice};
use super::failure::Failure;
use super::requests::RequestRecord;
use crate::state::{InFlight, Node};

/// Longest wait before looking again for an engine that accepts work.
const LOOK_AGAIN: Duration = Duration::from_millis(50);

/// What is known of a request before its first attempt.
pub struct Plan {
    /// The service asked.
    pub service: ServiceName,
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
    _in_flight: InFlight,
}

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
}

impl Execution {
    /// A completion that has not been sent anywhere yet.
    pub fn new(node: Arc<Node>, client: EngineClient, request: EngineRequest, plan: Plan) -> Self {
        let verdict = Verdict::NotRun {
            retry_after: node.callers.health.advised_wait(&plan.service),
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
        }
    }

    /// The next chunk of the answer, or `None` after the last one.
    pub async fn next(&mut self) -> Result<Option<EngineChunk>, Failure> {
        loop {
            let Some(attempt) = &mut self.current else {
                self.connect().await?;
                continue;
            };
            let address = attempt.engine.address;
            let stall = self.node.settings.limits.engine_stall;
            let chunk = watched(&self.client, address, stall, attempt.stream.next()).await;
            match chunk {
                Ok(chunk) => {
                    self.progressed(chunk.as_ref());
                    return Ok(chunk);
                }
                Err(error) => self.broke_off(&error).await?,
            }
        }
    }

    fn progressed(&mut self, chunk: Option<&EngineChunk>) {
        let Some(chunk) = chunk else {
            return;
        };
        let tokens = chunk.token_index.saturating_add(chunk.tokens);
        self.plan.record.generated(tokens);
        if chunk.finish_reason.is_none() {
            return;
        }
        if let Some(attempt) = self.current.take() {
            self.observe(attempt.engine.address, BreakerEvent::Success);
        }
    }

    /// Ends the present attempt after its stream broke, and prepares to resume elsewhere.
    async fn broke_off(&mut self, error: &EngineError) -> Result<(), Failure> {
        let Some(attempt) = self.current.take() else {
            return Ok(());
        };
        self.request.resume_after = attempt.stream.next_token();
        self.cancel_at(attempt.engine.address);
        self.attempt_failed(&attempt.engine, error).await?;
        self.node.metrics.resumed.inc();
        Ok(())
    }

    async fn connect(&mut self) -> Result<(), Failure> {
        loop {
            let (engine, in_flight) = self.next_engine().await?;
            self.attempts += 1;
            self.plan.record.attempted();
            self.unanswered = Some(engine.address);
            let answer = self.send_to(&engine).await;
            self.unanswered = None;
            match answer? {
                Ok(stream) => {
                    self.verdict = self.verdict.after_attempt(Verdict::MayHaveRun);
                    self.current = Some(Attempt {
                        stream,
                        engine,
                        _in_flight: in_flight,
                    });
                    return Ok(());
                }
                Err(error) => self.attempt_failed(&engine, &error).await?,
            }
        }
    }

    /// Waits for an engine that accepts work, until the deadline.
    async fn next_engine(&mut self) -> Result<(Backend, InFlight), Failure> {
        loop {
            if self.verdict != Verdict::MayHaveRun {
                self.check_deadline()?;
            }
            match self.choose()? {
                Choice::Attempt(engine, in_flight) => {
                    let admitted = self.observe(engine.address, BreakerEvent::Attempt);
                    if admitted == BreakerDecision::Admit {
                        return Ok((engine, in_flight));
                    }
                }
                Choice::Wait => {
                    self.check_deadline()?;
                    sleep(LOOK_AGAIN.min(self.remaining())).await;
                }
            }
        }
    }

    fn choose(&self) -> Result<Choice, Failure> {
        let model = &self.request.model;
        choose(&self.node, model, &self.excluded).map_err(|error| {
            let failure = error.failure(model, self.advised_wait());
            self.failure(failure.status, failure.message, failure.verdict)
        })
    }

    /// Fails a request whose deadline has passed while no engine holds it.
    fn check_deadline(&self) -> Result<(), Failure> {
        if !self.remaining().is_zero() {
            return Ok(());
        }
        let not_run = Verdict::NotRun {
            retry_after: self.advised_wait(),
        };
        let message = "the deadline passed before an engine accepted the request".to_owned();
        Err(self.failure(StatusCode::GATEWAY_TIMEOUT, message, not_run))
    }

    /// Sends the request to an engine. The outer error is that the deadline passed first.
    async fn send_to(
        &mut self,
        engine: &Backend,
    ) -> Result<Result<EngineStream, EngineError>, Failure> {
        let stall = self.node.settings.limits.engine_stall;
        let call = self.client.complete(engine.address, &self.request);
        let call = watched(&self.client, engine.address, stall, call);
        if self.verdict == Verdict::MayHaveRun {
            // Part of the answer may be with the caller: it is late now, and still wanted.
            return Ok(call.await);
        }
        let remaining = self.remaining();
        let Ok(result) = timeout(remaining, call).await else {
            // The engine holds the request unanswered, and may yet run it.
            self.cancel_at(engine.address);
            self.observe(engine.address, BreakerEvent::Failure);
            self.verdict = Verdict::MayHaveRun;
            let message = "the deadline passed before an engine answered";
            return Err(Failure::may_have_run(StatusCode::GATEWAY_TIMEOUT, message));
        };
        Ok(result)
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
        self.node.callers.health.advised_wait(&self.plan.service)
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

/// Awaits an engine's answer. Whenever nothing has come for the time `stall`, the engine is asked
/// for its state; if it does not answer that either, the attempt is broken off.
async fn watched<T>(
    client: &EngineClient,
    address: SocketAddr,
    stall: Duration,
    answer: impl Future<Output = Result<T, EngineError>>,
) -> Result<T, EngineError> {
    let mut answer = pin!(answer);
    loop {
        if let Ok(result) = timeout(stall, answer.as_mut()).await {
            return result;
        }
        tokio::select! {
            biased;
            result = answer.as_mut() => return result,
            state = client.state(address) => {
                state.map_err(|error| EngineError::Broken(format!("a silent engine: {error}")))?;
            }
        }
    }
}
