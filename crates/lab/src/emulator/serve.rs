//! Events at engines: work arrives, iterations end, answers advance and complete, and engines crash
//! and lose their work.

use std::time::Duration;

use tansyhall_core::RequestId;
use tansyhall_engine_model::Work;
use tansyhall_routing::Placement;

use super::engine::EngineMode;
use super::events::Event;
use super::run::Emulation;

impl Emulation<'_> {
    pub(super) fn send(
        &mut self,
        request: usize,
        engine: usize,
        decode_part: bool,
        prefill_tokens: f64,
        delay: Duration,
    ) {
        let node = self.node_of(request);
        let id = RequestId(request as u128);
        self.nodes[node].engines[engine].record_sent(self.now, id, prefill_tokens);
        self.true_rates[engine].add(self.now, prefill_tokens);
        self.events.push(
            self.now + delay,
            Event::Submit {
                engine,
                request,
                decode_part,
            },
        );
    }

    pub(super) fn submit(&mut self, engine: usize, request: usize, decode_part: bool) {
        let traced = self.trace[request];
        let progress = self.progress[request];
        let split = matches!(progress.placement, Some(Placement::Split { .. }));
        let context = traced.prompt_tokens + progress.generated;
        let remaining = traced.output_tokens - progress.generated;
        let priority = if self.strategy.uses_priorities() {
            traced.priority
        } else {
            1
        };
        let work = Work {
            id: RequestId(request as u128),
            prefill_tokens: if decode_part { 0 } else { context },
            context_tokens: context,
            output_tokens: if split && !decode_part { 1 } else { remaining },
            priority,
        };
        let accepted =
            self.engines[engine].accepts_work() && self.engines[engine].batch.submit(work).is_ok();
        if accepted {
            self.engines[engine].accepted_prompt_tokens += f64::from(work.prefill_tokens);
            return self.start_iteration(engine);
        }
        let node = self.node_of(request);
        self.nodes[node].engines[engine].record_finished(self.now, work.id);
        self.nodes[node].engines[engine].accepts_work = self.engines[engine].accepts_work();
        self.route(request);
    }

    pub(super) fn start_iteration(&mut self, engine: usize) {
        let state = &mut self.engines[engine];
        if state.iterating || state.mode == EngineMode::Down {
            return;
        }
        if let Some(end) = state.batch.begin_iteration(self.now) {
            state.iterating = true;
            let incarnation = state.incarnation;
            self.events.push(
                end,
                Event::IterationEnd {
                    engine,
                    incarnation,
                },
            );
        }
    }

    pub(super) fn finish_iteration(&mut self, engine: usize, incarnation: u32) {
        if self.engines[engine].incarnation != incarnation {
            return;
        }
        self.engines[engine].iterating = false;
        for step in self.engines[engine].batch.finish_iteration() {
            self.record_progress(engine, step.id.0 as usize, step.generated, step.finished);
        }
        self.start_iteration(engine);
        self.start_role_change_if_idle(engine);
    }

    pub(super) fn record_progress(
        &mut self,
        engine: usize,
        request: usize,
        generated: u32,
        finished: bool,
    ) {
        let node = self.node_of(request);
        let id = RequestId(request as u128);
        let progress = &mut self.progress[request];
        progress.generated = progress.generated_before + generated;
        progress.first_token.get_or_insert(self.now);
        self.nodes[node].engines[engine].record_first_token(self.now, id);
        if !finished {
            return;
        }
        self.nodes[node].engines[engine].record_finished(self.now, id);
        let progress = &mut self.progress[request];
        if progress.generated >= self.trace[request].output_tokens {
            return self.complete(request);
        }
        if let Some(Placement::Split { decode, .. }) = progress.placement {
            progress.generated_before = progress.generated;
            let context = self.trace[request].prompt_tokens + progress.generated;
            let transfer_seconds = f64::from(context) * self.conditions.transfer_token;
            let delay = Duration::from_secs_f64(transfer_seconds) + self.conditions.link_delay;
            self.send(request, decode, true, 0.0, delay);
        }
    }

    pub(super) fn complete(&mut self, request: usize) {
        let traced = &self.trace[request];
        let progress = &mut self.progress[request];
        progress.done = true;
        let delivered = self.now + self.conditions.link_delay;
        self.outcome.completed += 1;
        let whole = delivered.since(traced.arrival).as_micros() as u64;
        self.outcome
            .whole
            .record(whole.max(1))
            .expect("histogram resizes automatically");
        if let Some(first_token) = progress.first_token {
            let elapsed = (first_token + self.conditions.link_delay).since(traced.arrival);
            let micros = elapsed.as_micros() as u64;
            self.outcome
                .first_token
                .record(micros.max(1))
                .expect("histogram resizes automatically");
            let generation_micros = self.now.since(first_token).as_micros() as u64;
            let intervals = u64::from(traced.output_tokens.saturating_sub(1)).max(1);
            self.outcome
                .inter_token
                .record((generation_micros / intervals).max(1))
                .expect("histogram resizes automatically");
        }
        self.strategy
            .record_finished(traced.class, f64::from(traced.output_tokens));
        if delivered <= traced.deadline {
            self.outcome.met += 1;
            let second = self.timeline_index(traced.arrival);
            self.outcome.timeline[second].met += 1;
        }
    }

    pub(super) fn crash(&mut self, engine: usize) {
        self.schedule_crash();
        if self.engines[engine].mode == EngineMode::Down {
            return;
        }
        self.engines[engine].crash();
        self.notify_nodes(engine);
        let restart_time = self.now + self.conditions.restart;
        self.events.push(restart_time, Event::Restart { engine });
        let lost: Vec<usize> = (0..self.trace.len())
            .filter(|request| self.is_in_progress_at(*request, engine))
            .collect();
        for request in lost {
            let node = self.node_of(request);
            let id = RequestId(request as u128);
            self.nodes[node].engines[engine].record_finished(self.now, id);
            self.route(request);
        }
    }

    /// Returns whether a request is in progress at an engine.
    pub(super) fn is_in_progress_at(&self, request: usize, engine: usize) -> bool {
        let progress = &self.progress[request];
        if progress.done || self.trace[request].arrival > self.now {
            return false;
        }
        match progress.placement {
            Some(Placement::Single(at)) => at == engine,
            Some(Placement::Split { prefill, decode }) => {
                let decoding = progress.generated > 0;
                (decoding && decode == engine) || (!decoding && prefill == engine)
            }
            None => false,
        }
    }
}
