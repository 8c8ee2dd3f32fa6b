//! How the limits of one group are divided into home shares.

use std::collections::BTreeMap;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::key::{Amount, LimitKey};

/// The part of a home share that is never lent, so that a node can always serve a little at once.
const RETAINED_DIVISOR: Amount = 4;

/// Home shares of the limits of one group, the same at every node with the same limits and the
/// same size of the fleet.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Division {
    home: BTreeMap<LimitKey, Amount>,
    digest: u64,
}

impl Division {
    /// Divides each limit by the nodes of the fleet.
    pub fn new(limits: impl IntoIterator<Item = (LimitKey, Amount)>, nodes: u64) -> Self {
        let nodes = nodes.max(1);
        let part = |(key, limit): (LimitKey, Amount)| (key, limit / nodes);
        let home: BTreeMap<_, _> = limits.into_iter().map(part).collect();
        let digest = home.iter().fold(1, |digest, (key, amount)| {
            let digest = xxh3_64_with_seed(&key.0.to_le_bytes(), digest);
            xxh3_64_with_seed(&amount.to_le_bytes(), digest)
        });
        // Zero stands for "nothing lent" in messages.
        let digest = digest.max(1);
        Self { home, digest }
    }

    /// Tells divisions apart; never zero but for the default one.
    pub const fn digest(&self) -> u64 {
        self.digest
    }

    /// The part of a home share that a node keeps.
    pub fn retained(&self, key: LimitKey) -> Amount {
        self.home.get(&key).copied().unwrap_or(0) / RETAINED_DIVISOR
    }

    /// The part of a home share that a node lends.
    pub fn lendable(&self, key: LimitKey) -> Amount {
        let home = self.home.get(&key).copied().unwrap_or(0);
        home - home / RETAINED_DIVISOR
    }

    /// Whether the group has no limits.
    pub fn is_empty(&self) -> bool {
        self.home.is_empty()
    }
}
