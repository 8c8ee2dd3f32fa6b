//! One attempt at a request that is not repeatable, by one node. It collects the votes of one view and decides
//! whether the request may run, and which result may be reported to its caller.
//!
//! Implements `Try` of `spec/journal.pml`.

use std::collections::BTreeSet;

use crate::record::{AttemptId, RecordKey};
use crate::replica::VoteReply;
use crate::view::{Member, View, ViewNumber, QUORUM, VIEW_SIZE};

/// Who generated the key of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeyOrigin {
    /// The caller. Another attempt at the request may be in progress through another node.
    Caller,
    /// This node, for this attempt. No other attempt at the request can exist.
    Node,
}

/// The result of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// The request may run. It must not be sent to a second back end.
    Run,
    /// Another attempt at the request has run, is running or may run.
    Duplicate,
    /// This attempt did not run the request, and no other attempt can have run it.
    NotRun,
    /// This attempt does not run the request, but another attempt may have run it.
    MayHaveRun,
}

/// An attempt that collects votes.
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
    /// Starts an attempt in a view. Each of [`Attempt::members`] must be asked for its vote.
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

    /// Returns the key of the request.
    pub fn key(&self) -> &RecordKey {
        &self.key
    }

    /// Returns the identifier of this attempt.
    pub fn id(&self) -> AttemptId {
        self.id
    }

    /// Returns the number of the view whose votes count.
    pub fn view(&self) -> ViewNumber {
        self.view.number
    }

    /// Returns the replicas that must be asked for their votes.
    pub fn members(&self) -> &[Member; VIEW_SIZE] {
        &self.view.members
    }

    /// Starts over in a later view. Votes of the earlier view no longer count.
    pub fn change_view(&mut self, view: View) {
        if self.decision.is_some() || view.number <= self.view.number {
            return;
        }
        self.view = view;
        self.granted.clear();
        self.answered.clear();
    }

    /// Handles a replica's answer, given in `view`. Returns the decision as soon as it is possible.
    pub fn handle_reply(
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

    /// Whether grants of the replicas that have not answered could still complete a quorum.
    pub fn is_open(&self) -> bool {
        let not_granted = self.answered.len() - self.granted.len();
        self.decision.is_none() && VIEW_SIZE - not_granted >= QUORUM
    }

    /// Stops waiting for answers and returns the decision.
    pub fn give_up(&mut self) -> Decision {
        let decision = self.decision.unwrap_or_else(|| self.without_quorum());
        self.decision = Some(decision);
        decision
    }

    /// Whether the records must be released: only if this attempt never runs the request.
    pub fn must_release(&self) -> bool {
        !matches!(self.decision, None | Some(Decision::Run))
    }

    /// Cancels the permission to run: no back end accepted the request, and this attempt will never run it. The
    /// grants of two replicas show that no other attempt had permission.
    pub fn cancel_run(&mut self) -> Decision {
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
