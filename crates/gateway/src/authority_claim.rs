//! The claim on the authority over the site, as it stands in the store.

use tansyhall_authority::Lease;
use tansyhall_forwarding::Mirror;

/// The key of the claim.
pub const KEY: &str = "tansyhall/authority/roles";

/// A key that is written with the first claim and stays: a claim that is as old is the first one.
pub const FIRST_KEY: &str = "tansyhall/authority/first";

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
