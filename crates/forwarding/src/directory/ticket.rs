//! A send in progress, with what was expected of it.

use std::net::SocketAddr;
use std::time::Duration;

use tansyhall_core::Timestamp;

use super::choice::{Demand, RouteKey};
use super::costs::EngineWork;
use super::stream_pauses::{EngineActivity, MAX_STREAM_PAUSE};
use super::tracked::TrackedWorker;
use super::{Directory, MAX_EXPECTED_SECONDS};
use crate::selection::Need;
use crate::urgency::UrgencyGroup;
use crate::worker::WorkerId;

/// What is expected of a send that waits for the urgent group only.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct UrgentExpectation {
    /// The work that the engine was asked to do.
    pub(super) work: EngineWork,
    /// Seconds that an average worker of the service was expected to take.
    pub(super) baseline_seconds: f64,
}

/// A send in progress.
#[derive(Debug, Clone, PartialEq)]
pub struct SendTicket {
    pub(super) worker: WorkerId,
    pub(super) is_counted: bool,
    /// Whether it is a trial of a worker whose back-off has ended.
    pub(super) is_trial: bool,
    pub(super) route: RouteKey,
    /// The group that it is counted in until it ends.
    pub(super) group: UrgencyGroup,
    /// What is expected of it if it waits for the urgent group only; `None` if it waits for all.
    pub(super) urgent: Option<UrgentExpectation>,
    pub(super) reading_tokens: u64,
    /// Whether reading its remaining tokens costs an engine hardly more than any prompt does.
    pub(super) is_short: bool,
    /// The work that the engine was asked to do; `None` for requests without a prompt.
    pub(super) work: Option<EngineWork>,
    /// Seconds that an average worker of the service was expected to take.
    pub(super) baseline_seconds: f64,
    /// Seconds that were expected for fetching parts from another worker.
    pub(super) fetch_seconds: f64,
    pub(super) expected_seconds: f64,
    pub(super) fetch_from: Option<SocketAddr>,
    pub(super) read_at: Option<Timestamp>,
    pub(super) began_at: Timestamp,
    /// The longest pause of its stream, if it was measured.
    pub(super) pause: Option<Duration>,
    /// The longest pause that its stream may make; `None` if it is not limited.
    pub(super) max_pause: Option<Duration>,
    /// Whether its worker counts it among the streams with a limit.
    pub(super) is_limited_stream: bool,
    /// The activity of its worker when it was placed.
    pub(super) placed_beside: EngineActivity,
}

impl SendTicket {
    /// Returns the worker that it is sent to.
    pub fn worker(&self) -> &WorkerId {
        &self.worker
    }

    /// Returns the address of the worker from which the chosen one should fetch prompt parts that
    /// it lacks.
    pub fn fetch_from(&self) -> Option<SocketAddr> {
        self.fetch_from
    }

    /// Returns the number of prompt tokens that are still to be read.
    pub fn reading_tokens(&self) -> u64 {
        self.reading_tokens
    }

    /// Returns whether reading the remaining prompt tokens costs an engine hardly more than any
    /// prompt does.
    pub fn is_short_reading(&self) -> bool {
        self.is_short
    }

    /// Records the longest pause between two events of the stream. One that is longer than streams can be is ignored.
    pub fn record_pause(&mut self, pause: Duration) {
        if pause <= MAX_STREAM_PAUSE {
            self.pause = Some(pause);
        }
    }

    /// Returns the latency that was expected when the send began.
    pub fn expected_latency(&self) -> Duration {
        Duration::from_secs_f64(self.expected_seconds.clamp(0.0, MAX_EXPECTED_SECONDS))
    }
}

impl Directory {
    /// Creates the ticket of a send that is about to begin.
    pub(super) fn new_ticket(
        &self,
        now: Timestamp,
        id: &WorkerId,
        demand: Demand<'_>,
        need: &Need,
    ) -> SendTicket {
        let mut ticket = SendTicket {
            worker: id.clone(),
            is_counted: false,
            is_trial: false,
            route: RouteKey::of(demand.route),
            group: self.counted_group(demand),
            urgent: None,
            reading_tokens: 0,
            is_short: false,
            work: None,
            baseline_seconds: 0.0,
            fetch_seconds: 0.0,
            expected_seconds: 0.0,
            fetch_from: None,
            read_at: None,
            began_at: now,
            pause: None,
            max_pause: demand.pause,
            is_limited_stream: false,
            placed_beside: EngineActivity::default(),
        };
        let Some(tracked) = self.tracked(id) else {
            return ticket;
        };
        if demand.prompt.is_empty() {
            let service_latency = self.promptless_latency(&tracked.worker.service);
            ticket.baseline_seconds = tracked.promptless_seconds(service_latency);
            ticket.expected_seconds = ticket.baseline_seconds;
            return ticket;
        }
        let comparison = self.comparison(now, demand);
        let work = self.engine_work(tracked, need, &comparison);
        if need.reads_prompt() {
            let estimate = self.prefill_estimate(tracked, &comparison);
            ticket.reading_tokens = estimate.missing_tokens;
            ticket.is_short =
                self.decisions.short_first && comparison.costs.is_short(estimate.missing_tokens);
            ticket.fetch_from = estimate.source;
            ticket.fetch_seconds = estimate.transfer_seconds;
        }
        ticket.baseline_seconds = comparison.costs.seconds(&work);
        let slowness = tracked.slowness(UrgencyGroup::LessUrgent);
        ticket.urgent = self.urgent_expectation(now, tracked, demand, need);
        ticket.expected_seconds = ticket.baseline_seconds * slowness + ticket.fetch_seconds;
        ticket.work = Some(work);
        ticket
    }

    /// Returns what is expected of a send if its request belongs to the urgent group.
    fn urgent_expectation(
        &self,
        now: Timestamp,
        tracked: &TrackedWorker,
        demand: Demand<'_>,
        need: &Need,
    ) -> Option<UrgentExpectation> {
        if self.waits_as(demand) != UrgencyGroup::Urgent {
            return None;
        }
        let comparison = self.comparison_as(now, demand, UrgencyGroup::Urgent);
        let work = self.engine_work(tracked, need, &comparison);
        let baseline_seconds = comparison.costs.seconds(&work);
        Some(UrgentExpectation {
            work,
            baseline_seconds,
        })
    }
}
