//! A change from the active view to the one that the store holds as prepared. Any node may carry it
//! out, and begin it again after another left it halfway: each step can be repeated.
//!
//! Implements `Reconfigure` of `spec/journal.pml`.

use std::collections::BTreeSet;

use crate::record::Records;
use crate::replica::SealReply;
use crate::view::{Member, View, QUORUM};

/// What the change asks its owner to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ChangeStep {
    /// Seal the members of the active view for the next one.
    Seal,
    /// Give these records to the members of the next view.
    Install(Records),
    /// Make the next view the active one in the store, by compare-and-swap.
    Activate,
    /// Prepare another view under a higher number.
    PrepareAnew,
}

/// A change under way.
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
    /// A change between two views, of which the second has a higher number.
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

    /// The view that is changed from.
    pub fn active(&self) -> &View {
        &self.active
    }

    /// The view that is changed to.
    pub fn next(&self) -> &View {
        &self.next
    }

    /// The next step. Without two sealed members it stays [`ChangeStep::Seal`] for ever: what the
    /// view had recorded is then lost, and no view may follow it within the keys' retention.
    pub fn step(&self) -> ChangeStep {
        if self.sealed.len() < QUORUM {
            ChangeStep::Seal
        } else if self.installed.len() >= QUORUM {
            ChangeStep::Activate
        } else if self.is_refused {
            ChangeStep::PrepareAnew
        } else {
            ChangeStep::Install(self.records.clone())
        }
    }

    /// Takes a member's answer to the seal.
    pub fn seal_reply(&mut self, member: &Member, reply: SealReply) {
        let SealReply::Sealed(records) = reply else {
            return;
        };
        if self.active.has(member) {
            self.sealed.insert(member.clone());
            self.records.merge(records);
        }
    }

    /// A member of the next view refuses it: it votes in a later view, or in another one of that number, or has
    /// restarted.
    pub fn refused(&mut self) {
        self.is_refused = true;
    }

    /// A member of the next view votes in it.
    pub fn installed(&mut self, member: &Member) {
        if self.next.has(member) {
            self.installed.insert(member.clone());
        }
    }
}
