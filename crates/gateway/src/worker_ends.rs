//! Finds out which workers have ended under requests, and tells which requests these were.
//!
//! A connection that is lost proves nothing: links break, and a faulty worker closes connections and lives.
//! So the worker is looked after for a while. It has ended if the store announces it as ready and
//!
//! - nothing listens at its address, or
//! - its entry goes, or says that it has started again, and another life of it or another worker is announced at
//!   its address: it was back before this gateway, frozen perhaps, could look.
//!
//! One that leaves as planned says so first, in the store or in an answer, or its entry goes before its connections;
//! one that was cut off does not refuse.

use std::collections::HashMap;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use tansyhall_forwarding::{Fingerprint, WorkerId, WorkerState};
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::{sleep, timeout};

use crate::connection_losses::Loss;
use crate::connections::Destination;
use crate::events::{Event, Weight};
use crate::quarantine;
use crate::state::Shared;

/// Time for a worker that lives to accept a connection, or for the machine of one that does not to refuse it.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// How long a worker is looked after: an entry runs out after three silent beats, some 4 s.
const WATCH: Duration = Duration::from_secs(5);
/// Pause between two looks at what the store announces.
const PACE: Duration = Duration::from_millis(250);
/// The least time between two connections to a worker that loses connections again and again.
const CONNECT_PAUSE: Duration = Duration::from_millis(50);
/// Requests that a log line names.
const MAX_NAMED: usize = 16;

/// Workers that are looked after, and how to tell that another of their connections was lost.
type Watched = Arc<Mutex<HashMap<WorkerId, Arc<Notify>>>>;

/// Looks into losses for ever.
pub async fn watch(shared: Arc<Shared>) {
    let watched = Watched::default();
    while let Some((loss, destination)) = shared.connections.losses.next().await {
        match (announced(&shared, &destination), loss) {
            (Announced::Leaving | Announced::Gone | Announced::Replaced, _) => {}
            (Announced::Reborn, _) | (Announced::Ready, Loss::NothingListens) => {
                note_end(&shared, &destination.worker);
            }
            (Announced::Ready, Loss::Broken | Loss::Silent) => {
                look_after(&shared, &watched, loss, destination);
            }
        }
    }
}

fn look_after(shared: &Arc<Shared>, watched: &Watched, loss: Loss, destination: Destination) {
    let mut by_worker = watched.lock();
    if let Some(lost_again) = by_worker.get(&destination.worker) {
        if loss == Loss::Broken {
            lost_again.notify_one();
        }
        return;
    }
    let lost_again = Arc::new(Notify::new());
    by_worker.insert(destination.worker.clone(), Arc::clone(&lost_again));
    drop(by_worker);
    let shared = Arc::clone(shared);
    let watched = Arc::clone(watched);
    actix_rt::spawn(async move {
        if ends(&shared, loss, &destination, &lost_again).await {
            note_end(&shared, &destination.worker);
        }
        watched.lock().remove(&destination.worker);
    });
}

/// Whether a worker turns out to have ended. One that is only silent is busy as a rule, and is not kept from
/// its work by a connection: what the store says of it is enough.
async fn ends(shared: &Shared, loss: Loss, destination: &Destination, lost_again: &Notify) -> bool {
    let began = shared.now();
    let mut looks = loss == Loss::Broken;
    while shared.now().since(began) < WATCH {
        if looks && nothing_listens(destination.address).await {
            return true;
        }
        match announced(shared, destination) {
            Announced::Replaced | Announced::Reborn => return true,
            Announced::Leaving => return false,
            Announced::Ready | Announced::Gone => {}
        }
        sleep(CONNECT_PAUSE).await;
        looks = timeout(PACE, lost_again.notified()).await.is_ok();
    }
    false
}

async fn nothing_listens(address: SocketAddr) -> bool {
    let connected = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
    matches!(connected, Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused)
}

/// What the store says of a worker.
enum Announced {
    Ready,
    Leaving,
    Gone,
    /// It is gone, and another one is at its address.
    Replaced,
    /// It was ready, and has started again under its name.
    Reborn,
}

fn announced(shared: &Shared, destination: &Destination) -> Announced {
    if shared.worker_entries.lock().was_reborn(&destination.worker) {
        return Announced::Reborn;
    }
    let directory = shared.directory.lock();
    let last = directory.last_announced(&destination.worker);
    let is_announced_so = last.is_some_and(|worker| worker.state == WorkerState::Draining);
    if is_announced_so || directory.has_stated_leaving(&destination.worker) {
        return Announced::Leaving;
    }
    match directory.get(&destination.worker) {
        Some(_) => Announced::Ready,
        None if directory.is_announced_at(destination.address) => Announced::Replaced,
        None => Announced::Gone,
    }
}

fn note_end(shared: &Shared, worker: &WorkerId) {
    let requests = shared
        .sends
        .lock()
        .remove_ended_worker(shared.now(), worker);
    if requests.is_empty() {
        return;
    }
    shared.metrics.worker_ends.inc();
    record(shared, worker, requests.iter());
    quarantine::record_worker_end(shared, worker, requests);
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
