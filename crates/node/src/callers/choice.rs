//! Chooses the engine for the next attempt of a request.

use std::sync::Arc;
use std::time::Duration;

use actix_web::http::StatusCode;
use tansyhall_admission::BreakerDecision;
use tansyhall_config::Backend;
use tansyhall_core::{EngineName, ModelName};
use tansyhall_engine::protocol::EngineState;

use super::failure::Failure;
use crate::state::{EngineStatus, InFlight, Node};

/// What to do about the next attempt.
pub enum Choice {
    /// Make it at this engine, where the request is counted already.
    Attempt(Backend, InFlight),
    /// No engine accepts work now, but one is about to: it is changing, or ends its work first.
    Wait,
}

/// Chooses among the engines that load `model`, except those in `excluded`. Fails at once if no
/// engine accepts work and none is about to.
pub fn choose(
    node: &Arc<Node>,
    model: &ModelName,
    excluded: &[EngineName],
) -> Result<Choice, ChoiceError> {
    let in_force = node.in_force.load();
    let mut known_model = false;
    let mut engines = Vec::new();
    for pool in in_force.pools_of_model(model) {
        known_model = true;
        engines.extend(pool.backends.iter());
    }
    if !known_model {
        return Err(ChoiceError::UnknownModel);
    }
    engines.retain(|engine| !excluded.contains(&engine.name));
    let probe_in = remove_broken(node, &mut engines);
    let now = node.clock.now();
    let paused = |engine: &&Backend| node.callers.health.is_paused(engine.address, now);
    let (paused, engines): (Vec<&Backend>, Vec<&Backend>) = engines.into_iter().partition(paused);
    let ready = node.choose_in_flight(|statuses| {
        let status = |engine: &&Backend| statuses.get(&engine.name).cloned().unwrap_or_default();
        let ready = engines
            .iter()
            .copied()
            .map(|engine| (engine, status(&engine)));
        let ready = ready.filter(|(_, status)| accepts_work(status));
        let least_loaded = ready.min_by_key(|(_, status)| status.in_flight);
        least_loaded.map(|(engine, _)| engine.clone())
    });
    if let Some((engine, in_flight)) = ready {
        return Ok(Choice::Attempt(engine, in_flight));
    }
    let changing = node.with_engines(|statuses| {
        let status = |engine: &&Backend| statuses.get(&engine.name);
        engines.iter().filter_map(status).any(is_changing)
    });
    if changing || !paused.is_empty() {
        return Ok(Choice::Wait);
    }
    Err(ChoiceError::NoEngine { probe_in })
}

/// Removes the engines whose breakers are open; returns the time until the next probe.
fn remove_broken(node: &Node, engines: &mut Vec<&Backend>) -> Option<Duration> {
    let now = node.clock.now();
    let mut soonest: Option<Duration> = None;
    engines.retain(
        |engine| match node.callers.health.peek(engine.address, now) {
            BreakerDecision::Admit => true,
            BreakerDecision::Refuse { probe_in } => {
                soonest = Some(soonest.map_or(probe_in, |known| known.min(probe_in)));
                false
            }
        },
    );
    soonest
}

fn accepts_work(status: &EngineStatus) -> bool {
    let accepts = |state: &EngineState| {
        !state.draining && state.active_order.is_none() && state.role.serves_whole_requests()
    };
    // An engine whose state is not known yet is tried: it refuses by itself what it cannot do.
    status.state.as_ref().is_none_or(accepts)
}

fn is_changing(status: &EngineStatus) -> bool {
    let changing = |state: &EngineState| state.draining || state.active_order.is_some();
    status.state.as_ref().is_some_and(changing)
}

/// Why there is no engine to attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ChoiceError {
    /// No pool loads the model.
    UnknownModel,
    /// No engine accepts work.
    NoEngine {
        /// Time until the next probe of an engine that was found broken.
        probe_in: Option<Duration>,
    },
}

impl ChoiceError {
    /// The failure of a request that has not run anywhere. `advised` is the wait to advise if no
    /// better one is known.
    pub fn failure(self, model: &ModelName, advised: Duration) -> Failure {
        match self {
            ChoiceError::UnknownModel => Failure::invalid(
                StatusCode::NOT_FOUND,
                format!("no pool loads the model {model}"),
            ),
            ChoiceError::NoEngine { probe_in } => Failure::not_run(
                StatusCode::SERVICE_UNAVAILABLE,
                "no engine accepts work now",
                probe_in.unwrap_or(advised),
            ),
        }
    }
}
