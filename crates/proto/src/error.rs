//! The reasons why a message cannot be decoded.

/// The bytes are not a valid message of this protocol.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum DecodeError {
    /// The bytes are not an encoded message of the expected type.
    #[error("malformed message: {0}")]
    Malformed(#[from] prost::DecodeError),
    /// A required field is missing, or an enumerated value is unknown.
    #[error("field {0} is missing")]
    Missing(&'static str),
    /// An identifier does not have 16 bytes, an enumerated value is unknown, or a view does not have three members.
    #[error("field {0} is not well formed")]
    Invalid(&'static str),
    /// An IP address has neither 4 nor 16 bytes, or a port is above 65535.
    #[error("invalid socket address")]
    Address,
    /// A name is not valid for a node, zone or engine.
    #[error("invalid name: {0}")]
    Name(#[from] tansyhall_core::id::NameError),
    /// A list is longer than the maximum that a sender writes.
    #[error("too many {0}")]
    TooMany(&'static str),
}
