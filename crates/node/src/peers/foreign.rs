//! Messages from nodes of other fleets. They arrive when an address has been reassigned to another
//! machine, and are ignored.

use std::net::SocketAddr;
use std::time::Duration;

use parking_lot::Mutex;
use tansyhall_core::Timestamp;

use crate::state::Node;

/// Shortest time between two log lines about such messages.
const MIN_LOG_INTERVAL: Duration = Duration::from_secs(10);

/// Limits the rate of log lines about messages from other fleets.
#[derive(Debug, Default)]
pub struct ForeignLogLimiter {
    next_line_at: Mutex<Timestamp>,
}

impl ForeignLogLimiter {
    fn allows_line(&self, now: Timestamp) -> bool {
        let mut next_line_at = self.next_line_at.lock();
        let is_allowed = now >= *next_line_at;
        if is_allowed {
            *next_line_at = now + MIN_LOG_INTERVAL;
        }
        is_allowed
    }
}

/// Counts a message from a node of another fleet, and logs it unless one was logged within
/// [`MIN_LOG_INTERVAL`].
pub(super) fn record_foreign_message(node: &Node, from: SocketAddr) {
    let foreign = &node.metrics.peers.foreign;
    foreign.inc();
    if node.foreign_log_limiter.allows_line(node.clock.now()) {
        let count = foreign.get();
        log::warn!("ignored a message from a node of another fleet at {from}; {count} so far");
    }
}
