//! The role of an engine in a pool.

use serde::{Deserialize, Serialize};

/// The part of a request's processing that an engine accepts.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Default, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum Role {
    /// Prefill and decode, interleaved by chunked prefill.
    #[default]
    Mixed,
    /// Prefill only. The KV cache is transferred to a decode engine.
    Prefill,
    /// Decode only, with a KV cache that was transferred from a prefill engine.
    Decode,
}

impl Role {
    /// All roles.
    pub const ALL: [Role; 3] = [Role::Mixed, Role::Prefill, Role::Decode];

    /// Returns the name of the role in resources and on the wire.
    pub const fn name(self) -> &'static str {
        match self {
            Role::Mixed => "mixed",
            Role::Prefill => "prefill",
            Role::Decode => "decode",
        }
    }

    /// Whether an engine in this role may process a request from its prompt to the end of the answer.
    pub const fn serves_whole_requests(self) -> bool {
        matches!(self, Role::Mixed)
    }
}
