//! One worker, with what is known of it: its load, its cache, and how it has answered.

use std::collections::HashMap;
use std::time::Duration;

use tansyhall_core::{Role, Timestamp, ZoneName};

use super::costs::EngineCosts;
use crate::cache_view::CacheView;
use crate::load_exchange::{GatewayKey, Load, WorkerKey, STALE_AFTER};
use crate::worker::{Worker, WorkerState};

/// Weight of the newest latency in the smoothed one.
const LATENCY_WEIGHT: f64 = 0.1;
/// Weight of the newest outcome in the smoothed share of successes.
const SUCCESS_WEIGHT: f64 = 0.1;
/// Time in which half of what lowered the share of successes is forgotten, so that a worker which
/// has recovered is used again. A shorter time was tried: gateways then went back to dead engines
/// before the store had forgotten those.
const SUCCESS_HALF_LIFE: Duration = Duration::from_secs(30);
/// The lowest share of successes that is reckoned with, so that a failing worker still gets a
/// probe now and then.
const SUCCESS_FLOOR: f64 = 0.05;
/// The part by which a worker in another zone counts as slower than one of the own zone, beside what
/// its answers show.
const OTHER_ZONE_PART: f64 = 0.15;
/// Seconds that each second of reading beside decoding streams counts for, for each of them.
const DECODING_HARM: f64 = 0.75;
/// The part of an engine's places that is left to requests of a more urgent rank.
const YIELDED_PLACES_PART: f64 = 0.1;
/// How far a worker's slowness may be from the expected.
const SLOWNESS_BOUNDS: (f64, f64) = (0.5, 30.0);
/// How long a worker that refused a request is passed over at first; twice as long each further time until
/// it answers,
const REFUSAL_PAUSE: Duration = Duration::from_millis(100);
/// up to this long: an engine that is about to change its role refuses all until it has.
const MAX_REFUSAL_PAUSE: Duration = Duration::from_millis(1_600);
/// How long a worker that cannot be reached is passed over at first; twice as long each further
/// time,
const UNREACHABLE_PAUSE: Duration = Duration::from_millis(1_000);
/// up to this long.
const MAX_UNREACHABLE_PAUSE: Duration = Duration::from_secs(4);
/// How long a worker that was found absent is passed over, unless it is announced anew: its entry
/// is removed after it has been silent for about as long.
const ABSENCE_PAUSE: Duration = Duration::from_secs(5);

/// How a send ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendResult {
    /// A whole answer, its head after this time.
    Answered {
        /// From the send to the head of the answer.
        latency: Duration,
    },
    /// The worker's own failure, or an answer that is none.
    Failed,
    /// The worker says that it has no room.
    Refused,
    /// This gateway did not send it: the worker's rate limit is reached, which says nothing against the worker.
    Withheld,
    /// The worker cannot be reached.
    Unreachable,
    /// The worker proved not to be there: nothing listens at its address, or another answers.
    Absent,
    /// The caller left or the time ran out; says nothing about the worker unless it was silent.
    Abandoned {
        /// Whether no part of an answer had come.
        silent: bool,
    },
}

/// A worker and what is known of it.
#[derive(Debug)]
pub(super) struct Tracked {
    pub(super) worker: Worker,
    pub(super) key: WorkerKey,
    pub(super) announced: bool,
    pub(super) desired_role: Option<Role>,
    pub(super) own: Load,
    pub(super) cache: CacheView,
    pub(super) slowness: f64,
    others: HashMap<GatewayKey, HeardLoad>,
    others_total: Load,
    /// Smoothed; none before the first answer.
    latency: Option<f64>,
    success: f64,
    success_at: Timestamp,
    pause_until: Timestamp,
    unreachable_pause: Duration,
    refusal_pause: Duration,
    absent_until: Timestamp,
}

#[derive(Debug, Clone, Copy)]
struct HeardLoad {
    load: Load,
    heard: Timestamp,
}

impl Tracked {
    pub(super) fn new(worker: Worker) -> Self {
        Self {
            key: WorkerKey::of(&worker.id),
            worker,
            announced: true,
            desired_role: None,
            own: Load::default(),
            cache: CacheView::default(),
            slowness: 1.0,
            others: HashMap::new(),
            others_total: Load::default(),
            latency: None,
            success: 1.0,
            success_at: Timestamp::default(),
            pause_until: Timestamp::default(),
            unreachable_pause: UNREACHABLE_PAUSE,
            refusal_pause: REFUSAL_PAUSE,
            absent_until: Timestamp::default(),
        }
    }

    /// The worker is announced; if anything about it is new, it is there.
    pub(super) fn announce(&mut self, worker: Worker) {
        if self.worker != worker {
            self.absent_until = Timestamp::default();
        }
        self.announced = true;
        self.worker = worker;
    }

    /// This gateway or another found that the worker is not there.
    pub(super) fn found_absent(&mut self, now: Timestamp) {
        self.absent_until = now + ABSENCE_PAUSE;
    }

    pub(super) fn is_absent(&self, now: Timestamp) -> bool {
        self.absent_until > now
    }

    pub(super) fn takes_new_requests(&self) -> bool {
        let role_stays = self.desired_role.is_none() || self.desired_role == self.worker.role;
        self.announced && self.worker.state == WorkerState::Ready && role_stays
    }

    /// Whether nothing speaks against a request now.
    pub(super) fn is_rested(&self, now: Timestamp) -> bool {
        !self.is_paused(now) && !self.is_absent(now)
    }

    pub(super) fn is_paused(&self, now: Timestamp) -> bool {
        self.pause_until > now
    }

    /// What all gateways have under way here.
    pub(super) fn load(&self) -> Load {
        self.own.plus(self.others_total)
    }

    /// Another gateway says what it has under way here.
    pub(super) fn hear(&mut self, now: Timestamp, sender: GatewayKey, load: Load) {
        let heard = HeardLoad { load, heard: now };
        let before = self.others.insert(sender, heard).map(|heard| heard.load);
        let rest = self.others_total.minus(before.unwrap_or_default());
        self.others_total = rest.plus(load);
    }

    /// Drops what was not repeated in time; returns whether something is left.
    pub(super) fn drop_stale(&mut self, now: Timestamp) -> bool {
        let total = &mut self.others_total;
        self.others.retain(|_, heard| {
            let fresh = now.since(heard.heard) < STALE_AFTER;
            if !fresh {
                *total = total.minus(heard.load);
            }
            fresh
        });
        !self.others.is_empty()
    }

    /// Seconds until an answer of a worker that reads no prompts; one that has not answered yet is taken to be as
    /// fast as is `usual` for its service.
    pub(super) fn plain_seconds(&self, usual: f64) -> f64 {
        let busy = f64::from(self.load().sends) / f64::from(self.worker.slots.max(1));
        self.latency.unwrap_or(usual) * (1.0 + busy)
    }

    /// The same for a gateway in `zone`.
    pub(super) fn plain_seconds_from(&self, zone: &ZoneName, usual: f64) -> f64 {
        let way = match self.worker.zone == *zone {
            true => 0.0,
            false => OTHER_ZONE_PART,
        };
        self.plain_seconds(usual) * (1.0 + way)
    }

    /// Seconds that one more request waits for a place, if all are taken: those that have one hold it
    /// for `hold` seconds each. One that yields leaves a few places to more urgent requests. An engine that only reads takes prompts one after the other anyway.
    pub(super) fn place_seconds(&self, hold: f64, yields: bool) -> f64 {
        if self.worker.role == Some(Role::Prefill) {
            return 0.0;
        }
        let slots = f64::from(self.worker.slots.max(1));
        let left_free = match yields {
            true => slots * YIELDED_PLACES_PART,
            false => 0.0,
        };
        let ahead = (f64::from(self.load().sends + 1) + left_free - slots).max(0.0);
        ahead / slots * hold * self.slowness
    }

    /// Seconds that reading `missing` tokens costs the streams that decode here meanwhile.
    pub(super) fn harm_seconds(&self, missing: u64, costs: &EngineCosts) -> f64 {
        let streams = 1.0 + f64::from(self.load().sends);
        match self.worker.role {
            Some(Role::Prefill) => 0.0,
            _ => costs.tokens_while_decoding(missing) * streams * DECODING_HARM,
        }
    }

    /// Seconds as they count, given how often answers come back whole.
    pub(super) fn weigh(&self, now: Timestamp, seconds: f64) -> f64 {
        seconds / self.success(now).max(SUCCESS_FLOOR).powi(3)
    }

    /// The share of sends that come back whole.
    fn success(&self, now: Timestamp) -> f64 {
        let age = now.since(self.success_at).as_secs_f64();
        let left = 0.5_f64.powf(age / SUCCESS_HALF_LIFE.as_secs_f64());
        1.0 - (1.0 - self.success) * left
    }

    fn learn_success(&mut self, now: Timestamp, outcome: f64) {
        self.success = smooth(self.success(now), outcome, SUCCESS_WEIGHT);
        self.success_at = now;
    }

    /// Learns from a send that ended; answers of its service usually begin after `usual` seconds. The first answer
    /// counts for no more than a later one: it may be slow as the worker has just started.
    pub(super) fn learn_result(&mut self, now: Timestamp, result: SendResult, usual: f64) {
        match result {
            SendResult::Answered { latency } => {
                self.learn_success(now, 1.0);
                let seconds = latency.as_secs_f64();
                let known = self.latency.unwrap_or(usual);
                self.latency = Some(smooth(known, seconds, LATENCY_WEIGHT));
                self.unreachable_pause = UNREACHABLE_PAUSE;
                self.refusal_pause = REFUSAL_PAUSE;
            }
            SendResult::Failed | SendResult::Abandoned { silent: true } => {
                self.learn_success(now, 0.0);
            }
            SendResult::Refused => {
                // Refusals that were on their way together count once.
                if !self.is_paused(now) {
                    self.pause_until = now + self.refusal_pause;
                    self.refusal_pause = (self.refusal_pause * 2).min(MAX_REFUSAL_PAUSE);
                }
            }
            SendResult::Unreachable => {
                self.learn_success(now, 0.0);
                self.pause_until = now + self.unreachable_pause;
                self.unreachable_pause = (self.unreachable_pause * 2).min(MAX_UNREACHABLE_PAUSE);
            }
            SendResult::Absent => self.found_absent(now),
            SendResult::Withheld | SendResult::Abandoned { silent: false } => {}
        }
    }

    /// Learns how much slower than others of its service the worker is.
    pub(super) fn learn_slowness(&mut self, usual_seconds: f64, seconds: f64) {
        if usual_seconds <= 0.0 {
            return;
        }
        let (least, most) = SLOWNESS_BOUNDS;
        let slowness = smooth(self.slowness, seconds / usual_seconds, LATENCY_WEIGHT);
        self.slowness = slowness.clamp(least, most);
    }
}

pub(super) fn smooth(old: f64, new: f64, weight: f64) -> f64 {
    old + (new - old) * weight
}
