//! The schedule of faults, derived from a seed.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::Serialize;
use tansyhall_testing::Partition;

use crate::faults::{Fault, FaultMix};
use crate::link::LinkFault;
use crate::schedule_of_departures::draw_departures_while_ignored;
use crate::schedule_of_partitions::{draw_partitions, draw_silences};

/// Mean time between two actions.
const MEAN_PAUSE_MS: u64 = 250;
/// Maximum time for which a link has a fault or a process is frozen.
const MAX_FAULT_DURATION_MS: u64 = 1_500;
/// Maximum number of configurations written in quick succession.
const MAX_CONFIGURATIONS: u64 = 6;
/// Mean time between two actions that make a worker leave or ask for back-off.
const MEAN_DEPARTURE_OR_BACKOFF_PAUSE_MS: u64 = 900;
/// How long a worker announces only in its answers that it is leaving. This is longer than gateways may continue to
/// send requests to it.
const LEAVING_IN_ANSWERS_MS: std::ops::Range<u64> = 2_500..4_500;
/// The back-off that a worker asks for.
const BACKOFF_MS: std::ops::Range<u64> = 800..3_000;
/// How long a worker refuses every request.
const REFUSING_MS: std::ops::Range<u64> = 500..2_000;
/// Mean time between two actions that make a worker send a rate limit.
const MEAN_RATE_LIMIT_PAUSE_MS: u64 = 1_500;
/// The rate limits that workers send, in thousandths of a request per second.
const RATE_LIMIT_MILLIREQUESTS: std::ops::Range<u64> = 500..8_000;
/// How long a worker sends its rate limit.
const RATE_LIMITED_MS: std::ops::Range<u64> = 3_000..8_000;
/// Mean time between the end of a restore of the store and the start of the next one.
const MEAN_RESTORE_PAUSE_MS: u64 = 2_000;
/// Mean time between two faults of links between gateways.
const MEAN_PEER_LINK_FAULT_PAUSE_MS: u64 = 1_000;
/// Separates the random numbers of faults of links between gateways from those of the other actions.
const PEER_LINK_FAULTS_SEED: u64 = 0x0063_6f70_6965_7300;
/// Age of the backup from which the store is restored.
const BACKUP_AGE_MS: std::ops::Range<u64> = 300..2_500;
/// How long the store is unavailable before it is restored.
const STORE_OUTAGE_MS: std::ops::Range<u64> = 100..1_500;
/// Delay after which the operator and workers rewrite what the store has lost.
const REWRITE_DELAY_MS: std::ops::Range<u64> = 50..1_000;
/// Separates the random numbers of restores of the store from those of the other actions.
const RESTORES_SEED: u64 = 0x0072_6573_746f_7265;
/// Separates the random numbers of rate limits from those of the other actions.
const RATE_LIMITS_SEED: u64 = 0x6c69_6d69_7473;
/// Separates the random numbers of leaving workers and back-offs from those of the other actions.
const DEPARTURES_AND_BACKOFFS_SEED: u64 = 0x6e6f_7469_6365;
/// Number of workers out of ten that repeat answers.
const REPEATING_WORKERS_OF_TEN: u32 = 8;

/// Which faults an episode injects.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub enum Focus {
    /// All, except that workers depart only in ways that their answers tell.
    Everything,
    /// Gateways are partitioned from workers, and workers fall silent.
    PartitionsAndSilences,
    /// Workers depart while the store ignores some gateways and others stop, restart or stand still.
    Departures,
}

/// The kind of link that a fault is injected into.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub enum Edge {
    /// Between callers and a gateway.
    Callers,
    /// Between gateways and a worker.
    Worker,
    /// Between a gateway and the store.
    Store,
    /// Between a gateway and its peers that request its snapshot of the store.
    Copies,
}

/// One action. Indexes are taken modulo the number of gateways or workers.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub enum Action {
    /// Replaces the faults of a worker.
    Mix {
        /// The worker.
        worker: usize,
        /// The faults.
        mix: FaultMix,
    },
    /// Injects a fault into a link for a limited time.
    Harm {
        /// The kind of link.
        edge: Edge,
        /// The index of the gateway or worker whose link is meant.
        index: usize,
        /// The fault.
        fault: LinkFault,
        /// Duration in milliseconds.
        for_ms: u64,
    },
    /// Freezes a gateway process for a limited time.
    Freeze {
        /// The gateway.
        gateway: usize,
        /// Duration in milliseconds.
        for_ms: u64,
    },
    /// Kills a gateway process and starts a new one.
    Kill {
        /// The gateway.
        gateway: usize,
    },
    /// Stops a gateway process gracefully and starts a new one.
    Stop {
        /// The gateway.
        gateway: usize,
    },
    /// Writes several configurations one after another.
    Configure {
        /// The number of configurations.
        count: u64,
    },
    /// Starts another worker, and makes this one announce that it is leaving and then leave.
    Replace {
        /// The worker.
        worker: usize,
    },
    /// Does the same as `Replace`, but the worker first announces for a limited time only in its answers that it is
    /// leaving, before it announces this in the store.
    Leave {
        /// The worker.
        worker: usize,
        /// Duration in milliseconds.
        for_ms: u64,
    },
    /// Makes a worker refuse every request for a limited time and ask for a back-off each time.
    Rest {
        /// The worker.
        worker: usize,
        /// The back-off in milliseconds.
        rest_ms: u64,
        /// Duration in milliseconds.
        for_ms: u64,
    },
    /// Makes a worker send a rate limit in its answers for a limited time.
    Limit {
        /// The worker.
        worker: usize,
        /// The limit in thousandths of a request per second.
        millirequests: u64,
        /// Duration in milliseconds.
        for_ms: u64,
    },
    /// Restores the store from a backup.
    Restore(Restore),
    /// Partitions gateways from all workers for a limited time.
    Partition {
        /// The first of the gateways.
        first: usize,
        /// The number of further gateways, modulo the number of gateways that can be partitioned besides the first so
        /// that at least one is not.
        further: usize,
        /// What happens to their connections.
        partition: Partition,
        /// Duration in milliseconds.
        for_ms: u64,
    },
    /// Starts another worker, and makes this one leave. Its answers do not tell.
    Depart {
        /// The worker.
        worker: usize,
        /// Whether its entry in the store says that it is leaving before it is removed.
        says_draining: bool,
    },
    /// Makes the store ignore some gateways for a limited time, but never all.
    Ignore {
        /// The first of the gateways.
        first: usize,
        /// The number of further gateways, modulo the number of gateways that can be ignored besides the first.
        further: usize,
        /// Whether the store refuses their calls. Otherwise it does not answer them.
        refuses: bool,
        /// Duration in milliseconds.
        for_ms: u64,
    },
    /// Makes a worker send nothing for a limited time, and go on afterwards.
    Silence {
        /// The worker.
        worker: usize,
        /// Duration in milliseconds.
        for_ms: u64,
    },
}

/// How the store is restored from an earlier backup of itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct Restore {
    /// Age of the backup in milliseconds.
    pub copy_age_ms: u64,
    /// How long the store is unavailable before the restore, in milliseconds.
    pub away_ms: u64,
    /// Delay after the restore until the operator and workers rewrite what was lost, in milliseconds.
    pub rewritten_ms: u64,
}

impl Restore {
    fn duration_ms(self) -> u64 {
        self.copy_age_ms + self.away_ms + self.rewritten_ms
    }
}

/// An action and the time at which it starts.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct ScheduledAction {
    /// Start time in milliseconds since the start of the schedule.
    pub at_ms: u64,
    /// The action.
    pub action: Action,
}

/// All actions of an episode, ordered by start time.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Schedule {
    /// The initial faults of each worker.
    pub first_mixes: Vec<FaultMix>,
    /// The actions.
    pub actions: Vec<ScheduledAction>,
}

impl Schedule {
    /// Derives the schedule from a seed, for this number of workers, this duration and these possible faults of
    /// workers.
    pub fn from_seed(seed: u64, workers: usize, duration: Duration, faults: &[Fault]) -> Self {
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
        actions.extend(draw_departures_and_backoffs(seed, duration));
        actions.extend(draw_rate_limits(seed, duration));
        actions.extend(draw_restores(seed, duration));
        actions.extend(draw_peer_link_faults(seed, duration));
        actions.extend(draw_partitions(seed, duration));
        actions.extend(draw_silences(seed, duration));
        actions.sort_by_key(|scheduled| scheduled.at_ms);
        Self {
            first_mixes,
            actions,
        }
    }

    /// Returns the schedule with the faults of this focus alone.
    pub fn focused_on(mut self, focus: Focus, seed: u64, duration: Duration) -> Self {
        if focus != Focus::Everything {
            self.first_mixes.fill(FaultMix::default());
        }
        match focus {
            Focus::Everything => {}
            Focus::PartitionsAndSilences => self.actions.retain(|scheduled| {
                let action = &scheduled.action;
                matches!(action, Action::Partition { .. } | Action::Silence { .. })
            }),
            Focus::Departures => self.actions = draw_departures_while_ignored(seed, duration),
        }
        self
    }
}

/// Draws the actions that make workers leave or ask for back-off. They have a separate random number generator, so
/// that they do not change the other actions that a seed gives.
fn draw_departures_and_backoffs(seed: u64, duration: Duration) -> Vec<ScheduledAction> {
    let mut random = ChaCha8Rng::seed_from_u64(seed ^ DEPARTURES_AND_BACKOFFS_SEED);
    let mut actions = Vec::new();
    let mut at_ms = random.random_range(0..MEAN_DEPARTURE_OR_BACKOFF_PAUSE_MS);
    while u128::from(at_ms) < duration.as_millis() {
        let worker = random.random_range(0..1_000);
        let action = match random.random_range(0..3) {
            0 => Action::Leave {
                worker,
                for_ms: random.random_range(LEAVING_IN_ANSWERS_MS),
            },
            _ => Action::Rest {
                worker,
                rest_ms: random.random_range(BACKOFF_MS),
                for_ms: random.random_range(REFUSING_MS),
            },
        };
        actions.push(ScheduledAction { at_ms, action });
        at_ms += random.random_range(1..=2 * MEAN_DEPARTURE_OR_BACKOFF_PAUSE_MS);
    }
    actions
}

/// Draws the actions that make workers send rate limits. They have a separate random number generator for the same
/// reason as [`draw_departures_and_backoffs`].
fn draw_rate_limits(seed: u64, duration: Duration) -> Vec<ScheduledAction> {
    let mut random = ChaCha8Rng::seed_from_u64(seed ^ RATE_LIMITS_SEED);
    let mut actions = Vec::new();
    let mut at_ms = random.random_range(0..MEAN_RATE_LIMIT_PAUSE_MS);
    while u128::from(at_ms) < duration.as_millis() {
        let action = Action::Limit {
            worker: random.random_range(0..1_000),
            millirequests: random.random_range(RATE_LIMIT_MILLIREQUESTS),
            for_ms: random.random_range(RATE_LIMITED_MS),
        };
        actions.push(ScheduledAction { at_ms, action });
        at_ms += random.random_range(1..=2 * MEAN_RATE_LIMIT_PAUSE_MS);
    }
    actions
}

/// Draws the restores of the store, which do not overlap. They have a separate random number generator for the same
/// reason as [`draw_departures_and_backoffs`].
fn draw_restores(seed: u64, duration: Duration) -> Vec<ScheduledAction> {
    let mut random = ChaCha8Rng::seed_from_u64(seed ^ RESTORES_SEED);
    let mut actions = Vec::new();
    let mut at_ms = random.random_range(0..MEAN_RESTORE_PAUSE_MS);
    while u128::from(at_ms) < duration.as_millis() {
        let restore = Restore {
            copy_age_ms: random.random_range(BACKUP_AGE_MS),
            away_ms: random.random_range(STORE_OUTAGE_MS),
            rewritten_ms: random.random_range(REWRITE_DELAY_MS),
        };
        let action = Action::Restore(restore);
        actions.push(ScheduledAction { at_ms, action });
        at_ms += restore.duration_ms() + random.random_range(1..=2 * MEAN_RESTORE_PAUSE_MS);
    }
    actions
}

/// Draws the faults of links between gateways. They have a separate random number generator for the same reason as
/// [`draw_departures_and_backoffs`].
fn draw_peer_link_faults(seed: u64, duration: Duration) -> Vec<ScheduledAction> {
    let mut random = ChaCha8Rng::seed_from_u64(seed ^ PEER_LINK_FAULTS_SEED);
    let mut actions = Vec::new();
    let mut at_ms = random.random_range(0..MEAN_PEER_LINK_FAULT_PAUSE_MS);
    while u128::from(at_ms) < duration.as_millis() {
        let action = Action::Harm {
            edge: Edge::Copies,
            index: random.random_range(0..1_000),
            fault: LinkFault::draw(&mut random),
            for_ms: random.random_range(20..MAX_FAULT_DURATION_MS),
        };
        actions.push(ScheduledAction { at_ms, action });
        at_ms += random.random_range(1..=2 * MEAN_PEER_LINK_FAULT_PAUSE_MS);
    }
    actions
}

fn draw_mix(faults: &[Fault], random: &mut ChaCha8Rng) -> FaultMix {
    let mix = FaultMix::draw(faults, random);
    if random.random_ratio(REPEATING_WORKERS_OF_TEN, 10) {
        mix.with_repeated_answers(random)
    } else {
        mix
    }
}

fn draw_action(faults: &[Fault], random: &mut ChaCha8Rng) -> Action {
    let index = random.random_range(0..1_000);
    let for_ms = random.random_range(20..MAX_FAULT_DURATION_MS);
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
            count: random.random_range(1..=MAX_CONFIGURATIONS),
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
