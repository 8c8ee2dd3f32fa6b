//! Writes the versions of streams to the store, if this gateway is one of their recorders.
//!
//! Each write creates items under new keys, so a write that the store carries out late cannot replace a newer one. The
//! items are attached to a lease that is never renewed: they stay as long as a caller may return, whatever becomes of
//! their writer, and are removed together without further calls.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use prost::Message;
use tansyhall_core::Timestamp;
use tansyhall_forwarding::{AttemptKey, StreamRecord, StreamShard};
use tansyhall_store::{
    KeyValueStore, LeaseId, Operation, StoreEpoch, StoreError, Transaction, TransactionOutcome,
};
use tokio::time::sleep;

use super::message::StoredStreamsMessage;
use super::telling::confirm_written;
use super::{own_name, watch, RECORDS_PREFIX};
use crate::state::Shared;
use crate::store_call::with_timeout;

/// Shortest time for which records are kept.
const MIN_RETENTION: Duration = Duration::from_secs(5);
/// Pause after a write that failed, in addition to the interval of writes.
const FAILURE_PAUSE: Duration = Duration::from_millis(700);

/// Writes the pending streams; runs forever.
pub async fn write_records(shared: Arc<Shared>, store: Rc<dyn KeyValueStore>) {
    let mut recorder = Recorder {
        incarnation: rand::random(),
        shared,
        store,
        lease: None,
        epoch: StoreEpoch::default(),
        last_item: 0,
    };
    loop {
        let interval = recorder.shared.fleet.read().recorders.write_interval();
        sleep(interval).await;
        recorder.write_due().await;
    }
}

struct Recorder {
    shared: Arc<Shared>,
    store: Rc<dyn KeyValueStore>,
    /// Distinguishes the keys of this process from those of earlier ones.
    incarnation: u64,
    lease: Option<RecordLease>,
    /// The latest epoch of the store that is known.
    epoch: StoreEpoch,
    /// Number of the last item written.
    last_item: u64,
}

/// The lease of the items that are written now.
#[derive(Debug, Clone, Copy)]
struct RecordLease {
    id: LeaseId,
    /// From then on, the items would not be kept for long enough.
    used_until: Timestamp,
}

/// The streams of each shard.
type Shards<'a> = BTreeMap<StreamShard, Vec<&'a StreamRecord>>;

impl Recorder {
    async fn write_due(&mut self) {
        self.observe_epoch();
        let shared = Arc::clone(&self.shared);
        let retention = watch(&shared).record_retention;
        let records = shared
            .stream_versions
            .records
            .lock()
            .due(shared.now(), retention);
        if records.is_empty() {
            return;
        }
        let shards = group_by_shard(&shared, &records);
        let writes = &shared.metrics.stream_record_writes;
        match self.write(&shards, retention.max(MIN_RETENTION)).await {
            Ok(_) => {
                writes.with_label_values(&["written"]).inc();
                let written = records.iter().map(|record| record.attempt);
                let written: Vec<AttemptKey> = written.collect();
                confirm_written(&shared, &written);
            }
            Err(error) => {
                writes.with_label_values(&["failed"]).inc();
                log::debug!("versions of streams may not have been written: {error}");
                sleep(FAILURE_PAUSE).await;
            }
        }
    }

    /// Makes everything pending again that a restored store may have lost.
    fn observe_epoch(&mut self) {
        let mirrored = StoreEpoch(self.shared.mirror.lock().position().epoch);
        let epoch = self.store.epoch().max(mirrored);
        if epoch > self.epoch {
            self.epoch = epoch;
            self.lease = None;
            let now = self.shared.now();
            let mut records = self.shared.stream_versions.records.lock();
            records.record_restore(now);
        }
    }

    async fn write(
        &mut self,
        shards: &Shards<'_>,
        retention: Duration,
    ) -> Result<TransactionOutcome, StoreError> {
        let lease = self.lease(retention).await?;
        let transaction = Transaction {
            compare: Vec::new(),
            operations: self.put_operations(shards, lease),
        };
        let result = with_timeout(self.store.transact(&transaction)).await;
        if matches!(result, Err(StoreError::LeaseLapsed)) {
            self.lease = None;
        }
        // A restore may have come before or after the write, and may have given the lease to another gateway.
        if self.store.epoch() > self.epoch {
            return Err(StoreError::Restored);
        }
        result
    }

    /// Returns a lease that lasts for at least this time, and for up to half as long again.
    async fn lease(&mut self, retention: Duration) -> Result<LeaseId, StoreError> {
        let now = self.shared.now();
        if let Some(lease) = self.lease.filter(|lease| now < lease.used_until) {
            return Ok(lease.id);
        }
        let id = with_timeout(self.store.grant_lease(retention + retention / 2)).await?;
        let used_until = now + retention / 2;
        self.lease = Some(RecordLease { id, used_until });
        Ok(id)
    }

    fn put_operations(&mut self, shards: &Shards<'_>, lease: LeaseId) -> Vec<Operation> {
        self.last_item += 1;
        let item = format!(
            "{}-{:016x}-{}",
            own_name(&self.shared),
            self.incarnation,
            self.last_item
        );
        let put = |(shard, records): (&StreamShard, &Vec<&StreamRecord>)| Operation::Put {
            key: format!("{}{item}", shard_prefix(*shard)),
            value: StoredStreamsMessage::new(records).encode_to_vec(),
            lease: Some(lease),
        };
        shards.iter().map(put).collect()
    }
}

fn group_by_shard<'a>(shared: &Shared, records: &'a [StreamRecord]) -> Shards<'a> {
    let fleet = shared.fleet.read().clone();
    let mut shards = Shards::new();
    for record in records {
        let shard = fleet.recorders.shard(record.attempt);
        shards.entry(shard).or_default().push(record);
    }
    shards
}

/// Returns the prefix of the keys of a shard's records.
pub(super) fn shard_prefix(shard: StreamShard) -> String {
    format!("{RECORDS_PREFIX}{}/", shard.name())
}
