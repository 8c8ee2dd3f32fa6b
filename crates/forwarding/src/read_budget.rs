//! Bounds how often a gateway reads the store at its callers' requests, so that callers who name unknown streams cannot
//! use up the reads that the store allows for all gateways.

use std::time::Duration;

use tansyhall_core::Timestamp;

/// Interval of the calls of all gateways together: 100 a second, a twentieth of the reads that a store allows.
const FLEET_CALL_INTERVAL: Duration = Duration::from_millis(10);
/// Number of calls that a gateway may make at once after it made none for a while.
const BURST: u32 = 20;
/// Longest time for which requests are gathered before a read that they share.
const MAX_GATHERING: Duration = Duration::from_millis(300);

/// The calls of one gateway.
#[derive(Debug, Default)]
pub struct ReadBudget {
    /// Until then, the gateway's share is used up by the calls that it made.
    used_until: Timestamp,
}

impl ReadBudget {
    /// Returns how long the gateway has to wait before its next call, in a fleet of this size.
    pub fn wait(&self, now: Timestamp, gateways: usize) -> Duration {
        let advance = self.used_until.since(now);
        advance.saturating_sub(call_interval(gateways) * (BURST - 1))
    }

    /// Returns how long the gateway should let requests gather before its next read. The time grows with the part of the
    /// burst that is used up, so that the rest is enough for many requests that come one after the other.
    pub fn gathering(&self, now: Timestamp, gateways: usize) -> Duration {
        let advance = self.used_until.since(now).as_secs_f64();
        let burst = (call_interval(gateways) * BURST).as_secs_f64();
        let gathering = MAX_GATHERING.mul_f64((advance / burst).min(1.0));
        gathering.max(self.wait(now, gateways))
    }

    /// Records a number of calls.
    pub fn record_calls(&mut self, now: Timestamp, gateways: usize, calls: usize) {
        let calls = u32::try_from(calls).unwrap_or(u32::MAX);
        let interval = call_interval(gateways);
        self.used_until = self.used_until.max(now) + interval.saturating_mul(calls);
    }
}

/// Returns the interval of the calls of one gateway.
fn call_interval(gateways: usize) -> Duration {
    let gateways = u32::try_from(gateways.max(1)).unwrap_or(u32::MAX);
    FLEET_CALL_INTERVAL.saturating_mul(gateways)
}
