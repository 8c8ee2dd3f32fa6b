//! This gateway's leases in the store. Its announcement is attached to a lease that it always keeps.
//! Its authority over the site is attached to another one, which has a shorter time to live, so that a
//! crashed holder is replaced soon, and which is kept only while the authority is held or claimed.
//!
//! A restored store may have lost a lease and may have given its identifier to another gateway. A lease therefore
//! remains valid in a later epoch only if the key attached to it is still in the store as it was written.

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
use crate::store_call::with_timeout;

/// Timing of the lease for a gateway's announcement. Every gateway renews one, and with hundreds of gateways
/// these renewals are a large part of all calls to the store. A longer time to live is acceptable, because
/// gateways that send requests to a crashed gateway notice the crash sooner.
pub const PRESENCE_TIMING: LeaseTiming = LeaseTiming {
    time_to_live: Duration::from_secs(12),
    renewal_interval: Duration::from_secs(4),
    clock_drift_margin: Duration::from_millis(500),
};
/// Timing of the lease for the authority over the site.
pub const AUTHORITY_TIMING: LeaseTiming = LeaseTiming {
    time_to_live: Duration::from_secs(3),
    renewal_interval: Duration::from_secs(1),
    clock_drift_margin: Duration::from_millis(500),
};
const CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// A lease, shared by the tasks that depend on it.
#[derive(Debug, Clone)]
pub struct NodeLease {
    /// The key attached to the lease.
    key: Arc<str>,
    holder: Arc<Mutex<LeaseHolder>>,
    /// The latest epoch of the store in which the lease is known to exist.
    confirmed_epoch: Arc<Mutex<StoreEpoch>>,
    wanted: Arc<AtomicBool>,
    /// Whether the lease is revoked when the gateway stops. Otherwise it lapses.
    is_revoked_at_stop: bool,
}

impl NodeLease {
    /// Creates a lease for a key. It is not held yet, and it is requested from the store only while it is wanted.
    pub fn new(key: &str, timing: LeaseTiming, wanted: bool) -> Self {
        Self {
            key: key.into(),
            holder: Arc::new(Mutex::new(LeaseHolder::new(timing))),
            confirmed_epoch: Arc::default(),
            wanted: Arc::new(AtomicBool::new(wanted)),
            is_revoked_at_stop: true,
        }
    }

    /// Lets the lease lapse when the gateway stops, instead of revoking it.
    pub fn lapsing_at_stop(mut self) -> Self {
        self.is_revoked_at_stop = false;
        self
    }

    /// Sets whether the lease is requested and renewed from now on. A lease that is no longer wanted lapses.
    pub fn set_wanted(&self, wanted: bool) {
        self.wanted.store(wanted, Ordering::Relaxed);
    }

    /// Returns the lease, if one is held.
    pub fn held(&self) -> Option<Lease> {
        self.holder.lock().lease()
    }

    /// Returns whether `lease` is the lease that is held and is valid at `now`, so that rights attached to it may be
    /// used.
    pub fn is_valid(&self, lease: Lease, now: Timestamp) -> bool {
        self.holder.lock().is_valid(lease, now)
    }

    /// Obtains and renews the lease until the gateway stops, then revokes it or lets it lapse.
    pub async fn maintain(self, shared: Arc<Shared>, store: Rc<dyn KeyValueStore>) {
        while !shared.is_stopping() {
            if self.wanted.load(Ordering::Relaxed) {
                self.step(&shared, &*store).await;
            }
            sleep(CHECK_INTERVAL).await;
        }
        if !self.is_revoked_at_stop {
            return;
        }
        if self.existence_in(&shared, store.epoch()) != Existence::Exists {
            self.mark_lapsed(&shared);
        }
        let action = self.holder.lock().step(shared.now(), LeaseEvent::Stop);
        perform(&*store, action).await;
    }
}

impl NodeLease {
    async fn step(&self, shared: &Shared, store: &dyn KeyValueStore) {
        match self.existence_in(shared, store.epoch()) {
            Existence::Exists => {}
            Existence::Unknown => return,
            Existence::Lost => self.mark_lapsed(shared),
        }
        let action = self.holder.lock().step(shared.now(), LeaseEvent::Tick);
        if let Some(event) = perform(store, action).await {
            if matches!(event, LeaseEvent::Granted { .. }) {
                *self.confirmed_epoch.lock() = store.epoch();
            }
            self.holder.lock().step(shared.now(), event);
        }
    }

    /// Returns whether the lease that is held still exists in this epoch of the store.
    fn existence_in(&self, shared: &Shared, epoch: StoreEpoch) -> Existence {
        let mut confirmed_epoch = self.confirmed_epoch.lock();
        if *confirmed_epoch == epoch || self.held().is_none() {
            return Existence::Exists;
        }
        let mirror = shared.mirror.lock();
        if mirror.position().epoch != epoch.0 {
            return Existence::Unknown;
        }
        let key = mirror.get(&self.key);
        let is_preserved = key.is_some_and(|item| item.written.epoch <= confirmed_epoch.0);
        if !is_preserved {
            return Existence::Lost;
        }
        *confirmed_epoch = epoch;
        Existence::Exists
    }

    fn mark_lapsed(&self, shared: &Shared) {
        let now = shared.now();
        self.holder.lock().step(now, LeaseEvent::Lapsed);
    }
}

/// What is known about a lease after the store was restored.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Existence {
    /// The store has the lease.
    Exists,
    /// Not known yet, because the mirror is still of another epoch.
    Unknown,
    /// The store has lost the lease or the key attached to it.
    Lost,
}

async fn perform(store: &dyn KeyValueStore, action: LeaseAction) -> Option<LeaseEvent> {
    match action {
        LeaseAction::Wait => None,
        LeaseAction::Grant(time_to_live) => {
            let granted = with_timeout(store.grant_lease(time_to_live)).await;
            Some(match granted {
                Ok(LeaseId(lease)) => LeaseEvent::Granted {
                    lease: Lease(lease),
                    time_to_live,
                },
                Err(_) => LeaseEvent::NoAnswer,
            })
        }
        LeaseAction::Renew(Lease(lease)) => {
            let renewed = with_timeout(store.keep_alive(LeaseId(lease))).await;
            Some(match renewed {
                Ok(time_to_live) => LeaseEvent::Renewed { time_to_live },
                Err(StoreError::LeaseLapsed) => LeaseEvent::Lapsed,
                Err(_) => LeaseEvent::NoAnswer,
            })
        }
        LeaseAction::Revoke(Lease(lease)) => {
            let _ = with_timeout(store.revoke_lease(LeaseId(lease))).await;
            None
        }
    }
}
