//! A site of gateways, workers and a store.

mod caller;
mod observations;

use std::cell::Cell;
use std::net::SocketAddr;
use std::ops::Deref;

use serde_json::{json, Value};
use tansyhall_platform_standin::{
    Behaviour, CrashTrigger, CrashingWorker, GatewayFields, Operations, Operator, RoutePlan,
    ScalingPlan, Store, StoreEndpoint, StoreFault, TenantPlan, Worker, WorkerIncarnation,
    WorkerPlan,
};
use tansyhall_testing::{
    eventually, free_peer_address, gateway, get_metric, GatewayAddresses, GatewayProcess, Link,
};

pub use caller::{ask, ask_model, ask_model_with_body, ask_own_prompt, ask_with_key, CallerAnswer};

/// The template that is deployed.
const TEMPLATE: &str = include_str!("../../../../../deploy/node.toml");
/// When workers that tell it were started first, in milliseconds since 1970.
const FIRST_BIRTH: u64 = 1_700_000_000_000;
/// Keys of others in the store, so that it is read in several pages.
const FOREIGN_KEYS: usize = 130;
/// Milliseconds that a new holder of the authority waits.
const TAKEOVER_PAUSE_MS: u64 = 300;
/// The host of all routes.
pub const HOST: &str = "site.example";
const ZONE: &str = "kalimati";
const OTHER_ZONE: &str = "balkhu";
/// Paths of routes.
pub const REPEATABLE: &str = "/repeat/x";
/// A repeatable request whose answer is expected soon.
pub const SWIFT: &str = "/swift/x";
/// A request that runs at most once.
pub const AT_MOST_ONCE: &str = "/once/x";
/// A stream that may be resumed.
pub const RESUMABLE: &str = "/resume/x";
/// A stream that may not.
pub const FINAL_STREAM: &str = "/stream/x";
/// Milliseconds in which most requests should be answered.
const OBJECTIVE_MS: u64 = 5_000;
/// The same for swift ones.
const SWIFT_OBJECTIVE_MS: u64 = 300;
/// Where gateways announce themselves.
const GATEWAYS_PREFIX: &str = "tansyhall/gateways/";

/// A worker with its signature.
pub struct SiteWorker {
    /// The worker.
    pub worker: Worker,
}

impl SiteWorker {
    /// How it signs.
    pub fn seal(&self) -> String {
        format!("seal-of-{}", self.worker.id)
    }
}

/// A gateway of the site.
pub struct SiteGateway(GatewayProcess);

impl SiteGateway {
    /// Stops it as planned and returns the lines that it has written, its first line included.
    pub fn stop_and_read(mut self) -> Vec<Value> {
        self.0.process.signal("TERM");
        let text = self.0.process.first_line.clone() + &self.0.process.output_to_end();
        let parse = |line| serde_json::from_str(line).expect("one JSON object a line");
        text.lines().map(parse).collect()
    }
}

impl Deref for SiteGateway {
    type Target = GatewayProcess;

    fn deref(&self) -> &GatewayProcess {
        &self.0
    }
}

impl SiteGateway {
    /// One of its metrics.
    pub async fn metric(&self, name: &str) -> Option<f64> {
        get_metric(self.addresses.metrics, name).await
    }

    /// Whether it says that it is ready.
    pub async fn is_ready(&self) -> bool {
        let url = format!("http://{}/ready", self.addresses.ready);
        let answer = awc::Client::default().get(url).send().await;
        answer.is_ok_and(|answer| answer.status() == 200)
    }
}

/// The whole site.
pub struct Site {
    /// Workers it started with.
    pub workers: Vec<SiteWorker>,
    /// Gateways.
    pub gateways: Vec<SiteGateway>,
    /// The store's door of each gateway.
    pub doors: Vec<StoreEndpoint>,
    /// The platform's operations.
    pub operations: Operations,
    pub store: Store,
    operator: Operator,
    version: Cell<u64>,
    takeover_pause_ms: u64,
    /// The link of each gateway to the store, if there is one.
    pub store_links: Vec<Link>,
    has_store_links: bool,
    _directory: tempfile::TempDir,
}

/// Service, stage and behaviour of a worker.
pub type WorkerSpec = (&'static str, Option<&'static str>, Behaviour);

impl Site {
    /// Starts a site and waits until every gateway is ready and knows every worker.
    pub async fn start(workers: &[WorkerSpec], gateways: usize) -> Self {
        Self::start_with_pause(workers, gateways, TAKEOVER_PAUSE_MS).await
    }

    /// The same, with so many milliseconds that a new holder of the authority waits.
    pub async fn start_with_pause(
        workers: &[WorkerSpec],
        gateways: usize,
        takeover_pause_ms: u64,
    ) -> Self {
        Self::start_wired(workers, gateways, takeover_pause_ms, false).await
    }

    /// Starts a site whose gateways reach the store through a link each.
    pub async fn start_with_store_links(workers: &[WorkerSpec], gateways: usize) -> Self {
        Self::start_wired(workers, gateways, TAKEOVER_PAUSE_MS, true).await
    }

    async fn start_wired(
        workers: &[WorkerSpec],
        gateways: usize,
        takeover_pause_ms: u64,
        has_store_links: bool,
    ) -> Self {
        let store = Store::default();
        for number in 0..FOREIGN_KEYS {
            store.put(&format!("other/{number:04}"), &json!(number));
        }
        let operator = Operator::new(&store, HOST);
        operator.configure(1, &routes());
        let workers: Vec<SiteWorker> = workers
            .iter()
            .map(|spec| start_worker(&store, ZONE, spec))
            .collect();
        let directory = tempfile::tempdir().expect("a directory");
        let mut site = Self {
            workers,
            gateways: Vec::new(),
            doors: Vec::new(),
            operations: Operations::start().expect("a free port"),
            store,
            operator,
            version: Cell::new(1),
            takeover_pause_ms,
            store_links: Vec::new(),
            has_store_links,
            _directory: directory,
        };
        for number in 0..gateways {
            site.start_gateway(number);
        }
        for index in 0..gateways {
            let all = site.workers.len() as f64;
            site.until_announced_workers(index, all).await;
            let gateway = &site.gateways[index];
            eventually("the gateway is ready", || async {
                gateway.is_ready().await.then_some(())
            })
            .await;
        }
        site
    }

    /// Starts one more gateway.
    pub fn add_gateway(&mut self) {
        self.start_gateway(self.gateways.len());
    }

    /// Starts one more gateway, whose door of the store has this fault from the start.
    pub fn add_gateway_with(&mut self, fault: StoreFault) {
        self.start_gateway_with(self.gateways.len(), fault);
    }

    fn start_gateway(&mut self, number: usize) {
        self.start_gateway_with(number, StoreFault::None);
    }

    fn start_gateway_with(&mut self, number: usize, fault: StoreFault) {
        let door = self.store.open_endpoint().expect("a free port");
        door.set_fault(fault);
        let addresses = GatewayAddresses::free();
        let name = format!("gateway-{number}");
        let store = self.way_to_store(&door);
        let settings = self.settings(&name, &addresses, store);
        let process = gateway(self._directory.path(), &name, &settings, addresses);
        self.gateways.push(SiteGateway(process));
        self.doors.push(door);
    }

    /// One more door of the store.
    pub fn open_door(&self) -> StoreEndpoint {
        self.store.open_endpoint().expect("a free port")
    }

    /// Where a gateway reaches its door of the store.
    fn way_to_store(&mut self, door: &StoreEndpoint) -> SocketAddr {
        if !self.has_store_links {
            return door.address;
        }
        let link = Link::open(door.address);
        let entrance = link.entrance;
        self.store_links.push(link);
        entrance
    }

    /// Puts a link before each worker, and waits until the first gateway knows.
    pub async fn link_workers(&self) -> Vec<Link> {
        let link = |worker: &SiteWorker| {
            let link = Link::open(worker.worker.address);
            let key = format!("servers/{}", worker.worker.id);
            let (entry, _) = self.store.get(&key).expect("the worker's entry");
            let mut entry: Value = serde_json::from_slice(&entry).expect("JSON");
            entry["address"] = json!(link.entrance.to_string());
            self.store.put(&key, &entry);
            link
        };
        let links = self.workers.iter().map(link).collect();
        self.until_in_force(self.configure_next()).await;
        links
    }

    /// Puts a link before the address at which each gateway hands out its copy of the store, and
    /// waits until all know.
    pub async fn link_gateways(&self) -> Vec<Link> {
        let link = |gateway: &SiteGateway| {
            let peers = gateway.addresses.peers.to_string();
            let link = Link::open(gateway.addresses.peers);
            let entrance = link.entrance.to_string();
            for key in self.store.keys(GATEWAYS_PREFIX) {
                let (entry, _) = self.store.get(&key).expect("the gateway's entry");
                let entry = String::from_utf8(entry).expect("UTF-8");
                if entry.starts_with(&peers) {
                    let linked = entry.replacen(&peers, &entrance, 1);
                    self.store.put_bytes(&key, linked.into_bytes());
                }
            }
            link
        };
        let links = self.gateways.iter().map(link).collect();
        self.until_in_force(self.configure_next()).await;
        links
    }

    /// Kills every gateway at once, and starts as many anew.
    pub fn restart_all_gateways(&mut self) {
        let count = self.gateways.len();
        self.gateways.clear();
        self.doors.clear();
        for number in 0..count {
            self.start_gateway(number);
        }
    }

    /// Adds a worker in another zone, which is chosen after equal ones here, and waits until the first gateway knows it.
    pub async fn add_worker(
        &self,
        service: &'static str,
        stage: Option<&'static str>,
        behaviour: Behaviour,
    ) -> SiteWorker {
        let worker = start_worker(&self.store, OTHER_ZONE, &(service, stage, behaviour));
        self.until_announced_workers(0, self.workers.len() as f64 + 1.0)
            .await;
        worker
    }

    /// Starts workers of a service that end under such requests, and waits until all gateways know them. They have
    /// another name in each life.
    pub async fn add_mortal_workers(
        &self,
        count: usize,
        spec: WorkerSpec,
        deadly: CrashTrigger,
    ) -> Vec<CrashingWorker> {
        let lives = vec![None; count];
        self.start_mortal_workers(lives, spec, deadly).await
    }

    /// The same for workers that keep their names.
    pub async fn add_reborn_workers(
        &self,
        names: &[&str],
        spec: WorkerSpec,
        deadly: CrashTrigger,
    ) -> Vec<CrashingWorker> {
        let life = |name: &&str| {
            Some(WorkerIncarnation {
                name: (*name).to_owned(),
                started_at_ms: FIRST_BIRTH,
            })
        };
        let lives = names.iter().map(life).collect();
        self.start_mortal_workers(lives, spec, deadly).await
    }

    async fn start_mortal_workers(
        &self,
        lives: Vec<Option<WorkerIncarnation>>,
        (service, stage, behaviour): WorkerSpec,
        deadly: CrashTrigger,
    ) -> Vec<CrashingWorker> {
        let count = lives.len();
        let plan = worker_plan(service, ZONE, stage);
        let mut workers = Vec::new();
        for life in lives {
            let address = free_peer_address();
            let plan = WorkerPlan {
                incarnation: life,
                ..plan.clone()
            };
            let started = CrashingWorker::start(&self.store, address, plan, behaviour, deadly);
            workers.push(started.expect("a free port"));
        }
        for index in 0..self.gateways.len() {
            let all = self.workers.len() + count;
            self.until_announced_workers(index, all as f64).await;
        }
        workers
    }

    /// Starts a worker that sends each answer again, late, and waits until the first gateway knows it.
    pub async fn add_stuttering_worker(
        &self,
        service: &'static str,
        stage: Option<&'static str>,
        behaviour: Behaviour,
    ) -> SiteWorker {
        let plan = WorkerPlan {
            duplicates_answers: true,
            ..worker_plan(service, ZONE, stage)
        };
        let worker = Worker::start(&self.store, plan, behaviour).expect("a free port");
        self.until_announced_workers(0, self.workers.len() as f64 + 1.0)
            .await;
        SiteWorker { worker }
    }

    /// Puts the next configuration in force and returns its version.
    pub fn configure_next(&self) -> u64 {
        let version = self.version.get() + 3;
        self.version.set(version);
        self.operator.configure(version, &routes());
        version
    }

    /// Puts the next configuration in force, with these tenants, and waits until all gateways have it.
    pub async fn configure_tenants(&self, tenants: &[TenantPlan]) {
        let version = self.version.get() + 3;
        self.version.set(version);
        self.operator.configure_for(version, &routes(), tenants);
        self.until_in_force(version).await;
    }

    /// Puts the next configuration in force, with which workers of a service may be ordered.
    pub fn configure_scaling(&self, scaling: &ScalingPlan) {
        let version = self.version.get() + 3;
        self.version.set(version);
        self.operator.configure_scaling(version, &routes(), scaling);
    }

    /// Starts a worker that may be withdrawn, as it was ordered.
    pub fn start_spot_worker(&self, service: &'static str, zone: &'static str) -> Worker {
        let plan = WorkerPlan {
            spot: true,
            ..worker_plan(service, zone, Some("decode"))
        };
        let behaviour = Behaviour::Serve { events: 0 };
        Worker::start(&self.store, plan, behaviour).expect("a free port")
    }
}

/// A worker that has another name in each life, is not to be withdrawn and answers once.
fn worker_plan(
    service: &'static str,
    zone: &'static str,
    stage: Option<&'static str>,
) -> WorkerPlan {
    WorkerPlan {
        incarnation: None,
        service,
        zone,
        stage,
        spot: false,
        duplicates_answers: false,
    }
}

fn start_worker(
    store: &Store,
    zone: &'static str,
    (service, stage, behaviour): &WorkerSpec,
) -> SiteWorker {
    let plan = worker_plan(service, zone, *stage);
    let worker = Worker::start(store, plan, *behaviour).expect("a free port");
    SiteWorker { worker }
}

fn routes() -> Vec<RoutePlan> {
    let route = |name, prefix, kind, resumable, max_attempts, service| RoutePlan {
        name,
        prefix,
        kind,
        resumable,
        max_attempts,
        service,
        objective_ms: OBJECTIVE_MS,
    };
    let swift = RoutePlan {
        objective_ms: SWIFT_OBJECTIVE_MS,
        ..route("swift", "/swift/", "idempotent", false, 2, "app")
    };
    vec![
        swift,
        route("repeat", "/repeat/", "idempotent", false, 2, "app"),
        route("once", "/once/", "non_idempotent", false, 1, "app"),
        route("resume", "/resume/", "streaming", true, 2, "app"),
        route("stream", "/stream/", "streaming", false, 1, "app"),
        route("model", "/model/", "non_idempotent", false, 1, "llm"),
    ]
}

impl Site {
    fn settings(&self, name: &str, addresses: &GatewayAddresses, store: SocketAddr) -> String {
        let fields = GatewayFields {
            node: name.to_owned(),
            zone: ZONE,
            callers: addresses.callers,
            ready: addresses.ready,
            peers: addresses.peers,
            load: addresses.load,
            metrics: addresses.metrics,
            store,
            operations: self.operations.address,
            retry_ratio: 0.2,
            retry_extra: 54,
            retry_window_s: 10,
            grace_s: 8,
            takeover_pause_ms: self.takeover_pause_ms,
        };
        fields.render(TEMPLATE).expect("a template")
    }
}
