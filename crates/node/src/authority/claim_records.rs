//! A local copy of the store's claims on the pools of one zone: read once, then kept up to date by
//! a watch. The cost of a claim is thereby paid when the claim changes and not each time it is
//! looked up.

use std::collections::HashMap;

use futures_util::StreamExt;
use serde::{Deserialize, Serialize};
use tansyhall_authority::{ClaimRecord, Epoch, Lease};
use tansyhall_core::time::MonotonicClock;
use tansyhall_core::{Duration, NodeId, PoolName, Timestamp, ZoneName};
use tansyhall_store::{
    EtcdStore, KeyValue, KeyValueStore, Revision, StoreError, WatchEvent, WatchStream,
};

/// Prefix of the keys that name the holder of each pool; the zone follows it.
const AUTHORITY_PREFIX: &str = "/tansyhall/authority/";
/// Interval of full reads of the claims while a watch is open, since a watch can stop delivering
/// events without ending.
const FULL_READ_INTERVAL: Duration = Duration::from_secs(10);

/// The value of the key of a pool's claim.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct ClaimValue {
    /// The holder.
    pub(super) node: NodeId,
    /// The lease that the key is attached to.
    pub(super) lease: i64,
    /// Lower bound of the claim's epoch: a restored store assigns revisions again that engines may
    /// already have received as epochs.
    #[serde(default)]
    pub(super) least_epoch: u64,
}

fn zone_prefix(zone: &ZoneName) -> String {
    format!("{AUTHORITY_PREFIX}{zone}/")
}

/// Returns the key that names the holder of a pool.
pub(super) fn claim_key(zone: &ZoneName, pool: &PoolName) -> String {
    format!("{}{pool}", zone_prefix(zone))
}

/// A local copy of the claims on the pools of one zone.
pub(super) struct ClaimRecords {
    store: EtcdStore,
    prefix: String,
    clock: MonotonicClock,
    claims_by_pool: HashMap<PoolName, ClaimRecord>,
    /// The store's revision at the last full read, which includes all earlier events.
    revision: Revision,
    read_at: Timestamp,
    watch: Option<WatchStream>,
}

impl ClaimRecords {
    /// Creates an empty copy, which the first call of [`Self::wait_for_change`] fills.
    pub(super) fn new(store: EtcdStore, zone: &ZoneName) -> Self {
        Self {
            store,
            prefix: zone_prefix(zone),
            clock: MonotonicClock::start(),
            claims_by_pool: HashMap::new(),
            revision: Revision::default(),
            read_at: Timestamp::default(),
            watch: None,
        }
    }

    /// Returns the claims as last read, with the changes received since.
    pub(super) fn records(&self) -> &HashMap<PoolName, ClaimRecord> {
        &self.claims_by_pool
    }

    /// Waits for a change, for `period` at most. After an error the claims may be out of date until
    /// a later call succeeds.
    pub(super) async fn wait_for_change(&mut self, period: Duration) -> Result<(), StoreError> {
        let Some(watch) = &mut self.watch else {
            actix_rt::time::sleep(period).await;
            return self.read_and_watch().await;
        };
        match actix_rt::time::timeout(period, watch.next()).await {
            Ok(Some(Ok(events))) => self.apply_events(events),
            Ok(Some(Err(_)) | None) => self.watch = None,
            Err(_) => {}
        }
        if self.watch.is_none() || self.clock.now().since(self.read_at) >= FULL_READ_INTERVAL {
            return self.read().await;
        }
        Ok(())
    }

    /// Reads every claim from the store.
    pub(super) async fn read(&mut self) -> Result<(), StoreError> {
        let range = match self.store.range(&self.prefix).await {
            Ok(range) => range,
            Err(error) => {
                self.watch = None;
                return Err(error);
            }
        };
        let claims = range.entries.iter();
        self.claims_by_pool = claims
            .filter_map(|entry| self.decode_claim(entry))
            .collect();
        self.revision = range.revision;
        self.read_at = self.clock.now();
        Ok(())
    }

    async fn read_and_watch(&mut self) -> Result<(), StoreError> {
        self.read().await?;
        let start = Revision(self.revision.0 + 1);
        self.watch = Some(self.store.watch(&self.prefix, start).await?);
        Ok(())
    }

    fn apply_events(&mut self, events: Vec<WatchEvent>) {
        for event in events {
            match event {
                WatchEvent::Put(entry) if entry.modified > self.revision => {
                    self.claims_by_pool.extend(self.decode_claim(&entry));
                }
                WatchEvent::Delete { key, revision } if revision > self.revision => {
                    if let Some(pool) = key.strip_prefix(&self.prefix) {
                        self.claims_by_pool.remove(&PoolName::new(pool));
                    }
                }
                WatchEvent::Put(_) | WatchEvent::Delete { .. } => {}
            }
        }
    }

    /// Decodes a claim. One whose value does not parse counts as another node's.
    fn decode_claim(&self, entry: &KeyValue) -> Option<(PoolName, ClaimRecord)> {
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
