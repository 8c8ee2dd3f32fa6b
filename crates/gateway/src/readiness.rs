//! Answers whoever distributes callers: ready while this gateway can serve and does not stop.

use std::sync::Arc;

use actix_web::{web, HttpResponse};

use crate::state::Shared;

/// Answers 200 or 503.
pub async fn answer(shared: web::Data<Arc<Shared>>) -> HttpResponse {
    if shared.can_serve() && !shared.is_stopping() {
        HttpResponse::Ok().finish()
    } else {
        HttpResponse::ServiceUnavailable().finish()
    }
}

/// Serves the metrics as text.
pub async fn metrics(shared: web::Data<Arc<Shared>>) -> HttpResponse {
    HttpResponse::Ok()
        .content_type("text/plain; version=0.0.4")
        .body(shared.metrics.render())
}
