//! The authority over the site. One gateway at a time holds it; the holder orders engines to change
//! their roles, reports usage and orders workers.
//!
//! A single claim covers all three duties. Separate claims would need three times as many lease calls,
//! and a single gateway that knows the whole load can plan roles and workers together. The claim is a
//! key that is created under this gateway's lease; its fence increases with the key's creation revision
//! and with the epoch of the store. A new holder waits until calls that its predecessor may still have
//! in progress are over (the very first holder has no predecessor to wait for), and checks its lease
//! before each call, so that the calls of two holders are never interleaved.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use tansyhall_authority::{
    claim::claim_delay, ClaimAction, ClaimEvent, ClaimRecord, Epoch, Lease, PoolClaim,
};
use tansyhall_core::{NodeId, PoolName, Timestamp};
use tansyhall_store::{Compare, KeyValueStore, LeaseId, Operation, StoreEpoch, Transaction};
use tokio::time::sleep;

use crate::authority_claim::{self, AuthorityClaim};
use crate::events::{Event, Priority};
use crate::lease::NodeLease;
use crate::state::Shared;
use crate::store_call::with_timeout;

/// Name of the claim, from which each gateway's claim delay is derived.
const CLAIM_NAME: &str = "roles";
const CLAIM_CHECK_INTERVAL: Duration = Duration::from_millis(300);
/// Longest delay between finding the claim free and creating it.
const MAX_CLAIM_DELAY: Duration = Duration::from_millis(1_500);

/// The claim that this gateway holds.
#[derive(Debug, Clone, Copy)]
struct HeldClaim {
    epoch: Epoch,
    /// The lease that the claim is attached to. A lease granted later does not keep the claim valid.
    lease: Lease,
    since: Timestamp,
    /// Whether no gateway held the authority before, so that no earlier call can be in progress.
    is_first: bool,
}

/// Decides whether this gateway may act for the site. Shared by the tasks that do so.
#[derive(Debug, Clone)]
pub struct Authority {
    lease: NodeLease,
    held: Arc<Mutex<Option<HeldClaim>>>,
}

impl Authority {
    /// Creates the authority attached to a lease. This gateway does not hold it yet.
    pub fn new(lease: NodeLease) -> Self {
        Self {
            lease,
            held: Arc::default(),
        }
    }

    /// Returns the fence of this gateway's claim if the gateway may act now. Must be checked immediately before each
    /// call.
    pub fn fence(&self, shared: &Shared) -> Option<Epoch> {
        let now = shared.now();
        let held = (*self.held.lock())?;
        let pause = shared.settings.read().takeover_pause();
        let pause_is_over = held.is_first || now.since(held.since) >= pause;
        (pause_is_over && self.lease.is_valid(held.lease, now)).then_some(held.epoch)
    }

    /// Claims the authority when it is free, and keeps it, until the gateway stops.
    pub async fn claim_and_hold(self, shared: Arc<Shared>, store: Rc<dyn KeyValueStore>) {
        let node = NodeId::new(shared.settings.read().node.name.clone());
        let delay = claim_delay(&PoolName::new(CLAIM_NAME), &node, MAX_CLAIM_DELAY);
        let mut claimant = Claimant {
            shared,
            store,
            authority: self,
            claim: PoolClaim::new(delay),
        };
        while !claimant.shared.is_stopping() {
            sleep(CLAIM_CHECK_INTERVAL).await;
            claimant.check_claim().await;
        }
        *claimant.authority.held.lock() = None;
    }
}

struct Claimant {
    shared: Arc<Shared>,
    store: Rc<dyn KeyValueStore>,
    authority: Authority,
    claim: PoolClaim,
}

impl Claimant {
    async fn check_claim(&mut self) {
        let now = self.shared.now();
        let lease = &self.authority.lease;
        if self.claim.held_epoch().is_none() && !self.shared.receives_load_reports() {
            lease.set_wanted(false);
            return;
        }
        // A mirror of an earlier epoch says nothing about the current state of the claim.
        if self.shared.mirror.lock().position().epoch != self.store.epoch().0 {
            return;
        }
        let (record, own) = self.observe();
        let event = ClaimEvent::Observed { record, lease: own };
        let action = self.claim.step(now, event);
        lease.set_wanted(self.claim.needs_lease(now));
        match action {
            ClaimAction::Create(lease) => self.create_claim(lease).await,
            ClaimAction::Acquired(epoch) => self.set_held(own.map(|lease| HeldClaim {
                epoch,
                lease,
                since: now,
                is_first: self.is_first(epoch),
            })),
            ClaimAction::Lost => self.set_held(None),
            ClaimAction::Wait => {}
        }
    }

    /// Returns the current claim, if there is one, and the lease that this gateway holds. There is no such lease if another
    /// gateway has made the claim: the store may give the identifier of a lease that has lapsed to the next holder, before
    /// this gateway notices that its own lease has lapsed.
    fn observe(&self) -> (Option<ClaimRecord>, Option<Lease>) {
        let own_name = self.shared.settings.read().node.name.clone();
        let mirror = self.shared.mirror.lock();
        let item = mirror.get(authority_claim::KEY);
        let claim = item.and_then(|item| Some((item, AuthorityClaim::decode(&item.value)?)));
        let Some((item, claim)) = claim else {
            return (None, self.authority.lease.held());
        };
        let record = ClaimRecord {
            lease: claim.lease,
            epoch: authority_claim::fence(item),
        };
        let is_own = claim.holder.is_none_or(|holder| holder == own_name);
        let lease = is_own.then(|| self.authority.lease.held()).flatten();
        (Some(record), lease)
    }

    /// Returns whether no gateway held the authority before. After a restore this is never assumed, because the
    /// restored store may have lost earlier claims.
    fn is_first(&self, epoch: Epoch) -> bool {
        let mirror = self.shared.mirror.lock();
        let first = mirror.get(authority_claim::FIRST_KEY);
        let is_restored = self.store.epoch() != StoreEpoch::default();
        !is_restored && first.is_some_and(|item| authority_claim::fence(item) == epoch)
    }

    async fn create_claim(&self, Lease(lease): Lease) {
        let claim = AuthorityClaim {
            lease: Lease(lease),
            holder: Some(self.shared.settings.read().node.name.clone()),
        };
        let mut operations = vec![Operation::Put {
            key: authority_claim::KEY.into(),
            value: claim.encode(),
            lease: Some(LeaseId(lease)),
        }];
        if self
            .shared
            .mirror
            .lock()
            .get(authority_claim::FIRST_KEY)
            .is_none()
        {
            operations.push(Operation::Put {
                key: authority_claim::FIRST_KEY.into(),
                value: claim.encode(),
                lease: None,
            });
        }
        let transaction = Transaction {
            compare: vec![Compare::Absent(authority_claim::KEY.into())],
            operations,
        };
        // The outcome is not evaluated here: the claim is read back from the mirror.
        if let Err(error) = with_timeout(self.store.transact(&transaction)).await {
            log::debug!("authority claim may not have been created: {error}");
        }
    }

    fn set_held(&self, held: Option<HeldClaim>) {
        *self.authority.held.lock() = held;
        self.shared
            .metrics
            .holds_authority
            .set(i64::from(held.is_some()));
        let (state, epoch) = match held {
            Some(HeldClaim { epoch, .. }) => ("acquired", epoch.0),
            None => ("lost", 0),
        };
        let event = Event::Authority { state, epoch };
        self.shared.log.record(Priority::Important, &event);
    }
}
