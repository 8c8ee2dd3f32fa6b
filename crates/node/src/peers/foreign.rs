//! Messages of nodes of other fleets. They come where an address was given to another machine, and
//! are passed over.

use std::net::SocketAddr;
use std::time::Duration;

use parking_lot::Mutex;
use tansyhall_core::Timestamp;

use crate::state::Node;

/// Shortest time between two log lines.
const LOG_PERIOD: Duration = Duration::from_secs(10);

/// When the next log line may be written.
#[derive(Debug, Default)]
pub struct ForeignLog {
    due: Mutex<Timestamp>,
}

impl ForeignLog {
    fn take_turn(&self, now: Timestamp) -> bool {
        let mut due = self.due.lock();
        let is_due = now >= *due;
        if is_due {
            *due = now + LOG_PERIOD;
        }
        is_due
    }
}

/// Counts a message of a node of another fleet, and logs it if none was logged lately.
pub(super) fn note(node: &Node, from: SocketAddr) {
    let foreign = &node.metrics.peers.foreign;
    foreign.inc();
    if node.foreign_log.take_turn(node.clock.now()) {
        let count = foreign.get();
        log::warn!("passed over a message of another fleet's node at {from}; {count} so far");
    }
}
