//! The table of the members of one zone, which includes this node's own record.

use std::collections::BTreeMap;

use tansyhall_core::hash::rendezvous_weight;
use tansyhall_core::{NodeId, Timestamp};

use crate::member::{MemberRecord, MemberState};

/// The record of one member and the deadline of its state.
#[derive(Debug, Clone)]
pub(crate) struct Entry {
    pub(crate) record: MemberRecord,
    /// The time at which a suspect member is declared dead, or a dead member is removed.
    pub(crate) deadline: Option<Timestamp>,
}

/// The result of merging a record into the table.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum MergeOutcome {
    /// The record does not supersede the stored one, or is the record of an unknown member that is
    /// dead.
    Ignored,
    /// The table is full and the member is unknown.
    Full,
    /// The record was stored. Contains the previous state, or `None` for a new member.
    Updated(Option<MemberState>),
}

/// The members by name.
#[derive(Debug, Default)]
pub(crate) struct MemberTable {
    entries: BTreeMap<NodeId, Entry>,
    /// A lower bound of all deadlines, so that most ticks need not scan all entries.
    earliest_deadline: Option<Timestamp>,
}

impl MemberTable {
    /// Stores a record if it supersedes the stored one.
    pub(crate) fn merge(
        &mut self,
        record: &MemberRecord,
        deadline: Option<Timestamp>,
        capacity: usize,
    ) -> MergeOutcome {
        self.record_deadline(deadline);
        let Some(entry) = self.entries.get_mut(&record.name) else {
            if !record.is_reachable() {
                return MergeOutcome::Ignored;
            }
            if self.entries.len() >= capacity {
                return MergeOutcome::Full;
            }
            let record = record.clone();
            self.entries
                .insert(record.name.clone(), Entry { record, deadline });
            return MergeOutcome::Updated(None);
        };
        let revision = entry.record.configuration_revision;
        if !record.supersedes(&entry.record) {
            if record.incarnation == entry.record.incarnation {
                entry.record.configuration_revision = revision.max(record.configuration_revision);
            }
            return MergeOutcome::Ignored;
        }
        let before = entry.record.state;
        entry.record = record.clone();
        entry.deadline = deadline;
        MergeOutcome::Updated(Some(before))
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

    /// Returns the members that are not considered dead.
    pub(crate) fn reachable(&self) -> impl Iterator<Item = &MemberRecord> {
        self.records().filter(|record| record.is_reachable())
    }

    /// Returns the members whose deadline has passed.
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

    fn record_deadline(&mut self, deadline: Option<Timestamp>) {
        let Some(deadline) = deadline else {
            return;
        };
        let earliest = self.earliest_deadline.unwrap_or(deadline);
        self.earliest_deadline = Some(earliest.min(deadline));
    }

    /// Postpones the deadlines of all suspect members by the time that this process did not run.
    pub(crate) fn postpone_suspicions(&mut self, pause: tansyhall_core::Duration) {
        for entry in self.entries.values_mut() {
            if entry.record.state == MemberState::Suspect {
                entry.deadline = entry.deadline.map(|deadline| deadline + pause);
            }
        }
    }

    /// Returns a hash of names, incarnations and states that does not depend on their order. A
    /// suspect member is hashed as alive, since suspicions are often short-lived. Dead members are
    /// left out, since each member removes them at a different time.
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
