//! The members of one zone, this node's own record included.

use std::collections::BTreeMap;

use tansyhall_core::hash::rendezvous_weight;
use tansyhall_core::{NodeId, Timestamp};

use crate::member::{MemberRecord, MemberState};

/// One member with the times that its state ends at.
#[derive(Debug, Clone)]
pub(crate) struct Entry {
    pub(crate) record: MemberRecord,
    /// When a suspect counts as dead, or a dead member is forgotten.
    pub(crate) deadline: Option<Timestamp>,
}

/// What became of a record that was offered.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Outcome {
    /// It says nothing new.
    Ignored,
    /// There is no room for another member.
    Full,
    /// It was taken; the state before, if the member was known.
    Taken(Option<MemberState>),
}

/// Members by name.
#[derive(Debug, Default)]
pub(crate) struct MemberTable {
    entries: BTreeMap<NodeId, Entry>,
    /// No deadline is earlier than this, so that most ticks need not look at every entry.
    earliest_deadline: Option<Timestamp>,
}

impl MemberTable {
    /// Takes a record if it supersedes the one held.
    pub(crate) fn offer(
        &mut self,
        record: &MemberRecord,
        deadline: Option<Timestamp>,
        capacity: usize,
    ) -> Outcome {
        self.note_deadline(deadline);
        let Some(entry) = self.entries.get_mut(&record.name) else {
            if !record.is_reachable() {
                return Outcome::Ignored;
            }
            if self.entries.len() >= capacity {
                return Outcome::Full;
            }
            let record = record.clone();
            self.entries
                .insert(record.name.clone(), Entry { record, deadline });
            return Outcome::Taken(None);
        };
        let revision = entry.record.configuration_revision;
        if !record.supersedes(&entry.record) {
            if record.incarnation == entry.record.incarnation {
                entry.record.configuration_revision = revision.max(record.configuration_revision);
            }
            return Outcome::Ignored;
        }
        let before = entry.record.state;
        entry.record = record.clone();
        entry.deadline = deadline;
        Outcome::Taken(Some(before))
    }

    pub(crate) fn get(&self, name: &NodeId) -> Option<&MemberRecord> {
        self.entries.get(name).map(|entry| &entry.record)
    }

    pub(crate) fn get_mut(&mut self, name: &NodeId) -> Option<&mut MemberRecord> {
        self.entries.get_mut(name).map(|entry| &mut entry.record)
    }

    pub(crate) fn remove(&mut self, name: &NodeId) {
        self.entries.remove(name);
    }

    pub(crate) fn records(&self) -> impl Iterator<Item = &MemberRecord> {
        self.entries.values().map(|entry| &entry.record)
    }

    /// Members that answer as far as is known.
    pub(crate) fn reachable(&self) -> impl Iterator<Item = &MemberRecord> {
        self.records().filter(|record| record.is_reachable())
    }

    /// Members whose deadline has passed.
    pub(crate) fn due(&mut self, now: Timestamp) -> Vec<MemberRecord> {
        if self.earliest_deadline.is_none_or(|earliest| now < earliest) {
            return Vec::new();
        }
        let entries = self.entries.values();
        let is_due = |entry: &&Entry| entry.deadline.is_some_and(|deadline| deadline <= now);
        let due = entries.clone().filter(is_due);
        let due = due.map(|entry| entry.record.clone()).collect();
        let later = entries.filter_map(|entry| entry.deadline);
        self.earliest_deadline = later.filter(|deadline| *deadline > now).min();
        due
    }

    fn note_deadline(&mut self, deadline: Option<Timestamp>) {
        let Some(deadline) = deadline else {
            return;
        };
        let earliest = self.earliest_deadline.unwrap_or(deadline);
        self.earliest_deadline = Some(earliest.min(deadline));
    }

    /// Moves every deadline of a suspect by the time that this process did not run.
    pub(crate) fn postpone_suspicions(&mut self, pause: tansyhall_core::Duration) {
        for entry in self.entries.values_mut() {
            if entry.record.state == MemberState::Suspect {
                entry.deadline = entry.deadline.map(|deadline| deadline + pause);
            }
        }
    }

    /// A hash of names, incarnations and states that does not depend on the order. A suspect
    /// counts as alive, since suspicions come and go; the dead do not count, since each member
    /// forgets them at its own time.
    pub(crate) fn hash(&self) -> u64 {
        let hash = |record: &MemberRecord| {
            let state = match record.state {
                MemberState::Suspect => MemberState::Alive,
                state => state,
            };
            let mut key = record.incarnation.0.to_be_bytes().to_vec();
            key.push(state as u8);
            rendezvous_weight(&key, record.name.as_ref())
        };
        self.reachable().map(hash).fold(0, |all, one| all ^ one)
    }
}
