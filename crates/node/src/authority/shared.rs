//! State shared by the authority's tasks. All of them run on one thread, and no borrow is held across
//! an await.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;

use tansyhall_authority::{
    ClaimEvent, Epoch, Lease, LeaseAction, LeaseEvent, LeaseHolder, LeaseTiming, LeaseValidity,
    PoolClaim,
};
use tansyhall_core::PoolName;

use crate::state::Node;

struct AuthorityState {
    lease_holder: LeaseHolder,
    claims: HashMap<PoolName, PoolClaim>,
}

/// The node's lease and its claims.
#[derive(Clone)]
pub struct SharedAuthority {
    node: Arc<Node>,
    state: Rc<RefCell<AuthorityState>>,
}

impl SharedAuthority {
    /// Creates the state of a node without a lease or claims.
    pub fn new(node: Arc<Node>) -> Self {
        let lease_holder = LeaseHolder::new(lease_timing(&node));
        let claims = HashMap::new();
        let state = Rc::new(RefCell::new(AuthorityState {
            lease_holder,
            claims,
        }));
        Self { node, state }
    }

    /// Passes an event to the lease and returns its next action. When the lease is lost or given up,
    /// so is every claim.
    pub fn step_lease(&self, event: LeaseEvent) -> LeaseAction {
        let now = self.node.clock.now();
        let mut state = self.state.borrow_mut();
        let action = state.lease_holder.step(now, event);
        if matches!(event, LeaseEvent::Lapsed | LeaseEvent::Stop) {
            for claim in state.claims.values_mut() {
                claim.step(now, ClaimEvent::LeaseLost);
            }
        }
        drop(state);
        self.update_gauges();
        action
    }

    /// Returns the lease that claims are made with.
    pub fn lease(&self) -> Option<Lease> {
        self.state.borrow().lease_holder.lease()
    }

    /// Returns the validity of the lease.
    pub fn lease_validity(&self) -> LeaseValidity {
        self.state.borrow().lease_holder.validity()
    }

    /// Returns whether the node considers its lease valid now.
    pub fn is_lease_valid(&self) -> bool {
        self.lease_validity().is_valid(self.node.clock.now())
    }

    /// Returns the epoch in which a pool is held, or `None` if it is not held.
    pub fn held_epoch(&self, pool: &PoolName) -> Option<Epoch> {
        self.state.borrow().claims.get(pool)?.held_epoch()
    }

    /// Reads or changes the claims.
    pub fn with_claims<R>(&self, access: impl FnOnce(&mut HashMap<PoolName, PoolClaim>) -> R) -> R {
        let result = access(&mut self.state.borrow_mut().claims);
        self.update_gauges();
        result
    }

    fn update_gauges(&self) {
        let state = self.state.borrow();
        let held_claims = state
            .claims
            .values()
            .filter(|claim| claim.held_epoch().is_some());
        let held_pools = i64::try_from(held_claims.count()).unwrap_or(i64::MAX);
        self.node.metrics.pools_held.set(held_pools);
        let is_valid = state
            .lease_holder
            .validity()
            .is_valid(self.node.clock.now());
        self.node.metrics.lease_valid.set(i64::from(is_valid));
    }
}

fn lease_timing(node: &Node) -> LeaseTiming {
    let settings = &node.settings.authority;
    LeaseTiming {
        time_to_live: settings.lease,
        renewal_interval: settings.renewal,
        clock_drift_margin: settings.margin,
    }
}
