//! One tracker for each engine, in shards with a lock each. An engine from which nothing was ever
//! received is assumed to be idle.

use tansyhall_config::RoutingSettings;
use tansyhall_core::{Duration, EngineName, RequestId, Role, Sharded, Timestamp};
use tansyhall_engine::blocks::{BlockHash, BLOCK_TOKENS};
use tansyhall_engine::protocol::{
    CacheEvent, CacheEventKind, CacheEvents, EngineState, LoadReport,
};
use tansyhall_routing::{
    BlockChange, BlockEvent, EngineEstimate, EngineTracker, LoadSnapshot, PrefixIndex,
};

/// What is known about one engine.
struct TrackedEngine {
    load: EngineTracker,
    prefixes: PrefixIndex,
}

/// The trackers, shared by all threads.
pub struct EngineTrackers {
    trackers: Sharded<EngineName, TrackedEngine>,
    max_cached_blocks: usize,
    max_sequences: f64,
    sharing_nodes: usize,
}

impl EngineTrackers {
    /// Returns a table without engines.
    pub fn new(settings: &RoutingSettings) -> Self {
        Self {
            trackers: Sharded::with_capacity_limit(settings.max_tracked_engines),
            max_cached_blocks: settings.max_cached_blocks,
            max_sequences: f64::from(settings.max_sequences),
            sharing_nodes: settings.sharing_nodes,
        }
    }

    /// Returns the estimate for an engine at `now` and a prompt with these blocks. `state` is the
    /// last control state that was read; it is used while the engine does not report.
    pub fn estimate(
        &self,
        engine: &EngineName,
        now: Timestamp,
        state: Option<&EngineState>,
        blocks: &[BlockHash],
    ) -> EngineEstimate {
        let known = self.trackers.with(engine, |shard| {
            let tracked = shard.get(engine)?;
            let mut estimate = tracked.load.estimate(now);
            let cached_blocks = tracked.prefixes.cached_prefix_blocks(blocks);
            estimate.cached_tokens = cached_blocks as f64 * f64::from(BLOCK_TOKENS);
            Some((estimate, tracked.load.has_recent_report(now)))
        });
        let (mut estimate, reporting) =
            known.unwrap_or_else(|| (self.new_tracker().load.estimate(now), false));
        if reporting {
            return estimate;
        }
        // What an engine reported before it stopped reporting may be outdated. The engine is tried:
        // it refuses by itself what it cannot do.
        estimate.accepts_work = state.is_none_or(accepts_work);
        estimate.role = state.map_or(estimate.role, |state| state.role);
        estimate
    }

    /// Records a load report that was requested at `requested_at`.
    pub fn record_report(&self, engine: &EngineName, requested_at: Timestamp, report: &LoadReport) {
        let load_snapshot = load_snapshot(requested_at, report);
        self.update(engine, |tracked| {
            tracked.load.role = report.role;
            tracked.load.accepts_work = report.accepts_work;
            tracked.load.record_report(load_snapshot);
        });
    }

    /// Records cache events.
    pub fn record_cache_events(&self, engine: &EngineName, events: &CacheEvents) {
        let changes: Vec<BlockEvent> = events.events.iter().map(block_event).collect();
        self.update(engine, |tracked| {
            tracked.prefixes.apply_events(events.incarnation, &changes);
        });
    }

    /// Returns the sequence number after which an engine's cache events are to be read.
    pub fn latest_cache_event(&self, engine: &EngineName) -> u64 {
        self.trackers.with(engine, |shard| {
            shard
                .get(engine)
                .map_or(0, |tracked| tracked.prefixes.last_sequence())
        })
    }

    /// Records that a request was sent whose prompt has these blocks.
    pub fn record_sent(
        &self,
        engine: &EngineName,
        now: Timestamp,
        id: RequestId,
        prefill_tokens: f64,
        blocks: &[BlockHash],
    ) {
        self.update(engine, |tracked| {
            tracked.load.record_sent(now, id, prefill_tokens);
            tracked.prefixes.record_prompt(blocks);
        });
    }

    /// Records the arrival of a request's first token.
    pub fn record_first_token(&self, engine: &EngineName, now: Timestamp, id: RequestId) {
        self.update(engine, |tracked| tracked.load.record_first_token(now, id));
    }

    /// Records the end of a request.
    pub fn record_finished(&self, engine: &EngineName, now: Timestamp, id: RequestId) {
        self.update(engine, |tracked| tracked.load.record_finished(now, id));
    }

    /// Records that a request was refused or did not reach the engine.
    pub fn record_refused(&self, engine: &EngineName, id: RequestId) {
        self.update(engine, |tracked| tracked.load.record_refused(id));
    }

    /// Returns the number of this node's requests in progress at an engine.
    pub fn in_flight(&self, engine: &EngineName) -> usize {
        self.trackers.with(engine, |shard| {
            shard
                .get(engine)
                .map_or(0, |tracked| tracked.load.in_flight())
        })
    }

    /// Returns whether an engine's last report is recent enough to be used.
    pub fn is_reporting(&self, engine: &EngineName, now: Timestamp) -> bool {
        self.trackers.with(engine, |shard| {
            shard
                .get(engine)
                .is_some_and(|tracked| tracked.load.has_recent_report(now))
        })
    }

    /// Removes the engines for which `keep` returns false and that run no request of this node.
    pub fn retain(&self, keep: impl Fn(&EngineName) -> bool) {
        self.trackers
            .retain(|engine, tracked| keep(engine) || tracked.load.in_flight() > 0);
    }

    /// Returns the number of known engines.
    pub fn len(&self) -> usize {
        self.trackers.len()
    }

    /// Returns whether no engine is known.
    pub fn is_empty(&self) -> bool {
        self.trackers.is_empty()
    }

    fn update(&self, engine: &EngineName, change: impl Fn(&mut TrackedEngine)) {
        let known = self
            .trackers
            .with(engine, |shard| shard.get_mut(engine).map(&change).is_some());
        if known {
            return;
        }
        let mut tracker = self.new_tracker();
        change(&mut tracker);
        // If the table is full, the engine is missing from predictions but still gets work.
        let _ = self.trackers.insert(engine.clone(), tracker);
    }

    fn new_tracker(&self) -> TrackedEngine {
        TrackedEngine {
            load: EngineTracker::new(Role::Mixed, self.max_sequences, self.sharing_nodes),
            prefixes: PrefixIndex::new(self.max_cached_blocks),
        }
    }
}

fn block_event(event: &CacheEvent) -> BlockEvent {
    BlockEvent {
        sequence: event.sequence,
        change: match event.kind {
            CacheEventKind::Stored => BlockChange::Stored(event.block),
            CacheEventKind::Evicted => BlockChange::Evicted(event.block),
        },
    }
}

/// Returns whether an engine in this state accepts new work.
pub fn accepts_work(state: &EngineState) -> bool {
    !state.draining && state.active_order.is_none()
}

/// Converts a load report. Its figures were taken `age_ms` before the engine answered, which is no
/// earlier than `age_ms` before the report was requested.
fn load_snapshot(requested_at: Timestamp, report: &LoadReport) -> LoadSnapshot {
    LoadSnapshot {
        taken_at: requested_at - Duration::from_millis(report.age_ms),
        decoding: f64::from(report.decoding),
        waiting: f64::from(report.waiting),
        pending_prefill_tokens: report.pending_prefill_tokens as f64,
        free_sequences: report.free_sequences as f64,
        accepted_prompt_tokens: report.accepted_prompt_tokens as f64,
    }
}
