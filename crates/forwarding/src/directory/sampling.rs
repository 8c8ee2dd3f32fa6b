//! Which workers are compared for a request, where many gateways place requests at the same time.
//!
//! What others place is known with their next report. If each compared all workers, all would find the same
//! one the best until then, and send what they have to it. So each request compares a random part of the
//! workers, beside those that hold a part of its prompt: as many that between two reports the requests of
//! all others look at one worker about once. The best of a few drawn at random is
//! nearly as good as the best of all.

use std::time::Duration;

use tansyhall_core::Timestamp;

use crate::rate::Rate;

/// How often other gateways' requests look at one worker between two of their reports. With two and more,
/// `placements.rs` finds engines loaded more unevenly.
const LOOKS_BETWEEN_REPORTS: f64 = 1.0;
/// The least number of workers that are compared. The best of four is much better than one at random, and
/// more add little (the power of several choices).
const LEAST_COMPARED: f64 = 4.0;
/// The most workers that are compared, however few requests come: the best of so many drawn at random is among
/// the best hundredth of all with a chance of 92%, and a request costs the same before 10,000 engines as before 300.
const MOST_COMPARED: usize = 256;
/// Odd, with ones and zeros in no pattern: spreads keys by multiplication (Fibonacci hashing).
const SPREAD: u64 = 0x9E37_79B9_7F4A_7C15;

/// How many workers a request compares.
#[derive(Debug, Default)]
pub(super) struct Sampling {
    own_sends: Rate,
    others: usize,
    report_pause: Duration,
}

impl Sampling {
    /// So many other gateways place requests, and report them at such a pause.
    pub(super) fn set_exchange(&mut self, others: usize, report_pause: Duration) {
        self.others = others;
        self.report_pause = report_pause;
    }

    /// This gateway has placed a request.
    pub(super) fn record_send(&mut self, now: Timestamp) {
        self.own_sends.record(now, 1.0);
    }

    /// How many of `candidates` workers a request compares, those that hold a part of its prompt aside. Other
    /// gateways are taken to place as much as this one.
    pub(super) fn count(&self, now: Timestamp, candidates: usize) -> usize {
        let others_sends = self.own_sends.per_second(now) * self.others as f64;
        let unreported = others_sends * self.report_pause.as_secs_f64();
        let count = match unreported > LOOKS_BETWEEN_REPORTS {
            true => candidates as f64 * LOOKS_BETWEEN_REPORTS / unreported,
            false => candidates as f64,
        };
        (count.max(LEAST_COMPARED).ceil() as usize).min(MOST_COMPARED)
    }
}

/// Positions among `candidates` that are drawn by a request's random number: `count`, some of them twice.
pub(super) fn drawn_positions(
    draw: u64,
    count: usize,
    candidates: usize,
) -> impl Iterator<Item = usize> {
    (0..count as u64).map(move |number| {
        let mixed = (draw ^ number.wrapping_mul(SPREAD)).wrapping_mul(SPREAD);
        let mixed = (mixed ^ (mixed >> 32)).wrapping_mul(SPREAD);
        ((u128::from(mixed) * candidates as u128) >> u64::BITS) as usize
    })
}
