//! Finds out which workers have ended under requests, and tells which requests these were.
//!
//! A connection that is lost proves nothing: links break, and a faulty worker closes connections and lives. A
//! worker has ended if nothing listens at its address although the store announces it as ready: one that
//! leaves as planned says so first, or its entry goes first, and one that was cut off does not refuse.

use std::collections::HashSet;
use std::io::ErrorKind;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use tansyhall_forwarding::{Fingerprint, WorkerId, WorkerState};
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::connection_losses::Loss;
use crate::connections::Destination;
use crate::events::{Event, Weight};
use crate::quarantine;
use crate::state::Shared;

/// Time for a worker that lives to accept a connection, or for the machine of one that does not to refuse it.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Requests that a log line names.
const MAX_NAMED: usize = 16;

/// Looks into losses for ever.
pub async fn watch(shared: Arc<Shared>) {
    let looked_into: Arc<Mutex<HashSet<WorkerId>>> = Arc::default();
    while let Some((loss, destination)) = shared.connections.losses.next().await {
        if loss == Loss::NothingListens {
            note_end(&shared, &destination.worker);
            continue;
        }
        if !looked_into.lock().insert(destination.worker.clone()) {
            continue;
        }
        let shared = Arc::clone(&shared);
        let looked_into = Arc::clone(&looked_into);
        actix_rt::spawn(async move {
            if nothing_listens(&destination).await {
                note_end(&shared, &destination.worker);
            }
            looked_into.lock().remove(&destination.worker);
        });
    }
}

async fn nothing_listens(destination: &Destination) -> bool {
    let connected = timeout(CONNECT_TIMEOUT, TcpStream::connect(destination.address)).await;
    matches!(connected, Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused)
}

fn note_end(shared: &Shared, worker: &WorkerId) {
    let is_ready = |id: &WorkerId| {
        let directory = shared.directory.lock();
        let worker = directory.get(id);
        worker.is_some_and(|worker| worker.state == WorkerState::Ready)
    };
    let requests = shared.sends.lock().take_ended(shared.now(), worker);
    if requests.is_empty() || !is_ready(worker) {
        return;
    }
    shared.metrics.worker_ends.inc();
    record(shared, worker, requests.iter());
    quarantine::worker_ended(shared, worker, requests);
}

fn record<'a>(
    shared: &Shared,
    worker: &WorkerId,
    requests: impl ExactSizeIterator<Item = &'a Fingerprint>,
) {
    let count = requests.len();
    let named: Vec<String> = requests
        .take(MAX_NAMED)
        .map(Fingerprint::to_string)
        .collect();
    let event = Event::WorkerEnded {
        worker: worker.as_str(),
        requests: count,
        fingerprints: &named,
    };
    shared.log.record(Weight::Important, &event);
}
