//! The OpenAPI document of the administration API, generated from the handlers and their types.

use actix_web::HttpResponse;
use utoipa::openapi::security::{HttpAuthScheme, HttpBuilder, SecurityScheme};
use utoipa::{Modify, OpenApi};

use super::{changes, explain, resources, status};

/// The OpenAPI document.
#[derive(OpenApi)]
#[openapi(
    info(title = "tansyhall administration API", description = "Resources, status and audit."),
    paths(
        resources::list,
        resources::get,
        resources::put,
        resources::delete,
        changes::apply,
        changes::configuration,
        changes::audit,
        explain::explain,
        status::status,
    ),
    modifiers(&BearerToken)
)]
pub struct AdminApi;

struct BearerToken;

impl Modify for BearerToken {
    fn modify(&self, document: &mut utoipa::openapi::OpenApi) {
        let bearer = HttpBuilder::new().scheme(HttpAuthScheme::Bearer).build();
        let components = document.components.get_or_insert_default();
        components.add_security_scheme("bearer", SecurityScheme::Http(bearer));
    }
}

/// Serves `GET /admin/v1/openapi.json`, which needs no token because the document contains nothing
/// about the fleet.
pub async fn document() -> HttpResponse {
    HttpResponse::Ok().json(AdminApi::openapi())
}
