//! A schedule in which workers depart while the store ignores some gateways. Gateways are also stopped, killed and frozen,
//! in series and at the same time.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::schedule::{Action, ScheduledAction};

/// Separates the random numbers of these schedules from those of the other ones.
const DEPARTURES_SEED: u64 = 0x6465_7061_7274_7300;
/// Mean time between two departures.
const MEAN_DEPARTURE_PAUSE_MS: u64 = 500;
/// Mean time between the end of a time in which the store ignores gateways and the start of the next one.
const MEAN_IGNORE_PAUSE_MS: u64 = 800;
/// How long the store ignores gateways.
const IGNORED_MS: std::ops::Range<u64> = 1_000..9_000;
/// Mean time between two series of actions on gateway processes.
const MEAN_PROCESS_ACTION_PAUSE_MS: u64 = 8_000;
/// Maximum number of actions of a series.
const MAX_SERIES: u64 = 3;
/// Maximum time between two actions of a series.
const MAX_SERIES_PAUSE_MS: u64 = 700;
/// How long a process is frozen.
const FREEZE_MS: std::ops::Range<u64> = 200..3_000;

/// Draws the actions of such a schedule, ordered by start time.
pub(crate) fn draw_departures_while_ignored(seed: u64, duration: Duration) -> Vec<ScheduledAction> {
    let mut random = ChaCha8Rng::seed_from_u64(seed ^ DEPARTURES_SEED);
    let mut actions = Vec::new();
    draw_repeatedly(
        &mut random,
        duration,
        MEAN_DEPARTURE_PAUSE_MS,
        |random, at_ms| {
            let action = Action::Depart {
                worker: random.random_range(0..1_000),
                says_draining: random.random(),
            };
            actions.push(ScheduledAction { at_ms, action });
            0
        },
    );
    draw_repeatedly(
        &mut random,
        duration,
        MEAN_IGNORE_PAUSE_MS,
        |random, at_ms| {
            let for_ms = random.random_range(IGNORED_MS);
            let action = Action::Ignore {
                first: random.random_range(0..1_000),
                further: random.random_range(0..1_000),
                refuses: random.random_ratio(1, 4),
                for_ms,
            };
            actions.push(ScheduledAction { at_ms, action });
            for_ms
        },
    );
    draw_repeatedly(
        &mut random,
        duration,
        MEAN_PROCESS_ACTION_PAUSE_MS,
        |random, at_ms| {
            let mut series_ms = 0;
            for _ in 0..random.random_range(1..=MAX_SERIES) {
                let action = draw_process_action(random);
                let at_ms = at_ms + series_ms;
                actions.push(ScheduledAction { at_ms, action });
                series_ms += random.random_range(0..MAX_SERIES_PAUSE_MS);
            }
            series_ms
        },
    );
    actions.sort_by_key(|scheduled| scheduled.at_ms);
    actions
}

/// Draws actions until `duration` has passed. `draw` gets a start time and returns how long the action takes, in
/// milliseconds.
fn draw_repeatedly(
    random: &mut ChaCha8Rng,
    duration: Duration,
    mean_pause_ms: u64,
    mut draw: impl FnMut(&mut ChaCha8Rng, u64) -> u64,
) {
    let mut at_ms = random.random_range(0..mean_pause_ms);
    while u128::from(at_ms) < duration.as_millis() {
        at_ms += draw(random, at_ms);
        at_ms += random.random_range(1..=2 * mean_pause_ms);
    }
}

fn draw_process_action(random: &mut ChaCha8Rng) -> Action {
    let gateway = random.random_range(0..1_000);
    match random.random_range(0..5) {
        0 => Action::Kill { gateway },
        1 => Action::Stop { gateway },
        2 => Action::Configure { count: 2 },
        _ => Action::Freeze {
            gateway,
            for_ms: random.random_range(FREEZE_MS),
        },
    }
}
