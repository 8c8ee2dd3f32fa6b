//! Chooses the engine, or the pair of engines, for the next attempt of a request. The decision is
//! [`tansyhall_routing::choose`]; here it is told which engines may be used at all.

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
use crate::dispatch::{followed, InFlight};
use crate::state::Node;

/// A request that needs an engine.
pub struct Question<'a> {
    /// The model to run.
    pub model: &'a ModelName,
    /// Engines that failed the request before.
    pub excluded: &'a [EngineName],
    /// What the request asks of an engine.
    pub request: RequestEstimate,
    /// The prompt's blocks.
    pub blocks: &'a [BlockHash],
    /// Seconds to its deadline; infinite for a request that is to be finished however late.
    pub time_left: f64,
}

/// The engines chosen for an attempt.
pub struct Chosen {
    /// The engine that is sent the request first.
    pub engine: Backend,
    /// The request, counted at that engine already.
    pub in_flight: InFlight,
    /// The engine that generates the answer once the first one has prefilled the prompt, if that is
    /// another one.
    pub decode: Option<Backend>,
    /// Expected time to the last token.
    pub predicted: Duration,
}

/// What to do about the next attempt.
pub enum Choice {
    /// Make it.
    Attempt(Box<Chosen>),
    /// No engine accepts work now, but one is about to: it is changing, or ends its work first.
    Wait,
}

/// Chooses among the engines that load the model. Fails at once if none can make the deadline, or
/// none accepts work and none is about to.
pub fn choose(node: &Arc<Node>, question: &Question) -> Result<Choice, ChoiceError> {
    let candidates = Candidates::collect(node, question)?;
    let settings = ChoiceSettings::default();
    let rates = &node.dispatch.rates;
    let (request, time_left) = (&question.request, question.time_left);
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
            return Err(ChoiceError::TooLate { retry_after });
        }
        tansyhall_routing::Choice::NoEngine if candidates.some_is_changing => {
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
    let in_flight = InFlight::begin(node, &first.name, prefill_tokens, question.blocks);
    Ok(Choice::Attempt(Box::new(Chosen {
        engine: first,
        in_flight,
        decode,
        predicted: prediction.last_token_duration(),
    })))
}

/// The engines to choose among, and what is believed of each.
struct Candidates {
    engines: Vec<Backend>,
    estimates: Vec<EngineEstimate>,
    /// Whether an engine is left out only for a while.
    some_is_changing: bool,
    /// Time until the next probe of an engine that was found broken.
    probe_in: Option<Duration>,
}

impl Candidates {
    /// The engines that the node follows; if none of them is usable, those it does not.
    fn collect(node: &Node, question: &Question) -> Result<Self, ChoiceError> {
        let in_force = node.in_force.load();
        let pools: Vec<&Pool> = in_force.pools_of_model(question.model).collect();
        if pools.is_empty() {
            return Err(ChoiceError::UnknownModel);
        }
        let followed = pools.iter().flat_map(|pool| followed_backends(node, pool));
        let candidates = Self::among(node, question, followed);
        if !candidates.engines.is_empty() || candidates.some_is_changing {
            return Ok(candidates);
        }
        let all = pools.iter().flat_map(|pool| pool.backends.iter());
        Ok(Self::among(node, question, all))
    }

    fn among<'a>(
        node: &Node,
        question: &Question,
        engines: impl Iterator<Item = &'a Backend>,
    ) -> Self {
        let now = node.clock.now();
        let health = &node.callers.health;
        let mut candidates = Self {
            engines: Vec::new(),
            estimates: Vec::new(),
            some_is_changing: false,
            probe_in: None,
        };
        // A back end whose machine is about to be taken away gets no new work.
        let leaving = node.peers.snapshot();
        let stays = |engine: &&Backend| {
            !question.excluded.contains(&engine.name)
                && !leaving.leaving_backends.contains(&engine.name)
        };
        for engine in engines.filter(stays) {
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
            let estimate = trackers.estimate(&engine.name, now, state.as_ref(), question.blocks);
            if !estimate.accepts_work || health.is_paused(engine.address, now) {
                candidates.some_is_changing = true;
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
    let names: HashSet<&EngineName> = followed(node, names).into_iter().collect();
    pool.backends
        .iter()
        .filter(move |backend| names.contains(&backend.name))
}

/// Why there is no engine to attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ChoiceError {
    /// No pool loads the model.
    UnknownModel,
    /// No engine is expected to answer before the deadline.
    TooLate {
        /// When one is expected to.
        retry_after: Duration,
    },
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
            ChoiceError::TooLate { retry_after } => Failure::not_run(
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
