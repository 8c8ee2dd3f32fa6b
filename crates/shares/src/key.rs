//! Keys of limits, groups of limits, and amounts.

use tansyhall_core::{ServiceName, TenantName};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// An amount in thousandths of a unit. A unit is a request per second, a token per second, or a
/// request in progress.
pub type Amount = u64;

/// One unit as an [`Amount`].
pub const UNIT: Amount = 1_000;

/// Number of groups of limits. Each group has one owner, so a node sends requests to at most this many
/// others.
pub const GROUP_COUNT: u64 = 16;

/// What a limit counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum LimitKind {
    /// Requests per second.
    RequestsPerSecond,
    /// Prompt and output tokens per second.
    TokensPerSecond,
    /// Requests in progress at the same time.
    Concurrent,
}

/// Identifies one limit by what it counts, the tenant, and the service if the service's policy sets
/// the limit. The key is a hash, so that messages stay small.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct LimitKey(pub u64);

impl LimitKey {
    /// Returns the key of a tenant's limit. `service` is given if the limit is set by the policy of a
    /// service.
    pub fn new(tenant: &TenantName, service: Option<&ServiceName>, kind: LimitKind) -> Self {
        let service = service.map_or("", ServiceName::as_str);
        let service_hash = xxh3_64_with_seed(service.as_bytes(), kind as u64);
        Self(xxh3_64_with_seed(tenant.as_str().as_bytes(), service_hash))
    }

    /// Returns the group that the limit belongs to.
    pub const fn group(self) -> GroupId {
        GroupId(self.0 % GROUP_COUNT)
    }
}

/// A group of limits with one owner.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct GroupId(pub u64);

impl GroupId {
    /// Returns all groups.
    pub fn all() -> impl Iterator<Item = Self> {
        (0..GROUP_COUNT).map(Self)
    }
}
