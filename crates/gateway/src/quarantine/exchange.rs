//! Sends other gateways updates about requests that crash workers, and applies the updates that they send.

use std::net::SocketAddr;

use prost::Message;
use tansyhall_forwarding::{Audience, Fingerprint, OutgoingUpdate, WorkerId, WorkerKey};

use super::message::QuarantineUpdateMessage;
use super::record_barred;
use crate::datagrams::Datagram;
use crate::fleet::Fleet;
use crate::state::Shared;

/// Records that a worker has ended while it may have been running these requests of this gateway.
pub fn record_worker_end(
    shared: &Shared,
    worker: &WorkerId,
    requests: impl IntoIterator<Item = Fingerprint>,
) {
    let now = shared.now();
    let worker = WorkerKey::of(worker);
    let barred = shared
        .quarantine
        .lock()
        .record_worker_end(now, worker, requests);
    record_barred(shared, &barred, "worker");
    send_due_updates(shared);
}

/// Sends the updates that are due.
pub fn send_due_updates(shared: &Shared) {
    let outgoing = shared.quarantine.lock().take_due_updates(shared.now());
    if outgoing.is_empty() {
        return;
    }
    let fleet = shared.fleet.read().clone();
    for message in &outgoing {
        send_update(shared, &fleet, message);
    }
}

fn send_update(shared: &Shared, fleet: &Fleet, message: &OutgoingUpdate) {
    let own_name = shared.settings.read().node.name.clone();
    let datagram =
        Datagram::quarantine(QuarantineUpdateMessage::from(&message.update)).encode_to_vec();
    let recipients: Vec<&str> = match message.audience {
        Audience::Listeners => fleet.plan.listeners().collect(),
        Audience::All => fleet.names().collect(),
    };
    let others = recipients.into_iter().filter(|name| *name != own_name);
    for address in others.filter_map(|name| fleet.load_address(name)) {
        shared.datagrams.send_encoded(address, &datagram);
    }
}

/// Applies an update from another gateway.
pub fn receive_update(shared: &Shared, sender: SocketAddr, message: QuarantineUpdateMessage) {
    let relays = {
        let name = &shared.settings.read().node.name;
        shared.fleet.read().plan.is_listener(name)
    };
    let update = message.into();
    let applied = shared
        .quarantine
        .lock()
        .apply_update(shared.now(), &update, relays);
    if !applied.reply.is_empty() {
        let reply = QuarantineUpdateMessage::from(&applied.reply);
        shared.datagrams.send(sender, &Datagram::quarantine(reply));
    }
    record_barred(shared, &applied.barred, "gateway");
    send_due_updates(shared);
}
