//! This gateway's leases in the store. Its presence hangs on one that it always keeps; its authority
//! over roles on another, which lives shorter, so that a dead holder is soon replaced, and is kept
//! only while the authority is held or sought.
//!
//! A restored store may have lost a lease, and given its identifier to another gateway. A lease outlives the epoch in
//! which it was granted only if the key that hangs on it is still there as it was written.

use std::rc::Rc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use tansyhall_authority::{Lease, LeaseAction, LeaseEvent, LeaseHolder, LeaseTiming};
use tansyhall_core::Timestamp;
use tansyhall_store::{KeyValueStore, LeaseId, StoreEpoch, StoreError};
use tokio::time::sleep;

use crate::state::Shared;
use crate::store_call::in_time;

/// Times of the lease that presence hangs on. Each gateway renews its own, which with hundreds of them is
/// a large part of all calls to the store; that a gateway is gone is noticed sooner by whoever asks it.
pub const PRESENCE: LeaseTiming = LeaseTiming {
    time_to_live: Duration::from_secs(12),
    renewal_interval: Duration::from_secs(4),
    clock_drift_margin: Duration::from_millis(500),
};
/// Times of the lease that the authority over roles hangs on.
pub const AUTHORITY: LeaseTiming = LeaseTiming {
    time_to_live: Duration::from_secs(3),
    renewal_interval: Duration::from_secs(1),
    clock_drift_margin: Duration::from_millis(500),
};
/// Pause between two looks at the clock.
const PACE: Duration = Duration::from_millis(200);

/// A lease, shared by the tasks that hang on it.
#[derive(Debug, Clone)]
pub struct NodeLease {
    /// The key that hangs on the lease.
    key: Arc<str>,
    keeper: Arc<Mutex<LeaseHolder>>,
    /// The latest epoch of the store in which the lease is known to stand.
    stands_in: Arc<Mutex<StoreEpoch>>,
    wanted: Arc<AtomicBool>,
}

impl NodeLease {
    /// A lease for that key, which is not held yet and, unless `wanted`, not asked for.
    pub fn new(key: &str, timing: LeaseTiming, wanted: bool) -> Self {
        Self {
            key: key.into(),
            keeper: Arc::new(Mutex::new(LeaseHolder::new(timing))),
            stands_in: Arc::default(),
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
        if self.standing(&shared, store.epoch()) != Standing::Stands {
            self.lapse(&shared);
        }
        let action = self.keeper.lock().step(shared.now(), LeaseEvent::Stop);
        perform(&*store, action).await;
    }
}

impl NodeLease {
    async fn look(&self, shared: &Shared, store: &dyn KeyValueStore) {
        match self.standing(shared, store.epoch()) {
            Standing::Stands => {}
            Standing::Unknown => return,
            Standing::Lost => self.lapse(shared),
        }
        let action = self.keeper.lock().step(shared.now(), LeaseEvent::Tick);
        if let Some(event) = perform(store, action).await {
            if matches!(event, LeaseEvent::Granted { .. }) {
                *self.stands_in.lock() = store.epoch();
            }
            self.keeper.lock().step(shared.now(), event);
        }
    }

    /// Whether the lease that is held stands in this epoch of the store.
    fn standing(&self, shared: &Shared, epoch: StoreEpoch) -> Standing {
        let mut stands_in = self.stands_in.lock();
        if *stands_in == epoch || self.held().is_none() {
            return Standing::Stands;
        }
        let mirror = shared.mirror.lock();
        if mirror.position().epoch != epoch.0 {
            return Standing::Unknown;
        }
        let key = mirror.get(&self.key);
        let was_kept = key.is_some_and(|item| item.written.epoch <= stands_in.0);
        if !was_kept {
            return Standing::Lost;
        }
        *stands_in = epoch;
        Standing::Stands
    }

    fn lapse(&self, shared: &Shared) {
        let now = shared.now();
        self.keeper.lock().step(now, LeaseEvent::Lapsed);
    }
}

/// What is known of a lease after the store was restored.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Standing {
    /// The store has it.
    Stands,
    /// The copy of the store does not tell yet.
    Unknown,
    /// The store has lost it, or what hung on it.
    Lost,
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
