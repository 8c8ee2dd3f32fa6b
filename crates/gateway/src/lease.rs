//! This gateway's one lease in the store: its presence and its authority hang on it.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use tansyhall_authority::{Lease, LeaseAction, LeaseClock, LeaseEvent, LeaseKeeper, LeaseTiming};
use tansyhall_store::{KeyValueStore, LeaseId, StoreError};
use tokio::time::sleep;

use crate::state::Shared;
use crate::store_call::in_time;

/// Times of the lease.
const TIMING: LeaseTiming = LeaseTiming {
    time_to_live: Duration::from_secs(6),
    renewal: Duration::from_secs(2),
    margin: Duration::from_millis(500),
};
/// Pause between two looks at the clock.
const PACE: Duration = Duration::from_millis(200);

/// The lease, shared by the tasks that hang on it.
#[derive(Debug, Clone)]
pub struct NodeLease(Arc<Mutex<LeaseKeeper>>);

impl Default for NodeLease {
    fn default() -> Self {
        Self(Arc::new(Mutex::new(LeaseKeeper::new(TIMING))))
    }
}

impl NodeLease {
    /// The lease, if one is held.
    pub fn held(&self) -> Option<Lease> {
        self.0.lock().lease()
    }

    /// Whether it may still be relied on.
    pub fn clock(&self) -> LeaseClock {
        self.0.lock().clock()
    }

    /// Keeps the lease until the gateway stops, then gives it up.
    pub async fn keep(self, shared: Arc<Shared>, store: Rc<dyn KeyValueStore>) {
        while !shared.is_stopping() {
            let action = self.0.lock().step(shared.now(), LeaseEvent::Tick);
            if let Some(event) = perform(&*store, action).await {
                self.0.lock().step(shared.now(), event);
            }
            sleep(PACE).await;
        }
        let action = self.0.lock().step(shared.now(), LeaseEvent::Stop);
        perform(&*store, action).await;
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
