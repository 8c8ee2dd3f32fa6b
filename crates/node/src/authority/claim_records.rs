//! The claims on the pools of one zone as the store has them: read once, then kept up by a watch.
//! What every claim costs is thereby paid when it changes and not each time it is looked at.

use std::collections::HashMap;

use futures_util::StreamExt;
use serde::{Deserialize, Serialize};
use tansyhall_authority::{ClaimRecord, Epoch, Lease};
use tansyhall_core::time::MonotonicClock;
use tansyhall_core::{Duration, NodeId, PoolName, Timestamp, ZoneName};
use tansyhall_store::{
    EtcdStore, KeyValue, KeyValueStore, Revision, StoreError, WatchEvent, WatchStream,
};

/// Prefix of the keys that tell who holds each pool, before the zone.
const AUTHORITY_PREFIX: &str = "/tansyhall/authority/";
/// Longest trust in a watch: after this long the claims are read anyway, should the watch have
/// fallen silent without an end.
const READ_PERIOD: Duration = Duration::from_secs(10);

/// The value of a pool's key.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct ClaimValue {
    /// The holder.
    pub(super) node: NodeId,
    /// The lease that the key is attached to.
    pub(super) lease: i64,
    /// The least epoch that the claim counts as: engines may have heard of revisions that a restored store
    /// gives out again.
    #[serde(default)]
    pub(super) least_epoch: u64,
}

fn zone_prefix(zone: &ZoneName) -> String {
    format!("{AUTHORITY_PREFIX}{zone}/")
}

/// The key that tells who holds a pool.
pub(super) fn claim_key(zone: &ZoneName, pool: &PoolName) -> String {
    format!("{}{pool}", zone_prefix(zone))
}

/// The claims on the pools of one zone.
pub(super) struct ClaimRecords {
    store: EtcdStore,
    prefix: String,
    clock: MonotonicClock,
    known: HashMap<PoolName, ClaimRecord>,
    /// The store's revision at the last read; older events are part of it.
    revision: Revision,
    read_at: Timestamp,
    watch: Option<WatchStream>,
}

impl ClaimRecords {
    /// Nothing is known before the first wait.
    pub(super) fn new(store: EtcdStore, zone: &ZoneName) -> Self {
        Self {
            store,
            prefix: zone_prefix(zone),
            clock: MonotonicClock::start(),
            known: HashMap::new(),
            revision: Revision::default(),
            read_at: Timestamp::default(),
            watch: None,
        }
    }

    /// What was last read, with the changes seen since.
    pub(super) fn known(&self) -> &HashMap<PoolName, ClaimRecord> {
        &self.known
    }

    /// Waits for a change, for `period` at most. After an error nothing is known to be the newest
    /// until a later wait succeeds.
    pub(super) async fn wait(&mut self, period: Duration) -> Result<(), StoreError> {
        let Some(watch) = &mut self.watch else {
            actix_rt::time::sleep(period).await;
            return self.begin().await;
        };
        match actix_rt::time::timeout(period, watch.next()).await {
            Ok(Some(Ok(events))) => self.apply(events),
            Ok(Some(Err(_)) | None) => self.watch = None,
            Err(_) => {}
        }
        if self.watch.is_none() || self.clock.now().since(self.read_at) >= READ_PERIOD {
            return self.read().await;
        }
        Ok(())
    }

    /// Reads every claim.
    pub(super) async fn read(&mut self) -> Result<(), StoreError> {
        let range = match self.store.range(&self.prefix).await {
            Ok(range) => range,
            Err(error) => {
                self.watch = None;
                return Err(error);
            }
        };
        let claims = range.entries.iter();
        self.known = claims.filter_map(|entry| self.decode(entry)).collect();
        self.revision = range.revision;
        self.read_at = self.clock.now();
        Ok(())
    }

    async fn begin(&mut self) -> Result<(), StoreError> {
        self.read().await?;
        let start = Revision(self.revision.0 + 1);
        self.watch = Some(self.store.watch(&self.prefix, start).await?);
        Ok(())
    }

    fn apply(&mut self, events: Vec<WatchEvent>) {
        for event in events {
            match event {
                WatchEvent::Put(entry) if entry.modified > self.revision => {
                    self.known.extend(self.decode(&entry));
                }
                WatchEvent::Delete { key, revision } if revision > self.revision => {
                    if let Some(pool) = key.strip_prefix(&self.prefix) {
                        self.known.remove(&PoolName::new(pool));
                    }
                }
                WatchEvent::Put(_) | WatchEvent::Delete { .. } => {}
            }
        }
    }

    /// A key with a value that does not parse counts as another's.
    fn decode(&self, entry: &KeyValue) -> Option<(PoolName, ClaimRecord)> {
        let pool = entry.key.strip_prefix(&self.prefix)?;
        let claim = serde_json::from_slice::<ClaimValue>(&entry.value).ok();
        let (lease, least_epoch) = claim.map_or((0, 0), |claim| (claim.lease, claim.least_epoch));
        let record = ClaimRecord {
            lease: Lease(lease),
            epoch: Epoch(entry.created.0.max(least_epoch)),
        };
        Some((pool.into(), record))
    }
}
