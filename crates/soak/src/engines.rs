//! Simulated engines: the control side of the engine model, with requests that start and end at random. Every effect is
//! reported to the oracle.

use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use tansyhall_core::{Incarnation, Role, Timestamp};
use tansyhall_engine::protocol::{EngineState, FenceToken, Order, OrderAction, OrderReply};
use tansyhall_engine_model::{Control, ControlTiming};

use crate::oracle::Oracle;
use crate::run::Rule;

/// Maximum number of requests in progress at one engine.
const MAX_REQUESTS: u32 = 3;

/// A request of a node to an engine.
#[derive(Debug, Clone)]
pub enum EngineRequest {
    /// Reads the state.
    State,
    /// Raises the fence token.
    Seal(FenceToken),
    /// Carries out an order.
    Order(Order),
}

/// An engine's answer.
#[derive(Debug, Clone)]
pub enum EngineReply {
    /// The engine's state.
    State(EngineState),
    /// The engine's state after its fence token was raised.
    Sealed(EngineState),
    /// The answer to an order.
    Order(OrderReply),
}

/// A simulated engine.
pub struct Engine {
    index: usize,
    control: Control,
    incarnation: u64,
    requests: u32,
    disabled_rule: Option<Rule>,
}

impl Engine {
    /// Creates an engine that has just started.
    pub fn new(index: usize, disabled_rule: Option<Rule>) -> Self {
        Self {
            index,
            control: control(index, 1),
            incarnation: 1,
            requests: 0,
            disabled_rule,
        }
    }

    /// Crashes the engine and starts it again.
    pub fn crash(&mut self, oracle: &mut Oracle) {
        self.incarnation += 1;
        self.control = control(self.index, self.incarnation);
        self.requests = 0;
        oracle.record_engine_crash(self.index);
    }

    /// Ends the order in force if it is due, then starts and ends requests at random.
    pub fn work(&mut self, now: Timestamp, random: &mut ChaCha8Rng, oracle: &mut Oracle) {
        if self.control.advance(now).is_some() {
            oracle.record_change_end(self.index);
        }
        if self.requests > 0 && random.random_bool(0.3) {
            self.requests -= 1;
            oracle.record_request_end(self.index);
        }
        if self.control.accepts_work() && self.requests < MAX_REQUESTS && random.random_bool(0.3) {
            self.requests += 1;
            oracle.record_request_start(self.index);
        }
    }

    /// Serves a request that a node made under a claim. `claim` is the oracle's number of that claim.
    pub fn serve(
        &mut self,
        now: Timestamp,
        claim: u64,
        request: EngineRequest,
        oracle: &mut Oracle,
    ) -> EngineReply {
        if self.control.advance(now).is_some() {
            oracle.record_change_end(self.index);
        }
        match request {
            EngineRequest::State => EngineReply::State(self.state()),
            EngineRequest::Seal(token) => {
                self.control.seal(token);
                if token >= self.control.state(0).fence_token {
                    oracle.record_claim_reached(self.index, claim);
                }
                EngineReply::Sealed(self.state())
            }
            EngineRequest::Order(order) => {
                EngineReply::Order(self.order(now, claim, order, oracle))
            }
        }
    }

    fn state(&self) -> EngineState {
        self.control.state(self.visible_requests())
    }

    fn visible_requests(&self) -> u32 {
        match self.disabled_rule {
            Some(Rule::Drain) => 0,
            _ => self.requests,
        }
    }

    fn order(
        &mut self,
        now: Timestamp,
        claim: u64,
        mut order: Order,
        oracle: &mut Oracle,
    ) -> OrderReply {
        let before = self.control.state(0);
        if self.disabled_rule == Some(Rule::Fence) {
            order.fence_token = order.fence_token.max(before.fence_token);
        }
        let changes_role = matches!(order.action, OrderAction::SetRole { .. });
        let reply = self.control.order(now, order, self.visible_requests());
        let mut after = self.control.state(0);
        after.fence_token = before.fence_token;
        if after != before {
            oracle.record_order_effect(self.index, claim);
            if changes_role {
                oracle.record_change_start(self.index);
            }
        }
        reply
    }
}

fn control(index: usize, incarnation: u64) -> Control {
    Control::new(
        format!("engine-{index}").as_str().into(),
        Incarnation(incarnation),
        Role::Mixed,
        "base".into(),
        ControlTiming::default(),
    )
}
