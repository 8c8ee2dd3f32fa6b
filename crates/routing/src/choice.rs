//! The choice itself. Every engine the node follows is a candidate; mixed engines serve a request
//! whole, a prefill and a decode engine serve it together. The cheapest choice that is predicted to
//! meet the deadline wins; when none is, the request is refused at once rather than run in vain.

use tansyhall_core::{Duration, Role};

use crate::estimate::EngineEstimate;
use crate::prediction::{
    predict_decode, predict_mixed, predict_prefill, Prediction, RequestEstimate, ServiceRates,
};

/// How choices weigh one thing against another.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ChoiceSettings {
    /// Seconds of a request's own time that a second taken from others is worth.
    pub harm_weight: f64,
    /// A request is refused when its predicted time passes this part of the time left. Below one:
    /// what is predicted rests on old reports and errs on the early side in a rising load.
    pub refuse_above: f64,
    /// Predictions within this part of the time left count as meeting the deadline.
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

/// Where a request goes, as indices into the candidates.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Placement {
    /// To one mixed engine.
    Whole(usize),
    /// To a prefill engine, then a decode engine.
    Split {
        /// Prefills the prompt.
        prefill: usize,
        /// Generates the answer.
        decode: usize,
    },
}

/// What to do with a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Choice {
    /// Send it.
    Send {
        /// Where.
        placement: Placement,
        /// What is expected there.
        prediction: Prediction,
    },
    /// No engine can make the deadline.
    Refuse {
        /// When one is expected to.
        retry_after: Duration,
    },
    /// No engine accepts work.
    NoEngine,
}

/// Chooses for one request with `time_left` seconds to its deadline.
pub fn choose(
    rates: &ServiceRates,
    settings: &ChoiceSettings,
    engines: &[EngineEstimate],
    request: &RequestEstimate,
    time_left: f64,
) -> Choice {
    let best = best_whole(rates, settings, engines, request, time_left)
        .into_iter()
        .chain(best_split(rates, settings, engines, request, time_left))
        .min_by(|left, right| left.0.total_cmp(&right.0));
    let Some((_, placement, prediction)) = best else {
        return Choice::NoEngine;
    };
    let excess = prediction.whole - time_left * settings.refuse_above;
    if excess > 0.0 {
        let retry_after = Duration::try_from_secs_f64(excess).unwrap_or(Duration::MAX);
        return Choice::Refuse { retry_after };
    }
    Choice::Send {
        placement,
        prediction,
    }
}

/// Cost of a prediction: infeasible ones rank behind every feasible one.
fn cost(settings: &ChoiceSettings, prediction: &Prediction, time_left: f64) -> f64 {
    let late = (prediction.whole - time_left * settings.safe_below).max(0.0);
    prediction.whole + settings.harm_weight * prediction.harm + late * LATENESS_WEIGHT
}

/// Seconds of cost for a second of predicted lateness.
const LATENESS_WEIGHT: f64 = 100.0;

type Ranked = (f64, Placement, Prediction);

fn best_whole(
    rates: &ServiceRates,
    settings: &ChoiceSettings,
    engines: &[EngineEstimate],
    request: &RequestEstimate,
    time_left: f64,
) -> Option<Ranked> {
    let candidates = usable(engines, Role::Mixed).map(|(index, engine)| {
        let prediction = predict_mixed(rates, engine, request);
        (
            cost(settings, &prediction, time_left),
            Placement::Whole(index),
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
) -> Option<Ranked> {
    let cheapest = |role, predict: fn(&ServiceRates, &EngineEstimate, &RequestEstimate) -> _| {
        usable(engines, role)
            .map(|(index, engine)| (index, predict(rates, engine, request)))
            .min_by(|left: &(usize, Prediction), right: &(usize, Prediction)| {
                let weigh = |p: &Prediction| p.whole + settings.harm_weight * p.harm;
                weigh(&left.1).total_cmp(&weigh(&right.1))
            })
    };
    let (prefill, first) = cheapest(Role::Prefill, predict_prefill)?;
    let (decode, rest) = cheapest(Role::Decode, predict_decode)?;
    let prediction = Prediction {
        first_token: first.first_token,
        whole: first.whole + rest.whole,
        harm: first.harm + rest.harm,
    };
    let placement = Placement::Split { prefill, decode };
    Some((
        cost(settings, &prediction, time_left),
        placement,
        prediction,
    ))
}

fn usable(
    engines: &[EngineEstimate],
    role: Role,
) -> impl Iterator<Item = (usize, &EngineEstimate)> {
    engines
        .iter()
        .enumerate()
        .filter(move |(_, engine)| engine.accepts_work && engine.role == role)
}
