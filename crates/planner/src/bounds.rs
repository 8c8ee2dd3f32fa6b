//! Enforces the operators' limits on the number of engines in each role, one change at a time: the first
//! role below its minimum gets an engine from the role that can best spare one.

use tansyhall_core::{EngineName, Role};

/// Limits on the number of engines in one role.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RoleLimit {
    /// The limited role.
    pub role: Role,
    /// Minimum number of engines.
    pub min_engines: u32,
    /// Maximum number of engines.
    pub max_engines: u32,
}

/// One engine as the planner sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineView {
    /// Name of the engine.
    pub name: EngineName,
    /// Current role.
    pub role: Role,
    /// Number of requests in progress.
    pub requests: u32,
}

/// A role change to make.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlannedChange {
    /// Engine to change.
    pub engine: EngineName,
    /// New role.
    pub role: Role,
}

/// Returns the next role change that the limits require, or `None` if they are met or no engine can be spared.
pub fn plan_change_for_limits(
    engines: &[EngineView],
    limits: &[RoleLimit],
) -> Option<PlannedChange> {
    let count = |role: Role| engines.iter().filter(|engine| engine.role == role).count() as u32;
    let limit = |role: Role| {
        let unbounded = RoleLimit {
            role,
            min_engines: 0,
            max_engines: u32::MAX,
        };
        limits
            .iter()
            .find(|limit| limit.role == role)
            .copied()
            .unwrap_or(unbounded)
    };
    let spare_engines = |role: Role| count(role).saturating_sub(limit(role).min_engines);
    let role_below_minimum = Role::ALL
        .into_iter()
        .find(|role| count(*role) < limit(*role).min_engines);
    let target = role_below_minimum.or_else(|| {
        Role::ALL
            .into_iter()
            .find(|role| count(*role) > limit(*role).max_engines)?;
        Role::ALL
            .into_iter()
            .find(|role| count(*role) < limit(*role).max_engines)
    })?;
    let donor = engines
        .iter()
        .filter(|engine| engine.role != target && spare_engines(engine.role) > 0)
        .max_by_key(|engine| {
            let excess = count(engine.role).saturating_sub(limit(engine.role).max_engines);
            (
                excess,
                spare_engines(engine.role),
                std::cmp::Reverse(engine.requests),
            )
        })?;
    Some(PlannedChange {
        engine: donor.name.clone(),
        role: target,
    })
}
