//! Searches for the best schedule of roles for a trace that is known in advance: first among constant
//! splits, then by changing the split of one phase at a time. Several harm weights are tried before
//! and after. The result is a bound found by search, not a proven optimum.

use std::time::Duration;

use tansyhall_core::{Role, Timestamp};
use tansyhall_routing::{ChoiceSettings, ServiceRates};

use crate::emulator::{run, Conditions, Outcome};
use crate::strategy::clairvoyant::ScheduleStep;
use crate::strategy::Clairvoyant;
use crate::workload::{TraceRequest, Workload};

/// Harm weights that the search tries.
const HARM_WEIGHTS: [f64; 5] = [0.1, 0.3, 0.5, 1.0, 2.0];
/// Maximum number of engines for which every split is tried; with more engines the split sizes
/// advance in larger steps.
const MAX_EXHAUSTIVE_ENGINES: usize = 9;

/// A search over the role schedules of one trace.
pub struct Search<'a> {
    /// Conditions of the emulated runs.
    pub conditions: &'a Conditions,
    /// Service rates of the engines.
    pub rates: ServiceRates,
    /// Requests of the trace.
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

    /// Returns the best outcome if all engines stay mixed.
    pub fn best_mixed(&self, workload: &Workload) -> Outcome {
        self.best_settings(&self.mixed_schedule(workload)).0
    }

    /// Returns the best outcome found.
    pub fn best(&self, workload: &Workload) -> Outcome {
        let mut schedule = self.mixed_schedule(workload);
        let (mut best, settings) = self.best_settings(&schedule);
        for roles in splits(self.conditions.engines) {
            let mut candidate = schedule.clone();
            candidate
                .iter_mut()
                .for_each(|step| step.roles.clone_from(&roles));
            self.keep_if_better(&mut best, &mut schedule, candidate, settings);
        }
        for phase in 0..schedule.len() {
            for roles in splits(self.conditions.engines) {
                let mut candidate = schedule.clone();
                candidate[phase].roles = roles;
                self.keep_if_better(&mut best, &mut schedule, candidate, settings);
            }
        }
        let (retuned, _) = self.best_settings(&schedule);
        if retuned.goodput() > best.goodput() {
            return retuned;
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
            .expect("HARM_WEIGHTS is not empty")
    }

    fn keep_if_better(
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

/// Returns the role assignments to try: all engines mixed, and each split with at least one prefill
/// and one decode engine.
fn splits(engines: usize) -> Vec<Vec<Role>> {
    let step = engines.div_ceil(MAX_EXHAUSTIVE_ENGINES);
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
