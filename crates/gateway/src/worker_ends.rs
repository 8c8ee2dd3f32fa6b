//! Detects workers that ended while they ran requests, and reports these requests to the quarantine.
//!
//! A lost connection alone proves nothing: network links fail, and a faulty worker may close connections and continue to
//! run. The worker is therefore watched for a while. It has ended if the store announces it as ready and
//!
//! - its address refuses connections, or
//! - its entry disappears, or says that the worker has restarted, and another incarnation of it or another worker is
//!   announced at its address: it returned before this gateway, which may have been frozen, could check the address.
//!
//! A worker that leaves as planned announces it first, in the store or in an answer, or its entry disappears before its
//! connections do. A worker that is unreachable because of the network does not refuse connections.

use std::collections::HashMap;
use std::io::ErrorKind;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use tansyhall_forwarding::{Fingerprint, WorkerId, WorkerState};
use tokio::sync::Notify;
use tokio::time::{sleep, timeout};

use crate::connection_losses::Loss;
use crate::connections::Destination;
use crate::events::{Event, Priority};
use crate::quarantine;
use crate::state::Shared;
use crate::worker_connect;

/// Maximum time for a running worker to accept a connection, or for the machine of an ended one to refuse it.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// How long a worker is watched. This is longer than the time after which an entry expires: three missed refreshes, about
/// 4 s.
const WATCH_WINDOW: Duration = Duration::from_secs(5);
/// Interval at which the announcements of the store are checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Minimum time between two connection attempts to a worker that repeatedly loses connections.
const MIN_CONNECT_INTERVAL: Duration = Duration::from_millis(50);
/// Maximum number of requests that a log line lists.
const MAX_LOGGED_REQUESTS: usize = 16;

/// Workers that are being watched, each with the notification that another of its connections was lost.
type WatchedWorkers = Arc<Mutex<HashMap<WorkerId, Arc<Notify>>>>;

/// Processes reported losses for as long as the gateway runs.
pub async fn watch(shared: Arc<Shared>) {
    let watched = WatchedWorkers::default();
    while let Some((loss, destination)) = shared.connections.losses.next().await {
        match (announced_state(&shared, &destination), loss) {
            (AnnouncedState::Leaving | AnnouncedState::Gone | AnnouncedState::Replaced, _) => {}
            (AnnouncedState::Restarted, _) | (AnnouncedState::Ready, Loss::ConnectionRefused) => {
                record_end(&shared, &destination.worker);
            }
            (AnnouncedState::Ready, Loss::Broken | Loss::Silent) => {
                watch_worker(&shared, &watched, loss, destination);
            }
        }
    }
}

fn watch_worker(
    shared: &Arc<Shared>,
    watched: &WatchedWorkers,
    loss: Loss,
    destination: Destination,
) {
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
        if has_ended(&shared, loss, &destination, &lost_again).await {
            record_end(&shared, &destination.worker);
        }
        watched.lock().remove(&destination.worker);
    });
}

/// Watches a worker and returns whether it has ended. A worker that is only silent is usually busy, and connection
/// attempts would keep it from its work: its state in the store is checked instead.
async fn has_ended(
    shared: &Shared,
    loss: Loss,
    destination: &Destination,
    lost_again: &Notify,
) -> bool {
    let began = shared.now();
    let source = shared.connections.source_address;
    let mut should_connect = loss == Loss::Broken;
    while shared.now().since(began) < WATCH_WINDOW {
        if should_connect && refuses_connections(destination.address, source).await {
            return true;
        }
        match announced_state(shared, destination) {
            AnnouncedState::Replaced | AnnouncedState::Restarted => return true,
            AnnouncedState::Leaving => return false,
            AnnouncedState::Ready | AnnouncedState::Gone => {}
        }
        sleep(MIN_CONNECT_INTERVAL).await;
        should_connect = timeout(CHECK_INTERVAL, lost_again.notified()).await.is_ok();
    }
    false
}

async fn refuses_connections(address: SocketAddr, source: Option<IpAddr>) -> bool {
    let connected = timeout(CONNECT_TIMEOUT, worker_connect::connect(address, source)).await;
    matches!(connected, Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused)
}

/// The state of a worker as the store announces it.
enum AnnouncedState {
    Ready,
    Leaving,
    Gone,
    /// It is gone, and another worker is announced at its address.
    Replaced,
    /// It was ready, and has restarted under the same name.
    Restarted,
}

fn announced_state(shared: &Shared, destination: &Destination) -> AnnouncedState {
    if shared
        .worker_entries
        .lock()
        .has_restarted(&destination.worker)
    {
        return AnnouncedState::Restarted;
    }
    let directory = shared.directory.lock();
    let last = directory.last_announced(&destination.worker);
    let is_announced_as_leaving = last.is_some_and(|worker| worker.state == WorkerState::Draining);
    if is_announced_as_leaving || directory.has_stated_leaving(&destination.worker) {
        return AnnouncedState::Leaving;
    }
    match directory.get(&destination.worker) {
        Some(_) => AnnouncedState::Ready,
        None if directory.is_announced_at(destination.address) => AnnouncedState::Replaced,
        None => AnnouncedState::Gone,
    }
}

fn record_end(shared: &Shared, worker: &WorkerId) {
    let requests = shared
        .sends
        .lock()
        .remove_ended_worker(shared.now(), worker);
    if requests.is_empty() {
        return;
    }
    shared.metrics.worker_ends.inc();
    log_end(shared, worker, requests.iter());
    quarantine::record_worker_end(shared, worker, requests);
}

fn log_end<'a>(
    shared: &Shared,
    worker: &WorkerId,
    requests: impl ExactSizeIterator<Item = &'a Fingerprint>,
) {
    let count = requests.len();
    let fingerprints: Vec<String> = requests
        .take(MAX_LOGGED_REQUESTS)
        .map(Fingerprint::to_string)
        .collect();
    let event = Event::WorkerEnded {
        worker: worker.as_str(),
        requests: count,
        fingerprints: &fingerprints,
    };
    shared.log.record(Priority::Important, &event);
}
