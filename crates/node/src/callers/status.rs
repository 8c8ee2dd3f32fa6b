//! The request-status resource: how a request stands, and the kept answer of one that the caller
//! did not wait for. Identifiers are random and known to the caller alone.

use actix_web::http::StatusCode;
use actix_web::{web, HttpResponse};
use tansyhall_core::{RequestId, Verdict};
use tansyhall_proto::StatusAnswer;

use super::failure::{answer_with, Failure};
use super::origin::ask_peers;
use super::requests::RequestRecord;
use crate::state::Node;

/// Answers how a request stands.
pub async fn read(node: web::Data<Node>, path: web::Path<String>) -> HttpResponse {
    let Some(id) = RequestId::parse(&path) else {
        return unknown(RequestId(0));
    };
    if let Some(record) = node.callers.requests.get(id) {
        let status = record.status(node.clock.now());
        return answer_with(StatusCode::OK, id, Verdict::Completed).json(status);
    }
    match ask_peers(&node, id).await {
        StatusAnswer::Known(resource) => answer_with(StatusCode::OK, id, Verdict::Completed)
            .content_type("application/json")
            .body(resource),
        StatusAnswer::Unreachable => unreachable_server(id),
        StatusAnswer::Unknown => unknown(id),
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

/// The node that knows how the request stands does not answer this one.
fn unreachable_server(id: RequestId) -> HttpResponse {
    let message = "the node that served this request cannot be reached; the request may have run";
    Failure::may_have_run(StatusCode::SERVICE_UNAVAILABLE, message).response(id)
}

fn unknown(id: RequestId) -> HttpResponse {
    let message = "no node that can be reached knows such a request, or no longer";
    Failure::invalid(StatusCode::NOT_FOUND, message).response(id)
}
