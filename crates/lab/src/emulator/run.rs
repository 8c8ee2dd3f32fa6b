//! The event loop.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tansyhall_core::{RequestId, Timestamp};
use tansyhall_engine_model::{CostModel, Work};
use tansyhall_routing::{Choice, EngineEstimate, Placement, PrefillRate};

use super::engine::{EmulatedEngine, EngineMode};
use super::events::{Event, EventQueue};
use super::node::EmulatedNode;
use super::outcome::Outcome;
use crate::strategy::{PoolFacts, RequestFacts, Strategy};
use crate::workload::TraceRequest;

/// What a run takes place under.
#[derive(Debug, Clone)]
pub struct Conditions {
    /// Engines in the pool.
    pub engines: usize,
    /// Nodes that route to it.
    pub nodes: usize,
    /// The engines' costs.
    pub costs: CostModel,
    /// How long an engine is away for a change of role.
    pub role_change: Duration,
    /// Time between reports of an engine.
    pub report_period: Duration,
    /// How old a report is when it arrives.
    pub report_lag: Duration,
    /// Part of the reports that never arrive.
    pub report_loss: f64,
    /// Time between the holder's looks.
    pub plan_period: Duration,
    /// One way between a node and an engine.
    pub link_delay: Duration,
    /// Moving the KV cache of one token between engines, in seconds.
    pub transfer_token: f64,
    /// Engine crashes a minute.
    pub crashes_per_minute: f64,
    /// How long a crashed engine is away.
    pub restart: Duration,
    /// When the platform's store is away, so that nobody may plan: start and length.
    pub outage: Option<(Duration, Duration)>,
    /// Seed of losses and crashes.
    pub seed: u64,
}

/// Attempts a request has before it is given up.
const MAX_ATTEMPTS: u32 = 4;
/// Most answer tokens a caller allows, as a multiple of the tokens that the answer will have.
const MAX_TOKENS_FACTOR: f64 = 2.0;

#[derive(Debug, Clone, Copy, Default)]
struct Progress {
    attempts: u32,
    generated: u32,
    base: u32,
    placement: Option<Placement>,
    first_token: Option<Timestamp>,
    done: bool,
}

struct Emulation<'a> {
    conditions: &'a Conditions,
    trace: &'a [TraceRequest],
    strategy: &'a mut dyn Strategy,
    now: Timestamp,
    events: EventQueue,
    engines: Vec<EmulatedEngine>,
    true_rates: Vec<PrefillRate>,
    nodes: Vec<EmulatedNode>,
    progress: Vec<Progress>,
    random: ChaCha8Rng,
    outcome: Outcome,
    end: Timestamp,
}

/// Runs a trace under a strategy.
pub fn run(
    conditions: &Conditions,
    trace: &[TraceRequest],
    strategy: &mut dyn Strategy,
) -> Outcome {
    let roles = strategy.initial_roles(conditions.engines);
    let last = trace
        .last()
        .map_or(Timestamp::default(), |request| request.arrival);
    let seconds = (last.as_millis() / 1_000) as usize + 1;
    let node = || EmulatedNode::new(&roles, conditions.costs.max_sequences, conditions.nodes);
    let mut emulation = Emulation {
        conditions,
        trace,
        strategy,
        now: Timestamp::default(),
        events: EventQueue::default(),
        engines: roles
            .iter()
            .map(|role| EmulatedEngine::new(conditions.costs, *role))
            .collect(),
        true_rates: vec![PrefillRate::new(TRUE_RATE_SECONDS); conditions.engines],
        nodes: (0..conditions.nodes).map(|_| node()).collect(),
        progress: vec![Progress::default(); trace.len()],
        random: ChaCha8Rng::seed_from_u64(conditions.seed),
        outcome: Outcome::new(seconds),
        end: last + DRAIN_TIME,
    };
    emulation.schedule();
    emulation.run();
    emulation.outcome
}

/// Time constant of the true prefill rate, in seconds.
const TRUE_RATE_SECONDS: f64 = 3.0;
/// Time that requests have to end after the last arrival.
const DRAIN_TIME: Duration = Duration::from_secs(60);

impl Emulation<'_> {
    fn schedule(&mut self) {
        for (index, request) in self.trace.iter().enumerate() {
            self.events
                .push(request.arrival, Event::Arrival { request: index });
        }
        let start = Timestamp::default();
        self.events
            .push(start + self.conditions.report_period, Event::MakeReports);
        self.events
            .push(start + self.conditions.plan_period, Event::Plan);
        self.schedule_crash();
    }

    fn schedule_crash(&mut self) {
        if self.conditions.crashes_per_minute <= 0.0 {
            return;
        }
        let mean = 60.0 / self.conditions.crashes_per_minute;
        let wait = -(1.0 - self.random.random::<f64>()).ln() * mean;
        let engine = self.random.random_range(0..self.engines.len());
        self.events.push(
            self.now + Duration::from_secs_f64(wait),
            Event::Crash { engine },
        );
    }

    fn run(&mut self) {
        while let Some((at, event)) = self.events.pop() {
            if at > self.end {
                return;
            }
            self.now = at;
            self.handle(event);
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrival { request } => self.arrive(request),
            Event::Submit {
                engine,
                request,
                decode_part,
            } => {
                self.submit(engine, request, decode_part);
            }
            Event::IterationEnd {
                engine,
                incarnation,
            } => self.iteration_end(engine, incarnation),
            Event::MakeReports => self.make_reports(),
            Event::Report {
                node,
                engine,
                role,
                accepts_work,
                snapshot,
            } => {
                let tracker = &mut self.nodes[node].engines[engine];
                tracker.role = role;
                tracker.accepts_work = accepts_work;
                tracker.report(snapshot);
            }
            Event::Plan => self.plan(),
            Event::RoleChanged {
                engine,
                incarnation,
            } => self.role_changed(engine, incarnation),
            Event::Crash { engine } => self.crash(engine),
            Event::Restart { engine } => {
                self.engines[engine].mode = EngineMode::Serving;
                self.tell_nodes(engine);
            }
        }
    }

    fn second(&self, at: Timestamp) -> usize {
        ((at.as_millis() / 1_000) as usize).min(self.outcome.timeline.len() - 1)
    }

    fn node_of(&self, request: usize) -> usize {
        request % self.nodes.len()
    }

    fn facts(&self, request: usize) -> RequestFacts {
        let traced = &self.trace[request];
        let remaining = f64::from(traced.output_tokens - self.progress[request].generated);
        RequestFacts {
            node: self.node_of(request),
            class: traced.class,
            prompt_tokens: f64::from(traced.prompt_tokens + self.progress[request].generated),
            max_tokens: remaining * MAX_TOKENS_FACTOR,
            true_output_tokens: remaining,
            time_left: traced.deadline.since(self.now).as_secs_f64(),
        }
    }

    fn arrive(&mut self, request: usize) {
        let traced = self.trace[request];
        let second = self.second(traced.arrival);
        let point = &mut self.outcome.timeline[second];
        point.offered += 1;
        point.prompt_tokens += u64::from(traced.prompt_tokens);
        point.output_tokens += u64::from(traced.output_tokens);
        self.outcome.offered += 1;
        let facts = self.facts(request);
        self.strategy.offered(self.now, &facts);
        self.route(request);
    }

    fn estimates(&self, node: usize) -> Vec<EngineEstimate> {
        if !self.strategy.sees_true_state() {
            return self.nodes[node].estimates(self.now);
        }
        let engines = self.engines.iter().enumerate();
        engines
            .map(|(index, engine)| {
                let snapshot = engine.snapshot(self.now);
                EngineEstimate {
                    role: engine.role,
                    accepts_work: engine.accepts_work(),
                    decoding: snapshot.decoding,
                    waiting: snapshot.waiting,
                    pending_prefill_tokens: snapshot.pending_prefill_tokens,
                    free_sequences: snapshot.free_sequences,
                    prefill_rate: self.true_rates[index].at(self.now),
                    cached_tokens: 0.0,
                }
            })
            .collect()
    }

    fn route(&mut self, request: usize) {
        self.progress[request].attempts += 1;
        if self.progress[request].attempts > MAX_ATTEMPTS {
            return self.reject(request);
        }
        let facts = self.facts(request);
        let estimates = self.estimates(facts.node);
        let Choice::Send { placement, .. } = self.strategy.route(&facts, &estimates) else {
            return self.reject(request);
        };
        self.progress[request].placement = Some(placement);
        self.progress[request].base = self.progress[request].generated;
        let engine = match placement {
            Placement::Whole(engine) => engine,
            Placement::Split { prefill, .. } => prefill,
        };
        self.send(
            request,
            engine,
            false,
            facts.prompt_tokens,
            self.conditions.link_delay,
        );
    }

    fn send(
        &mut self,
        request: usize,
        engine: usize,
        decode_part: bool,
        prefill_tokens: f64,
        delay: Duration,
    ) {
        let node = self.node_of(request);
        let id = RequestId(request as u128);
        self.nodes[node].engines[engine].sent(self.now, id, prefill_tokens);
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

    fn reject(&mut self, request: usize) {
        self.progress[request].done = true;
        self.outcome.rejected += 1;
    }

    fn submit(&mut self, engine: usize, request: usize, decode_part: bool) {
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
        self.nodes[node].engines[engine].finished(self.now, work.id);
        self.nodes[node].engines[engine].accepts_work = self.engines[engine].accepts_work();
        self.route(request);
    }

    fn start_iteration(&mut self, engine: usize) {
        let state = &mut self.engines[engine];
        if state.iterating || state.mode == EngineMode::Down {
            return;
        }
        if let Some(ends) = state.batch.begin_iteration(self.now) {
            state.iterating = true;
            let incarnation = state.incarnation;
            self.events.push(
                ends,
                Event::IterationEnd {
                    engine,
                    incarnation,
                },
            );
        }
    }

    fn iteration_end(&mut self, engine: usize, incarnation: u32) {
        if self.engines[engine].incarnation != incarnation {
            return;
        }
        self.engines[engine].iterating = false;
        for step in self.engines[engine].batch.finish_iteration() {
            self.advance(engine, step.id.0 as usize, step.generated, step.finished);
        }
        self.start_iteration(engine);
        self.change_if_idle(engine);
    }

    fn advance(&mut self, engine: usize, request: usize, generated: u32, finished: bool) {
        let node = self.node_of(request);
        let id = RequestId(request as u128);
        let progress = &mut self.progress[request];
        progress.generated = progress.base + generated;
        progress.first_token.get_or_insert(self.now);
        self.nodes[node].engines[engine].first_token(self.now, id);
        if !finished {
            return;
        }
        self.nodes[node].engines[engine].finished(self.now, id);
        let progress = &mut self.progress[request];
        if progress.generated >= self.trace[request].output_tokens {
            return self.complete(request);
        }
        if let Some(Placement::Split { decode, .. }) = progress.placement {
            progress.base = progress.generated;
            let context = self.trace[request].prompt_tokens + progress.generated;
            let transfer = f64::from(context) * self.conditions.transfer_token;
            let delay = Duration::from_secs_f64(transfer) + self.conditions.link_delay;
            self.send(request, decode, true, 0.0, delay);
        }
    }

    fn complete(&mut self, request: usize) {
        let traced = &self.trace[request];
        let progress = &mut self.progress[request];
        progress.done = true;
        let delivered = self.now + self.conditions.link_delay;
        self.outcome.completed += 1;
        let whole = delivered.since(traced.arrival).as_micros() as u64;
        self.outcome
            .whole
            .record(whole.max(1))
            .expect("the histogram resizes");
        if let Some(first_token) = progress.first_token {
            let micros = (first_token + self.conditions.link_delay).since(traced.arrival);
            let micros = micros.as_micros() as u64;
            self.outcome
                .first_token
                .record(micros.max(1))
                .expect("the histogram resizes");
            let between = self.now.since(first_token).as_micros() as u64;
            let gaps = u64::from(traced.output_tokens.saturating_sub(1)).max(1);
            self.outcome
                .inter_token
                .record((between / gaps).max(1))
                .expect("it resizes");
        }
        self.strategy
            .finished(traced.class, f64::from(traced.output_tokens));
        if delivered <= traced.deadline {
            self.outcome.met += 1;
            let second = self.second(traced.arrival);
            self.outcome.timeline[second].met += 1;
        }
    }

    fn make_reports(&mut self) {
        for engine in 0..self.engines.len() {
            if self.engines[engine].mode == EngineMode::Down {
                continue;
            }
            let state = &self.engines[engine];
            let (role, accepts_work) = (state.role, state.accepts_work());
            let snapshot = state.snapshot(self.now);
            for node in 0..self.nodes.len() {
                if self.random.random::<f64>() < self.conditions.report_loss {
                    continue;
                }
                let report = Event::Report {
                    node,
                    engine,
                    role,
                    accepts_work,
                    snapshot,
                };
                self.events
                    .push(self.now + self.conditions.report_lag, report);
            }
        }
        self.events
            .push(self.now + self.conditions.report_period, Event::MakeReports);
    }

    fn may_plan(&self) -> bool {
        let since_start = self.now.since(Timestamp::default());
        let inside = |(start, length): (Duration, Duration)| {
            since_start >= start && since_start < start + length
        };
        !self.conditions.outage.is_some_and(inside)
    }

    fn plan(&mut self) {
        self.events
            .push(self.now + self.conditions.plan_period, Event::Plan);
        if !self.may_plan() {
            return;
        }
        let facts = PoolFacts {
            now: self.now,
            engines: self.estimates(0),
        };
        let Some(change) = self.strategy.plan(&facts) else {
            return;
        };
        if self.engines[change.engine].mode != EngineMode::Serving {
            return;
        }
        self.engines[change.engine].mode = EngineMode::Draining(change.role);
        self.outcome.role_changes += 1;
        let second = self.second(self.now);
        self.outcome.timeline[second].role_changes += 1;
        self.tell_nodes(change.engine);
        self.change_if_idle(change.engine);
    }

    /// Nodes learn of drains and restarts by gossip, well before the next report.
    fn tell_nodes(&mut self, engine: usize) {
        let accepts_work = self.engines[engine].accepts_work();
        for node in &mut self.nodes {
            node.engines[engine].accepts_work = accepts_work;
            node.engines[engine].role = self.engines[engine].role;
        }
    }

    fn change_if_idle(&mut self, engine: usize) {
        let state = &mut self.engines[engine];
        let EngineMode::Draining(role) = state.mode else {
            return;
        };
        if !state.batch.is_empty() {
            return;
        }
        state.mode = EngineMode::Changing(role);
        let ends = self.now + self.conditions.role_change;
        let incarnation = state.incarnation;
        self.events.push(
            ends,
            Event::RoleChanged {
                engine,
                incarnation,
            },
        );
    }

    fn role_changed(&mut self, engine: usize, incarnation: u32) {
        let state = &mut self.engines[engine];
        if state.incarnation != incarnation {
            return;
        }
        let EngineMode::Changing(role) = state.mode else {
            return;
        };
        state.take_role(role);
        self.tell_nodes(engine);
    }

    fn crash(&mut self, engine: usize) {
        self.schedule_crash();
        if self.engines[engine].mode == EngineMode::Down {
            return;
        }
        self.engines[engine].crash();
        self.tell_nodes(engine);
        let back = self.now + self.conditions.restart;
        self.events.push(back, Event::Restart { engine });
        let lost: Vec<usize> = (0..self.trace.len())
            .filter(|request| self.is_at(*request, engine))
            .collect();
        for request in lost {
            let node = self.node_of(request);
            let id = RequestId(request as u128);
            self.nodes[node].engines[engine].finished(self.now, id);
            self.route(request);
        }
    }

    /// Whether a request is in progress at an engine.
    fn is_at(&self, request: usize, engine: usize) -> bool {
        let progress = &self.progress[request];
        if progress.done || self.trace[request].arrival > self.now {
            return false;
        }
        match progress.placement {
            Some(Placement::Whole(at)) => at == engine,
            Some(Placement::Split { prefill, decode }) => {
                let decoding = progress.generated > 0;
                (decoding && decode == engine) || (!decoding && prefill == engine)
            }
            None => false,
        }
    }
}
