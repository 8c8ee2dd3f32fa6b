//! Health checks and metrics.

use actix_web::{web, HttpResponse};

use crate::state::Node;

/// Answers 200 as long as the process runs.
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

/// Answers with all metrics in the Prometheus text format.
pub async fn metrics(node: web::Data<Node>) -> HttpResponse {
    match node.metrics.render() {
        Ok(text) => HttpResponse::Ok()
            .content_type("text/plain; version=0.0.4")
            .body(text),
        Err(error) => HttpResponse::InternalServerError().body(error.to_string()),
    }
}
