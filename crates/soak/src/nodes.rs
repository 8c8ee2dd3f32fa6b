//! A simulated node: the lease holder, pool claim and engine orders of the product, with calls that time out.

use tansyhall_authority::{
    ClaimAction, ClaimEvent, EngineOrders, Goal, LeaseAction, LeaseEvent, LeaseHolder, LeaseTiming,
    OrderEvent, OrderStep, PoolClaim,
};
use tansyhall_core::{Duration, Role, Timestamp};

use crate::cluster::ENGINE_COUNT;
use crate::engines::{EngineReply, EngineRequest};
use crate::store::{StoreReply, StoreRequest};

/// Time after which a call without an answer has failed.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
const DRAIN_TIMEOUT: Duration = Duration::from_secs(20);
const LEASE_TIMING: LeaseTiming = LeaseTiming {
    time_to_live: Duration::from_secs(6),
    renewal_interval: Duration::from_secs(2),
    clock_drift_margin: Duration::from_secs(1),
};

/// The recipient and purpose of a call. A node has at most one outstanding call of each kind.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallKind {
    /// A call to the store about the lease.
    Lease,
    /// A call to the store about the key of the pool.
    Key,
    /// A call to the engine with this index.
    Engine(usize),
}

/// A request that a node sends.
#[derive(Debug, Clone)]
pub enum Request {
    /// A request to the store.
    Store(StoreRequest),
    /// A request to an engine, and the oracle's number of the claim under which it is sent.
    Engine(EngineRequest, u64),
}

/// A call that a node sends.
#[derive(Debug, Clone)]
pub struct Call {
    /// Number of the call. An answer to an earlier call is ignored.
    pub number: u64,
    /// Recipient and purpose of the call.
    pub kind: CallKind,
    /// The request.
    pub request: Request,
}

/// One incarnation of a node.
pub struct Node {
    /// Number of the incarnation.
    pub incarnation: u64,
    /// End of the current or last pause.
    pub paused_until: Timestamp,
    /// End of the current or last partition.
    pub partitioned_until: Timestamp,
    lease_holder: LeaseHolder,
    claim: PoolClaim,
    claim_number: u64,
    orders: Vec<Option<EngineOrders>>,
    goal_roles: Vec<Option<Role>>,
    outstanding_calls: Vec<(CallKind, u64, Timestamp)>,
    calls: u64,
}

impl Node {
    /// Creates a node that has just started.
    pub fn new(incarnation: u64, claim_delay: Duration) -> Self {
        Self {
            incarnation,
            paused_until: Timestamp::default(),
            partitioned_until: Timestamp::default(),
            lease_holder: LeaseHolder::new(LEASE_TIMING),
            claim: PoolClaim::new(claim_delay),
            claim_number: 0,
            orders: vec![None; ENGINE_COUNT],
            goal_roles: vec![None; ENGINE_COUNT],
            outstanding_calls: Vec::new(),
            calls: 0,
        }
    }

    /// Times out old calls. Returns the calls that are due.
    pub fn tick(&mut self, now: Timestamp, requested_roles: &[Role]) -> Vec<Call> {
        self.time_out(now);
        let mut calls = Vec::new();
        let lease = match self.lease_holder.step(now, LeaseEvent::Tick) {
            LeaseAction::Grant(time_to_live) => Some(StoreRequest::Grant(time_to_live)),
            LeaseAction::Renew(lease) => Some(StoreRequest::Renew(lease)),
            LeaseAction::Wait | LeaseAction::Revoke(_) => None,
        };
        calls.extend(lease.map(|request| self.call(now, CallKind::Lease, Request::Store(request))));
        if self.lease_holder.lease().is_some() && self.can_call(CallKind::Key) {
            calls.push(self.call(now, CallKind::Key, Request::Store(StoreRequest::Read)));
        }
        if self.claim.held_epoch().is_some() && self.lease_holder.validity().is_valid(now) {
            for (engine, role) in requested_roles.iter().enumerate() {
                calls.extend(self.read_engine_state(now, engine, *role));
            }
        }
        calls
    }

    fn read_engine_state(&mut self, now: Timestamp, engine: usize, role: Role) -> Option<Call> {
        if !self.can_call(CallKind::Engine(engine)) {
            return None;
        }
        let orders = self.orders[engine].as_mut()?;
        if self.goal_roles[engine] != Some(role) {
            orders.set_goal(Goal::Role(role));
            self.goal_roles[engine] = Some(role);
        }
        let request = Request::Engine(EngineRequest::State, self.claim_number);
        Some(self.call(now, CallKind::Engine(engine), request))
    }

    /// Handles the store's answer to a call. Returns the call that follows, if any.
    pub fn handle_store_reply(
        &mut self,
        now: Timestamp,
        kind: CallKind,
        call: u64,
        reply: StoreReply,
    ) -> Option<Call> {
        if !self.complete_call(kind, call) {
            return None;
        }
        let event = match reply {
            StoreReply::Granted(lease, time_to_live) => LeaseEvent::Granted {
                lease,
                time_to_live,
            },
            StoreReply::Renewed(time_to_live) => LeaseEvent::Renewed { time_to_live },
            StoreReply::Lapsed => LeaseEvent::Lapsed,
            StoreReply::Created => return None,
            StoreReply::Read(key) => return self.handle_key_read(now, key),
        };
        self.lease_holder.step(now, event);
        if event == LeaseEvent::Lapsed {
            self.step_claim(now, ClaimEvent::LeaseLost, 0);
        }
        None
    }

    fn handle_key_read(
        &mut self,
        now: Timestamp,
        key: Option<(tansyhall_authority::ClaimRecord, u64)>,
    ) -> Option<Call> {
        let event = ClaimEvent::Observed {
            record: key.map(|(record, _)| record),
            lease: self.lease_holder.lease(),
        };
        self.step_claim(now, event, key.map_or(0, |(_, number)| number))
    }

    fn step_claim(&mut self, now: Timestamp, event: ClaimEvent, number: u64) -> Option<Call> {
        match self.claim.step(now, event) {
            ClaimAction::Wait => None,
            ClaimAction::Create(lease) => {
                let request = Request::Store(StoreRequest::Create(lease));
                Some(self.call(now, CallKind::Key, request))
            }
            ClaimAction::Acquired(epoch) => {
                self.claim_number = number;
                self.orders = vec![Some(EngineOrders::new(epoch, DRAIN_TIMEOUT)); ENGINE_COUNT];
                self.goal_roles = vec![None; ENGINE_COUNT];
                None
            }
            ClaimAction::Lost => {
                self.orders = vec![None; ENGINE_COUNT];
                None
            }
        }
    }

    /// Handles an engine's answer to a call. Returns the call that follows, if any.
    pub fn handle_engine_reply(
        &mut self,
        now: Timestamp,
        engine: usize,
        call: u64,
        reply: EngineReply,
    ) -> Option<Call> {
        if !self.complete_call(CallKind::Engine(engine), call) {
            return None;
        }
        let event = match reply {
            EngineReply::State(state) => OrderEvent::State(state),
            EngineReply::Sealed(state) => OrderEvent::Sealed(state),
            EngineReply::Order(reply) => OrderEvent::Reply(reply),
        };
        let lease = self.lease_holder.validity();
        let request = match self.orders[engine].as_mut()?.step(now, &lease, event) {
            OrderStep::Seal(token) => EngineRequest::Seal(token),
            OrderStep::Send(order) => EngineRequest::Order(order),
            _ => return None,
        };
        let request = Request::Engine(request, self.claim_number);
        Some(self.call(now, CallKind::Engine(engine), request))
    }

    fn call(&mut self, now: Timestamp, kind: CallKind, request: Request) -> Call {
        self.calls += 1;
        self.outstanding_calls
            .push((kind, self.calls, now + CALL_TIMEOUT));
        Call {
            number: self.calls,
            kind,
            request,
        }
    }

    fn can_call(&self, kind: CallKind) -> bool {
        self.outstanding_calls
            .iter()
            .all(|(other, _, _)| *other != kind)
    }

    fn complete_call(&mut self, kind: CallKind, call: u64) -> bool {
        let before = self.outstanding_calls.len();
        self.outstanding_calls
            .retain(|(other, number, _)| *other != kind || *number != call);
        self.outstanding_calls.len() < before
    }

    fn time_out(&mut self, now: Timestamp) {
        let mut lease_timed_out = false;
        self.outstanding_calls.retain(|(kind, _, until)| {
            let ended = now >= *until;
            lease_timed_out |= ended && *kind == CallKind::Lease;
            !ended
        });
        if lease_timed_out {
            self.lease_holder.step(now, LeaseEvent::NoAnswer);
        }
    }
}
