//! The parts of a schedule that partition gateways from workers and make workers fall silent. Each has a separate random
//! number generator, so that it does not change the other actions that a seed gives.

use std::time::Duration;

use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tansyhall_testing::Partition;

use crate::schedule::{Action, ScheduledAction};

/// Separates the random numbers of partitions from those of the other actions.
const PARTITIONS_SEED: u64 = 0x0070_6172_7469_7473;
/// Mean time between the end of a partition and the start of the next one.
const MEAN_PARTITION_PAUSE_MS: u64 = 1_500;
/// How long a partition lasts.
const PARTITION_MS: std::ops::Range<u64> = 1_000..6_000;
/// Separates the random numbers of silences of workers from those of the other actions.
const SILENCES_SEED: u64 = 0x0073_696c_656e_6365;
/// Mean time between two actions that make a worker fall silent.
const MEAN_SILENCE_PAUSE_MS: u64 = 600;
/// How long a worker is silent.
const SILENCE_MS: std::ops::Range<u64> = 800..1_800;

/// Draws the partitions, which do not overlap.
pub(crate) fn draw_partitions(seed: u64, duration: Duration) -> Vec<ScheduledAction> {
    let mut random = ChaCha8Rng::seed_from_u64(seed ^ PARTITIONS_SEED);
    let mut actions = Vec::new();
    let mut at_ms = random.random_range(0..MEAN_PARTITION_PAUSE_MS);
    while u128::from(at_ms) < duration.as_millis() {
        let for_ms = random.random_range(PARTITION_MS);
        let partition = Partition::ALL.choose(&mut random).copied();
        let action = Action::Partition {
            first: random.random_range(0..1_000),
            further: random.random_range(0..1_000),
            partition: partition.unwrap_or(Partition::Reset),
            for_ms,
        };
        actions.push(ScheduledAction { at_ms, action });
        at_ms += for_ms + random.random_range(1..=2 * MEAN_PARTITION_PAUSE_MS);
    }
    actions
}

/// Draws the silences of workers.
pub(crate) fn draw_silences(seed: u64, duration: Duration) -> Vec<ScheduledAction> {
    let mut random = ChaCha8Rng::seed_from_u64(seed ^ SILENCES_SEED);
    let mut actions = Vec::new();
    let mut at_ms = random.random_range(0..MEAN_SILENCE_PAUSE_MS);
    while u128::from(at_ms) < duration.as_millis() {
        let action = Action::Silence {
            worker: random.random_range(0..1_000),
            for_ms: random.random_range(SILENCE_MS),
        };
        actions.push(ScheduledAction { at_ms, action });
        at_ms += random.random_range(1..=2 * MEAN_SILENCE_PAUSE_MS);
    }
    actions
}
