//! The oracle. It relies on its own numbers of the claims, in the order in which the store accepts them, and on its own
//! counts of requests at engines. It never reads tokens, leases, records or views.

use std::collections::HashMap;

use serde::Serialize;

/// A required property that did not hold.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Violation {
    /// An engine carried out two orders at the same time.
    ConflictingOrders,
    /// A change of role interrupted a request.
    RequestCut,
    /// An order of an earlier claim took effect after the holder of a later claim had reached the engine.
    StaleOrder,
    /// A request that is not repeatable ran twice.
    RanTwice,
    /// A request was reported as not run to its caller, although it had run.
    FalseNotRun,
    /// A node replaced the configuration in force with an older one.
    ConfigurationReverted,
    /// A configuration was not in force at every node in time, although no fault prevented it.
    ConfigurationLate,
}

#[derive(Debug, Default)]
struct EngineView {
    newest_claim: u64,
    change_in_force: bool,
    requests: u32,
}

/// Counts of what happened, which show that an episode without a violation exercised the mechanisms.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct Activity {
    /// Orders that took effect.
    pub orders: u64,
    /// Changes of role that were completed.
    pub role_changes: u64,
    /// Runs of requests that are not repeatable.
    pub slips_run: u64,
    /// Reports to callers that a request was not run.
    pub told_not_run: u64,
    /// Times that any node put a configuration in force.
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

/// The state of the oracle.
#[derive(Debug, Default)]
pub struct Oracle {
    activity: Activity,
    engines: HashMap<usize, EngineView>,
    runs: HashMap<u64, u32>,
    in_force: HashMap<(usize, u64), u64>,
    violations: Vec<Violation>,
}

impl Oracle {
    /// Returns the violations found so far.
    pub fn violations(&self) -> &[Violation] {
        &self.violations
    }

    /// Returns counts of what happened so far.
    pub fn activity(&self) -> Activity {
        self.activity
    }

    /// Records that the holder of a claim has reached an engine.
    pub fn record_claim_reached(&mut self, engine: usize, claim: u64) {
        let view = self.engines.entry(engine).or_default();
        view.newest_claim = view.newest_claim.max(claim);
    }

    /// Records that an order of a claim took effect at an engine.
    pub fn record_order_effect(&mut self, engine: usize, claim: u64) {
        self.activity.orders += 1;
        let view = self.engines.entry(engine).or_default();
        if claim < view.newest_claim {
            self.violations.push(Violation::StaleOrder);
        }
        view.newest_claim = view.newest_claim.max(claim);
    }

    /// Records that a change of role starts at an engine.
    pub fn record_change_start(&mut self, engine: usize) {
        let view = self.engines.entry(engine).or_default();
        if view.change_in_force {
            self.violations.push(Violation::ConflictingOrders);
        }
        if view.requests > 0 {
            self.violations.push(Violation::RequestCut);
        }
        view.change_in_force = true;
    }

    /// Records that a change of role ends at an engine.
    pub fn record_change_end(&mut self, engine: usize) {
        let view = self.engines.entry(engine).or_default();
        self.activity.role_changes += u64::from(view.change_in_force);
        if view.requests > 0 {
            self.violations.push(Violation::RequestCut);
        }
        view.change_in_force = false;
    }

    /// Records that a request starts at an engine.
    pub fn record_request_start(&mut self, engine: usize) {
        self.engines.entry(engine).or_default().requests += 1;
    }

    /// Records that a request ends at an engine.
    pub fn record_request_end(&mut self, engine: usize) {
        let view = self.engines.entry(engine).or_default();
        view.requests = view.requests.saturating_sub(1);
    }

    /// Records that an engine crashes. The loss of its requests and its change is not a violation, because no
    /// planned change caused it.
    pub fn record_engine_crash(&mut self, engine: usize) {
        let view = self.engines.entry(engine).or_default();
        view.requests = 0;
        view.change_in_force = false;
    }

    /// Records that a request that is not repeatable runs.
    pub fn record_caller_request_run(&mut self, request: u64) {
        let runs = self.runs.entry(request).or_default();
        *runs += 1;
        self.activity.slips_run += 1;
        if *runs > 1 {
            self.violations.push(Violation::RanTwice);
        }
    }

    /// Records that a request is reported as not run to its caller.
    pub fn record_not_run_report(&mut self, request: u64) {
        self.activity.told_not_run += 1;
        if self.runs.get(&request).is_some_and(|runs| *runs > 0) {
            self.violations.push(Violation::FalseNotRun);
        }
    }

    /// Records that one incarnation of a node puts a configuration in force.
    pub fn record_configuration_in_force(&mut self, node: usize, incarnation: u64, revision: u64) {
        self.activity.configurations += 1;
        let newest = self.in_force.entry((node, incarnation)).or_default();
        if revision < *newest {
            self.violations.push(Violation::ConfigurationReverted);
        }
        *newest = revision.max(*newest);
    }

    /// Records that a node still has an older configuration in force, although no fault has prevented the newest one for
    /// long enough.
    pub fn record_late_configuration(&mut self) {
        self.violations.push(Violation::ConfigurationLate);
    }
}
