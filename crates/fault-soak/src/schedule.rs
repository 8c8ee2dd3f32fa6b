//! The schedule of faults that a seed gives.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::Serialize;

use crate::faults::{Fault, Mix};
use crate::link::LinkFault;

/// Mean time between two actions.
const MEAN_PAUSE_MS: u64 = 250;
/// The longest time that a link is harmed or a process is frozen.
const MAX_HARM_MS: u64 = 1_500;
/// The most configurations in one storm.
const MAX_STORM: u64 = 6;
/// Mean time between two workers that leave or rest.
const MEAN_NOTICE_PAUSE_MS: u64 = 900;
/// How long a worker that leaves says so in answers alone: longer than gateways may go on sending.
const LEAVING_MS: std::ops::Range<u64> = 2_500..4_500;
/// The rest that a worker asks for.
const REST_MS: std::ops::Range<u64> = 800..3_000;
/// How long a worker turns everything away.
const RESTING_MS: std::ops::Range<u64> = 500..2_000;
/// Mean time between two workers that name rate limits.
const MEAN_LIMIT_PAUSE_MS: u64 = 1_500;
/// The rate limits that workers name, in thousandths of a request a second.
const LIMIT_MILLI: std::ops::Range<u64> = 500..8_000;
/// How long a worker names its limit.
const LIMITED_MS: std::ops::Range<u64> = 3_000..8_000;
/// Mean time between the ends of a restore of the store and the beginning of the next.
const MEAN_RESTORE_PAUSE_MS: u64 = 2_000;
/// Mean time between two harms to links between gateways.
const MEAN_COPIES_PAUSE_MS: u64 = 1_000;
/// Tells their random numbers from those of the other actions.
const COPIES_SEED: u64 = 0x0063_6f70_6965_7300;
/// How old the copy is from which the store is restored.
const COPY_AGE_MS: std::ops::Range<u64> = 300..2_500;
/// How long the store is away before it is back.
const AWAY_MS: std::ops::Range<u64> = 100..1_500;
/// Time after which the operator and workers write again what the store has lost.
const REWRITTEN_MS: std::ops::Range<u64> = 50..1_000;
/// Tells their random numbers from those of the other actions.
const RESTORES_SEED: u64 = 0x0072_6573_746f_7265;
/// Tells their random numbers from those of the other actions.
const LIMITS_SEED: u64 = 0x6c69_6d69_7473;
/// Tells these random numbers from those of the other actions.
const NOTICES_SEED: u64 = 0x6e6f_7469_6365;
/// Workers that stutter from the start, of ten.
const STUTTERING_OF_TEN: u32 = 8;

/// What is harmed by a link.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub enum Edge {
    /// Between callers and a gateway.
    Callers,
    /// Between gateways and a worker.
    Worker,
    /// Between a gateway and the store.
    Store,
    /// Between a gateway and those that ask it for its copy of the store.
    Copies,
}

/// One action. Indexes are taken modulo what is there.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub enum Action {
    /// A worker has these faults from now on.
    Mix {
        /// The worker.
        worker: usize,
        /// The faults.
        mix: Mix,
    },
    /// A link is harmed for a while.
    Harm {
        /// Which kind of link.
        edge: Edge,
        /// Which of them.
        index: usize,
        /// How.
        fault: LinkFault,
        /// How long.
        for_ms: u64,
    },
    /// A gateway process is frozen for a while.
    Freeze {
        /// The gateway.
        gateway: usize,
        /// How long.
        for_ms: u64,
    },
    /// A gateway process is killed and started anew.
    Kill {
        /// The gateway.
        gateway: usize,
    },
    /// A gateway process is stopped as planned and started anew.
    Stop {
        /// The gateway.
        gateway: usize,
    },
    /// This many configurations one after another.
    Configure {
        /// How many.
        count: u64,
    },
    /// A worker says that it leaves, and leaves; another comes.
    Replace {
        /// The worker.
        worker: usize,
    },
    /// A worker says so in its answers for a while before the store knows; then it is replaced.
    Leave {
        /// The worker.
        worker: usize,
        /// How long.
        for_ms: u64,
    },
    /// A worker turns everything away for a while, and asks for rest each time.
    Rest {
        /// The worker.
        worker: usize,
        /// For how much.
        rest_ms: u64,
        /// How long.
        for_ms: u64,
    },
    /// A worker names a rate limit in its answers for a while.
    Limit {
        /// The worker.
        worker: usize,
        /// Thousandths of a request a second.
        millirequests: u64,
        /// How long.
        for_ms: u64,
    },
    /// The store is restored.
    Restore(Restore),
}

/// How the store is restored from an earlier copy of itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct Restore {
    /// How old the copy is, in milliseconds.
    pub copy_age_ms: u64,
    /// For how many milliseconds the store is away before.
    pub away_ms: u64,
    /// After how many milliseconds the operator and workers write again what was lost.
    pub rewritten_ms: u64,
}

impl Restore {
    fn duration_ms(self) -> u64 {
        self.copy_age_ms + self.away_ms + self.rewritten_ms
    }
}

/// An action at its time.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct ScheduledAction {
    /// Milliseconds from the start.
    pub at_ms: u64,
    /// The action.
    pub action: Action,
}

/// All actions of an episode, in order.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Schedule {
    /// The faults that workers begin with.
    pub first_mixes: Vec<Mix>,
    /// The actions.
    pub actions: Vec<ScheduledAction>,
}

impl Schedule {
    /// The schedule of a seed, for so many workers, so long and with these faults of workers.
    pub fn of_seed(seed: u64, workers: usize, duration: Duration, faults: &[Fault]) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let first_mixes = (0..workers)
            .map(|_| draw_mix(faults, &mut random))
            .collect();
        let mut actions = Vec::new();
        let mut at_ms = random.random_range(0..MEAN_PAUSE_MS);
        while u128::from(at_ms) < duration.as_millis() {
            let action = draw_action(faults, &mut random);
            actions.push(ScheduledAction { at_ms, action });
            at_ms += random.random_range(1..=2 * MEAN_PAUSE_MS);
        }
        actions.extend(draw_notices(seed, duration));
        actions.extend(draw_limits(seed, duration));
        actions.extend(draw_restores(seed, duration));
        actions.extend(draw_harms_between_gateways(seed, duration));
        actions.sort_by_key(|scheduled| scheduled.at_ms);
        Self {
            first_mixes,
            actions,
        }
    }
}

/// Workers that leave and rest, from random numbers of their own: those of the other actions stay as each seed gave
/// them before.
fn draw_notices(seed: u64, duration: Duration) -> Vec<ScheduledAction> {
    let mut random = ChaCha8Rng::seed_from_u64(seed ^ NOTICES_SEED);
    let mut actions = Vec::new();
    let mut at_ms = random.random_range(0..MEAN_NOTICE_PAUSE_MS);
    while u128::from(at_ms) < duration.as_millis() {
        let worker = random.random_range(0..1_000);
        let action = match random.random_range(0..3) {
            0 => Action::Leave {
                worker,
                for_ms: random.random_range(LEAVING_MS),
            },
            _ => Action::Rest {
                worker,
                rest_ms: random.random_range(REST_MS),
                for_ms: random.random_range(RESTING_MS),
            },
        };
        actions.push(ScheduledAction { at_ms, action });
        at_ms += random.random_range(1..=2 * MEAN_NOTICE_PAUSE_MS);
    }
    actions
}

/// Workers that name rate limits, from random numbers of their own for the same reason.
fn draw_limits(seed: u64, duration: Duration) -> Vec<ScheduledAction> {
    let mut random = ChaCha8Rng::seed_from_u64(seed ^ LIMITS_SEED);
    let mut actions = Vec::new();
    let mut at_ms = random.random_range(0..MEAN_LIMIT_PAUSE_MS);
    while u128::from(at_ms) < duration.as_millis() {
        let action = Action::Limit {
            worker: random.random_range(0..1_000),
            millirequests: random.random_range(LIMIT_MILLI),
            for_ms: random.random_range(LIMITED_MS),
        };
        actions.push(ScheduledAction { at_ms, action });
        at_ms += random.random_range(1..=2 * MEAN_LIMIT_PAUSE_MS);
    }
    actions
}

/// Restores of the store, one after the other, from random numbers of their own for the same reason.
fn draw_restores(seed: u64, duration: Duration) -> Vec<ScheduledAction> {
    let mut random = ChaCha8Rng::seed_from_u64(seed ^ RESTORES_SEED);
    let mut actions = Vec::new();
    let mut at_ms = random.random_range(0..MEAN_RESTORE_PAUSE_MS);
    while u128::from(at_ms) < duration.as_millis() {
        let restore = Restore {
            copy_age_ms: random.random_range(COPY_AGE_MS),
            away_ms: random.random_range(AWAY_MS),
            rewritten_ms: random.random_range(REWRITTEN_MS),
        };
        let action = Action::Restore(restore);
        actions.push(ScheduledAction { at_ms, action });
        at_ms += restore.duration_ms() + random.random_range(1..=2 * MEAN_RESTORE_PAUSE_MS);
    }
    actions
}

/// Harms to links between gateways, from random numbers of their own for the same reason.
fn draw_harms_between_gateways(seed: u64, duration: Duration) -> Vec<ScheduledAction> {
    let mut random = ChaCha8Rng::seed_from_u64(seed ^ COPIES_SEED);
    let mut actions = Vec::new();
    let mut at_ms = random.random_range(0..MEAN_COPIES_PAUSE_MS);
    while u128::from(at_ms) < duration.as_millis() {
        let action = Action::Harm {
            edge: Edge::Copies,
            index: random.random_range(0..1_000),
            fault: LinkFault::draw(&mut random),
            for_ms: random.random_range(20..MAX_HARM_MS),
        };
        actions.push(ScheduledAction { at_ms, action });
        at_ms += random.random_range(1..=2 * MEAN_COPIES_PAUSE_MS);
    }
    actions
}

fn draw_mix(faults: &[Fault], random: &mut ChaCha8Rng) -> Mix {
    let mix = Mix::draw(faults, random);
    if random.random_ratio(STUTTERING_OF_TEN, 10) {
        mix.with_stutter(random)
    } else {
        mix
    }
}

fn draw_action(faults: &[Fault], random: &mut ChaCha8Rng) -> Action {
    let index = random.random_range(0..1_000);
    let for_ms = random.random_range(20..MAX_HARM_MS);
    match random.random_range(0..20) {
        0..8 => Action::Mix {
            worker: index,
            mix: draw_mix(faults, random),
        },
        8..13 => Action::Harm {
            edge: draw_edge(random),
            index,
            fault: LinkFault::draw(random),
            for_ms,
        },
        13..15 => Action::Freeze {
            gateway: index,
            for_ms,
        },
        15 => Action::Kill { gateway: index },
        16 => Action::Stop { gateway: index },
        17 => Action::Configure {
            count: random.random_range(1..=MAX_STORM),
        },
        _ => Action::Replace { worker: index },
    }
}

fn draw_edge(random: &mut ChaCha8Rng) -> Edge {
    match random.random_range(0..4) {
        0 => Edge::Callers,
        1 => Edge::Store,
        _ => Edge::Worker,
    }
}
