//! The predictive planner.
//!
//! Demand is measured in two sliding windows, a short one that sees a shift early and a long one
//! that does not jump at bursts; the planner believes a shift when both agree that the present
//! split is short. For a split into `m` mixed, `p` prefill and `d` decode engines it predicts the
//! utilisation that the demand would cause:
//!
//! - a mixed engine pays each prompt token its cost plus its part of a small chunk's iteration, and
//!   each answer token its cost plus its part of a batch's iteration;
//! - a prefill engine pays the same with large chunks; a decode engine pays for answers alone;
//! - requests divide between the mixed engines and the prefill-decode pairs so that both sides are
//!   equally loaded.
//!
//! The part of the demand that is served is one over the utilisation, where that is above one. A
//! split is taken when the requests it serves more over the horizon outweigh those lost while the
//! engine that changes is away; among equals the one with the fewest changes wins. One engine
//! changes at a time, and the next step is planned from what is observed then.

use std::collections::VecDeque;

use tansyhall_core::{Duration, Role, Timestamp};
use tansyhall_routing::ServiceRates;

/// What one request asks for.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Demand {
    /// Tokens of its prompt.
    pub prompt_tokens: f64,
    /// Expected tokens of its answer.
    pub output_tokens: f64,
}

/// Engines by role.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct RoleCount {
    /// Mixed engines.
    pub mixed: usize,
    /// Prefill engines.
    pub prefill: usize,
    /// Decode engines.
    pub decode: usize,
}

impl RoleCount {
    /// Counts roles.
    pub fn of(roles: impl Iterator<Item = Role>) -> Self {
        let mut count = Self::default();
        for role in roles {
            *count.of_role_mut(role) += 1;
        }
        count
    }

    fn of_role_mut(&mut self, role: Role) -> &mut usize {
        match role {
            Role::Mixed => &mut self.mixed,
            Role::Prefill => &mut self.prefill,
            Role::Decode => &mut self.decode,
        }
    }

    fn of_role(&self, role: Role) -> usize {
        match role {
            Role::Mixed => self.mixed,
            Role::Prefill => self.prefill,
            Role::Decode => self.decode,
        }
    }

    fn total(&self) -> usize {
        self.mixed + self.prefill + self.decode
    }

    /// Engines that must change to come from `self` to `other`.
    fn changes_to(&self, other: &RoleCount) -> usize {
        let gained = |role| other.of_role(role).saturating_sub(self.of_role(role));
        Role::ALL.into_iter().map(gained).sum()
    }
}

/// Settings of the planner.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PlannerSettings {
    /// The window that sees a shift early.
    pub short_window: Duration,
    /// The window that does not jump at bursts.
    pub long_window: Duration,
    /// How long a mix is expected to last.
    pub horizon: Duration,
    /// How long a change takes an engine away, its drain included.
    pub absence: Duration,
    /// Answers in a typical batch.
    pub typical_batch: f64,
    /// Utilisation below which every split serves everything in time; queues grow well before one.
    pub comfortable: f64,
}

impl Default for PlannerSettings {
    fn default() -> Self {
        Self {
            short_window: Duration::from_secs(4),
            long_window: Duration::from_secs(12),
            horizon: Duration::from_secs(30),
            absence: Duration::from_secs(6),
            typical_batch: 32.0,
            comfortable: 0.85,
        }
    }
}

/// The pool as the planner sees it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PoolState {
    /// The time.
    pub now: Timestamp,
    /// Engines that serve, by role.
    pub roles: RoleCount,
    /// Whether an engine is away or draining.
    pub changing: bool,
}

/// One engine to change.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Step {
    /// The role to take an engine from.
    pub from: Role,
    /// The role to give it.
    pub to: Role,
}

/// Demand in tokens a second.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct DemandRate {
    /// Prompt tokens a second.
    pub prompt: f64,
    /// Answer tokens a second.
    pub output: f64,
}

/// Splits examined along each axis; bounds the cost for large pools.
const GRID: usize = 64;

/// The part of the demand that a split serves in time, between zero and one.
pub fn served(
    rates: &ServiceRates,
    settings: &PlannerSettings,
    demand: &DemandRate,
    roles: &RoleCount,
) -> f64 {
    let utilisation = utilisation(rates, settings, demand, roles);
    (settings.comfortable / utilisation).min(1.0)
}

fn utilisation(
    rates: &ServiceRates,
    settings: &PlannerSettings,
    demand: &DemandRate,
    roles: &RoleCount,
) -> f64 {
    let answer = demand.output * (rates.decode_sequence + rates.iteration / settings.typical_batch);
    let prompt = |chunk: f64| demand.prompt * (rates.prefill_token + rates.iteration / chunk);
    let mixed = (prompt(rates.mixed_chunk) + answer) / roles.mixed as f64;
    let pair =
        (prompt(rates.prefill_chunk) / roles.prefill as f64).max(answer / roles.decode as f64);
    match (mixed.is_finite(), pair.is_finite()) {
        (true, true) if mixed + pair > 0.0 => mixed * pair / (mixed + pair),
        (true, _) => mixed,
        (false, true) => pair,
        (false, false) => f64::MAX,
    }
}

/// The planner's memory: the demand of late.
#[derive(Debug, Clone)]
pub struct Planner {
    settings: PlannerSettings,
    observed: VecDeque<(Timestamp, Demand)>,
}

/// Most requests remembered; older ones are dropped first.
const MAX_OBSERVED: usize = 100_000;

impl Planner {
    /// A planner that has seen nothing.
    pub fn new(settings: PlannerSettings) -> Self {
        Self {
            settings,
            observed: VecDeque::new(),
        }
    }

    /// Counts a request that was offered.
    pub fn observe(&mut self, now: Timestamp, demand: Demand) {
        self.observed.push_back((now, demand));
        let start = now - self.settings.long_window;
        while self.observed.len() > MAX_OBSERVED
            || self.observed.front().is_some_and(|(at, _)| *at < start)
        {
            self.observed.pop_front();
        }
    }

    /// The demand over the last `window`.
    pub fn demand(&self, now: Timestamp, window: Duration) -> DemandRate {
        let start = now - window;
        let seconds = window.as_secs_f64();
        let recent = self
            .observed
            .iter()
            .rev()
            .take_while(|(at, _)| *at >= start);
        recent.fold(DemandRate::default(), |rate, (_, demand)| DemandRate {
            prompt: rate.prompt + demand.prompt_tokens / seconds,
            output: rate.output + demand.output_tokens / seconds,
        })
    }

    /// The next engine to change, if a change is worth it.
    pub fn plan(&self, rates: &ServiceRates, state: &PoolState) -> Option<Step> {
        if state.changing {
            return None;
        }
        let short = self.demand(state.now, self.settings.short_window);
        let long = self.demand(state.now, self.settings.long_window);
        let target = best_split(rates, &self.settings, &short, &state.roles)?;
        let believed =
            |demand: &DemandRate| worth(rates, &self.settings, demand, &state.roles, &target) > 0.0;
        if !believed(&short) || !believed(&long) {
            return None;
        }
        first_step(&state.roles, &target)
    }
}

/// Requests gained, in seconds of the whole demand: what `target` serves more over the horizon,
/// less what is lost while its changes are made one after another.
fn worth(
    rates: &ServiceRates,
    settings: &PlannerSettings,
    demand: &DemandRate,
    present: &RoleCount,
    target: &RoleCount,
) -> f64 {
    let served_now = served(rates, settings, demand, present);
    let gain = served(rates, settings, demand, target) - served_now;
    let changes = present.changes_to(target) as f64;
    let away = settings.absence.as_secs_f64() * changes;
    let lost = served_now * away / present.total() as f64;
    gain * (settings.horizon.as_secs_f64() - away).max(0.0) - lost
}

fn best_split(
    rates: &ServiceRates,
    settings: &PlannerSettings,
    demand: &DemandRate,
    present: &RoleCount,
) -> Option<RoleCount> {
    let total = present.total();
    let step = total.div_ceil(GRID).max(1);
    let mut best = None;
    let mut best_worth = 0.0;
    for prefill in (0..total).step_by(step) {
        for decode in (0..=total - prefill).step_by(step) {
            if (prefill == 0) != (decode == 0) {
                continue;
            }
            let target = RoleCount {
                mixed: total - prefill - decode,
                prefill,
                decode,
            };
            let worth = worth(rates, settings, demand, present, &target);
            if worth > best_worth {
                best_worth = worth;
                best = Some(target);
            }
        }
    }
    best
}

fn first_step(present: &RoleCount, target: &RoleCount) -> Option<Step> {
    let excess = |role: &Role| present.of_role(*role).saturating_sub(target.of_role(*role));
    let shortage = |role: &Role| target.of_role(*role).saturating_sub(present.of_role(*role));
    let from = Role::ALL.into_iter().max_by_key(excess)?;
    let to = Role::ALL.into_iter().max_by_key(shortage)?;
    (excess(&from) > 0 && shortage(&to) > 0).then_some(Step { from, to })
}
