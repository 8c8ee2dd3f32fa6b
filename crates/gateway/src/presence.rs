//! Announces this gateway in the store under its lease, so that gateways know how many share the
//! fleet's budgets and whom to ask while the store is out of reach.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use tansyhall_authority::Lease;
use tansyhall_core::ZoneName;
use tansyhall_forwarding::Mirror;
use tansyhall_store::{KeyValueStore, LeaseId, Operation, StoreError, Transaction};
use tokio::time::sleep;

use crate::lease::NodeLease;
use crate::settings::GatewaySettings;
use crate::state::Shared;
use crate::store_call::in_time;

/// Where gateways announce themselves.
pub const PREFIX: &str = "tansyhall/gateways/";
/// Time in which gateways whose announcements were lost have announced themselves again: each hears at its next
/// renewal that the store was restored, and makes two calls, one of which may have to be repeated.
pub const REANNOUNCED_WITHIN: Duration = Duration::from_secs(8);
/// Pause between two looks at the lease.
const PACE: Duration = Duration::from_millis(250);
/// More processor time than any gateway has, in cores.
const MAX_CORES: f64 = 1e6;
/// Pause after a failed call.
const FAILURE_PAUSE: Duration = Duration::from_millis(700);

/// A gateway that has announced itself.
#[derive(Debug, Clone, PartialEq)]
pub struct Member {
    /// Its name.
    pub name: String,
    /// Where other gateways ask for its copy of the store.
    pub copy: SocketAddr,
    /// Where it takes reports of load.
    pub load: SocketAddr,
    /// Its zone, unless an older version announced it.
    pub zone: Option<ZoneName>,
    /// Its processor time in cores; an older version does not tell it.
    pub capacity: f64,
}

/// Where the gateway of that name announces itself.
pub fn key(name: &str) -> String {
    format!("{PREFIX}{name}")
}

/// Whether the copy of the store holds this gateway's announcement, and so all that were made before it.
pub fn is_announced(shared: &Shared) -> bool {
    let key = key(&shared.settings.read().node.name);
    shared.mirror.lock().get(&key).is_some()
}

/// The gateways in a copy of the store.
pub fn members(mirror: &Mirror) -> Vec<Member> {
    mirror
        .items_with_prefix(PREFIX)
        .filter_map(|item| member(&item.key, &item.value))
        .collect()
}

/// The gateway that an item announces; none if it can't be read.
pub fn member(key: &str, value: &[u8]) -> Option<Member> {
    let mut words = std::str::from_utf8(value).ok()?.split(' ');
    let copy = words.next()?;
    let load = words.next()?;
    Some(Member {
        name: key.strip_prefix(PREFIX)?.to_owned(),
        copy: copy.parse().ok()?,
        load: load.parse().ok()?,
        zone: words.next().map(ZoneName::new),
        capacity: words.next().and_then(capacity).unwrap_or_default(),
    })
}

/// This gateway as it announces itself.
pub fn own_member(settings: &GatewaySettings) -> Member {
    Member {
        name: settings.node.name.clone(),
        copy: settings.listen.peers,
        load: settings.listen.load,
        zone: Some(settings.node.zone.clone()),
        capacity: settings.node.capacity(),
    }
}

fn capacity(word: &str) -> Option<f64> {
    let cores = word.parse().ok()?;
    (0.0..=MAX_CORES).contains(&cores).then_some(cores)
}

/// Announces this gateway under each lease that it comes to hold.
pub async fn announce(shared: Arc<Shared>, store: Rc<dyn KeyValueStore>, lease: NodeLease) {
    let mut announced: Option<Lease> = None;
    while !shared.is_stopping() {
        let held = lease.held();
        match held {
            Some(lease) if announced != held => match publish(&shared, &*store, lease).await {
                Ok(()) => announced = held,
                Err(_) => sleep(FAILURE_PAUSE).await,
            },
            _ => sleep(PACE).await,
        }
    }
}

async fn publish(
    shared: &Shared,
    store: &dyn KeyValueStore,
    Lease(lease): Lease,
) -> Result<(), StoreError> {
    let settings = shared.settings.read().clone();
    let listen = &settings.listen;
    let zone = &settings.node.zone;
    let capacity = settings.node.capacity();
    let announcement = format!("{} {} {zone} {capacity}", listen.peers, listen.load);
    let put = Operation::Put {
        key: key(&settings.node.name),
        value: announcement.into_bytes(),
        lease: Some(LeaseId(lease)),
    };
    let transaction = Transaction {
        compare: Vec::new(),
        operations: vec![put],
    };
    in_time(store.transact(&transaction)).await?;
    Ok(())
}
