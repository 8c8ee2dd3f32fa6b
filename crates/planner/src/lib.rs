//! Plans role changes, loads and numbers of workers. Planning neither performs I/O nor reads a clock: callers
//! pass the observed state and carry out the returned plan.

#![forbid(unsafe_code)]

pub mod bounds;
pub mod change_allowance;
pub mod peak;
pub mod predictive;
pub mod role_balance;
pub mod role_need;
pub mod rollout;
pub mod worker_balance;

pub use bounds::{plan_change_for_limits, EngineView, PlannedChange, RoleLimit};
pub use change_allowance::ChangeAllowance;
pub use peak::RecentPeak;
pub use role_balance::{balance_roles, BalancedEngine, RoleChange};
pub use role_need::{ExpectedDemand, RolePeakTracker, RolePeaks, UrgentFractions};
pub use rollout::{plan_loads, DesiredLoads, Load, LoadedEngine, PlannedLoad, RolloutGuard};
pub use worker_balance::{
    affordable_workers, balance_workers, WorkerLimits, WorkerTargets, ZoneGoal, ZoneWorkers,
};
