//! Authority over pools, wired: the lease keeper, and the holder of each pool that carries the
//! planner's changes out.

pub mod holder;
pub mod keeper;

pub use keeper::AuthorityKeeper;
