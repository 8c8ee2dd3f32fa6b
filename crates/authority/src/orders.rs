//! The orders that the holder of a pool sends to one of its engines: seal, drain, wait until no
//! request is in progress, change, resume. Every order is based on the engine's state as read after
//! the seal. When an answer is lost, the state is read again to find out whether the order took
//! effect. A crash of the engine during a change is detected by its incarnation.
//!
//! Implements the loop of `Holder` from the label `seal` on in `spec/authority.pml`. A repeated
//! order keeps its identifier and token; any other order takes the next sequence number, so that the
//! engine refuses superseded orders. Requests are never interrupted: if requests are still in
//! progress when the drain time-out has passed, the engine is ordered to resume and the change is
//! given up.

use tansyhall_core::{Duration, Incarnation, ModelName, Role, Timestamp};
use tansyhall_engine::protocol::{EngineState, FenceToken, Order, OrderAction, OrderReply};

use crate::fence::{Epoch, MAX_SEQUENCE};
use crate::lease::LeaseValidity;

/// The state that an engine is to be brought into.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Goal {
    /// The engine accepts work, with whatever role, model and adapters it has. A change that an earlier
    /// holder started and did not finish is undone by ordering the engine to resume.
    InService,
    /// The engine has this role.
    Role(Role),
    /// The engine has this model loaded.
    Model {
        /// Name of the model.
        model: ModelName,
        /// Version of the model.
        version: String,
    },
    /// The engine has this adapter loaded in addition to those it has.
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

    /// Returns whether no request may be in progress on the engine during the change.
    fn needs_drain(&self) -> bool {
        matches!(self, Goal::Role(_) | Goal::Model { .. })
    }

    fn order_action(&self) -> OrderAction {
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

/// Input to [`EngineOrders::step`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OrderEvent {
    /// The engine's state was read.
    State(EngineState),
    /// The engine accepted the seal and answered with its state.
    Sealed(EngineState),
    /// The engine answered an order.
    Reply(OrderReply),
    /// The engine did not answer; the order may or may not have taken effect.
    NoReply,
}

/// How a change ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The engine has reached the goal and accepts work.
    Reached,
    /// Requests were still in progress when the drain timed out; the engine accepts work as before.
    GivenUp,
}

/// What the caller of [`EngineOrders::step`] must do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OrderStep {
    /// Raise the engine's fence token.
    Seal(FenceToken),
    /// Send this order now. A delay before sending is harmless, because the engine checks the fence
    /// token.
    Send(Order),
    /// Read the engine's state again after a delay.
    ReadState,
    /// Nothing is left to do for the current goal.
    Settled(Outcome),
    /// The lease is not valid, so no order may be sent. Call again once it is valid.
    LeaseInvalid,
    /// A later holder has taken over the pool, or the epoch has no sequence numbers left. Stop, and
    /// claim the pool again before sending another order.
    Superseded,
}

/// What identifies the last order. An order with the same incarnation and action is a repetition and
/// keeps the sequence number.
#[derive(Debug, Clone, PartialEq, Eq)]
struct IssuedOrder {
    incarnation: Incarnation,
    action: OrderAction,
}

/// The orders of one holder, in one epoch, to one engine. Must be kept for as long as the pool is
/// held, so that sequence numbers are never reused.
#[derive(Debug, Clone)]
pub struct EngineOrders {
    epoch: Epoch,
    drain_timeout: Duration,
    goal: Goal,
    given_up: bool,
    sequence: u64,
    sealed_incarnation: Option<Incarnation>,
    last_order: Option<IssuedOrder>,
    draining_since: Option<Timestamp>,
}

impl EngineOrders {
    /// Creates the orders of `epoch`. A change whose drain takes `drain_timeout` or longer is given up.
    pub fn new(epoch: Epoch, drain_timeout: Duration) -> Self {
        Self {
            epoch,
            drain_timeout,
            goal: Goal::InService,
            given_up: false,
            sequence: 0,
            sealed_incarnation: None,
            last_order: None,
            draining_since: None,
        }
    }

    /// Returns the epoch of the orders.
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Sets the goal for the engine.
    pub fn set_goal(&mut self, goal: Goal) {
        self.goal = goal;
        self.given_up = false;
        self.draining_since = None;
    }

    /// Processes an event and returns the next step. `lease` is checked last, immediately before an
    /// order is returned.
    pub fn step(&mut self, now: Timestamp, lease: &LeaseValidity, event: OrderEvent) -> OrderStep {
        match event {
            OrderEvent::State(state) => self.after_state(now, lease, &state),
            OrderEvent::Sealed(state) => {
                self.sealed_incarnation = Some(state.incarnation);
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
        lease: &LeaseValidity,
        state: &EngineState,
    ) -> OrderStep {
        if self.is_superseded(state.fence_token) {
            return OrderStep::Superseded;
        }
        if self.sealed_incarnation != Some(state.incarnation) {
            return self.seal(now, lease);
        }
        if state.active_order.is_some() {
            return OrderStep::ReadState;
        }
        match self.next_action(now, state) {
            NextAction::Order(action) => self.send(now, lease, state.incarnation, action),
            NextAction::WaitForRequests => OrderStep::ReadState,
            NextAction::Nothing if self.given_up => OrderStep::Settled(Outcome::GivenUp),
            NextAction::Nothing => OrderStep::Settled(Outcome::Reached),
        }
    }

    fn next_action(&mut self, now: Timestamp, state: &EngineState) -> NextAction {
        let is_settled = self.given_up || self.goal.is_reached(state);
        match (is_settled, state.draining) {
            (true, false) => NextAction::Nothing,
            (true, true) => NextAction::Order(OrderAction::Resume),
            (false, _) if !self.goal.needs_drain() => NextAction::Order(self.goal.order_action()),
            (false, false) => NextAction::Order(OrderAction::Drain),
            (false, true) if state.requests > 0 => self.wait_for_requests(now),
            (false, true) => NextAction::Order(self.goal.order_action()),
        }
    }

    fn wait_for_requests(&mut self, now: Timestamp) -> NextAction {
        let since = *self.draining_since.get_or_insert(now);
        if now.since(since) < self.drain_timeout {
            return NextAction::WaitForRequests;
        }
        self.given_up = true;
        NextAction::Order(OrderAction::Resume)
    }

    fn seal(&self, now: Timestamp, lease: &LeaseValidity) -> OrderStep {
        if !lease.is_valid(now) {
            return OrderStep::LeaseInvalid;
        }
        OrderStep::Seal(self.epoch.token(self.sequence))
    }

    fn send(
        &mut self,
        now: Timestamp,
        lease: &LeaseValidity,
        incarnation: Incarnation,
        action: OrderAction,
    ) -> OrderStep {
        if !lease.is_valid(now) {
            return OrderStep::LeaseInvalid;
        }
        let issued = IssuedOrder {
            incarnation,
            action,
        };
        if self.last_order.as_ref() != Some(&issued) {
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
        self.last_order = Some(issued);
        OrderStep::Send(order)
    }
}

enum NextAction {
    Order(OrderAction),
    WaitForRequests,
    Nothing,
}
