//! The predictive planner, which decides how a pool's engines are split into roles.
//!
//! Demand is measured over two sliding windows: a short one that detects a shift early and a long one
//! that does not react to bursts. The planner acts on a shift when both windows show that the current
//! split is insufficient. For a split into `m` mixed, `p` prefill and `d` decode engines it predicts the
//! utilisation that the demand would cause:
//!
//! - on a mixed engine, each prompt token costs its own time plus its share of the iteration of a small
//!   chunk, and each answer token costs its own time plus its share of the iteration of a batch;
//! - on a prefill engine, prompt tokens cost the same with large chunks; a decode engine spends time on
//!   answers only;
//! - requests are divided between the mixed engines and the prefill-decode pairs so that both sides are
//!   equally loaded.
//!
//! Where the utilisation is above the sustainable one, the fraction of the demand that is served is the
//! sustainable utilisation divided by the predicted one. A split is chosen when the additional requests
//! that it serves over the horizon outweigh those lost while the changing engine is unavailable; among
//! equal splits, the one with the fewest changes wins. One engine changes at a time, and the next change is
//! planned from the demand observed by then.

use std::collections::VecDeque;

use tansyhall_core::{Duration, Role, Timestamp};
use tansyhall_routing::ServiceRates;

/// The work that one request asks for.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Demand {
    /// Number of tokens in the prompt.
    pub prompt_tokens: f64,
    /// Expected number of tokens in the answer.
    pub output_tokens: f64,
}

/// Number of engines in each role.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct RoleCount {
    /// Number of mixed engines.
    pub mixed: usize,
    /// Number of prefill engines.
    pub prefill: usize,
    /// Number of decode engines.
    pub decode: usize,
}

impl RoleCount {
    /// Counts the engines in each role.
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

    /// Returns how many engines must change their role to get from `self` to `other`.
    fn changes_to(&self, other: &RoleCount) -> usize {
        let gained = |role| other.of_role(role).saturating_sub(self.of_role(role));
        Role::ALL.into_iter().map(gained).sum()
    }
}

/// Settings of the planner.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PlannerSettings {
    /// Length of the window that detects a shift early.
    pub short_window: Duration,
    /// Length of the window that does not react to bursts.
    pub long_window: Duration,
    /// How long the current mix of requests is expected to last.
    pub horizon: Duration,
    /// How long a role change makes an engine unavailable, including the time to drain it.
    pub change_duration: Duration,
    /// Number of answers in a typical batch.
    pub typical_batch: f64,
    /// Utilisation up to which a split is assumed to serve all requests in time. It is below one because
    /// queues grow well before full utilisation.
    pub sustainable_utilisation: f64,
}

impl Default for PlannerSettings {
    fn default() -> Self {
        Self {
            short_window: Duration::from_secs(4),
            long_window: Duration::from_secs(12),
            horizon: Duration::from_secs(30),
            change_duration: Duration::from_secs(6),
            typical_batch: 32.0,
            sustainable_utilisation: 0.85,
        }
    }
}

/// The pool as the planner sees it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PoolState {
    /// Current time.
    pub now: Timestamp,
    /// Number of serving engines in each role.
    pub roles: RoleCount,
    /// Whether an engine is changing its role or draining.
    pub changing: bool,
}

/// A change of one engine from one role to another.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RoleTransition {
    /// Current role of the engine.
    pub from: Role,
    /// New role of the engine.
    pub to: Role,
}

/// Demand in tokens per second.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct DemandRate {
    /// Prompt tokens per second.
    pub prompt: f64,
    /// Answer tokens per second.
    pub output: f64,
}

/// Approximate number of splits examined along each axis; bounds the cost of planning for large pools.
const MAX_SPLITS_PER_AXIS: usize = 64;

/// Returns the fraction of the demand that a split serves in time, between zero and one.
pub fn served_fraction(
    rates: &ServiceRates,
    settings: &PlannerSettings,
    demand: &DemandRate,
    roles: &RoleCount,
) -> f64 {
    let utilisation = utilisation(rates, settings, demand, roles);
    (settings.sustainable_utilisation / utilisation).min(1.0)
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

/// Records recent demand and plans role changes from it.
#[derive(Debug, Clone)]
pub struct Planner {
    settings: PlannerSettings,
    observed: VecDeque<(Timestamp, Demand)>,
}

/// Maximum number of recorded requests; the oldest are dropped first.
const MAX_OBSERVED_REQUESTS: usize = 100_000;

impl Planner {
    /// Returns a planner without recorded demand.
    pub fn new(settings: PlannerSettings) -> Self {
        Self {
            settings,
            observed: VecDeque::new(),
        }
    }

    /// Records a request that was offered to the pool.
    pub fn observe(&mut self, now: Timestamp, demand: Demand) {
        self.observed.push_back((now, demand));
        let start = now - self.settings.long_window;
        while self.observed.len() > MAX_OBSERVED_REQUESTS
            || self.observed.front().is_some_and(|(at, _)| *at < start)
        {
            self.observed.pop_front();
        }
    }

    /// Returns the mean demand over the last `window`.
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

    /// Returns the next role change, or `None` if no change is worthwhile or one is already in progress.
    pub fn plan(&self, rates: &ServiceRates, state: &PoolState) -> Option<RoleTransition> {
        if state.changing {
            return None;
        }
        let short = self.demand(state.now, self.settings.short_window);
        let long = self.demand(state.now, self.settings.long_window);
        let target = best_split(rates, &self.settings, &short, &state.roles)?;
        let is_worthwhile = |demand: &DemandRate| {
            net_gain(rates, &self.settings, demand, &state.roles, &target) > 0.0
        };
        if !is_worthwhile(&short) || !is_worthwhile(&long) {
            return None;
        }
        next_change(&state.roles, &target)
    }
}

/// Returns the net gain of changing to `target`, in seconds of the whole demand: what `target` serves in
/// addition over the horizon, less what is lost while the changes are made one after another.
fn net_gain(
    rates: &ServiceRates,
    settings: &PlannerSettings,
    demand: &DemandRate,
    current: &RoleCount,
    target: &RoleCount,
) -> f64 {
    let served_before_change = served_fraction(rates, settings, demand, current);
    let gain = served_fraction(rates, settings, demand, target) - served_before_change;
    let changes = current.changes_to(target) as f64;
    let unavailable = settings.change_duration.as_secs_f64() * changes;
    let lost = served_before_change * unavailable / current.total() as f64;
    gain * (settings.horizon.as_secs_f64() - unavailable).max(0.0) - lost
}

fn best_split(
    rates: &ServiceRates,
    settings: &PlannerSettings,
    demand: &DemandRate,
    current: &RoleCount,
) -> Option<RoleCount> {
    let total = current.total();
    let stride = total.div_ceil(MAX_SPLITS_PER_AXIS).max(1);
    let mut best = None;
    let mut best_gain = 0.0;
    for prefill in (0..total).step_by(stride) {
        for decode in (0..=total - prefill).step_by(stride) {
            if (prefill == 0) != (decode == 0) {
                continue;
            }
            let target = RoleCount {
                mixed: total - prefill - decode,
                prefill,
                decode,
            };
            let net_gain = net_gain(rates, settings, demand, current, &target);
            if net_gain > best_gain {
                best_gain = net_gain;
                best = Some(target);
            }
        }
    }
    best
}

fn next_change(current: &RoleCount, target: &RoleCount) -> Option<RoleTransition> {
    let excess = |role: &Role| current.of_role(*role).saturating_sub(target.of_role(*role));
    let shortage = |role: &Role| target.of_role(*role).saturating_sub(current.of_role(*role));
    let from = Role::ALL.into_iter().max_by_key(excess)?;
    let to = Role::ALL.into_iter().max_by_key(shortage)?;
    (excess(&from) > 0 && shortage(&to) > 0).then_some(RoleTransition { from, to })
}
