//! Encoding of the messages between nodes. The crates that contain the state machines use only their own typed messages.
//! This crate encodes and decodes those messages, and returns an error for bytes that are not well formed.

#![forbid(unsafe_code)]

mod address;
mod datagram;
mod error;
#[allow(missing_docs)]
#[path = "generated/tansyhall.peers.rs"]
pub mod generated;
mod journal;
mod pull;
mod request;
mod status;

pub use datagram::{decode_datagram, encode_datagram, MAX_DATAGRAM_BYTES};
pub use error::DecodeError;
pub use journal::{
    decode_journal_answer, encode_journal_answer, JournalAnswer, JournalCall, JournalRequest,
};
pub use pull::{decode_pull_answer, encode_pull_answer, PullAnswer};
pub use request::{decode_request, encode_request, PeerCall, PeerRequest};
pub use status::{decode_status_answer, encode_status_answer, StatusAnswer, StatusQuery};
