//! What is divided: keys of limits, their groups, and amounts.

use tansyhall_core::{ServiceName, TenantName};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Thousandths of a unit; a unit is a request per second, a token per second, or a request in
/// progress.
pub type Amount = u64;

/// Thousandths in a unit.
pub const UNIT: Amount = 1_000;

/// Groups of limits; each has one owner, so that a node talks to at most this many others.
pub const GROUPS: u64 = 16;

/// What a limit counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum LimitKind {
    /// Requests in a second.
    RequestsPerSecond,
    /// Prompt and output tokens in a second.
    TokensPerSecond,
    /// Requests in progress at once.
    Concurrent,
}

/// Names one limit: what it counts, for which tenant, at which service if the service's policy
/// sets it. A hash, so that messages stay small.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct LimitKey(pub u64);

impl LimitKey {
    /// The key of a tenant's limit; `service` is given if the limit is that of a service's policy.
    pub fn new(tenant: &TenantName, service: Option<&ServiceName>, kind: LimitKind) -> Self {
        let service = service.map_or("", ServiceName::as_str);
        let of_service = xxh3_64_with_seed(service.as_bytes(), kind as u64);
        Self(xxh3_64_with_seed(tenant.as_str().as_bytes(), of_service))
    }

    /// The group that it belongs to.
    pub const fn group(self) -> GroupId {
        GroupId(self.0 % GROUPS)
    }
}

/// A group of limits with one owner.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct GroupId(pub u64);

impl GroupId {
    /// Every group.
    pub fn all() -> impl Iterator<Item = Self> {
        (0..GROUPS).map(Self)
    }
}
