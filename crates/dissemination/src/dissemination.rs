//! The dissemination state machine of one node: the revisions that it holds and has in force, the
//! revisions of its peers, and the peers that it pulls from.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use rand::seq::{IndexedRandom, SliceRandom};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tansyhall_core::{Duration, NodeId, Timestamp};

use crate::recovery::Recovery;
use crate::settings::DisseminationSettings;

/// The number of peers that a node queries at once while it holds no document. Each of them would
/// answer with the full document, so one is enough. The other peers then answer only with newer
/// revisions, and mostly have none.
const PARALLELISM_WITHOUT_DOCUMENT: usize = 1;

/// The confirmation age that is reported while the revision in force has never been confirmed.
/// About 136 years.
const UNKNOWN_CONFIRMATION_AGE: Duration = Duration::from_secs(u32::MAX as u64);

/// A node that revisions can be pulled from.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Peer {
    /// The name of the node.
    pub name: NodeId,
    /// The address at which other nodes reach it.
    pub address: SocketAddr,
}

/// The revision that a node has in force.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct RevisionStatus {
    /// The revision, or zero for none.
    pub revision: u64,
    /// The time since the revision was last known to be the newest.
    pub confirmation_age: Duration,
}

/// The state of the zone as reported by the membership of this node.
#[derive(Debug, Clone, Default)]
pub struct MembershipView {
    /// Whether this node follows the store for its zone.
    pub is_watcher: bool,
    /// Whether this node has joined its zone, or no answer to its join requests is to be expected.
    pub is_settled: bool,
    /// The other reachable members of the zone.
    pub neighbours: Vec<Peer>,
}

/// An action that the caller must execute.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Pull what is newer than `held_revision` from a peer, then call
    /// [`Dissemination::handle_pull_outcome`].
    Pull {
        /// The peer to pull from.
        peer: Peer,
        /// The revision held.
        held_revision: u64,
    },
    /// Put the newest document held in force, then call [`Dissemination::handle_put_in_force`].
    PutInForce,
    /// Announce the revision in force to these peers.
    Announce {
        /// The peers to notify.
        peers: Vec<Peer>,
    },
}

/// The result of a pull.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PullOutcome {
    /// The document that the peer sent is now held. Contains the revision that the peer has in
    /// force.
    Held(RevisionStatus),
    /// The document that the peer sent is invalid.
    Refused {
        /// The revision of the document.
        revision: u64,
    },
    /// No usable answer was received.
    Failed,
}

/// A peer that a newer revision may be pulled from.
#[derive(Debug, Clone)]
struct Source {
    address: SocketAddr,
    revision: u64,
    retry_at: Timestamp,
}

/// The dissemination state of one node. Neither the revision held nor the revision in force ever
/// decreases.
#[derive(Debug)]
pub struct Dissemination {
    settings: DisseminationSettings,
    rng: ChaCha8Rng,
    held: u64,
    in_force: u64,
    refused: u64,
    confirmed_at: Option<Timestamp>,
    started_at: Option<Timestamp>,
    recovery: Option<Recovery>,
    sources: BTreeMap<NodeId, Source>,
    pull_until: Option<Timestamp>,
    view: MembershipView,
    needs_store: bool,
}

impl Dissemination {
    /// Creates the state of a node that has just started and holds no document.
    pub fn new(settings: DisseminationSettings, seed: u64) -> Self {
        Self {
            settings,
            rng: ChaCha8Rng::seed_from_u64(seed),
            held: 0,
            in_force: 0,
            refused: 0,
            confirmed_at: None,
            started_at: None,
            recovery: Some(Recovery::default()),
            sources: BTreeMap::new(),
            pull_until: None,
            view: MembershipView::default(),
            needs_store: false,
        }
    }

    /// Updates the view of the zone, and runs all tasks that are due.
    pub fn tick(&mut self, now: Timestamp, view: MembershipView) -> Vec<Action> {
        let started_at = *self.started_at.get_or_insert(now);
        self.view = view;
        let is_waiting_for_peers = now < started_at + self.settings.store_query_delay;
        self.needs_store = self.recovery.is_some() && !is_waiting_for_peers;
        self.remove_unneeded_sources();
        let mut actions = self.query_peers(now);
        actions.extend(self.finish_recovery());
        actions.extend(self.pull_newer(now));
        actions
    }

    /// Handles a peer's report of the revision that it has in force.
    pub fn handle_status(
        &mut self,
        now: Timestamp,
        peer: &Peer,
        status: RevisionStatus,
    ) -> Vec<Action> {
        self.record_source(peer, status.revision);
        self.confirm(now, status);
        let is_neighbour = self.view.neighbours.iter().any(|it| it.name == peer.name);
        if let Some(recovery) = self.recovery.as_mut().filter(|_| is_neighbour) {
            recovery.record_answer(&peer.name, status.revision);
        }
        let mut actions = self.finish_recovery();
        actions.extend(self.pull_newer(now));
        actions
    }

    /// Handles the end of a pull.
    pub fn handle_pull_outcome(
        &mut self,
        now: Timestamp,
        peer: &Peer,
        outcome: PullOutcome,
    ) -> Vec<Action> {
        self.pull_until = None;
        match outcome {
            PullOutcome::Held(status) => {
                self.hold(status.revision);
                let mut actions = self.request_put_in_force();
                actions.extend(self.handle_status(now, peer, status));
                actions
            }
            PullOutcome::Refused { revision } => {
                self.refused = self.refused.max(revision);
                self.record_pull_failure(now, peer);
                Vec::new()
            }
            PullOutcome::Failed => {
                self.record_pull_failure(now, peer);
                self.pull_newer(now)
            }
        }
    }

    /// Handles a read of the store: `revision` is its newest revision, and the document of the
    /// store is now held.
    pub fn handle_store_revision(&mut self, now: Timestamp, revision: u64) -> Vec<Action> {
        self.hold(revision);
        let status = RevisionStatus {
            revision,
            confirmation_age: Duration::ZERO,
        };
        self.confirm(now, status);
        if let Some(recovery) = &mut self.recovery {
            recovery.record_store_revision(revision);
        }
        let mut actions = self.finish_recovery();
        actions.extend(self.request_put_in_force());
        actions
    }

    /// Handles an indirect report of the revision that a node of another zone has in force.
    pub fn handle_remote_revision(&mut self, peer: &Peer, revision: u64) {
        if revision > self.held {
            self.record_source(peer, revision);
        }
    }

    /// Handles that the caller has put a revision in force.
    pub fn handle_put_in_force(&mut self, revision: u64) -> Vec<Action> {
        if revision <= self.in_force {
            return Vec::new();
        }
        self.hold(revision);
        self.in_force = revision;
        let mut peers = self.view.neighbours.clone();
        let (chosen, _) = peers.partial_shuffle(&mut self.rng, self.settings.announce_fanout);
        let peers = chosen.to_vec();
        vec![Action::Announce { peers }]
    }

    /// Returns the newest revision held, whether or not it is in force, or zero for none.
    pub fn revision_held(&self) -> u64 {
        self.held
    }

    /// Returns the revision in force, or zero for none.
    pub fn revision_in_force(&self) -> u64 {
        self.in_force
    }

    /// Returns whether the node has completed its recovery and may serve.
    pub fn is_recovered(&self) -> bool {
        self.recovery.is_none()
    }

    /// Returns whether this node should follow the store: on behalf of its zone, or because it has
    /// just started and the answers of its peers were not sufficient to complete the recovery.
    pub fn follows_store(&self) -> bool {
        self.view.is_watcher || self.needs_store
    }

    /// Returns the time since the revision held was last known to be the newest, or `None` if it
    /// has never been confirmed.
    pub fn staleness(&self, now: Timestamp) -> Option<Duration> {
        self.confirmed_at.map(|confirmed| now.since(confirmed))
    }

    /// Returns the revision in force to report to other nodes.
    pub fn status(&self, now: Timestamp) -> RevisionStatus {
        RevisionStatus {
            revision: self.in_force,
            confirmation_age: self.staleness(now).unwrap_or(UNKNOWN_CONFIRMATION_AGE),
        }
    }

    fn record_source(&mut self, peer: &Peer, revision: u64) {
        let is_known = self.sources.contains_key(&peer.name);
        if !is_known && self.sources.len() >= self.settings.max_peers {
            return;
        }
        let new_source = Source {
            address: peer.address,
            revision,
            retry_at: Timestamp::default(),
        };
        let source = self.sources.entry(peer.name.clone()).or_insert(new_source);
        source.address = peer.address;
        source.revision = revision;
    }

    /// Removes the sources outside the zone that have no newer revision, which are no longer
    /// needed.
    fn remove_unneeded_sources(&mut self) {
        let held = self.held;
        let neighbours = &self.view.neighbours;
        self.sources.retain(|name, source| {
            source.revision > held || neighbours.iter().any(|peer| peer.name == *name)
        });
    }

    fn hold(&mut self, revision: u64) {
        if revision > self.held {
            self.held = revision;
            self.confirmed_at = None;
        }
    }

    fn confirm(&mut self, now: Timestamp, status: RevisionStatus) {
        if status.revision != self.held || status.revision == 0 {
            return;
        }
        let confirmed = now - status.confirmation_age;
        self.confirmed_at = self.confirmed_at.max(Some(confirmed));
    }

    fn query_peers(&mut self, now: Timestamp) -> Vec<Action> {
        let Some(recovery) = &mut self.recovery else {
            return Vec::new();
        };
        let parallelism = match self.held {
            0 => PARALLELISM_WITHOUT_DOCUMENT,
            _ => self.settings.recovery_parallelism,
        };
        let timeout = self.settings.pull_timeout;
        let queried = recovery.next_queries(now, &self.view.neighbours, parallelism, timeout);
        let held_revision = self.held;
        let pull = |peer| Action::Pull {
            peer,
            held_revision,
        };
        queried.into_iter().map(pull).collect()
    }

    fn record_pull_failure(&mut self, now: Timestamp, peer: &Peer) {
        let retry_at = now + self.settings.retry_delay;
        if let Some(recovery) = &mut self.recovery {
            recovery.record_failure(&peer.name, retry_at);
        }
        if let Some(source) = self.sources.get_mut(&peer.name) {
            source.retry_at = retry_at;
        }
    }

    fn finish_recovery(&mut self) -> Vec<Action> {
        let is_complete = self.recovery.as_ref().is_some_and(|recovery| {
            let neighbours = &self.view.neighbours;
            self.view.is_settled && recovery.is_complete(self.held, neighbours)
        });
        if !is_complete {
            return Vec::new();
        }
        self.recovery = None;
        self.needs_store = false;
        self.request_put_in_force()
    }

    fn request_put_in_force(&mut self) -> Vec<Action> {
        if self.recovery.is_some() || self.held <= self.in_force {
            return Vec::new();
        }
        vec![Action::PutInForce]
    }

    /// Pulls from one of the peers with the newest known revision, unless a pull is in progress.
    fn pull_newer(&mut self, now: Timestamp) -> Vec<Action> {
        if self.pull_until.is_some_and(|until| now < until) {
            return Vec::new();
        }
        let floor = self.held.max(self.refused);
        let usable = self.sources.iter();
        let usable = usable.filter(|(_, it)| it.revision > floor && it.retry_at <= now);
        let newest = usable.clone().map(|(_, it)| it.revision).max();
        let candidates = usable.filter(|(_, it)| Some(it.revision) == newest);
        let candidates: Vec<(&NodeId, &Source)> = candidates.collect();
        let Some((name, source)) = candidates.choose(&mut self.rng) else {
            return Vec::new();
        };
        let peer = Peer {
            name: (*name).clone(),
            address: source.address,
        };
        self.pull_until = Some(now + self.settings.pull_timeout);
        let held_revision = self.held;
        vec![Action::Pull {
            peer,
            held_revision,
        }]
    }
}
