//! Which workers are compared for a request where many gateways place requests at the same time.
//!
//! A gateway learns what others have placed only with their next report. If each gateway compared
//! all workers, all would find the same worker the best until then and send their requests to it.
//! Therefore each request compares a random sample of the workers, plus those that have a part of
//! its prompt cached. The sample is chosen so large that the requests of all other gateways examine
//! one worker about once between two reports. The best of a few workers drawn at random is nearly
//! as good as the best of all.

use std::time::Duration;

use tansyhall_core::Timestamp;

use crate::rate::Rate;

/// How often the requests of other gateways examine one worker between two of their reports. With a
/// value of two or more, the test `placements.rs` finds engines loaded more unevenly.
const EXAMINATIONS_PER_REPORT_INTERVAL: f64 = 1.0;
/// Minimum number of workers to compare. The best of four is much better than a random one, and
/// more add little (the power of several choices).
const MIN_COMPARED: f64 = 4.0;
/// Maximum number of workers to compare, however few requests arrive: the best of so many random
/// ones is among the best hundredth of all with a probability of 92%, and a request costs the same
/// with 10,000 engines as with 300.
const MAX_COMPARED: usize = 256;
/// An odd number without a bit pattern: multiplying by it spreads keys (Fibonacci hashing).
const HASH_MULTIPLIER: u64 = 0x9E37_79B9_7F4A_7C15;

/// Determines how many workers a request compares.
#[derive(Debug, Default)]
pub(super) struct Sampling {
    own_sends: Rate,
    other_gateways: usize,
    report_interval: Duration,
}

impl Sampling {
    /// Sets the number of other gateways that place requests, and the interval of their reports.
    pub(super) fn set_other_gateways(&mut self, other_gateways: usize, report_interval: Duration) {
        self.other_gateways = other_gateways;
        self.report_interval = report_interval;
    }

    /// Records that this gateway has placed a request.
    pub(super) fn record_send(&mut self, now: Timestamp) {
        self.own_sends.record(now, 1.0);
    }

    /// Returns how many of `candidates` workers a request compares, not counting those that have a
    /// part of its prompt cached. Other gateways are assumed to place as many requests as this one.
    pub(super) fn sample_size(&self, now: Timestamp, candidates: usize) -> usize {
        let other_sends = self.own_sends.per_second(now) * self.other_gateways as f64;
        let unreported = other_sends * self.report_interval.as_secs_f64();
        let count = match unreported > EXAMINATIONS_PER_REPORT_INTERVAL {
            true => candidates as f64 * EXAMINATIONS_PER_REPORT_INTERVAL / unreported,
            false => candidates as f64,
        };
        (count.max(MIN_COMPARED).ceil() as usize).min(MAX_COMPARED)
    }
}

/// Returns `count` positions below `candidates`, drawn with a request's random number; some may be
/// equal.
pub(super) fn drawn_positions(
    draw: u64,
    count: usize,
    candidates: usize,
) -> impl Iterator<Item = usize> {
    (0..count as u64).map(move |number| {
        let mixed = (draw ^ number.wrapping_mul(HASH_MULTIPLIER)).wrapping_mul(HASH_MULTIPLIER);
        let mixed = (mixed ^ (mixed >> 32)).wrapping_mul(HASH_MULTIPLIER);
        ((u128::from(mixed) * candidates as u128) >> u64::BITS) as usize
    })
}
