//! Rate limits that workers set for all gateways together, and the share of each limit that one gateway may use.
//!
//! Gateways divide a limit without exchanging messages. For a limit of R requests per second, at most ⌊R⌋ +
//! [`EXTRA_HOLDERS`] gateways hold a share of it. All shares are equal. Rendezvous hashing selects the holders, so
//! that gateways that know the same fleet agree on them. Each share has a token bucket with a capacity of at least one
//! request. In a time t, the worker therefore receives at most R t + R + [`EXTRA_HOLDERS`] requests, whatever the size
//! of the fleet.

use std::collections::BTreeSet;
use std::time::Duration;

use tansyhall_core::hash::rendezvous_weight;

use crate::demand_shares::MemberKey;
use crate::load_exchange::WorkerKey;

/// Gateways that hold a share of a limit in addition to one for each whole request per second that it allows, so that a
/// worker with a low limit is not used by a single gateway only.
const EXTRA_HOLDERS: u64 = 2;
/// The lowest limit that is applied. A worker that sets a limit of zero is still sent requests at this rate, to find
/// out whether the limit still applies.
pub(crate) const MIN_RATE: RateLimit = RateLimit::from_millirequests_per_second(33);
/// Millirequests per request, for integer arithmetic.
const MILLIREQUESTS_PER_REQUEST: u64 = 1_000;
/// Millirequests per request, for floating-point arithmetic.
const MILLIREQUESTS_PER_REQUEST_F64: f64 = 1_000.0;
/// The highest limit that can be represented, in requests per second. Far more than a worker can answer.
const MAX_REQUESTS_PER_SECOND: f64 = 1e9;

/// The requests per second that a worker accepts from all gateways together.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct RateLimit {
    millirequests_per_second: u64,
}

impl RateLimit {
    /// Creates a limit from requests per second, truncated to thousandths. Returns `None` if `requests` is negative or
    /// not finite.
    pub fn from_requests_per_second(requests: f64) -> Option<Self> {
        let is_valid = requests.is_finite() && requests >= 0.0;
        let millirequests = requests.min(MAX_REQUESTS_PER_SECOND) * MILLIREQUESTS_PER_REQUEST_F64;
        is_valid.then_some(Self::from_millirequests_per_second(millirequests as u64))
    }

    /// Creates a limit from thousandths of a request per second.
    pub const fn from_millirequests_per_second(millirequests_per_second: u64) -> Self {
        Self {
            millirequests_per_second,
        }
    }

    /// Returns the limit in thousandths of a request per second.
    pub const fn millirequests_per_second(self) -> u64 {
        self.millirequests_per_second
    }

    /// Returns the limit in requests per second.
    pub fn requests_per_second(self) -> f64 {
        self.millirequests_per_second as f64 / MILLIREQUESTS_PER_REQUEST_F64
    }
}

/// The rate limit that a worker last stated, as reported from one gateway to another.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StatedLimit {
    /// The limit; `None` if the worker has stopped stating one.
    pub limit: Option<RateLimit>,
    /// Time since the worker stated it.
    pub age: Duration,
}

/// The gateways that select workers themselves and divide rate limits among each other.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct LimitSharers {
    own_name: String,
    others: Vec<String>,
    has_own_share: bool,
}

impl LimitSharers {
    /// Creates the set of sharing gateways as seen by the gateway `own`. If `own` is not in `sharing`, it has no share
    /// of any limit.
    pub fn new<'a>(own: &str, sharing: impl IntoIterator<Item = &'a str>) -> Self {
        let (own_names, others): (Vec<&str>, Vec<&str>) =
            sharing.into_iter().partition(|name| *name == own);
        Self {
            own_name: own.to_owned(),
            others: others.into_iter().map(str::to_owned).collect(),
            has_own_share: !own_names.is_empty(),
        }
    }

    /// Returns the key of this gateway, and those of all gateways that have a share.
    pub fn member_keys(&self) -> (MemberKey, BTreeSet<MemberKey>) {
        let own = MemberKey::of(&self.own_name);
        let others = self.others.iter().map(|name| MemberKey::of(name));
        let members = others.chain(self.has_own_share.then_some(own));
        (own, members.collect())
    }

    /// Returns the share of a worker's limit that this gateway may use.
    pub fn share_of(&self, limit: RateLimit, worker: WorkerKey) -> RateLimit {
        let limit = limit.max(MIN_RATE);
        let whole_requests = limit.millirequests_per_second / MILLIREQUESTS_PER_REQUEST;
        let sharers = self.others.len() as u64 + u64::from(self.has_own_share);
        let holders = (whole_requests + EXTRA_HOLDERS).min(sharers);
        let is_holder = self.has_own_share && self.own_rank(worker) < holders;
        let millirequests_per_second = match is_holder {
            true => limit.millirequests_per_second / holders,
            false => 0,
        };
        RateLimit {
            millirequests_per_second,
        }
    }

    /// Returns how many gateways precede this one in the rendezvous order for a worker.
    fn own_rank(&self, worker: WorkerKey) -> u64 {
        let key = worker.0.to_le_bytes();
        let weight = |name: &str| rendezvous_weight(&key, name.as_bytes());
        let own_weight = weight(&self.own_name);
        let preceding = self.others.iter().filter(|name| weight(name) > own_weight);
        preceding.count() as u64
    }
}
