//! The administration API: resources, changes, status, metrics and health.

pub mod access;
pub mod changes;
pub mod error;
pub mod explain;
pub mod health;
pub mod openapi;
pub mod resources;
pub mod status;

use actix_web::web;

/// Routes of the administration API.
pub fn routes(config: &mut web::ServiceConfig) {
    config
        .route("/health/live", web::get().to(health::live))
        .route("/health/ready", web::get().to(health::ready))
        .route("/metrics", web::get().to(health::metrics))
        .route("/admin/v1/openapi.json", web::get().to(openapi::document))
        .route("/admin/v1/status", web::get().to(status::status))
        .route("/admin/v1/audit", web::get().to(changes::audit))
        .route(
            "/admin/v1/configuration",
            web::get().to(changes::configuration),
        )
        .route("/admin/v1/apply", web::post().to(changes::apply))
        .route("/admin/v1/explain", web::post().to(explain::explain))
        .route("/admin/v1/{kind}", web::get().to(resources::list))
        .route("/admin/v1/{kind}/{name}", web::get().to(resources::get))
        .route("/admin/v1/{kind}/{name}", web::put().to(resources::put))
        .route(
            "/admin/v1/{kind}/{name}",
            web::delete().to(resources::delete),
        );
}
