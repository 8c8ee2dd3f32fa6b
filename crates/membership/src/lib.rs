//! Membership of the nodes of one zone: a SWIM failure detector, incarnations, leaving marks, and
//! compact digests that zones exchange.
//!
//! This crate reads no clock, opens no socket and has no random source of its own. The caller
//! passes the time, the received messages and a seed, and executes the returned [`Action`]s. The
//! same code therefore runs in a node, in simulations in virtual time and in processes that run
//! only part of a node.

#![forbid(unsafe_code)]

pub mod backends;
mod broadcast;
mod detect;
pub mod digest;
pub mod member;
pub mod membership;
pub mod message;
mod probe;
mod receive;
mod repair;
pub mod settings;
mod table;
mod zones;

pub use backends::{BackendMark, KnownBackend};
pub use digest::{Contact, LoadSummary, ZoneDigest};
pub use member::{MemberAddresses, MemberRecord, MemberState};
pub use membership::{Action, KnownMachine, Membership, Statistics};
pub use message::{Body, ConfigurationStatus, Message, Sender};
pub use settings::MembershipSettings;
