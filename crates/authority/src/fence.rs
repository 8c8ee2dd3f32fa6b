//! Fence tokens. A token is the epoch of a claim, which the store hands out and which only grows,
//! followed by the sequence of the order below that claim. An engine refuses any token below the
//! highest it has seen, so a late duplicate of an overtaken order of the *same* holder is refused
//! just as the order of an earlier holder is.
//!
//! Implements the macro `REGISTER` of `spec/authority.pml`; without the sequence (`NO_SEQUENCE`) a
//! drain that arrives twice takes effect again after the engine has resumed.

use tansyhall_engine::protocol::FenceToken;

/// Bits of a token that hold the sequence.
const SEQUENCE_BITS: u32 = 20;
/// The last sequence below one epoch; a holder that has used it must claim the pool anew.
pub const MAX_SEQUENCE: u64 = (1 << SEQUENCE_BITS) - 1;

/// The highest epoch that an engine is believed to have heard of; a token holds twice as much, so that claims can
/// follow it for ever.
const MAX_HEARD_EPOCH: u64 = 1 << 43;

/// The epoch of a claim on a pool: the store's revision at which the claim was made.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Epoch(pub u64);

impl Epoch {
    /// The token of the order with this sequence; zero is the token that seals an engine before
    /// the first order.
    pub const fn token(self, sequence: u64) -> FenceToken {
        FenceToken((self.0 << SEQUENCE_BITS) | sequence)
    }

    /// The least epoch of a claim whose orders are obeyed by engines that have heard of these tokens. Tokens that
    /// no claim can have had are passed over: one engine's mistake must not use up the epochs of all.
    pub fn after(heard: impl IntoIterator<Item = FenceToken>) -> Self {
        let epochs = heard.into_iter().map(Self::of);
        let believed = epochs.filter(|epoch| epoch.0 <= MAX_HEARD_EPOCH);
        Self(believed.max().map_or(0, |epoch| epoch.0 + 1))
    }

    /// The epoch that a token belongs to.
    pub const fn of(token: FenceToken) -> Self {
        Self(token.0 >> SEQUENCE_BITS)
    }
}
