//! One worker with what is known about it: its load, its cache, and how it has answered.

use std::collections::HashMap;
use std::time::Duration;

use tansyhall_core::{Role, Timestamp, ZoneName};

use super::costs::EngineCosts;
use super::stream_pauses::EnginePauses;
use crate::cache_view::CacheView;
use crate::load_exchange::{GatewayKey, Load, WorkerKey, STALE_AFTER};
use crate::urgency::UrgencyGroup;
use crate::worker::{Worker, WorkerState};

/// Weight of the newest latency in the smoothed one.
const LATENCY_WEIGHT: f64 = 0.1;
/// Weight of the newest outcome in the smoothed success rate.
const SUCCESS_WEIGHT: f64 = 0.1;
/// Time in which half of a reduction of the success rate is forgotten, so that a worker that has
/// recovered is used again. With a shorter time, gateways returned to crashed engines before the
/// store had removed their entries.
const SUCCESS_HALF_LIFE: Duration = Duration::from_secs(30);
/// Lower bound of the success rate in calculations, so that a failing worker still gets a probe now
/// and then.
const MIN_SUCCESS_RATE: f64 = 0.05;
/// Fraction by which a worker in another zone counts as slower than one in the gateway's zone, in
/// addition to what its answers show.
const OTHER_ZONE_PENALTY: f64 = 0.15;
/// Seconds that each second of reading next to decoding streams counts for, per stream.
const STREAM_DELAY_WEIGHT: f64 = 0.75;
/// Fraction of an engine's slots that is reserved for more urgent requests.
const RESERVED_SLOT_FRACTION: f64 = 0.1;
/// Least and greatest slowness of a worker relative to the expected time.
const SLOWNESS_BOUNDS: (f64, f64) = (0.5, 30.0);
/// Time after a worker's first refusal of a request for which it is chosen only if there is no other
/// worker. It doubles with each further refusal until the worker answers.
const INITIAL_REFUSAL_PAUSE: Duration = Duration::from_millis(100);
/// The longest of these pauses: an engine that is about to change its role refuses all requests until it has.
const MAX_REFUSAL_PAUSE: Duration = Duration::from_millis(1_600);
/// Time after a worker was first unreachable for which it is chosen only if there is no other worker.
/// It doubles each further time until the worker answers.
const INITIAL_UNREACHABLE_PAUSE: Duration = Duration::from_millis(1_000);
/// The longest of these pauses.
const MAX_UNREACHABLE_PAUSE: Duration = Duration::from_secs(4);
/// Time for which a worker that was found absent is chosen only if there is no other worker, unless
/// it is announced with changed data: its store entry is removed after it has been silent for about as long.
const ABSENCE_PAUSE: Duration = Duration::from_secs(5);

/// How a send ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendResult {
    /// A complete answer.
    Answered {
        /// Time from the send to the head of the answer.
        latency: Duration,
    },
    /// The worker failed, or sent an invalid answer.
    Failed,
    /// The worker rejected the request because it has no capacity.
    Refused,
    /// This gateway did not send it because the worker's rate limit is reached, which is no fault
    /// of the worker.
    Withheld,
    /// The worker could not be reached.
    Unreachable,
    /// The worker's address refused the connection. The worker has ended, or the path from this gateway to it is
    /// faulty.
    ConnectionRefused,
    /// The worker is proved not to exist: another worker answers at its address.
    Absent,
    /// The caller disconnected or the time ran out. This says nothing about the worker unless it
    /// was silent.
    Abandoned {
        /// Whether no part of an answer had arrived.
        silent: bool,
    },
}

/// A worker and what is known about it.
#[derive(Debug)]
pub(super) struct TrackedWorker {
    pub(super) worker: Worker,
    pub(super) key: WorkerKey,
    pub(super) announced: bool,
    pub(super) desired_role: Option<Role>,
    pub(super) own_load: Load,
    pub(super) cache: CacheView,
    slowness: f64,
    /// Slowness of requests that wait for the urgent group only.
    urgent_slowness: f64,
    pub(super) pauses: EnginePauses,
    /// Streams with a limit on pauses that this gateway has placed here and that have not ended.
    pub(super) limited_streams: u32,
    loads_by_gateway: HashMap<GatewayKey, ReportedLoad>,
    others_total: Load,
    /// Smoothed latency in seconds; `None` before the first answer.
    latency: Option<f64>,
    success_rate: f64,
    success_at: Timestamp,
    pause_until: Timestamp,
    unreachable_pause: Duration,
    refusal_pause: Duration,
    absent_until: Timestamp,
}

#[derive(Debug, Clone, Copy)]
struct ReportedLoad {
    load: Load,
    received_at: Timestamp,
}

impl TrackedWorker {
    pub(super) fn new(worker: Worker) -> Self {
        Self {
            key: WorkerKey::of(&worker.id),
            worker,
            announced: true,
            desired_role: None,
            own_load: Load::default(),
            cache: CacheView::default(),
            slowness: 1.0,
            urgent_slowness: 1.0,
            pauses: EnginePauses::default(),
            limited_streams: 0,
            loads_by_gateway: HashMap::new(),
            others_total: Load::default(),
            latency: None,
            success_rate: 1.0,
            success_at: Timestamp::default(),
            pause_until: Timestamp::default(),
            unreachable_pause: INITIAL_UNREACHABLE_PAUSE,
            refusal_pause: INITIAL_REFUSAL_PAUSE,
            absent_until: Timestamp::default(),
        }
    }

    /// Records that the worker is announced; if any of its data is new, it is no longer absent.
    pub(super) fn announce(&mut self, worker: Worker) {
        if self.worker != worker {
            self.absent_until = Timestamp::default();
        }
        self.announced = true;
        self.worker = worker;
    }

    /// Records that this gateway or another one found the worker absent.
    pub(super) fn mark_absent(&mut self, now: Timestamp) {
        self.absent_until = now + ABSENCE_PAUSE;
    }

    pub(super) fn is_absent(&self, now: Timestamp) -> bool {
        self.absent_until > now
    }

    pub(super) fn takes_new_requests(&self) -> bool {
        let role_stays = self.desired_role.is_none() || self.desired_role == self.worker.role;
        self.announced && self.worker.state == WorkerState::Ready && role_stays
    }

    /// Returns whether the worker is neither paused nor absent.
    pub(super) fn is_available(&self, now: Timestamp) -> bool {
        !self.is_paused(now) && !self.is_absent(now)
    }

    pub(super) fn is_paused(&self, now: Timestamp) -> bool {
        self.pause_until > now
    }

    /// Returns the load of all gateways at this worker. Of application workers, only this gateway's load counts.
    pub(super) fn load(&self) -> Load {
        match self.worker.role {
            Some(_) => self.own_load.plus(self.others_total),
            None => self.own_load,
        }
    }

    /// Returns the number of requests that other gateways have in flight at this worker, as far as they have reported.
    pub(super) fn sends_of_others(&self) -> u32 {
        self.others_total.sends
    }

    /// Records the load that another gateway reports for this worker.
    pub(super) fn receive_load(&mut self, now: Timestamp, sender: GatewayKey, load: Load) {
        let reported = ReportedLoad {
            load,
            received_at: now,
        };
        let before = self
            .loads_by_gateway
            .insert(sender, reported)
            .map(|reported| reported.load);
        let remaining = self.others_total.minus(before.unwrap_or_default());
        self.others_total = remaining.plus(load);
    }

    /// Drops loads that were not repeated in time; returns whether any are left.
    pub(super) fn drop_stale(&mut self, now: Timestamp) -> bool {
        let total = &mut self.others_total;
        self.loads_by_gateway.retain(|_, reported| {
            let is_fresh = now.since(reported.received_at) < STALE_AFTER;
            if !is_fresh {
                *total = total.minus(reported.load);
            }
            is_fresh
        });
        !self.loads_by_gateway.is_empty()
    }

    /// Returns the seconds until an answer to a request without a prompt. A worker that has not
    /// answered yet is assumed to be as fast as is usual for its service (`service_latency`).
    pub(super) fn promptless_seconds(&self, service_latency: f64) -> f64 {
        let busy = f64::from(self.load().sends) / f64::from(self.worker.slots.max(1));
        self.latency.unwrap_or(service_latency) * (1.0 + busy)
    }

    /// Returns the same for a gateway in `zone`.
    pub(super) fn promptless_seconds_from(&self, zone: &ZoneName, service_latency: f64) -> f64 {
        let zone_penalty = match self.worker.zone == *zone {
            true => 0.0,
            false => OTHER_ZONE_PENALTY,
        };
        self.promptless_seconds(service_latency) * (1.0 + zone_penalty)
    }

    /// Returns the seconds that one more request waits for a slot, if all are occupied by requests
    /// that it waits for (`waits_as`): each of these holds its slot for `hold_seconds`. A request
    /// that yields leaves a few slots to more urgent requests. A prefill engine processes prompts
    /// one after the other anyway, so nothing waits for its slots.
    pub(super) fn slot_wait_seconds(
        &self,
        hold_seconds: f64,
        yields: bool,
        waits_as: UrgencyGroup,
    ) -> f64 {
        if self.worker.role == Some(Role::Prefill) {
            return 0.0;
        }
        let slots = f64::from(self.worker.slots.max(1));
        let reserved = match yields {
            true => slots * RESERVED_SLOT_FRACTION,
            false => 0.0,
        };
        let ahead = self.load().ahead_of(waits_as).sends;
        let waiting = (f64::from(ahead + 1) + reserved - slots).max(0.0);
        waiting / slots * hold_seconds * self.slowness(waits_as)
    }

    /// Returns the seconds of delay for the streams decoding here while `missing_tokens` are read,
    /// as far as they count for a request with the waits of this group.
    pub(super) fn stream_delay_seconds(
        &self,
        missing_tokens: u64,
        costs: &EngineCosts,
        waits_as: UrgencyGroup,
    ) -> f64 {
        let streams = 1.0 + f64::from(self.load().ahead_of(waits_as).sends);
        match self.worker.role {
            Some(Role::Prefill) => 0.0,
            _ => costs.colocated_prefill_seconds(missing_tokens) * streams * STREAM_DELAY_WEIGHT,
        }
    }

    /// Scales seconds up according to how rarely answers are complete.
    pub(super) fn penalize_failures(&self, now: Timestamp, seconds: f64) -> f64 {
        seconds / self.success_rate(now).max(MIN_SUCCESS_RATE).powi(3)
    }

    /// Returns the fraction of sends that are answered completely.
    fn success_rate(&self, now: Timestamp) -> f64 {
        let age = now.since(self.success_at).as_secs_f64();
        let remaining = 0.5_f64.powf(age / SUCCESS_HALF_LIFE.as_secs_f64());
        1.0 - (1.0 - self.success_rate) * remaining
    }

    fn learn_outcome(&mut self, now: Timestamp, outcome: f64) {
        self.success_rate = smooth(self.success_rate(now), outcome, SUCCESS_WEIGHT);
        self.success_at = now;
    }

    /// Learns from a send that ended; answers of the worker's service usually begin after
    /// `service_latency` seconds. The first answer has no more weight than a later one: it may be
    /// slow because the worker has just started.
    pub(super) fn learn_result(
        &mut self,
        now: Timestamp,
        result: SendResult,
        service_latency: f64,
    ) {
        match result {
            SendResult::Answered { latency } => {
                self.learn_outcome(now, 1.0);
                let seconds = latency.as_secs_f64();
                let known = self.latency.unwrap_or(service_latency);
                self.latency = Some(smooth(known, seconds, LATENCY_WEIGHT));
                self.unreachable_pause = INITIAL_UNREACHABLE_PAUSE;
                self.refusal_pause = INITIAL_REFUSAL_PAUSE;
            }
            SendResult::Failed | SendResult::Abandoned { silent: true } => {
                self.learn_outcome(now, 0.0);
            }
            SendResult::Refused => {
                // Refusals of requests that were in progress at the same time count once.
                if !self.is_paused(now) {
                    self.pause_until = now + self.refusal_pause;
                    self.refusal_pause = (self.refusal_pause * 2).min(MAX_REFUSAL_PAUSE);
                }
            }
            SendResult::Unreachable => {
                self.learn_outcome(now, 0.0);
                self.pause_until = now + self.unreachable_pause;
                self.unreachable_pause = (self.unreachable_pause * 2).min(MAX_UNREACHABLE_PAUSE);
            }
            SendResult::ConnectionRefused | SendResult::Absent => self.mark_absent(now),
            SendResult::Withheld | SendResult::Abandoned { silent: false } => {}
        }
    }

    /// Returns how much slower the worker is than others of its service, for requests with the
    /// waits of this group. Preempted requests take longer than expected at a worker that is as
    /// fast as others, so they do not count for the urgent group.
    pub(super) fn slowness(&self, waits_as: UrgencyGroup) -> f64 {
        match waits_as {
            UrgencyGroup::Urgent => self.urgent_slowness,
            UrgencyGroup::LessUrgent => self.slowness,
        }
    }

    /// Learns how much slower the worker is than others of its service.
    pub(super) fn learn_slowness(
        &mut self,
        waits_as: UrgencyGroup,
        baseline_seconds: f64,
        seconds: f64,
    ) {
        if baseline_seconds <= 0.0 {
            return;
        }
        let (least, most) = SLOWNESS_BOUNDS;
        let known = match waits_as {
            UrgencyGroup::Urgent => &mut self.urgent_slowness,
            UrgencyGroup::LessUrgent => &mut self.slowness,
        };
        let slowness = smooth(*known, seconds / baseline_seconds, LATENCY_WEIGHT);
        *known = slowness.clamp(least, most);
    }
}

pub(super) fn smooth(old: f64, new: f64, weight: f64) -> f64 {
    old + (new - old) * weight
}
