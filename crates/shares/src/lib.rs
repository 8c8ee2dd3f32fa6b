//! Tenants' limits as shares that move between nodes by demand.
//!
//! Every node has a home share of each limit: the limit divided by the nodes of the fleet. It
//! lends most of it, for a bounded time, to the owner of the limit's group, and the owner grants
//! what was lent to it to the nodes that ask. A grant always ends before the loans that back it,
//! and a home share is never lent to two owners at once, so that the usable shares never add up to
//! more than the limit, whatever each node believes about who is alive and who owns what.
//!
//! Everything is a deterministic state machine: events carry the time, and nothing here reads a
//! clock, a socket or a random source.

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
pub use message::{Ask, Grant, KeyAmount, Message};
pub use node::{Action, Event, ShareNode, View};
pub use owner::fair_part;
pub use settings::ShareSettings;
