//! The state machine of one node: which revision it holds and has in force, which it has heard of,
//! and whom it asks.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use rand::seq::{IndexedRandom, SliceRandom};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tansyhall_core::{Duration, NodeId, Timestamp};

use crate::recovery::Recovery;
use crate::settings::SpreadSettings;

/// Peers that a node asks at once while it holds nothing: each answers with everything, so that one
/// is enough. The others then answer with what is newer than that, which is mostly nothing.
const PARALLELISM_WITH_NOTHING_HELD: usize = 1;

/// Told to others as long as the revision in force was never confirmed; some hundred years.
const UNKNOWN_AGE: Duration = Duration::from_secs(u32::MAX as u64);

/// A node that can be asked.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Peer {
    /// Its name.
    pub name: NodeId,
    /// Where nodes reach it.
    pub address: SocketAddr,
}

/// What a node has in force.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Mark {
    /// The revision; zero for none.
    pub revision: u64,
    /// Time since it was last known to be the newest.
    pub confirmation_age: Duration,
}

/// What membership says about this node's surroundings.
#[derive(Debug, Clone, Default)]
pub struct View {
    /// Whether this node follows the store for its zone.
    pub is_watcher: bool,
    /// Whether the zone's members are known, as far as they can be.
    pub is_settled: bool,
    /// Other members of the zone that answer.
    pub neighbours: Vec<Peer>,
}

/// What the caller must do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Ask a peer for what is newer than `held_revision`, then call [`Spread::pulled`].
    Pull {
        /// Whom to ask.
        peer: Peer,
        /// The revision held.
        held_revision: u64,
    },
    /// Put the newest document held in force, then call [`Spread::in_force`].
    PutInForce,
    /// Tell these peers which revision is in force.
    Announce {
        /// Whom to tell.
        peers: Vec<Peer>,
    },
}

/// How a pull ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PullOutcome {
    /// The peer has this in force, and what it sent is now held.
    Held(Mark),
    /// What the peer sent does not validate.
    Refused {
        /// Its revision.
        revision: u64,
    },
    /// There was no usable answer.
    Failed,
}

/// What is remembered of a peer.
#[derive(Debug, Clone)]
struct Source {
    address: SocketAddr,
    revision: u64,
    retry_at: Timestamp,
}

/// The spread of revisions as one node sees it. Neither the revision held nor the one in force ever
/// becomes smaller.
#[derive(Debug)]
pub struct Spread {
    settings: SpreadSettings,
    rng: ChaCha8Rng,
    held: u64,
    in_force: u64,
    refused: u64,
    confirmed_at: Option<Timestamp>,
    started: Option<Timestamp>,
    recovery: Option<Recovery>,
    sources: BTreeMap<NodeId, Source>,
    pull_until: Option<Timestamp>,
    view: View,
    waits_for_store: bool,
}

impl Spread {
    /// The state of a node that has just started and holds nothing.
    pub fn new(settings: SpreadSettings, seed: u64) -> Self {
        Self {
            settings,
            rng: ChaCha8Rng::seed_from_u64(seed),
            held: 0,
            in_force: 0,
            refused: 0,
            confirmed_at: None,
            started: None,
            recovery: Some(Recovery::default()),
            sources: BTreeMap::new(),
            pull_until: None,
            view: View::default(),
            waits_for_store: false,
        }
    }

    /// Takes what membership says now, and runs what is due.
    pub fn tick(&mut self, now: Timestamp, view: View) -> Vec<Action> {
        let started = *self.started.get_or_insert(now);
        self.view = view;
        let is_patient = now < started + self.settings.store_patience;
        self.waits_for_store = self.recovery.is_some() && !is_patient;
        self.forget_strangers();
        let mut actions = self.inquire(now);
        actions.extend(self.finish_recovery());
        actions.extend(self.pull_newer(now));
        actions
    }

    /// A peer said what it has in force.
    pub fn heard(&mut self, now: Timestamp, peer: &Peer, mark: Mark) -> Vec<Action> {
        self.remember(peer, mark.revision);
        self.confirm(now, mark);
        let is_neighbour = self.view.neighbours.iter().any(|it| it.name == peer.name);
        if let Some(recovery) = self.recovery.as_mut().filter(|_| is_neighbour) {
            recovery.answered(&peer.name, mark.revision);
        }
        let mut actions = self.finish_recovery();
        actions.extend(self.pull_newer(now));
        actions
    }

    /// A pull has ended.
    pub fn pulled(&mut self, now: Timestamp, peer: &Peer, outcome: PullOutcome) -> Vec<Action> {
        self.pull_until = None;
        match outcome {
            PullOutcome::Held(mark) => {
                self.hold(mark.revision);
                let mut actions = self.put_held_in_force();
                actions.extend(self.heard(now, peer, mark));
                actions
            }
            PullOutcome::Refused { revision } => {
                self.refused = self.refused.max(revision);
                self.inquiry_failed(now, peer);
                Vec::new()
            }
            PullOutcome::Failed => {
                self.inquiry_failed(now, peer);
                self.pull_newer(now)
            }
        }
    }

    /// The store says that `revision` is the newest, and what it holds is held here too.
    pub fn store_read(&mut self, now: Timestamp, revision: u64) -> Vec<Action> {
        self.hold(revision);
        let mark = Mark {
            revision,
            confirmation_age: Duration::ZERO,
        };
        self.confirm(now, mark);
        if let Some(recovery) = &mut self.recovery {
            recovery.store_answered(revision);
        }
        let mut actions = self.finish_recovery();
        actions.extend(self.put_held_in_force());
        actions
    }

    /// A node of another zone is said to have a revision in force.
    pub fn heard_of(&mut self, peer: &Peer, revision: u64) {
        if revision > self.held {
            self.remember(peer, revision);
        }
    }

    /// A revision was put in force.
    pub fn in_force(&mut self, revision: u64) -> Vec<Action> {
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

    /// The newest revision held, in force or not; zero for none.
    pub fn revision_held(&self) -> u64 {
        self.held
    }

    /// The revision in force; zero for none.
    pub fn revision_in_force(&self) -> u64 {
        self.in_force
    }

    /// Whether the node knows enough to serve.
    pub fn is_recovered(&self) -> bool {
        self.recovery.is_none()
    }

    /// Whether this node should follow the store: for its zone, or because it has just started and
    /// its peers have not told it enough.
    pub fn follows_store(&self) -> bool {
        self.view.is_watcher || self.waits_for_store
    }

    /// Time since the revision held was last known to be the newest; absent before the first time.
    pub fn staleness(&self, now: Timestamp) -> Option<Duration> {
        self.confirmed_at.map(|confirmed| now.since(confirmed))
    }

    /// What to tell others about the configuration here.
    pub fn mark(&self, now: Timestamp) -> Mark {
        Mark {
            revision: self.in_force,
            confirmation_age: self.staleness(now).unwrap_or(UNKNOWN_AGE),
        }
    }

    fn remember(&mut self, peer: &Peer, revision: u64) {
        let is_known = self.sources.contains_key(&peer.name);
        if !is_known && self.sources.len() >= self.settings.max_peers {
            return;
        }
        let fresh = Source {
            address: peer.address,
            revision,
            retry_at: Timestamp::default(),
        };
        let source = self.sources.entry(peer.name.clone()).or_insert(fresh);
        source.address = peer.address;
        source.revision = revision;
    }

    /// Sources that have nothing newer and are no neighbours are of no further use.
    fn forget_strangers(&mut self) {
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

    fn confirm(&mut self, now: Timestamp, mark: Mark) {
        if mark.revision != self.held || mark.revision == 0 {
            return;
        }
        let confirmed = now - mark.confirmation_age;
        self.confirmed_at = self.confirmed_at.max(Some(confirmed));
    }

    fn inquire(&mut self, now: Timestamp) -> Vec<Action> {
        let Some(recovery) = &mut self.recovery else {
            return Vec::new();
        };
        let parallelism = match self.held {
            0 => PARALLELISM_WITH_NOTHING_HELD,
            _ => self.settings.recovery_parallelism,
        };
        let timeout = self.settings.pull_timeout;
        let asked = recovery.next_inquiries(now, &self.view.neighbours, parallelism, timeout);
        let held_revision = self.held;
        let pull = |peer| Action::Pull {
            peer,
            held_revision,
        };
        asked.into_iter().map(pull).collect()
    }

    fn inquiry_failed(&mut self, now: Timestamp, peer: &Peer) {
        let retry_at = now + self.settings.retry_delay;
        if let Some(recovery) = &mut self.recovery {
            recovery.failed(&peer.name, retry_at);
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
        self.waits_for_store = false;
        self.put_held_in_force()
    }

    fn put_held_in_force(&mut self) -> Vec<Action> {
        if self.recovery.is_some() || self.held <= self.in_force {
            return Vec::new();
        }
        vec![Action::PutInForce]
    }

    /// Asks one of the peers with the newest revision heard of, unless a pull is in progress.
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
