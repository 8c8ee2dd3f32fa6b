//! The request-status resource: the state of a request, and the kept answer of a request whose
//! caller did not wait for it. Identifiers are random and known only to the caller.

use actix_web::http::StatusCode;
use actix_web::{web, HttpResponse};
use tansyhall_core::{RequestId, Verdict};
use tansyhall_proto::StatusAnswer;

use super::failure::{response_builder, Failure};
use super::origin::query_peers;
use super::requests::RequestRecord;
use crate::state::Node;

/// Answers with the status of a request.
pub async fn read_status(node: web::Data<Node>, path: web::Path<String>) -> HttpResponse {
    let Some(id) = RequestId::parse(&path) else {
        return unknown_request(RequestId(0));
    };
    if let Some(record) = node.callers.requests.get(id) {
        let status = record.status(node.clock.now());
        return response_builder(StatusCode::OK, id, Verdict::Completed).json(status);
    }
    match query_peers(&node, id).await {
        StatusAnswer::Known(resource) => response_builder(StatusCode::OK, id, Verdict::Completed)
            .content_type("application/json")
            .body(resource),
        StatusAnswer::Unreachable => serving_node_unreachable(id),
        StatusAnswer::Unknown => unknown_request(id),
    }
}

/// Answers with a request's kept answer, or with the failure that ended it.
pub async fn read_answer(node: web::Data<Node>, path: web::Path<String>) -> HttpResponse {
    let id = RequestId::parse(&path);
    let record = id.and_then(|id| node.callers.requests.get(id));
    match record {
        Some(record) => kept_answer(&node, &record),
        None => unknown_request(id.unwrap_or(RequestId(0))),
    }
}

fn kept_answer(node: &Node, record: &RequestRecord) -> HttpResponse {
    if let Some(body) = record.answer() {
        return response_builder(StatusCode::OK, record.id, Verdict::Completed)
            .content_type("application/json")
            .body(body);
    }
    if let Some(failure) = record.failure() {
        return failure.response(record.id);
    }
    let status = record.status(node.clock.now());
    response_builder(StatusCode::ACCEPTED, record.id, Verdict::MayHaveRun).json(status)
}

/// Returns the answer if the node that knows the request's status does not answer this node.
fn serving_node_unreachable(id: RequestId) -> HttpResponse {
    let message = "the node that served this request cannot be reached; the request may have run";
    Failure::may_have_run(StatusCode::SERVICE_UNAVAILABLE, message).response(id)
}

fn unknown_request(id: RequestId) -> HttpResponse {
    let message = "no node that can be reached knows such a request, or no longer";
    Failure::invalid(StatusCode::NOT_FOUND, message).response(id)
}
