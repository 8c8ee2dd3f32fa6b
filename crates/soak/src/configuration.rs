//! Dissemination of configuration revisions between the nodes, with the state machine of the product. Operators change
//! the configuration in the store. The first reachable node follows the store, and the others pull from each other.

use std::collections::BTreeSet;
use std::net::{Ipv4Addr, SocketAddr};

use tansyhall_core::{Duration, Timestamp};
use tansyhall_dissemination::{
    Action, Dissemination, DisseminationSettings, MembershipView, Peer, PullOutcome, RevisionStatus,
};

use crate::cluster::NODE_COUNT;
use crate::oracle::Oracle;
use crate::run::Rule;

/// A pull by one incarnation of a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Pull {
    /// The node that pulls.
    pub node: usize,
    /// Incarnation of that node.
    pub incarnation: u64,
    /// Number of the pull. No two pulls of an episode have the same number.
    pub number: u64,
    /// The node that is asked.
    pub target: usize,
}

/// A message between two nodes, or between a node and the store.
#[derive(Debug, Clone, Copy)]
pub enum Message {
    /// A node asks another for a configuration newer than its own.
    PullRequest(Pull),
    /// The answer to a pull: the revision that the other node has in force.
    PullAnswer(Pull, RevisionStatus),
    /// A node announces the revision that it has in force to another.
    Announcement {
        /// The sender.
        from: usize,
        /// The receiver.
        target: usize,
        /// The revision that the sender has in force.
        status: RevisionStatus,
    },
    /// A node reads the store.
    ReadStore {
        /// The node.
        node: usize,
        /// Incarnation of the node.
        incarnation: u64,
    },
    /// The answer to a read: the newest revision in the store.
    StoreRead {
        /// The node.
        node: usize,
        /// Incarnation of the node.
        incarnation: u64,
        /// The newest revision.
        revision: u64,
    },
}

/// The recipient of a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Receiver {
    /// A node, in whichever incarnation is current.
    Node(usize),
    /// A node, if it is still in this incarnation.
    NodeIncarnation(usize, u64),
    /// The store.
    Store,
}

impl Message {
    /// Returns the recipient of the message.
    pub fn receiver(&self) -> Receiver {
        match *self {
            Message::PullRequest(pull) => Receiver::Node(pull.target),
            Message::PullAnswer(pull, _) => Receiver::NodeIncarnation(pull.node, pull.incarnation),
            Message::Announcement { target, .. } => Receiver::Node(target),
            Message::ReadStore { .. } => Receiver::Store,
            Message::StoreRead {
                node, incarnation, ..
            } => Receiver::NodeIncarnation(node, incarnation),
        }
    }
}

/// The configuration revisions of all nodes and of the store.
pub struct Configurations {
    nodes: Vec<Dissemination>,
    store_revision: u64,
    pulls: u64,
    probes: usize,
    outstanding: BTreeSet<Pull>,
    disabled_rule: Option<Rule>,
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

fn dissemination(node: usize, incarnation: u64) -> Dissemination {
    Dissemination::new(
        DisseminationSettings::default(),
        incarnation * NODE_COUNT as u64 + node as u64,
    )
}

impl Configurations {
    /// Creates nodes without a configuration, and a store that holds a first revision.
    pub fn new(disabled_rule: Option<Rule>) -> Self {
        Self {
            nodes: (0..NODE_COUNT).map(|node| dissemination(node, 1)).collect(),
            store_revision: 1,
            pulls: 0,
            probes: 0,
            outstanding: BTreeSet::new(),
            disabled_rule,
        }
    }

    /// Restarts a node, which loses its configuration.
    pub fn restart(&mut self, node: usize, incarnation: u64) {
        self.nodes[node] = dissemination(node, incarnation);
        self.outstanding.retain(|pull| pull.node != node);
    }

    /// Changes the configuration in the store, as an operator does.
    pub fn change_in_store(&mut self) {
        self.store_revision += 1;
    }

    /// Returns the store's answer to a read by a node.
    pub fn read_store(&self, node: usize, incarnation: u64) -> Message {
        let revision = self.store_revision;
        Message::StoreRead {
            node,
            incarnation,
            revision,
        }
    }

    /// Performs the periodic work of a node. `reachable` says which nodes answer. Returns the messages to send.
    pub fn tick(
        &mut self,
        now: Timestamp,
        node: usize,
        incarnation: u64,
        reachable: &[bool],
        oracle: &mut Oracle,
    ) -> Vec<Message> {
        let others = (0..NODE_COUNT).filter(|other| *other != node);
        let view = MembershipView {
            is_watcher: reachable.iter().position(|is_reachable| *is_reachable) == Some(node),
            is_settled: true,
            neighbours: others.filter(|other| reachable[*other]).map(peer).collect(),
        };
        let actions = self.nodes[node].tick(now, view);
        let mut messages = self.execute(now, node, incarnation, actions, oracle);
        if self.nodes[node].follows_store() {
            messages.push(Message::ReadStore { node, incarnation });
        }
        // Membership probes carry the revision in force to one other node at a time.
        self.probes += 1;
        let target = (node + 1 + self.probes % (NODE_COUNT - 1)) % NODE_COUNT;
        let status = self.nodes[node].status(now);
        messages.push(Message::Announcement {
            from: node,
            target,
            status,
        });
        messages
    }

    /// Handles a message at its recipient. Returns the messages to send.
    pub fn handle_message(
        &mut self,
        now: Timestamp,
        message: Message,
        incarnation: u64,
        oracle: &mut Oracle,
    ) -> Vec<Message> {
        match message {
            Message::PullRequest(pull) => {
                let status = self.nodes[pull.target].status(now);
                vec![Message::PullAnswer(pull, status)]
            }
            Message::PullAnswer(pull, status) => self.handle_pull_answer(now, pull, status, oracle),
            Message::Announcement {
                from,
                target,
                status,
            } => {
                let actions = self.nodes[target].handle_status(now, &peer(from), status);
                self.execute(now, target, incarnation, actions, oracle)
            }
            Message::StoreRead { node, revision, .. } => {
                let actions = self.nodes[node].handle_store_revision(now, revision);
                self.execute(now, node, incarnation, actions, oracle)
            }
            Message::ReadStore { .. } => Vec::new(),
        }
    }

    /// Ends a pull that was not answered within [`Self::pull_timeout`]. Returns the messages to send.
    pub fn time_out(&mut self, now: Timestamp, pull: Pull, oracle: &mut Oracle) -> Vec<Message> {
        if !self.outstanding.remove(&pull) {
            return Vec::new();
        }
        let outcome = PullOutcome::Failed;
        let actions = self.nodes[pull.node].handle_pull_outcome(now, &peer(pull.target), outcome);
        self.execute(now, pull.node, pull.incarnation, actions, oracle)
    }

    /// Returns how long a pull waits for its answer.
    pub fn pull_timeout() -> Duration {
        DisseminationSettings::default().pull_timeout
    }

    fn handle_pull_answer(
        &mut self,
        now: Timestamp,
        pull: Pull,
        status: RevisionStatus,
        oracle: &mut Oracle,
    ) -> Vec<Message> {
        if self.disabled_rule == Some(Rule::Monotonic) && status.revision > 0 {
            // Puts every revision that a peer answers in force, also one that is older than the current one.
            oracle.record_configuration_in_force(pull.node, pull.incarnation, status.revision);
        }
        if !self.outstanding.remove(&pull) {
            return Vec::new();
        }
        let outcome = PullOutcome::Held(status);
        let actions = self.nodes[pull.node].handle_pull_outcome(now, &peer(pull.target), outcome);
        self.execute(now, pull.node, pull.incarnation, actions, oracle)
    }

    fn execute(
        &mut self,
        now: Timestamp,
        node: usize,
        incarnation: u64,
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
                        incarnation,
                        number,
                        target,
                    };
                    self.outstanding.insert(pull);
                    messages.push(Message::PullRequest(pull));
                }
                Action::PutInForce => {
                    let revision = self.nodes[node].revision_held();
                    oracle.record_configuration_in_force(node, incarnation, revision);
                    let actions = self.nodes[node].handle_put_in_force(revision);
                    messages.extend(self.execute(now, node, incarnation, actions, oracle));
                }
                Action::Announce { peers } => {
                    let status = self.nodes[node].status(now);
                    let targets = peers.iter().map(index);
                    messages.extend(targets.map(|target| Message::Announcement {
                        from: node,
                        target,
                        status,
                    }));
                }
            }
        }
        messages
    }

    /// Returns the newest revision in the store.
    pub fn store_revision(&self) -> u64 {
        self.store_revision
    }

    /// Returns the revision in force at a node.
    pub fn revision_in_force(&self, node: usize) -> u64 {
        self.nodes[node].revision_in_force()
    }
}
