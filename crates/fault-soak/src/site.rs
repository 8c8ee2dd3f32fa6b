//! The site of an episode: store, operator, gateways and workers, and the actions on them.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

use anyhow::Result;
use serde_json::json;
use tansyhall_gateway::presence;
use tansyhall_platform_standin::{Operations, Operator, Store, StoreFault, WORKER_ENTRY_PREFIX};
use tansyhall_testing::{eventually, get_metric};
use tokio::time::sleep;

use crate::caller::HOST;
use crate::episode::EpisodePlan;
use crate::evidence::{GatewayFaultPeriod, StaleConfiguration, WorkerLinkFaultPeriod};
use crate::faults::Mix;
use crate::gateways::{Done, GatewayPlace, GatewaySlot};
use crate::link::{Link, LinkFault};
use crate::routes::{routes, APPLICATION_SERVICE, ENGINE_SERVICE};
use crate::schedule::{Action, Edge, Restore};
use crate::worker::{Notebook, Worker, WorkerPlan};

/// The zone of the gateways.
pub const LOCAL_ZONE: &str = "kalimati";
const OTHER_ZONE: &str = "balkhu";
/// Milliseconds that a new holder of the authority waits.
pub const TAKEOVER_PAUSE_MS: u64 = 300;
/// How long a worker that leaves is still in the store.
const DRAIN: Duration = Duration::from_millis(800);
/// How long it serves after that.
const LINGER: Duration = Duration::from_millis(1_500);

/// Pause between two looks for announcements of gateways.
const ANNOUNCEMENTS_PACE: Duration = Duration::from_millis(50);
/// How long entries last that nobody writes.
const ENTRIES_LAST: Duration = Duration::from_millis(1_000);
/// Changes that the last restore loses: more than follow.
const LOST_CHANGES: usize = 2_000;
/// Time in which gateways hear of them.
const SETTLING: Duration = Duration::from_millis(800);
/// Time in which a configuration has to be in force.
const CONFIGURATION_APPLIED: Duration = Duration::from_secs(5);
const CONFIGURATION_METRIC: &str = "gateway_configuration_version";

const fn worker(
    service: &'static str,
    zone: &'static str,
    stage: Option<&'static str>,
) -> WorkerPlan {
    WorkerPlan {
        service,
        zone,
        stage,
    }
}

/// The workers that a site begins with.
pub const WORKERS: [WorkerPlan; 9] = [
    worker(APPLICATION_SERVICE, LOCAL_ZONE, None),
    worker(APPLICATION_SERVICE, LOCAL_ZONE, None),
    worker(APPLICATION_SERVICE, LOCAL_ZONE, None),
    worker(APPLICATION_SERVICE, OTHER_ZONE, None),
    worker(ENGINE_SERVICE, LOCAL_ZONE, Some("prefill")),
    worker(ENGINE_SERVICE, LOCAL_ZONE, Some("prefill")),
    worker(ENGINE_SERVICE, LOCAL_ZONE, Some("decode")),
    worker(ENGINE_SERVICE, LOCAL_ZONE, Some("decode")),
    worker(ENGINE_SERVICE, OTHER_ZONE, Some("decode")),
];

/// A site.
pub struct Site {
    notebook: Notebook,
    store: Store,
    operator: Operator,
    gateways: Vec<GatewaySlot>,
    workers: RefCell<Vec<Rc<Worker>>>,
    version: Cell<u64>,
    seed: u64,
}

impl Site {
    /// Starts a site and waits until every gateway is ready and knows every worker.
    pub async fn start(plan: &EpisodePlan, mixes: &[Mix], directory: &Path) -> Result<Self> {
        let store = Store::default();
        let operations = Operations::start()?;
        let mut site = Self {
            notebook: Notebook::new(),
            operator: Operator::new(&store, HOST),
            store,
            gateways: Vec::new(),
            workers: RefCell::default(),
            version: Cell::new(0),
            seed: plan.seed,
        };
        site.configure();
        for (plan, mix) in WORKERS.iter().zip(mixes) {
            site.add_worker(*plan, mix.clone()).await?;
        }
        for number in 0..plan.gateways {
            let place = GatewayPlace {
                number,
                directory: directory.to_owned(),
                operations: operations.address,
                switched_off: plan.disabled_mechanisms.clone(),
                beside: plan.other_build.clone(),
            };
            let slot = GatewaySlot::start(place, &site.store).await?;
            site.gateways.push(slot);
        }
        for slot in &site.gateways {
            until_known(slot, "gateway_ready_workers", WORKERS.len()).await;
        }
        Ok(site)
    }

    /// Waits until every gateway knows how many they are. Before that each takes the fleet's budget of
    /// repeats for its own.
    pub async fn until_gateways_know_each_other(&self) {
        for slot in &self.gateways {
            until_known(slot, "gateway_gateways", self.gateways.len()).await;
        }
    }

    /// Where callers and workers record what they see.
    pub fn notebook(&self) -> &Notebook {
        &self.notebook
    }

    /// Where callers reach each gateway.
    pub fn entrances(&self) -> Vec<SocketAddr> {
        let entrances = self.gateways.iter().map(|slot| slot.callers.entrance);
        entrances.collect()
    }

    /// Performs an action to its end.
    pub async fn perform(&self, action: Action) -> Result<()> {
        let from_ms = self.notebook.now_ms();
        let gateway = self.gateway_in_trouble(&action);
        let performed = self.perform_untold(action).await;
        if let Some(gateway) = gateway {
            let to_ms = self.notebook.now_ms();
            let trouble = GatewayFaultPeriod {
                gateway,
                from_ms,
                to_ms,
            };
            self.notebook
                .record(|evidence| evidence.troubles.push(trouble));
        }
        performed
    }

    /// The gateway that an action brings into trouble.
    fn gateway_in_trouble(&self, action: &Action) -> Option<usize> {
        let gateway = match action {
            Action::Freeze { gateway, .. }
            | Action::Kill { gateway }
            | Action::Stop { gateway }
            | Action::Harm {
                edge: Edge::Store,
                index: gateway,
                ..
            } => *gateway,
            _ => return None,
        };
        Some(gateway % self.gateways.len())
    }

    async fn perform_untold(&self, action: Action) -> Result<()> {
        match action {
            Action::Mix { worker, mix } => self.worker(worker).set_mix(mix),
            Action::Harm {
                edge,
                index,
                fault,
                for_ms,
            } => {
                let time = Duration::from_millis(for_ms);
                self.harm(edge, index, fault, time).await;
            }
            Action::Freeze { gateway, for_ms } => {
                let time = Duration::from_millis(for_ms);
                if self.gateway(gateway).freeze(time).await {
                    self.notebook.count_fault("process freeze");
                }
            }
            Action::Kill { gateway } => {
                let done = self.gateway(gateway).kill().await?;
                self.note_done(done, "process kill");
            }
            Action::Stop { gateway } => {
                let done = self.gateway(gateway).stop_and_start().await?;
                self.note_done(done, "process stop");
            }
            Action::Configure { count } => {
                for _ in 0..count {
                    self.configure();
                    self.notebook.count_fault("configuration");
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
                worker.set_rest(Some(rest_ms));
                sleep(Duration::from_millis(for_ms)).await;
                worker.set_rest(None);
            }
            Action::Restore(restore) => self.restore(restore).await,
            Action::Limit {
                worker,
                millirequests,
                for_ms,
            } => {
                let worker = self.worker(worker);
                worker.name_limit(Some(millirequests));
                sleep(Duration::from_millis(for_ms)).await;
                worker.name_limit(None);
            }
        }
        Ok(())
    }

    /// Lets gateways announce the entrances of their links to those that ask for their copies, for ever.
    pub async fn link_announcements(&self) {
        loop {
            for slot in &self.gateways {
                self.link_announcement(slot);
            }
            sleep(ANNOUNCEMENTS_PACE).await;
        }
    }

    fn link_announcement(&self, slot: &GatewaySlot) {
        let Some(addresses) = slot.addresses() else {
            return;
        };
        let key = presence::key(&slot.name());
        let announced = self
            .store
            .get(&key)
            .and_then(|(value, _)| String::from_utf8(value).ok());
        let peers = addresses.peers.to_string();
        if let Some(own) = announced.filter(|value| value.starts_with(&peers)) {
            let linked = own.replacen(&peers, &slot.copies.entrance.to_string(), 1);
            self.store.replace_value(&key, linked.into_bytes());
        }
    }

    /// The store is away for a while and comes back from a copy. The operator and workers write again what they wrote
    /// since; entries of workers that write no more run out.
    async fn restore(&self, restore: Restore) {
        let backup = self.store.back_up();
        sleep(Duration::from_millis(restore.copy_age_ms)).await;
        self.set_store_fault(StoreFault::Refuse);
        sleep(Duration::from_millis(restore.away_ms)).await;
        self.store.restore(&backup);
        self.set_store_fault(StoreFault::None);
        self.notebook.count_fault("store restored");
        sleep(Duration::from_millis(restore.rewritten_ms)).await;
        let version = self.version.get();
        self.operator.configure(version, &routes(version));
        for worker in self.workers.borrow().iter() {
            worker.write_again();
        }
        sleep(ENTRIES_LAST).await;
        self.end_silent_entries();
    }

    fn set_store_fault(&self, fault: StoreFault) {
        for slot in &self.gateways {
            slot.set_store_fault(fault);
        }
    }

    /// Takes entries out of the store whose workers are gone.
    fn end_silent_entries(&self) {
        let workers = self.workers.borrow();
        let live: Vec<String> = workers.iter().map(|worker| worker.id()).collect();
        for key in self.store.keys(WORKER_ENTRY_PREFIX) {
            if !live
                .iter()
                .any(|id| key[WORKER_ENTRY_PREFIX.len()..] == **id)
            {
                self.store.remove(&key);
            }
        }
    }

    /// Restores the store once more, with more changes lost than follow, and notes the gateways at which the
    /// configuration that is written then is not in force in time.
    pub async fn check_configuration(&self) {
        let backup = self.store.back_up();
        for number in 0..LOST_CHANGES {
            self.store.put("other/lost", &json!(number));
        }
        self.configure();
        sleep(SETTLING).await;
        self.store.restore(&backup);
        self.configure();
        let version = self.version.get();
        sleep(CONFIGURATION_APPLIED).await;
        for (gateway, slot) in self.gateways.iter().enumerate() {
            let known = match slot.addresses() {
                Some(addresses) => get_metric(addresses.metrics, CONFIGURATION_METRIC).await,
                None => None,
            };
            if known != Some(version as f64) {
                let stale = StaleConfiguration {
                    gateway,
                    written: version,
                    in_force: known,
                };
                self.notebook
                    .record(|evidence| evidence.stale_configurations.push(stale));
            }
        }
    }

    /// Ends all faults of workers.
    pub fn calm(&self) {
        for worker in self.workers.borrow().iter() {
            worker.set_mix(Mix::default());
        }
    }

    /// Stops all gateways as planned.
    pub async fn stop(&self) {
        let stops = self.gateways.iter().map(GatewaySlot::stop);
        for ended in futures_util::future::join_all(stops).await {
            self.note_ended(ended);
        }
    }

    fn note_done(&self, done: Done, name: &str) {
        if let Done::Done(ended) = done {
            self.notebook.count_fault(name);
            self.note_ended(ended);
        }
    }

    fn note_ended(&self, ended: Option<String>) {
        self.notebook
            .record(|evidence| evidence.ended.extend(ended));
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

    async fn add_worker(&self, plan: WorkerPlan, mix: Mix) -> Result<()> {
        let seed = self.seed ^ self.workers.borrow().len() as u64;
        let worker = Worker::start(&self.store, &self.notebook, plan, seed).await?;
        worker.set_mix(mix);
        self.workers.borrow_mut().push(Rc::new(worker));
        Ok(())
    }

    async fn harm(&self, edge: Edge, index: usize, fault: LinkFault, time: Duration) {
        self.notebook
            .count_fault(format!("link {edge:?} {}", fault.name()));
        let worker;
        let mut harmed = None;
        let link: &Link = match edge {
            Edge::Callers => &self.gateway(index).callers,
            Edge::Store => &self.gateway(index).store,
            Edge::Copies => &self.gateway(index).copies,
            Edge::Worker => {
                worker = self.worker(index);
                harmed = Some(worker.id());
                &worker.link
            }
        };
        let from_ms = self.notebook.now_ms();
        link.set_fault(fault);
        sleep(time).await;
        link.set_fault(LinkFault::None);
        if let Some(worker) = harmed {
            let trouble = WorkerLinkFaultPeriod {
                worker,
                from_ms,
                to_ms: self.notebook.now_ms(),
            };
            self.notebook
                .record(|evidence| evidence.worker_troubles.push(trouble));
        }
    }

    /// A worker leaves as planned, and another of its kind comes with no faults. For a while it says so in its answers
    /// alone.
    async fn replace(&self, index: usize, in_answers_alone: Duration) -> Result<()> {
        let leaving = {
            let mut workers = self.workers.borrow_mut();
            let index = index % workers.len();
            workers.remove(index)
        };
        self.notebook.count_fault("worker replaced");
        self.add_worker(leaving.plan, Mix::default()).await?;
        leaving.say_leaving();
        sleep(in_answers_alone).await;
        leaving.drain();
        sleep(DRAIN).await;
        leaving.withdraw();
        sleep(LINGER).await;
        Ok(())
    }
}

/// Waits until a metric of a gateway has this value.
async fn until_known(slot: &GatewaySlot, metric: &str, count: usize) {
    eventually(metric, || async {
        let metrics = slot.addresses()?.metrics;
        let known = get_metric(metrics, metric).await?;
        (known == count as f64).then_some(())
    })
    .await;
}
