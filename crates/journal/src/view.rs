//! Views: numbered sets of three members. The store decides which view follows which. A member is
//! a node in one incarnation, so that a node which has restarted, and forgotten, is none.

use serde::{Deserialize, Serialize};
use tansyhall_core::{Incarnation, NodeId};
use xxhash_rust::xxh3::Xxh3;

/// Members of a view.
pub const VIEW_SIZE: usize = 3;
/// Members of one view that any two quorums share at least one of.
pub const QUORUM: usize = 2;

/// A view's number; each view follows the one with the number before.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ViewNumber(pub u64);

impl ViewNumber {
    /// The number of the view that follows.
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

/// A node in one incarnation.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Member {
    /// The node.
    pub node: NodeId,
    /// Its run.
    pub incarnation: Incarnation,
}

/// A view.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct View {
    /// Its number.
    pub number: ViewNumber,
    /// Its members.
    pub members: [Member; VIEW_SIZE],
}

/// Tells views of one number apart: a store that was restored gives numbers out again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ViewDigest(pub u64);

impl View {
    /// The digest of its number and members.
    pub fn digest(&self) -> ViewDigest {
        let mut digest = Xxh3::new();
        digest.update(&self.number.0.to_le_bytes());
        for member in &self.members {
            digest.update(&member.incarnation.0.to_le_bytes());
            digest.update(member.node.as_ref());
        }
        ViewDigest(digest.digest())
    }

    /// Whether this incarnation of this node is a member.
    pub fn has(&self, member: &Member) -> bool {
        self.members.contains(member)
    }
}
