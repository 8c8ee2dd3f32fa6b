//! The event loop.

use std::time::Duration;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tansyhall_core::Timestamp;
use tansyhall_engine_model::CostModel;
use tansyhall_routing::{Choice, EngineEstimate, Placement, PrefillRate};

use super::engine::{EmulatedEngine, EngineMode};
use super::events::{Event, EventQueue};
use super::node::EmulatedNode;
use super::outcome::Outcome;
use crate::strategy::{RequestFacts, Strategy};
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
pub(super) struct Progress {
    pub(super) attempts: u32,
    pub(super) generated: u32,
    pub(super) base: u32,
    pub(super) placement: Option<Placement>,
    pub(super) first_token: Option<Timestamp>,
    pub(super) done: bool,
}

pub(super) struct Emulation<'a> {
    pub(super) conditions: &'a Conditions,
    pub(super) trace: &'a [TraceRequest],
    pub(super) strategy: &'a mut dyn Strategy,
    pub(super) now: Timestamp,
    pub(super) events: EventQueue,
    pub(super) engines: Vec<EmulatedEngine>,
    pub(super) true_rates: Vec<PrefillRate>,
    pub(super) nodes: Vec<EmulatedNode>,
    pub(super) progress: Vec<Progress>,
    pub(super) random: ChaCha8Rng,
    pub(super) outcome: Outcome,
    pub(super) end: Timestamp,
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
    pub(super) fn schedule(&mut self) {
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

    pub(super) fn run(&mut self) {
        while let Some((at, event)) = self.events.pop() {
            if at > self.end {
                return;
            }
            self.now = at;
            self.handle(event);
        }
    }

    pub(super) fn handle(&mut self, event: Event) {
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
                tracker.record_report(snapshot);
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

    pub(super) fn second(&self, at: Timestamp) -> usize {
        ((at.as_millis() / 1_000) as usize).min(self.outcome.timeline.len() - 1)
    }

    pub(super) fn node_of(&self, request: usize) -> usize {
        request % self.nodes.len()
    }

    pub(super) fn facts(&self, request: usize) -> RequestFacts {
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

    pub(super) fn arrive(&mut self, request: usize) {
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

    pub(super) fn estimates(&self, node: usize) -> Vec<EngineEstimate> {
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

    pub(super) fn route(&mut self, request: usize) {
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
            Placement::Single(engine) => engine,
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

    pub(super) fn reject(&mut self, request: usize) {
        self.progress[request].done = true;
        self.outcome.rejected += 1;
    }
}
