//! Names the software versions that serve in the store, if this gateway is one of their recorders, and reads which ones
//! the store names. [`tansyhall_forwarding::served_versions`] decides what has to be written.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use prost::Message;
use tansyhall_forwarding::{Item, Position, ServedVersion, RECORD_LIFETIME};
use tansyhall_store::{KeyValueStore, Operation, StoreError, Transaction, TransactionOutcome};
use tokio::time::sleep;

use super::message::ServedVersionMessage;
use super::{own_name, watch};
use crate::presence;
use crate::state::Shared;
use crate::store_call::with_timeout;

/// Prefix of the keys under which recorders name the versions that serve.
pub const SERVED_PREFIX: &str = "tansyhall/versions/";
/// Interval of checks for versions to write.
const CHECK_INTERVAL: Duration = Duration::from_millis(300);
/// Maximum number of items in a write; the store takes 32.
const MAX_ITEMS_PER_WRITE: usize = 30;

/// Takes over which versions the mirror of the store names. Invalid items are ignored.
pub fn read_served_versions(shared: &Shared) {
    let mirror = shared.mirror.lock();
    let position = mirror.position();
    let items: Vec<(ServedVersion, Position)> = mirror
        .items_with_prefix(SERVED_PREFIX)
        .filter_map(|item| Some((decode(item)?, item.written)))
        .collect();
    drop(mirror);
    let now = shared.now();
    let mut versions = shared.stream_versions.versions.lock();
    versions.set_recorded(now, position, items);
}

fn decode(item: &Item) -> Option<ServedVersion> {
    let served = ServedVersionMessage::decode(item.value.as_slice());
    let served = served.ok()?.served();
    (item.key == key(&served)).then_some(served)
}

fn key(served: &ServedVersion) -> String {
    format!("{SERVED_PREFIX}{:016x}", served.key().0)
}

/// Writes the versions that are due; runs forever.
pub async fn write_served_versions(shared: Arc<Shared>, store: Rc<dyn KeyValueStore>) {
    let writes = &shared.metrics.served_version_writes;
    loop {
        sleep(CHECK_INTERVAL).await;
        for part in due(&shared).chunks(MAX_ITEMS_PER_WRITE) {
            let outcome = match write(&*store, part).await {
                Ok(_) => "written",
                Err(error) => {
                    log::debug!("versions that serve may not have been written: {error}");
                    "failed"
                }
            };
            writes.with_label_values(&[outcome]).inc();
        }
    }
}

/// Returns the versions that this gateway has to write now. While the store is away, and before the other recorders are
/// known, there are none.
fn due(shared: &Shared) -> Vec<ServedVersion> {
    if !watch(shared).is_current || presence::own_announcement(shared).is_none() {
        return Vec::new();
    }
    let own = own_name(shared);
    let fleet = shared.fleet.read().clone();
    let delay = |served: &ServedVersion| fleet.recorders.version_write_delay(served.key(), &own);
    let now = shared.now();
    let mut versions = shared.stream_versions.versions.lock();
    versions.take_due_versions(now, delay)
}

async fn write(
    store: &dyn KeyValueStore,
    versions: &[ServedVersion],
) -> Result<TransactionOutcome, StoreError> {
    let lease = with_timeout(store.grant_lease(RECORD_LIFETIME)).await?;
    let put = |served: &ServedVersion| Operation::Put {
        key: key(served),
        value: ServedVersionMessage::new(served).encode_to_vec(),
        lease: Some(lease),
    };
    let transaction = Transaction {
        compare: Vec::new(),
        operations: versions.iter().map(put).collect(),
    };
    with_timeout(store.transact(&transaction)).await
}
