//! The usual alternative: an even split of the roles with least-load routing, and a planner that moves
//! one engine when the load of one role exceeds that of the other by a factor. Changes are limited to
//! one per cooldown.

use std::time::Duration;

use tansyhall_core::{Role, Timestamp};
use tansyhall_routing::{Choice, EngineEstimate};

use super::simple::{place_by_balance, Balance};
use super::{split_roles, PoolView, RequestInfo, RoleChange, Strategy};

/// Ratio of the load of one role to that of the other that triggers a change.
const IMBALANCE_RATIO: f64 = 2.0;
/// Minimum pending work that triggers a change, in seconds per engine.
const MIN_PENDING_SECONDS: f64 = 0.3;
/// Minimum time between changes.
const COOLDOWN: Duration = Duration::from_secs(8);

/// The reactive threshold planner.
pub struct Reactive {
    prefill_token: f64,
    decode_capacity: f64,
    last_change: Option<Timestamp>,
}

impl Reactive {
    /// Creates a planner for engines with these costs.
    pub fn new(prefill_token: f64, max_sequences: usize) -> Self {
        Self {
            prefill_token,
            decode_capacity: max_sequences as f64,
            last_change: None,
        }
    }

    fn mean_load(&self, engines: &[EngineEstimate], role: Role) -> Option<f64> {
        let engines_in_role: Vec<&EngineEstimate> = engines
            .iter()
            .filter(|engine| engine.role == role)
            .collect();
        if engines_in_role.is_empty() {
            return None;
        }
        let total: f64 = engines_in_role
            .iter()
            .map(|engine| match role {
                Role::Prefill => engine.pending_prefill_tokens * self.prefill_token,
                Role::Decode | Role::Mixed => {
                    (engine.decoding + engine.waiting) / self.decode_capacity
                }
            })
            .sum();
        Some(total / engines_in_role.len() as f64)
    }
}

impl Strategy for Reactive {
    fn name(&self) -> String {
        "reactive".into()
    }

    fn initial_roles(&self, engines: usize) -> Vec<Role> {
        split_roles(engines, engines / 2)
    }

    fn route(&mut self, _info: &RequestInfo, engines: &[EngineEstimate]) -> Choice {
        place_by_balance(Balance::LeastLoad, 0, engines)
    }

    fn plan(&mut self, pool: &PoolView) -> Option<RoleChange> {
        if self
            .last_change
            .is_some_and(|last| pool.now.since(last) < COOLDOWN)
        {
            return None;
        }
        let prefill = self.mean_load(&pool.engines, Role::Prefill)?;
        let decode = self.mean_load(&pool.engines, Role::Decode)?;
        let (from, to) = if prefill > MIN_PENDING_SECONDS && prefill > decode * IMBALANCE_RATIO {
            (Role::Decode, Role::Prefill)
        } else if decode > MIN_PENDING_SECONDS && decode > prefill * IMBALANCE_RATIO {
            (Role::Prefill, Role::Decode)
        } else {
            return None;
        };
        let candidates: Vec<usize> = (0..pool.engines.len())
            .filter(|index| pool.engines[*index].role == from && pool.engines[*index].accepts_work)
            .collect();
        if candidates.len() < 2 {
            return None;
        }
        let load = |index: &usize| pool.engines[*index].decoding + pool.engines[*index].waiting;
        let engine = candidates
            .into_iter()
            .min_by(|left, right| load(left).total_cmp(&load(right)))?;
        self.last_change = Some(pool.now);
        Some(RoleChange { engine, role: to })
    }
}
