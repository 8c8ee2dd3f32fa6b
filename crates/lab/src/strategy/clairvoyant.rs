//! The bound to compare with: the system's choice rules with nothing hidden. It sees the engines'
//! true state without lag and every answer's true length, and its roles over time are given: the
//! comparison searches for the schedule that serves the whole trace best.

use tansyhall_core::{Role, Timestamp};
use tansyhall_routing::{choose, Choice, ChoiceSettings, EngineEstimate, ServiceRates};

use super::{PoolFacts, RequestFacts, RoleChange, Strategy};

/// Roles from a moment on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ScheduleStep {
    /// When the roles are wanted.
    pub from: Timestamp,
    /// The engines' roles.
    pub roles: Vec<Role>,
}

/// A strategy that knows the trace.
pub struct Clairvoyant {
    rates: ServiceRates,
    settings: ChoiceSettings,
    schedule: Vec<ScheduleStep>,
}

impl Clairvoyant {
    /// A strategy with a schedule of roles; its first step holds from the start.
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

    fn route(&mut self, facts: &RequestFacts, engines: &[EngineEstimate]) -> Choice {
        let request = facts.estimate(facts.true_output_tokens);
        choose(
            &self.rates,
            &self.settings,
            engines,
            &request,
            facts.time_left,
        )
    }

    fn plan(&mut self, pool: &PoolFacts) -> Option<RoleChange> {
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
