//! What a worker knows, and where it records what it does.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

use parking_lot::Mutex;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde::Deserialize;
use tansyhall_platform_standin::{Store, WORKER_ENTRY_PREFIX};
use tokio::sync::watch;

use super::{entry, WorkerPlan};
use crate::evidence::{
    AnnouncedRateLimit, Arrival, BackoffRequest, Call, Evidence, InvalidBytes, Prefill, Run,
    WorkerCrash,
};
use crate::faults::{Aspect, Fault, FaultCounts, Mix};
use crate::identity::RequestKey;

/// Where callers and workers of an episode record what they see; clones share it.
#[derive(Debug, Clone)]
pub struct Notebook {
    started: Instant,
    pages: Arc<Mutex<Pages>>,
}

#[derive(Debug, Default)]
struct Pages {
    evidence: Evidence,
    faults: FaultCounts,
    next_run: u64,
    next_handle: u64,
    /// KV caches that wait to be taken, by `IP:PORT/HANDLE`.
    caches: HashMap<String, ()>,
}

impl Notebook {
    /// An empty one.
    pub fn new() -> Self {
        Self {
            started: Instant::now(),
            pages: Arc::default(),
        }
    }

    /// Milliseconds from the start.
    pub fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    /// Changes the evidence.
    pub fn record(&self, change: impl FnOnce(&mut Evidence)) {
        change(&mut self.pages.lock().evidence);
    }

    /// Counts a fault that happened.
    pub fn count_fault(&self, name: impl Into<String>) {
        *self.pages.lock().faults.entry(name.into()).or_default() += 1;
    }

    /// What was recorded so far; the notebook is empty afterwards.
    pub fn take(&self) -> (Evidence, FaultCounts) {
        let mut pages = self.pages.lock();
        let evidence = std::mem::take(&mut pages.evidence);
        (evidence, std::mem::take(&mut pages.faults))
    }

    /// The number of a new run.
    pub(super) fn next_run(&self) -> u64 {
        let mut pages = self.pages.lock();
        pages.next_run += 1;
        pages.next_run
    }

    /// Keeps a KV cache at an address and returns its handle.
    pub(super) fn keep_cache(&self, address: SocketAddr, key: RequestKey) -> String {
        let at_ms = self.now_ms();
        let mut pages = self.pages.lock();
        pages.next_handle += 1;
        let handle = format!("c{:x}", pages.next_handle);
        let place = format!("{address}/{handle}");
        pages.caches.insert(place.clone(), ());
        pages.evidence.readings.push(Prefill { place, key, at_ms });
        handle
    }

    /// Takes a KV cache; false if it is gone.
    pub(super) fn take_cache(&self, place: &str) -> bool {
        self.pages.lock().caches.remove(place).is_some()
    }
}

impl Default for Notebook {
    fn default() -> Self {
        Self::new()
    }
}

/// The body of an order.
#[derive(Debug, Deserialize)]
pub(super) struct Order {
    fence: u64,
    stage: String,
    expected_count: u64,
}

#[derive(Debug)]
struct Changing {
    mix: Mix,
    random: ChaCha8Rng,
    stage: Option<String>,
    state: &'static str,
    is_listed: bool,
    /// Whether its answers say that it leaves.
    says_leaving: bool,
    /// Milliseconds of rest that it asks for as it turns everything away, if it does.
    rest_ms: Option<u64>,
    /// Thousandths of a request a second that it names as its rate limit, if it does.
    limit_milli: Option<u64>,
    orders: u64,
    highest_fence: u64,
}

/// A request as it arrived.
pub(super) struct SeenArrival {
    pub(super) key: RequestKey,
    pub(super) is_reading: bool,
    pub(super) is_taken_up: bool,
    pub(super) is_meant: bool,
}

/// What a worker knows.
#[derive(Debug)]
pub(super) struct WorkerState {
    pub(super) id: String,
    pub(super) address: SocketAddr,
    pub(super) notebook: Notebook,
    plan: WorkerPlan,
    store: Store,
    ended: watch::Sender<bool>,
    changing: Mutex<Changing>,
}

impl WorkerState {
    pub(super) fn new(
        id: String,
        address: SocketAddr,
        plan: WorkerPlan,
        store: Store,
        notebook: Notebook,
        seed: u64,
    ) -> Self {
        let changing = Changing {
            mix: Mix::default(),
            random: ChaCha8Rng::seed_from_u64(seed),
            stage: plan.stage.map(str::to_owned),
            state: "ready",
            is_listed: true,
            says_leaving: false,
            rest_ms: None,
            limit_milli: None,
            orders: 0,
            highest_fence: 0,
        };
        Self {
            id,
            address,
            notebook,
            plan,
            store,
            ended: watch::Sender::new(false),
            changing: Mutex::new(changing),
        }
    }

    /// The next incarnation of the same worker, with the same faults.
    pub(super) fn successor(&self, id: String, seed: u64) -> Self {
        let (store, notebook) = (self.store.clone(), self.notebook.clone());
        let next = Self::new(id, self.address, self.plan, store, notebook, seed);
        next.set_mix(self.changing.lock().mix.clone());
        next
    }

    /// Ends it under a request.
    pub(super) fn end(&self, key: RequestKey) {
        let end = WorkerCrash {
            key,
            worker: self.id.clone(),
            at_ms: self.notebook.now_ms(),
        };
        self.notebook.count_fault("worker ended by a request");
        self.notebook
            .record(|evidence| evidence.worker_ends.push(end));
        self.ended.send_replace(true);
    }

    /// Waits until it has ended.
    pub(super) async fn until_ended(&self) {
        let mut ended = self.ended.subscribe();
        // The sender lives as long as this borrow.
        let _ = ended.wait_for(|ended| *ended).await;
    }

    /// Whether it is in the store, or was until it ended.
    pub(super) fn is_listed(&self) -> bool {
        self.changing.lock().is_listed
    }

    /// From now on, its answers say that it leaves.
    pub(super) fn say_leaving(&self) {
        self.changing.lock().says_leaving = true;
    }

    pub(super) fn says_leaving(&self) -> bool {
        self.changing.lock().says_leaving
    }

    /// Turns everything away from now on and asks for so much rest, or takes requests again.
    pub(super) fn set_rest(&self, rest_ms: Option<u64>) {
        self.changing.lock().rest_ms = rest_ms;
    }

    pub(super) fn rest_ms(&self) -> Option<u64> {
        self.changing.lock().rest_ms
    }

    /// Names a rate limit from now on, or none any more.
    pub(super) fn name_limit(&self, millirequests: Option<u64>) {
        let now_ms = self.notebook.now_ms();
        let before = {
            let mut changing = self.changing.lock();
            std::mem::replace(&mut changing.limit_milli, millirequests)
        };
        self.notebook.record(|evidence| {
            if before.is_some() {
                let mut named = evidence.rate_limits.iter_mut().rev();
                if let Some(last) = named.find(|named| named.worker == self.id) {
                    last.to_ms = Some(now_ms);
                }
            }
            evidence
                .rate_limits
                .extend(millirequests.map(|millirequests| AnnouncedRateLimit {
                    worker: self.id.clone(),
                    millirequests,
                    from_ms: now_ms,
                    to_ms: None,
                }));
        });
    }

    pub(super) fn limit_milli(&self) -> Option<u64> {
        self.changing.lock().limit_milli
    }

    pub(super) fn record_rest(&self, rest: BackoffRequest) {
        self.notebook.record(|evidence| evidence.rests.push(rest));
    }

    pub(super) fn set_mix(&self, mix: Mix) {
        self.changing.lock().mix = mix;
    }

    /// Draws something from the worker's own random numbers.
    pub(super) fn draw<T>(&self, draw: impl FnOnce(&mut ChaCha8Rng) -> T) -> T {
        draw(&mut self.changing.lock().random)
    }

    /// Draws whether an answer has a fault in this aspect.
    pub(super) fn draw_fault(&self, aspect: Aspect) -> Option<Fault> {
        let mut changing = self.changing.lock();
        let Changing { mix, random, .. } = &mut *changing;
        mix.pick(aspect, random)
    }

    pub(super) fn stage(&self) -> Option<String> {
        self.changing.lock().stage.clone()
    }

    pub(super) fn orders(&self) -> u64 {
        self.changing.lock().orders
    }

    /// Takes an order and returns the status of its answer.
    pub(super) fn take_order(&self, order: Order) -> u16 {
        {
            let mut changing = self.changing.lock();
            if order.fence < changing.highest_fence {
                return 412;
            }
            changing.highest_fence = order.fence;
            if order.expected_count != changing.orders {
                return 409;
            }
            if changing.stage.as_ref() == Some(&order.stage) {
                return 200;
            }
            changing.orders += 1;
            changing.stage = Some(order.stage);
        }
        self.write_entry();
        202
    }

    pub(super) fn announce(&self, state: &'static str) {
        self.changing.lock().state = state;
        self.write_entry();
    }

    pub(super) fn write_entry(&self) {
        let changing = self.changing.lock();
        if changing.is_listed {
            let stage = changing.stage.as_deref();
            let entry = entry(&self.plan, self.address, changing.state, stage);
            self.store.put(&self.key(), &entry);
        }
    }

    pub(super) fn withdraw(&self) {
        self.changing.lock().is_listed = false;
        self.store.remove(&self.key());
    }

    fn key(&self) -> String {
        format!("{WORKER_ENTRY_PREFIX}{}", self.id)
    }

    pub(super) fn record_arrival(&self, seen: SeenArrival) {
        let arrival = Arrival {
            key: seen.key,
            worker: self.id.clone(),
            is_reading: seen.is_reading,
            is_taken_up: seen.is_taken_up,
            is_meant: seen.is_meant,
            at_ms: self.notebook.now_ms(),
        };
        self.notebook
            .record(|evidence| evidence.arrivals.push(arrival));
    }

    pub(super) fn record_run(&self, run: Run) {
        self.notebook.record(|evidence| evidence.runs.push(run));
    }

    pub(super) fn record_garbled(&self, bytes: String) {
        let garbled = InvalidBytes {
            worker: self.id.clone(),
            bytes,
            at_ms: self.notebook.now_ms(),
        };
        self.notebook
            .record(|evidence| evidence.garbled.push(garbled));
    }

    pub(super) fn record_call(&self, what: String, id: Option<&str>) {
        let call = Call {
            worker: self.id.clone(),
            what,
            id: id.map(str::to_owned),
            at_ms: self.notebook.now_ms(),
        };
        self.notebook.record(|evidence| evidence.calls.push(call));
    }
}
