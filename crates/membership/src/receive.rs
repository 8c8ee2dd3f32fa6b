//! Handling of received messages, and creation of messages.

use std::net::SocketAddr;

use rand::seq::SliceRandom;
use tansyhall_core::{Incarnation, NodeId, Timestamp};

use crate::backends::BackendMark;
use crate::member::{MemberRecord, MemberState};
use crate::membership::{Action, Membership};
use crate::message::{Body, ConfigurationStatus, Message, Sender};

/// The number of contacts that a join request is sent to at once.
const JOIN_FANOUT: usize = 3;

impl Membership {
    /// Handles a message that was received from the address `from`.
    pub fn receive(&mut self, now: Timestamp, from: SocketAddr, message: Message) -> Vec<Action> {
        if !self.settings.fleet.admits(message.sender.fleet) {
            return vec![Action::ForeignSender { from }];
        }
        if message.sender.name == self.name {
            return Vec::new();
        }
        let is_same_zone = message.sender.zone == self.zone;
        self.record_sender(&message.sender, from);
        for digest in &message.digests {
            self.handle_digest(digest);
        }
        if is_same_zone {
            for record in &message.updates {
                self.handle_record(now, record);
            }
            for mark in &message.backends {
                self.handle_backend_mark(mark);
            }
            self.sync_with_unknown_sender(now, from, &message);
        }
        self.handle_body(now, from, &message, is_same_zone);
        std::mem::take(&mut self.actions)
    }

    fn record_sender(&mut self, sender: &Sender, from: SocketAddr) {
        if let Some(record) = self.table.get_mut(&sender.name) {
            if record.incarnation <= sender.incarnation {
                record.configuration_revision = sender.configuration.revision;
            }
        }
        let sender = sender.clone();
        self.actions.push(Action::MessageReceived { sender, from });
    }

    fn handle_record(&mut self, now: Timestamp, record: &MemberRecord) {
        if record.zone != self.zone {
            return;
        }
        if record.name == self.name {
            self.handle_own_record(now, record);
            return;
        }
        self.apply(now, record);
    }

    /// Stores a mark of a back end and queues it for propagation if it is newer than the stored
    /// one.
    pub(crate) fn handle_backend_mark(&mut self, mark: &BackendMark) {
        if self
            .backends
            .insert_if_newer(mark, self.settings.max_backend_marks)
        {
            self.backend_broadcasts.push(mark.name.clone());
            self.is_notice_due = true;
            self.actions.push(Action::BackendChanged(mark.clone()));
        }
    }

    /// Refutes a false record of this node with a larger incarnation. A leaving record of the
    /// current incarnation is accepted: this node's machine is about to be withdrawn.
    fn handle_own_record(&mut self, now: Timestamp, record: &MemberRecord) {
        let own = self.own_record().clone();
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

    /// Sends a sync request to a sender of this zone whose incarnation is not in the table yet, in
    /// order to obtain its record. The sender answers with its whole table.
    fn sync_with_unknown_sender(&mut self, now: Timestamp, from: SocketAddr, message: &Message) {
        let is_table_exchange = matches!(message.body, Body::Table | Body::Join);
        let known = self.table.get(&message.sender.name);
        let is_known = known.is_some_and(|it| it.incarnation >= message.sender.incarnation);
        if !is_known && !is_table_exchange {
            self.send_sync(now, from, None);
        }
    }

    fn handle_body(
        &mut self,
        now: Timestamp,
        from: SocketAddr,
        message: &Message,
        is_same_zone: bool,
    ) {
        let sender = &message.sender.name;
        match message.body {
            Body::Ping { sequence } => {
                self.send_to(now, from, Some(sender), Body::Ack { sequence })
            }
            Body::Ack { sequence } => self.handle_ack(now, from, sender, sequence),
            Body::PingRequest { sequence, target } => self.relay_probe(now, from, sequence, target),
            Body::Join if is_same_zone => self.send_table(now, from),
            Body::Sync { table_hash } if is_same_zone => {
                if table_hash != self.state_hash() {
                    self.send_table(now, from);
                }
            }
            Body::Join | Body::Sync { .. } => self.send_known_digests(now, from),
            Body::Table if is_same_zone => self.has_joined = true,
            Body::Table | Body::Notice => {}
        }
    }

    /// Returns whether the table has a reachable member at this address whose name is not the
    /// sender's.
    fn is_address_of_other_member(&self, address: SocketAddr, sender: &NodeId) -> bool {
        let mut reachable = self.table.reachable();
        reachable.any(|it| it.addresses.peers == address && it.name != *sender)
    }

    /// Handles an answer to a probe. An answer from the address of a member that names another
    /// sender is ignored: that sender may have been assigned the address of a dead member.
    fn handle_ack(&mut self, now: Timestamp, from: SocketAddr, sender: &NodeId, sequence: u32) {
        if !self.prober.is_answered_by(sender, sequence)
            && self.is_address_of_other_member(from, sender)
        {
            return;
        }
        self.prober.complete(sequence);
        if let Some((requester, sequence)) = self.prober.take_relayed(sequence) {
            self.send_to(now, requester, None, Body::Ack { sequence });
        }
    }

    fn relay_probe(&mut self, now: Timestamp, from: SocketAddr, sequence: u32, target: SocketAddr) {
        let expires_at = now + self.settings.probe_period;
        let capacity = self.settings.max_relayed_probes;
        let own_sequence = self
            .prober
            .register_relayed(now, from, sequence, expires_at, capacity);
        if let Some(sequence) = own_sequence {
            self.send_to(now, target, None, Body::Ping { sequence });
        }
    }

    /// Sends the whole member table, all marks of back ends and all known digests, in as many
    /// messages as necessary.
    fn send_table(&mut self, now: Timestamp, to: SocketAddr) {
        let records: Vec<MemberRecord> = self.table.records().cloned().collect();
        let max_updates = self.settings.max_updates;
        for page in records.chunks(max_updates) {
            let mut message = self.build_empty_message(now, Body::Table);
            message.updates = page.to_vec();
            self.actions.push(Action::Send { to, message });
        }
        let marks: Vec<BackendMark> = self.backends.iter().cloned().collect();
        for page in marks.chunks(max_updates) {
            let mut message = self.build_empty_message(now, Body::Notice);
            message.backends = page.to_vec();
            self.actions.push(Action::Send { to, message });
        }
        self.send_known_digests(now, to);
    }

    /// Requests the table if it differs from this node's, and includes this node's own record.
    pub(crate) fn send_sync(&mut self, now: Timestamp, to: SocketAddr, name: Option<&NodeId>) {
        let table_hash = self.state_hash();
        self.send_with_own_record(now, to, name, Body::Sync { table_hash });
    }

    /// Requests the table from contacts until one of them has answered.
    pub(crate) fn join(&mut self, now: Timestamp) {
        if self.has_joined || now < self.timers.join {
            return;
        }
        self.timers.join = now + self.settings.join_period;
        let machines = self.machines.values().filter(|it| it.zone == self.zone);
        let mut contacts: Vec<SocketAddr> = self.contacts.clone();
        contacts.extend(machines.map(|machine| machine.peers));
        contacts.retain(|address| *address != self.own_record().addresses.peers);
        contacts.shuffle(&mut self.rng);
        for contact in contacts.into_iter().take(JOIN_FANOUT) {
            self.send_with_own_record(now, contact, None, Body::Join);
        }
    }

    fn send_with_own_record(
        &mut self,
        now: Timestamp,
        to: SocketAddr,
        name: Option<&NodeId>,
        body: Body,
    ) {
        let mut message = self.build_message(now, body, name);
        let own = self.own_record().clone();
        if !message.updates.contains(&own) {
            message.updates.push(own);
        }
        self.actions.push(Action::Send { to, message });
    }

    pub(crate) fn send(&mut self, now: Timestamp, to: &MemberRecord, body: Body) {
        self.send_to(now, to.addresses.peers, Some(&to.name), body);
    }

    fn send_to(&mut self, now: Timestamp, to: SocketAddr, name: Option<&NodeId>, body: Body) {
        let message = self.build_message(now, body, name);
        self.actions.push(Action::Send { to, message });
    }

    /// Returns a message with pending changes. If the table does not have the receiver as alive,
    /// the receiver's record comes first, so that the receiver can refute it.
    pub(crate) fn build_message(
        &mut self,
        now: Timestamp,
        body: Body,
        to: Option<&NodeId>,
    ) -> Message {
        let max_transmissions = self
            .settings
            .max_transmissions(self.table.reachable().count());
        let receiver_record = to
            .and_then(|name| self.table.get(name))
            .filter(|record| record.state != MemberState::Alive)
            .cloned();
        let remaining_updates = self.settings.max_updates - usize::from(receiver_record.is_some());
        let pending = self
            .broadcasts
            .next_batch(remaining_updates, max_transmissions);
        let pending = pending.iter().filter_map(|name| self.table.get(name));
        let mut updates: Vec<MemberRecord> = receiver_record.into_iter().collect();
        for record in pending {
            if !updates.contains(record) {
                updates.push(record.clone());
            }
        }
        let digests = self
            .digest_broadcasts
            .next_batch(self.settings.max_digests, max_transmissions);
        let digests = digests.iter().filter_map(|zone| self.digests.get(zone));
        let backends = self
            .backend_broadcasts
            .next_batch(self.settings.max_updates, max_transmissions);
        let backends = backends.iter().filter_map(|name| self.backends.get(name));
        Message {
            sender: self.own_sender(now),
            body,
            updates,
            digests: digests.cloned().collect(),
            backends: backends.cloned().collect(),
        }
    }

    /// Returns a message without changes and digests.
    pub(crate) fn build_empty_message(&self, now: Timestamp, body: Body) -> Message {
        Message {
            sender: self.own_sender(now),
            body,
            updates: Vec::new(),
            digests: Vec::new(),
            backends: Vec::new(),
        }
    }

    /// Returns a hash of the state on which all members of a zone should agree.
    fn state_hash(&self) -> u64 {
        self.table.hash() ^ self.backends.hash()
    }

    pub(crate) fn own_sender(&self, now: Timestamp) -> Sender {
        let own = self.own_record();
        let elapsed = now.since(self.configuration_set_at);
        Sender {
            fleet: self.settings.fleet,
            name: own.name.clone(),
            zone: own.zone.clone(),
            incarnation: own.incarnation,
            configuration: ConfigurationStatus {
                revision: self.configuration.revision,
                confirmation_age: self.configuration.confirmation_age + elapsed,
            },
        }
    }

    /// Returns up to `count` reachable members other than this node and `except`, chosen at random.
    pub(crate) fn random_members(&mut self, count: usize, except: &NodeId) -> Vec<MemberRecord> {
        let others = self.table.reachable();
        let others = others.filter(|it| it.name != self.name && it.name != *except);
        let mut others: Vec<&MemberRecord> = others.collect();
        let (chosen, _) = others.partial_shuffle(&mut self.rng, count);
        chosen.iter().map(|record| (*record).clone()).collect()
    }
}
