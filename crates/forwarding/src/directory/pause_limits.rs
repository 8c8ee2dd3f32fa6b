//! Decides which engines keep the pauses of streams below the limits of their routes.
//!
//! An engine keeps them if the expected longest pause of the new stream is below its limit, and, if the engine also reads
//! the prompt, the streams that decode there meanwhile stay below theirs. Engines that keep the pauses are preferred to
//! others, but only if they have a free slot and answer hardly later: a stream that begins late gains nothing from short
//! pauses. If no engine does, or nothing was observed yet, the choice does not depend on pauses. Nothing is refused
//! because of a pause.
//!
//! Limits of streams that other gateways have placed are not reported. The fraction of limited streams among those that
//! this gateway places stands for them.

use std::time::Duration;

use tansyhall_core::{Role, Timestamp};

use super::prediction::Comparison;
use super::stream_pauses::{EndedStream, EngineActivity, ServicePauses};
use super::ticket::SendTicket;
use super::tracked::{smooth, SendResult, TrackedWorker};
use super::Directory;
use crate::selection::Need;

/// Fraction of the limit up to which a pause may be expected; the rest is for what varies from stream to stream.
const EXPECTED_PAUSE_FRACTION: f64 = 0.8;
/// Delay for the sake of pauses, as a fraction of their limit, that a limited stream may have before it begins: a longer
/// one would be as bad as the pause.
const LIMITED_DELAY_FRACTION: f64 = 0.5;
/// The same for other prompts, whose own streams gain nothing from it.
const UNLIMITED_DELAY_FRACTION: f64 = 0.1;
/// Weight of the newest stream in the fraction of limited streams.
const LIMITED_FRACTION_WEIGHT: f64 = 0.02;
/// Expected number of limited streams of other gateways from which an engine counts as having one.
const MIN_LIMITED_STREAMS: f64 = 0.5;

/// The limits of the streams that this gateway has placed at the engines of a service.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct StreamLimits {
    /// The limit of the latest limited stream.
    latest: Option<Duration>,
    /// The fraction of streams that have a limit; `None` before the first stream.
    limited_fraction: Option<f64>,
}

impl StreamLimits {
    /// Records that a stream begins.
    pub(super) fn record(&mut self, limit: Option<Duration>) {
        let is_limited = f64::from(u8::from(limit.is_some()));
        let fraction = self.limited_fraction.unwrap_or(is_limited);
        self.limited_fraction = Some(smooth(fraction, is_limited, LIMITED_FRACTION_WEIGHT));
        self.latest = limit.or(self.latest);
    }
}

/// What is known of the pauses of a service.
#[derive(Debug, Clone, Default)]
pub(super) struct PauseKnowledge {
    pub(super) pauses: ServicePauses,
    pub(super) limits: StreamLimits,
}

impl TrackedWorker {
    /// Records the activity of the engine from now on.
    pub(super) fn record_activity(&mut self, now: Timestamp) {
        if self.worker.role != Some(Role::Prefill) {
            let load = self.load();
            self.pauses.record_load(now, load, self.worker.slots);
        }
    }

    /// Records that a send with a prompt begins, after it was added to the load.
    pub(super) fn begin_stream(
        &mut self,
        now: Timestamp,
        ticket: &mut SendTicket,
        limits: &mut StreamLimits,
    ) {
        if ticket.work.is_none() || self.worker.role == Some(Role::Prefill) {
            return;
        }
        let before = EngineActivity::of(self.load(), self.worker.slots);
        ticket.placed_beside = EngineActivity {
            reading_tokens: before.reading_tokens - ticket.reading_tokens as f64,
            ..before
        };
        limits.record(ticket.max_pause);
        ticket.is_limited_stream = ticket.max_pause.is_some();
        self.limited_streams += u32::from(ticket.is_limited_stream);
        self.record_activity(now);
    }

    /// Learns from the pause of a stream that ended, after it was removed from the load. A pause that is longer than the
    /// send took is impossible, and is ignored.
    pub(super) fn end_stream(
        &mut self,
        now: Timestamp,
        ticket: &SendTicket,
        result: SendResult,
        pauses: &mut ServicePauses,
    ) {
        let is_answered = matches!(result, SendResult::Answered { .. });
        let longest = now.since(ticket.began_at);
        let pause = ticket.pause.filter(|pause| *pause <= longest);
        let is_stream = is_answered && ticket.work.is_some();
        if let (true, Some(read_at), Some(pause)) = (is_stream, ticket.read_at, pause) {
            let ended = EndedStream {
                placed_beside: ticket.placed_beside,
                read_at,
                pause,
            };
            pauses.learn(now, &mut self.pauses, ended);
        }
        let limited = u32::from(ticket.is_limited_stream);
        self.limited_streams = self.limited_streams.saturating_sub(limited);
        self.record_activity(now);
    }
}

impl Directory {
    /// Returns whether pauses are compared for a demand: they are known, and the demand's stream is limited, or reading its
    /// prompt may stall others.
    pub(super) fn compares_pauses(&self, need: &Need, comparison: &Comparison<'_>) -> bool {
        let Some(knowledge) = self.pauses.get(comparison.demand.service) else {
            return false;
        };
        self.decisions.stream_pauses
            && knowledge.pauses.is_known()
            && !comparison.demand.prompt.is_empty()
            && match need {
                Need::Run => comparison
                    .demand
                    .pause
                    .or(knowledge.limits.latest)
                    .is_some(),
                Need::Continue { .. } => comparison.demand.pause.is_some(),
                Need::ReadPrompt => false,
            }
    }

    /// Returns the workers that are expected to keep the pauses of streams below their limits; all workers if there is
    /// none. One that answers much later than the fastest does not count.
    pub(super) fn with_short_pauses<'a>(
        &self,
        candidates: Vec<(f64, &'a TrackedWorker)>,
        need: &Need,
        comparison: &Comparison<'_>,
    ) -> Vec<(f64, &'a TrackedWorker)> {
        if !self.compares_pauses(need, comparison) {
            return candidates;
        }
        let least_seconds = candidates.iter().map(|(seconds, _)| *seconds);
        let least_seconds = least_seconds.fold(f64::INFINITY, f64::min);
        let max_seconds = least_seconds + self.max_delay_seconds(comparison);
        let preferred = candidates.iter().copied();
        let preferred = preferred.filter(|(seconds, worker)| {
            *seconds <= max_seconds && self.keeps_pauses(worker, need, comparison)
        });
        let preferred: Vec<(f64, &TrackedWorker)> = preferred.collect();
        match preferred.is_empty() {
            true => candidates,
            false => preferred,
        }
    }

    /// Returns the best worker for a need among those that are expected to keep the pauses of streams below their
    /// limits, or among all if there is none.
    pub(super) fn best_for_pauses<'a>(
        &'a self,
        now: Timestamp,
        comparison: &Comparison<'_>,
        need: &Need,
    ) -> Option<&'a TrackedWorker> {
        let compared = self.compared_workers(now, comparison.demand, need);
        let candidates = compared
            .into_iter()
            .map(|worker| (self.expected_seconds(worker, need, comparison), worker))
            .collect();
        let candidates = self.with_short_pauses(candidates, need, comparison);
        let best = candidates
            .into_iter()
            .min_by(|(left, _), (right, _)| left.total_cmp(right));
        best.map(|(_, worker)| worker)
    }

    /// Returns by how many seconds a demand may be answered later for the sake of pauses.
    fn max_delay_seconds(&self, comparison: &Comparison<'_>) -> f64 {
        let knowledge = self.pauses.get(comparison.demand.service);
        let latest = knowledge.and_then(|knowledge| knowledge.limits.latest);
        let own = comparison.demand.pause;
        let (limit, fraction) = match own {
            Some(limit) => (limit, LIMITED_DELAY_FRACTION),
            None => (latest.unwrap_or_default(), UNLIMITED_DELAY_FRACTION),
        };
        limit.as_secs_f64() * fraction
    }

    /// Returns whether a worker has a free slot and is expected to keep the pauses of the new stream, and of those that
    /// decode there while it reads the prompt, below their limits.
    pub(super) fn keeps_pauses(
        &self,
        worker: &TrackedWorker,
        need: &Need,
        comparison: &Comparison<'_>,
    ) -> bool {
        let Some(knowledge) = self.pauses.get(comparison.demand.service) else {
            return false;
        };
        let is_below = |activity, limit: Duration| {
            let expected =
                knowledge
                    .pauses
                    .expected_seconds(comparison.now, &worker.pauses, activity);
            let max_seconds = limit.as_secs_f64() * EXPECTED_PAUSE_FRACTION;
            expected.is_some_and(|seconds| seconds <= max_seconds)
        };
        let load = worker.load();
        let slots = worker.worker.slots;
        let present = EngineActivity::of(load, slots);
        let mut added = EngineActivity {
            streams: 1.0,
            reading_tokens: 0.0,
        };
        let reads_prompt = *need == Need::Run;
        if reads_prompt {
            let estimate = self.prefill_estimate(worker, comparison);
            added.reading_tokens = estimate.missing_tokens as f64;
        }
        let beside = present.plus(added);
        // An engine reads prompts in the order of their arrival: those before this one have been read when its stream
        // begins to decode.
        let at_start = EngineActivity {
            reading_tokens: match reads_prompt {
                true => 0.0,
                false => present.reading_tokens,
            },
            ..beside
        };
        let mut own = at_start.plus(knowledge.pauses.growth());
        own.streams = own.streams.min(f64::from(slots));
        let limit_there = knowledge.limits.latest.filter(|_| {
            let others = load.sends.saturating_sub(worker.own_load.sends);
            let fraction = knowledge.limits.limited_fraction.unwrap_or_default();
            worker.limited_streams > 0 || f64::from(others) * fraction >= MIN_LIMITED_STREAMS
        });
        let has_slot = comparison.slot_wait_seconds(worker) <= 0.0;
        let keeps_own = |limit| has_slot && is_below(own, limit);
        comparison.demand.pause.is_none_or(keeps_own)
            && (!reads_prompt || limit_there.is_none_or(|limit| is_below(beside, limit)))
    }
}
