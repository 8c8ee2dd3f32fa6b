//! Why a message was refused.

/// Bytes that are no message of this protocol.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum DecodeError {
    /// The bytes are no such message.
    #[error("the bytes are no message: {0}")]
    Malformed(#[from] prost::DecodeError),
    /// A field that every message has is missing.
    #[error("the field {0} is missing")]
    Missing(&'static str),
    /// An identifier has not 16 bytes, or an enumerated value is not one of those defined.
    #[error("the field {0} is not well formed")]
    Invalid(&'static str),
    /// An address has neither 4 nor 16 bytes, or a port above 65535.
    #[error("an address is not well formed")]
    Address,
    /// A name is not one that a node or zone can have.
    #[error("a name is not well formed: {0}")]
    Name(#[from] tansyhall_core::id::NameError),
    /// A list is longer than any sender makes it.
    #[error("there are too many {0}")]
    TooMany(&'static str),
}
