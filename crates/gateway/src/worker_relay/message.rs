//! Messages between a gateway and its relay. Each is preceded by its length.
//!
//! The gateway sends [`OpenRequest`], and the relay answers with [`OpenAnswer`]. After a positive answer, the gateway
//! sends raw bytes for the worker, and the relay sends [`Frame`]s.

use bytes::Bytes;
use prost::{Enumeration, Message};
use tansyhall_forwarding::RelayOutcome;
use tokio_util::codec::LengthDelimitedCodec;

/// Maximum length of a message, above that of a frame with [`MAX_FRAME_BYTES`].
const MAX_MESSAGE_BYTES: usize = 32 << 10;
/// Maximum number of bytes of the worker in one frame.
pub const MAX_FRAME_BYTES: usize = 16 << 10;

/// Asks the relay to connect to a worker.
#[derive(Clone, PartialEq, Message)]
pub struct OpenRequest {
    /// The qualified name of the worker.
    #[prost(string, tag = "1")]
    pub worker: String,
    /// Its address.
    #[prost(string, tag = "2")]
    pub address: String,
}

/// The answer to an [`OpenRequest`].
#[derive(Clone, PartialEq, Message)]
pub struct OpenAnswer {
    /// The result.
    #[prost(enumeration = "OpenResult", tag = "1")]
    pub result: i32,
}

/// The result of an [`OpenRequest`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Enumeration)]
#[repr(i32)]
pub enum OpenResult {
    /// Not a valid result; the default value of the wire format.
    Unspecified = 0,
    /// The relay has connected to the worker.
    Opened = 1,
    /// The worker's address refuses connections.
    WorkerRefused = 2,
    /// The worker was not reached.
    WorkerUnreachable = 3,
    /// The relay knows no such worker at this address.
    UnknownWorker = 4,
    /// The relay is partitioned from its workers.
    RelayPartitioned = 5,
    /// The relay carries its maximum number of connections.
    AtLimit = 6,
    /// The relay is stopping.
    Leaving = 7,
}

impl OpenAnswer {
    /// Creates an answer.
    pub fn new(result: OpenResult) -> Self {
        Self {
            result: result as i32,
        }
    }

    /// Returns the outcome of the attempt. A result that this build does not know counts as unavailable.
    pub fn outcome(&self) -> RelayOutcome {
        match self.result() {
            OpenResult::Unspecified => RelayOutcome::Unavailable,
            OpenResult::Opened => RelayOutcome::Connected,
            OpenResult::WorkerRefused => RelayOutcome::WorkerRefused,
            OpenResult::WorkerUnreachable => RelayOutcome::WorkerUnreachable,
            OpenResult::UnknownWorker => RelayOutcome::UnknownWorker,
            OpenResult::RelayPartitioned => RelayOutcome::RelayPartitioned,
            OpenResult::AtLimit => RelayOutcome::AtLimit,
            OpenResult::Leaving => RelayOutcome::Leaving,
        }
    }
}

/// What the relay sends after it has connected to the worker.
#[derive(Clone, PartialEq, Message)]
pub struct Frame {
    /// The kind of the frame.
    #[prost(enumeration = "FrameKind", tag = "1")]
    pub kind: i32,
    /// The bytes of the worker in a frame of kind [`FrameKind::Bytes`].
    #[prost(bytes = "bytes", tag = "2")]
    pub bytes: Bytes,
}

/// The kind of a [`Frame`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Enumeration)]
#[repr(i32)]
pub enum FrameKind {
    /// Bytes of the worker.
    Bytes = 0,
    /// The worker has closed the connection regularly.
    End = 1,
    /// The connection to the worker broke.
    Reset = 2,
    /// The relay is stopping. The connection must not be reused after the current answer.
    Leaving = 3,
}

impl Frame {
    /// Creates a frame with bytes of the worker.
    pub fn bytes(bytes: Bytes) -> Self {
        Self {
            kind: FrameKind::Bytes as i32,
            bytes,
        }
    }

    /// Creates a frame without bytes.
    pub fn of_kind(kind: FrameKind) -> Self {
        Self {
            kind: kind as i32,
            bytes: Bytes::new(),
        }
    }
}

/// Encodes a message.
pub fn encode(message: &impl Message) -> Bytes {
    message.encode_to_vec().into()
}

/// Returns the codec that precedes each message with its length.
pub fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .max_frame_length(MAX_MESSAGE_BYTES)
        .new_codec()
}
