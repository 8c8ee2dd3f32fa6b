//! A node: the real lease keeper, claim and orders, with calls that time out.

use tansyhall_authority::{
    ClaimAction, ClaimEvent, EngineOrders, Goal, LeaseAction, LeaseEvent, LeaseHolder, LeaseTiming,
    OrderEvent, OrderStep, PoolClaim,
};
use tansyhall_core::{Duration, Role, Timestamp};

use crate::cluster::ENGINES;
use crate::engines::{EngineReply, EngineRequest};
use crate::store::{StoreReply, StoreRequest};

/// Longest wait for an answer.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
const PATIENCE: Duration = Duration::from_secs(20);
const TIMING: LeaseTiming = LeaseTiming {
    time_to_live: Duration::from_secs(6),
    renewal_interval: Duration::from_secs(2),
    clock_drift_margin: Duration::from_secs(1),
};

/// Whom a call is for, and what for; one call of each kind is under way at a time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Slot {
    /// The store, about the lease.
    Lease,
    /// The store, about the pool's key.
    Key,
    /// An engine.
    Engine(usize),
}

/// What a node sends.
#[derive(Debug, Clone)]
pub enum Request {
    /// To the store.
    Store(StoreRequest),
    /// To an engine, under the claim with this number of the judge's.
    Engine(EngineRequest, u64),
}

/// A call on its way.
#[derive(Debug, Clone)]
pub struct Call {
    /// Its number; an answer to an earlier one is ignored.
    pub number: u64,
    /// Whom it is for.
    pub slot: Slot,
    /// What is asked.
    pub request: Request,
}

/// One run of a node.
pub struct Node {
    /// Which run it is.
    pub run: u64,
    /// Until when it is paused.
    pub paused_until: Timestamp,
    /// Until when it is cut off.
    pub cut_until: Timestamp,
    keeper: LeaseHolder,
    claim: PoolClaim,
    claim_number: u64,
    orders: Vec<Option<EngineOrders>>,
    pursued: Vec<Option<Role>>,
    under_way: Vec<(Slot, u64, Timestamp)>,
    calls: u64,
}

impl Node {
    /// A node that has just started.
    pub fn new(run: u64, claim_delay: Duration) -> Self {
        Self {
            run,
            paused_until: Timestamp::default(),
            cut_until: Timestamp::default(),
            keeper: LeaseHolder::new(TIMING),
            claim: PoolClaim::new(claim_delay),
            claim_number: 0,
            orders: vec![None; ENGINES],
            pursued: vec![None; ENGINES],
            under_way: Vec::new(),
            calls: 0,
        }
    }

    /// Time has passed: calls that are due.
    pub fn tick(&mut self, now: Timestamp, wanted: &[Role]) -> Vec<Call> {
        self.time_out(now);
        let mut calls = Vec::new();
        let lease = match self.keeper.step(now, LeaseEvent::Tick) {
            LeaseAction::Grant(time_to_live) => Some(StoreRequest::Grant(time_to_live)),
            LeaseAction::Renew(lease) => Some(StoreRequest::Renew(lease)),
            LeaseAction::Wait | LeaseAction::Revoke(_) => None,
        };
        calls.extend(lease.map(|request| self.call(now, Slot::Lease, Request::Store(request))));
        if self.keeper.lease().is_some() && self.is_free(Slot::Key) {
            calls.push(self.call(now, Slot::Key, Request::Store(StoreRequest::Read)));
        }
        if self.claim.held_epoch().is_some() && self.keeper.validity().is_valid(now) {
            for (engine, role) in wanted.iter().enumerate() {
                calls.extend(self.look_at(now, engine, *role));
            }
        }
        calls
    }

    fn look_at(&mut self, now: Timestamp, engine: usize, role: Role) -> Option<Call> {
        if !self.is_free(Slot::Engine(engine)) {
            return None;
        }
        let orders = self.orders[engine].as_mut()?;
        if self.pursued[engine] != Some(role) {
            orders.set_goal(Goal::Role(role));
            self.pursued[engine] = Some(role);
        }
        let request = Request::Engine(EngineRequest::State, self.claim_number);
        Some(self.call(now, Slot::Engine(engine), request))
    }

    /// The store answers a call.
    pub fn store_replied(
        &mut self,
        now: Timestamp,
        slot: Slot,
        call: u64,
        reply: StoreReply,
    ) -> Option<Call> {
        if !self.ends(slot, call) {
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
            StoreReply::Read(key) => return self.key_read(now, key),
        };
        self.keeper.step(now, event);
        if event == LeaseEvent::Lapsed {
            self.claim_step(now, ClaimEvent::LeaseLost, 0);
        }
        None
    }

    fn key_read(
        &mut self,
        now: Timestamp,
        key: Option<(tansyhall_authority::ClaimRecord, u64)>,
    ) -> Option<Call> {
        let event = ClaimEvent::Observed {
            record: key.map(|(record, _)| record),
            lease: self.keeper.lease(),
        };
        self.claim_step(now, event, key.map_or(0, |(_, number)| number))
    }

    fn claim_step(&mut self, now: Timestamp, event: ClaimEvent, number: u64) -> Option<Call> {
        match self.claim.step(now, event) {
            ClaimAction::Wait => None,
            ClaimAction::Create(lease) => {
                let request = Request::Store(StoreRequest::Create(lease));
                Some(self.call(now, Slot::Key, request))
            }
            ClaimAction::Acquired(epoch) => {
                self.claim_number = number;
                self.orders = vec![Some(EngineOrders::new(epoch, PATIENCE)); ENGINES];
                self.pursued = vec![None; ENGINES];
                None
            }
            ClaimAction::Lost => {
                self.orders = vec![None; ENGINES];
                None
            }
        }
    }

    /// An engine answers a call.
    pub fn engine_replied(
        &mut self,
        now: Timestamp,
        engine: usize,
        call: u64,
        reply: EngineReply,
    ) -> Option<Call> {
        if !self.ends(Slot::Engine(engine), call) {
            return None;
        }
        let event = match reply {
            EngineReply::State(state) => OrderEvent::State(state),
            EngineReply::Sealed(state) => OrderEvent::Sealed(state),
            EngineReply::Order(reply) => OrderEvent::Reply(reply),
        };
        let lease = self.keeper.validity();
        let request = match self.orders[engine].as_mut()?.step(now, &lease, event) {
            OrderStep::Seal(token) => EngineRequest::Seal(token),
            OrderStep::Send(order) => EngineRequest::Order(order),
            _ => return None,
        };
        let request = Request::Engine(request, self.claim_number);
        Some(self.call(now, Slot::Engine(engine), request))
    }

    fn call(&mut self, now: Timestamp, slot: Slot, request: Request) -> Call {
        self.calls += 1;
        self.under_way.push((slot, self.calls, now + CALL_TIMEOUT));
        Call {
            number: self.calls,
            slot,
            request,
        }
    }

    fn is_free(&self, slot: Slot) -> bool {
        self.under_way.iter().all(|(other, _, _)| *other != slot)
    }

    fn ends(&mut self, slot: Slot, call: u64) -> bool {
        let before = self.under_way.len();
        self.under_way
            .retain(|(other, number, _)| *other != slot || *number != call);
        self.under_way.len() < before
    }

    fn time_out(&mut self, now: Timestamp) {
        let mut lease_timed_out = false;
        self.under_way.retain(|(slot, _, until)| {
            let ended = now >= *until;
            lease_timed_out |= ended && *slot == Slot::Lease;
            !ended
        });
        if lease_timed_out {
            self.keeper.step(now, LeaseEvent::NoAnswer);
        }
    }
}
