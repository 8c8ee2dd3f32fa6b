//! Back ends whose machines are about to be taken away. The member that reads the platform's list
//! of machines marks them, and the marks spread through the zone like changes of members.

use std::collections::BTreeMap;

use tansyhall_core::hash::rendezvous_weight;
use tansyhall_core::EngineName;

/// What is known about the leaving of one back end.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BackendMark {
    /// The back end.
    pub name: EngineName,
    /// Whether it is about to be taken away: no new work for it.
    pub is_leaving: bool,
    /// Of two marks of a back end the one with the larger version holds; it follows the wall clock
    /// of the member that made the mark.
    pub version: u64,
}

/// A back end on the platform's list of machines.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KnownBackend {
    /// Its name.
    pub name: EngineName,
    /// Whether its machine is about to be taken away.
    pub leaving: bool,
}

/// The newest mark of each back end that was ever leaving.
#[derive(Debug, Default)]
pub(crate) struct BackendMarks {
    marks: BTreeMap<EngineName, BackendMark>,
}

impl BackendMarks {
    /// Takes a mark if it is newer than the one held; says whether it was taken. When there is no
    /// room, the oldest mark makes place.
    pub(crate) fn offer(&mut self, mark: &BackendMark, capacity: usize) -> bool {
        let held = self.marks.get(&mark.name);
        if held.is_some_and(|held| held.version >= mark.version) {
            return false;
        }
        if held.is_none() && self.marks.len() >= capacity {
            self.evict_oldest();
        }
        self.marks.insert(mark.name.clone(), mark.clone());
        true
    }

    /// The mark that the list calls for, if it says anything new.
    pub(crate) fn observe(&self, backend: &KnownBackend, version: u64) -> Option<BackendMark> {
        let held = self.marks.get(&backend.name);
        let is_marked = held.is_some_and(|mark| mark.is_leaving);
        if is_marked == backend.leaving {
            return None;
        }
        let after_held = held.map_or(0, |mark| mark.version.saturating_add(1));
        Some(BackendMark {
            name: backend.name.clone(),
            is_leaving: backend.leaving,
            version: version.max(after_held),
        })
    }

    pub(crate) fn get(&self, name: &EngineName) -> Option<&BackendMark> {
        self.marks.get(name)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &BackendMark> {
        self.marks.values()
    }

    /// A hash of all marks that does not depend on their order.
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
