//! Keeps the operators' bounds on roles. One change at a time: the first role that is short of its
//! least number takes an engine from the role that can best spare one.

use tansyhall_core::{EngineName, Role};

/// Bounds on one role.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RoleLimit {
    /// The role.
    pub role: Role,
    /// At least this many engines.
    pub least: u32,
    /// At most this many engines.
    pub most: u32,
}

/// One engine as the planner sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineView {
    /// The engine.
    pub name: EngineName,
    /// Its role.
    pub role: Role,
    /// Requests in progress.
    pub requests: u32,
}

/// A role change to make.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlannedChange {
    /// The engine.
    pub engine: EngineName,
    /// Its new role.
    pub role: Role,
}

/// The next change that the bounds call for.
pub fn plan_bounds(engines: &[EngineView], limits: &[RoleLimit]) -> Option<PlannedChange> {
    let count = |role: Role| engines.iter().filter(|engine| engine.role == role).count() as u32;
    let limit = |role: Role| {
        let unbounded = RoleLimit {
            role,
            least: 0,
            most: u32::MAX,
        };
        limits
            .iter()
            .find(|limit| limit.role == role)
            .copied()
            .unwrap_or(unbounded)
    };
    let spare = |role: Role| count(role).saturating_sub(limit(role).least);
    let short = Role::ALL
        .into_iter()
        .find(|role| count(*role) < limit(*role).least);
    let target = short.or_else(|| {
        Role::ALL
            .into_iter()
            .find(|role| count(*role) > limit(*role).most)?;
        Role::ALL
            .into_iter()
            .find(|role| count(*role) < limit(*role).most)
    })?;
    let donor = engines
        .iter()
        .filter(|engine| engine.role != target && spare(engine.role) > 0)
        .max_by_key(|engine| {
            let over = count(engine.role).saturating_sub(limit(engine.role).most);
            (over, spare(engine.role), std::cmp::Reverse(engine.requests))
        })?;
    Some(PlannedChange {
        engine: donor.name.clone(),
        role: target,
    })
}
