//! The test site of an episode: store, operator, gateways and workers, and the actions on them.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

use anyhow::Result;
use serde_json::json;
use tansyhall_gateway::presence;
use tansyhall_platform_standin::{Operations, Operator, Store, StoreFault, WORKER_ENTRY_PREFIX};
use tansyhall_testing::{eventually, get_metric, Partition, Partitions};
use tokio::time::sleep;

use crate::caller::HOST;
use crate::episode::EpisodePlan;
use crate::evidence::{
    Departure, GatewayFault, GatewayFaultPeriod, IgnoredPeriod, PartitionPeriod,
    StaleConfiguration, WorkerLinkFaultPeriod,
};
use crate::faults::FaultMix;
use crate::gateways::{ActionResult, GatewayConfig, GatewaySlot};
use crate::link::{Link, LinkFault};
use crate::routes::{routes, APPLICATION_SERVICE, ENGINE_SERVICE};
use crate::schedule::{Action, Edge, Restore};
use crate::worker::{Recorder, Worker, WorkerPlan};

/// The zone of the gateways.
pub const LOCAL_ZONE: &str = "kalimati";
const OTHER_ZONE: &str = "balkhu";
/// How long a new holder of the authority waits, in milliseconds.
pub const TAKEOVER_PAUSE_MS: u64 = 300;
/// How long a draining worker stays in the store.
const DRAIN_DURATION: Duration = Duration::from_millis(800);
/// How long a worker continues to serve requests after its entry has been removed.
const SERVING_AFTER_REMOVAL: Duration = Duration::from_millis(1_500);
/// The same for a worker whose answers do not say that it is leaving. Requests may reach it for two seconds.
const SERVING_AFTER_DEPARTURE: Duration = Duration::from_millis(4_500);

/// Interval at which announcements of gateways in the store are checked.
const ANNOUNCEMENT_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// How long an entry stays in the store that its worker does not rewrite after a restore.
const ENTRY_TTL: Duration = Duration::from_millis(1_000);
/// Number of changes that the last restore loses. More changes are lost than are written afterwards.
const LOST_CHANGES: usize = 2_000;
/// How long gateways have to receive these changes.
const CHANGE_PROPAGATION_TIME: Duration = Duration::from_millis(800);
/// Maximum time until a configuration must be in force.
const CONFIGURATION_TIMEOUT: Duration = Duration::from_secs(5);
const CONFIGURATION_METRIC: &str = "gateway_configuration_version";

const fn worker(
    service: &'static str,
    zone: &'static str,
    stage: Option<&'static str>,
    version: &'static str,
) -> WorkerPlan {
    WorkerPlan {
        service,
        zone,
        stage,
        version,
    }
}

/// The software versions that serve side by side.
const OLD: &str = "v1";
const NEW: &str = "v2";

/// The initial workers of a site. Two of each version run the requests of each service, or at least one of its engines.
pub const WORKERS: [WorkerPlan; 9] = [
    worker(APPLICATION_SERVICE, LOCAL_ZONE, None, OLD),
    worker(APPLICATION_SERVICE, LOCAL_ZONE, None, NEW),
    worker(APPLICATION_SERVICE, LOCAL_ZONE, None, OLD),
    worker(APPLICATION_SERVICE, OTHER_ZONE, None, NEW),
    worker(ENGINE_SERVICE, LOCAL_ZONE, Some("prefill"), OLD),
    worker(ENGINE_SERVICE, LOCAL_ZONE, Some("prefill"), NEW),
    worker(ENGINE_SERVICE, LOCAL_ZONE, Some("decode"), OLD),
    worker(ENGINE_SERVICE, LOCAL_ZONE, Some("decode"), NEW),
    worker(ENGINE_SERVICE, OTHER_ZONE, Some("decode"), OLD),
];

/// The running site of an episode.
pub struct Site {
    recorder: Recorder,
    store: Store,
    operator: Operator,
    gateways: Vec<GatewaySlot>,
    workers: RefCell<Vec<Rc<Worker>>>,
    /// The gateways that are partitioned from all workers.
    partitions: Partitions,
    version: Cell<u64>,
    seed: u64,
}

impl Site {
    /// Starts a site and waits until every gateway is ready and has discovered every worker.
    pub async fn start(plan: &EpisodePlan, mixes: &[FaultMix], directory: &Path) -> Result<Self> {
        let store = Store::default();
        let operations = Operations::start()?;
        let mut site = Self {
            recorder: Recorder::new(),
            operator: Operator::new(&store, HOST),
            store,
            gateways: Vec::new(),
            workers: RefCell::default(),
            partitions: Partitions::default(),
            version: Cell::new(0),
            seed: plan.seed,
        };
        site.configure();
        for (plan, mix) in WORKERS.iter().zip(mixes) {
            site.add_worker(*plan, mix.clone()).await?;
        }
        for number in 0..plan.gateways {
            let config = GatewayConfig {
                number,
                directory: directory.to_owned(),
                operations: operations.address,
                disabled_mechanisms: plan.disabled_mechanisms.clone(),
                other_build: plan.other_build.clone(),
            };
            let slot = GatewaySlot::start(config, &site.store).await?;
            site.gateways.push(slot);
        }
        for slot in &site.gateways {
            wait_for_metric(slot, "gateway_ready_workers", WORKERS.len()).await;
        }
        Ok(site)
    }

    /// Waits until every gateway knows the number of gateways. Before that, each gateway uses the retry budget of the
    /// whole fleet for itself.
    pub async fn wait_until_gateways_discover_each_other(&self) {
        for slot in &self.gateways {
            wait_for_metric(slot, "gateway_gateways", self.gateways.len()).await;
        }
    }

    /// Returns the recorder of callers and workers.
    pub fn recorder(&self) -> &Recorder {
        &self.recorder
    }

    /// Returns the address of each gateway for callers.
    pub fn caller_addresses(&self) -> Vec<SocketAddr> {
        let caller_addresses = self.gateways.iter().map(|slot| slot.callers.listen_address);
        caller_addresses.collect()
    }

    /// Performs an action and waits until it is complete.
    pub async fn perform(&self, action: Action) -> Result<()> {
        let from_ms = self.recorder.now_ms();
        let disturbed = self.disturbed_gateway(&action);
        let is_caller_link = matches!(
            action,
            Action::Harm {
                edge: Edge::Callers,
                ..
            }
        );
        let result = self.perform_unrecorded(action).await;
        if let Some((gateway, fault)) = disturbed {
            let to_ms = self.recorder.now_ms();
            let trouble = GatewayFaultPeriod {
                gateway,
                fault,
                from_ms,
                to_ms,
            };
            self.recorder.record(|evidence| match is_caller_link {
                true => evidence.caller_link_troubles.push(trouble),
                false => evidence.troubles.push(trouble),
            });
        }
        result
    }

    /// Returns the gateway that an action disturbs, other than by a partition.
    fn disturbed_gateway(&self, action: &Action) -> Option<(usize, GatewayFault)> {
        let (gateway, fault) = match action {
            Action::Freeze { gateway, .. } => (gateway, GatewayFault::Freeze),
            Action::Kill { gateway } => (gateway, GatewayFault::Kill),
            Action::Stop { gateway } => (gateway, GatewayFault::Stop),
            Action::Harm {
                edge: Edge::Store | Edge::Callers,
                index: gateway,
                ..
            } => (gateway, GatewayFault::Link),
            _ => return None,
        };
        Some((gateway % self.gateways.len(), fault))
    }

    async fn perform_unrecorded(&self, action: Action) -> Result<()> {
        match action {
            Action::Mix { worker, mix } => self.worker(worker).set_mix(mix),
            Action::Harm {
                edge,
                index,
                fault,
                for_ms,
            } => {
                let duration = Duration::from_millis(for_ms);
                self.inject_link_fault(edge, index, fault, duration).await;
            }
            Action::Freeze { gateway, for_ms } => {
                let duration = Duration::from_millis(for_ms);
                if self.gateway(gateway).freeze(duration).await {
                    self.recorder.count_fault("process freeze");
                }
            }
            Action::Kill { gateway } => {
                let result = self.gateway(gateway).kill().await?;
                self.record_completion(result, "process kill");
            }
            Action::Stop { gateway } => {
                let result = self.gateway(gateway).stop_and_start().await?;
                self.record_completion(result, "process stop");
            }
            Action::Configure { count } => {
                for _ in 0..count {
                    self.configure();
                    self.recorder.count_fault("configuration");
                    sleep(Duration::from_millis(20)).await;
                }
            }
            Action::Replace { worker } => self.replace(worker, Duration::ZERO).await?,
            Action::Leave { worker, for_ms } => {
                self.replace(worker, Duration::from_millis(for_ms)).await?;
            }
            Action::Rest {
                worker,
                rest_ms,
                for_ms,
            } => {
                let worker = self.worker(worker);
                worker.set_backoff(Some(rest_ms));
                sleep(Duration::from_millis(for_ms)).await;
                worker.set_backoff(None);
            }
            Action::Restore(restore) => self.restore(restore).await,
            Action::Partition {
                first,
                further,
                partition,
                for_ms,
            } => {
                let gateways = self.partitioned_gateways(first, further);
                let duration = Duration::from_millis(for_ms);
                self.partition(&gateways, partition, duration).await;
            }
            Action::Depart {
                worker,
                says_draining,
            } => self.depart(worker, says_draining).await?,
            Action::Ignore {
                first,
                further,
                refuses,
                for_ms,
            } => {
                let gateways = self.partitioned_gateways(first, further);
                let duration = Duration::from_millis(for_ms);
                self.ignore(&gateways, refuses, duration).await;
            }
            Action::Silence { worker, for_ms } => {
                self.recorder.count_fault("worker silent");
                let duration = Duration::from_millis(for_ms);
                self.worker(worker).fall_silent(duration).await;
            }
            Action::Limit {
                worker,
                millirequests,
                for_ms,
            } => {
                let worker = self.worker(worker);
                worker.set_rate_limit(Some(millirequests));
                sleep(Duration::from_millis(for_ms)).await;
                worker.set_rate_limit(None);
            }
        }
        Ok(())
    }

    /// Replaces, until cancelled, the peer addresses that gateways announce in the store by the addresses of the
    /// links in front of them, so that peers request snapshots through these links.
    pub async fn redirect_announcements_to_links(&self) {
        loop {
            for slot in &self.gateways {
                self.replace_announced_address(slot);
            }
            sleep(ANNOUNCEMENT_CHECK_INTERVAL).await;
        }
    }

    fn replace_announced_address(&self, slot: &GatewaySlot) {
        let Some(addresses) = slot.addresses() else {
            return;
        };
        let key = presence::key(&slot.name());
        let announced = self
            .store
            .get(&key)
            .and_then(|(value, _)| String::from_utf8(value).ok());
        let peers = addresses.peers.to_string();
        if let Some(value) = announced.filter(|value| value.starts_with(&peers)) {
            let linked = value.replacen(&peers, &slot.snapshots.listen_address.to_string(), 1);
            self.store.replace_value(&key, linked.into_bytes());
        }
    }

    /// Makes the store unavailable for a while and restores it from a backup. The operator and workers then rewrite
    /// their current data; entries of workers that no longer run are removed afterwards.
    async fn restore(&self, restore: Restore) {
        let backup = self.store.back_up();
        sleep(Duration::from_millis(restore.copy_age_ms)).await;
        self.set_store_fault(StoreFault::Refuse);
        sleep(Duration::from_millis(restore.away_ms)).await;
        self.store.restore(&backup);
        self.set_store_fault(StoreFault::None);
        self.recorder.count_fault("store restored");
        sleep(Duration::from_millis(restore.rewritten_ms)).await;
        let version = self.version.get();
        self.operator.configure(version, &routes(version));
        for worker in self.workers.borrow().iter() {
            worker.rewrite_entry();
        }
        sleep(ENTRY_TTL).await;
        self.remove_stale_entries();
    }

    fn set_store_fault(&self, fault: StoreFault) {
        for slot in &self.gateways {
            slot.set_store_fault(fault);
        }
    }

    /// Removes entries from the store whose workers no longer run.
    fn remove_stale_entries(&self) {
        let workers = self.workers.borrow();
        let running: Vec<String> = workers.iter().map(|worker| worker.id()).collect();
        for key in self.store.keys(WORKER_ENTRY_PREFIX) {
            if !running
                .iter()
                .any(|id| key[WORKER_ENTRY_PREFIX.len()..] == **id)
            {
                self.store.remove(&key);
            }
        }
    }

    /// Restores the store once more, with more changes lost than are written afterwards. Records the gateways at
    /// which the configuration written after the restore is not in force in time.
    pub async fn check_configuration(&self) {
        let backup = self.store.back_up();
        for number in 0..LOST_CHANGES {
            self.store.put("other/lost", &json!(number));
        }
        self.configure();
        sleep(CHANGE_PROPAGATION_TIME).await;
        self.store.restore(&backup);
        self.configure();
        let version = self.version.get();
        sleep(CONFIGURATION_TIMEOUT).await;
        for (gateway, slot) in self.gateways.iter().enumerate() {
            let in_force = match slot.addresses() {
                Some(addresses) => get_metric(addresses.metrics, CONFIGURATION_METRIC).await,
                None => None,
            };
            if in_force != Some(version as f64) {
                let stale = StaleConfiguration {
                    gateway,
                    written: version,
                    in_force,
                };
                self.recorder
                    .record(|evidence| evidence.stale_configurations.push(stale));
            }
        }
    }

    /// Removes all faults of workers.
    pub fn clear_worker_faults(&self) {
        for worker in self.workers.borrow().iter() {
            worker.set_mix(FaultMix::default());
        }
    }

    /// Stops all gateways gracefully.
    pub async fn stop(&self) {
        let stops = self.gateways.iter().map(GatewaySlot::stop);
        for exit_status in futures_util::future::join_all(stops).await {
            self.record_unexpected_exit(exit_status);
        }
    }

    fn record_completion(&self, result: ActionResult, name: &str) {
        if let ActionResult::Done(exit_status) = result {
            self.recorder.count_fault(name);
            self.record_unexpected_exit(exit_status);
        }
    }

    fn record_unexpected_exit(&self, exit_status: Option<String>) {
        self.recorder
            .record(|evidence| evidence.ended.extend(exit_status));
    }

    fn gateway(&self, index: usize) -> &GatewaySlot {
        &self.gateways[index % self.gateways.len()]
    }

    fn worker(&self, index: usize) -> Rc<Worker> {
        let workers = self.workers.borrow();
        Rc::clone(&workers[index % workers.len()])
    }

    fn configure(&self) {
        let version = self.version.get() + 1 + self.version.get() % 3;
        self.version.set(version);
        self.operator.configure(version, &routes(version));
    }

    async fn add_worker(&self, plan: WorkerPlan, mix: FaultMix) -> Result<()> {
        let seed = self.seed ^ self.workers.borrow().len() as u64;
        let worker =
            Worker::start(&self.store, &self.recorder, plan, &self.partitions, seed).await?;
        worker.set_mix(mix);
        self.workers.borrow_mut().push(Rc::new(worker));
        Ok(())
    }

    async fn inject_link_fault(
        &self,
        edge: Edge,
        index: usize,
        fault: LinkFault,
        duration: Duration,
    ) {
        self.recorder
            .count_fault(format!("link {edge:?} {}", fault.name()));
        let worker;
        let mut affected_worker = None;
        let link: &Link = match edge {
            Edge::Callers => &self.gateway(index).callers,
            Edge::Store => &self.gateway(index).store,
            Edge::Copies => &self.gateway(index).snapshots,
            Edge::Worker => {
                worker = self.worker(index);
                affected_worker = Some(worker.id());
                &worker.link
            }
        };
        let from_ms = self.recorder.now_ms();
        link.set_fault(fault);
        sleep(duration).await;
        link.set_fault(LinkFault::None);
        if let Some(worker) = affected_worker {
            let trouble = WorkerLinkFaultPeriod {
                worker,
                from_ms,
                to_ms: self.recorder.now_ms(),
            };
            self.recorder
                .record(|evidence| evidence.worker_troubles.push(trouble));
        }
    }

    /// Returns the gateways that a partition concerns: at least one, and not all unless there is only one.
    fn partitioned_gateways(&self, first: usize, further: usize) -> Vec<usize> {
        let all = self.gateways.len();
        let further = match all {
            1 => 0,
            _ => further % (all - 1),
        };
        let gateways = (first..=first + further).map(|gateway| gateway % all);
        gateways.collect()
    }

    /// Partitions gateways from all workers for a while.
    async fn partition(&self, gateways: &[usize], partition: Partition, duration: Duration) {
        let of_all = format!("{} of {}", gateways.len(), self.gateways.len());
        self.recorder
            .count_fault(format!("partition {partition:?} of {of_all}"));
        let set = |partition| {
            for gateway in gateways {
                let address = self.gateways[*gateway].source_address();
                self.partitions.set(address, partition);
            }
        };
        let from_ms = self.recorder.now_ms();
        set(Some(partition));
        sleep(duration).await;
        set(None);
        let to_ms = self.recorder.now_ms();
        self.recorder.record(|evidence| {
            let periods = gateways.iter().map(|gateway| PartitionPeriod {
                gateway: *gateway,
                partition,
                from_ms,
                to_ms,
            });
            evidence.partitions.extend(periods);
        });
    }

    /// Makes the store ignore gateways for a while.
    async fn ignore(&self, gateways: &[usize], refuses: bool, duration: Duration) {
        let fault = match refuses {
            true => StoreFault::Refuse,
            false => StoreFault::Silent,
        };
        let of_all = format!("{} of {}", gateways.len(), self.gateways.len());
        self.recorder
            .count_fault(format!("store {fault:?} for {of_all}"));
        let set = |fault| {
            for gateway in gateways {
                self.gateways[*gateway].set_store_fault(fault);
            }
        };
        let from_ms = self.recorder.now_ms();
        set(fault);
        sleep(duration).await;
        set(StoreFault::None);
        let to_ms = self.recorder.now_ms();
        self.recorder.record(|evidence| {
            let periods = gateways.iter().map(|gateway| IgnoredPeriod {
                gateway: *gateway,
                from_ms,
                to_ms,
            });
            evidence.ignored.extend(periods);
        });
    }

    /// Starts another worker of the same kind, and makes this one leave. Its answers do not tell. It serves long enough
    /// for requests that come too late to be seen.
    async fn depart(&self, index: usize, says_draining: bool) -> Result<()> {
        let leaving = {
            let mut workers = self.workers.borrow_mut();
            let index = index % workers.len();
            workers.remove(index)
        };
        self.recorder.count_fault("worker departed");
        self.add_worker(leaving.plan, FaultMix::default()).await?;
        if says_draining {
            leaving.drain();
            self.record_departure(&leaving);
            sleep(DRAIN_DURATION).await;
        }
        leaving.remove_entry();
        self.record_departure(&leaving);
        sleep(SERVING_AFTER_DEPARTURE).await;
        Ok(())
    }

    fn record_departure(&self, worker: &Worker) {
        let departure = Departure {
            worker: worker.id(),
            at_ms: self.recorder.now_ms(),
        };
        self.recorder
            .record(|evidence| evidence.departures.push(departure));
    }

    /// Replaces a worker: starts another one of the same kind without faults, and shuts the old one down gracefully.
    /// The old worker announces for `announced_in_answers` only in its answers that it is leaving, before it drains.
    async fn replace(&self, index: usize, announced_in_answers: Duration) -> Result<()> {
        let leaving = {
            let mut workers = self.workers.borrow_mut();
            let index = index % workers.len();
            workers.remove(index)
        };
        self.recorder.count_fault("worker replaced");
        self.add_worker(leaving.plan, FaultMix::default()).await?;
        leaving.advertise_leaving();
        sleep(announced_in_answers).await;
        leaving.drain();
        sleep(DRAIN_DURATION).await;
        leaving.remove_entry();
        sleep(SERVING_AFTER_REMOVAL).await;
        Ok(())
    }
}

/// Waits until a metric of a gateway has this value.
async fn wait_for_metric(slot: &GatewaySlot, metric: &str, count: usize) {
    eventually(metric, || async {
        let metrics = slot.addresses()?.metrics;
        let value = get_metric(metrics, metric).await?;
        (value == count as f64).then_some(())
    })
    .await;
}
