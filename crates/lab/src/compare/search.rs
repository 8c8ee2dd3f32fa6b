//! Searches for the best that could have been done with a trace known in advance: constant splits,
//! then another split for each phase in turn, each with several weights of harm. The result is a
//! bound found by search, not a proven optimum.

use std::time::Duration;

use tansyhall_core::{Role, Timestamp};
use tansyhall_routing::{ChoiceSettings, ServiceRates};

use crate::emulator::{run, Conditions, Outcome};
use crate::strategy::clairvoyant::ScheduleStep;
use crate::strategy::Clairvoyant;
use crate::workload::{TraceRequest, Workload};

/// Weights of harm that the search tries.
const HARM_WEIGHTS: [f64; 5] = [0.1, 0.3, 0.5, 1.0, 2.0];
/// Most engines for which every split is tried; above it splits are tried in steps.
const EXHAUSTIVE_ENGINES: usize = 9;

/// A trace to search on.
pub struct Search<'a> {
    /// What runs take place under.
    pub conditions: &'a Conditions,
    /// The engines' costs.
    pub rates: ServiceRates,
    /// The requests.
    pub trace: &'a [TraceRequest],
}

impl Search<'_> {
    fn mixed_schedule(&self, workload: &Workload) -> Vec<ScheduleStep> {
        let roles = vec![Role::Mixed; self.conditions.engines];
        let step = |from| ScheduleStep {
            from,
            roles: roles.clone(),
        };
        phase_starts(workload).into_iter().map(step).collect()
    }

    /// The best outcome with every engine mixed throughout.
    pub fn mixed(&self, workload: &Workload) -> Outcome {
        self.best_settings(&self.mixed_schedule(workload)).0
    }

    /// The best outcome found.
    pub fn best(&self, workload: &Workload) -> Outcome {
        let mut schedule = self.mixed_schedule(workload);
        let (mut best, settings) = self.best_settings(&schedule);
        for roles in splits(self.conditions.engines) {
            let mut candidate = schedule.clone();
            candidate
                .iter_mut()
                .for_each(|step| step.roles.clone_from(&roles));
            self.improve(&mut best, &mut schedule, candidate, settings);
        }
        for phase in 0..schedule.len() {
            for roles in splits(self.conditions.engines) {
                let mut candidate = schedule.clone();
                candidate[phase].roles = roles;
                self.improve(&mut best, &mut schedule, candidate, settings);
            }
        }
        let (again, _) = self.best_settings(&schedule);
        if again.goodput() > best.goodput() {
            return again;
        }
        best
    }

    fn run(&self, schedule: &[ScheduleStep], settings: ChoiceSettings) -> Outcome {
        let mut strategy = Clairvoyant::new(self.rates, settings, schedule.to_vec());
        run(self.conditions, self.trace, &mut strategy)
    }

    fn best_settings(&self, schedule: &[ScheduleStep]) -> (Outcome, ChoiceSettings) {
        let settings = HARM_WEIGHTS.map(|harm_weight| ChoiceSettings {
            harm_weight,
            ..ChoiceSettings::default()
        });
        settings
            .into_iter()
            .map(|settings| (self.run(schedule, settings), settings))
            .max_by(|left, right| left.0.goodput().total_cmp(&right.0.goodput()))
            .expect("there are weights to try")
    }

    fn improve(
        &self,
        best: &mut Outcome,
        schedule: &mut Vec<ScheduleStep>,
        candidate: Vec<ScheduleStep>,
        settings: ChoiceSettings,
    ) {
        let outcome = self.run(&candidate, settings);
        if outcome.goodput() > best.goodput() {
            *best = outcome;
            *schedule = candidate;
        }
    }
}

fn phase_starts(workload: &Workload) -> Vec<Timestamp> {
    let mut start = Duration::ZERO;
    let mut starts = Vec::new();
    for phase in &workload.phase {
        starts.push(Timestamp::default() + start);
        start += phase.duration;
    }
    starts
}

/// Every split with at least one prefill and one decode engine, and all mixed.
fn splits(engines: usize) -> Vec<Vec<Role>> {
    let step = engines.div_ceil(EXHAUSTIVE_ENGINES);
    let mut splits = vec![vec![Role::Mixed; engines]];
    for prefill in (1..engines).step_by(step) {
        for decode in (1..=engines - prefill).step_by(step) {
            let roles = (0..engines).map(|engine| {
                if engine < prefill {
                    Role::Prefill
                } else if engine < prefill + decode {
                    Role::Decode
                } else {
                    Role::Mixed
                }
            });
            splits.push(roles.collect());
        }
    }
    splits
}
