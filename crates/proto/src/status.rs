//! Queries for the status of a caller's request that another node serves, and their answers.

use bytes::Bytes;
use prost::Message as _;
use tansyhall_core::RequestId;

use crate::error::DecodeError;
use crate::generated as wire;
use crate::request::{decode_id, encode_id};

/// A query for the status of a caller's request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StatusQuery {
    /// The request.
    pub request: RequestId,
    /// Whether the queried node may forward the query to a member of its own zone.
    pub may_forward: bool,
}

/// The answer to a status query.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StatusAnswer {
    /// The queried node knows no such request.
    Unknown,
    /// The status resource, in JSON.
    Known(Bytes),
    /// The node that served the request does not answer.
    Unreachable,
}

/// Encodes the answer to a status query.
pub fn encode_status_answer(answer: &StatusAnswer) -> Vec<u8> {
    let (outcome, resource) = match answer {
        StatusAnswer::Unknown => (wire::StatusOutcome::Unknown, Bytes::new()),
        StatusAnswer::Known(resource) => (wire::StatusOutcome::Known, resource.clone()),
        StatusAnswer::Unreachable => (wire::StatusOutcome::Unreachable, Bytes::new()),
    };
    let answer = wire::StatusAnswer {
        outcome: outcome.into(),
        resource,
    };
    answer.encode_to_vec()
}

/// Decodes the answer to a status query.
pub fn decode_status_answer(bytes: &[u8]) -> Result<StatusAnswer, DecodeError> {
    let answer = wire::StatusAnswer::decode(bytes)?;
    let outcome = wire::StatusOutcome::try_from(answer.outcome);
    Ok(
        match outcome.map_err(|_| DecodeError::Invalid("outcome"))? {
            wire::StatusOutcome::Unknown => StatusAnswer::Unknown,
            wire::StatusOutcome::Known => StatusAnswer::Known(answer.resource),
            wire::StatusOutcome::Unreachable => StatusAnswer::Unreachable,
        },
    )
}

pub(crate) fn encode_query(query: &StatusQuery) -> wire::StatusRequest {
    wire::StatusRequest {
        request: encode_id(query.request),
        may_forward: query.may_forward,
    }
}

pub(crate) fn decode_query(query: &wire::StatusRequest) -> Result<StatusQuery, DecodeError> {
    Ok(StatusQuery {
        request: decode_id(&query.request)?,
        may_forward: query.may_forward,
    })
}
