//! Authority over pools: decides which node may send orders to engines, and carries out planned
//! changes without interrupting requests. The crate contains only state machines: each takes the
//! time and an event and returns an action. The caller, such as the node crate, performs the actions.
//!
//! `spec/authority.pml` is a model of the protocol that is checked exhaustively. Each module names
//! the part of the model that it implements.

#![forbid(unsafe_code)]

pub mod claim;
pub mod fence;
pub mod lease;
pub mod orders;

pub use claim::{ClaimAction, ClaimEvent, ClaimRecord, PoolClaim};
pub use fence::Epoch;
pub use lease::{Lease, LeaseAction, LeaseEvent, LeaseHolder, LeaseTiming, LeaseValidity};
pub use orders::{EngineOrders, Goal, OrderEvent, OrderStep, Outcome};
