//! Tells other gateways of requests under which workers end, and hears of those that they have seen.

use std::net::SocketAddr;

use prost::Message;
use tansyhall_forwarding::{Audience, Fingerprint, OutgoingUpdate, WorkerId, WorkerKey};

use super::message::NewsMessage;
use super::record_barred;
use crate::datagrams::Datagram;
use crate::fleet::Fleet;
use crate::state::Shared;

/// A worker has ended while this gateway had it run these requests.
pub fn worker_ended(
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
    tell_due(shared);
}

/// Sends what is due.
pub fn tell_due(shared: &Shared) {
    let outgoing = shared.quarantine.lock().take_due_updates(shared.now());
    if outgoing.is_empty() {
        return;
    }
    let fleet = shared.fleet.read().clone();
    for message in &outgoing {
        tell(shared, &fleet, message);
    }
}

fn tell(shared: &Shared, fleet: &Fleet, message: &OutgoingUpdate) {
    let own = shared.settings.read().node.name.clone();
    let datagram = Datagram::quarantine(NewsMessage::from(&message.update)).encode_to_vec();
    let told: Vec<&str> = match message.audience {
        Audience::Listeners => fleet.plan.listeners().collect(),
        Audience::All => fleet.names().collect(),
    };
    let others = told.into_iter().filter(|name| *name != own);
    for address in others.filter_map(|name| fleet.load_address(name)) {
        shared.datagrams.send_encoded(address, &datagram);
    }
}

/// Takes in what another gateway tells.
pub fn take_in(shared: &Shared, sender: SocketAddr, message: NewsMessage) {
    let relays = {
        let name = &shared.settings.read().node.name;
        shared.fleet.read().plan.is_listener(name)
    };
    let news = message.into();
    let heard = shared
        .quarantine
        .lock()
        .apply_update(shared.now(), &news, relays);
    if !heard.reply.is_empty() {
        let reply = NewsMessage::from(&heard.reply);
        shared.datagrams.send(sender, &Datagram::quarantine(reply));
    }
    record_barred(shared, &heard.barred, "gateway");
    tell_due(shared);
}
