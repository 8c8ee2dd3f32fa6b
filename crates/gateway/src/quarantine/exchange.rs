//! Sends other gateways updates about requests and prompt parts that crash workers, and applies the updates that they
//! send.

use std::net::SocketAddr;

use prost::Message;
use tansyhall_forwarding::{
    AppliedUpdate, Audience, EndedRequests, OutgoingUpdate, QuarantineUpdate, WorkerId, WorkerKey,
};

use super::message::QuarantineUpdateMessage;
use super::{record_barred, Subject};
use crate::datagrams::Datagram;
use crate::fleet::Fleet;
use crate::state::Shared;

/// Records that a worker has ended while it may have been running these requests of this gateway.
pub fn record_worker_end(shared: &Shared, worker: &WorkerId, ended: EndedRequests) {
    let now = shared.now();
    let worker = WorkerKey::of(worker);
    let mut quarantine = shared.quarantine.lock();
    let barred = quarantine.record_worker_end(now, worker, ended.requests());
    drop(quarantine);
    record_barred(shared, Subject::Request, &barred, "worker");
    let mut part_quarantine = shared.part_quarantine.lock();
    let barred = part_quarantine.record_worker_end(now, worker, ended.parts());
    for (request, parts) in ended.parts_by_request {
        part_quarantine.record_parts_of_request(request, parts);
    }
    drop(part_quarantine);
    record_barred(shared, Subject::PromptPart, &barred, "worker");
    send_due_updates(shared);
}

/// Sends the updates that are due.
pub fn send_due_updates(shared: &Shared) {
    let now = shared.now();
    let of_requests = shared.quarantine.lock().take_due_updates(now);
    send_updates(shared, &of_requests, Datagram::quarantine);
    let of_parts = shared.part_quarantine.lock().take_due_updates(now);
    send_updates(shared, &of_parts, Datagram::part_quarantine);
}

fn send_updates(
    shared: &Shared,
    outgoing: &[OutgoingUpdate],
    datagram: fn(QuarantineUpdateMessage) -> Datagram,
) {
    if outgoing.is_empty() {
        return;
    }
    let fleet = shared.fleet.read().clone();
    for message in outgoing {
        let update = QuarantineUpdateMessage::from(&message.update);
        send_to(shared, &fleet, message.audience, &datagram(update));
    }
}

fn send_to(shared: &Shared, fleet: &Fleet, audience: Audience, datagram: &Datagram) {
    let own_name = shared.settings.read().node.name.clone();
    let datagram = datagram.encode_to_vec();
    let recipients: Vec<&str> = match audience {
        Audience::Listeners => fleet.plan.listeners().collect(),
        Audience::All => fleet.names().collect(),
    };
    let others = recipients.into_iter().filter(|name| *name != own_name);
    for address in others.filter_map(|name| fleet.load_address(name)) {
        shared.datagrams.send_encoded(address, &datagram);
    }
}

/// Applies an update about requests from another gateway.
pub fn receive_update(shared: &Shared, sender: SocketAddr, message: QuarantineUpdateMessage) {
    let update = QuarantineUpdate::from(message);
    let relays = relays_updates(shared);
    let mut quarantine = shared.quarantine.lock();
    let applied = quarantine.apply_update(shared.now(), &update, relays);
    drop(quarantine);
    let reply = Datagram::quarantine(QuarantineUpdateMessage::from(&applied.reply));
    conclude_update(shared, sender, Subject::Request, &applied, &reply);
}

/// Applies an update about prompt parts from another gateway.
pub fn receive_part_update(shared: &Shared, sender: SocketAddr, message: QuarantineUpdateMessage) {
    let update = QuarantineUpdate::from(message);
    let relays = relays_updates(shared);
    let mut quarantine = shared.part_quarantine.lock();
    let applied = quarantine.apply_update(shared.now(), &update, relays);
    drop(quarantine);
    let reply = Datagram::part_quarantine(QuarantineUpdateMessage::from(&applied.reply));
    conclude_update(shared, sender, Subject::PromptPart, &applied, &reply);
}

fn conclude_update(
    shared: &Shared,
    sender: SocketAddr,
    subject: Subject,
    applied: &AppliedUpdate,
    reply: &Datagram,
) {
    if !applied.reply.is_empty() {
        shared.datagrams.send(sender, reply);
    }
    record_barred(shared, subject, &applied.barred, "gateway");
    send_due_updates(shared);
}

/// Returns whether this gateway passes new bars on to all others.
fn relays_updates(shared: &Shared) -> bool {
    let name = &shared.settings.read().node.name;
    shared.fleet.read().plan.is_listener(name)
}
