//! What the directory reports to other gateways and learns from their reports.

use std::time::Duration;

use tansyhall_core::Timestamp;

use super::tracked::TrackedWorker;
use super::Directory;
use crate::cache_view::PartKey;
use crate::decisions::Decisions;
use crate::load_exchange::{LimitStatement, LoadReport, LoadReporter, PartRead, WorkerKey};
use crate::selection::{prompt_tokens, PromptPart};
use crate::worker::WorkerId;

/// Minimum length of the prompts whose parts are reported to other gateways.
const REPORTED_PROMPT_TOKENS: u64 = 1_000;
/// Interval at which loads that were not repeated are looked for.
const STALE_CHECK_INTERVAL: Duration = Duration::from_millis(200);

impl Directory {
    /// Returns the report of this gateway's load that is due, if there is one.
    pub fn report_due(&mut self, now: Timestamp) -> Option<LoadReport> {
        if now.since(self.stale_dropped_at) >= STALE_CHECK_INTERVAL {
            self.stale_dropped_at = now;
            self.drop_stale_loads(now);
            self.demands.drop_stale(now);
            self.drop_stale_tenants(now);
        }
        let tenants = self.tenants_due(now);
        self.reporter.record_tenants(tenants);
        let demands = &self.demands;
        let rate_limits = self.rate_limits.take_due(now);
        let shares = self.rate_limits.take_share_report(now);
        self.reporter
            .flush(now, rate_limits, shares, || demands.own(now))
    }

    /// Records that a worker is proved not to exist, and reports it to the other gateways.
    pub fn record_absence(&mut self, now: Timestamp, worker: &WorkerId) {
        let key = WorkerKey::of(worker);
        let Some(tracked) = self.workers.get_mut(&key) else {
            return;
        };
        if self.decisions.absence {
            tracked.mark_absent(now);
        }
        self.reporter.record_absence(key);
    }

    /// Applies another gateway's report.
    pub fn receive_report(&mut self, now: Timestamp, report: &LoadReport) {
        let last = self.last_sequences.entry(report.sender).or_default();
        if report.sequence <= *last {
            return;
        }
        *last = report.sequence;
        let Decisions {
            reported_load,
            stream_pauses,
            absence: uses_absences,
            worker_notices,
            ..
        } = self.decisions;
        for entry in report.loads.iter().filter(|_| reported_load) {
            if let Some(tracked) = self.workers.get_mut(&entry.worker) {
                tracked.receive_load(now, report.sender, entry.load);
                if stream_pauses && tracked.worker.role.is_some() {
                    tracked.record_activity(now);
                }
                self.loaded_by_others.insert(entry.worker);
            }
        }
        self.learn_parts(now, &report.parts);
        for demand in &report.demands {
            self.demands.receive(now, report.sender, *demand);
        }
        self.receive_tenants(now, report.sender, &report.tenants);
        for statement in report.rate_limits.iter().filter(|_| worker_notices) {
            let LimitStatement { worker, stated } = *statement;
            self.rate_limits.receive(now, worker, stated);
        }
        self.rate_limits
            .receive_shares(now, report.sender, report.shares.as_ref());
        for absence in report.absences.iter().filter(|_| uses_absences) {
            if let Some(tracked) = self.workers.get_mut(&absence.worker) {
                tracked.mark_absent(now);
            }
        }
    }

    /// Returns the number of requests that other gateways have in flight at a worker, as far as they have reported.
    pub fn sends_of_others(&self, worker: &WorkerId) -> u32 {
        let tracked = self.workers.get(&WorkerKey::of(worker));
        tracked.map_or(0, TrackedWorker::sends_of_others)
    }

    /// Drops loads that other gateways have not repeated. Only workers with reported load are
    /// examined.
    fn drop_stale_loads(&mut self, now: Timestamp) {
        let workers = &mut self.workers;
        self.loaded_by_others.retain(|key| {
            workers
                .get_mut(key)
                .is_some_and(|tracked| tracked.drop_stale(now))
        });
    }

    /// Returns the prompt parts that caches are assumed to hold and that can be fetched.
    pub fn known_parts(&self) -> Vec<PartRead> {
        let parts = self.workers.values().flat_map(|tracked| {
            let ready = tracked.cache.ready_parts();
            ready.map(|(part, tokens)| PartRead {
                worker: tracked.key,
                part,
                tokens,
                ready: true,
            })
        });
        parts.collect()
    }

    /// Applies what another gateway assumes about caches.
    pub fn learn_parts(&mut self, now: Timestamp, parts: &[PartRead]) {
        let uses_caches = self.decisions.caches;
        for read in parts.iter().filter(|_| uses_caches) {
            let capacity = self.capacity_by_key(read.worker);
            let Some(tracked) = self.workers.get_mut(&read.worker) else {
                continue;
            };
            let change = match read.ready {
                true => tracked
                    .cache
                    .record_read(now, read.part, read.tokens, capacity),
                false => tracked
                    .cache
                    .record_reading(now, read.part, read.tokens, capacity),
            };
            self.part_holders.apply(read.worker, &change);
        }
    }

    /// Applies an engine's own list of what its cache holds, and reports it to the other gateways.
    pub fn record_listed_parts(&mut self, now: Timestamp, id: &WorkerId, parts: &[PromptPart]) {
        let key = WorkerKey::of(id);
        if !self.workers.contains_key(&key) {
            return;
        }
        let listed = parts.iter().map(|part| PartRead {
            worker: key,
            part: PartKey::of(part),
            tokens: part.tokens,
            ready: true,
        });
        let listed: Vec<PartRead> = listed.collect();
        self.learn_parts(now, &listed);
        let long = listed
            .into_iter()
            .filter(|read| read.tokens >= REPORTED_PROMPT_TOKENS);
        long.for_each(|read| self.reporter.record_part(read));
    }

    fn capacity_by_key(&self, key: WorkerKey) -> u64 {
        let tracked = self.workers.get(&key);
        self.capacity_of(tracked.map(|tracked| &tracked.worker.service))
    }
}

/// Reports to other gateways that a worker is reading, or has read, a prompt.
pub(super) fn report_prompt(
    reporter: &mut LoadReporter,
    worker: WorkerKey,
    prompt: &[PromptPart],
    ready: bool,
) {
    if prompt_tokens(prompt) < REPORTED_PROMPT_TOKENS {
        return;
    }
    for part in prompt {
        reporter.record_part(PartRead {
            worker,
            part: PartKey::of(part),
            tokens: part.tokens,
            ready,
        });
    }
}
