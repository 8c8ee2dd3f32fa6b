//! What one node asks of another over TCP: one request, one answer.

use prost::Message as _;
use tansyhall_core::RequestId;

use crate::error::DecodeError;
use crate::generated as wire;
use crate::generated::peer_request::Body;
use crate::journal::{self, JournalRequest};
use crate::status::{self, StatusQuery};

/// Bytes of a request's identifier.
const ID_BYTES: usize = 16;

/// A request between nodes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PeerRequest {
    /// What is newer than the configuration that the asking node holds.
    Pull {
        /// Revision of the configuration held.
        held_revision: u64,
    },
    /// A request to the replica of the at-most-once records.
    Journal(JournalRequest),
    /// How a caller's request stands.
    Status(StatusQuery),
}

/// Encodes a request.
pub fn encode_request(request: &PeerRequest) -> Vec<u8> {
    let body = match request {
        PeerRequest::Pull { held_revision } => Body::Pull(wire::PullRequest {
            held_revision: *held_revision,
        }),
        PeerRequest::Journal(request) => Body::Journal(journal::encode_request(request)),
        PeerRequest::Status(query) => Body::Status(status::encode_query(query)),
    };
    wire::PeerRequest { body: Some(body) }.encode_to_vec()
}

/// Decodes a request.
pub fn decode_request(bytes: &[u8]) -> Result<PeerRequest, DecodeError> {
    let request = wire::PeerRequest::decode(bytes)?;
    Ok(match request.body.ok_or(DecodeError::Missing("body"))? {
        Body::Pull(pull) => PeerRequest::Pull {
            held_revision: pull.held_revision,
        },
        Body::Journal(request) => PeerRequest::Journal(journal::decode_request(request)?),
        Body::Status(query) => PeerRequest::Status(status::decode_query(&query)?),
    })
}

pub(crate) fn encode_id(id: RequestId) -> bytes::Bytes {
    bytes::Bytes::copy_from_slice(&id.0.to_be_bytes())
}

pub(crate) fn decode_id(bytes: &[u8]) -> Result<RequestId, DecodeError> {
    let bytes = <[u8; ID_BYTES]>::try_from(bytes).map_err(|_| DecodeError::Invalid("request"))?;
    Ok(RequestId(u128::from_be_bytes(bytes)))
}
