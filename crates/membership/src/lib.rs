//! Membership of one zone's nodes: a failure detector in the manner of SWIM, incarnations, leaving
//! marks, and compact digests between zones.
//!
//! Nothing here reads a clock, opens a socket or draws from a random source of its own: the caller
//! hands in the time, the messages and a seed, and carries out the [`Action`]s that come back. The
//! same code runs in a node, in virtual time and in hollow processes.

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
pub use message::{Body, ConfigurationMark, Message, Sender};
pub use settings::MembershipSettings;
