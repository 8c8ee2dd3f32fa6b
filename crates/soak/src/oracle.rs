//! The judge. It numbers claims itself as the store takes them, counts requests at engines itself,
//! and never looks at tokens, leases, records or views.

use std::collections::HashMap;

use serde::Serialize;

/// A point of the users' list that did not hold.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Violation {
    /// An engine held two orders at once.
    ConflictingOrders,
    /// A change of role cut a request.
    RequestCut,
    /// An order of an earlier claim took effect after a later claim had reached the engine.
    StaleOrder,
    /// A request that is not repeatable ran twice.
    RanTwice,
    /// A caller was told that a request was not run, though it was.
    FalseNotRun,
    /// A node put an older configuration in force after a newer one.
    ConfigurationReverted,
    /// A configuration did not come into force everywhere in time, with nothing in its way.
    ConfigurationLate,
}

#[derive(Debug, Default)]
struct EngineView {
    newest_claim: u64,
    change_in_force: bool,
    requests: u32,
}

/// How much happened, to show that an episode without a violation was not an idle one.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct Activity {
    /// Orders that took effect.
    pub orders: u64,
    /// Changes of role carried out to their end.
    pub role_changes: u64,
    /// Requests that are not repeatable and ran.
    pub slips_run: u64,
    /// Callers told that a request was not run.
    pub told_not_run: u64,
    /// Configurations put in force, at any node.
    pub configurations: u64,
}

impl std::ops::AddAssign for Activity {
    fn add_assign(&mut self, other: Self) {
        self.orders += other.orders;
        self.role_changes += other.role_changes;
        self.slips_run += other.slips_run;
        self.told_not_run += other.told_not_run;
        self.configurations += other.configurations;
    }
}

/// What the judge knows.
#[derive(Debug, Default)]
pub struct Oracle {
    activity: Activity,
    engines: HashMap<usize, EngineView>,
    runs: HashMap<u64, u32>,
    in_force: HashMap<(usize, u64), u64>,
    violations: Vec<Violation>,
}

impl Oracle {
    /// What did not hold.
    pub fn violations(&self) -> &[Violation] {
        &self.violations
    }

    /// What happened.
    pub fn activity(&self) -> Activity {
        self.activity
    }

    /// A claim's holder has reached an engine.
    pub fn claim_reached(&mut self, engine: usize, claim: u64) {
        let view = self.engines.entry(engine).or_default();
        view.newest_claim = view.newest_claim.max(claim);
    }

    /// An order of this claim took effect at an engine.
    pub fn order_took_effect(&mut self, engine: usize, claim: u64) {
        self.activity.orders += 1;
        let view = self.engines.entry(engine).or_default();
        if claim < view.newest_claim {
            self.violations.push(Violation::StaleOrder);
        }
        view.newest_claim = view.newest_claim.max(claim);
    }

    /// A change of role begins.
    pub fn change_begins(&mut self, engine: usize) {
        let view = self.engines.entry(engine).or_default();
        if view.change_in_force {
            self.violations.push(Violation::ConflictingOrders);
        }
        if view.requests > 0 {
            self.violations.push(Violation::RequestCut);
        }
        view.change_in_force = true;
    }

    /// A change of role ends.
    pub fn change_ends(&mut self, engine: usize) {
        let view = self.engines.entry(engine).or_default();
        self.activity.role_changes += u64::from(view.change_in_force);
        if view.requests > 0 {
            self.violations.push(Violation::RequestCut);
        }
        view.change_in_force = false;
    }

    /// A request begins at an engine.
    pub fn request_begins(&mut self, engine: usize) {
        self.engines.entry(engine).or_default().requests += 1;
    }

    /// A request ends at an engine.
    pub fn request_ends(&mut self, engine: usize) {
        let view = self.engines.entry(engine).or_default();
        view.requests = view.requests.saturating_sub(1);
    }

    /// An engine crashes: its requests and its change are gone, which no plan caused.
    pub fn engine_crashes(&mut self, engine: usize) {
        let view = self.engines.entry(engine).or_default();
        view.requests = 0;
        view.change_in_force = false;
    }

    /// A request that is not repeatable runs.
    pub fn slip_runs(&mut self, slip: u64) {
        let runs = self.runs.entry(slip).or_default();
        *runs += 1;
        self.activity.slips_run += 1;
        if *runs > 1 {
            self.violations.push(Violation::RanTwice);
        }
    }

    /// A caller is told that a request was not run.
    pub fn told_not_run(&mut self, slip: u64) {
        self.activity.told_not_run += 1;
        if self.runs.get(&slip).is_some_and(|runs| *runs > 0) {
            self.violations.push(Violation::FalseNotRun);
        }
    }

    /// One run of a node puts a configuration in force.
    pub fn configuration_in_force(&mut self, node: usize, run: u64, revision: u64) {
        self.activity.configurations += 1;
        let newest = self.in_force.entry((node, run)).or_default();
        if revision < *newest {
            self.violations.push(Violation::ConfigurationReverted);
        }
        *newest = revision.max(*newest);
    }

    /// Nothing has been in the way of a configuration for long enough, and a node still has an
    /// older one in force.
    pub fn configuration_late(&mut self) {
        self.violations.push(Violation::ConfigurationLate);
    }
}
