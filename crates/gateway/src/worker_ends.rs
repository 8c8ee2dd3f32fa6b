//! Detects workers that ended while they ran requests, and reports these requests to the quarantine.
//!
//! A lost connection alone proves nothing: network links fail, and a faulty worker may close connections and continue to
//! run. The worker is therefore watched for a while. It has ended if the store announces it as ready and
//!
//! - its address refuses connections and [`refused_connections`] finds no fault of the path, or
//! - its entry disappears, or says that the worker has restarted, and another incarnation of it or another worker is
//!   announced at its address: it returned before this gateway, which may have been frozen, could check the address.
//!
//! A worker that leaves as planned announces it first, in the store or in an answer, or its entry disappears before its
//! connections do.

use std::collections::{BTreeSet, HashMap};
use std::io::ErrorKind;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use tansyhall_forwarding::{
    ConnectionRefusalCause, EndedRequests, Fingerprint, WorkerId, WorkerStanding, WorkerState,
};
use tokio::sync::Notify;
use tokio::time::{sleep, timeout};

use crate::connection_losses::Loss;
use crate::connections::Destination;
use crate::events::{Event, Priority};
use crate::state::Shared;
use crate::worker_connect::{self, CONNECT_TIMEOUT};
use crate::{quarantine, refused_connections};

/// How long a worker is watched. This is longer than the time after which an entry expires: three missed refreshes, about
/// 4 s.
const WATCH_WINDOW: Duration = Duration::from_secs(5);
/// Interval at which the announcements of the store are checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Minimum time between two connection attempts to a worker that repeatedly loses connections.
const MIN_CONNECT_INTERVAL: Duration = Duration::from_millis(50);
/// Maximum number of requests, and of prompt parts, that a log line lists.
const MAX_LOGGED_FINGERPRINTS: usize = 16;

/// Workers that are being watched, each with the notification that another of its connections was lost.
type WatchedWorkers = Arc<Mutex<HashMap<WorkerId, Arc<Notify>>>>;

/// Processes reported losses for as long as the gateway runs.
pub async fn watch(shared: Arc<Shared>) {
    let watched = WatchedWorkers::default();
    while let Some((loss, destination)) = shared.connections.losses.next().await {
        match (announced_state(&shared, &destination), loss) {
            (AnnouncedState::Leaving | AnnouncedState::Gone | AnnouncedState::Replaced, _) => {}
            (AnnouncedState::Restarted, _) => record_end(&shared, &destination.worker),
            (AnnouncedState::Ready, Loss::ConnectionRefused) => {
                let shared = Arc::clone(&shared);
                actix_rt::spawn(async move {
                    if has_ended_with_refusal(&shared, &destination).await {
                        record_end(&shared, &destination.worker);
                    }
                });
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
    shared: &Arc<Shared>,
    loss: Loss,
    destination: &Destination,
    lost_again: &Notify,
) -> bool {
    let began = shared.now();
    let source = shared.connections.source_address;
    let mut should_connect = loss == Loss::Broken;
    while shared.now().since(began) < WATCH_WINDOW {
        if should_connect
            && refuses_connections(destination.address, source).await
            && has_ended_with_refusal(shared, destination).await
        {
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

/// Returns whether a worker whose address refuses connections has ended. It has not if it has announced in the meantime
/// that it is leaving.
async fn has_ended_with_refusal(shared: &Arc<Shared>, destination: &Destination) -> bool {
    let cause = refused_connections::examine(shared, destination).await;
    let is_leaving = matches!(
        announced_state(shared, destination),
        AnnouncedState::Leaving
    );
    cause == Some(ConnectionRefusalCause::WorkerEnded) && !is_leaving
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

/// Returns what a worker has announced.
pub fn standing(shared: &Shared, destination: &Destination) -> WorkerStanding {
    match announced_state(shared, destination) {
        AnnouncedState::Ready => WorkerStanding::Serving,
        AnnouncedState::Restarted => WorkerStanding::Restarted,
        AnnouncedState::Leaving | AnnouncedState::Gone | AnnouncedState::Replaced => {
            WorkerStanding::Departing
        }
    }
}

fn record_end(shared: &Shared, worker: &WorkerId) {
    let ended = shared
        .sends
        .lock()
        .remove_ended_worker(shared.now(), worker);
    if ended.parts_by_request.is_empty() {
        return;
    }
    shared.metrics.worker_ends.inc();
    log_end(shared, worker, &ended);
    quarantine::record_worker_end(shared, worker, ended);
}

fn log_end(shared: &Shared, worker: &WorkerId, ended: &EndedRequests) {
    let first = |fingerprints: &BTreeSet<Fingerprint>| -> Vec<String> {
        let first = fingerprints.iter().take(MAX_LOGGED_FINGERPRINTS);
        first.map(Fingerprint::to_string).collect()
    };
    let event = Event::WorkerEnded {
        worker: worker.as_str(),
        requests: ended.parts_by_request.len(),
        fingerprints: &first(&ended.requests()),
        parts: &first(&ended.parts()),
    };
    shared.log.record(Priority::Important, &event);
}
