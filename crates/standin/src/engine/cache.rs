//! The engine's prefix cache with its log of events, and the KV caches it can hand over.

use std::collections::VecDeque;
use std::time::Duration;

use actix_web::{web, HttpResponse};
use serde::Deserialize;
use tansyhall_core::{RequestId, Timestamp};
use tansyhall_engine::protocol::{CacheEvent, CacheEventKind, CacheEvents};
use tansyhall_engine_model::prefix_cache::{BlockHash, CacheChange, PrefixCache};

use super::Engine;

/// Cache events kept; older ones are lost to readers that lag so far behind.
const MAX_EVENTS: usize = 10_000;
/// Most events in one answer.
const MAX_EVENTS_IN_ANSWER: usize = 1_000;
/// Prompts whose KV caches can be exported; older ones are forgotten.
const MAX_EXPORTABLE: usize = 1_024;

/// The log: sequence numbers grow by one for each change, also for events that are lost.
#[derive(Debug, Default)]
struct EventLog {
    events: VecDeque<(Timestamp, CacheEvent)>,
    latest: u64,
}

impl EventLog {
    fn push(&mut self, now: Timestamp, change: CacheChange, lose_one_in: u64) {
        self.latest += 1;
        if lose_one_in > 0 && self.latest % lose_one_in == 0 {
            return;
        }
        let (kind, block) = match change {
            CacheChange::Stored(block) => (CacheEventKind::Stored, block),
            CacheChange::Evicted(block) => (CacheEventKind::Evicted, block),
        };
        let sequence = self.latest;
        if self.events.len() >= MAX_EVENTS {
            self.events.pop_front();
        }
        let event = CacheEvent {
            sequence,
            kind,
            block,
        };
        self.events.push_back((now, event));
    }

    fn read(&self, after: u64, now: Timestamp, lag: Duration) -> Vec<CacheEvent> {
        let wanted = |(at, event): &&(Timestamp, CacheEvent)| {
            event.sequence > after && now.since(*at) >= lag
        };
        let events = self.events.iter().filter(wanted);
        let events = events.map(|(_, event)| *event);
        events.take(MAX_EVENTS_IN_ANSWER).collect()
    }
}

/// One engine's caches.
pub(super) struct Caches {
    prefixes: PrefixCache,
    log: EventLog,
    exportable: VecDeque<(RequestId, Vec<BlockHash>)>,
}

impl Caches {
    pub(super) fn new(capacity_tokens: u64) -> Self {
        Self {
            prefixes: PrefixCache::new(capacity_tokens),
            log: EventLog::default(),
            exportable: VecDeque::new(),
        }
    }

    /// Tokens of the longest cached prefix.
    pub(super) fn cached_tokens(&self, blocks: &[BlockHash]) -> u32 {
        self.prefixes.cached_tokens(blocks)
    }

    /// Holds a prompt's blocks.
    pub(super) fn insert(&mut self, now: Timestamp, blocks: &[BlockHash], lose_one_in: u64) {
        for change in self.prefixes.insert(blocks) {
            self.log.push(now, change, lose_one_in);
        }
    }

    /// Lets a request's KV cache be exported.
    pub(super) fn make_exportable(&mut self, id: RequestId, blocks: Vec<BlockHash>) {
        if self.exportable.len() >= MAX_EXPORTABLE {
            self.exportable.pop_front();
        }
        self.exportable.push_back((id, blocks));
    }

    /// The blocks of a request's KV cache.
    pub(super) fn exported(&self, id: RequestId) -> Option<Vec<BlockHash>> {
        let mut newest_first = self.exportable.iter().rev();
        let entry = newest_first.find(|(exported, _)| *exported == id)?;
        Some(entry.1.clone())
    }

    /// Drops everything, as a change of model does.
    pub(super) fn clear(&mut self, now: Timestamp) {
        for change in self.prefixes.clear() {
            self.log.push(now, change, 0);
        }
        self.exportable.clear();
    }
}

#[derive(Deserialize)]
pub(super) struct EventsQuery {
    #[serde(default)]
    after: u64,
}

/// Answers with the cache events after a sequence number.
pub(super) async fn events(
    engine: web::Data<Engine>,
    query: web::Query<EventsQuery>,
) -> HttpResponse {
    let lag = Duration::from_millis(engine.faults.lock().cache_event_lag_ms);
    let incarnation = engine.control.lock().state(0).incarnation;
    let caches = engine.caches.lock();
    HttpResponse::Ok().json(CacheEvents {
        incarnation,
        events: caches.log.read(query.after, engine.clock.now(), lag),
    })
}
