//! Marks of back ends whose machines are about to be withdrawn. The member that reads the
//! platform's list of machines creates the marks, and they are propagated through the zone like
//! changes of members.

use std::collections::BTreeMap;

use tansyhall_core::hash::rendezvous_weight;
use tansyhall_core::EngineName;

/// States whether a back end is leaving.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BackendMark {
    /// The name of the back end.
    pub name: EngineName,
    /// Whether its machine is about to be withdrawn. A leaving back end receives no new work.
    pub is_leaving: bool,
    /// Of two marks of a back end, the one with the larger version applies. The version is derived
    /// from the wall clock of the member that created the mark.
    pub version: u64,
}

/// A back end on the platform's list of machines.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KnownBackend {
    /// The name of the back end.
    pub name: EngineName,
    /// Whether its machine is about to be withdrawn.
    pub is_leaving: bool,
}

/// The newest mark of each back end that has ever been marked as leaving.
#[derive(Debug, Default)]
pub(crate) struct BackendMarks {
    marks: BTreeMap<EngineName, BackendMark>,
}

impl BackendMarks {
    /// Stores a mark if it is newer than the stored one, and returns whether it was stored. If the
    /// capacity is reached, the oldest mark is evicted.
    pub(crate) fn insert_if_newer(&mut self, mark: &BackendMark, capacity: usize) -> bool {
        let stored = self.marks.get(&mark.name);
        if stored.is_some_and(|stored| stored.version >= mark.version) {
            return false;
        }
        if stored.is_none() && self.marks.len() >= capacity {
            self.evict_oldest();
        }
        self.marks.insert(mark.name.clone(), mark.clone());
        true
    }

    /// Returns a new mark for a back end if its state on the platform's list differs from the
    /// stored mark.
    pub(crate) fn new_mark(&self, backend: &KnownBackend, version: u64) -> Option<BackendMark> {
        let stored = self.marks.get(&backend.name);
        let is_marked = stored.is_some_and(|mark| mark.is_leaving);
        if is_marked == backend.is_leaving {
            return None;
        }
        let after_stored = stored.map_or(0, |mark| mark.version.saturating_add(1));
        Some(BackendMark {
            name: backend.name.clone(),
            is_leaving: backend.is_leaving,
            version: version.max(after_stored),
        })
    }

    pub(crate) fn get(&self, name: &EngineName) -> Option<&BackendMark> {
        self.marks.get(name)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &BackendMark> {
        self.marks.values()
    }

    /// Returns a hash of all marks that does not depend on their order.
    pub(crate) fn hash(&self) -> u64 {
        let marks = self.marks.values();
        let hashes =
            marks.map(|mark| rendezvous_weight(&mark.version.to_be_bytes(), mark.name.as_ref()));
        hashes.fold(0, |all, one| all ^ one)
    }

    fn evict_oldest(&mut self) {
        let oldest = self.marks.values().min_by_key(|mark| mark.version);
        if let Some(name) = oldest.map(|mark| mark.name.clone()) {
            self.marks.remove(&name);
        }
    }
}
