//! The strategies that are compared: each routes requests and plans roles. All of them run on the
//! same engines with the same trace.

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

/// What a strategy knows about a request when it routes it.
#[derive(Debug, Clone, Copy)]
pub struct RequestInfo {
    /// The node at which the request arrived.
    pub node: usize,
    /// Index of the class.
    pub class: usize,
    /// Number of prompt tokens.
    pub prompt_tokens: f64,
    /// Maximum number of answer tokens.
    pub max_tokens: f64,
    /// Actual number of answer tokens; only the clairvoyant strategy may use it.
    pub true_output_tokens: f64,
    /// Seconds until the deadline.
    pub time_left: f64,
}

impl RequestInfo {
    /// Returns the work that the request causes at an engine if its answer has `output_tokens` tokens.
    pub fn estimate(&self, output_tokens: f64) -> RequestEstimate {
        RequestEstimate {
            prefill_tokens: self.prompt_tokens,
            prompt_tokens: self.prompt_tokens,
            output_tokens,
        }
    }
}

/// What the lease holder knows about the pool when it plans roles.
#[derive(Debug, Clone)]
pub struct PoolView {
    /// Current time.
    pub now: Timestamp,
    /// Estimates of the engines.
    pub engines: Vec<EngineEstimate>,
}

/// A planned role change.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RoleChange {
    /// The engine.
    pub engine: usize,
    /// The new role of the engine.
    pub role: Role,
}

/// A strategy that routes requests and plans roles.
pub trait Strategy {
    /// Returns the name that tables show.
    fn name(&self) -> String;
    /// Returns the initial roles of the engines.
    fn initial_roles(&self, engines: usize) -> Vec<Role>;
    /// Returns whether nodes see the true state of the engines instead of reports.
    fn sees_true_state(&self) -> bool {
        false
    }
    /// Returns whether engines queue by the priorities of the classes.
    fn uses_priorities(&self) -> bool {
        false
    }
    /// Routes one request.
    fn route(&mut self, info: &RequestInfo, engines: &[EngineEstimate]) -> Choice;
    /// Records a request that arrived; planners use it to estimate demand.
    fn record_offered(&mut self, _now: Timestamp, _info: &RequestInfo) {}
    /// Records a completed answer.
    fn record_finished(&mut self, _class: usize, _output_tokens: f64) {}
    /// Returns the next role change, if one is worthwhile.
    fn plan(&mut self, _pool: &PoolView) -> Option<RoleChange> {
        None
    }
}

/// Converts the cost model of the emulated engines to the service rates that strategies use.
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

/// Assigns the prefill role to `prefill` engines and the decode role to the others.
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
