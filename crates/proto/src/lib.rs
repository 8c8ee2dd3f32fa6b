//! The encoding of messages between nodes. Decision crates know only their own typed messages;
//! this crate turns them into bytes and back, and refuses what is not well formed.

#![forbid(unsafe_code)]

mod address;
mod datagram;
mod error;
#[allow(missing_docs)]
#[path = "generated/tansyhall.peers.rs"]
pub mod generated;
mod pull;

pub use datagram::{decode_datagram, encode_datagram, MAX_DATAGRAM_BYTES};
pub use error::DecodeError;
pub use pull::{
    decode_pull_answer, decode_pull_request, encode_pull_answer, encode_pull_request, PullAnswer,
};
