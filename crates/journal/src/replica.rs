//! One replica. It votes only in the view that it was installed in, and not once a later view has
//! sealed it; it grants a key to one try only.
//!
//! Implements `vote`, and the replica's side of `Reconfigure`, of `spec/journal.pml`.

use tansyhall_core::{Duration, Timestamp};

use crate::record::{AttemptId, Record, RecordKey, RecordState, RecordTable, Records};
use crate::view::{Member, View, ViewDigest, ViewNumber};

/// Bounds of a replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReplicaLimits {
    /// Most records; a replica that is full grants no new key.
    pub max_records: usize,
    /// How long a key is remembered. A caller that tries again later is not protected.
    pub retention: Duration,
}

/// A replica's answer to a request for its vote.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum VoteReply {
    /// The key is this try's.
    Granted,
    /// The key is another try's, or was recorded in an earlier view.
    Taken,
    /// The replica does not vote in that view.
    NotVoting,
    /// The replica has no room for another key.
    Full,
}

/// A replica's answer to the seal of the next view.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SealReply {
    /// It votes no more in the view before, and this is what it has recorded.
    Sealed(Records),
    /// It is not a voting member of the view before: what it has recorded proves nothing.
    NotMember,
}

/// The replica in one incarnation of a node; a restart makes a new one, which knows nothing.
#[derive(Debug, Clone)]
pub struct Replica {
    member: Member,
    limits: ReplicaLimits,
    voting: Option<View>,
    sealed_by: Option<ViewNumber>,
    records: RecordTable,
}

impl Replica {
    /// A replica that has just started.
    pub fn new(member: Member, limits: ReplicaLimits) -> Self {
        Self {
            member,
            limits,
            voting: None,
            sealed_by: None,
            records: RecordTable::new(),
        }
    }

    /// The node and its incarnation.
    pub fn member(&self) -> &Member {
        &self.member
    }

    /// Keys remembered.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether no key is remembered.
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

    /// The try that holds a key, unless the key is free or was taken over from an earlier view.
    pub fn holder(&self, key: &RecordKey) -> Option<AttemptId> {
        match self.records.get(key)?.state {
            RecordState::Granted(holder) => Some(holder),
            RecordState::Closed => None,
        }
    }

    /// Takes back the record of a try that will never run.
    pub fn release(&mut self, key: &RecordKey, attempt: AttemptId) {
        let state = self.records.get(key).map(|record| record.state);
        if state == Some(RecordState::Granted(attempt)) {
            self.records.remove(key);
        }
    }

    /// Whether it votes in the view with this digest, be it sealed or not.
    pub fn is_of(&self, digest: ViewDigest) -> bool {
        let voting = self.voting.as_ref();
        voting.is_some_and(|voting| voting.digest() == digest)
    }

    /// Seals the replica for the view `next`, which is to follow `active`.
    pub fn seal(&mut self, now: Timestamp, active: ViewNumber, next: ViewNumber) -> SealReply {
        if self.voting_number() < Some(active) {
            return SealReply::NotMember;
        }
        self.sealed_by = self.sealed_by.max(Some(next));
        self.forget_old(now);
        SealReply::Sealed(Records(self.records.keys().cloned().collect()))
    }

    /// Makes the replica a voting member of a view, with the records of the one before; returns
    /// whether it votes in it now. Repeating it changes nothing. Another view of the same number is refused:
    /// quorums of the two need not share a member.
    pub fn install(&mut self, now: Timestamp, view: &View, records: &Records) -> bool {
        if !view.has(&self.member) {
            return false;
        }
        if self.voting_number() < Some(view.number) {
            self.voting = Some(view.clone());
            self.records.clear();
            for key in &records.0 {
                self.record(now, key.clone(), RecordState::Closed);
            }
        }
        self.voting.as_ref() == Some(view)
    }

    fn voting_number(&self) -> Option<ViewNumber> {
        self.voting.as_ref().map(|voting| voting.number)
    }

    fn votes_in(&self, view: ViewNumber) -> bool {
        self.voting_number() == Some(view) && self.sealed_by <= Some(view)
    }

    fn record(&mut self, now: Timestamp, key: RecordKey, state: RecordState) {
        self.records.insert(key, Record { state, since: now });
    }

    /// Forgets the key if its time has passed, and every such key if the table is full: a vote costs
    /// no walk over the table otherwise.
    fn make_room(&mut self, now: Timestamp, key: &RecordKey) {
        let retention = self.limits.retention;
        let record = self.records.get(key);
        if record.is_some_and(|record| now.since(record.since) >= retention) {
            self.records.remove(key);
        } else if self.records.len() >= self.limits.max_records {
            self.forget_old(now);
        }
    }

    /// Forgets every key whose time has passed.
    pub fn forget_old(&mut self, now: Timestamp) {
        let retention = self.limits.retention;
        self.records
            .retain(|_, record| now.since(record.since) < retention);
    }
}
