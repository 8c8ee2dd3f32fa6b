//! Announces this gateway in the store under its lease, so that the other gateways know how many gateways
//! share the fleet's budgets and which gateways to ask for updates while the store is unreachable.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::atomic::Ordering;
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
use crate::store_call::with_timeout;

/// Prefix of the keys under which gateways announce themselves.
pub const PREFIX: &str = "tansyhall/gateways/";
/// Time in which gateways whose announcements were lost in a restore have announced themselves again. Each learns of
/// the restore at the next renewal of its lease, and then makes two calls, one of which may have to be retried.
pub const REANNOUNCEMENT_WINDOW: Duration = Duration::from_secs(8);
/// The announcement of a gateway that stops. It names no addresses, so that no gateway decodes it as a member.
const WITHDRAWN: &str = "withdrawn";
const LEASE_CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Largest plausible processor time of a gateway, in cores.
const MAX_CORES: f64 = 1e6;
/// Pause before a failed call is retried.
const RETRY_DELAY: Duration = Duration::from_millis(700);

/// A gateway that has announced itself.
#[derive(Debug, Clone, PartialEq)]
pub struct Member {
    /// Its name.
    pub name: String,
    /// The address at which other gateways request updates of its mirror.
    pub peer_address: SocketAddr,
    /// The address at which it receives datagrams.
    pub load_address: SocketAddr,
    /// Its zone; `None` if the announcement is from an older version.
    pub zone: Option<ZoneName>,
    /// Its processor time in cores; 0 if the announcement is from an older version.
    pub capacity: f64,
}

/// Returns the key under which the gateway with this name announces itself.
pub fn key(name: &str) -> String {
    format!("{PREFIX}{name}")
}

/// What the mirror contains under a gateway's own key. It contains all earlier announcements as well.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Announcement {
    /// The first announcement since the last one has lapsed.
    First,
    /// An announcement that has replaced another one, or is itself of an earlier life.
    Repeated,
}

/// Returns this gateway's announcement in the mirror, if there is one.
pub fn own_announcement(shared: &Shared) -> Option<Announcement> {
    let settings = shared.settings.read().clone();
    let mirror = shared.mirror.lock();
    let item = mirror.get(&key(&settings.node.name))?;
    decode_member(&item.key, &item.value)?;
    let is_first =
        item.created == item.written.revision && shared.announced.load(Ordering::Relaxed);
    Some(match is_first {
        true => Announcement::First,
        false => Announcement::Repeated,
    })
}

/// Returns the gateways that are announced in the mirror.
pub fn members(mirror: &Mirror) -> Vec<Member> {
    mirror
        .items_with_prefix(PREFIX)
        .filter_map(|item| decode_member(&item.key, &item.value))
        .collect()
}

/// Decodes a gateway's announcement. Returns `None` if it is malformed.
pub fn decode_member(key: &str, value: &[u8]) -> Option<Member> {
    let mut words = std::str::from_utf8(value).ok()?.split(' ');
    let copy = words.next()?;
    let load = words.next()?;
    Some(Member {
        name: key.strip_prefix(PREFIX)?.to_owned(),
        peer_address: copy.parse().ok()?,
        load_address: load.parse().ok()?,
        zone: words.next().map(ZoneName::new),
        capacity: words.next().and_then(parse_capacity).unwrap_or_default(),
    })
}

/// Returns this gateway as it announces itself.
pub fn own_member(settings: &GatewaySettings) -> Member {
    Member {
        name: settings.node.name.clone(),
        peer_address: settings.listen.peers,
        load_address: settings.listen.load,
        zone: Some(settings.node.zone.clone()),
        capacity: settings.node.capacity(),
    }
}

fn parse_capacity(word: &str) -> Option<f64> {
    let cores = word.parse().ok()?;
    (0.0..=MAX_CORES).contains(&cores).then_some(cores)
}

/// Announces this gateway under each lease that it obtains, until it stops.
pub async fn announce(shared: Arc<Shared>, store: Rc<dyn KeyValueStore>, lease: NodeLease) {
    let mut announced: Option<Lease> = None;
    while !shared.is_stopping() {
        let held = lease.held();
        match held {
            Some(lease) if announced != held => {
                let announcement = announcement(&shared.settings.read());
                match publish(&shared, &*store, lease, announcement).await {
                    Ok(()) => announced = held,
                    Err(_) => sleep(RETRY_DELAY).await,
                }
            }
            _ => sleep(LEASE_CHECK_INTERVAL).await,
        }
    }
    // The key stays until the lease lapses, so that the next life knows of this one.
    if let Some(lease) = announced {
        let _ = publish(&shared, &*store, lease, WITHDRAWN.to_owned()).await;
    }
}

/// Returns the announcement of a gateway with these settings.
fn announcement(settings: &GatewaySettings) -> String {
    let listen = &settings.listen;
    let zone = &settings.node.zone;
    let capacity = settings.node.capacity();
    format!("{} {} {zone} {capacity}", listen.peers, listen.load)
}

async fn publish(
    shared: &Shared,
    store: &dyn KeyValueStore,
    Lease(lease): Lease,
    announcement: String,
) -> Result<(), StoreError> {
    let put = Operation::Put {
        key: key(&shared.settings.read().node.name),
        value: announcement.into_bytes(),
        lease: Some(LeaseId(lease)),
    };
    let transaction = Transaction {
        compare: Vec::new(),
        operations: vec![put],
    };
    shared.announced.store(true, Ordering::Relaxed);
    with_timeout(store.transact(&transaction)).await?;
    Ok(())
}
