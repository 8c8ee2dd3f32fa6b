//! Authority over pools: the lease, the claims made with it, and for each held pool one task that
//! sends orders to its engines.

mod claim_records;
mod claims;
mod engine;
mod loads;
mod manager;
mod observer;
mod pool;
mod shared;

pub use manager::{AuthorityManager, Release};
