//! A send under way, with what was expected of it.

use std::net::SocketAddr;
use std::time::Duration;

use tansyhall_core::Timestamp;

use super::choice::{Demand, RouteKey};
use super::costs::EngineWork;
use super::{Directory, MAX_EXPECTED_SECONDS};
use crate::selection::Need;
use crate::worker::WorkerId;

/// A send under way.
#[derive(Debug, Clone, PartialEq)]
pub struct SendTicket {
    pub(super) worker: WorkerId,
    pub(super) counted: bool,
    /// Whether it tries a worker whose rest is over.
    pub(super) is_trial: bool,
    pub(super) route: RouteKey,
    pub(super) reading_tokens: u64,
    /// Whether reading it costs an engine hardly more than any prompt does.
    pub(super) short: bool,
    /// What an engine was asked for; none for workers that read no prompts.
    pub(super) work: Option<EngineWork>,
    /// Seconds that a worker like others of its service was expected to take.
    pub(super) usual_seconds: f64,
    /// Seconds of these for parts that are fetched from another worker.
    pub(super) fetch_seconds: f64,
    pub(super) expected_seconds: f64,
    pub(super) fetch_from: Option<SocketAddr>,
    pub(super) read_at: Option<Timestamp>,
}

impl SendTicket {
    /// Where it goes.
    pub fn worker(&self) -> &WorkerId {
        &self.worker
    }

    /// The worker from which the chosen one should fetch what it lacks of the prompt.
    pub fn fetch_from(&self) -> Option<SocketAddr> {
        self.fetch_from
    }

    /// Prompt tokens that are still to be read.
    pub fn reading_tokens(&self) -> u64 {
        self.reading_tokens
    }

    /// Whether reading what is still to be read costs an engine hardly more than any prompt does.
    pub fn is_short_reading(&self) -> bool {
        self.short
    }

    /// The time after which the answer was expected when the send began.
    pub fn expected(&self) -> Duration {
        Duration::from_secs_f64(self.expected_seconds.clamp(0.0, MAX_EXPECTED_SECONDS))
    }
}

impl Directory {
    /// A send that is about to begin.
    pub(super) fn ticket(
        &self,
        now: Timestamp,
        id: &WorkerId,
        demand: Demand<'_>,
        need: &Need,
    ) -> SendTicket {
        let mut ticket = SendTicket {
            worker: id.clone(),
            counted: false,
            is_trial: false,
            route: RouteKey::of(demand.route),
            reading_tokens: 0,
            short: false,
            work: None,
            usual_seconds: 0.0,
            fetch_seconds: 0.0,
            expected_seconds: 0.0,
            fetch_from: None,
            read_at: None,
        };
        let Some(tracked) = self.tracked(id) else {
            return ticket;
        };
        if demand.prompt.is_empty() {
            let usual = self.plain_latency(&tracked.worker.service);
            ticket.usual_seconds = tracked.plain_seconds(usual);
            ticket.expected_seconds = ticket.usual_seconds;
            return ticket;
        }
        let comparison = self.comparison(now, demand);
        let work = self.engine_work(tracked, need, &comparison);
        if need.reads_prompt() {
            let reading = self.reading(tracked, &comparison);
            ticket.reading_tokens = reading.missing_tokens;
            ticket.short =
                self.decisions.short_first && comparison.costs.is_short(reading.missing_tokens);
            ticket.fetch_from = reading.source;
            ticket.fetch_seconds = reading.transfer_seconds;
        }
        ticket.usual_seconds = comparison.costs.seconds(&work);
        ticket.expected_seconds = ticket.usual_seconds * tracked.slowness + ticket.fetch_seconds;
        ticket.work = Some(work);
        ticket
    }
}
