//! Announces this gateway in the store under a lease, so that gateways know how many share the
//! fleet's budgets and whom to ask while the store is out of reach.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use tansyhall_forwarding::Mirror;
use tansyhall_store::{KeyValueStore, LeaseId, Operation, StoreError, Transaction};
use tokio::time::{sleep, timeout};

use crate::state::Shared;

/// Where gateways announce themselves.
const PREFIX: &str = "tansyhall/gateways/";
/// How long an announcement outlives its gateway.
const TIME_TO_LIVE: Duration = Duration::from_secs(6);
/// Pause between renewals.
const RENEWAL: Duration = Duration::from_secs(2);
/// Pause after a failed call.
const FAILURE_PAUSE: Duration = Duration::from_millis(700);
/// Time for one call.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);

/// A gateway that has announced itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// Its name.
    pub name: String,
    /// Where other gateways ask for its copy of the store.
    pub copy: SocketAddr,
    /// Where it takes reports of load.
    pub load: SocketAddr,
}

/// The gateways in a copy of the store.
pub fn members(mirror: &Mirror) -> Vec<Member> {
    mirror
        .below(PREFIX)
        .filter_map(|item| {
            let (copy, load) = std::str::from_utf8(&item.value).ok()?.split_once(' ')?;
            Some(Member {
                name: item.key[PREFIX.len()..].to_owned(),
                copy: copy.parse().ok()?,
                load: load.parse().ok()?,
            })
        })
        .collect()
}

/// Keeps the announcement alive until the gateway stops, then takes it back.
pub async fn announce(shared: Arc<Shared>, store: Rc<dyn KeyValueStore>) {
    let mut lease = None;
    while !shared.is_stopping() {
        let renewed = match lease {
            Some(lease) => renew(&*store, lease).await.map(|()| lease),
            None => publish(&shared, &*store).await,
        };
        match renewed {
            Ok(kept) => {
                lease = Some(kept);
                sleep(RENEWAL).await;
            }
            Err(StoreError::LeaseLapsed) => lease = None,
            Err(_) => sleep(FAILURE_PAUSE).await,
        }
    }
    if let Some(lease) = lease {
        let _ = timeout(CALL_TIMEOUT, store.revoke_lease(lease)).await;
    }
}

async fn publish(shared: &Shared, store: &dyn KeyValueStore) -> Result<LeaseId, StoreError> {
    let settings = shared.settings.read().clone();
    let lease = in_time(store.grant_lease(TIME_TO_LIVE)).await?;
    let put = Operation::Put {
        key: format!("{PREFIX}{}", settings.node.name),
        value: format!("{} {}", settings.listen.peers, settings.listen.load).into_bytes(),
        lease: Some(lease),
    };
    let transaction = Transaction {
        compare: Vec::new(),
        operations: vec![put],
    };
    in_time(store.transact(&transaction)).await?;
    Ok(lease)
}

async fn renew(store: &dyn KeyValueStore, lease: LeaseId) -> Result<(), StoreError> {
    in_time(store.keep_alive(lease)).await?;
    Ok(())
}

async fn in_time<T>(
    call: impl std::future::Future<Output = Result<T, StoreError>>,
) -> Result<T, StoreError> {
    timeout(CALL_TIMEOUT, call)
        .await
        .unwrap_or_else(|_| Err(StoreError::Unknown("no answer in time".into())))
}
