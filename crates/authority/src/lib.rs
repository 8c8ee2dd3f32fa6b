//! Authority over pools: who may order engines, and how a planned change is carried out without
//! cutting a request short. State machines only: each takes the time and an event and returns an
//! action; the node crate performs the actions.
//!
//! The protocol is checked exhaustively in `spec/authority.pml`; each module names the process of
//! the model that it implements.

#![forbid(unsafe_code)]

pub mod claim;
pub mod fence;
pub mod lease;
pub mod orders;

pub use claim::{ClaimAction, ClaimEvent, ClaimRecord, PoolClaim};
pub use fence::Epoch;
pub use lease::{Lease, LeaseAction, LeaseClock, LeaseEvent, LeaseKeeper, LeaseTiming};
pub use orders::{EngineOrders, Goal, OrderEvent, OrderStep, Outcome};
