//! Probes of the direct path to workers, while connections go through relays or a worker was silent.

use std::sync::Arc;
use std::time::Duration;

use futures_util::future::join_all;
use rand::seq::IteratorRandom;
use tansyhall_forwarding::worker_paths::MAX_SAMPLED_WORKERS;
use tansyhall_forwarding::{Probe, WorkerId};
use tokio::time::sleep;

use super::{RelayedCheck, WorkerRelays};

/// Interval at which it is checked whether a probe is due.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Probes the direct path when a probe is due, for as long as the gateway runs.
pub async fn run(relays: Arc<WorkerRelays>) {
    loop {
        sleep(CHECK_INTERVAL).await;
        let due = relays.paths.lock().take_due_probe(relays.clock.now());
        match due {
            Some(Probe::SilentWorker(worker)) => probe_silent_worker(&relays, &worker).await,
            Some(Probe::RelayedWorker(worker)) => {
                is_reached(&relays, &worker).await;
            }
            Some(Probe::Sample) => probe_sample(&relays).await,
            None => {}
        }
    }
}

/// Probes a worker that was silent. If only a relay reaches it, another worker is probed at once: if that fails as well,
/// this gateway is partitioned.
async fn probe_silent_worker(relays: &WorkerRelays, worker: &WorkerId) {
    let Some(address) = relays.address_of(worker) else {
        return;
    };
    if is_reached(relays, worker).await {
        return;
    }
    let checked = relays.check_through_relays(worker, address).await;
    if checked == RelayedCheck::Connected && !relays.is_partitioned() {
        if let Some(other) = random_workers(relays, 1, Some(worker)).first() {
            is_reached(relays, other).await;
        }
    }
}

/// Probes a random sample of the workers at the same time.
async fn probe_sample(relays: &WorkerRelays) {
    let began_at = relays.clock.now();
    let sample = random_workers(relays, MAX_SAMPLED_WORKERS, None);
    let reached = join_all(sample.iter().map(|worker| is_reached(relays, worker))).await;
    if !reached.contains(&true) {
        let mut paths = relays.paths.lock();
        paths.record_unreached_sample(began_at, sample.len());
    }
}

fn random_workers(relays: &WorkerRelays, count: usize, except: Option<&WorkerId>) -> Vec<WorkerId> {
    let directory = relays.directory.lock();
    let announced = directory.announced_workers().map(|worker| &worker.id);
    let candidates = announced.filter(|worker| Some(*worker) != except);
    candidates.cloned().sample(&mut rand::rng(), count)
}

async fn is_reached(relays: &WorkerRelays, worker: &WorkerId) -> bool {
    let Some(address) = relays.address_of(worker) else {
        return false;
    };
    let connected = relays.connect_directly(worker, address).await;
    connected.is_ok()
}
