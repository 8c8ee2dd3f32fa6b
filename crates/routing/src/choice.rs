//! Chooses the engines for a request. Every engine that the node follows is a candidate: a mixed engine
//! serves a request alone, a prefill and a decode engine serve it together. The cheapest placement that is
//! predicted to meet the deadline wins. If there is none, the request is refused immediately instead of
//! consuming engine time without being answered in time.

use tansyhall_core::{Duration, Role};

use crate::estimate::EngineEstimate;
use crate::prediction::{
    predict_decode, predict_mixed, predict_prefill, Prediction, RequestEstimate, ServiceRates,
};

/// Weights and thresholds for choosing a placement.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ChoiceSettings {
    /// Cost of a second taken from other requests, in seconds of the request's own time.
    pub harm_weight: f64,
    /// A request is refused when its predicted time exceeds this fraction of the time left. It is below
    /// one because predictions are based on old reports, which makes them too short while the load rises.
    pub refuse_above: f64,
    /// A prediction within this fraction of the time left counts as meeting the deadline.
    pub safe_below: f64,
}

impl Default for ChoiceSettings {
    fn default() -> Self {
        Self {
            harm_weight: 0.5,
            refuse_above: 0.8,
            safe_below: 0.7,
        }
    }
}

/// The engines that serve a request, as indices into the candidates.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Placement {
    /// One mixed engine serves the request.
    Single(usize),
    /// A prefill engine serves the prompt, then a decode engine generates the answer.
    Split {
        /// Index of the prefill engine.
        prefill: usize,
        /// Index of the decode engine.
        decode: usize,
    },
}

/// What to do with a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Choice {
    /// Send the request.
    Send {
        /// Engines that serve the request.
        placement: Placement,
        /// Predicted times on these engines.
        prediction: Prediction,
    },
    /// No engine is predicted to meet the deadline.
    Refuse {
        /// Time after which an engine is expected to be able to: the excess of the best prediction over the limit.
        retry_after: Duration,
    },
    /// No engine that can serve the request accepts work.
    NoEngine,
}

/// Chooses the placement of a request whose deadline is `time_left` seconds away.
pub fn choose(
    rates: &ServiceRates,
    settings: &ChoiceSettings,
    engines: &[EngineEstimate],
    request: &RequestEstimate,
    time_left: f64,
) -> Choice {
    let best = best_single(rates, settings, engines, request, time_left)
        .into_iter()
        .chain(best_split(rates, settings, engines, request, time_left))
        .min_by(|left, right| left.0.total_cmp(&right.0));
    let Some((_, placement, prediction)) = best else {
        return Choice::NoEngine;
    };
    let excess = prediction.last_token - time_left * settings.refuse_above;
    if excess > 0.0 {
        let retry_after = Duration::try_from_secs_f64(excess).unwrap_or(Duration::MAX);
        return Choice::Refuse { retry_after };
    }
    Choice::Send {
        placement,
        prediction,
    }
}

/// Returns the cost of a prediction in seconds. Lateness is weighted so that infeasible predictions rank behind
/// every feasible one.
fn cost(settings: &ChoiceSettings, prediction: &Prediction, time_left: f64) -> f64 {
    let lateness = (prediction.last_token - time_left * settings.safe_below).max(0.0);
    prediction.last_token + settings.harm_weight * prediction.harm + lateness * LATENESS_WEIGHT
}

/// Cost of a second of predicted lateness, in seconds.
const LATENESS_WEIGHT: f64 = 100.0;

type RankedPlacement = (f64, Placement, Prediction);

fn best_single(
    rates: &ServiceRates,
    settings: &ChoiceSettings,
    engines: &[EngineEstimate],
    request: &RequestEstimate,
    time_left: f64,
) -> Option<RankedPlacement> {
    let candidates = usable_engines(engines, Role::Mixed).map(|(index, engine)| {
        let prediction = predict_mixed(rates, engine, request);
        (
            cost(settings, &prediction, time_left),
            Placement::Single(index),
            prediction,
        )
    });
    candidates.min_by(|left, right| left.0.total_cmp(&right.0))
}

fn best_split(
    rates: &ServiceRates,
    settings: &ChoiceSettings,
    engines: &[EngineEstimate],
    request: &RequestEstimate,
    time_left: f64,
) -> Option<RankedPlacement> {
    let cheapest = |role, predict: fn(&ServiceRates, &EngineEstimate, &RequestEstimate) -> _| {
        usable_engines(engines, role)
            .map(|(index, engine)| (index, predict(rates, engine, request)))
            .min_by(|left: &(usize, Prediction), right: &(usize, Prediction)| {
                let weighted_time = |p: &Prediction| p.last_token + settings.harm_weight * p.harm;
                weighted_time(&left.1).total_cmp(&weighted_time(&right.1))
            })
    };
    let (prefill, prefill_prediction) = cheapest(Role::Prefill, predict_prefill)?;
    let (decode, decode_prediction) = cheapest(Role::Decode, predict_decode)?;
    let prediction = Prediction {
        first_token: prefill_prediction.first_token,
        last_token: prefill_prediction.last_token + decode_prediction.last_token,
        harm: prefill_prediction.harm + decode_prediction.harm,
    };
    let placement = Placement::Split { prefill, decode };
    Some((
        cost(settings, &prediction, time_left),
        placement,
        prediction,
    ))
}

fn usable_engines(
    engines: &[EngineEstimate],
    role: Role,
) -> impl Iterator<Item = (usize, &EngineEstimate)> {
    engines
        .iter()
        .enumerate()
        .filter(move |(_, engine)| engine.accepts_work && engine.role == role)
}
