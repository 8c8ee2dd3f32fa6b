//! Workers that a test adds to its site.

use std::net::SocketAddr;

use serde_json::json;
use tansyhall_platform_standin::{
    Behaviour, CrashTrigger, CrashingWorker, Worker, WorkerIncarnation, WorkerPlan,
    WORKER_ENTRY_PREFIX,
};
use tansyhall_testing::free_peer_address;

use super::{
    start_worker, worker_plan, Site, SiteWorker, WorkerSpec, FIRST_VERSION, OTHER_ZONE, ZONE,
};

/// Time of the first start of workers that announce their start time, in milliseconds since the Unix epoch.
const FIRST_START_UNIX_MS: u64 = 1_700_000_000_000;

impl Site {
    /// Adds a worker in another zone, and waits until the first gateway knows it. Gateways prefer equal workers of their
    /// own zone.
    pub async fn add_worker(
        &self,
        service: &'static str,
        stage: Option<&'static str>,
        behaviour: Behaviour,
    ) -> SiteWorker {
        let worker = start_worker(&self.store, OTHER_ZONE, &(service, stage, behaviour));
        self.wait_for_announced_workers(0, self.workers.len() as f64 + 1.0)
            .await;
        worker
    }

    /// Writes the entry of a ready worker that the test serves itself, of this service and stage.
    pub fn announce_worker(
        &self,
        id: &str,
        (service, stage): (&str, Option<&str>),
        address: SocketAddr,
    ) {
        let mut entry = json!({
            "service": service,
            "address": address.to_string(),
            "zone": ZONE,
            "version": FIRST_VERSION,
            "slots": 64,
            "state": "ready",
            "cold_left_ms": 0,
            "seq": 1,
        });
        if let Some(stage) = stage {
            entry["stage"] = json!(stage);
        }
        self.store
            .put(&format!("{WORKER_ENTRY_PREFIX}{id}"), &entry);
    }

    /// Adds a worker of a service with this software version, and waits until all gateways know it.
    pub async fn add_worker_of_version(
        &mut self,
        service: &'static str,
        version: &'static str,
        behaviour: Behaviour,
    ) {
        self.start_worker_of_version(service, version, behaviour);
        for index in 0..self.gateways.len() {
            self.wait_for_announced_workers(index, self.workers.len() as f64)
                .await;
        }
    }

    /// Adds a worker of a service with this software version.
    pub fn start_worker_of_version(
        &mut self,
        service: &'static str,
        version: &'static str,
        behaviour: Behaviour,
    ) {
        let plan = WorkerPlan {
            version,
            ..worker_plan(service, ZONE, None)
        };
        let worker = Worker::start(&self.store, plan, behaviour).expect("a free port");
        self.workers.push(SiteWorker { worker });
    }

    /// Adds a worker of a service that keeps this name when it restarts, and waits until the first gateway knows it.
    pub async fn add_named_worker(
        &self,
        name: &str,
        service: &'static str,
        behaviour: Behaviour,
    ) -> Worker {
        let plan = WorkerPlan {
            incarnation: Some(incarnation(name)),
            ..worker_plan(service, ZONE, None)
        };
        // The system gives such a port to no outgoing connection while the worker is stopped.
        let address = free_peer_address();
        let worker = Worker::start_at_address(&self.store, address, plan, behaviour);
        let worker = worker.expect("a free port");
        self.wait_for_announced_workers(0, self.workers.len() as f64 + 1.0)
            .await;
        worker
    }

    /// Starts workers of a service that crash while running such requests, and waits until all gateways know them. They
    /// have another name in each incarnation.
    pub async fn add_crashing_workers(
        &self,
        count: usize,
        spec: WorkerSpec,
        trigger: CrashTrigger,
    ) -> Vec<CrashingWorker> {
        let incarnations = vec![None; count];
        self.start_crashing_workers(incarnations, spec, trigger)
            .await
    }

    /// Starts workers like [`Site::add_crashing_workers`], but with names that they keep when they restart.
    pub async fn add_named_crashing_workers(
        &self,
        names: &[&str],
        spec: WorkerSpec,
        trigger: CrashTrigger,
    ) -> Vec<CrashingWorker> {
        let incarnations = names.iter().map(|name| Some(incarnation(name))).collect();
        self.start_crashing_workers(incarnations, spec, trigger)
            .await
    }

    async fn start_crashing_workers(
        &self,
        incarnations: Vec<Option<WorkerIncarnation>>,
        (service, stage, behaviour): WorkerSpec,
        trigger: CrashTrigger,
    ) -> Vec<CrashingWorker> {
        let count = incarnations.len();
        let plan = worker_plan(service, ZONE, stage);
        let mut workers = Vec::new();
        for incarnation in incarnations {
            let address = free_peer_address();
            let plan = WorkerPlan {
                incarnation,
                ..plan.clone()
            };
            let started = CrashingWorker::start(&self.store, address, plan, behaviour, trigger);
            workers.push(started.expect("a free port"));
        }
        for index in 0..self.gateways.len() {
            let all = self.workers.len() + count;
            self.wait_for_announced_workers(index, all as f64).await;
        }
        workers
    }

    /// Starts a worker that sends each answer a second time, late, and waits until the first gateway knows it.
    pub async fn add_duplicating_worker(
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
        self.wait_for_announced_workers(0, self.workers.len() as f64 + 1.0)
            .await;
        SiteWorker { worker }
    }
}

/// Returns the first incarnation of a worker.
fn incarnation(name: &str) -> WorkerIncarnation {
    WorkerIncarnation {
        name: name.to_owned(),
        started_at_ms: FIRST_START_UNIX_MS,
    }
}
