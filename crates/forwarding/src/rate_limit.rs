//! Rate limits that workers name for all gateways together, and the share of each that one gateway may use.
//!
//! A limit is divided without messages. At most as many gateways as requests fit into one second, and
//! [`EXTRA_HOLDERS`] more, hold a share of a worker's limit, each an equal one; rendezvous hashing names them, so that
//! gateways that know the same fleet agree. Each share has a token bucket of at least one request. In a time t, a worker
//! with a limit of R requests a second thus gets at most R t + R + [`EXTRA_HOLDERS`], whatever the size of the fleet.

use std::time::Duration;

use tansyhall_core::hash::rendezvous_weight;

use crate::load_exchange::WorkerKey;

/// Gateways that hold a share of a limit beyond the whole requests a second that it allows, so that low limits do not
/// leave a worker to a single gateway.
const EXTRA_HOLDERS: u64 = 2;
/// The lowest rate at which a worker is tried: one that names no requests at all is asked this often whether that holds.
const LEAST_RATE: RateLimit = RateLimit::from_millirequests_per_second(33);
/// Thousandths of a request in a request, for whole numbers.
const MILLI_WHOLE: u64 = 1_000;
/// Thousandths of a request in a request.
const MILLI: f64 = 1_000.0;
/// The highest limit that is told apart, in requests a second: far beyond what a worker can answer.
const MAX_REQUESTS_PER_SECOND: f64 = 1e9;

/// Requests a second that a worker takes from all gateways together.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
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

/// What a worker has stated of its rate limit, as one gateway tells another.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StatedLimit {
    /// The limit; none if it has ended.
    pub limit: Option<RateLimit>,
    /// How long ago the worker stated it.
    pub age: Duration,
}

/// The gateways that send to workers of their own choice, among which limits are divided.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct LimitSharers {
    own: String,
    others: Vec<String>,
    is_sharing: bool,
}

impl LimitSharers {
    /// The gateway `own` among all that share; it has no share of any limit if it is none of them.
    pub fn new<'a>(own: &str, sharing: impl IntoIterator<Item = &'a str>) -> Self {
        let (own_names, others): (Vec<&str>, Vec<&str>) =
            sharing.into_iter().partition(|name| *name == own);
        Self {
            own: own.to_owned(),
            others: others.into_iter().map(str::to_owned).collect(),
            is_sharing: !own_names.is_empty(),
        }
    }

    /// The share of a worker's limit that this gateway may use.
    pub fn share_of(&self, limit: RateLimit, worker: WorkerKey) -> RateLimit {
        let limit = limit.max(LEAST_RATE);
        let whole_requests = limit.millirequests_per_second / MILLI_WHOLE;
        let sharing = self.others.len() as u64 + u64::from(self.is_sharing);
        let holders = (whole_requests + EXTRA_HOLDERS).min(sharing);
        let is_holder = self.is_sharing && self.before_own(worker) < holders;
        let millirequests_per_second = match is_holder {
            true => limit.millirequests_per_second / holders,
            false => 0,
        };
        RateLimit {
            millirequests_per_second,
        }
    }

    /// How many gateways come before this one for a worker.
    fn before_own(&self, worker: WorkerKey) -> u64 {
        let key = worker.0.to_le_bytes();
        let weight = |name: &str| rendezvous_weight(&key, name.as_bytes());
        let own = weight(&self.own);
        let before = self.others.iter().filter(|name| weight(name) > own);
        before.count() as u64
    }
}
