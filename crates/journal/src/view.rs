//! Views: numbered sets of three members. The store determines the order of the views. A member is one incarnation of
//! a node, so a node that has restarted, and lost its records, is no longer a member.

use serde::{Deserialize, Serialize};
use tansyhall_core::{Incarnation, NodeId};
use xxhash_rust::xxh3::Xxh3;

/// Number of members of a view.
pub const VIEW_SIZE: usize = 3;
/// Number of members that form a quorum. Any two quorums of a view share at least one member.
pub const QUORUM: usize = 2;

/// Number of a view. Each view follows the view with the previous number.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ViewNumber(pub u64);

impl ViewNumber {
    /// Returns the number of the following view.
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

/// One incarnation of a node.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Member {
    /// The node's configured name.
    pub node: NodeId,
    /// The incarnation of the node.
    pub incarnation: Incarnation,
}

/// A numbered set of members.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct View {
    /// Number of the view.
    pub number: ViewNumber,
    /// Members of the view.
    pub members: [Member; VIEW_SIZE],
}

/// Distinguishes views with the same number: a store that was restored from a backup assigns numbers again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ViewDigest(pub u64);

impl View {
    /// Returns a digest of the view's number and members.
    pub fn digest(&self) -> ViewDigest {
        let mut digest = Xxh3::new();
        digest.update(&self.number.0.to_le_bytes());
        for member in &self.members {
            digest.update(&member.incarnation.0.to_le_bytes());
            digest.update(member.node.as_ref());
        }
        ViewDigest(digest.digest())
    }

    /// Whether `member`, a node in this incarnation, is a member of the view.
    pub fn has(&self, member: &Member) -> bool {
        self.members.contains(member)
    }
}
