//! Until when a worker that the store announces as leaving may still get requests.
//!
//! New requests must not reach the worker later than the drain time after the store has accepted its entry. A gateway
//! sends for half of this time after it has learned of the entry; the other half covers the delay with which it learned.

use std::time::Duration;

use tansyhall_core::Timestamp;

/// A request must be expected to finish within the remaining time divided by this: the margin is as long as the request
/// itself, since streams of one route differ in length and the other streams of the worker slow it down.
const DURATION_FACTOR: u32 = 2;

/// The announced departure of a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Departure {
    last_send_at: Timestamp,
    leaves_at: Timestamp,
}

impl Departure {
    /// Returns the departure of a worker whose entry states that it leaves after `remaining`. The entry was learned at
    /// `learned_at`, at most `max_delay` after the store accepted it. Returns `None` if the worker may not get any
    /// request, because the delay may exceed half of the drain time.
    pub fn new(
        learned_at: Timestamp,
        remaining: Duration,
        max_delay: Duration,
        drain_time: Duration,
    ) -> Option<Self> {
        let sending_time = drain_time / 2;
        if sending_time.is_zero() || max_delay > sending_time {
            return None;
        }
        Some(Self {
            last_send_at: learned_at + sending_time,
            leaves_at: learned_at + remaining.saturating_sub(max_delay),
        })
    }

    /// Returns this departure after a later entry of the worker. The time for sends is counted from the first entry that
    /// announced the departure, and the worker leaves at the earlier one of the stated times.
    pub fn restated(self, later: Self) -> Self {
        Self {
            last_send_at: self.last_send_at.min(later.last_send_at),
            leaves_at: self.leaves_at.min(later.leaves_at),
        }
    }

    /// Returns whether requests may be sent to the worker now.
    pub fn permits_sends(&self, now: Timestamp) -> bool {
        now < self.last_send_at && now < self.leaves_at
    }

    /// Returns whether a request that is sent now and takes this long is expected to finish before the worker leaves.
    pub fn leaves_time_for(&self, now: Timestamp, duration: Duration) -> bool {
        self.permits_sends(now) && now + duration.saturating_mul(DURATION_FACTOR) <= self.leaves_at
    }
}
