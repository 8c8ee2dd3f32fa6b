//! The strategy that the system uses: the routing crate chooses engines for requests, and the planner
//! crate decides on roles.

use tansyhall_core::{Role, Timestamp};
use tansyhall_planner::predictive::{Demand, Planner, PlannerSettings, PoolState, RoleCount};
use tansyhall_routing::{
    choose, Choice, ChoiceSettings, EngineEstimate, OutputEstimator, ServiceRates,
};

use super::{PoolView, RequestInfo, RoleChange, Strategy};

/// The strategy that the system uses.
pub struct Predictive {
    rates: ServiceRates,
    settings: ChoiceSettings,
    outputs: OutputEstimator<usize>,
    planner: Planner,
}

impl Predictive {
    /// Creates a strategy for engines with these service rates.
    pub fn new(rates: ServiceRates, settings: ChoiceSettings, planner: PlannerSettings) -> Self {
        let planner = Planner::new(planner);
        Self {
            rates,
            settings,
            outputs: OutputEstimator::new(),
            planner,
        }
    }
}

impl Strategy for Predictive {
    fn name(&self) -> String {
        "tansyhall".into()
    }

    fn initial_roles(&self, engines: usize) -> Vec<Role> {
        vec![Role::Mixed; engines]
    }

    fn uses_priorities(&self) -> bool {
        true
    }

    fn route(&mut self, info: &RequestInfo, engines: &[EngineEstimate]) -> Choice {
        let request = info.estimate(self.outputs.expected_tokens(&info.class, info.max_tokens));
        choose(
            &self.rates,
            &self.settings,
            engines,
            &request,
            info.time_left,
        )
    }

    fn record_offered(&mut self, now: Timestamp, info: &RequestInfo) {
        let output_tokens = self.outputs.expected_tokens(&info.class, info.max_tokens);
        let demand = Demand {
            prompt_tokens: info.prompt_tokens,
            output_tokens,
        };
        self.planner.observe(now, demand);
    }

    fn record_finished(&mut self, class: usize, output_tokens: f64) {
        self.outputs.learn(class, output_tokens);
    }

    fn plan(&mut self, pool: &PoolView) -> Option<RoleChange> {
        let serving = pool.engines.iter().filter(|engine| engine.accepts_work);
        let state = PoolState {
            now: pool.now,
            roles: RoleCount::of(serving.map(|engine| engine.role)),
            changing: pool.engines.iter().any(|engine| !engine.accepts_work),
        };
        let step = self.planner.plan(&self.rates, &state)?;
        let load = |index: &usize| pool.engines[*index].decoding + pool.engines[*index].waiting;
        let engine = (0..pool.engines.len())
            .filter(|index| pool.engines[*index].role == step.from)
            .min_by(|left, right| load(left).total_cmp(&load(right)))?;
        Some(RoleChange {
            engine,
            role: step.to,
        })
    }
}
