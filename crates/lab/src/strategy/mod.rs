//! Strategies to compare: how requests are routed, and how roles are planned. All of them run on
//! the same engines with the same trace.

pub mod clairvoyant;
mod predictive;
mod reactive;
mod simple;

use tansyhall_core::{Role, Timestamp};
use tansyhall_routing::{Choice, EngineEstimate, RequestEstimate, ServiceRates};

pub use clairvoyant::Clairvoyant;
pub use predictive::Predictive;
pub use reactive::Reactive;
pub use simple::{Balance, Static};

/// What a strategy knows of a request when it routes it.
#[derive(Debug, Clone, Copy)]
pub struct RequestFacts {
    /// The node it arrived at.
    pub node: usize,
    /// Its class.
    pub class: usize,
    /// Tokens of its prompt.
    pub prompt_tokens: f64,
    /// Most tokens its answer may have.
    pub max_tokens: f64,
    /// Tokens its answer will have; only the clairvoyant may look.
    pub true_output_tokens: f64,
    /// Seconds to its deadline.
    pub time_left: f64,
}

impl RequestFacts {
    /// What the request asks of an engine, if its answer has this many tokens.
    pub fn estimate(&self, output_tokens: f64) -> RequestEstimate {
        RequestEstimate {
            prefill_tokens: self.prompt_tokens,
            prompt_tokens: self.prompt_tokens,
            output_tokens,
        }
    }
}

/// What the holder knows of the pool when it plans.
#[derive(Debug, Clone)]
pub struct PoolFacts {
    /// The time.
    pub now: Timestamp,
    /// The engines, as reported.
    pub engines: Vec<EngineEstimate>,
}

/// A change of role to make.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RoleChange {
    /// The engine.
    pub engine: usize,
    /// Its new role.
    pub role: Role,
}

/// One strategy.
pub trait Strategy {
    /// Its name in tables.
    fn name(&self) -> String;
    /// The engines' first roles.
    fn initial_roles(&self, engines: usize) -> Vec<Role>;
    /// Whether nodes see the engines' true state instead of reports.
    fn sees_true_state(&self) -> bool {
        false
    }
    /// Whether it uses the classes' priorities.
    fn uses_priorities(&self) -> bool {
        false
    }
    /// Routes one request.
    fn route(&mut self, facts: &RequestFacts, engines: &[EngineEstimate]) -> Choice;
    /// A request was offered: the planner counts demand.
    fn offered(&mut self, _now: Timestamp, _facts: &RequestFacts) {}
    /// An answer ended.
    fn finished(&mut self, _class: usize, _output_tokens: f64) {}
    /// The next change of role, if one is worth it.
    fn plan(&mut self, _pool: &PoolFacts) -> Option<RoleChange> {
        None
    }
}

/// Costs of the emulated engines as strategies know them.
pub fn service_rates(
    costs: &tansyhall_engine_model::CostModel,
    transfer_token: f64,
) -> ServiceRates {
    ServiceRates {
        iteration: costs.iteration_micros as f64 / 1e6,
        prefill_token: costs.prefill_token_nanos as f64 / 1e9,
        decode_sequence: costs.decode_sequence_nanos as f64 / 1e9,
        mixed_chunk: f64::from(costs.prefill_chunk_tokens),
        prefill_chunk: f64::from(costs.prefill_role_chunk_tokens),
        transfer_token,
    }
}

/// `prefill` engines that prefill and the rest that decode.
pub fn split_roles(engines: usize, prefill: usize) -> Vec<Role> {
    (0..engines)
        .map(|engine| {
            if engine < prefill {
                Role::Prefill
            } else {
                Role::Decode
            }
        })
        .collect()
}
