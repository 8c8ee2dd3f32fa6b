//! The usual alternative: an even split by least load, and a planner that moves one engine when
//! one side's load passes the other's by a threshold, at most once in a while.

use std::time::Duration;

use tansyhall_core::{Role, Timestamp};
use tansyhall_routing::{Choice, EngineEstimate};

use super::simple::{pick_by_balance, Balance};
use super::{split_roles, PoolFacts, RequestFacts, RoleChange, Strategy};

/// Seconds of work on one side for each on the other that trigger a change.
const IMBALANCE: f64 = 2.0;
/// Pending work below this many seconds an engine triggers nothing.
const FLOOR_SECONDS: f64 = 0.3;
/// Least time between changes.
const COOLDOWN: Duration = Duration::from_secs(8);

/// The reactive threshold planner.
pub struct Reactive {
    prefill_token: f64,
    decode_capacity: f64,
    last_change: Option<Timestamp>,
}

impl Reactive {
    /// A planner for engines with these costs.
    pub fn new(prefill_token: f64, max_sequences: usize) -> Self {
        Self {
            prefill_token,
            decode_capacity: max_sequences as f64,
            last_change: None,
        }
    }

    fn pressure(&self, engines: &[EngineEstimate], role: Role) -> Option<f64> {
        let side: Vec<&EngineEstimate> = engines
            .iter()
            .filter(|engine| engine.role == role)
            .collect();
        if side.is_empty() {
            return None;
        }
        let total: f64 = side
            .iter()
            .map(|engine| match role {
                Role::Prefill => engine.pending_prefill_tokens * self.prefill_token,
                Role::Decode | Role::Mixed => {
                    (engine.decoding + engine.waiting) / self.decode_capacity
                }
            })
            .sum();
        Some(total / side.len() as f64)
    }
}

impl Strategy for Reactive {
    fn name(&self) -> String {
        "reactive".into()
    }

    fn initial_roles(&self, engines: usize) -> Vec<Role> {
        split_roles(engines, engines / 2)
    }

    fn route(&mut self, _facts: &RequestFacts, engines: &[EngineEstimate]) -> Choice {
        pick_by_balance(Balance::LeastLoad, 0, engines)
    }

    fn plan(&mut self, pool: &PoolFacts) -> Option<RoleChange> {
        if self
            .last_change
            .is_some_and(|last| pool.now.since(last) < COOLDOWN)
        {
            return None;
        }
        let prefill = self.pressure(&pool.engines, Role::Prefill)?;
        let decode = self.pressure(&pool.engines, Role::Decode)?;
        let (from, to) = if prefill > FLOOR_SECONDS && prefill > decode * IMBALANCE {
            (Role::Decode, Role::Prefill)
        } else if decode > FLOOR_SECONDS && decode > prefill * IMBALANCE {
            (Role::Prefill, Role::Decode)
        } else {
            return None;
        };
        let donors: Vec<usize> = (0..pool.engines.len())
            .filter(|index| pool.engines[*index].role == from && pool.engines[*index].accepts_work)
            .collect();
        if donors.len() < 2 {
            return None;
        }
        let load = |index: &usize| pool.engines[*index].decoding + pool.engines[*index].waiting;
        let engine = donors
            .into_iter()
            .min_by(|left, right| load(left).total_cmp(&load(right)))?;
        self.last_change = Some(pool.now);
        Some(RoleChange { engine, role: to })
    }
}
