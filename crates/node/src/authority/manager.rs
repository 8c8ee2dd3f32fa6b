//! The actor that keeps the node's lease and starts the authority's other tasks.

use std::sync::Arc;

use actix::{Actor, AsyncContext, Context, Handler, Message, ResponseFuture, WrapFuture};
use tansyhall_authority::{Lease, LeaseAction, LeaseEvent};
use tansyhall_core::Duration;
use tansyhall_store::{EtcdStore, KeyValueStore, LeaseId, StoreError};

use super::shared::SharedAuthority;
use super::{claims, observer};
use crate::state::Node;

/// Time between looks at whether a renewal is due.
const LEASE_TICK: Duration = Duration::from_millis(100);

/// Gives the lease up, and every pool with it, so that others need not wait until it lapses. Sent
/// at a planned stop; answered once the store has answered or given up.
pub struct Release;

impl Message for Release {
    type Result = ();
}

/// The actor that keeps the lease.
pub struct AuthorityKeeper {
    node: Arc<Node>,
    store: EtcdStore,
    authority: SharedAuthority,
}

impl AuthorityKeeper {
    /// A keeper for a node.
    pub fn new(node: Arc<Node>, store: EtcdStore) -> Self {
        let authority = SharedAuthority::new(Arc::clone(&node));
        Self {
            node,
            store,
            authority,
        }
    }
}

impl Actor for AuthorityKeeper {
    type Context = Context<Self>;

    fn started(&mut self, context: &mut Self::Context) {
        let node = || Arc::clone(&self.node);
        let authority = || self.authority.clone();
        let keep = keep_lease(node(), self.store.clone(), authority());
        let claim = claims::keep_claims(node(), self.store.clone(), authority());
        let observe = observer::observe_engines(node());
        context.spawn(keep.into_actor(self));
        context.spawn(claim.into_actor(self));
        context.spawn(observe.into_actor(self));
    }
}

impl Handler<Release> for AuthorityKeeper {
    type Result = ResponseFuture<()>;

    fn handle(&mut self, _: Release, _: &mut Self::Context) -> Self::Result {
        let store = self.store.clone();
        let action = self.authority.lease_step(LeaseEvent::Stop);
        Box::pin(async move {
            if let LeaseAction::Revoke(lease) = action {
                if let Err(error) = store.revoke_lease(LeaseId(lease.0)).await {
                    log::warn!("the lease is not revoked and will lapse: {error}");
                }
            }
        })
    }
}

async fn keep_lease(node: Arc<Node>, store: EtcdStore, authority: SharedAuthority) {
    loop {
        let event = match authority.lease_step(LeaseEvent::Tick) {
            LeaseAction::Wait | LeaseAction::Revoke(_) => {
                actix_rt::time::sleep(LEASE_TICK).await;
                continue;
            }
            LeaseAction::Grant(time_to_live) => grant(&store, time_to_live).await,
            LeaseAction::Renew(lease) => renew(&store, lease).await,
        };
        match event {
            LeaseEvent::NoAnswer => node.metrics.platform_errors.inc(),
            LeaseEvent::Lapsed => log::warn!("the lease has lapsed"),
            _ => {}
        }
        authority.lease_step(event);
    }
}

async fn grant(store: &EtcdStore, time_to_live: Duration) -> LeaseEvent {
    match store.grant_lease(time_to_live).await {
        Ok(lease) => LeaseEvent::Granted {
            lease: Lease(lease.0),
            time_to_live,
        },
        Err(_) => LeaseEvent::NoAnswer,
    }
}

async fn renew(store: &EtcdStore, lease: Lease) -> LeaseEvent {
    match store.keep_alive(LeaseId(lease.0)).await {
        Ok(time_to_live) => LeaseEvent::Renewed { time_to_live },
        Err(StoreError::LeaseLapsed) => LeaseEvent::Lapsed,
        Err(_) => LeaseEvent::NoAnswer,
    }
}
