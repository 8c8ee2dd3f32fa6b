//! Recovery of a node that has just started: decides when it knows enough to serve. Nodes persist
//! no state, so the first revision that a restarted node receives may be older than the one
//! that it served before. It therefore queries the members of its zone before it puts a revision in
//! force.

use std::collections::BTreeMap;

use tansyhall_core::{Duration, NodeId, Timestamp};

use crate::dissemination::Peer;

/// The state of the query to one peer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum PeerQuery {
    /// The query has been sent, and the peer may answer until this time.
    Pending(Timestamp),
    /// The peer answered with the revision that it has in force.
    Answered(u64),
    /// The peer did not answer. It may be queried again from this time on.
    Failed(Timestamp),
}

/// The queries of a node that has just started.
#[derive(Debug, Default)]
pub(crate) struct Recovery {
    queries: BTreeMap<NodeId, PeerQuery>,
    store_revision: Option<u64>,
}

impl Recovery {
    /// Records the revision that a peer has in force. Zero means that the peer is itself
    /// recovering.
    pub(crate) fn record_answer(&mut self, peer: &NodeId, revision: u64) {
        self.queries
            .insert(peer.clone(), PeerQuery::Answered(revision));
    }

    /// Records that a peer did not answer. It is not queried again before `retry_at`.
    pub(crate) fn record_failure(&mut self, peer: &NodeId, retry_at: Timestamp) {
        self.queries
            .insert(peer.clone(), PeerQuery::Failed(retry_at));
    }

    /// Records the newest revision of the store.
    pub(crate) fn record_store_revision(&mut self, revision: u64) {
        self.store_revision = Some(revision);
    }

    /// Returns the peers to query now, and marks them as pending. Peers that have never been
    /// queried come first: a peer that is itself recovering is due again at once, and must not
    /// prevent the others from being queried.
    pub(crate) fn next_queries(
        &mut self,
        now: Timestamp,
        neighbours: &[Peer],
        parallelism: usize,
        timeout: Duration,
    ) -> Vec<Peer> {
        let pending =
            |query: &&PeerQuery| matches!(query, PeerQuery::Pending(until) if *until > now);
        let in_progress = self.queries.values().filter(pending).count();
        let is_due = |peer: &&Peer| match self.queries.get(&peer.name) {
            None | Some(PeerQuery::Answered(0)) => true,
            Some(PeerQuery::Pending(until)) | Some(PeerQuery::Failed(until)) => *until <= now,
            Some(PeerQuery::Answered(_)) => false,
        };
        let mut due: Vec<&Peer> = neighbours.iter().filter(is_due).collect();
        due.sort_by_key(|peer| self.queries.contains_key(&peer.name));
        let queried: Vec<Peer> = due
            .into_iter()
            .take(parallelism.saturating_sub(in_progress))
            .cloned()
            .collect();
        for peer in &queried {
            let pending = PeerQuery::Pending(now + timeout);
            self.queries.insert(peer.name.clone(), pending);
        }
        queried
    }

    /// Returns whether the revision `held` is known to be new enough to serve. Either it is at
    /// least as new as the store's newest revision, or all neighbours have been queried, a majority
    /// of them have answered, and none of these has a newer revision in force. Neighbours that are
    /// themselves recovering have no revision in force and do not count.
    pub(crate) fn is_complete(&self, held: u64, neighbours: &[Peer]) -> bool {
        if held == 0 {
            return false;
        }
        if self.store_revision.is_some_and(|revision| held >= revision) {
            return true;
        }
        let queries = neighbours
            .iter()
            .map(|peer| self.queries.get(&peer.name).copied());
        let counted_queries: Vec<_> = queries
            .filter(|query| *query != Some(PeerQuery::Answered(0)))
            .collect();
        let answers = counted_queries.iter().filter_map(|query| match query {
            Some(PeerQuery::Answered(revision)) => Some(*revision),
            _ => None,
        });
        let all_queried = counted_queries
            .iter()
            .all(|it| matches!(it, Some(PeerQuery::Answered(_) | PeerQuery::Failed(_))));
        let majority = counted_queries.len() / 2 + 1;
        let newest = answers.clone().max().unwrap_or_default();
        all_queried && answers.count() >= majority && held >= newest
    }
}
