//! The planner: a pure function from a pool's state to the role changes to make.

#![forbid(unsafe_code)]

pub mod bounds;
pub mod predictive;
pub mod rollout;

pub use bounds::{plan_bounds, EngineView, PlannedChange, RoleLimit};
pub use rollout::{plan_loads, DesiredLoads, Load, LoadedEngine, PlannedLoad, RolloutGuard};
