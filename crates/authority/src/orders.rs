//! The orders that the holder of a pool gives to one of its engines: seal, drain, wait until no
//! request is in progress, change, resume. Nothing is guessed: every order rests on the engine's
//! state as read after the seal, a lost answer is found out by reading the state again, and a crash
//! halfway is found by the engine's incarnation.
//!
//! Implements the loop of `Holder` from `seal` on in `spec/authority.pml`. An order that is
//! repeated keeps its identifier and token; any other order takes the next sequence, so that the
//! engine refuses whatever has been overtaken. A request is never cut: an engine that does not run
//! empty within the drain's patience is told to resume, and the change is given up.

use tansyhall_core::{Duration, Incarnation, ModelName, Role, Timestamp};
use tansyhall_engine::protocol::{EngineState, FenceToken, Order, OrderAction, OrderReply};

use crate::fence::{Epoch, MAX_SEQUENCE};
use crate::lease::LeaseClock;

/// What an engine is to become.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Goal {
    /// It accepts work in whatever shape it has: a change that an earlier holder began and did not
    /// end is undone by resuming.
    InService,
    /// It plays this role.
    Role(Role),
    /// It has this model loaded.
    Model {
        /// The model.
        model: ModelName,
        /// Its version.
        version: String,
    },
    /// It has this adapter loaded beside the others.
    Adapter(String),
}

impl Goal {
    fn is_reached(&self, state: &EngineState) -> bool {
        match self {
            Goal::InService => true,
            Goal::Role(role) => state.role == *role,
            Goal::Model { model, version } => state.model == *model && state.version == *version,
            Goal::Adapter(adapter) => state.adapters.contains(adapter),
        }
    }

    /// Whether the engine must be empty while the change is carried out.
    fn needs_drain(&self) -> bool {
        matches!(self, Goal::Role(_) | Goal::Model { .. })
    }

    fn action(&self) -> OrderAction {
        match self {
            Goal::InService => OrderAction::Resume,
            Goal::Role(role) => OrderAction::SetRole { role: *role },
            Goal::Model { model, version } => OrderAction::LoadModel {
                model: model.clone(),
                version: version.clone(),
            },
            Goal::Adapter(adapter) => OrderAction::LoadAdapter {
                adapter: adapter.clone(),
            },
        }
    }
}

/// What the owner tells the orders.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OrderEvent {
    /// The engine's state was read.
    State(EngineState),
    /// The engine was sealed and answered with its state.
    Sealed(EngineState),
    /// The engine answered an order.
    Reply(OrderReply),
    /// The engine did not answer; what was asked may have taken effect.
    NoReply,
}

/// How a change ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The engine has reached the goal and accepts work.
    Reached,
    /// Requests did not end in time; the engine accepts work as before.
    GivenUp,
}

/// What the orders ask their owner to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OrderStep {
    /// Raise the engine's fence token.
    Seal(FenceToken),
    /// Send this order now; a pause before sending is harmless, because the engine checks it.
    Send(Order),
    /// Read the engine's state after a while.
    ReadState,
    /// Nothing more is to be done.
    Settled(Outcome),
    /// The lease is not valid: no order is sent. Ask again once it is.
    LeaseInvalid,
    /// A later holder is in charge, or the epoch has no sequence left: stop, and claim the pool anew
    /// before giving another order.
    Superseded,
}

#[derive(Debug, Clone, PartialEq, Eq)]
struct Issued {
    incarnation: Incarnation,
    action: OrderAction,
}

/// The orders of one holder, in one epoch, to one engine. Lives as long as the pool is held, so
/// that sequences never repeat.
#[derive(Debug, Clone)]
pub struct EngineOrders {
    epoch: Epoch,
    patience: Duration,
    goal: Goal,
    given_up: bool,
    sequence: u64,
    sealed: Option<Incarnation>,
    issued: Option<Issued>,
    draining_since: Option<Timestamp>,
}

impl EngineOrders {
    /// Orders below the token of `epoch`; a drain that lasts longer than `patience` is given up.
    pub fn new(epoch: Epoch, patience: Duration) -> Self {
        Self {
            epoch,
            patience,
            goal: Goal::InService,
            given_up: false,
            sequence: 0,
            sealed: None,
            issued: None,
            draining_since: None,
        }
    }

    /// The epoch that the orders are given in.
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Sets what the engine is to become.
    pub fn pursue(&mut self, goal: Goal) {
        self.goal = goal;
        self.given_up = false;
        self.draining_since = None;
    }

    /// The next step after an event. `lease` is looked at last, right before an order is returned.
    pub fn step(&mut self, now: Timestamp, lease: &LeaseClock, event: OrderEvent) -> OrderStep {
        match event {
            OrderEvent::State(state) => self.after_state(now, lease, &state),
            OrderEvent::Sealed(state) => {
                self.sealed = Some(state.incarnation);
                self.after_state(now, lease, &state)
            }
            OrderEvent::Reply(OrderReply::StaleToken { highest })
                if self.is_superseded(highest) =>
            {
                OrderStep::Superseded
            }
            OrderEvent::Reply(_) | OrderEvent::NoReply => OrderStep::ReadState,
        }
    }

    fn is_superseded(&self, highest: FenceToken) -> bool {
        Epoch::of(highest) > self.epoch
    }

    fn after_state(
        &mut self,
        now: Timestamp,
        lease: &LeaseClock,
        state: &EngineState,
    ) -> OrderStep {
        if self.is_superseded(state.fence_token) {
            return OrderStep::Superseded;
        }
        if self.sealed != Some(state.incarnation) {
            return self.seal(now, lease);
        }
        if state.active_order.is_some() {
            return OrderStep::ReadState;
        }
        match self.wanted(now, state) {
            Wanted::Order(action) => self.send(now, lease, state.incarnation, action),
            Wanted::Patience => OrderStep::ReadState,
            Wanted::Nothing if self.given_up => OrderStep::Settled(Outcome::GivenUp),
            Wanted::Nothing => OrderStep::Settled(Outcome::Reached),
        }
    }

    fn wanted(&mut self, now: Timestamp, state: &EngineState) -> Wanted {
        let settled = self.given_up || self.goal.is_reached(state);
        match (settled, state.draining) {
            (true, false) => Wanted::Nothing,
            (true, true) => Wanted::Order(OrderAction::Resume),
            (false, _) if !self.goal.needs_drain() => Wanted::Order(self.goal.action()),
            (false, false) => Wanted::Order(OrderAction::Drain),
            (false, true) if state.requests > 0 => self.wait_for_requests(now),
            (false, true) => Wanted::Order(self.goal.action()),
        }
    }

    fn wait_for_requests(&mut self, now: Timestamp) -> Wanted {
        let since = *self.draining_since.get_or_insert(now);
        if now.since(since) < self.patience {
            return Wanted::Patience;
        }
        self.given_up = true;
        Wanted::Order(OrderAction::Resume)
    }

    fn seal(&self, now: Timestamp, lease: &LeaseClock) -> OrderStep {
        if !lease.is_valid(now) {
            return OrderStep::LeaseInvalid;
        }
        OrderStep::Seal(self.epoch.token(self.sequence))
    }

    fn send(
        &mut self,
        now: Timestamp,
        lease: &LeaseClock,
        incarnation: Incarnation,
        action: OrderAction,
    ) -> OrderStep {
        if !lease.is_valid(now) {
            return OrderStep::LeaseInvalid;
        }
        let issued = Issued {
            incarnation,
            action,
        };
        if self.issued.as_ref() != Some(&issued) {
            if self.sequence == MAX_SEQUENCE {
                return OrderStep::Superseded;
            }
            self.sequence += 1;
        }
        let order = Order {
            order_id: format!("{}-{}", self.epoch.0, self.sequence),
            fence_token: self.epoch.token(self.sequence),
            incarnation,
            action: issued.action.clone(),
        };
        self.issued = Some(issued);
        OrderStep::Send(order)
    }
}

enum Wanted {
    Order(OrderAction),
    Patience,
    Nothing,
}
