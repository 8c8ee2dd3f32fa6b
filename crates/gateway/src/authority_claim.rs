//! The claim on the authority over the site, as it stands in the store.

use tansyhall_authority::{Epoch, Lease};
use tansyhall_forwarding::{Item, Mirror};
use tansyhall_store::{Compare, Revision};

/// The key of the claim.
pub const KEY: &str = "tansyhall/authority/roles";

/// A key that is written with the first claim and stays: a claim that is as old is the first one.
pub const FIRST_KEY: &str = "tansyhall/authority/first";

/// Bits of a fence that hold a revision; the epoch of the store stands above them.
const REVISION_BITS: u32 = 40;

/// The fence of a claim, which grows from claim to claim: by the revision at which the claim was created, and by the
/// epoch of the store, as a restored store gives revisions out again.
pub fn fence(claim: &Item) -> Epoch {
    Epoch((claim.written.epoch << REVISION_BITS) | claim.created)
}

/// The condition that the claim of this fence stands.
pub fn stands(Epoch(fence): Epoch) -> Compare {
    let revision = fence & ((1 << REVISION_BITS) - 1);
    Compare::ModifiedAt(KEY.into(), Revision(revision))
}

/// The value of the claim's key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AuthorityClaim {
    /// The holder's lease.
    pub lease: Lease,
    /// The holder's name; an older version does not tell it.
    pub holder: Option<String>,
}

impl AuthorityClaim {
    /// The value as it is stored.
    pub fn encode(&self) -> Vec<u8> {
        let Lease(lease) = self.lease;
        let holder = self.holder.as_deref().unwrap_or_default();
        format!("{lease} {holder}").into_bytes()
    }

    /// A stored value, unless it is none of ours.
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

/// The name of the gateway that holds the authority, as the copy of the store says.
pub fn holder(mirror: &Mirror) -> Option<String> {
    AuthorityClaim::decode(&mirror.get(KEY)?.value)?.holder
}
