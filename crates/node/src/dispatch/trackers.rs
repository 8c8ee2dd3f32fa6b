//! One tracker for each engine, in shards, each under its own lock. An engine that was never heard
//! of is believed to be idle.

use tansyhall_config::RoutingSettings;
use tansyhall_core::{Duration, EngineName, RequestId, Role, Sharded, Timestamp};
use tansyhall_engine::blocks::{BlockHash, BLOCK_TOKENS};
use tansyhall_engine::protocol::{
    CacheEvent, CacheEventKind, CacheEvents, EngineState, LoadReport,
};
use tansyhall_routing::{
    BlockChange, BlockEvent, EngineEstimate, EngineTracker, LoadSnapshot, PrefixIndex,
};

/// What is known of one engine.
struct TrackedEngine {
    load: EngineTracker,
    prefixes: PrefixIndex,
}

/// The trackers, shared by every thread.
pub struct EngineTrackers {
    trackers: Sharded<EngineName, TrackedEngine>,
    max_cached_blocks: usize,
    max_sequences: f64,
    sharing_nodes: usize,
}

impl EngineTrackers {
    /// No engine known yet.
    pub fn new(settings: &RoutingSettings) -> Self {
        Self {
            trackers: Sharded::with_capacity_limit(settings.max_tracked_engines),
            max_cached_blocks: settings.max_cached_blocks,
            max_sequences: f64::from(settings.max_sequences),
            sharing_nodes: settings.sharing_nodes,
        }
    }

    /// The belief about an engine at `now`, for a prompt of these blocks. `state` is the control
    /// state as last read, which counts while the engine does not report.
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
        // What an engine said before it fell silent may no longer hold. It is tried: it refuses by
        // itself what it cannot do.
        estimate.accepts_work = state.is_none_or(accepts_work);
        estimate.role = state.map_or(estimate.role, |state| state.role);
        estimate
    }

    /// Notes a load report that was asked for at `asked`.
    pub fn report(&self, engine: &EngineName, asked: Timestamp, report: &LoadReport) {
        let snapshot = snapshot(asked, report);
        self.with(engine, |tracked| {
            tracked.load.role = report.role;
            tracked.load.accepts_work = report.accepts_work;
            tracked.load.record_report(snapshot);
        });
    }

    /// Notes cache events.
    pub fn cache_events(&self, engine: &EngineName, events: &CacheEvents) {
        let changes: Vec<BlockEvent> = events.events.iter().map(block_event).collect();
        self.with(engine, |tracked| {
            tracked.prefixes.apply_events(events.incarnation, &changes);
        });
    }

    /// The sequence number after which an engine's cache events are wanted.
    pub fn latest_cache_event(&self, engine: &EngineName) -> u64 {
        self.trackers.with(engine, |shard| {
            shard
                .get(engine)
                .map_or(0, |tracked| tracked.prefixes.last_sequence())
        })
    }

    /// A request was sent, whose prompt has these blocks.
    pub fn sent(
        &self,
        engine: &EngineName,
        now: Timestamp,
        id: RequestId,
        prefill_tokens: f64,
        blocks: &[BlockHash],
    ) {
        self.with(engine, |tracked| {
            tracked.load.record_sent(now, id, prefill_tokens);
            tracked.prefixes.record_prompt(blocks);
        });
    }

    /// A request's first token arrived.
    pub fn first_token(&self, engine: &EngineName, now: Timestamp, id: RequestId) {
        self.with(engine, |tracked| tracked.load.record_first_token(now, id));
    }

    /// A request ended.
    pub fn finished(&self, engine: &EngineName, now: Timestamp, id: RequestId) {
        self.with(engine, |tracked| tracked.load.record_finished(now, id));
    }

    /// A request was refused, or never arrived.
    pub fn refused(&self, engine: &EngineName, id: RequestId) {
        self.with(engine, |tracked| tracked.load.record_refused(id));
    }

    /// Requests of this node in progress at an engine.
    pub fn in_flight(&self, engine: &EngineName) -> usize {
        self.trackers.with(engine, |shard| {
            shard
                .get(engine)
                .map_or(0, |tracked| tracked.load.in_flight())
        })
    }

    /// Whether an engine's last report is recent enough to say something.
    pub fn is_reporting(&self, engine: &EngineName, now: Timestamp) -> bool {
        self.trackers.with(engine, |shard| {
            shard
                .get(engine)
                .is_some_and(|tracked| tracked.load.has_recent_report(now))
        })
    }

    /// Forgets the engines that `keep` does not name and that run nothing of this node's.
    pub fn retain(&self, keep: impl Fn(&EngineName) -> bool) {
        self.trackers
            .retain(|engine, tracked| keep(engine) || tracked.load.in_flight() > 0);
    }

    /// Engines known.
    pub fn len(&self) -> usize {
        self.trackers.len()
    }

    /// Whether no engine is known.
    pub fn is_empty(&self) -> bool {
        self.trackers.is_empty()
    }

    fn with(&self, engine: &EngineName, change: impl Fn(&mut TrackedEngine)) {
        let known = self
            .trackers
            .with(engine, |shard| shard.get_mut(engine).map(&change).is_some());
        if known {
            return;
        }
        let mut tracker = self.new_tracker();
        change(&mut tracker);
        // A full table costs an engine its place in predictions, not its work.
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

/// Whether an engine in this state takes new work.
pub fn accepts_work(state: &EngineState) -> bool {
    !state.draining && state.active_order.is_none()
}

/// The report's figures. They were taken its age before the engine answered, which is no earlier
/// than its age before it was asked.
fn snapshot(asked: Timestamp, report: &LoadReport) -> LoadSnapshot {
    LoadSnapshot {
        taken_at: asked - Duration::from_millis(report.age_ms),
        decoding: f64::from(report.decoding),
        waiting: f64::from(report.waiting),
        pending_prefill_tokens: report.pending_prefill_tokens as f64,
        free_sequences: report.free_sequences as f64,
        accepted_prompt_tokens: report.accepted_prompt_tokens as f64,
    }
}
