//! Positions in the history of the store.

/// A position in the history of the store. When the store is restored from a backup, it assigns revisions again that it
/// had already assigned, so that revisions order changes only within one epoch.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Position {
    // The derived order of positions depends on the order of these fields.
    /// Increases each time the store is restored; 0 if the store reports no epoch.
    pub epoch: u64,
    /// Increases with each change within an epoch; 0 is before the first change.
    pub revision: u64,
}

impl Position {
    /// Returns the position at a revision of an epoch.
    pub const fn new(epoch: u64, revision: u64) -> Self {
        Self { epoch, revision }
    }

    /// Returns whether this is the position before the first read of the store.
    pub const fn is_start(self) -> bool {
        self.revision == 0
    }
}
