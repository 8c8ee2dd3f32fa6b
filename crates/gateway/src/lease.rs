//! This gateway's leases in the store. Its presence hangs on one that it always keeps; its authority
//! over roles on another, which lives shorter, so that a dead holder is soon replaced, and is kept
//! only while the authority is held or sought.
//!
//! A lease ends with the epoch of the store in which it was granted: a restored store may not have it any more, or
//! have given its identifier to another gateway.

use std::rc::Rc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use tansyhall_authority::{Lease, LeaseAction, LeaseEvent, LeaseKeeper, LeaseTiming};
use tansyhall_core::Timestamp;
use tansyhall_store::{KeyValueStore, LeaseId, StoreEpoch, StoreError};
use tokio::time::sleep;

use crate::state::Shared;
use crate::store_call::in_time;

/// Times of the lease that presence hangs on. Each gateway renews its own, which with hundreds of them is
/// a large part of all calls to the store; that a gateway is gone is noticed sooner by whoever asks it.
pub const PRESENCE: LeaseTiming = LeaseTiming {
    time_to_live: Duration::from_secs(12),
    renewal: Duration::from_secs(4),
    margin: Duration::from_millis(500),
};
/// Times of the lease that the authority over roles hangs on.
pub const AUTHORITY: LeaseTiming = LeaseTiming {
    time_to_live: Duration::from_secs(3),
    renewal: Duration::from_secs(1),
    margin: Duration::from_millis(500),
};
/// Pause between two looks at the clock.
const PACE: Duration = Duration::from_millis(200);

/// A lease, shared by the tasks that hang on it.
#[derive(Debug, Clone)]
pub struct NodeLease {
    keeper: Arc<Mutex<LeaseKeeper>>,
    /// The epoch in which the lease was granted that is held.
    granted_in: Arc<Mutex<StoreEpoch>>,
    wanted: Arc<AtomicBool>,
}

impl NodeLease {
    /// A lease that is not held yet and, unless `wanted`, not asked for.
    pub fn new(timing: LeaseTiming, wanted: bool) -> Self {
        Self {
            keeper: Arc::new(Mutex::new(LeaseKeeper::new(timing))),
            granted_in: Arc::default(),
            wanted: Arc::new(AtomicBool::new(wanted)),
        }
    }

    /// Whether the lease is kept from now on; one that is not wanted any more runs out.
    pub fn set_wanted(&self, wanted: bool) {
        self.wanted.store(wanted, Ordering::Relaxed);
    }

    /// The lease, if one is held.
    pub fn held(&self) -> Option<Lease> {
        self.keeper.lock().lease()
    }

    /// Whether what hangs on this lease may be acted on: it is still the one that is held, and valid.
    pub fn is_valid(&self, lease: Lease, now: Timestamp) -> bool {
        self.keeper.lock().is_valid(lease, now)
    }

    /// Keeps the lease until the gateway stops, then gives it up.
    pub async fn keep(self, shared: Arc<Shared>, store: Rc<dyn KeyValueStore>) {
        while !shared.is_stopping() {
            if self.wanted.load(Ordering::Relaxed) {
                self.look(&shared, &*store).await;
            }
            sleep(PACE).await;
        }
        self.end_with_epoch(&shared, &*store);
        let action = self.keeper.lock().step(shared.now(), LeaseEvent::Stop);
        perform(&*store, action).await;
    }
}

impl NodeLease {
    async fn look(&self, shared: &Shared, store: &dyn KeyValueStore) {
        self.end_with_epoch(shared, store);
        let action = self.keeper.lock().step(shared.now(), LeaseEvent::Tick);
        if let Some(event) = perform(store, action).await {
            if matches!(event, LeaseEvent::Granted { .. }) {
                *self.granted_in.lock() = store.epoch();
            }
            self.keeper.lock().step(shared.now(), event);
            self.end_with_epoch(shared, store);
        }
    }

    /// Ends a lease that was granted in an epoch that is over.
    fn end_with_epoch(&self, shared: &Shared, store: &dyn KeyValueStore) {
        if self.held().is_some() && *self.granted_in.lock() != store.epoch() {
            let lapsed = LeaseEvent::Lapsed;
            self.keeper.lock().step(shared.now(), lapsed);
        }
    }
}

async fn perform(store: &dyn KeyValueStore, action: LeaseAction) -> Option<LeaseEvent> {
    match action {
        LeaseAction::Wait => None,
        LeaseAction::Grant(time_to_live) => {
            let granted = in_time(store.grant_lease(time_to_live)).await;
            Some(match granted {
                Ok(LeaseId(lease)) => LeaseEvent::Granted {
                    lease: Lease(lease),
                    time_to_live,
                },
                Err(_) => LeaseEvent::NoAnswer,
            })
        }
        LeaseAction::Renew(Lease(lease)) => {
            let renewed = in_time(store.keep_alive(LeaseId(lease))).await;
            Some(match renewed {
                Ok(time_to_live) => LeaseEvent::Renewed { time_to_live },
                Err(StoreError::LeaseLapsed) => LeaseEvent::Lapsed,
                Err(_) => LeaseEvent::NoAnswer,
            })
        }
        LeaseAction::Revoke(Lease(lease)) => {
            let _ = in_time(store.revoke_lease(LeaseId(lease))).await;
            None
        }
    }
}
