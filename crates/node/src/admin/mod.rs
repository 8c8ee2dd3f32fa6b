//! The administration API: resources, status, metrics and health.

pub mod access;
pub mod error;
pub mod health;
pub mod resources;

use actix_web::web;

/// Routes of the administration API.
pub fn routes(config: &mut web::ServiceConfig) {
    config
        .route("/health/live", web::get().to(health::live))
        .route("/health/ready", web::get().to(health::ready))
        .route("/metrics", web::get().to(health::metrics))
        .route("/admin/v1/status", web::get().to(health::status))
        .route("/admin/v1/apply", web::post().to(resources::apply))
        .route("/admin/v1/{kind}", web::get().to(resources::list))
        .route("/admin/v1/{kind}/{name}", web::get().to(resources::get))
        .route("/admin/v1/{kind}/{name}", web::put().to(resources::put))
        .route(
            "/admin/v1/{kind}/{name}",
            web::delete().to(resources::delete),
        );
}
