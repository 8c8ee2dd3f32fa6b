//! A change from the active view to the view that the store holds as prepared. Any node may carry it out, and may
//! start it again after another node has left it unfinished, because each step can be repeated.
//!
//! Implements `Reconfigure` of `spec/journal.pml`.

use std::collections::BTreeSet;

use crate::record::Records;
use crate::replica::SealReply;
use crate::view::{Member, View, QUORUM};

/// The next step that the owner of a change must carry out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ChangeStep {
    /// Seal the members of the active view for the next view.
    Seal,
    /// Install the next view, with these records, at its members.
    Install(Records),
    /// Make the next view the active view in the store, by compare-and-swap.
    Activate,
    /// Prepare another view with a higher number, because a member refused this one.
    PrepareNewView,
}

/// A change of views in progress.
#[derive(Debug, Clone)]
pub struct ViewChange {
    active: View,
    next: View,
    sealed: BTreeSet<Member>,
    records: Records,
    installed: BTreeSet<Member>,
    is_refused: bool,
}

impl ViewChange {
    /// Starts a change from `active` to `next`, which has a higher number.
    pub fn new(active: View, next: View) -> Self {
        Self {
            active,
            next,
            sealed: BTreeSet::new(),
            records: Records::default(),
            installed: BTreeSet::new(),
            is_refused: false,
        }
    }

    /// Returns the active view, which is replaced.
    pub fn active(&self) -> &View {
        &self.active
    }

    /// Returns the next view, which replaces the active one.
    pub fn next(&self) -> &View {
        &self.next
    }

    /// Returns the next step. It remains [`ChangeStep::Seal`] until two members are sealed. If two members never
    /// are, the records of the view are lost, and no view may follow it until the retention of the keys has passed.
    pub fn step(&self) -> ChangeStep {
        if self.sealed.len() < QUORUM {
            ChangeStep::Seal
        } else if self.installed.len() >= QUORUM {
            ChangeStep::Activate
        } else if self.is_refused {
            ChangeStep::PrepareNewView
        } else {
            ChangeStep::Install(self.records.clone())
        }
    }

    /// Handles a member's answer to the seal and merges its records.
    pub fn handle_seal_reply(&mut self, member: &Member, reply: SealReply) {
        let SealReply::Sealed(records) = reply else {
            return;
        };
        if self.active.has(member) {
            self.sealed.insert(member.clone());
            self.records.merge(records);
        }
    }

    /// Records that a member of the next view refused to install it: the member votes in a later view or in another
    /// view with the same number, or it has restarted.
    pub fn handle_refusal(&mut self) {
        self.is_refused = true;
    }

    /// Records that a member of the next view has installed it and votes in it.
    pub fn handle_installed(&mut self, member: &Member) {
        if self.next.has(member) {
            self.installed.insert(member.clone());
        }
    }
}
