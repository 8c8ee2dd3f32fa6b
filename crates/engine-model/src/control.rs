//! The control state of an engine: a fence token that only grows, and one order at a time. A change of
//! role or model is refused while requests are in progress, so that a planned change interrupts none.

use std::time::Duration;

use tansyhall_core::{EngineName, Incarnation, ModelName, Role, Timestamp};
use tansyhall_engine::protocol::{EngineState, FenceToken, Order, OrderAction, OrderReply};

/// Durations of changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ControlTiming {
    /// Duration of a role change.
    pub role_change: Duration,
    /// Duration of loading a model version after its weights have been fetched.
    pub model_load: Duration,
    /// Duration of loading an adapter.
    pub adapter_load: Duration,
}

impl Default for ControlTiming {
    fn default() -> Self {
        Self {
            role_change: Duration::from_secs(3),
            model_load: Duration::from_secs(8),
            adapter_load: Duration::from_secs(1),
        }
    }
}

#[derive(Debug, Clone)]
struct ActiveOrder {
    order: Order,
    started_at: Timestamp,
    ends_at: Timestamp,
}

/// The control state of one incarnation of an engine.
#[derive(Debug, Clone)]
pub struct Control {
    timing: ControlTiming,
    initial_state: EngineState,
    state: EngineState,
    active: Option<ActiveOrder>,
}

impl Control {
    /// Creates the state of an engine that has just started.
    pub fn new(
        engine: EngineName,
        incarnation: Incarnation,
        role: Role,
        model: ModelName,
        timing: ControlTiming,
    ) -> Self {
        let state = EngineState {
            engine,
            incarnation,
            role,
            model,
            version: "1".into(),
            adapters: Vec::new(),
            fence_token: FenceToken::default(),
            draining: false,
            active_order: None,
            last_order: None,
            requests: 0,
        };
        Self {
            timing,
            initial_state: state.clone(),
            state,
            active: None,
        }
    }

    /// Simulates a crash and a restart. The order in progress and everything loaded since the start are
    /// lost. The fence token is lost as well; the new incarnation makes orders from before the crash invalid
    /// instead.
    pub fn restart(&mut self, incarnation: Incarnation) {
        *self = Self {
            state: EngineState {
                incarnation,
                ..self.initial_state.clone()
            },
            active: None,
            ..self.clone()
        };
    }

    /// Returns the state with `requests` as the number of requests in progress.
    pub fn state(&self, requests: u32) -> EngineState {
        EngineState {
            requests,
            ..self.state.clone()
        }
    }

    /// Returns whether new work is accepted. It is not accepted while draining or while an order is active.
    pub fn accepts_work(&self) -> bool {
        !self.state.draining && self.active.is_none()
    }

    /// Raises the fence token. A lower token has no effect.
    pub fn seal(&mut self, token: FenceToken) {
        self.state.fence_token = self.state.fence_token.max(token);
    }

    /// Accepts an order or returns why it is refused.
    pub fn order(&mut self, now: Timestamp, order: Order, requests: u32) -> OrderReply {
        if order.fence_token < self.state.fence_token {
            return OrderReply::StaleToken {
                highest: self.state.fence_token,
            };
        }
        if order.incarnation != self.state.incarnation {
            return OrderReply::WrongIncarnation {
                incarnation: self.state.incarnation,
            };
        }
        self.seal(order.fence_token);
        if self.is_repeat(&order) {
            return OrderReply::Accepted;
        }
        if let Some(active) = &self.active {
            return OrderReply::Busy {
                order_id: active.order.order_id.clone(),
            };
        }
        let needs_idle = matches!(
            order.action,
            OrderAction::SetRole { .. } | OrderAction::LoadModel { .. }
        );
        if needs_idle && requests > 0 {
            return OrderReply::WorkInProgress { requests };
        }
        self.start(now, order);
        OrderReply::Accepted
    }

    /// Returns when the active order ends, if one is active.
    pub fn active_order_ends(&self) -> Option<Timestamp> {
        self.active.as_ref().map(|active| active.ends_at)
    }

    /// Extends the duration of the active order by the time that fetching weights duration.
    pub fn extend_active_order(&mut self, by: Duration) {
        if let Some(active) = &mut self.active {
            active.ends_at = active.ends_at + by;
        }
    }

    /// Returns when half of the duration of the active order has passed, if one is active.
    pub fn active_order_halfway(&self) -> Option<Timestamp> {
        let active = self.active.as_ref()?;
        Some(active.started_at + active.ends_at.since(active.started_at) / 2)
    }

    /// Finishes the active order if its end has been reached, and returns it.
    pub fn advance(&mut self, now: Timestamp) -> Option<Order> {
        let ends = self.active_order_ends()?;
        if now < ends {
            return None;
        }
        let order = self.active.take()?.order;
        self.apply(&order);
        Some(order)
    }

    fn is_repeat(&self, order: &Order) -> bool {
        let is_same = |id: &String| *id == order.order_id;
        self.state.active_order.as_ref().is_some_and(is_same)
            || self.state.last_order.as_ref().is_some_and(is_same)
    }

    fn start(&mut self, now: Timestamp, order: Order) {
        let duration = match order.action {
            OrderAction::Drain | OrderAction::Resume => Duration::ZERO,
            OrderAction::SetRole { .. } => self.timing.role_change,
            OrderAction::LoadModel { .. } => self.timing.model_load,
            OrderAction::LoadAdapter { .. } => self.timing.adapter_load,
        };
        if duration.is_zero() {
            self.apply(&order);
            return;
        }
        self.state.active_order = Some(order.order_id.clone());
        self.active = Some(ActiveOrder {
            order,
            started_at: now,
            ends_at: now + duration,
        });
    }

    fn apply(&mut self, order: &Order) {
        match &order.action {
            OrderAction::Drain => self.state.draining = true,
            OrderAction::Resume => self.state.draining = false,
            OrderAction::SetRole { role } => self.state.role = *role,
            OrderAction::LoadModel { model, version } => {
                self.state.model = model.clone();
                self.state.version = version.clone();
                self.state.adapters.clear();
            }
            OrderAction::LoadAdapter { adapter } => self.state.adapters.push(adapter.clone()),
        }
        self.state.active_order = None;
        self.state.last_order = Some(order.order_id.clone());
    }
}
