//! What the state machine does with messages, and how it makes them.

use std::net::SocketAddr;

use rand::seq::SliceRandom;
use tansyhall_core::{Incarnation, NodeId, Timestamp};

use crate::backends::BackendMark;
use crate::member::{MemberRecord, MemberState};
use crate::membership::{Action, Membership};
use crate::message::{Body, ConfigurationMark, Message, Sender};

/// Contacts asked for the member table at once.
const JOIN_FANOUT: usize = 3;

impl Membership {
    /// Takes a message that came from `from`.
    pub fn receive(&mut self, now: Timestamp, from: SocketAddr, message: Message) -> Vec<Action> {
        if !self.settings.fleet.admits(message.sender.fleet) {
            return vec![Action::ForeignSender { from }];
        }
        if message.sender.name == self.name {
            return Vec::new();
        }
        let is_neighbour = message.sender.zone == self.zone;
        self.note_sender(&message.sender, from);
        for digest in &message.digests {
            self.take_digest(digest);
        }
        if is_neighbour {
            for record in &message.updates {
                self.take_record(now, record);
            }
            for mark in &message.backends {
                self.take_backend_mark(mark);
            }
            self.greet_stranger(now, from, &message);
        }
        self.answer(now, from, &message, is_neighbour);
        std::mem::take(&mut self.actions)
    }

    fn note_sender(&mut self, sender: &Sender, from: SocketAddr) {
        if let Some(record) = self.table.get_mut(&sender.name) {
            if record.incarnation <= sender.incarnation {
                record.configuration_revision = sender.configuration.revision;
            }
        }
        let sender = sender.clone();
        self.actions.push(Action::Heard { sender, from });
    }

    fn take_record(&mut self, now: Timestamp, record: &MemberRecord) {
        if record.zone != self.zone {
            return;
        }
        if record.name == self.name {
            self.take_own_record(now, record);
            return;
        }
        self.apply(now, record);
    }

    /// Takes a mark of a back end, and passes it on.
    pub(crate) fn take_backend_mark(&mut self, mark: &BackendMark) {
        if self.backends.offer(mark, self.settings.max_backend_marks) {
            self.backend_broadcasts.push(mark.name.clone());
            self.notice_due = true;
            self.actions.push(Action::BackendChanged(mark.clone()));
        }
    }

    /// Refutes what is wrong about this node; accepts that its machine is to be taken away.
    fn take_own_record(&mut self, now: Timestamp, record: &MemberRecord) {
        let own = self.own().clone();
        if record.incarnation == own.incarnation && record.state == MemberState::Leaving {
            if own.state == MemberState::Alive {
                self.apply(now, record);
                self.actions.push(Action::AskedToLeave);
            }
            return;
        }
        if !record.supersedes(&own) {
            return;
        }
        self.statistics.refutations += 1;
        let incarnation = Incarnation(record.incarnation.0.saturating_add(1));
        self.apply(now, &MemberRecord { incarnation, ..own });
    }

    /// A neighbour that is not in the table, or an incarnation of it that is not, is asked for its
    /// record; it answers with its whole table.
    fn greet_stranger(&mut self, now: Timestamp, from: SocketAddr, message: &Message) {
        let asks_already = matches!(message.body, Body::Table | Body::Join);
        let known = self.table.get(&message.sender.name);
        let is_known = known.is_some_and(|it| it.incarnation >= message.sender.incarnation);
        if !is_known && !asks_already {
            self.send_sync(now, from, None);
        }
    }

    fn answer(&mut self, now: Timestamp, from: SocketAddr, message: &Message, is_neighbour: bool) {
        let sender = &message.sender.name;
        match message.body {
            Body::Ping { sequence } => {
                self.send_to(now, from, Some(sender), Body::Ack { sequence })
            }
            Body::Ack { sequence } => self.take_ack(now, from, sender, sequence),
            Body::PingRequest { sequence, target } => self.probe_for(now, from, sequence, target),
            Body::Join if is_neighbour => self.send_table(now, from),
            Body::Sync { table_hash } if is_neighbour => {
                if table_hash != self.state_hash() {
                    self.send_table(now, from);
                }
            }
            Body::Join | Body::Sync { .. } => self.send_known_digests(now, from),
            Body::Table if is_neighbour => self.joined = true,
            Body::Table | Body::Notice => {}
        }
    }

    /// Whether a member of another name than the sender's is believed to be at an address.
    fn is_address_of_another(&self, address: SocketAddr, sender: &NodeId) -> bool {
        let mut reachable = self.table.reachable();
        reachable.any(|it| it.addresses.peers == address && it.name != *sender)
    }

    /// Takes an answer to a probe. One that comes from the address of a member, and not in its name, is
    /// none: whoever answers there may have got a dead member's address.
    fn take_ack(&mut self, now: Timestamp, from: SocketAddr, sender: &NodeId, sequence: u32) {
        if !self.prober.is_answered_by(sender, sequence) && self.is_address_of_another(from, sender)
        {
            return;
        }
        self.prober.answer(sequence);
        if let Some((requester, sequence)) = self.prober.relayed(sequence) {
            self.send_to(now, requester, None, Body::Ack { sequence });
        }
    }

    fn probe_for(&mut self, now: Timestamp, from: SocketAddr, sequence: u32, target: SocketAddr) {
        let expires_at = now + self.settings.probe_period;
        let capacity = self.settings.max_relayed_probes;
        let own = self.prober.relay(now, from, sequence, expires_at, capacity);
        if let Some(sequence) = own {
            self.send_to(now, target, None, Body::Ping { sequence });
        }
    }

    /// Sends the whole table in as many messages as it takes.
    fn send_table(&mut self, now: Timestamp, to: SocketAddr) {
        let records: Vec<MemberRecord> = self.table.records().cloned().collect();
        let max_updates = self.settings.max_updates;
        for page in records.chunks(max_updates) {
            let mut message = self.empty_message(now, Body::Table);
            message.updates = page.to_vec();
            self.actions.push(Action::Send { to, message });
        }
        let marks: Vec<BackendMark> = self.backends.iter().cloned().collect();
        for page in marks.chunks(max_updates) {
            let mut message = self.empty_message(now, Body::Notice);
            message.backends = page.to_vec();
            self.actions.push(Action::Send { to, message });
        }
        self.send_known_digests(now, to);
    }

    /// Asks for the table if it differs, and tells of this node itself.
    pub(crate) fn send_sync(&mut self, now: Timestamp, to: SocketAddr, name: Option<&NodeId>) {
        let table_hash = self.state_hash();
        self.send_with_own(now, to, name, Body::Sync { table_hash });
    }

    /// Asks contacts for the table until one has answered.
    pub(crate) fn join(&mut self, now: Timestamp) {
        if self.joined || now < self.timers.join {
            return;
        }
        self.timers.join = now + self.settings.join_period;
        let machines = self.machines.values().filter(|it| it.zone == self.zone);
        let mut contacts: Vec<SocketAddr> = self.contacts.clone();
        contacts.extend(machines.map(|machine| machine.peers));
        contacts.retain(|address| *address != self.own().addresses.peers);
        contacts.shuffle(&mut self.rng);
        for contact in contacts.into_iter().take(JOIN_FANOUT) {
            self.send_with_own(now, contact, None, Body::Join);
        }
    }

    fn send_with_own(&mut self, now: Timestamp, to: SocketAddr, name: Option<&NodeId>, body: Body) {
        let mut message = self.message(now, body, name);
        let own = self.own().clone();
        if !message.updates.contains(&own) {
            message.updates.push(own);
        }
        self.actions.push(Action::Send { to, message });
    }

    pub(crate) fn send(&mut self, now: Timestamp, to: &MemberRecord, body: Body) {
        self.send_to(now, to.addresses.peers, Some(&to.name), body);
    }

    fn send_to(&mut self, now: Timestamp, to: SocketAddr, name: Option<&NodeId>, body: Body) {
        let message = self.message(now, body, name);
        self.actions.push(Action::Send { to, message });
    }

    /// A message with pending changes. If others hold something against its receiver, that goes
    /// first, so that the receiver can refute it.
    pub(crate) fn message(&mut self, now: Timestamp, body: Body, to: Option<&NodeId>) -> Message {
        let limit = self.settings.transmissions(self.table.reachable().count());
        let held_against = to
            .and_then(|name| self.table.get(name))
            .filter(|record| record.state != MemberState::Alive)
            .cloned();
        let room = self.settings.max_updates - usize::from(held_against.is_some());
        let carried = self.broadcasts.take(room, limit);
        let carried = carried.iter().filter_map(|name| self.table.get(name));
        let mut updates: Vec<MemberRecord> = held_against.into_iter().collect();
        for record in carried {
            if !updates.contains(record) {
                updates.push(record.clone());
            }
        }
        let digests = self
            .digest_broadcasts
            .take(self.settings.max_digests, limit);
        let digests = digests.iter().filter_map(|zone| self.digests.get(zone));
        let backends = self
            .backend_broadcasts
            .take(self.settings.max_updates, limit);
        let backends = backends.iter().filter_map(|name| self.backends.get(name));
        Message {
            sender: self.sender(now),
            body,
            updates,
            digests: digests.cloned().collect(),
            backends: backends.cloned().collect(),
        }
    }

    /// A message that carries nothing yet.
    pub(crate) fn empty_message(&self, now: Timestamp, body: Body) -> Message {
        Message {
            sender: self.sender(now),
            body,
            updates: Vec::new(),
            digests: Vec::new(),
            backends: Vec::new(),
        }
    }

    /// A hash of what members of a zone should agree on.
    fn state_hash(&self) -> u64 {
        self.table.hash() ^ self.backends.hash()
    }

    pub(crate) fn sender(&self, now: Timestamp) -> Sender {
        let own = self.own();
        let elapsed = now.since(self.configuration_at);
        Sender {
            fleet: self.settings.fleet,
            name: own.name.clone(),
            zone: own.zone.clone(),
            incarnation: own.incarnation,
            configuration: ConfigurationMark {
                revision: self.configuration.revision,
                confirmation_age: self.configuration.confirmation_age + elapsed,
            },
        }
    }

    /// Up to `count` reachable members other than this node and `except`, drawn at random.
    pub(crate) fn random_others(&mut self, count: usize, except: &NodeId) -> Vec<MemberRecord> {
        let others = self.table.reachable();
        let others = others.filter(|it| it.name != self.name && it.name != *except);
        let mut others: Vec<&MemberRecord> = others.collect();
        let (chosen, _) = others.partial_shuffle(&mut self.rng, count);
        chosen.iter().map(|record| (*record).clone()).collect()
    }
}
