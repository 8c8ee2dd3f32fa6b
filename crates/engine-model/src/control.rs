//! The engine's control side: a fence register that only grows, and one order at a time. A role
//! or model change is refused while requests are in progress, so a planned change can cut none.

use std::time::Duration;

use tansyhall_core::{EngineName, Incarnation, ModelName, Role, Timestamp};
use tansyhall_engine::protocol::{EngineState, FenceToken, Order, OrderAction, OrderReply};

/// How long changes take.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ControlTiming {
    /// A change of role.
    pub role_change: Duration,
    /// Loading a model version once its weights are there.
    pub model_load: Duration,
    /// Loading an adapter.
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
    began: Timestamp,
    ends: Timestamp,
}

/// The control state of one incarnation of an engine.
#[derive(Debug, Clone)]
pub struct Control {
    timing: ControlTiming,
    first_state: EngineState,
    state: EngineState,
    active: Option<ActiveOrder>,
}

impl Control {
    /// An engine that has just started.
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
            first_state: state.clone(),
            state,
            active: None,
        }
    }

    /// A crash and a restart: the order in progress and everything loaded since the start are
    /// lost, and so is the fence token, which the incarnation makes up for.
    pub fn restart(&mut self, incarnation: Incarnation) {
        *self = Self {
            state: EngineState {
                incarnation,
                ..self.first_state.clone()
            },
            active: None,
            ..self.clone()
        };
    }

    /// The control state, with `requests` in progress.
    pub fn state(&self, requests: u32) -> EngineState {
        EngineState {
            requests,
            ..self.state.clone()
        }
    }

    /// Whether new work is accepted: not while draining or changing.
    pub fn accepts_work(&self) -> bool {
        !self.state.draining && self.active.is_none()
    }

    /// Raises the fence token; a lower one changes nothing.
    pub fn seal(&mut self, token: FenceToken) {
        self.state.fence_token = self.state.fence_token.max(token);
    }

    /// Takes an order, or says why not.
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
        self.begin(now, order);
        OrderReply::Accepted
    }

    /// When the active order ends, if one is active.
    pub fn active_order_ends(&self) -> Option<Timestamp> {
        self.active.as_ref().map(|active| active.ends)
    }

    /// Makes the active order take longer, as a slow fetch of weights does.
    pub fn extend_active_order(&mut self, by: Duration) {
        if let Some(active) = &mut self.active {
            active.ends = active.ends + by;
        }
    }

    /// When half of the active order's time has passed, if an order is active.
    pub fn active_order_halfway(&self) -> Option<Timestamp> {
        let active = self.active.as_ref()?;
        Some(active.began + active.ends.since(active.began) / 2)
    }

    /// Ends the active order if its time has come, and returns it.
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
        let same = |id: &String| *id == order.order_id;
        self.state.active_order.as_ref().is_some_and(same)
            || self.state.last_order.as_ref().is_some_and(same)
    }

    fn begin(&mut self, now: Timestamp, order: Order) {
        let takes = match order.action {
            OrderAction::Drain | OrderAction::Resume => Duration::ZERO,
            OrderAction::SetRole { .. } => self.timing.role_change,
            OrderAction::LoadModel { .. } => self.timing.model_load,
            OrderAction::LoadAdapter { .. } => self.timing.adapter_load,
        };
        if takes.is_zero() {
            self.apply(&order);
            return;
        }
        self.state.active_order = Some(order.order_id.clone());
        self.active = Some(ActiveOrder {
            order,
            began: now,
            ends: now + takes,
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
