//! What the authority's tasks share. All run on one thread; nothing is borrowed across an await.

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

struct State {
    keeper: LeaseHolder,
    claims: HashMap<PoolName, PoolClaim>,
}

/// The node's lease and its claims.
#[derive(Clone)]
pub struct SharedAuthority {
    node: Arc<Node>,
    state: Rc<RefCell<State>>,
}

impl SharedAuthority {
    /// No lease and no claim.
    pub fn new(node: Arc<Node>) -> Self {
        let keeper = LeaseHolder::new(lease_timing(&node));
        let claims = HashMap::new();
        let state = Rc::new(RefCell::new(State { keeper, claims }));
        Self { node, state }
    }

    /// The lease's next action after an event. When the lease is gone, so is every claim.
    pub fn lease_step(&self, event: LeaseEvent) -> LeaseAction {
        let now = self.node.clock.now();
        let mut state = self.state.borrow_mut();
        let action = state.keeper.step(now, event);
        if matches!(event, LeaseEvent::Lapsed | LeaseEvent::Stop) {
            for claim in state.claims.values_mut() {
                claim.step(now, ClaimEvent::LeaseLost);
            }
        }
        drop(state);
        self.report();
        action
    }

    /// The lease that claims are made with.
    pub fn lease(&self) -> Option<Lease> {
        self.state.borrow().keeper.lease()
    }

    /// The validity of the lease.
    pub fn clock(&self) -> LeaseValidity {
        self.state.borrow().keeper.validity()
    }

    /// Whether the node believes in its lease at this moment.
    pub fn is_valid(&self) -> bool {
        self.clock().is_valid(self.node.clock.now())
    }

    /// The epoch under which a pool is held.
    pub fn held(&self, pool: &PoolName) -> Option<Epoch> {
        self.state.borrow().claims.get(pool)?.held_epoch()
    }

    /// Reads or changes the claims.
    pub fn with_claims<R>(&self, access: impl FnOnce(&mut HashMap<PoolName, PoolClaim>) -> R) -> R {
        let result = access(&mut self.state.borrow_mut().claims);
        self.report();
        result
    }

    fn report(&self) {
        let state = self.state.borrow();
        let held = state
            .claims
            .values()
            .filter(|claim| claim.held_epoch().is_some());
        let held = i64::try_from(held.count()).unwrap_or(i64::MAX);
        self.node.metrics.pools_held.set(held);
        let valid = state.keeper.validity().is_valid(self.node.clock.now());
        self.node.metrics.lease_valid.set(i64::from(valid));
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
