//! The request-status resource: how a request stands, and the kept answer of one that the caller
//! did not wait for. Identifiers are random and known to the caller alone.

use actix_web::http::StatusCode;
use actix_web::{web, HttpResponse};
use tansyhall_core::{RequestId, Verdict};

use super::failure::{answer_with, Failure};
use super::requests::{RequestRecord, RequestStatus};
use crate::state::Node;

/// Answers how a request stands.
pub async fn read(node: web::Data<Node>, path: web::Path<String>) -> HttpResponse {
    let Some(id) = RequestId::parse(&path) else {
        return unknown(RequestId(0));
    };
    let here = node.callers.requests.get(id);
    let status = match here {
        Some(record) => Some(record.status(node.clock.now())),
        None => ask_peers(&node, id).await,
    };
    match status {
        Some(status) => answer_with(StatusCode::OK, id, Verdict::Completed).json(status),
        None => unknown(id),
    }
}

/// Answers with a request's kept answer, or with how it failed.
pub async fn read_answer(node: web::Data<Node>, path: web::Path<String>) -> HttpResponse {
    let id = RequestId::parse(&path);
    let record = id.and_then(|id| node.callers.requests.get(id));
    match record {
        Some(record) => kept_answer(&node, &record),
        None => unknown(id.unwrap_or(RequestId(0))),
    }
}

fn kept_answer(node: &Node, record: &RequestRecord) -> HttpResponse {
    if let Some(body) = record.answer() {
        return answer_with(StatusCode::OK, record.id, Verdict::Completed)
            .content_type("application/json")
            .body(body);
    }
    if let Some(failure) = record.failure() {
        return failure.response(record.id);
    }
    let status = record.status(node.clock.now());
    answer_with(StatusCode::ACCEPTED, record.id, Verdict::MayHaveRun).json(status)
}

/// Asks other nodes about a request that this one does not know. No node is asked yet: a request's
/// status is known at the node that served it.
async fn ask_peers(_node: &Node, _id: RequestId) -> Option<RequestStatus> {
    None
}

fn unknown(id: RequestId) -> HttpResponse {
    let message = "this node knows no such request, or no longer";
    Failure::invalid(StatusCode::NOT_FOUND, message).response(id)
}
