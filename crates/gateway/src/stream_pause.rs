//! The longest pause between the events of a stream, as received from a worker.

use std::time::Duration;

use tansyhall_core::Timestamp;

/// Measures the pauses of one stream.
///
/// Time during which the caller does not accept an event is not part of a pause: the gateway reads nothing from the
/// worker meanwhile, so that it cannot tell when the next event arrived.
#[derive(Debug, Clone, Copy, Default)]
pub struct StreamPause {
    /// Since when the gateway waits for the next event; `None` before the first one was delivered.
    waiting_since: Option<Timestamp>,
    longest: Duration,
}

impl StreamPause {
    /// Records that one or more events were received together.
    pub fn record_received(&mut self, now: Timestamp) {
        if let Some(since) = self.waiting_since {
            self.longest = self.longest.max(now.since(since));
        }
    }

    /// Records that all received events were delivered.
    pub fn record_delivered(&mut self, now: Timestamp) {
        self.waiting_since = Some(now);
    }

    /// Returns the longest pause; `None` if fewer than two events were received, or all at once.
    pub fn longest(&self) -> Option<Duration> {
        Some(self.longest).filter(|longest| !longest.is_zero())
    }
}
