//! The actor that maintains the node's lease and starts the other tasks of the authority.

use std::sync::Arc;

use actix::{Actor, AsyncContext, Context, Handler, Message, ResponseFuture, WrapFuture};
use tansyhall_authority::{Lease, LeaseAction, LeaseEvent};
use tansyhall_core::Duration;
use tansyhall_store::{EtcdStore, KeyValueStore, LeaseId, StoreError};

use super::shared::SharedAuthority;
use super::{claims, observer};
use crate::state::Node;

/// Interval at which the lease is checked for a due grant or renewal.
const LEASE_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Revokes the lease and releases every pool, so that other nodes need not wait until the lease
/// lapses. Sent at a planned stop; answered once the store has answered or the call has failed.
pub struct Release;

impl Message for Release {
    type Result = ();
}

/// The actor that maintains the lease.
pub struct AuthorityManager {
    node: Arc<Node>,
    store: EtcdStore,
    authority: SharedAuthority,
}

impl AuthorityManager {
    /// Creates the manager of a node's authority.
    pub fn new(node: Arc<Node>, store: EtcdStore) -> Self {
        let authority = SharedAuthority::new(Arc::clone(&node));
        Self {
            node,
            store,
            authority,
        }
    }
}

impl Actor for AuthorityManager {
    type Context = Context<Self>;

    fn started(&mut self, context: &mut Self::Context) {
        let node = || Arc::clone(&self.node);
        let authority = || self.authority.clone();
        let maintain_lease = maintain_lease(node(), self.store.clone(), authority());
        let maintain_claims = claims::maintain_claims(node(), self.store.clone(), authority());
        let observe_engines = observer::observe_engines(node());
        context.spawn(maintain_lease.into_actor(self));
        context.spawn(maintain_claims.into_actor(self));
        context.spawn(observe_engines.into_actor(self));
    }
}

impl Handler<Release> for AuthorityManager {
    type Result = ResponseFuture<()>;

    fn handle(&mut self, _: Release, _: &mut Self::Context) -> Self::Result {
        let store = self.store.clone();
        let action = self.authority.step_lease(LeaseEvent::Stop);
        Box::pin(async move {
            if let LeaseAction::Revoke(lease) = action {
                if let Err(error) = store.revoke_lease(LeaseId(lease.0)).await {
                    log::warn!(
                        "cannot revoke the authority lease, which will lapse instead: {error}"
                    );
                }
            }
        })
    }
}

async fn maintain_lease(node: Arc<Node>, store: EtcdStore, authority: SharedAuthority) {
    loop {
        let event = match authority.step_lease(LeaseEvent::Tick) {
            LeaseAction::Wait | LeaseAction::Revoke(_) => {
                actix_rt::time::sleep(LEASE_CHECK_INTERVAL).await;
                continue;
            }
            LeaseAction::Grant(time_to_live) => request_grant(&store, time_to_live).await,
            LeaseAction::Renew(lease) => request_renewal(&store, lease).await,
        };
        match event {
            LeaseEvent::NoAnswer => node.metrics.platform_errors.inc(),
            LeaseEvent::Lapsed => log::warn!("the authority lease has lapsed"),
            _ => {}
        }
        authority.step_lease(event);
    }
}

async fn request_grant(store: &EtcdStore, time_to_live: Duration) -> LeaseEvent {
    match store.grant_lease(time_to_live).await {
        Ok(lease) => LeaseEvent::Granted {
            lease: Lease(lease.0),
            time_to_live,
        },
        Err(_) => LeaseEvent::NoAnswer,
    }
}

async fn request_renewal(store: &EtcdStore, lease: Lease) -> LeaseEvent {
    match store.keep_alive(LeaseId(lease.0)).await {
        Ok(time_to_live) => LeaseEvent::Renewed { time_to_live },
        Err(StoreError::LeaseLapsed) => LeaseEvent::Lapsed,
        Err(_) => LeaseEvent::NoAnswer,
    }
}
