//! When a node that has just started knows enough to serve. Nodes keep nothing, so what a restarted
//! one gets first may be older than what it served before; it therefore hears its zone's members
//! before it puts anything in force.

use std::collections::BTreeMap;

use tansyhall_core::{Duration, NodeId, Timestamp};

use crate::spread::Peer;

/// What came of asking one peer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Inquiry {
    /// It has been asked and may still answer, until this time.
    Pending(Timestamp),
    /// It said which revision it has in force.
    Answered(u64),
    /// It did not answer; it may be asked again from this time on.
    Failed(Timestamp),
}

/// The inquiries of a node that has just started.
#[derive(Debug, Default)]
pub(crate) struct Recovery {
    inquiries: BTreeMap<NodeId, Inquiry>,
    store_revision: Option<u64>,
}

impl Recovery {
    /// A peer said which revision it has in force; zero means that it is recovering itself.
    pub(crate) fn answered(&mut self, peer: &NodeId, revision: u64) {
        self.inquiries
            .insert(peer.clone(), Inquiry::Answered(revision));
    }

    /// A peer did not answer.
    pub(crate) fn failed(&mut self, peer: &NodeId, retry_at: Timestamp) {
        self.inquiries
            .insert(peer.clone(), Inquiry::Failed(retry_at));
    }

    /// The store said which revision is the newest.
    pub(crate) fn store_answered(&mut self, revision: u64) {
        self.store_revision = Some(revision);
    }

    /// Peers to ask now, those first that have never been asked: one that is recovering itself is
    /// due again at once, and must not keep the others from being asked.
    pub(crate) fn next_inquiries(
        &mut self,
        now: Timestamp,
        neighbours: &[Peer],
        parallelism: usize,
        timeout: Duration,
    ) -> Vec<Peer> {
        let pending =
            |inquiry: &&Inquiry| matches!(inquiry, Inquiry::Pending(until) if *until > now);
        let in_progress = self.inquiries.values().filter(pending).count();
        let is_due = |peer: &&Peer| match self.inquiries.get(&peer.name) {
            None | Some(Inquiry::Answered(0)) => true,
            Some(Inquiry::Pending(until)) | Some(Inquiry::Failed(until)) => *until <= now,
            Some(Inquiry::Answered(_)) => false,
        };
        let mut due: Vec<&Peer> = neighbours.iter().filter(is_due).collect();
        due.sort_by_key(|peer| self.inquiries.contains_key(&peer.name));
        let asked: Vec<Peer> = due
            .into_iter()
            .take(parallelism.saturating_sub(in_progress))
            .cloned()
            .collect();
        for peer in &asked {
            let pending = Inquiry::Pending(now + timeout);
            self.inquiries.insert(peer.name.clone(), pending);
        }
        asked
    }

    /// Whether `held` is known to be as new as anything that had to be heard of: either the store
    /// has said so, or every neighbour was asked, a majority of them answered, and none of those
    /// has a newer one. Neighbours that are recovering themselves know nothing and do not count.
    pub(crate) fn is_complete(&self, held: u64, neighbours: &[Peer]) -> bool {
        if held == 0 {
            return false;
        }
        if self.store_revision.is_some_and(|revision| held >= revision) {
            return true;
        }
        let inquiries = neighbours
            .iter()
            .map(|peer| self.inquiries.get(&peer.name).copied());
        let voters: Vec<_> = inquiries
            .filter(|inquiry| *inquiry != Some(Inquiry::Answered(0)))
            .collect();
        let answers = voters.iter().filter_map(|inquiry| match inquiry {
            Some(Inquiry::Answered(revision)) => Some(*revision),
            _ => None,
        });
        let all_asked = voters
            .iter()
            .all(|it| matches!(it, Some(Inquiry::Answered(_) | Inquiry::Failed(_))));
        let majority = voters.len() / 2 + 1;
        let newest = answers.clone().max().unwrap_or_default();
        all_asked && answers.count() >= majority && held >= newest
    }
}
