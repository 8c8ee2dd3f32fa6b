//! Selection of a request's version and adapter by the shares in its class. The same caller key
//! always selects the same ones, so that retries and the requests of a session stay together.

use actix_web::http::header::HeaderMap;
use tansyhall_core::hash::rendezvous_weight;
use tansyhall_core::{AdapterName, RequestId, VersionName};
use tansyhall_policy::class::Share;
use tansyhall_policy::Class;

/// Header that keeps a caller's requests on one version and adapter.
pub const AFFINITY_HEADER: &str = "tansyhall-affinity";

/// What is selected. Each kind is selected independently of the other, so that versions and
/// adapters are combined evenly.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum VariantKind {
    /// A version.
    Version,
    /// An adapter.
    Adapter,
}

impl VariantKind {
    const fn name(self) -> &'static str {
        match self {
            VariantKind::Version => "version",
            VariantKind::Adapter => "adapter",
        }
    }
}

/// Version and adapter that a class selects for a request.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Variant {
    /// Preferred version; any if absent.
    pub version: Option<VersionName>,
    /// Adapter to apply; the caller's choice if absent.
    pub adapter: Option<AdapterName>,
}

impl Variant {
    /// Selects by the caller's affinity header or, if it is absent, by the request's identifier.
    pub fn pick(class: &Class, headers: &HeaderMap, id: RequestId) -> Self {
        let affinity = headers.get(AFFINITY_HEADER);
        let id_bytes = id.0.to_le_bytes();
        let key = affinity.map_or(id_bytes.as_slice(), |value| value.as_bytes());
        let version = share_of(&class.versions, VariantKind::Version, key);
        let adapter = share_of(&class.adapters, VariantKind::Adapter, key);
        Self {
            version: version.map(|share| VersionName::new(share.name.clone())),
            adapter: adapter.map(|share| AdapterName::new(share.name.clone())),
        }
    }
}

/// Returns the share that a key falls into.
pub fn share_of<'a>(shares: &'a [Share], kind: VariantKind, key: &[u8]) -> Option<&'a Share> {
    Share::pick(shares, rendezvous_weight(key, kind.name().as_bytes()))
}
