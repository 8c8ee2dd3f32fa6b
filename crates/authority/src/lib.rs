//! Authority over pools: who may order engines, and how a role change is carried out without
//! cutting a request short. State machines only; the node crate performs their actions.

#![forbid(unsafe_code)]

pub mod change;
pub mod lease;

pub use change::{ChangeAction, ChangeEvent, RoleChange};
pub use lease::LeaseClock;
