//! Structured log: one JSON object per line for each decision that affects a request or changes what this gateway knows.
//!
//! Recording an event never blocks: lines are queued in a bounded queue for a single writer thread. Routine lines may fill
//! half of the queue and are limited in rate; all other lines may fill the whole queue. Lines that do not fit are dropped
//! and counted, and the count is written as soon as there is room again.

use std::collections::VecDeque;
use std::io::Write;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::Arc;
use std::time::{SystemTime, UNIX_EPOCH};

use parking_lot::{Condvar, Mutex};
use serde::Serialize;

/// A logged event. The field names are stable; the documentation for operators lists them.
#[derive(Debug, Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum Event<'a> {
    /// The process has read its settings and accepts connections.
    Started {
        /// The gateway's name.
        node: &'a str,
        /// Its zone.
        zone: &'a str,
        /// The version of the program.
        version: &'a str,
        /// The commit that the program was built from, or `unknown`.
        commit: &'a str,
    },
    /// SIGTERM was received: requests in progress are finished, and the gateway stops accepting new ones.
    Stopping {
        /// Number of requests in progress.
        in_flight: u64,
    },
    /// The process exits.
    Stopped {
        /// Number of requests in progress that are aborted.
        in_flight: u64,
    },
    /// The settings were reloaded.
    Reloaded {
        /// `applied`, or the error.
        outcome: &'a str,
    },
    /// A configuration came into force.
    ConfigurationApplied {
        /// Its version.
        version: u64,
        /// The store's revision of it.
        revision: u64,
        /// Number of its routes.
        routes: usize,
        /// Number of its tenants.
        tenants: usize,
    },
    /// The configuration in the store is not later than the one in force, and is ignored.
    ConfigurationPassedOver {
        /// Its version.
        version: u64,
        /// The store's revision of it.
        revision: u64,
        /// The version in force.
        in_force: u64,
    },
    /// An item of the store cannot be used; the state in force does not change.
    ItemRefused {
        /// The key of the item.
        key: &'a str,
        /// Its revision.
        revision: u64,
        /// The reason.
        reason: &'a str,
    },
    /// The number of ready workers has changed.
    WorkersChanged {
        /// Number of workers that accept requests.
        ready: usize,
        /// The store's revision.
        revision: u64,
    },
    /// The store announced that a worker which accepted requests no longer does.
    WorkerDeparted {
        /// The worker.
        worker: &'a str,
        /// `draining`: its entry says so; `removed`: its entry is gone; `lapsed`: its entry is gone after an outage of the
        /// store, and the worker remains usable for now; `overdue`: a lapsed entry has not returned; `restarted`: another
        /// incarnation has the entry.
        cause: &'static str,
        /// The address of the gateway that sent this gateway the change; empty for the store itself.
        heard_from: &'a str,
        /// The revision of this gateway's mirror.
        revision: u64,
        /// How many milliseconds ago the store may have accepted the change, at most.
        delay_ms: u64,
    },
    /// The store's answers reach this gateway again, directly or through another gateway, after a gap.
    StoreContactRegained {
        /// The gateway that passed the answer on; empty for the store itself.
        heard_from: &'a str,
        /// Milliseconds between the store's answers before and after the gap.
        gap_ms: u64,
        /// Whether the gap counts as an outage of the store. Otherwise only its answers did not reach this gateway.
        outage: bool,
    },
    /// The store, or the peers in its place, became unreachable or reachable again; or a scheduler has not answered in
    /// time.
    Dependency {
        /// `store`, `peers` or `scheduler`.
        name: &'a str,
        /// `lost` or `regained`; `silent` for a scheduler.
        state: &'a str,
        /// The last error, or the name of the scheduler.
        reason: &'a str,
    },
    /// The store reports an epoch for the first time, or a later epoch, because it was restored from a backup.
    StoreEpoch {
        /// The epoch.
        epoch: u64,
        /// The revision of this gateway's mirror before the event.
        copy_revision: u64,
    },
    /// The whole store was read, and its revision is lower than that of this gateway's mirror.
    StoreWentBack {
        /// The store's revision.
        store_revision: u64,
        /// The revision of the mirror.
        copy_revision: u64,
    },
    /// This gateway now receives the changes of the store from a different source.
    Upstream {
        /// The relay that is queried; empty for the store itself.
        relay: &'a str,
        /// Milliseconds since the store last answered, directly or through a relay.
        store_age_ms: u64,
    },
    /// This gateway reaches its workers only through other gateways, or reaches them itself again.
    WorkerPaths {
        /// `partitioned` or `restored`.
        state: &'a str,
        /// The worker whose connection has shown it.
        worker: &'a str,
        /// Number of workers that this gateway did not reach; 0 if `restored`.
        failed_workers: usize,
        /// Whether all connections to them were refused or reset; otherwise at least one timed out.
        by_refusal: bool,
        /// Milliseconds since the first connection failed.
        since_ms: u64,
    },
    /// A worker has stated in an answer that it is leaving. It gets no new requests.
    WorkerLeaving {
        /// The worker.
        worker: &'a str,
        /// The kind of request that was answered: `run`, `read_prompt`, `report`, `list_cache`, `order` or `release`; or
        /// `gateway` if another gateway, whose requests this one places, has forwarded the notice.
        source: &'a str,
    },
    /// A worker has asked a gateway to back off. It gets no requests until the back-off ends.
    WorkerRests {
        /// The worker.
        worker: &'a str,
        /// The source of the notice, as in `worker_leaving`.
        source: &'a str,
        /// The length of the back-off in milliseconds.
        rest_ms: u64,
    },
    /// A worker states a rate limit for the first time, or a different one.
    WorkerRateLimit {
        /// The worker.
        worker: &'a str,
        /// The source of the notice, as in `worker_leaving`.
        source: &'a str,
        /// Requests per second that it accepts from all gateways together.
        requests_per_second: f64,
    },
    /// A worker that stated a rate limit no longer states one.
    WorkerRateLimitEnded {
        /// The worker.
        worker: &'a str,
        /// The source of the notice, as in `worker_leaving`.
        source: &'a str,
    },
    /// A worker has ended while it ran requests of this gateway.
    WorkerEnded {
        /// The worker.
        worker: &'a str,
        /// Number of these requests; several attempts of one request are counted once.
        requests: usize,
        /// The fingerprints of the first of these requests.
        fingerprints: &'a [String],
        /// The fingerprints of the first of the prompt parts that they share with others.
        parts: &'a [String],
    },
    /// A request was sent although its prompt holds barred parts, to find out whether they crash workers.
    PartsTried {
        /// The id that the caller gave the request.
        request: &'a str,
        /// The fingerprints of its shared parts.
        parts: &'a [String],
    },
    /// It was found out why a worker's address refuses connections.
    RefusedConnection {
        /// The worker.
        worker: &'a str,
        /// The cause: `worker_ended` or `path_fault`.
        cause: &'static str,
        /// Number of other workers that this gateway tried to reach.
        compared: usize,
        /// Number of those that it reached.
        reached: usize,
    },
    /// A request, or all requests with a prompt part, were barred: no worker gets them any more, because they crash workers.
    Barred {
        /// What is barred: `request` or `prompt_part`.
        subject: &'a str,
        /// The fingerprint of the request or the part.
        fingerprint: &'a str,
        /// The source of this knowledge: `worker` (one ended while it ran a request of this gateway), `gateway` or `store`.
        source: &'a str,
    },
    /// A send to a worker ended.
    Send {
        /// The id that the caller gave the request.
        request: &'a str,
        /// The fingerprint of the request's content, which is the same for all attempts.
        fingerprint: &'a str,
        /// The worker.
        worker: &'a str,
        /// The gateway that has selected the worker; empty if the sending gateway did.
        scheduler: &'a str,
        /// The gateway that relayed the connection to the worker; empty for a direct connection.
        relay: &'a str,
        /// `run` or `read_prompt`.
        work: &'a str,
        /// The result of the send.
        outcome: &'a str,
        /// The error of the worker or of the connection, if the send failed.
        detail: &'a str,
        /// Number of prompt tokens that the worker was expected to read.
        reading_tokens: u64,
        /// Whether the worker was to fetch prompt parts from another worker.
        fetched: bool,
        /// Expected milliseconds until the answer begins.
        expected_ms: u64,
        /// Milliseconds until the answer began; 0 if it did not.
        head_ms: u64,
        /// Duration of the send in milliseconds.
        took_ms: u64,
        /// The longest pause between two events of its stream in milliseconds; 0 if there was none.
        pause_ms: u64,
        /// The software version of the worker.
        version: &'a str,
        /// What marks the end of the answer's body: `length`, `chunks` or `connection`; empty without an answer.
        framing: &'a str,
        /// What this gateway knew of the worker's entry when the send began: `ready`, `draining`, `lapsed` or `none`.
        entry: &'a str,
        /// Milliseconds since the store had last answered when the send began.
        store_age_ms: u64,
        /// Milliseconds from the start of the send until the request was passed to a connection; absent if it was not.
        #[serde(skip_serializing_if = "Option::is_none")]
        sent_ms: Option<u64>,
    },
    /// An answer was received that does not match the request sent before it on the same connection.
    ForeignAnswer {
        /// The id of the request that waits for an answer; empty if it has none.
        request: &'a str,
        /// The id in the answer; empty if it has none.
        answered: &'a str,
        /// The worker.
        worker: &'a str,
        /// The kind of the request: `run`, `read_prompt`, `report`, `list_cache`, `order` or `release`.
        work: &'a str,
        /// The HTTP status of the answer.
        status: u16,
        /// Number of answers that the connection carried before.
        answers_before: usize,
    },
    /// A request was refused before any attempt to run it.
    Refused {
        /// The id that the caller gave the request.
        request: &'a str,
        /// The reason.
        reason: &'a str,
        /// The version of the configuration in force; 0 if none is.
        configuration: u64,
        /// Milliseconds since the store last answered.
        store_age_ms: u64,
    },
    /// A request has ended.
    Request {
        /// The id that the caller gave it.
        request: &'a str,
        /// The fingerprint of its content, which is the same for all attempts.
        fingerprint: &'a str,
        /// The name of its route.
        route: &'a str,
        /// The version of the configuration that determined the route.
        configuration: u64,
        /// Its outcome.
        outcome: &'a str,
        /// Why it was not sent, or not retried: `overload`, `tenant_share`, `rate_limit`, `no_worker`,
        /// `workers_rest`, `no_path`, `retry_budget`, `unknown_version`, `no_worker_of_version`, or empty.
        cause: &'a str,
        /// The group that it belongs to, `urgent` or `less_urgent`: a refused request would have waited for its own group
        /// or for all requests.
        urgency: &'a str,
        /// Milliseconds that its prompt would have waited, if this is the cause.
        waiting_ms: u64,
        /// Number of sends to workers.
        sends: u32,
        /// The latency objective of its route in milliseconds.
        objective_ms: u64,
        /// Milliseconds from its arrival until its answer began; 0 if it did not.
        begun_ms: u64,
        /// Milliseconds from its arrival until its end.
        took_ms: u64,
        /// The longest pause between two events of its stream in milliseconds, including the change to another worker;
        /// 0 if there was none.
        pause_ms: u64,
        /// Milliseconds that were left until its deadline.
        left_ms: u64,
        /// Number of retries that this gateway still has for the service.
        retries_left: u64,
        /// Number of gateways that share the budgets, as known to this one.
        gateways: u64,
        /// Milliseconds since the store last answered.
        store_age_ms: u64,
        /// The attempt that brought the first event of the stream that it takes up; empty if it takes none up.
        resumes: &'a str,
    },
    /// A worker was asked whether it is the incarnation that its entry describes.
    Incarnation {
        /// The id that the caller gave the request whose stream the worker has begun to send.
        request: &'a str,
        /// The name of the worker.
        worker: &'a str,
        /// The start of the incarnation that the entry describes, in milliseconds since the Unix epoch.
        announced_ms: Option<u64>,
        /// The start of the one that has answered; missing if none has said it.
        answered_ms: Option<u64>,
    },
    /// The id of a stream's event did not rise.
    MisorderedEvent {
        /// The id that the caller gave the request.
        request: &'a str,
        /// The worker that sent the event.
        worker: &'a str,
        /// The id of the event.
        id: &'a str,
        /// The id of the last event before it in the answer, or that the caller has named.
        after: &'a str,
    },
    /// The software version was looked for at which a stream began that a caller takes up.
    StreamVersion {
        /// The id that the caller gave the request.
        request: &'a str,
        /// The attempt that brought the first event of the stream; empty if the caller names none.
        resumes: &'a str,
        /// The version; empty if it is not known.
        version: &'a str,
        /// What the version follows from: `known` (a gateway or the store knows the stream), `only` (gateways testify that
        /// this version alone has served), or empty if it is not known.
        ground: &'a str,
        /// What this gateway knew before it asked: `known`, `only`, `several` or `unsure`.
        own: &'a str,
        /// What it knew when the search ended, in the same words.
        own_at_end: &'a str,
        /// Age in milliseconds of the store's last answer, when the search began.
        store_age_ms: u64,
        /// Revision of this gateway's mirror of the store, when the search began.
        mirror_revision: u64,
        /// Number of other gateways that were asked.
        asked: usize,
        /// Number of other gateways that answered.
        answered: usize,
        /// What the store said: `known`, `unknown`, `failed`, `silent`, or `unread` if it was not asked.
        stored: &'a str,
        /// Who has read the store since the search began, without which `only` is not concluded: `store` (this gateway),
        /// `gateway` (another one), or empty.
        confirmed_by: &'a str,
        /// Milliseconds that the search took.
        took_ms: u64,
    },
    /// This gateway acquired or lost the authority over roles.
    Authority {
        /// `acquired` or `lost`.
        state: &'a str,
        /// The fence token of the claim; 0 if the authority was lost.
        epoch: u64,
    },
    /// The usage of a window was totalled for the report.
    UsageDecided {
        /// The window.
        window: u64,
        /// Number of requests of all tenants.
        requests: u64,
        /// Whether every gateway had counted beyond the end of the window.
        complete: bool,
        /// `decided`, `decided before`, or why the total is unknown.
        outcome: &'a str,
    },
    /// The usage of a window was reported to the platform.
    UsageReported {
        /// The window.
        window: u64,
        /// `done`, `refused`, `not_done` or `unknown`.
        outcome: &'a str,
        /// The answer of the platform.
        detail: &'a str,
    },
    /// A number of workers in a zone was ordered from the platform.
    WorkersOrdered {
        /// Their service.
        service: &'a str,
        /// The zone.
        zone: &'a str,
        /// `reserved` or `spot`.
        kind: &'a str,
        /// Number of workers that the zone should have.
        desired: u32,
        /// Number of workers in all zones that the demand requires.
        needed: u32,
        /// `done`, `refused`, `not_done` or `unknown`.
        outcome: &'a str,
        /// The answer of the platform.
        detail: &'a str,
    },
    /// An engine was ordered to change its role.
    Order {
        /// The engine.
        worker: &'a str,
        /// The ordered role.
        role: &'a str,
        /// The fence token of the order.
        fence: u64,
        /// Number of orders that the engine had accepted before.
        orders_taken: u64,
        /// `taken` or `unknown`.
        outcome: &'a str,
    },
    /// Lines were dropped because the queue was full or their rate was too high.
    LinesDropped {
        /// Number of dropped lines.
        count: u64,
    },
}

/// The importance of a line when the queue is nearly full.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Priority {
    /// A request that succeeded.
    Routine,
    /// A failure, or a change of what the gateway knows.
    Important,
}

/// The queue of lines for the writer thread.
#[derive(Debug)]
pub struct EventLog {
    node: String,
    queue: Mutex<Queue>,
    not_empty: Condvar,
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
    fn admits_routine(&mut self, at_ms: u64, max_per_second: u32) -> bool {
        let second = at_ms / 1_000;
        if second != self.second {
            self.second = second;
            self.routine_in_second = 0;
        }
        self.routine_in_second = self.routine_in_second.saturating_add(1);
        self.routine_in_second <= max_per_second
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
    /// Creates a log without a writer; see [`EventLog::start_writer`].
    pub fn new(node: &str, capacity: usize, routine_per_second: u32) -> Self {
        Self {
            node: node.to_owned(),
            queue: Mutex::default(),
            not_empty: Condvar::new(),
            capacity,
            routine_per_second: AtomicU32::new(routine_per_second),
        }
    }

    /// Sets the maximum number of routine lines per second.
    pub fn set_routine_per_second(&self, max_per_second: u32) {
        self.routine_per_second
            .store(max_per_second, Ordering::Relaxed);
    }

    /// Starts a thread that writes the lines to standard output.
    pub fn start_writer(self: &Arc<Self>) -> std::io::Result<()> {
        let log = Arc::clone(self);
        std::thread::Builder::new()
            .name("event-log".into())
            .spawn(move || log.write_to(&mut std::io::stdout()))?;
        Ok(())
    }

    /// Adds an event to the queue, or drops and counts it if it does not fit.
    pub fn record(&self, priority: Priority, event: &Event<'_>) {
        let at_ms = unix_time_ms();
        let mut queue = self.queue.lock();
        let max_lines = match priority {
            Priority::Important => self.capacity,
            Priority::Routine if !queue.admits_routine(at_ms, self.routine_limit()) => 0,
            Priority::Routine => self.capacity / 2,
        };
        if queue.lines.len() >= max_lines {
            queue.dropped += 1;
            return;
        }
        queue.lines.push_back(self.encode(at_ms, event));
        drop(queue);
        self.not_empty.notify_one();
    }

    /// Waits for lines and returns all of them.
    pub fn take(&self) -> Vec<String> {
        let mut queue = self.queue.lock();
        while queue.lines.is_empty() {
            self.not_empty.wait(&mut queue);
        }
        let mut lines: Vec<String> = queue.lines.drain(..).collect();
        let dropped = std::mem::take(&mut queue.dropped);
        if dropped > 0 {
            let event = Event::LinesDropped { count: dropped };
            lines.push(self.encode(unix_time_ms(), &event));
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

fn unix_time_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.map_or(0, |time| time.as_millis() as u64)
}
