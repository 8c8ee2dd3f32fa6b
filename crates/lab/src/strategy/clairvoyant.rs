//! The bound that other strategies are compared with: the system's choice rules with full knowledge.
//! It sees the engines' true state without delay and the true length of each answer, and follows a
//! given schedule of roles. The comparison searches for the schedule that serves the trace best.

use tansyhall_core::{Role, Timestamp};
use tansyhall_routing::{choose, Choice, ChoiceSettings, EngineEstimate, ServiceRates};

use super::{PoolView, RequestInfo, RoleChange, Strategy};

/// Roles of the engines from a given time on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ScheduleStep {
    /// When the roles take effect.
    pub from: Timestamp,
    /// Roles of the engines.
    pub roles: Vec<Role>,
}

/// A strategy that knows the trace in advance.
pub struct Clairvoyant {
    rates: ServiceRates,
    settings: ChoiceSettings,
    schedule: Vec<ScheduleStep>,
}

impl Clairvoyant {
    /// Creates a strategy with a schedule of roles. The first step applies from the start.
    pub fn new(rates: ServiceRates, settings: ChoiceSettings, schedule: Vec<ScheduleStep>) -> Self {
        Self {
            rates,
            settings,
            schedule,
        }
    }
}

impl Strategy for Clairvoyant {
    fn name(&self) -> String {
        "clairvoyant".into()
    }

    fn initial_roles(&self, engines: usize) -> Vec<Role> {
        match self.schedule.first() {
            Some(step) => step.roles.clone(),
            None => vec![Role::Mixed; engines],
        }
    }

    fn sees_true_state(&self) -> bool {
        true
    }

    fn uses_priorities(&self) -> bool {
        true
    }

    fn route(&mut self, info: &RequestInfo, engines: &[EngineEstimate]) -> Choice {
        let request = info.estimate(info.true_output_tokens);
        choose(
            &self.rates,
            &self.settings,
            engines,
            &request,
            info.time_left,
        )
    }

    fn plan(&mut self, pool: &PoolView) -> Option<RoleChange> {
        let step = self
            .schedule
            .iter()
            .rev()
            .find(|step| step.from <= pool.now)?;
        let differs = |index: &usize| pool.engines[*index].role != step.roles[*index];
        let engine = (0..pool.engines.len())
            .filter(|index| pool.engines[*index].accepts_work)
            .find(differs)?;
        Some(RoleChange {
            engine,
            role: step.roles[engine],
        })
    }
}
