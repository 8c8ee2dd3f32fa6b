//! Fingerprints by which attempts of a caller, and the sends that follow from them, are recognized as the same request.

use std::fmt;

use tansyhall_core::TenantName;
use xxhash_rust::xxh3::Xxh3Default;

use crate::selection::PromptPart;

/// Separator between fields that are hashed one after another. No method, host, path or name contains it.
const SEPARATOR: &[u8] = &[0];

/// Content of a caller's request, without the parts that differ between attempts: the request id, the deadline,
/// the connection and the gateway.
#[derive(Debug, Clone, Copy)]
pub struct RequestContent<'a> {
    /// The method.
    pub method: &'a str,
    /// The requested host.
    pub host: &'a str,
    /// Path and query.
    pub target: &'a str,
    /// The tenant that the caller belongs to.
    pub tenant: Option<&'a TenantName>,
    /// The body.
    pub body: &'a [u8],
    /// The prompt as given in headers. It distinguishes requests without a body.
    pub prompt: &'a [PromptPart],
}

/// Identifies a request across attempts, gateways and restarts. A 64-bit hash: among a million requests, two have
/// the same hash by chance with a probability of 1 in 37 million.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Fingerprint(pub u64);

impl Fingerprint {
    /// Returns the fingerprint of a request.
    pub fn of(content: &RequestContent<'_>) -> Self {
        let mut hasher = Xxh3Default::new();
        let tenant = content.tenant.map_or("", |tenant| tenant.as_str());
        for field in [content.method, content.host, content.target, tenant] {
            hasher.update(field.as_bytes());
            hasher.update(SEPARATOR);
        }
        hasher.update(content.body);
        if content.body.is_empty() {
            for part in content.prompt {
                hasher.update(part.id.as_bytes());
                hasher.update(SEPARATOR);
            }
        }
        Self(hasher.digest())
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}
