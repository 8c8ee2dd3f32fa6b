//! The event loop of the emulator.

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
use crate::strategy::{RequestInfo, Strategy};
use crate::workload::TraceRequest;

/// Conditions of a run.
#[derive(Debug, Clone)]
pub struct Conditions {
    /// Engines in the pool.
    pub engines: usize,
    /// Nodes that route to the pool.
    pub nodes: usize,
    /// Cost model of the engines.
    pub costs: CostModel,
    /// How long an engine is unavailable during a role change.
    pub role_change: Duration,
    /// Interval between the reports of an engine.
    pub report_interval: Duration,
    /// Age of a report when it arrives.
    pub report_lag: Duration,
    /// Fraction of reports that never arrive.
    pub report_loss: f64,
    /// Interval between the lease holder's plans.
    pub plan_interval: Duration,
    /// One-way delay between a node and an engine.
    pub link_delay: Duration,
    /// Time to transfer the KV cache of one token between engines, in seconds.
    pub transfer_token: f64,
    /// Engine crashes per minute.
    pub crashes_per_minute: f64,
    /// How long a crashed engine is unavailable.
    pub restart: Duration,
    /// Outage of the platform's store, during which no plans are made: start and duration.
    pub outage: Option<(Duration, Duration)>,
    /// Seed of report losses and crashes.
    pub seed: u64,
}

/// Maximum number of routing attempts before a request is rejected.
const MAX_ATTEMPTS: u32 = 4;
/// Ratio of the token limit that a caller sets to the actual number of answer tokens.
const MAX_TOKENS_FACTOR: f64 = 2.0;

#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Progress {
    pub(super) attempts: u32,
    pub(super) generated: u32,
    pub(super) generated_before: u32,
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

/// Runs a trace with a strategy.
pub fn run(
    conditions: &Conditions,
    trace: &[TraceRequest],
    strategy: &mut dyn Strategy,
) -> Outcome {
    let roles = strategy.initial_roles(conditions.engines);
    let last_arrival = trace
        .last()
        .map_or(Timestamp::default(), |request| request.arrival);
    let seconds = (last_arrival.as_millis() / 1_000) as usize + 1;
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
        true_rates: vec![PrefillRate::new(TRUE_RATE_TIME_CONSTANT_SECONDS); conditions.engines],
        nodes: (0..conditions.nodes).map(|_| node()).collect(),
        progress: vec![Progress::default(); trace.len()],
        random: ChaCha8Rng::seed_from_u64(conditions.seed),
        outcome: Outcome::new(seconds),
        end: last_arrival + DRAIN_DURATION,
    };
    emulation.schedule_initial_events();
    emulation.run_events();
    emulation.outcome
}

/// Time constant of the engines' true prefill rates.
const TRUE_RATE_TIME_CONSTANT_SECONDS: f64 = 3.0;
/// Time for requests to end after the last arrival.
const DRAIN_DURATION: Duration = Duration::from_secs(60);

impl Emulation<'_> {
    pub(super) fn schedule_initial_events(&mut self) {
        for (index, request) in self.trace.iter().enumerate() {
            self.events
                .push(request.arrival, Event::Arrival { request: index });
        }
        let start = Timestamp::default();
        self.events
            .push(start + self.conditions.report_interval, Event::SendReports);
        self.events
            .push(start + self.conditions.plan_interval, Event::Plan);
        self.schedule_crash();
    }

    pub(super) fn run_events(&mut self) {
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
            Event::Arrival { request } => self.handle_arrival(request),
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
            } => self.finish_iteration(engine, incarnation),
            Event::SendReports => self.send_reports(),
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
            } => self.finish_role_change(engine, incarnation),
            Event::Crash { engine } => self.crash(engine),
            Event::Restart { engine } => {
                self.engines[engine].mode = EngineMode::Serving;
                self.notify_nodes(engine);
            }
        }
    }

    pub(super) fn timeline_index(&self, at: Timestamp) -> usize {
        ((at.as_millis() / 1_000) as usize).min(self.outcome.timeline.len() - 1)
    }

    pub(super) fn node_of(&self, request: usize) -> usize {
        request % self.nodes.len()
    }

    pub(super) fn request_info(&self, request: usize) -> RequestInfo {
        let traced = &self.trace[request];
        let remaining = f64::from(traced.output_tokens - self.progress[request].generated);
        RequestInfo {
            node: self.node_of(request),
            class: traced.class,
            prompt_tokens: f64::from(traced.prompt_tokens + self.progress[request].generated),
            max_tokens: remaining * MAX_TOKENS_FACTOR,
            true_output_tokens: remaining,
            time_left: traced.deadline.since(self.now).as_secs_f64(),
        }
    }

    pub(super) fn handle_arrival(&mut self, request: usize) {
        let traced = self.trace[request];
        let second = self.timeline_index(traced.arrival);
        let point = &mut self.outcome.timeline[second];
        point.offered += 1;
        point.prompt_tokens += u64::from(traced.prompt_tokens);
        point.output_tokens += u64::from(traced.output_tokens);
        self.outcome.offered += 1;
        let info = self.request_info(request);
        self.strategy.record_offered(self.now, &info);
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
        let info = self.request_info(request);
        let estimates = self.estimates(info.node);
        let Choice::Send { placement, .. } = self.strategy.route(&info, &estimates) else {
            return self.reject(request);
        };
        self.progress[request].placement = Some(placement);
        self.progress[request].generated_before = self.progress[request].generated;
        let engine = match placement {
            Placement::Single(engine) => engine,
            Placement::Split { prefill, .. } => prefill,
        };
        self.send(
            request,
            engine,
            false,
            info.prompt_tokens,
            self.conditions.link_delay,
        );
    }

    pub(super) fn reject(&mut self, request: usize) {
        self.progress[request].done = true;
        self.outcome.rejected += 1;
    }
}
