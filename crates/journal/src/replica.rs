//! One replica. It votes only in the view that was installed at it, and stops when it is sealed for a later view. It
//! grants a key to only one attempt.
//!
//! Implements `vote`, and the replica's side of `Reconfigure`, of `spec/journal.pml`.

use tansyhall_core::{Duration, Timestamp};

use crate::record::{AttemptId, Record, RecordKey, RecordState, RecordTable, Records};
use crate::view::{Member, View, ViewDigest, ViewNumber};

/// Limits of a replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReplicaLimits {
    /// Maximum number of records. A replica that is full grants no new key.
    pub max_records: usize,
    /// How long a key is kept. A caller that repeats its request later is not protected.
    pub retention: Duration,
}

/// A replica's answer to a request for its vote.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum VoteReply {
    /// The key is granted to this attempt.
    Granted,
    /// The key is granted to another attempt, or was recorded in an earlier view.
    Taken,
    /// The replica does not vote in the view of the request.
    NotVoting,
    /// The replica has no room for another key.
    Full,
}

/// A replica's answer to the seal of the next view.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SealReply {
    /// The replica no longer votes in the active view. Contains the keys that it has recorded.
    Sealed(Records),
    /// The replica is not a voting member of the active view, so its records prove nothing.
    NotMember,
}

/// The replica of one incarnation of a node. A restart creates a new replica without records.
#[derive(Debug, Clone)]
pub struct Replica {
    member: Member,
    limits: ReplicaLimits,
    voting_view: Option<View>,
    sealed_by: Option<ViewNumber>,
    records: RecordTable,
}

impl Replica {
    /// Creates a replica that votes in no view and has no records.
    pub fn new(member: Member, limits: ReplicaLimits) -> Self {
        Self {
            member,
            limits,
            voting_view: None,
            sealed_by: None,
            records: RecordTable::new(),
        }
    }

    /// Returns the node and its incarnation.
    pub fn member(&self) -> &Member {
        &self.member
    }

    /// Returns the number of recorded keys.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether no key is recorded.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Answers a request for a vote in `view`.
    pub fn vote(
        &mut self,
        now: Timestamp,
        view: ViewNumber,
        key: &RecordKey,
        attempt: AttemptId,
    ) -> VoteReply {
        if !self.votes_in(view) {
            return VoteReply::NotVoting;
        }
        self.make_room(now, key);
        match self.records.get(key).map(|record| record.state) {
            Some(RecordState::Granted(holder)) if holder == attempt => VoteReply::Granted,
            Some(_) => VoteReply::Taken,
            None if self.records.len() >= self.limits.max_records => VoteReply::Full,
            None => {
                self.record(now, key.clone(), RecordState::Granted(attempt));
                VoteReply::Granted
            }
        }
    }

    /// Returns the attempt that a key is granted to, or `None` if the key is not recorded or was copied from an earlier
    /// view.
    pub fn holder(&self, key: &RecordKey) -> Option<AttemptId> {
        match self.records.get(key)?.state {
            RecordState::Granted(holder) => Some(holder),
            RecordState::Closed => None,
        }
    }

    /// Removes the record of an attempt that will never run its request.
    pub fn release(&mut self, key: &RecordKey, attempt: AttemptId) {
        let state = self.records.get(key).map(|record| record.state);
        if state == Some(RecordState::Granted(attempt)) {
            self.records.remove(key);
        }
    }

    /// Whether the view with this digest is installed at this replica, sealed or not.
    pub fn has_installed(&self, digest: ViewDigest) -> bool {
        let view = self.voting_view.as_ref();
        view.is_some_and(|view| view.digest() == digest)
    }

    /// Seals the replica for the view `next`, which will follow `active`, and returns its records.
    pub fn seal(&mut self, now: Timestamp, active: ViewNumber, next: ViewNumber) -> SealReply {
        if self.voting_view_number() < Some(active) {
            return SealReply::NotMember;
        }
        self.sealed_by = self.sealed_by.max(Some(next));
        self.remove_expired(now);
        SealReply::Sealed(Records(self.records.keys().cloned().collect()))
    }

    /// Makes the replica a voting member of `view`, with the records of the view before it. Returns whether `view` is
    /// installed now. A repeated call has no effect. Another view with the same number is refused, because quorums of
    /// the two views may have no member in common.
    pub fn install(&mut self, now: Timestamp, view: &View, records: &Records) -> bool {
        if !view.has(&self.member) {
            return false;
        }
        if self.voting_view_number() < Some(view.number) {
            self.voting_view = Some(view.clone());
            self.records.clear();
            for key in &records.0 {
                self.record(now, key.clone(), RecordState::Closed);
            }
        }
        self.voting_view.as_ref() == Some(view)
    }

    fn voting_view_number(&self) -> Option<ViewNumber> {
        self.voting_view.as_ref().map(|view| view.number)
    }

    fn votes_in(&self, view: ViewNumber) -> bool {
        self.voting_view_number() == Some(view) && self.sealed_by <= Some(view)
    }

    fn record(&mut self, now: Timestamp, key: RecordKey, state: RecordState) {
        self.records.insert(key, Record { state, since: now });
    }

    /// Removes the record of `key` if its retention has passed. Removes all such records only if the table is full, so
    /// that other votes do not scan the whole table.
    fn make_room(&mut self, now: Timestamp, key: &RecordKey) {
        let retention = self.limits.retention;
        let record = self.records.get(key);
        if record.is_some_and(|record| now.since(record.since) >= retention) {
            self.records.remove(key);
        } else if self.records.len() >= self.limits.max_records {
            self.remove_expired(now);
        }
    }

    /// Removes every record whose retention has passed.
    pub fn remove_expired(&mut self, now: Timestamp) {
        let retention = self.limits.retention;
        self.records
            .retain(|_, record| now.since(record.since) < retention);
    }
}
