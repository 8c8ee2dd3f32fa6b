//! The state of a worker, and the recorder of what happens in an episode.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use parking_lot::Mutex;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde::Deserialize;
use tansyhall_platform_standin::{Store, WORKER_ENTRY_PREFIX};
use tokio::sync::watch;
use tokio::time::sleep;

use super::{worker_entry, WorkerPlan};
use crate::evidence::{
    AnnouncedRateLimit, Arrival, BackoffRequest, BrokenAnswer, Call, Evidence, InvalidBytes,
    Prefill, Run, WorkerCrash, WorkerSilencePeriod,
};
use crate::faults::{Aspect, Fault, FaultCounts, FaultMix};
use crate::identity::RequestKey;

/// Records what callers and workers of an episode observe. Clones share the same records.
#[derive(Debug, Clone)]
pub struct Recorder {
    started: Instant,
    records: Arc<Mutex<Records>>,
}

#[derive(Debug, Default)]
struct Records {
    evidence: Evidence,
    faults: FaultCounts,
    next_run: u64,
    next_handle: u64,
    /// KV caches that have not been used yet, by `IP:PORT/HANDLE`.
    caches: HashMap<String, ()>,
}

impl Recorder {
    /// Creates an empty recorder.
    pub fn new() -> Self {
        Self {
            started: Instant::now(),
            records: Arc::default(),
        }
    }

    /// Returns the milliseconds since the recorder was created.
    pub fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    /// Applies a change to the evidence.
    pub fn record(&self, change: impl FnOnce(&mut Evidence)) {
        change(&mut self.records.lock().evidence);
    }

    /// Counts a fault that was injected.
    pub fn count_fault(&self, name: impl Into<String>) {
        *self.records.lock().faults.entry(name.into()).or_default() += 1;
    }

    /// Returns everything recorded so far and clears the records.
    pub fn take(&self) -> (Evidence, FaultCounts) {
        let mut records = self.records.lock();
        let evidence = std::mem::take(&mut records.evidence);
        (evidence, std::mem::take(&mut records.faults))
    }

    /// Returns the number of a new run.
    pub(super) fn next_run(&self) -> u64 {
        let mut records = self.records.lock();
        records.next_run += 1;
        records.next_run
    }

    /// Stores a KV cache at an address, records the prefill and returns the handle of the cache.
    pub(super) fn store_cache(&self, address: SocketAddr, key: RequestKey) -> String {
        let at_ms = self.now_ms();
        let mut records = self.records.lock();
        records.next_handle += 1;
        let handle = format!("c{:x}", records.next_handle);
        let place = format!("{address}/{handle}");
        records.caches.insert(place.clone(), ());
        records
            .evidence
            .readings
            .push(Prefill { place, key, at_ms });
        handle
    }

    /// Removes a KV cache. Returns false if it does not exist any more.
    pub(super) fn remove_cache(&self, place: &str) -> bool {
        self.records.lock().caches.remove(place).is_some()
    }
}

impl Default for Recorder {
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
struct MutableState {
    mix: FaultMix,
    random: ChaCha8Rng,
    stage: Option<String>,
    state: &'static str,
    is_listed: bool,
    /// Whether answers carry the header that announces that the worker is leaving.
    is_advertising_leaving: bool,
    /// Back-off that the worker asks for in milliseconds; while set, the worker refuses every request.
    backoff_ms: Option<u64>,
    /// Rate limit that answers carry, in thousandths of a request per second.
    rate_limit_millirequests: Option<u64>,
    orders: u64,
    highest_fence: u64,
}

/// A request that arrived at the worker.
pub(super) struct SeenArrival {
    pub(super) key: RequestKey,
    pub(super) is_reading: bool,
    pub(super) is_taken_up: bool,
    pub(super) is_meant: bool,
}

/// The state of one incarnation of a worker.
#[derive(Debug)]
pub(super) struct WorkerState {
    pub(super) id: String,
    pub(super) address: SocketAddr,
    pub(super) recorder: Recorder,
    pub(super) plan: WorkerPlan,
    store: Store,
    crashed: watch::Sender<bool>,
    /// The number of silences in progress.
    silences: watch::Sender<u32>,
    mutable: Mutex<MutableState>,
}

impl WorkerState {
    pub(super) fn new(
        id: String,
        address: SocketAddr,
        plan: WorkerPlan,
        store: Store,
        recorder: Recorder,
        seed: u64,
    ) -> Self {
        let mutable = MutableState {
            mix: FaultMix::default(),
            random: ChaCha8Rng::seed_from_u64(seed),
            stage: plan.stage.map(str::to_owned),
            state: "ready",
            is_listed: true,
            is_advertising_leaving: false,
            backoff_ms: None,
            rate_limit_millirequests: None,
            orders: 0,
            highest_fence: 0,
        };
        Self {
            id,
            address,
            recorder,
            plan,
            store,
            crashed: watch::Sender::new(false),
            silences: watch::Sender::new(0),
            mutable: Mutex::new(mutable),
        }
    }

    /// Creates the next incarnation of the same worker, with the same faults.
    pub(super) fn next_incarnation(&self, id: String, seed: u64) -> Self {
        let (store, recorder) = (self.store.clone(), self.recorder.clone());
        let next = Self::new(id, self.address, self.plan, store, recorder, seed);
        next.set_mix(self.mutable.lock().mix.clone());
        next
    }

    /// Crashes the worker because of a request.
    pub(super) fn crash(&self, key: RequestKey) {
        let end = WorkerCrash {
            key,
            worker: self.id.clone(),
            at_ms: self.recorder.now_ms(),
        };
        self.record_broken_answer(None);
        self.recorder.count_fault("worker ended by a request");
        self.recorder
            .record(|evidence| evidence.worker_ends.push(end));
        self.crashed.send_replace(true);
    }

    /// Waits until the worker has crashed.
    pub(super) async fn wait_until_crashed(&self) {
        let mut crashed = self.crashed.subscribe();
        // `wait_for` cannot fail: the sender outlives this borrow.
        let _ = crashed.wait_for(|crashed| *crashed).await;
    }

    /// Sends nothing for this time, and goes on afterwards.
    pub(super) async fn fall_silent(&self, duration: Duration) {
        let from_ms = self.recorder.now_ms();
        self.silences.send_modify(|silences| *silences += 1);
        sleep(duration).await;
        self.silences.send_modify(|silences| *silences -= 1);
        let period = WorkerSilencePeriod {
            worker: self.id.clone(),
            from_ms,
            to_ms: self.recorder.now_ms(),
        };
        self.recorder
            .record(|evidence| evidence.silences.push(period));
    }

    /// Returns whether the worker currently sends nothing.
    pub(super) fn is_silent(&self) -> bool {
        *self.silences.borrow() > 0
    }

    /// Waits until the worker is not silent.
    pub(super) async fn wait_while_silent(&self) {
        let mut silences = self.silences.subscribe();
        // `wait_for` cannot fail: the sender outlives this borrow.
        let _ = silences.wait_for(|silences| *silences == 0).await;
    }

    /// Records that the worker does not send the answer to a request as it should, or none of its answers.
    pub(super) fn record_broken_answer(&self, id: Option<&str>) {
        let broken = BrokenAnswer {
            worker: self.id.clone(),
            id: id.map(str::to_owned),
            at_ms: self.recorder.now_ms(),
        };
        self.recorder
            .record(|evidence| evidence.broken_answers.push(broken));
    }

    /// Whether the worker is listed in the store, or was until it crashed.
    pub(super) fn is_listed(&self) -> bool {
        self.mutable.lock().is_listed
    }

    /// Announces in all further answers that the worker is leaving.
    pub(super) fn advertise_leaving(&self) {
        self.mutable.lock().is_advertising_leaving = true;
    }

    pub(super) fn is_advertising_leaving(&self) -> bool {
        self.mutable.lock().is_advertising_leaving
    }

    /// Refuses all further requests and asks for this back-off, or with `None` accepts requests again.
    pub(super) fn set_backoff(&self, backoff_ms: Option<u64>) {
        self.mutable.lock().backoff_ms = backoff_ms;
    }

    pub(super) fn backoff_ms(&self) -> Option<u64> {
        self.mutable.lock().backoff_ms
    }

    /// Sets or clears the rate limit that further answers carry, and records it.
    pub(super) fn set_rate_limit(&self, millirequests: Option<u64>) {
        let now_ms = self.recorder.now_ms();
        let previous = {
            let mut mutable = self.mutable.lock();
            std::mem::replace(&mut mutable.rate_limit_millirequests, millirequests)
        };
        self.recorder.record(|evidence| {
            if previous.is_some() {
                let mut limits = evidence.rate_limits.iter_mut().rev();
                if let Some(last) = limits.find(|limit| limit.worker == self.id) {
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

    pub(super) fn rate_limit_millirequests(&self) -> Option<u64> {
        self.mutable.lock().rate_limit_millirequests
    }

    pub(super) fn record_backoff(&self, backoff: BackoffRequest) {
        self.recorder
            .record(|evidence| evidence.rests.push(backoff));
    }

    pub(super) fn set_mix(&self, mix: FaultMix) {
        self.mutable.lock().mix = mix;
    }

    /// Draws a value from the worker's own random number generator.
    pub(super) fn draw<T>(&self, draw: impl FnOnce(&mut ChaCha8Rng) -> T) -> T {
        draw(&mut self.mutable.lock().random)
    }

    /// Draws the fault that an answer has in this aspect, if any.
    pub(super) fn draw_fault(&self, aspect: Aspect) -> Option<Fault> {
        let mut mutable = self.mutable.lock();
        let MutableState { mix, random, .. } = &mut *mutable;
        mix.pick(aspect, random)
    }

    pub(super) fn stage(&self) -> Option<String> {
        self.mutable.lock().stage.clone()
    }

    pub(super) fn orders(&self) -> u64 {
        self.mutable.lock().orders
    }

    /// Applies an order and returns the status of its answer.
    pub(super) fn apply_order(&self, order: Order) -> u16 {
        {
            let mut mutable = self.mutable.lock();
            if order.fence < mutable.highest_fence {
                return 412;
            }
            mutable.highest_fence = order.fence;
            if order.expected_count != mutable.orders {
                return 409;
            }
            if mutable.stage.as_ref() == Some(&order.stage) {
                return 200;
            }
            mutable.orders += 1;
            mutable.stage = Some(order.stage);
        }
        self.write_entry();
        202
    }

    pub(super) fn announce_state(&self, state: &'static str) {
        self.mutable.lock().state = state;
        self.write_entry();
    }

    pub(super) fn write_entry(&self) {
        let mutable = self.mutable.lock();
        if mutable.is_listed {
            let stage = mutable.stage.as_deref();
            let entry = worker_entry(&self.plan, self.address, mutable.state, stage);
            self.store.put(&self.key(), &entry);
        }
    }

    pub(super) fn remove_entry(&self) {
        self.mutable.lock().is_listed = false;
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
            at_ms: self.recorder.now_ms(),
        };
        self.recorder
            .record(|evidence| evidence.arrivals.push(arrival));
    }

    pub(super) fn record_run(&self, run: Run) {
        self.recorder.record(|evidence| evidence.runs.push(run));
    }

    pub(super) fn record_garbled(&self, bytes: String) {
        let garbled = InvalidBytes {
            worker: self.id.clone(),
            bytes,
            at_ms: self.recorder.now_ms(),
        };
        self.recorder
            .record(|evidence| evidence.garbled.push(garbled));
    }

    pub(super) fn record_call(&self, what: String, id: Option<&str>) {
        let call = Call {
            worker: self.id.clone(),
            what,
            id: id.map(str::to_owned),
            at_ms: self.recorder.now_ms(),
        };
        self.recorder.record(|evidence| evidence.calls.push(call));
    }
}
