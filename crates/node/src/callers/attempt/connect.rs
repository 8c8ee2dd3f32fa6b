//! Sends a request to engines until one accepts it.

use std::time::Duration;

use actix_rt::time::{sleep, timeout};
use actix_web::http::StatusCode;
use tansyhall_admission::{BreakerDecision, BreakerEvent};
use tansyhall_config::Backend;
use tansyhall_core::Verdict;
use tansyhall_engine::protocol::EngineRequest;
use tansyhall_engine::{EngineError, EngineStream};
use tansyhall_routing::RequestEstimate;

use super::{Attempt, DecodeHandoff, Execution, LatencyPrediction};
use crate::callers::choice::{choose, Choice, ChosenEngines, EngineQuery};
use crate::callers::failure::Failure;
use crate::callers::watch::await_with_stall_check;
use crate::dispatch::transfer::{move_kv_cache, TransferError};
use crate::dispatch::InFlight;

/// Maximum wait before the next search for an engine that accepts work.
const ENGINE_SEARCH_INTERVAL: Duration = Duration::from_millis(50);
/// Number of prompt tokens left to prefill after a request's KV cache has been handed off.
const HANDOFF_PREFILL_TOKENS: f64 = 0.0;

impl Execution {
    /// Chooses engines and sends them the request until one accepts it.
    pub(super) async fn connect(&mut self) -> Result<(), Failure> {
        loop {
            let ChosenEngines {
                engine,
                in_flight,
                decode,
                predicted,
            } = *self.wait_for_engine().await?;
            self.attempts += 1;
            self.context.record.count_attempt();
            let sent_at = self.node.clock.now();
            self.prediction =
                (self.attempts == 1).then_some(LatencyPrediction { sent_at, predicted });
            let mut request = self.request.clone();
            if decode.is_some() {
                request.max_tokens = request.resume_after + 1;
            }
            if self
                .start_attempt(engine, in_flight, decode, &request)
                .await?
            {
                return Ok(());
            }
        }
    }

    /// Continues at the engine that generates the answer. If the KV cache cannot be moved there,
    /// that engine prefills the prompt itself; if that engine fails, the request is resumed at
    /// another one.
    pub(super) async fn continue_at_decode_engine(
        &mut self,
        handoff: DecodeHandoff,
    ) -> Result<(), Failure> {
        let DecodeHandoff { source, target } = handoff;
        let in_flight = InFlight::begin(
            &self.node,
            &target.name,
            HANDOFF_PREFILL_TOKENS,
            &self.context.blocks,
        );
        let request_id = &self.request.request_id;
        let moved = move_kv_cache(&self.client, request_id, source.address, target.address).await;
        let outcome = moved
            .as_ref()
            .map_or_else(TransferError::name, |()| "moved");
        let transfers = &self.node.metrics.kv_transfers;
        transfers.with_label_values(&[outcome]).inc();
        if moved.is_err_and(|error| error.is_source_unresponsive()) {
            self.observe(source.address, BreakerEvent::Failure);
        }
        let request = self.request.clone();
        self.start_attempt(target, in_flight, None, &request)
            .await?;
        Ok(())
    }

    /// Sends the request to an engine. Returns false if the engine did not accept it and another
    /// one is to be chosen.
    async fn start_attempt(
        &mut self,
        engine: Backend,
        in_flight: InFlight,
        decode: Option<Backend>,
        request: &EngineRequest,
    ) -> Result<bool, Failure> {
        self.pending_engine = Some(engine.address);
        let answer = self.send_to(&engine, request).await;
        self.pending_engine = None;
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
                    in_flight.record_refused();
                }
                self.handle_attempt_failure(&engine, &error).await?;
                Ok(false)
            }
        }
    }

    /// Waits until the deadline for an engine that accepts work.
    async fn wait_for_engine(&mut self) -> Result<Box<ChosenEngines>, Failure> {
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
                    chosen.in_flight.record_refused();
                }
                Choice::Wait => {
                    self.check_deadline()?;
                    sleep(ENGINE_SEARCH_INTERVAL.min(self.time_to_deadline())).await;
                }
            }
        }
    }

    fn choose(&self) -> Result<Choice, Failure> {
        let query = EngineQuery {
            model: &self.request.model,
            excluded: &self.excluded,
            request: self.estimate(),
            blocks: &self.context.blocks,
            time_left: self.time_left(),
        };
        choose(&self.node, &query).map_err(|error| {
            let failure = error.failure(&self.request.model, self.advised_wait());
            self.failure(failure.status, failure.message, failure.verdict)
        })
    }

    /// Estimates the work that is left of the request.
    fn estimate(&self) -> RequestEstimate {
        let request = &self.request;
        let lengths = &self.node.dispatch.lengths;
        let output_tokens = lengths.expected_tokens(&self.context.class, request.max_tokens);
        let delivered = f64::from(request.resume_after);
        let prompt_tokens = f64::from(self.context.prompt_tokens) + delivered;
        RequestEstimate {
            prefill_tokens: prompt_tokens,
            prompt_tokens,
            output_tokens: (output_tokens - delivered).max(1.0),
        }
    }

    /// Returns the seconds until the deadline, or infinity for a request that may have run: it is
    /// finished however late it is.
    fn time_left(&self) -> f64 {
        match self.verdict {
            Verdict::MayHaveRun => f64::INFINITY,
            Verdict::NotRun { .. } | Verdict::Completed => self.time_to_deadline().as_secs_f64(),
        }
    }

    /// Fails a request whose deadline has passed while no engine holds it.
    fn check_deadline(&self) -> Result<(), Failure> {
        if !self.time_to_deadline().is_zero() {
            return Ok(());
        }
        let not_run = Verdict::NotRun {
            retry_after: self.advised_wait(),
        };
        let message = "the deadline passed before an engine accepted the request".to_owned();
        Err(self.failure(StatusCode::GATEWAY_TIMEOUT, message, not_run))
    }

    /// Sends the request to an engine. The outer error means that the deadline passed before an
    /// answer.
    async fn send_to(
        &mut self,
        engine: &Backend,
        request: &EngineRequest,
    ) -> Result<Result<EngineStream, EngineError>, Failure> {
        let stall = self.node.settings.limits.engine_stall;
        let call = self.client.complete(engine.address, request);
        let call = await_with_stall_check(&self.client, engine.address, stall, call);
        if self.verdict == Verdict::MayHaveRun {
            // The caller may have received part of the answer. The rest is wanted even after the
            // deadline.
            return Ok(call.await);
        }
        let time_to_deadline = self.time_to_deadline();
        let Ok(result) = timeout(time_to_deadline, call).await else {
            // The engine holds the request without having answered, and may still run it.
            self.cancel_at(engine.address);
            self.observe(engine.address, BreakerEvent::Failure);
            self.verdict = Verdict::MayHaveRun;
            let message = "the deadline passed before an engine answered";
            return Err(Failure::may_have_run(StatusCode::GATEWAY_TIMEOUT, message));
        };
        Ok(result)
    }
}
