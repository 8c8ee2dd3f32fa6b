//! Authority over pools, wired: the lease, the claims made with it, and for each pool held one task
//! that gives its engines their orders.

mod claim_records;
mod claims;
mod engine;
mod manager;
mod loads;
mod observer;
mod pool;
mod shared;

pub use manager::{AuthorityKeeper, Release};
