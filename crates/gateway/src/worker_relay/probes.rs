//! Probes of the direct path to workers, while connections go through relays or a worker was silent.

use std::sync::Arc;
use std::time::Duration;

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
            Some(Probe::AnyWorker) => probe_any_worker(&relays, None).await,
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
        probe_any_worker(relays, Some(worker)).await;
    }
}

async fn probe_any_worker(relays: &WorkerRelays, except: Option<&WorkerId>) {
    if let Some(worker) = random_worker(relays, except) {
        is_reached(relays, &worker).await;
    }
}

fn random_worker(relays: &WorkerRelays, except: Option<&WorkerId>) -> Option<WorkerId> {
    let directory = relays.directory.lock();
    let candidates = || {
        let announced = directory.announced_workers();
        announced.filter(|worker| Some(&worker.id) != except)
    };
    let count = candidates().count();
    if count == 0 {
        return None;
    }
    let worker = candidates().nth(rand::random_range(0..count))?;
    Some(worker.id.clone())
}

async fn is_reached(relays: &WorkerRelays, worker: &WorkerId) -> bool {
    let Some(address) = relays.address_of(worker) else {
        return false;
    };
    let connected = relays.connect_directly(worker, address).await;
    connected.is_ok()
}
