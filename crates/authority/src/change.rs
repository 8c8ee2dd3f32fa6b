//! One planned change of an engine's role: drain, wait until no request is in progress, change,
//! accept work again. Each order has an identifier derived from the change, so that repeating one
//! after a lost answer has no further effect.

use tansyhall_core::Role;
use tansyhall_engine::protocol::{EngineState, FenceToken, Order, OrderAction, OrderReply};

/// What the change asks its owner to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ChangeAction {
    /// Send this order, if the lease is still valid.
    Send(Order),
    /// Read the engine's state again after a while.
    ReadState,
    /// The engine plays the new role and accepts work.
    Done,
    /// Authority is lost; stop.
    Abandon,
}

/// What the owner tells the change.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ChangeEvent {
    /// The engine's state was read.
    State(EngineState),
    /// The engine answered an order.
    Reply(OrderReply),
    /// The engine did not answer; the order may have taken effect.
    NoReply,
}

/// A role change under way.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RoleChange {
    token: FenceToken,
    target: Role,
    sequence: u64,
}

impl RoleChange {
    /// A change to `target` under the authority of `token`; `sequence` is unique below the token.
    pub fn new(token: FenceToken, target: Role, sequence: u64) -> Self {
        Self {
            token,
            target,
            sequence,
        }
    }

    /// The next action after an event.
    pub fn step(&self, event: ChangeEvent) -> ChangeAction {
        match event {
            ChangeEvent::State(state) => self.after_state(&state),
            ChangeEvent::Reply(OrderReply::StaleToken { .. }) => ChangeAction::Abandon,
            ChangeEvent::Reply(_) | ChangeEvent::NoReply => ChangeAction::ReadState,
        }
    }

    fn after_state(&self, state: &EngineState) -> ChangeAction {
        if state.fence_token > self.token {
            return ChangeAction::Abandon;
        }
        if state.active_order.is_some() {
            return ChangeAction::ReadState;
        }
        match (state.role == self.target, state.draining) {
            (true, false) => ChangeAction::Done,
            (true, true) => self.send(state, OrderAction::Resume, "resume"),
            (false, false) => self.send(state, OrderAction::Drain, "drain"),
            (false, true) if state.requests > 0 => ChangeAction::ReadState,
            (false, true) => self.send(state, OrderAction::SetRole { role: self.target }, "role"),
        }
    }

    fn send(&self, state: &EngineState, action: OrderAction, step: &str) -> ChangeAction {
        ChangeAction::Send(Order {
            order_id: format!("{}-{}-{step}", self.token.0, self.sequence),
            fence_token: self.token,
            incarnation: state.incarnation,
            action,
        })
    }
}
