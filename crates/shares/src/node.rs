//! One node's part in the protocol: it holds shares of the limits of every group, and acts as the
//! owner of the groups for which other nodes send it requests. Owners need not be elected: a node
//! grants only what was lent to it, so it is harmless if two nodes own a group at the same time.

use std::collections::BTreeMap;
use std::sync::Arc;

use tansyhall_core::hash::rendezvous_weight;
use tansyhall_core::{NodeId, Timestamp};

use crate::division::Division;
use crate::holder::HeldGroup;
use crate::key::{Amount, GroupId, LimitKey, GROUP_COUNT};
use crate::message::{Grant, Message, ShareRequest};
use crate::owner::OwnedGroup;
use crate::settings::ShareSettings;

/// A node's knowledge of the fleet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FleetView {
    /// Nodes considered alive, including this one. An incorrect list costs messages, but never safety.
    pub live: Vec<NodeId>,
    /// Number of nodes in the fleet, alive or not. Safety depends on this: it must never be less than
    /// the number of running nodes.
    pub fleet_size: u64,
}

/// Input to [`ShareNode::step`].
#[derive(Debug, Clone)]
pub enum Event {
    /// The node's knowledge of the fleet.
    View(FleetView),
    /// All limits in force.
    Limits(BTreeMap<LimitKey, Amount>),
    /// The node could use this amount of a limit.
    Demand {
        /// The limit.
        key: LimitKey,
        /// The amount.
        amount: Amount,
    },
    /// A message arrived.
    Received {
        /// Sender of the message.
        from: NodeId,
        /// The message.
        message: Message,
    },
    /// Time passed.
    Tick,
}

/// What the caller of [`ShareNode::step`] must do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Send a message. The message may be lost.
    Send {
        /// Receiver of the message; never this node itself.
        to: NodeId,
        /// The message.
        message: Message,
    },
}

/// One node's part in the protocol.
#[derive(Debug, Clone)]
pub struct ShareNode {
    settings: ShareSettings,
    name: NodeId,
    incarnation: u64,
    view: FleetView,
    /// A smaller fleet size and the time from which it applies: by then the loans and grants of the
    /// nodes that left have ended.
    pending_shrink: Option<(u64, Timestamp)>,
    limits: BTreeMap<LimitKey, Amount>,
    owners: Vec<NodeId>,
    held: Vec<HeldGroup>,
    owned: Vec<OwnedGroup>,
}

impl ShareNode {
    /// Creates the state of a node that starts. In a fleet of one node it uses its base shares
    /// immediately. Otherwise it waits until the loans that its previous incarnation may have given
    /// have ended.
    pub fn new(
        settings: ShareSettings,
        name: NodeId,
        incarnation: u64,
        fleet_size: u64,
        now: Timestamp,
    ) -> Self {
        let base_shares_from = if fleet_size > 1 {
            now + settings.loan_ttl + settings.clock_drift_margin
        } else {
            now
        };
        let held = GroupId::all().map(|group| HeldGroup::new(settings, group, base_shares_from));
        let owned = GroupId::all().map(|_| OwnedGroup::new(settings, Arc::default()));
        Self {
            settings,
            incarnation,
            view: FleetView {
                live: vec![name.clone()],
                fleet_size,
            },
            pending_shrink: None,
            limits: BTreeMap::new(),
            owners: vec![name.clone(); GROUP_COUNT as usize],
            held: held.collect(),
            owned: owned.collect(),
            name,
        }
    }

    /// Returns the share of a limit that this node may use now.
    pub fn usable(&self, now: Timestamp, key: LimitKey) -> Amount {
        self.held[group_index(key.group())].usable(now, key)
    }

    /// Processes an event and returns the messages to send.
    pub fn step(&mut self, now: Timestamp, event: Event) -> Vec<Action> {
        match event {
            Event::View(view) => self.set_view(now, view),
            Event::Limits(limits) => {
                self.limits = limits;
                self.divide_limits();
            }
            Event::Demand { key, amount } => {
                self.held[group_index(key.group())].record_demand(now, key, amount)
            }
            Event::Received { from, message } => return self.receive(now, &from, &message),
            Event::Tick => return self.tick(now),
        }
        Vec::new()
    }

    fn set_view(&mut self, now: Timestamp, view: FleetView) {
        let has_grown = view.fleet_size > self.view.fleet_size;
        let wait = self.settings.loan_ttl + self.settings.clock_drift_margin;
        self.pending_shrink = match self.pending_shrink {
            _ if view.fleet_size >= self.view.fleet_size => None,
            Some((size, at)) if size == view.fleet_size => Some((size, at)),
            _ => Some((view.fleet_size, now + wait)),
        };
        self.view.live = view.live;
        self.owners = GroupId::all().map(|group| self.owner_of(group)).collect();
        if has_grown {
            self.view.fleet_size = view.fleet_size;
            self.divide_limits();
        }
    }

    fn owner_of(&self, group: GroupId) -> NodeId {
        let key = group.0.to_le_bytes();
        let weight = |node: &&NodeId| (rendezvous_weight(&key, (*node).as_ref()), (*node).clone());
        let owner = self.view.live.iter().max_by_key(weight);
        owner.unwrap_or(&self.name).clone()
    }

    fn divide_limits(&mut self) {
        for group in GroupId::all() {
            let limits = self.limits.iter().filter(|(key, _)| key.group() == group);
            let limits = limits.map(|(key, limit)| (*key, *limit));
            let division = Arc::new(Division::new(limits, self.view.fleet_size));
            self.held[group_index(group)].set_division(Arc::clone(&division));
            self.owned[group_index(group)].set_division(division);
        }
    }

    fn tick(&mut self, now: Timestamp) -> Vec<Action> {
        if let Some((size, at)) = self.pending_shrink {
            if now >= at {
                self.pending_shrink = None;
                self.view.fleet_size = size;
                if size <= 1 {
                    self.reclaim();
                }
                self.divide_limits();
            }
        }
        if self.view.fleet_size <= 1 {
            return Vec::new();
        }
        let requests = GroupId::all().filter_map(|group| self.request_shares(now, group));
        requests.collect()
    }

    /// Ends all loans and grants. This node has been the only one of the fleet for longer than any of
    /// them lasts.
    fn reclaim(&mut self) {
        for held in &mut self.held {
            held.reclaim();
        }
        for owned in &mut self.owned {
            *owned = OwnedGroup::new(self.settings, Arc::default());
        }
    }

    fn request_shares(&mut self, now: Timestamp, group: GroupId) -> Option<Action> {
        let owner = self.owners[group_index(group)].clone();
        let request = self.held[group_index(group)].next_request(now, self.incarnation, &owner)?;
        if owner != self.name {
            let message = Message::Request(request);
            return Some(Action::Send { to: owner, message });
        }
        let grant = self.answer(now, &owner, &request);
        self.held[group_index(group)].apply_grant(now, &owner, &grant);
        None
    }

    fn answer(&mut self, now: Timestamp, from: &NodeId, request: &ShareRequest) -> Grant {
        let owned = &mut self.owned[group_index(GroupId(request.group))];
        owned.answer(now, self.incarnation, from, request)
    }

    fn receive(&mut self, now: Timestamp, from: &NodeId, message: &Message) -> Vec<Action> {
        match message {
            Message::Request(request) if request.group < GROUP_COUNT => {
                let message = Message::Grant(self.answer(now, from, request));
                let to = from.clone();
                vec![Action::Send { to, message }]
            }
            Message::Grant(grant) if grant.group < GROUP_COUNT => {
                if grant.asker_incarnation == self.incarnation {
                    let held = &mut self.held[group_index(GroupId(grant.group))];
                    held.apply_grant(now, from, grant);
                }
                Vec::new()
            }
            Message::Request(_) | Message::Grant(_) => Vec::new(),
        }
    }
}

const fn group_index(group: GroupId) -> usize {
    group.0 as usize
}
