//! The holder's view of its lease. The lease counts from the moment the renewal was *sent*, less a
//! margin, on the holder's monotonic clock: the service started counting no earlier than that, so
//! the holder always stops believing before the service lets another take over.

use tansyhall_core::{Duration, Timestamp};

/// When a lease must be considered lapsed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseClock {
    margin: Duration,
    valid_until: Option<Timestamp>,
}

impl LeaseClock {
    /// A lease that is not held yet.
    pub fn new(margin: Duration) -> Self {
        Self {
            margin,
            valid_until: None,
        }
    }

    /// A grant or renewal sent at `sent` was answered with `time_to_live`.
    pub fn renewed(&mut self, sent: Timestamp, time_to_live: Duration) {
        let until = sent + time_to_live.saturating_sub(self.margin);
        self.valid_until = Some(self.valid_until.map_or(until, |current| current.max(until)));
    }

    /// The service said that the lease is gone.
    pub fn lapsed(&mut self) {
        self.valid_until = None;
    }

    /// Whether an order may be sent at `now`.
    pub fn is_valid(&self, now: Timestamp) -> bool {
        self.valid_until.is_some_and(|until| now < until)
    }
}
