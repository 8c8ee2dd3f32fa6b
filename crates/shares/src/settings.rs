//! Times of the protocol.

use std::time::Duration;

/// Times of the protocol; the same at every node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ShareSettings {
    /// How long a home share is lent. Also how long a node that starts waits before it uses its
    /// home share, since its earlier run may have lent it.
    pub loan: Duration,
    /// How long a grant is usable; more than `renewal`. `loan` is at least this and two renewals,
    /// so that a loan backs grants until it is renewed.
    pub grant: Duration,
    /// Time between a node's regular asks to one owner.
    pub renewal: Duration,
    /// Time after which an ask without an answer is repeated.
    pub repeat: Duration,
    /// Least time between asks to one owner when demand has grown.
    pub urgent: Duration,
    /// Taken off what is borrowed and added to what is lent, for clocks of different rates.
    pub margin: Duration,
}

impl Default for ShareSettings {
    fn default() -> Self {
        Self {
            loan: Duration::from_secs(30),
            grant: Duration::from_secs(12),
            renewal: Duration::from_secs(8),
            repeat: Duration::from_secs(2),
            urgent: Duration::from_secs(1),
            margin: Duration::from_millis(500),
        }
    }
}
