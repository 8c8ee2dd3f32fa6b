//! The role an engine plays in a pool.

use serde::{Deserialize, Serialize};

/// Which part of a request's work an engine accepts.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Default, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum Role {
    /// Prefill and decode, interleaved by chunked prefill.
    #[default]
    Mixed,
    /// Prefill only; the KV cache is handed to a decode engine.
    Prefill,
    /// Decode only, from a KV cache handed over by a prefill engine.
    Decode,
}

impl Role {
    /// Every role.
    pub const ALL: [Role; 3] = [Role::Mixed, Role::Prefill, Role::Decode];

    /// The role's name in resources and on the wire.
    pub const fn name(self) -> &'static str {
        match self {
            Role::Mixed => "mixed",
            Role::Prefill => "prefill",
            Role::Decode => "decode",
        }
    }

    /// Whether an engine in this role may start a request from its prompt and finish it.
    pub const fn serves_whole_requests(self) -> bool {
        matches!(self, Role::Mixed)
    }
}
