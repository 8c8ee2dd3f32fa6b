//! Rate limits that workers name for all gateways together.

/// Thousandths of a request in a request.
const MILLI: f64 = 1_000.0;
/// The highest limit that is told apart, in requests a second: far beyond what a worker can answer.
const MAX_REQUESTS_PER_SECOND: f64 = 1e9;

/// Requests a second that a worker takes from all gateways together.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct RateLimit {
    millirequests_per_second: u64,
}

impl RateLimit {
    /// A limit in requests a second, to a thousandth; none for what is no rate.
    pub fn from_requests_per_second(requests: f64) -> Option<Self> {
        let is_rate = requests.is_finite() && requests >= 0.0;
        let thousandths = requests.min(MAX_REQUESTS_PER_SECOND) * MILLI;
        is_rate.then_some(Self::from_millirequests_per_second(thousandths as u64))
    }

    /// A limit in thousandths of a request a second.
    pub const fn from_millirequests_per_second(millirequests_per_second: u64) -> Self {
        Self {
            millirequests_per_second,
        }
    }

    /// The limit in thousandths of a request a second.
    pub const fn millirequests_per_second(self) -> u64 {
        self.millirequests_per_second
    }

    /// The limit in requests a second.
    pub fn requests_per_second(self) -> f64 {
        self.millirequests_per_second as f64 / MILLI
    }
}
