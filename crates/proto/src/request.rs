//! Requests that one node sends to another over TCP. Each request has one answer.

use prost::Message as _;
use tansyhall_core::{FleetId, RequestId};

use crate::error::DecodeError;
use crate::generated as wire;
use crate::generated::peer_request::Body;
use crate::journal::{self, JournalCall};
use crate::status::{self, StatusQuery};

/// Length of a request identifier, in bytes.
const ID_BYTES: usize = 16;

/// A request between nodes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PeerRequest {
    /// Asks for a configuration newer than the one that the requesting node holds.
    Pull {
        /// Revision of the configuration that the requesting node holds.
        held_revision: u64,
    },
    /// A request to the node's replica of the at-most-once records.
    Journal(JournalCall),
    /// Asks for the status of a caller's request.
    Status(StatusQuery),
}

/// A request, and the fleet of the requesting node.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerCall {
    /// The fleet.
    pub fleet: FleetId,
    /// The request.
    pub request: PeerRequest,
}

/// Encodes a request.
pub fn encode_request(call: &PeerCall) -> Vec<u8> {
    let body = match &call.request {
        PeerRequest::Pull { held_revision } => Body::Pull(wire::PullRequest {
            held_revision: *held_revision,
        }),
        PeerRequest::Journal(call) => Body::Journal(journal::encode_call(call)),
        PeerRequest::Status(query) => Body::Status(status::encode_query(query)),
    };
    let request = wire::PeerRequest {
        fleet: call.fleet.0,
        body: Some(body),
    };
    request.encode_to_vec()
}

/// Decodes a request.
pub fn decode_request(bytes: &[u8]) -> Result<PeerCall, DecodeError> {
    let call = wire::PeerRequest::decode(bytes)?;
    let request = match call.body.ok_or(DecodeError::Missing("body"))? {
        Body::Pull(pull) => PeerRequest::Pull {
            held_revision: pull.held_revision,
        },
        Body::Journal(call) => PeerRequest::Journal(journal::decode_call(call)?),
        Body::Status(query) => PeerRequest::Status(status::decode_query(&query)?),
    };
    Ok(PeerCall {
        fleet: FleetId(call.fleet),
        request,
    })
}

pub(crate) fn encode_id(id: RequestId) -> bytes::Bytes {
    bytes::Bytes::copy_from_slice(&id.0.to_be_bytes())
}

pub(crate) fn decode_id(bytes: &[u8]) -> Result<RequestId, DecodeError> {
    let bytes = <[u8; ID_BYTES]>::try_from(bytes).map_err(|_| DecodeError::Invalid("request"))?;
    Ok(RequestId(u128::from_be_bytes(bytes)))
}
