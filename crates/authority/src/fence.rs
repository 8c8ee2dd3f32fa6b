//! Fence tokens. The high bits of a token are the epoch of a claim, which the store assigns and
//! which only increases. The low bits are the sequence number of the order within that claim. An
//! engine refuses every token lower than the highest it has seen. It therefore refuses orders of
//! earlier holders, and also late duplicates of superseded orders of the *same* holder.
//!
//! Implements the macro `REGISTER` of `spec/authority.pml`. Without the sequence number (mutant
//! `NO_SEQUENCE`), a drain order that is delivered again after the engine has resumed takes effect
//! a second time.

use tansyhall_engine::protocol::FenceToken;

/// Number of low bits of a token that hold the sequence number.
const SEQUENCE_BITS: u32 = 20;
/// The last sequence number of an epoch. A holder that has used it must claim the pool again.
pub const MAX_SEQUENCE: u64 = (1 << SEQUENCE_BITS) - 1;

/// The highest epoch that is accepted from an engine as plausible. A token has room for epochs up to
/// twice as high, so claims never run out of epochs above it.
const MAX_PLAUSIBLE_EPOCH: u64 = 1 << 43;

/// The epoch of a claim on a pool: the store revision at which the claim's key was created.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Epoch(pub u64);

impl Epoch {
    /// Returns the token of the order with this sequence number. Sequence number zero gives the token
    /// that seals an engine before the first order.
    pub const fn token(self, sequence: u64) -> FenceToken {
        FenceToken((self.0 << SEQUENCE_BITS) | sequence)
    }

    /// Returns the lowest epoch whose orders are accepted by engines that have seen these tokens.
    /// Ignores tokens that no claim can have had, so that one faulty engine cannot use up the epochs
    /// of the whole pool.
    pub fn after(seen_tokens: impl IntoIterator<Item = FenceToken>) -> Self {
        let epochs = seen_tokens.into_iter().map(Self::of);
        let plausible = epochs.filter(|epoch| epoch.0 <= MAX_PLAUSIBLE_EPOCH);
        Self(plausible.max().map_or(0, |epoch| epoch.0 + 1))
    }

    /// Returns the epoch that a token belongs to.
    pub const fn of(token: FenceToken) -> Self {
        Self(token.0 >> SEQUENCE_BITS)
    }
}
