//! Tenants' limits as shares that move between nodes by demand.
//!
//! Every node has a base share of each limit: the limit divided by the number of nodes in the fleet.
//! It lends most of its base share, for a bounded time, to the owner of the limit's group. The owner
//! grants the lent shares to the nodes that request them. A grant always ends before the loans
//! that back it, and a base share is never lent to two owners at once. The usable shares
//! therefore never add up to more than the limit, even if the nodes disagree on which nodes are alive
//! and which node owns a group.
//!
//! The crate consists of deterministic state machines: the caller passes the time with each event,
//! and nothing here reads a clock, a socket or a random source.

#![forbid(unsafe_code)]

pub mod division;
pub mod holder;
pub mod key;
pub mod message;
pub mod node;
pub mod owner;
pub mod settings;

pub use division::Division;
pub use key::{Amount, GroupId, LimitKey, LimitKind};
pub use message::{Grant, KeyAmount, Message, ShareRequest};
pub use node::{Action, Event, FleetView, ShareNode};
pub use owner::max_min_fair_share;
pub use settings::ShareSettings;
