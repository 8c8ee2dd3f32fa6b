//! Finds out why a worker's address refuses connections: the worker has ended, or the path to it is faulty.
//! [`tansyhall_forwarding::worker_evidence`] defines the rules.

use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use futures_util::stream::{FuturesUnordered, StreamExt};
use parking_lot::Mutex;
use rand::seq::IteratorRandom;
use tansyhall_core::time::MonotonicClock;
use tansyhall_forwarding::{
    ComparableWorker, ConnectFailure, ConnectionRefusalCause, ConnectionRefusalStep, Reachability,
    Worker, WorkerEvidence, WorkerId,
};
use tokio::time::sleep;

use crate::connections::Destination;
use crate::events::{Event, Priority};
use crate::state::Shared;

/// Maximum number of workers of the same zone, and of any zone, that are candidates for a comparison. Some of them may
/// have ended.
const MAX_CANDIDATES: usize = 16;

/// Time after which other workers are compared if no other gateway has answered. A fault may reach the paths to them a
/// little later than that to the first worker.
const SETTLING_TIME: Duration = Duration::from_millis(50);

/// Returns why a worker's address refuses connections, or `None` if the refusal is not examined. Other gateways are told
/// of a worker that has ended.
pub async fn examine(
    shared: &Arc<Shared>,
    destination: &Destination,
) -> Option<ConnectionRefusalCause> {
    let worker = &destination.worker;
    let step = shared
        .worker_evidence
        .lock()
        .record_refusal(shared.now(), worker, || candidates(shared, worker));
    let compared = match step {
        ConnectionRefusalStep::Examine(compared) => compared,
        ConnectionRefusalStep::Known(cause) => return Some(cause),
        ConnectionRefusalStep::Ignore => return None,
    };
    let examination = Examination {
        evidence: &shared.worker_evidence,
        clock: shared.clock,
        worker,
    };
    // A send reports a refusal only after relays were asked. To ask them again would add failures to what they know of their
    // own paths.
    let by_gateways = std::future::ready(Reachability::Unknown);
    let connect = |other: WorkerId| async move {
        let reachability = connect_to(shared, &other).await;
        (other, reachability)
    };
    let findings = examination
        .run(by_gateways, compared.into_iter().map(connect))
        .await?;
    record_findings(shared, worker, &findings);
    Some(findings.cause)
}

fn record_findings(shared: &Shared, worker: &WorkerId, findings: &Findings) {
    if findings.cause == ConnectionRefusalCause::WorkerEnded {
        let mut directory = shared.directory.lock();
        directory.record_absence(shared.now(), worker);
    }
    let cause = cause_name(findings.cause);
    let metric = &shared.metrics.refused_connections;
    metric.with_label_values(&[cause]).inc();
    let event = Event::RefusedConnection {
        worker: worker.as_str(),
        cause,
        compared: findings.compared,
        reached: findings.reached,
    };
    shared.log.record(Priority::Important, &event);
}

/// Returns a random selection of ready workers, those of the same zone first.
fn candidates(shared: &Shared, worker: &WorkerId) -> Vec<ComparableWorker> {
    let directory = shared.directory.lock();
    let zone = directory.last_announced(worker).map(|worker| &worker.zone);
    let is_same_zone = |other: &&Worker| Some(&other.zone) == zone;
    let (mut rng, others) = (rand::rng(), || directory.ready());
    let same_zone = others().filter(is_same_zone);
    let mut selected = same_zone.sample(&mut rng, MAX_CANDIDATES);
    let elsewhere = others().filter(|other| !is_same_zone(other));
    selected.extend(elsewhere.sample(&mut rng, MAX_CANDIDATES));
    let comparable = selected.into_iter().map(|other| ComparableWorker {
        worker: other.id.clone(),
        is_same_zone: is_same_zone(&other),
    });
    comparable.collect()
}

/// Returns whether this gateway reaches a worker directly.
async fn connect_to(shared: &Shared, worker: &WorkerId) -> Reachability {
    let announced = shared.directory.lock().get(worker).map(|it| it.address);
    let Some(address) = announced else {
        return Reachability::Unknown;
    };
    let connected = shared.worker_relays.connect_directly(worker, address).await;
    match connected.map_err(|error| error.failure) {
        Ok(_) => Reachability::Connected,
        Err(ConnectFailure::WorkerRefused) => Reachability::Refused,
        Err(_) => Reachability::Unknown,
    }
}

/// What an examination has found out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Findings {
    /// Why the worker's address refuses connections.
    pub cause: ConnectionRefusalCause,
    /// Whether other gateways reach the worker.
    pub by_gateways: Reachability,
    /// Number of other workers that were compared.
    pub compared: usize,
    /// Number of those that this gateway has reached.
    pub reached: usize,
}

/// An examination that has begun.
pub struct Examination<'a> {
    /// The evidence, in which the examination has begun.
    pub evidence: &'a Mutex<WorkerEvidence>,
    /// The clock.
    pub clock: MonotonicClock,
    /// The worker whose address refuses connections.
    pub worker: &'a WorkerId,
}

impl Examination<'_> {
    /// Collects findings until the cause is known.
    pub async fn run<Comparison>(
        &self,
        by_gateways: impl Future<Output = Reachability>,
        comparisons: impl IntoIterator<Item = Comparison>,
    ) -> Option<Findings>
    where
        Comparison: Future<Output = (WorkerId, Reachability)>,
    {
        let by_gateways = by_gateways.await;
        let mut cause = self.evidence.lock().record_gateways_finding(
            self.clock.now(),
            self.worker,
            by_gateways,
        );
        if by_gateways == Reachability::Unknown && cause.is_none() {
            sleep(SETTLING_TIME).await;
        }
        let mut pending = comparisons.into_iter().collect::<FuturesUnordered<_>>();
        let (mut compared, mut reached) = (0, 0);
        while cause.is_none() {
            let (other, reachability) = pending.next().await?;
            compared += 1;
            reached += usize::from(reachability == Reachability::Connected);
            let now = self.clock.now();
            let mut evidence = self.evidence.lock();
            cause = evidence.record_comparison(now, self.worker, &other, reachability);
        }
        cause.map(|cause| Findings {
            cause,
            by_gateways,
            compared,
            reached,
        })
    }
}

fn cause_name(cause: ConnectionRefusalCause) -> &'static str {
    match cause {
        ConnectionRefusalCause::WorkerEnded => "worker_ended",
        ConnectionRefusalCause::PathFault => "path_fault",
    }
}
