//! Limits how many workers may be started or stopped, so that the resulting updates do not saturate the
//! network links of the relays.
//!
//! Each worker that joins or leaves changes its entry in the store, and a relay sends the change to each of
//! its subscribers. The limit is a token bucket in bytes: it holds up to [`MAX_SAVED_BYTES`] and refills at
//! [`REFILL_BYTES_PER_SECOND`]; a change costs what a relay sends for it. A site of 63 gateways with 16 per
//! relay can replace 650 workers at once; a site of 300 gateways can replace 160, and three more each second.

use std::time::Duration;

use tansyhall_core::Timestamp;

/// Five seconds of traffic on a 10 Mbit/s link, the slowest link in the emulations.
const MAX_SAVED_BYTES: f64 = 6.25e6;
/// A tenth of the bandwidth of that link.
const REFILL_BYTES_PER_SECOND: f64 = 125e3;
/// Bytes that a relay sends to one subscriber for a worker that joins, changes its state and leaves: two
/// entries of about 300 bytes each.
const BYTES_PER_CHANGE: f64 = 600.0;

/// A token bucket of bytes that relays may send for changes of workers.
#[derive(Debug, Clone, Copy)]
pub struct ChangeAllowance {
    bytes: f64,
    refilled_at: Timestamp,
}

impl ChangeAllowance {
    /// Returns a full allowance.
    pub fn new(now: Timestamp) -> Self {
        Self {
            bytes: MAX_SAVED_BYTES,
            refilled_at: now,
        }
    }

    /// Refills the allowance and returns how many workers may join or leave, given the number of subscribers
    /// of a relay.
    pub fn affordable_changes(&mut self, now: Timestamp, subscribers: usize) -> u32 {
        let elapsed: Duration = now.since(self.refilled_at);
        let refilled = self.bytes + elapsed.as_secs_f64() * REFILL_BYTES_PER_SECOND;
        self.bytes = refilled.min(MAX_SAVED_BYTES);
        self.refilled_at = now;
        (self.bytes / bytes_per_change(subscribers)) as u32
    }

    /// Deducts the cost of `workers` workers that join or leave.
    pub fn spend(&mut self, workers: u32, subscribers: usize) {
        self.bytes = (self.bytes - f64::from(workers) * bytes_per_change(subscribers)).max(0.0);
    }
}

fn bytes_per_change(subscribers: usize) -> f64 {
    BYTES_PER_CHANGE * subscribers.max(1) as f64
}
