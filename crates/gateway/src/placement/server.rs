//! Places requests for gateways that have this gateway as their scheduler.

use std::net::SocketAddr;

use tansyhall_forwarding::{
    PlacementAnswer, PlacementId, PlacementMessage, PlacementNotice, WorkerNotice,
};

use super::message::{MessageToScheduler, SchedulerAnswerMessage};
use crate::datagrams::Datagram;
use crate::state::Shared;
use crate::worker_notices::NoticeSource;

/// Handles a message of a gateway, and sends an answer if it contains a request.
pub fn handle_message(shared: &Shared, sender: SocketAddr, message: MessageToScheduler) {
    let message = match PlacementMessage::try_from(message) {
        Ok(message) => message,
        Err(error) => {
            log::warn!("ignoring an invalid placement message from {sender}: {error:#}");
            return;
        }
    };
    let Some((id, answer)) = place(shared, message) else {
        return;
    };
    let answer = SchedulerAnswerMessage::new(id, &answer);
    shared.datagrams.send(sender, &Datagram::answer(answer));
}

fn place(shared: &Shared, message: PlacementMessage) -> Option<(PlacementId, PlacementAnswer)> {
    let now = shared.now();
    let zone = shared.zone();
    let id = message.request.as_ref().map(|request| request.id);
    apply_worker_notices(shared, &message);
    let mut ledger = shared.granted_placements.lock();
    let mut directory = shared.directory.lock();
    let answer = ledger.handle_message(now, &mut directory, &zone, message)?;
    Some((id?, answer))
}

/// Applies the notices that workers have sent to the gateway.
fn apply_worker_notices(shared: &Shared, message: &PlacementMessage) {
    for notice in &message.notices {
        let PlacementNotice::Ended {
            id,
            worker_notice,
            rate_limit,
            ..
        } = notice
        else {
            continue;
        };
        if *worker_notice == WorkerNotice::default() && rate_limit.is_none() {
            continue;
        }
        let worker = shared
            .granted_placements
            .lock()
            .worker_of(message.sender, *id)
            .cloned();
        let Some(worker) = worker else {
            continue;
        };
        if let Some(stated) = rate_limit {
            let now = shared.now();
            let mut directory = shared.directory.lock();
            directory.receive_rate_limit(now, &worker, *stated);
        }
        let notices = &shared.connections.notices;
        notices.apply(&worker, *worker_notice, NoticeSource::Gateway);
    }
}

/// Closes placements whose deadline has passed.
pub fn expire(shared: &Shared) {
    let now = shared.now();
    let mut ledger = shared.granted_placements.lock();
    let mut directory = shared.directory.lock();
    ledger.expire(now, &mut directory);
}
