//! Health, metrics and status.

use actix_web::{web, HttpRequest, HttpResponse};
use serde::Serialize;
use tansyhall_config::settings::OperatorRole;
use tansyhall_engine::protocol::EngineState;

use super::access;
use super::error::ApiError;
use crate::state::Node;

/// Answers as long as the process runs.
pub async fn live() -> HttpResponse {
    HttpResponse::Ok().body("live\n")
}

/// Answers 200 once a configuration is in force and no stop has begun.
pub async fn ready(node: web::Data<Node>) -> HttpResponse {
    if node.is_stopping() {
        return HttpResponse::ServiceUnavailable().body("stopping\n");
    }
    if node.in_force.load().configuration.revision == 0 {
        return HttpResponse::ServiceUnavailable().body("no configuration yet\n");
    }
    HttpResponse::Ok().body("ready\n")
}

/// Metrics in Prometheus text form.
pub async fn metrics(node: web::Data<Node>) -> HttpResponse {
    match node.metrics.render() {
        Ok(text) => HttpResponse::Ok()
            .content_type("text/plain; version=0.0.4")
            .body(text),
        Err(error) => HttpResponse::InternalServerError().body(error.to_string()),
    }
}

#[derive(Debug, Serialize)]
struct Status {
    node: String,
    zone: String,
    configuration_revision: u64,
    stopping: bool,
    engines: Vec<EngineState>,
}

/// What this node has in force and observes.
pub async fn status(node: web::Data<Node>, request: HttpRequest) -> Result<HttpResponse, ApiError> {
    access::check(&node.settings.operators, &request, OperatorRole::Viewer)?;
    let engines = node.with_engines(|engines| {
        let mut states: Vec<EngineState> = engines
            .values()
            .filter_map(|status| status.state.clone())
            .collect();
        states.sort_by(|left, right| left.engine.cmp(&right.engine));
        states
    });
    Ok(HttpResponse::Ok().json(Status {
        node: node.settings.name.to_string(),
        zone: node.settings.zone.to_string(),
        configuration_revision: node.in_force.load().configuration.revision,
        stopping: node.is_stopping(),
        engines,
    }))
}
