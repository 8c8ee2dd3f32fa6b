//! One node's part in the division of every limit: it holds shares of each group, and owns the
//! groups that others believe it to own. Owning needs no election: a node grants only what was
//! lent to it, so that two nodes may own a group at once without harm.

use std::collections::BTreeMap;
use std::sync::Arc;

use tansyhall_core::hash::rendezvous_weight;
use tansyhall_core::{NodeId, Timestamp};

use crate::division::Division;
use crate::holder::HeldGroup;
use crate::key::{Amount, GroupId, LimitKey, GROUPS};
use crate::message::{Ask, Grant, Message};
use crate::owner::OwnedGroup;
use crate::settings::ShareSettings;

/// What a node knows of the fleet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct View {
    /// Nodes believed alive, this one included. Wrong beliefs cost messages, never safety.
    pub live: Vec<NodeId>,
    /// Nodes of the fleet, alive or not. Safety rests on it: it must never be less than the nodes
    /// that run.
    pub fleet_size: u64,
}

/// What happened.
#[derive(Debug, Clone)]
pub enum Event {
    /// What is known of the fleet.
    View(View),
    /// Every limit in force.
    Limits(BTreeMap<LimitKey, Amount>),
    /// This node could use this much of a limit.
    Want {
        /// The limit.
        key: LimitKey,
        /// The amount.
        amount: Amount,
    },
    /// A message arrived.
    Received {
        /// Its sender.
        from: NodeId,
        /// The message.
        message: Message,
    },
    /// Time passed.
    Tick,
}

/// What to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Send a message; it may be lost.
    Send {
        /// The receiver, never this node itself.
        to: NodeId,
        /// The message.
        message: Message,
    },
}

/// One node's part.
#[derive(Debug, Clone)]
pub struct ShareNode {
    settings: ShareSettings,
    name: NodeId,
    incarnation: u64,
    view: View,
    /// A smaller size of the fleet, in force once the shares of those that left have ended.
    shrinks: Option<(u64, Timestamp)>,
    limits: BTreeMap<LimitKey, Amount>,
    owners: Vec<NodeId>,
    held: Vec<HeldGroup>,
    owned: Vec<OwnedGroup>,
}

impl ShareNode {
    /// A node that starts. In a fleet of one it uses its home shares at once; else it waits until
    /// what its earlier run may have lent has ended.
    pub fn new(
        settings: ShareSettings,
        name: NodeId,
        incarnation: u64,
        fleet_size: u64,
        now: Timestamp,
    ) -> Self {
        let home_from = if fleet_size > 1 {
            now + settings.loan + settings.margin
        } else {
            now
        };
        let held = GroupId::all().map(|group| HeldGroup::new(settings, group, home_from));
        let owned = GroupId::all().map(|_| OwnedGroup::new(settings, Arc::default()));
        Self {
            settings,
            incarnation,
            view: View {
                live: vec![name.clone()],
                fleet_size,
            },
            shrinks: None,
            limits: BTreeMap::new(),
            owners: vec![name.clone(); GROUPS as usize],
            held: held.collect(),
            owned: owned.collect(),
            name,
        }
    }

    /// The share of a limit that this node may use now.
    pub fn usable(&self, now: Timestamp, key: LimitKey) -> Amount {
        self.held[index(key.group())].usable(now, key)
    }

    /// Takes one event.
    pub fn step(&mut self, now: Timestamp, event: Event) -> Vec<Action> {
        match event {
            Event::View(view) => self.set_view(now, view),
            Event::Limits(limits) => {
                self.limits = limits;
                self.divide();
            }
            Event::Want { key, amount } => self.held[index(key.group())].want(now, key, amount),
            Event::Received { from, message } => return self.receive(now, &from, &message),
            Event::Tick => return self.tick(now),
        }
        Vec::new()
    }

    fn set_view(&mut self, now: Timestamp, view: View) {
        let grown = view.fleet_size > self.view.fleet_size;
        let wait = self.settings.loan + self.settings.margin;
        self.shrinks = match self.shrinks {
            _ if view.fleet_size >= self.view.fleet_size => None,
            Some((size, at)) if size == view.fleet_size => Some((size, at)),
            _ => Some((view.fleet_size, now + wait)),
        };
        self.view.live = view.live;
        self.owners = GroupId::all().map(|group| self.owner_of(group)).collect();
        if grown {
            self.view.fleet_size = view.fleet_size;
            self.divide();
        }
    }

    fn owner_of(&self, group: GroupId) -> NodeId {
        let key = group.0.to_le_bytes();
        let weight = |node: &&NodeId| (rendezvous_weight(&key, (*node).as_ref()), (*node).clone());
        let first = self.view.live.iter().max_by_key(weight);
        first.unwrap_or(&self.name).clone()
    }

    fn divide(&mut self) {
        for group in GroupId::all() {
            let limits = self.limits.iter().filter(|(key, _)| key.group() == group);
            let limits = limits.map(|(key, limit)| (*key, *limit));
            let division = Arc::new(Division::new(limits, self.view.fleet_size));
            self.held[index(group)].set_division(Arc::clone(&division));
            self.owned[index(group)].set_division(division);
        }
    }

    fn tick(&mut self, now: Timestamp) -> Vec<Action> {
        if let Some((size, at)) = self.shrinks {
            if now >= at {
                self.shrinks = None;
                self.view.fleet_size = size;
                if size <= 1 {
                    self.reclaim();
                }
                self.divide();
            }
        }
        if self.view.fleet_size <= 1 {
            return Vec::new();
        }
        let asks = GroupId::all().filter_map(|group| self.ask(now, group));
        asks.collect()
    }

    /// Ends every loan and grant. The fleet has been this node alone for longer than any of them.
    fn reclaim(&mut self) {
        for held in &mut self.held {
            held.reclaim();
        }
        for owned in &mut self.owned {
            *owned = OwnedGroup::new(self.settings, Arc::default());
        }
    }

    fn ask(&mut self, now: Timestamp, group: GroupId) -> Option<Action> {
        let owner = self.owners[index(group)].clone();
        let ask = self.held[index(group)].ask(now, self.incarnation, &owner)?;
        if owner != self.name {
            let message = Message::Ask(ask);
            return Some(Action::Send { to: owner, message });
        }
        let grant = self.answer(now, &owner, &ask);
        self.held[index(group)].take_grant(now, &owner, &grant);
        None
    }

    fn answer(&mut self, now: Timestamp, from: &NodeId, ask: &Ask) -> Grant {
        let owned = &mut self.owned[index(GroupId(ask.group))];
        owned.answer(now, self.incarnation, from, ask)
    }

    fn receive(&mut self, now: Timestamp, from: &NodeId, message: &Message) -> Vec<Action> {
        match message {
            Message::Ask(ask) if ask.group < GROUPS => {
                let message = Message::Grant(self.answer(now, from, ask));
                let to = from.clone();
                vec![Action::Send { to, message }]
            }
            Message::Grant(grant) if grant.group < GROUPS => {
                if grant.asker_incarnation == self.incarnation {
                    let held = &mut self.held[index(GroupId(grant.group))];
                    held.take_grant(now, from, grant);
                }
                Vec::new()
            }
            Message::Ask(_) | Message::Grant(_) => Vec::new(),
        }
    }
}

const fn index(group: GroupId) -> usize {
    group.0 as usize
}
