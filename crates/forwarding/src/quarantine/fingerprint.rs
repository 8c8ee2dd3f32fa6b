//! What makes tries of a caller, and the sends that follow from them, one and the same request.

use std::fmt;

use tansyhall_core::TenantName;
use xxhash_rust::xxh3::Xxh3Default;

use crate::selection::PromptPart;

/// Separates fields that are hashed one after another; no method, host, path or name holds it.
const SEPARATOR: &[u8] = &[0];

/// What a caller asks for, without what differs between its tries: the request's id, its deadline, the
/// connection and the gateway.
#[derive(Debug, Clone, Copy)]
pub struct RequestContent<'a> {
    /// The method.
    pub method: &'a str,
    /// The host it is for.
    pub host: &'a str,
    /// Path and query.
    pub target: &'a str,
    /// The tenant that its caller belongs to.
    pub tenant: Option<&'a TenantName>,
    /// The body.
    pub body: &'a [u8],
    /// The prompt as headers name it. It tells requests without a body apart.
    pub prompt: &'a [PromptPart],
}

/// Names a request across tries, gateways and restarts. A hash of 64 bits: among a million requests, two are
/// alike by chance with a probability of 1 in 37 million.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Fingerprint(pub u64);

impl Fingerprint {
    /// The fingerprint of a request.
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
