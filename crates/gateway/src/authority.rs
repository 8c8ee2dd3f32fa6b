//! The authority over the site: one gateway at a time holds it, orders engines into their roles, reports
//! usage and orders workers.
//!
//! One claim for all duties, not one for each: they need the same lease calls once instead of three
//! times, and one gateway that knows the whole load decides roles and workers together. The claim is a
//! key that is created under this gateway's lease; its fence grows with the revision of its creation and with
//! the epoch of the store. A new holder waits until what the one before it may have under way is over (the first
//! one of all has nobody to wait for), and the lease is
//! asked before each call, so that two holders never act in turns.

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
use crate::store_call::in_time;

/// What is claimed, for the spreading of claims.
const CLAIM_NAME: &str = "roles";
/// Pause between two looks.
const PACE: Duration = Duration::from_millis(300);
/// Longest wait before a free claim is taken.
const CLAIM_SPREAD: Duration = Duration::from_millis(1_500);

/// The claim that this gateway holds.
#[derive(Debug, Clone, Copy)]
struct Held {
    epoch: Epoch,
    /// The lease that it hangs on; a later one does not count for it.
    lease: Lease,
    since: Timestamp,
    /// Whether nobody held the authority before, so that nothing can be under way.
    is_first: bool,
}

/// Whether this gateway may act for the site; shared by the tasks that do.
#[derive(Debug, Clone)]
pub struct Authority {
    lease: NodeLease,
    held: Arc<Mutex<Option<Held>>>,
}

impl Authority {
    /// The authority that hangs on a lease; nobody holds it yet.
    pub fn new(lease: NodeLease) -> Self {
        Self {
            lease,
            held: Arc::default(),
        }
    }

    /// The fence of this gateway's claim if it may act now. To be asked right before each call.
    pub fn fence(&self, shared: &Shared) -> Option<Epoch> {
        let now = shared.now();
        let held = (*self.held.lock())?;
        let pause = shared.settings.read().takeover_pause();
        let settled = held.is_first || now.since(held.since) >= pause;
        (settled && self.lease.is_valid(held.lease, now)).then_some(held.epoch)
    }

    /// Holds or seeks the authority until the gateway stops.
    pub async fn seek(self, shared: Arc<Shared>, store: Rc<dyn KeyValueStore>) {
        let node = NodeId::new(shared.settings.read().node.name.clone());
        let delay = claim_delay(&PoolName::new(CLAIM_NAME), &node, CLAIM_SPREAD);
        let mut seeker = Seeker {
            shared,
            store,
            authority: self,
            claim: PoolClaim::new(delay),
        };
        while !seeker.shared.is_stopping() {
            sleep(PACE).await;
            seeker.look().await;
        }
        *seeker.authority.held.lock() = None;
    }
}

struct Seeker {
    shared: Arc<Shared>,
    store: Rc<dyn KeyValueStore>,
    authority: Authority,
    claim: PoolClaim,
}

impl Seeker {
    async fn look(&mut self) {
        let now = self.shared.now();
        let lease = &self.authority.lease;
        if self.claim.held_epoch().is_none() && !self.shared.hears_reports() {
            lease.set_wanted(false);
            return;
        }
        // What the copy says of an epoch that is over tells nothing of the claim as it stands.
        if self.shared.mirror.lock().position().epoch != self.store.epoch().0 {
            return;
        }
        let (record, own) = self.observe();
        let event = ClaimEvent::Observed { record, lease: own };
        let action = self.claim.step(now, event);
        lease.set_wanted(self.claim.needs_lease(now));
        match action {
            ClaimAction::Create(lease) => self.create_claim(lease).await,
            ClaimAction::Acquired(epoch) => self.set_held(own.map(|lease| Held {
                epoch,
                lease,
                since: now,
                is_first: self.is_first(epoch),
            })),
            ClaimAction::Lost => self.set_held(None),
            ClaimAction::Wait => {}
        }
    }

    /// The claim as it stands, and the lease that this gateway holds.
    fn observe(&self) -> (Option<ClaimRecord>, Option<Lease>) {
        let lease = self.authority.lease.held();
        let mirror = self.shared.mirror.lock();
        let record = mirror.get(authority_claim::KEY).and_then(|item| {
            let claim = AuthorityClaim::decode(&item.value)?;
            Some(ClaimRecord {
                lease: claim.lease,
                epoch: authority_claim::fence(item),
            })
        });
        (record, lease)
    }

    /// Whether nobody held the authority before. A restored store may have lost that somebody did.
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
        // Whatever the answer: the claim is read back from the copy of the store.
        if let Err(error) = in_time(self.store.transact(&transaction)).await {
            log::debug!("the claim may not have been created: {error}");
        }
    }

    fn set_held(&self, held: Option<Held>) {
        *self.authority.held.lock() = held;
        self.shared
            .metrics
            .holds_authority
            .set(i64::from(held.is_some()));
        let (state, epoch) = match held {
            Some(Held { epoch, .. }) => ("acquired", epoch.0),
            None => ("lost", 0),
        };
        let event = Event::Authority { state, epoch };
        self.shared.log.record(Priority::Important, &event);
    }
}
