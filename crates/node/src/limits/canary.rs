//! The version and the adapter that a request falls to, by the shares that its class states. The
//! same caller key always falls to the same one, so that retries and a session stay together.

use actix_web::http::header::HeaderMap;
use tansyhall_core::hash::rendezvous_weight;
use tansyhall_core::{AdapterName, RequestId, VersionName};
use tansyhall_policy::class::Share;
use tansyhall_policy::Class;

/// Header that keeps a caller's requests with one version and adapter.
pub const AFFINITY_HEADER: &str = "tansyhall-affinity";

/// What is drawn; each has draws of its own, so that versions and adapters mix evenly.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Draw {
    /// A version.
    Version,
    /// An adapter.
    Adapter,
}

impl Draw {
    const fn name(self) -> &'static str {
        match self {
            Draw::Version => "version",
            Draw::Adapter => "adapter",
        }
    }
}

/// The version and adapter that a class picks for a request.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Variant {
    /// The version to prefer; any if absent.
    pub version: Option<VersionName>,
    /// The adapter to apply; the caller's choice if absent.
    pub adapter: Option<AdapterName>,
}

impl Variant {
    /// Picks by the caller's affinity header, or else by the request's identifier.
    pub fn pick(class: &Class, headers: &HeaderMap, id: RequestId) -> Self {
        let affinity = headers.get(AFFINITY_HEADER);
        let own = id.0.to_le_bytes();
        let key = affinity.map_or(own.as_slice(), |value| value.as_bytes());
        let version = share_of(&class.versions, Draw::Version, key);
        let adapter = share_of(&class.adapters, Draw::Adapter, key);
        Self {
            version: version.map(|share| VersionName::new(share.name.clone())),
            adapter: adapter.map(|share| AdapterName::new(share.name.clone())),
        }
    }
}

/// The share that a key falls into.
pub fn share_of<'a>(shares: &'a [Share], draw: Draw, key: &[u8]) -> Option<&'a Share> {
    Share::pick(shares, rendezvous_weight(key, draw.name().as_bytes()))
}
