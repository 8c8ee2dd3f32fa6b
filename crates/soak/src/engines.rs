//! Engines: the engine model's control side, with requests that come and go. Each effect is
//! reported to the judge.

use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use tansyhall_core::{Incarnation, Role, Timestamp};
use tansyhall_engine::protocol::{EngineState, FenceToken, Order, OrderAction, OrderReply};
use tansyhall_engine_model::{Control, ControlTiming};

use crate::oracle::Oracle;
use crate::run::Rule;

/// Most requests in progress at one engine.
const MAX_REQUESTS: u32 = 3;

/// What a node asks of an engine.
#[derive(Debug, Clone)]
pub enum EngineRequest {
    /// Its state.
    State,
    /// To raise its fence token.
    Seal(FenceToken),
    /// To carry an order out.
    Order(Order),
}

/// What an engine answers.
#[derive(Debug, Clone)]
pub enum EngineReply {
    /// Its state.
    State(EngineState),
    /// Its state after the seal.
    Sealed(EngineState),
    /// Its answer to an order.
    Order(OrderReply),
}

/// One engine.
pub struct Engine {
    index: usize,
    control: Control,
    incarnation: u64,
    requests: u32,
    broken: Option<Rule>,
}

impl Engine {
    /// An engine that has just started.
    pub fn new(index: usize, broken: Option<Rule>) -> Self {
        Self {
            index,
            control: control(index, 1),
            incarnation: 1,
            requests: 0,
            broken,
        }
    }

    /// Crashes and starts again.
    pub fn crash(&mut self, oracle: &mut Oracle) {
        self.incarnation += 1;
        self.control = control(self.index, self.incarnation);
        self.requests = 0;
        oracle.engine_crashes(self.index);
    }

    /// Ends the order in force if its time has come; requests begin and end.
    pub fn work(&mut self, now: Timestamp, random: &mut ChaCha8Rng, oracle: &mut Oracle) {
        if self.control.advance(now).is_some() {
            oracle.change_ends(self.index);
        }
        if self.requests > 0 && random.random_bool(0.3) {
            self.requests -= 1;
            oracle.request_ends(self.index);
        }
        if self.control.accepts_work() && self.requests < MAX_REQUESTS && random.random_bool(0.3) {
            self.requests += 1;
            oracle.request_begins(self.index);
        }
    }

    /// Serves a node's request, made under a claim that the judge has numbered.
    pub fn serve(
        &mut self,
        now: Timestamp,
        claim: u64,
        request: EngineRequest,
        oracle: &mut Oracle,
    ) -> EngineReply {
        if self.control.advance(now).is_some() {
            oracle.change_ends(self.index);
        }
        match request {
            EngineRequest::State => EngineReply::State(self.state()),
            EngineRequest::Seal(token) => {
                self.control.seal(token);
                if token >= self.control.state(0).fence_token {
                    oracle.claim_reached(self.index, claim);
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
        match self.broken {
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
        if self.broken == Some(Rule::Fence) {
            order.fence_token = order.fence_token.max(before.fence_token);
        }
        let changes_role = matches!(order.action, OrderAction::SetRole { .. });
        let reply = self.control.order(now, order, self.visible_requests());
        let mut after = self.control.state(0);
        after.fence_token = before.fence_token;
        if after != before {
            oracle.order_took_effect(self.index, claim);
            if changes_role {
                oracle.change_begins(self.index);
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
