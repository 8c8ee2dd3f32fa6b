//! How many workers may be exchanged without filling the links of those who pass the news on.
//!
//! Each worker that comes or goes changes its entry in the store, and a relay tells each of its subscribers.
//! An allowance is saved up to [`SAVED_BYTES`] and grows by [`BYTES_PER_SECOND`]; a change takes of it what a
//! relay sends for it. A site of 63 gateways, 16 to a relay, exchanges 650 workers at once; one of 300
//! gateways 160, and three more each second.

use std::time::Duration;

use tansyhall_core::Timestamp;

/// Five seconds of the slowest link that was played, 10 Mbit/s.
const SAVED_BYTES: f64 = 6.25e6;
/// A tenth of that link.
const BYTES_PER_SECOND: f64 = 125e3;
/// What a relay sends to one subscriber for a worker that comes, changes its state and goes: two entries of
/// some 300 bytes.
const BYTES_PER_CHANGE: f64 = 600.0;

/// What may still be changed.
#[derive(Debug, Clone, Copy)]
pub struct ChangeAllowance {
    bytes: f64,
    at: Timestamp,
}

impl ChangeAllowance {
    /// A whole allowance.
    pub fn new(now: Timestamp) -> Self {
        Self {
            bytes: SAVED_BYTES,
            at: now,
        }
    }

    /// Lets it grow, and says how many workers may come or go, if a relay has so many subscribers.
    pub fn workers(&mut self, now: Timestamp, subscribers: usize) -> u32 {
        let passed: Duration = now.since(self.at);
        let grown = self.bytes + passed.as_secs_f64() * BYTES_PER_SECOND;
        self.bytes = grown.min(SAVED_BYTES);
        self.at = now;
        (self.bytes / price(subscribers)) as u32
    }

    /// So many workers come or go.
    pub fn take(&mut self, workers: u32, subscribers: usize) {
        self.bytes = (self.bytes - f64::from(workers) * price(subscribers)).max(0.0);
    }
}

fn price(subscribers: usize) -> f64 {
    BYTES_PER_CHANGE * subscribers.max(1) as f64
}
