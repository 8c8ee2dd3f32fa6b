//! Points in the history of the store.

/// A point in the history of the store. Revisions are given out again when the store is restored from an earlier copy,
/// so that they order what happened within one epoch only.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Position {
    // The order of the fields is the order of positions.
    /// Rises each time that the store is restored; 0 in a store that names no epoch.
    pub epoch: u64,
    /// Grows with each change in an epoch; 0 is before the first one.
    pub revision: u64,
}

impl Position {
    /// The point at that revision of an epoch.
    pub const fn new(epoch: u64, revision: u64) -> Self {
        Self { epoch, revision }
    }

    /// Whether nothing of the store is known yet.
    pub const fn is_start(self) -> bool {
        self.revision == 0
    }
}
