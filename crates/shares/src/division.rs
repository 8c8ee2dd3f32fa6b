//! Division of the limits of one group into base shares.

use std::collections::BTreeMap;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::key::{Amount, LimitKey};

/// A node never lends one part in this of its base share, so that it can always admit some requests
/// without waiting for a grant.
const RETAINED_DIVISOR: Amount = 4;

/// The base shares of the limits of one group. They are the same on all nodes that have the same
/// limits and fleet size.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Division {
    base_shares: BTreeMap<LimitKey, Amount>,
    digest: u64,
}

impl Division {
    /// Divides each limit by the number of nodes in the fleet.
    pub fn new(limits: impl IntoIterator<Item = (LimitKey, Amount)>, nodes: u64) -> Self {
        let nodes = nodes.max(1);
        let base_share = |(key, limit): (LimitKey, Amount)| (key, limit / nodes);
        let base_shares: BTreeMap<_, _> = limits.into_iter().map(base_share).collect();
        let digest = base_shares.iter().fold(1, |digest, (key, amount)| {
            let digest = xxh3_64_with_seed(&key.0.to_le_bytes(), digest);
            xxh3_64_with_seed(&amount.to_le_bytes(), digest)
        });
        // In messages, zero means that nothing is lent.
        let digest = digest.max(1);
        Self {
            base_shares,
            digest,
        }
    }

    /// Returns a hash that identifies the division. It is zero only for the default division.
    pub const fn digest(&self) -> u64 {
        self.digest
    }

    /// Returns the part of the base share that the node never lends.
    pub fn retained(&self, key: LimitKey) -> Amount {
        self.base_shares.get(&key).copied().unwrap_or(0) / RETAINED_DIVISOR
    }

    /// Returns the part of the base share that the node may lend.
    pub fn lendable(&self, key: LimitKey) -> Amount {
        let base_share = self.base_shares.get(&key).copied().unwrap_or(0);
        base_share - base_share / RETAINED_DIVISOR
    }

    /// Returns whether the group has no limits.
    pub fn is_empty(&self) -> bool {
        self.base_shares.is_empty()
    }
}
