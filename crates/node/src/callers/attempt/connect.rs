//! From a request without an engine to one whose engine has accepted it.

use std::time::Duration;

use actix_rt::time::{sleep, timeout};
use actix_web::http::StatusCode;
use tansyhall_admission::{BreakerDecision, BreakerEvent};
use tansyhall_config::Backend;
use tansyhall_core::Verdict;
use tansyhall_engine::protocol::EngineRequest;
use tansyhall_engine::{EngineError, EngineStream};
use tansyhall_routing::RequestEstimate;

use super::{Attempt, Execution, Expectation, HandOver};
use crate::callers::choice::{choose, Choice, Chosen, Question};
use crate::callers::failure::Failure;
use crate::callers::watch::watched;
use crate::dispatch::transfer::{move_kv_cache, TransferError};
use crate::dispatch::InFlight;

/// Longest wait before looking again for an engine that accepts work.
const LOOK_AGAIN: Duration = Duration::from_millis(50);
/// Prompt tokens left to prefill once a request's KV cache has been handed over.
const HANDED_OVER_TOKENS: f64 = 0.0;

impl Execution {
    /// Chooses engines and sends them the request until one accepts it.
    pub(super) async fn connect(&mut self) -> Result<(), Failure> {
        loop {
            let Chosen {
                engine,
                in_flight,
                decode,
                predicted,
            } = *self.next_engine().await?;
            self.attempts += 1;
            self.plan.record.attempted();
            let sent = self.node.clock.now();
            self.expectation = (self.attempts == 1).then_some(Expectation { sent, predicted });
            let mut request = self.request.clone();
            if decode.is_some() {
                request.max_tokens = request.resume_after + 1;
            }
            if self.begin(engine, in_flight, decode, &request).await? {
                return Ok(());
            }
        }
    }

    /// Continues at the engine that generates the answer. If its KV cache cannot be moved there,
    /// that engine prefills the prompt itself; if it fails, the request is resumed elsewhere.
    pub(super) async fn continue_at(&mut self, hand_over: HandOver) -> Result<(), Failure> {
        let HandOver { source, target } = hand_over;
        let in_flight = InFlight::begin(
            &self.node,
            &target.name,
            HANDED_OVER_TOKENS,
            &self.plan.blocks,
        );
        let request_id = &self.request.request_id;
        let moved = move_kv_cache(&self.client, request_id, source.address, target.address).await;
        let outcome = moved
            .as_ref()
            .map_or_else(TransferError::name, |()| "moved");
        let transfers = &self.node.metrics.kv_transfers;
        transfers.with_label_values(&[outcome]).inc();
        if moved.is_err_and(|error| error.source_is_lost()) {
            self.observe(source.address, BreakerEvent::Failure);
        }
        let request = self.request.clone();
        self.begin(target, in_flight, None, &request).await?;
        Ok(())
    }

    /// Sends the request to an engine; false if it did not accept and another is to be chosen.
    async fn begin(
        &mut self,
        engine: Backend,
        in_flight: InFlight,
        decode: Option<Backend>,
        request: &EngineRequest,
    ) -> Result<bool, Failure> {
        self.unanswered = Some(engine.address);
        let answer = self.send_to(&engine, request).await;
        self.unanswered = None;
        match answer? {
            Ok(stream) => {
                self.verdict = self.verdict.after_attempt(Verdict::MayHaveRun);
                self.current = Some(Attempt {
                    stream,
                    engine,
                    in_flight,
                    decode,
                });
                Ok(true)
            }
            Err(error) => {
                if error.may_have_run() {
                    drop(in_flight);
                } else {
                    in_flight.refused();
                }
                self.attempt_failed(&engine, &error).await?;
                Ok(false)
            }
        }
    }

    /// Waits for an engine that accepts work, until the deadline.
    async fn next_engine(&mut self) -> Result<Box<Chosen>, Failure> {
        loop {
            if self.verdict != Verdict::MayHaveRun {
                self.check_deadline()?;
            }
            match self.choose()? {
                Choice::Attempt(chosen) => {
                    let admitted = self.observe(chosen.engine.address, BreakerEvent::Attempt);
                    if admitted == BreakerDecision::Admit {
                        return Ok(chosen);
                    }
                    chosen.in_flight.refused();
                }
                Choice::Wait => {
                    self.check_deadline()?;
                    sleep(LOOK_AGAIN.min(self.remaining())).await;
                }
            }
        }
    }

    fn choose(&self) -> Result<Choice, Failure> {
        let question = Question {
            model: &self.request.model,
            excluded: &self.excluded,
            request: self.estimate(),
            blocks: &self.plan.blocks,
            time_left: self.time_left(),
        };
        choose(&self.node, &question).map_err(|error| {
            let failure = error.failure(&self.request.model, self.advised_wait());
            self.failure(failure.status, failure.message, failure.verdict)
        })
    }

    /// What is left of the request to ask of an engine.
    fn estimate(&self) -> RequestEstimate {
        let request = &self.request;
        let lengths = &self.node.dispatch.lengths;
        let output_tokens = lengths.expect(&self.plan.class, request.max_tokens);
        let delivered = f64::from(request.resume_after);
        let prompt_tokens = f64::from(self.plan.prompt_tokens) + delivered;
        RequestEstimate {
            prefill_tokens: prompt_tokens,
            prompt_tokens,
            output_tokens: (output_tokens - delivered).max(1.0),
        }
    }

    /// Seconds to the deadline. A request that may have run is finished however late it is.
    fn time_left(&self) -> f64 {
        match self.verdict {
            Verdict::MayHaveRun => f64::INFINITY,
            Verdict::NotRun { .. } | Verdict::Completed => self.remaining().as_secs_f64(),
        }
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
        request: &EngineRequest,
    ) -> Result<Result<EngineStream, EngineError>, Failure> {
        let stall = self.node.settings.limits.engine_stall;
        let call = self.client.complete(engine.address, request);
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
}
