//! The spread of configuration revisions between the nodes, with the real state machine. Operators
//! change the configuration in the store; the first node that is up follows the store, the others
//! pull from each other.

use std::collections::BTreeSet;
use std::net::{Ipv4Addr, SocketAddr};

use tansyhall_core::{Duration, Timestamp};
use tansyhall_dissemination::{
    Action, Dissemination, DisseminationSettings, MembershipView, Peer, PullOutcome, RevisionStatus,
};

use crate::cluster::NODES;
use crate::oracle::Oracle;
use crate::run::Rule;

/// One pull of one run of a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Pull {
    /// The node that pulls.
    pub node: usize,
    /// Its run.
    pub run: u64,
    /// The pull's number.
    pub number: u64,
    /// The node asked.
    pub target: usize,
}

/// What passes between nodes, and between a node and the store.
#[derive(Debug, Clone, Copy)]
pub enum Message {
    /// A node asks another for what is newer than it holds.
    Ask(Pull),
    /// The answer: what the other has in force.
    Answer(Pull, RevisionStatus),
    /// A node tells another what it has in force.
    Tell {
        /// Who tells.
        from: usize,
        /// Who is told.
        target: usize,
        /// What is in force.
        mark: RevisionStatus,
    },
    /// A node reads the store.
    ReadStore {
        /// The node.
        node: usize,
        /// Its run.
        run: u64,
    },
    /// The store's newest revision, as it was read.
    StoreRead {
        /// The node.
        node: usize,
        /// Its run.
        run: u64,
        /// The revision.
        revision: u64,
    },
}

/// Where a message is handled.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Receiver {
    /// At a node in whatever run it is.
    Node(usize),
    /// At one run of a node.
    Run(usize, u64),
    /// At the store.
    Store,
}

impl Message {
    /// Where the message is handled.
    pub fn receiver(&self) -> Receiver {
        match *self {
            Message::Ask(pull) => Receiver::Node(pull.target),
            Message::Answer(pull, _) => Receiver::Run(pull.node, pull.run),
            Message::Tell { target, .. } => Receiver::Node(target),
            Message::ReadStore { .. } => Receiver::Store,
            Message::StoreRead { node, run, .. } => Receiver::Run(node, run),
        }
    }
}

/// Every node's revisions, and the store's.
pub struct Configurations {
    spreads: Vec<Dissemination>,
    store_revision: u64,
    pulls: u64,
    probes: usize,
    outstanding: BTreeSet<Pull>,
    broken: Option<Rule>,
}

fn peer(node: usize) -> Peer {
    let port = 1 + u16::try_from(node).unwrap_or(u16::MAX - 1);
    Peer {
        name: format!("node-{node}").as_str().into(),
        address: SocketAddr::from((Ipv4Addr::LOCALHOST, port)),
    }
}

fn index(peer: &Peer) -> usize {
    usize::from(peer.address.port()) - 1
}

fn spread(node: usize, run: u64) -> Dissemination {
    Dissemination::new(
        DisseminationSettings::default(),
        run * NODES as u64 + node as u64,
    )
}

impl Configurations {
    /// Nodes that hold nothing, and a store with a first configuration.
    pub fn new(broken: Option<Rule>) -> Self {
        Self {
            spreads: (0..NODES).map(|node| spread(node, 1)).collect(),
            store_revision: 1,
            pulls: 0,
            probes: 0,
            outstanding: BTreeSet::new(),
            broken,
        }
    }

    /// A node restarts and holds nothing.
    pub fn restart(&mut self, node: usize, run: u64) {
        self.spreads[node] = spread(node, run);
        self.outstanding.retain(|pull| pull.node != node);
    }

    /// Operators change the configuration in the store.
    pub fn change(&mut self) {
        self.store_revision += 1;
    }

    /// The store answers a read.
    pub fn read_store(&self, node: usize, run: u64) -> Message {
        let revision = self.store_revision;
        Message::StoreRead {
            node,
            run,
            revision,
        }
    }

    /// What is due at a node; `up` tells which nodes answer. Returns what it sends.
    pub fn tick(
        &mut self,
        now: Timestamp,
        node: usize,
        run: u64,
        up: &[bool],
        oracle: &mut Oracle,
    ) -> Vec<Message> {
        let others = (0..NODES).filter(|other| *other != node);
        let view = MembershipView {
            is_watcher: up.iter().position(|is_up| *is_up) == Some(node),
            is_settled: true,
            neighbours: others.filter(|other| up[*other]).map(peer).collect(),
        };
        let actions = self.spreads[node].tick(now, view);
        let mut messages = self.perform(now, node, run, actions, oracle);
        if self.spreads[node].follows_store() {
            messages.push(Message::ReadStore { node, run });
        }
        // Membership's probes carry the revision in force to one other node at a time.
        self.probes += 1;
        let target = (node + 1 + self.probes % (NODES - 1)) % NODES;
        let mark = self.spreads[node].status(now);
        messages.push(Message::Tell {
            from: node,
            target,
            mark,
        });
        messages
    }

    /// A node handles a message; returns what it sends.
    pub fn deliver(
        &mut self,
        now: Timestamp,
        message: Message,
        run: u64,
        oracle: &mut Oracle,
    ) -> Vec<Message> {
        match message {
            Message::Ask(pull) => {
                let mark = self.spreads[pull.target].status(now);
                vec![Message::Answer(pull, mark)]
            }
            Message::Answer(pull, mark) => self.answered(now, pull, mark, oracle),
            Message::Tell { from, target, mark } => {
                let actions = self.spreads[target].handle_status(now, &peer(from), mark);
                self.perform(now, target, run, actions, oracle)
            }
            Message::StoreRead { node, revision, .. } => {
                let actions = self.spreads[node].handle_store_revision(now, revision);
                self.perform(now, node, run, actions, oracle)
            }
            Message::ReadStore { .. } => Vec::new(),
        }
    }

    /// A pull has waited long enough.
    pub fn time_out(&mut self, now: Timestamp, pull: Pull, oracle: &mut Oracle) -> Vec<Message> {
        if !self.outstanding.remove(&pull) {
            return Vec::new();
        }
        let outcome = PullOutcome::Failed;
        let actions = self.spreads[pull.node].handle_pull_outcome(now, &peer(pull.target), outcome);
        self.perform(now, pull.node, pull.run, actions, oracle)
    }

    /// How long a pull waits.
    pub fn pull_timeout() -> Duration {
        DisseminationSettings::default().pull_timeout
    }

    fn answered(
        &mut self,
        now: Timestamp,
        pull: Pull,
        mark: RevisionStatus,
        oracle: &mut Oracle,
    ) -> Vec<Message> {
        if self.broken == Some(Rule::Monotonic) && mark.revision > 0 {
            // Whatever a peer answers is put in force, however old the answer is.
            oracle.configuration_in_force(pull.node, pull.run, mark.revision);
        }
        if !self.outstanding.remove(&pull) {
            return Vec::new();
        }
        let outcome = PullOutcome::Held(mark);
        let actions = self.spreads[pull.node].handle_pull_outcome(now, &peer(pull.target), outcome);
        self.perform(now, pull.node, pull.run, actions, oracle)
    }

    fn perform(
        &mut self,
        now: Timestamp,
        node: usize,
        run: u64,
        actions: Vec<Action>,
        oracle: &mut Oracle,
    ) -> Vec<Message> {
        let mut messages = Vec::new();
        for action in actions {
            match action {
                Action::Pull { peer, .. } => {
                    self.pulls += 1;
                    let target = index(&peer);
                    let number = self.pulls;
                    let pull = Pull {
                        node,
                        run,
                        number,
                        target,
                    };
                    self.outstanding.insert(pull);
                    messages.push(Message::Ask(pull));
                }
                Action::PutInForce => {
                    let revision = self.spreads[node].revision_held();
                    oracle.configuration_in_force(node, run, revision);
                    let actions = self.spreads[node].handle_put_in_force(revision);
                    messages.extend(self.perform(now, node, run, actions, oracle));
                }
                Action::Announce { peers } => {
                    let mark = self.spreads[node].status(now);
                    let told = peers.iter().map(index);
                    messages.extend(told.map(|target| Message::Tell {
                        from: node,
                        target,
                        mark,
                    }));
                }
            }
        }
        messages
    }

    /// The store's newest revision.
    pub fn store_revision(&self) -> u64 {
        self.store_revision
    }

    /// The revision in force at a node.
    pub fn in_force(&self, node: usize) -> u64 {
        self.spreads[node].revision_in_force()
    }
}
