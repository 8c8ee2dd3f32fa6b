//! The prefix cache of the engine with its event log, and the KV caches that other engines can fetch.

use std::collections::VecDeque;
use std::time::Duration;

use actix_web::{web, HttpResponse};
use serde::Deserialize;
use tansyhall_core::{RequestId, Timestamp};
use tansyhall_engine::protocol::{CacheEvent, CacheEventKind, CacheEvents};
use tansyhall_engine_model::prefix_cache::{BlockHash, CacheChange, PrefixCache};

use super::Engine;

/// Maximum number of events in the log. Readers that lag further behind miss the older events.
const MAX_EVENTS: usize = 10_000;
/// Maximum number of events in one answer.
const MAX_EVENTS_IN_ANSWER: usize = 1_000;
/// Maximum number of requests whose KV caches can be exported; older ones are removed.
const MAX_EXPORTABLE: usize = 1_024;

/// The event log. The sequence number grows by one for each change, including those whose event is lost
/// by fault injection.
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
        let is_visible = |(at, event): &&(Timestamp, CacheEvent)| {
            event.sequence > after && now.since(*at) >= lag
        };
        let events = self.events.iter().filter(is_visible);
        let events = events.map(|(_, event)| *event);
        events.take(MAX_EVENTS_IN_ANSWER).collect()
    }
}

/// The caches of one engine.
pub(super) struct Caches {
    prefix_cache: PrefixCache,
    log: EventLog,
    exportable: VecDeque<(RequestId, Vec<BlockHash>)>,
}

impl Caches {
    pub(super) fn new(capacity_tokens: u64) -> Self {
        Self {
            prefix_cache: PrefixCache::new(capacity_tokens),
            log: EventLog::default(),
            exportable: VecDeque::new(),
        }
    }

    /// Returns the length of the longest cached prefix, in tokens.
    pub(super) fn cached_tokens(&self, blocks: &[BlockHash]) -> u32 {
        self.prefix_cache.cached_tokens(blocks)
    }

    /// Stores the blocks of a prompt and logs the changes.
    pub(super) fn insert(&mut self, now: Timestamp, blocks: &[BlockHash], lose_one_in: u64) {
        for change in self.prefix_cache.insert(blocks) {
            self.log.push(now, change, lose_one_in);
        }
    }

    /// Makes the KV cache of a request available for export.
    pub(super) fn make_exportable(&mut self, id: RequestId, blocks: Vec<BlockHash>) {
        if self.exportable.len() >= MAX_EXPORTABLE {
            self.exportable.pop_front();
        }
        self.exportable.push_back((id, blocks));
    }

    /// Returns the blocks of the KV cache of a request if it can be exported.
    pub(super) fn exported_blocks(&self, id: RequestId) -> Option<Vec<BlockHash>> {
        let mut newest_first = self.exportable.iter().rev();
        let entry = newest_first.find(|(entry_id, _)| *entry_id == id)?;
        Some(entry.1.clone())
    }

    /// Removes everything, as loading another model does.
    pub(super) fn clear(&mut self, now: Timestamp) {
        for change in self.prefix_cache.clear() {
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

/// Returns the cache events after a sequence number.
pub(super) async fn get_events(
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
