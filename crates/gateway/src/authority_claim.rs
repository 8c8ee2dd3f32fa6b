//! The claim on the authority over the site, as stored in the store.

use tansyhall_authority::{Epoch, Lease};
use tansyhall_forwarding::{Item, Mirror};
use tansyhall_store::{Compare, Revision};

/// Key of the claim.
pub const KEY: &str = "tansyhall/authority/roles";

/// Key that is written together with the first claim and never deleted. A claim with the same fence is the first one.
pub const FIRST_KEY: &str = "tansyhall/authority/first";

/// Number of low-order bits of a fence that hold a revision. The higher bits hold the epoch of the store.
const REVISION_BITS: u32 = 40;

/// Returns the fence of a claim. It increases from claim to claim: with the revision at which the claim was created and
/// with the epoch of the store, because a restored store reuses revisions.
pub fn fence(claim: &Item) -> Epoch {
    Epoch((claim.written.epoch << REVISION_BITS) | claim.created)
}

/// Returns the condition that the claim with this fence is still in the store.
pub fn held_condition(Epoch(fence): Epoch) -> Compare {
    let revision = fence & ((1 << REVISION_BITS) - 1);
    Compare::ModifiedAt(KEY.into(), Revision(revision))
}

/// Value of the claim's key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AuthorityClaim {
    /// The holder's lease.
    pub lease: Lease,
    /// The holder's name; `None` if an older version wrote the claim.
    pub holder: Option<String>,
}

impl AuthorityClaim {
    /// Encodes the value for the store.
    pub fn encode(&self) -> Vec<u8> {
        let Lease(lease) = self.lease;
        let holder = self.holder.as_deref().unwrap_or_default();
        format!("{lease} {holder}").into_bytes()
    }

    /// Decodes a stored value. Returns `None` if it is malformed.
    pub fn decode(value: &[u8]) -> Option<Self> {
        let mut words = std::str::from_utf8(value).ok()?.split(' ');
        let lease = words.next()?.parse().ok()?;
        let holder = words.next().filter(|name| !name.is_empty());
        Some(Self {
            lease: Lease(lease),
            holder: holder.map(str::to_owned),
        })
    }
}

/// Returns the name of the gateway that holds the authority according to the mirror.
pub fn holder(mirror: &Mirror) -> Option<String> {
    AuthorityClaim::decode(&mirror.get(KEY)?.value)?.holder
}
