//! Chooses the engine, or the pair of engines, for the next attempt of a request.
//! [`tansyhall_routing::choose`] makes the decision; this module determines which engines may be
//! used.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use actix_web::http::StatusCode;
use tansyhall_admission::BreakerDecision;
use tansyhall_config::{Backend, Pool};
use tansyhall_core::{EngineName, ModelName};
use tansyhall_engine::blocks::BlockHash;
use tansyhall_routing::{ChoiceSettings, EngineEstimate, Placement, RequestEstimate};

use super::failure::Failure;
use crate::dispatch::{followed_engine_names, InFlight};
use crate::state::Node;

/// A request that needs an engine.
pub struct EngineQuery<'a> {
    /// Model to run.
    pub model: &'a ModelName,
    /// Engines that have already failed the request.
    pub excluded: &'a [EngineName],
    /// Estimated work of the request.
    pub request: RequestEstimate,
    /// Block hashes of the prompt.
    pub blocks: &'a [BlockHash],
    /// Seconds until the deadline; infinite for a request that is to be finished however late it
    /// is.
    pub time_left: f64,
}

/// The engines chosen for an attempt.
pub struct ChosenEngines {
    /// Engine that is sent the request first.
    pub engine: Backend,
    /// The request, already counted at that engine.
    pub in_flight: InFlight,
    /// Engine that generates the answer after the first one has prefilled the prompt, if it is a
    /// different one.
    pub decode: Option<Backend>,
    /// Predicted time to the last token.
    pub predicted: Duration,
}

/// How to proceed with the next attempt.
pub enum Choice {
    /// Send the request to these engines.
    Attempt(Box<ChosenEngines>),
    /// No engine accepts work now, but one is expected to do so soon: it is being changed or
    /// finishes its current work first.
    Wait,
}

/// Chooses among the engines that load the model. Fails immediately if no engine can meet the
/// deadline, or if no engine accepts work and none is expected to do so soon.
pub fn choose(node: &Arc<Node>, query: &EngineQuery) -> Result<Choice, ChoiceError> {
    let candidates = Candidates::collect(node, query)?;
    let settings = ChoiceSettings::default();
    let rates = &node.dispatch.rates;
    let (request, time_left) = (&query.request, query.time_left);
    let estimates = &candidates.estimates;
    let choice = tansyhall_routing::choose(rates, &settings, estimates, request, time_left);
    let count = |name| node.metrics.choices.with_label_values(&[name]).inc();
    let (placement, prediction) = match choice {
        tansyhall_routing::Choice::Send {
            placement,
            prediction,
        } => (placement, prediction),
        tansyhall_routing::Choice::Refuse { retry_after } => {
            count("refused");
            return Err(ChoiceError::DeadlineUnreachable { retry_after });
        }
        tansyhall_routing::Choice::NoEngine if candidates.some_temporarily_unavailable => {
            return Ok(Choice::Wait);
        }
        tansyhall_routing::Choice::NoEngine => {
            count("no-engine");
            let probe_in = candidates.probe_in;
            return Err(ChoiceError::NoEngine { probe_in });
        }
    };
    let engine = |index: usize| candidates.engines[index].clone();
    let (first_index, decode) = match placement {
        Placement::Single(index) => (index, None),
        Placement::Split { prefill, decode } => (prefill, Some(engine(decode))),
    };
    let first = engine(first_index);
    count(if decode.is_some() { "split" } else { "whole" });
    let prefill_tokens = estimates[first_index].tokens_to_prefill(request.prefill_tokens);
    let in_flight = InFlight::begin(node, &first.name, prefill_tokens, query.blocks);
    Ok(Choice::Attempt(Box::new(ChosenEngines {
        engine: first,
        in_flight,
        decode,
        predicted: prediction.last_token_duration(),
    })))
}

/// Engines to choose among, and the estimates for them.
struct Candidates {
    engines: Vec<Backend>,
    estimates: Vec<EngineEstimate>,
    /// Whether an engine was left out only because it is temporarily unavailable.
    some_temporarily_unavailable: bool,
    /// Time until the next probe of an engine whose circuit breaker is open.
    probe_in: Option<Duration>,
}

impl Candidates {
    /// Returns the usable engines among those that this node follows; if there are none, the usable
    /// engines among all of the pools.
    fn collect(node: &Node, query: &EngineQuery) -> Result<Self, ChoiceError> {
        let in_force = node.in_force.load();
        let pools: Vec<&Pool> = in_force.pools_of_model(query.model).collect();
        if pools.is_empty() {
            return Err(ChoiceError::UnknownModel);
        }
        let followed = pools.iter().flat_map(|pool| followed_backends(node, pool));
        let candidates = Self::select_usable(node, query, followed);
        if !candidates.engines.is_empty() || candidates.some_temporarily_unavailable {
            return Ok(candidates);
        }
        let all = pools.iter().flat_map(|pool| pool.backends.iter());
        Ok(Self::select_usable(node, query, all))
    }

    fn select_usable<'a>(
        node: &Node,
        query: &EngineQuery,
        engines: impl Iterator<Item = &'a Backend>,
    ) -> Self {
        let now = node.clock.now();
        let health = &node.callers.health;
        let mut candidates = Self {
            engines: Vec::new(),
            estimates: Vec::new(),
            some_temporarily_unavailable: false,
            probe_in: None,
        };
        // A back end whose machine is about to be removed gets no new work.
        let peers = node.peers.snapshot();
        let is_eligible = |engine: &&Backend| {
            !query.excluded.contains(&engine.name) && !peers.leaving_backends.contains(&engine.name)
        };
        for engine in engines.filter(is_eligible) {
            if let BreakerDecision::Refuse { probe_in } = health.peek(engine.address, now) {
                let soonest = candidates.probe_in.unwrap_or(probe_in);
                candidates.probe_in = Some(soonest.min(probe_in));
                continue;
            }
            let state = node.with_engines(|engines| {
                let status = engines.get(&engine.name);
                status.and_then(|status| status.state.clone())
            });
            let trackers = &node.dispatch.trackers;
            let estimate = trackers.estimate(&engine.name, now, state.as_ref(), query.blocks);
            if !estimate.accepts_work || health.is_backing_off(engine.address, now) {
                candidates.some_temporarily_unavailable = true;
                continue;
            }
            candidates.engines.push(engine.clone());
            candidates.estimates.push(estimate);
        }
        candidates
    }
}

fn followed_backends<'a>(node: &Node, pool: &'a Pool) -> impl Iterator<Item = &'a Backend> {
    let names = pool.backends.iter().map(|backend| &backend.name);
    let names: HashSet<&EngineName> = followed_engine_names(node, names).into_iter().collect();
    pool.backends
        .iter()
        .filter(move |backend| names.contains(&backend.name))
}

/// Why no engine was chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ChoiceError {
    /// No pool loads the model.
    UnknownModel,
    /// No engine is expected to answer before the deadline.
    DeadlineUnreachable {
        /// Time after which an engine is expected to meet the deadline.
        retry_after: Duration,
    },
    /// No engine accepts work.
    NoEngine {
        /// Time until the next probe of an engine whose circuit breaker is open.
        probe_in: Option<Duration>,
    },
}

impl ChoiceError {
    /// Returns the failure of a request that has not run anywhere. `advised` is the advised wait if
    /// no better one is known.
    pub fn failure(self, model: &ModelName, advised: Duration) -> Failure {
        match self {
            ChoiceError::UnknownModel => Failure::invalid(
                StatusCode::NOT_FOUND,
                format!("no pool loads the model {model}"),
            ),
            ChoiceError::DeadlineUnreachable { retry_after } => Failure::not_run(
                StatusCode::SERVICE_UNAVAILABLE,
                "no engine is expected to answer before the deadline",
                retry_after,
            ),
            ChoiceError::NoEngine { probe_in } => Failure::not_run(
                StatusCode::SERVICE_UNAVAILABLE,
                "no engine accepts work now",
                probe_in.unwrap_or(advised),
            ),
        }
    }
}
