//! One try of a request that is not repeatable, by one node: collects the votes of one view and
//! decides whether the request may run, and what its caller may be told.
//!
//! Implements `Try` of `spec/journal.pml`.

use std::collections::BTreeSet;

use crate::record::{AttemptId, RecordKey};
use crate::replica::VoteReply;
use crate::view::{Member, View, ViewNumber, QUORUM, VIEW_SIZE};

/// Who made the key up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeyOrigin {
    /// The caller: another try of the request may be under way through another node.
    Caller,
    /// This node, for this try: no other try of it can exist.
    Node,
}

/// What a try comes to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// The request may run; it must not be tried at a second back end.
    Run,
    /// Another try of the request has run, runs or may run.
    Duplicate,
    /// The request was not run by this try, and no other can have run it.
    NotRun,
    /// This try does not run the request; another may have.
    MayHaveRun,
}

/// A try that collects votes.
#[derive(Debug, Clone)]
pub struct Attempt {
    key: RecordKey,
    id: AttemptId,
    origin: KeyOrigin,
    view: View,
    granted: BTreeSet<Member>,
    answered: BTreeSet<Member>,
    taken: bool,
    decision: Option<Decision>,
}

impl Attempt {
    /// A try in a view. Ask each of [`Attempt::members`] for its vote.
    pub fn new(key: RecordKey, id: AttemptId, origin: KeyOrigin, view: View) -> Self {
        Self {
            key,
            id,
            origin,
            view,
            granted: BTreeSet::new(),
            answered: BTreeSet::new(),
            taken: false,
            decision: None,
        }
    }

    /// The key.
    pub fn key(&self) -> &RecordKey {
        &self.key
    }

    /// The try.
    pub fn id(&self) -> AttemptId {
        self.id
    }

    /// The view in which votes count.
    pub fn view(&self) -> ViewNumber {
        self.view.number
    }

    /// The replicas to ask.
    pub fn members(&self) -> &[Member; VIEW_SIZE] {
        &self.view.members
    }

    /// Starts over in a later view; votes of the earlier one no longer count.
    pub fn view_changed(&mut self, view: View) {
        if self.decision.is_some() || view.number <= self.view.number {
            return;
        }
        self.view = view;
        self.granted.clear();
        self.answered.clear();
    }

    /// Takes a replica's answer, given in `view`; decides as soon as it can.
    pub fn reply(
        &mut self,
        member: &Member,
        view: ViewNumber,
        reply: VoteReply,
    ) -> Option<Decision> {
        if self.decision.is_some() || view != self.view.number || !self.view.has(member) {
            return self.decision;
        }
        self.answered.insert(member.clone());
        match reply {
            VoteReply::Granted => drop(self.granted.insert(member.clone())),
            VoteReply::Taken => self.taken = true,
            VoteReply::NotVoting | VoteReply::Full => {}
        }
        if self.granted.len() >= QUORUM {
            self.decision = Some(Decision::Run);
        } else if self.answered.len() == VIEW_SIZE {
            self.decision = Some(self.without_quorum());
        }
        self.decision
    }

    /// Whether the replicas that have not answered could still complete a quorum of grants.
    pub fn is_open(&self) -> bool {
        let refused = self.answered.len() - self.granted.len();
        self.decision.is_none() && VIEW_SIZE - refused >= QUORUM
    }

    /// No more answers are waited for.
    pub fn give_up(&mut self) -> Decision {
        let decision = self.decision.unwrap_or_else(|| self.without_quorum());
        self.decision = Some(decision);
        decision
    }

    /// Whether the records are to be released: only if the request never runs by this try.
    pub fn releases(&self) -> bool {
        !matches!(self.decision, None | Some(Decision::Run))
    }

    /// The request may run, but no back end took it, and it will never run by this try. Two
    /// replicas show that no other try had permission.
    pub fn not_taken(&mut self) -> Decision {
        if self.decision == Some(Decision::Run) {
            self.decision = Some(Decision::NotRun);
        }
        self.give_up()
    }

    fn without_quorum(&self) -> Decision {
        match self.origin {
            KeyOrigin::Node => Decision::NotRun,
            KeyOrigin::Caller if self.taken => Decision::Duplicate,
            KeyOrigin::Caller => Decision::MayHaveRun,
        }
    }
}
