//! Structured log lines: one JSON object for each decision that touches a request or changes what
//! this gateway believes.
//!
//! Writing never blocks: lines wait in a bounded queue for one writer thread. Routine lines may
//! fill half of it and come at a bounded rate, all others may fill the whole; what finds no room is
//! dropped and counted, and the count is written when there is room again.

use std::collections::VecDeque;
use std::io::Write;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::Arc;
use std::time::{SystemTime, UNIX_EPOCH};

use parking_lot::{Condvar, Mutex};
use serde::Serialize;

/// What is logged. Field names are stable; operators' pages list them.
#[derive(Debug, Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum Event<'a> {
    /// The process has read its settings and listens.
    Started {
        /// The gateway's name.
        node: &'a str,
        /// Its zone.
        zone: &'a str,
        /// The version of the program.
        version: &'a str,
        /// The commit that it was built from, or `unknown`.
        commit: &'a str,
    },
    /// SIGTERM came: no new callers, what is under way is finished.
    Stopping {
        /// Requests under way.
        in_flight: u64,
    },
    /// The process ends.
    Stopped {
        /// Requests that were cut.
        in_flight: u64,
    },
    /// Settings were read again.
    Reloaded {
        /// `applied`, or why not.
        outcome: &'a str,
    },
    /// A configuration is in force.
    ConfigurationApplied {
        /// Its version.
        version: u64,
        /// The store's revision of it.
        revision: u64,
        /// Its routes.
        routes: usize,
        /// Its tenants.
        tenants: usize,
    },
    /// The store holds a configuration that is no later than the one in force, which stays so.
    ConfigurationPassedOver {
        /// Its version.
        version: u64,
        /// The store's revision of it.
        revision: u64,
        /// The version in force.
        in_force: u64,
    },
    /// An item of the store cannot be used; what was in force stays so.
    ItemRefused {
        /// The item's key.
        key: &'a str,
        /// Its revision.
        revision: u64,
        /// Why.
        reason: &'a str,
    },
    /// The set of workers has changed.
    WorkersChanged {
        /// Workers that take requests.
        ready: usize,
        /// The store's revision.
        revision: u64,
    },
    /// The store, or a peer in its place, cannot be reached any more or again; or a scheduler has not
    /// answered in time.
    Dependency {
        /// `store`, `peers` or `scheduler`.
        name: &'a str,
        /// `lost` or `regained`; `silent` for a scheduler.
        state: &'a str,
        /// The last error, or the scheduler's name.
        reason: &'a str,
    },
    /// The store names its epoch for the first time, or a later one: it was restored from an earlier copy of itself.
    StoreEpoch {
        /// The epoch.
        epoch: u64,
        /// The revision up to which this gateway knew the store before.
        copy_revision: u64,
    },
    /// The store was read whole, and its revision is lower than that of this gateway's copy.
    StoreWentBack {
        /// The store's revision.
        store_revision: u64,
        /// The copy's.
        copy_revision: u64,
    },
    /// This gateway gets the store's changes from elsewhere now.
    Upstream {
        /// The relay that is asked, or empty for the store itself.
        relay: &'a str,
        /// Milliseconds since the store last answered, itself or through a relay.
        store_age_ms: u64,
    },
    /// A worker has said in an answer that it leaves: it gets no new request.
    WorkerLeaving {
        /// The worker.
        worker: &'a str,
        /// What the answer was to: `run`, `read_prompt`, `report`, `list_cache`, `order` or `release`; or `gateway`
        /// if another one, whose requests this one places, has told it.
        source: &'a str,
    },
    /// A worker has turned a gateway away, and wants nothing more for a while: it gets nothing meanwhile.
    WorkerRests {
        /// The worker.
        worker: &'a str,
        /// Who says so, as in `worker_leaving`.
        source: &'a str,
        /// For how many milliseconds.
        rest_ms: u64,
    },
    /// A worker names a rate limit, or another one than before.
    WorkerRateLimit {
        /// The worker.
        worker: &'a str,
        /// Who says so, as in `worker_leaving`.
        source: &'a str,
        /// Requests a second that it takes from all gateways together.
        requests_per_second: f64,
    },
    /// A worker that named a rate limit names none any more.
    WorkerRateLimitEnded {
        /// The worker.
        worker: &'a str,
        /// Who says so, as in `worker_leaving`.
        source: &'a str,
    },
    /// A worker has ended under requests that this gateway had sent it.
    WorkerEnded {
        /// The worker.
        worker: &'a str,
        /// How many requests, tries of one counted once.
        requests: usize,
        /// The fingerprints of the first of them.
        fingerprints: &'a [String],
    },
    /// A request is barred: no worker gets it any more, as workers end under it.
    Barred {
        /// The request's fingerprint.
        fingerprint: &'a str,
        /// From where this gateway knows: `worker` (one ended under a send of its own), `gateway` or `store`.
        source: &'a str,
    },
    /// A send to a worker ended.
    Send {
        /// The caller's id of the request.
        request: &'a str,
        /// What the request asks for, equal for all its tries.
        fingerprint: &'a str,
        /// The worker.
        worker: &'a str,
        /// The gateway that has chosen it, or empty for the one that sends.
        scheduler: &'a str,
        /// `run` or `read_prompt`.
        work: &'a str,
        /// How it ended.
        outcome: &'a str,
        /// What the worker or the connection said, if it failed.
        detail: &'a str,
        /// Prompt tokens that were expected to be read there.
        reading_tokens: u64,
        /// Whether a part was to be fetched from another worker.
        fetched: bool,
        /// Milliseconds after which the answer was expected to begin.
        expected_ms: u64,
        /// Milliseconds until the answer began; 0 if it did not.
        head_ms: u64,
        /// Milliseconds it took.
        took_ms: u64,
    },
    /// An answer came that does not bear the id of the request before it on its connection.
    ForeignAnswer {
        /// The id of the request that waited for an answer; empty if it bore none.
        request: &'a str,
        /// The id that the answer bears; empty if it bears none.
        answered: &'a str,
        /// The worker.
        worker: &'a str,
        /// What was asked: `run`, `read_prompt`, `report`, `list_cache`, `order` or `release`.
        work: &'a str,
        /// The status of the answer.
        status: u16,
        /// Answers that the connection had brought before.
        answers_before: usize,
    },
    /// A request was refused before anything was tried.
    Refused {
        /// The caller's id of the request.
        request: &'a str,
        /// Why.
        reason: &'a str,
        /// The version of the configuration in force; 0 if none is.
        configuration: u64,
        /// Milliseconds since the store last answered.
        store_age_ms: u64,
    },
    /// A request is over.
    Request {
        /// The caller's id of it.
        request: &'a str,
        /// What it asks for, equal for all its tries.
        fingerprint: &'a str,
        /// Its route.
        route: &'a str,
        /// The version of the configuration that chose the route.
        configuration: u64,
        /// How it ended.
        outcome: &'a str,
        /// Why it was not sent, or not once more: `overload`, `tenant_share`, `rate_limit`, `no_worker`,
        /// `workers_rest`, `retry_budget`, or empty.
        cause: &'a str,
        /// Milliseconds that its prompt would have waited, if that is why.
        waiting_ms: u64,
        /// Workers it was sent to.
        sends: u32,
        /// The latency objective of its route in milliseconds.
        objective_ms: u64,
        /// Milliseconds from its arrival until its answer began; 0 if it did not.
        begun_ms: u64,
        /// Milliseconds since it arrived.
        took_ms: u64,
        /// Milliseconds that were left.
        left_ms: u64,
        /// Retries that this gateway could still spend on the service.
        retries_left: u64,
        /// Gateways that share the budgets, as this one believes.
        gateways: u64,
        /// Milliseconds since the store last answered.
        store_age_ms: u64,
    },
    /// This gateway came to hold the authority over roles, or lost it.
    Authority {
        /// `acquired` or `lost`.
        state: &'a str,
        /// The fence of the claim; 0 when it is lost.
        epoch: u64,
    },
    /// The usage of a window was summed up to be reported.
    UsageDecided {
        /// The window.
        window: u64,
        /// Requests of all tenants.
        requests: u64,
        /// Whether every gateway had counted past the window's end.
        complete: bool,
        /// `decided`, `decided before`, or why it is not known.
        outcome: &'a str,
    },
    /// The usage of a window was reported.
    UsageReported {
        /// The window.
        window: u64,
        /// `done`, `refused`, `not_done` or `unknown`.
        outcome: &'a str,
        /// What the platform said.
        detail: &'a str,
    },
    /// The number of a zone's workers was ordered.
    WorkersOrdered {
        /// Their service.
        service: &'a str,
        /// The zone.
        zone: &'a str,
        /// `reserved` or `spot`.
        kind: &'a str,
        /// How many.
        desired: u32,
        /// Workers of all zones that the demand needs.
        needed: u32,
        /// `done`, `refused`, `not_done` or `unknown`.
        outcome: &'a str,
        /// What the platform said.
        detail: &'a str,
    },
    /// An engine was ordered to change its role.
    Order {
        /// The engine.
        worker: &'a str,
        /// The role.
        role: &'a str,
        /// The fence.
        fence: u64,
        /// Orders that the engine had taken before.
        orders_taken: u64,
        /// `taken` or `unknown`.
        outcome: &'a str,
    },
    /// Lines were dropped for lack of room.
    LinesDropped {
        /// How many.
        count: u64,
    },
}

/// How much a line matters when there is little room.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Weight {
    /// A request that went well.
    Routine,
    /// A failure, or a change of what is believed.
    Important,
}

/// The queue before the writer.
#[derive(Debug)]
pub struct EventLog {
    node: String,
    queue: Mutex<Queue>,
    filled: Condvar,
    capacity: usize,
    routine_per_second: AtomicU32,
}

#[derive(Debug, Default)]
struct Queue {
    lines: VecDeque<String>,
    dropped: u64,
    second: u64,
    routine_in_second: u32,
}

impl Queue {
    fn admits_routine(&mut self, at_ms: u64, most: u32) -> bool {
        let second = at_ms / 1_000;
        if second != self.second {
            self.second = second;
            self.routine_in_second = 0;
        }
        self.routine_in_second = self.routine_in_second.saturating_add(1);
        self.routine_in_second <= most
    }
}

#[derive(Serialize)]
struct Line<'a> {
    at_ms: u64,
    node: &'a str,
    #[serde(flatten)]
    event: &'a Event<'a>,
}

impl EventLog {
    /// A log without a writer; see [`EventLog::start_writer`].
    pub fn new(node: &str, capacity: usize, routine_per_second: u32) -> Self {
        Self {
            node: node.to_owned(),
            queue: Mutex::default(),
            filled: Condvar::new(),
            capacity,
            routine_per_second: AtomicU32::new(routine_per_second),
        }
    }

    /// Changes how many routine lines are written in a second at the most.
    pub fn set_routine_per_second(&self, most: u32) {
        self.routine_per_second.store(most, Ordering::Relaxed);
    }

    /// Writes lines to standard output from a thread of its own.
    pub fn start_writer(self: &Arc<Self>) -> std::io::Result<()> {
        let log = Arc::clone(self);
        std::thread::Builder::new()
            .name("event-log".into())
            .spawn(move || log.write_to(&mut std::io::stdout()))?;
        Ok(())
    }

    /// Puts an event in the queue, if it has room.
    pub fn record(&self, weight: Weight, event: &Event<'_>) {
        let at_ms = since_epoch_ms();
        let mut queue = self.queue.lock();
        let room = match weight {
            Weight::Important => self.capacity,
            Weight::Routine if !queue.admits_routine(at_ms, self.routine_limit()) => 0,
            Weight::Routine => self.capacity / 2,
        };
        if queue.lines.len() >= room {
            queue.dropped += 1;
            return;
        }
        queue.lines.push_back(self.encode(at_ms, event));
        drop(queue);
        self.filled.notify_one();
    }

    /// Waits for lines and takes all of them.
    pub fn take(&self) -> Vec<String> {
        let mut queue = self.queue.lock();
        while queue.lines.is_empty() {
            self.filled.wait(&mut queue);
        }
        let mut lines: Vec<String> = queue.lines.drain(..).collect();
        let dropped = std::mem::take(&mut queue.dropped);
        if dropped > 0 {
            let event = Event::LinesDropped { count: dropped };
            lines.push(self.encode(since_epoch_ms(), &event));
        }
        lines
    }

    fn routine_limit(&self) -> u32 {
        self.routine_per_second.load(Ordering::Relaxed)
    }

    fn encode(&self, at_ms: u64, event: &Event<'_>) -> String {
        let line = Line {
            at_ms,
            node: &self.node,
            event,
        };
        let mut text = serde_json::to_string(&line).unwrap_or_default();
        text.push('\n');
        text
    }

    fn write_to(&self, output: &mut impl Write) {
        loop {
            let text: String = self.take().concat();
            if output.write_all(text.as_bytes()).is_err() {
                return;
            }
            let _ = output.flush();
        }
    }
}

fn since_epoch_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.map_or(0, |time| time.as_millis() as u64)
}
