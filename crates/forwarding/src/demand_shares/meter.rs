//! A gateway's demand for one worker with a limit, from the tokens that it took and whether it lacked any.

use std::cell::Cell;
use std::time::Duration;

/// Demand reported by a gateway that lacked tokens, beyond twice its share, in thousandths of a request per second. A
/// gateway without a share starts with this.
const FIRST_DEMAND: u64 = 1_000;
/// Demands below this, in thousandths of a request per second, are none: three requests in a minute.
const MIN_DEMAND: u64 = 50;
/// Demand beyond the used rate of a gateway that lacked no tokens, as a divisor: a quarter, so that a share in use has
/// room for random arrivals.
const HEADROOM_DIVISOR: u64 = 4;

/// Number of reports over which used rates and demands decay: the share of a worker that accepts one request per second,
/// fewer than one in two reports, is kept between two requests.
const WINDOW_REPORTS: u64 = 8;

/// Counts since the last report.
#[derive(Debug, Clone, Default)]
pub struct DemandMeter {
    taken: u64,
    /// Whether a token was missing. Set while requests compare workers, which changes nothing else.
    lacked: Cell<bool>,
    used: u64,
    demand: u64,
}

impl DemandMeter {
    /// Counts a token that was taken.
    pub fn record_taken(&mut self) {
        self.taken += 1;
    }

    /// Records that a request found no token.
    pub fn record_lacked(&self) {
        self.lacked.set(true);
    }

    /// Returns the smoothed rate of taken tokens in thousandths of a request per second.
    pub fn used(&self) -> u64 {
        self.used
    }

    /// Returns the demand in thousandths of a request per second after `elapsed` since the last call, with a share of
    /// `share` in the same unit. A gateway that lacked tokens does not know how many more it could use, so its demand
    /// doubles with each report until it lacks none.
    pub fn demand(&mut self, elapsed: Duration, share: u64) -> u64 {
        let millis = (elapsed.as_millis() as u64).max(1);
        let newest = std::mem::take(&mut self.taken) * 1_000_000 / millis;
        self.used = (self.used * (WINDOW_REPORTS - 1) + newest) / WINDOW_REPORTS;
        let used = self.used.max(newest);
        let newest = match self.lacked.take() {
            true => 2 * used.max(share) + FIRST_DEMAND,
            false => used + used / HEADROOM_DIVISOR,
        };
        let remembered = self.demand * (WINDOW_REPORTS - 1) / WINDOW_REPORTS;
        self.demand = match newest.max(remembered) {
            ..MIN_DEMAND => 0,
            demand => demand,
        };
        self.demand
    }
}
