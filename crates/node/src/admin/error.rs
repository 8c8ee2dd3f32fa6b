//! Errors of the administration API, each with its status and a JSON body.

use actix_web::http::{header, StatusCode};
use actix_web::{HttpResponse, ResponseError};
use serde_json::json;
use tansyhall_config::ResourceKey;
use tansyhall_platform::{Revision, StoreError};

use super::access::AccessError;
use crate::configuration::ChangeError;

/// Why a call of the administration API failed.
#[derive(Debug, thiserror::Error)]
pub enum ApiError {
    /// The account may not do this.
    #[error("{0}")]
    Access(#[from] AccessError),
    /// The change was refused, or its outcome is unknown.
    #[error("{0}")]
    Change(#[from] ChangeError),
    /// The store could not be read.
    #[error("{0}")]
    Store(#[from] StoreError),
    /// The request does not parse.
    #[error("{0}")]
    Malformed(String),
    /// No kind of resource has this name.
    #[error("no kind of resource is named {0}")]
    UnknownKind(String),
    /// No such resource exists.
    #[error("{0} does not exist")]
    NotFound(ResourceKey),
}

/// The entity tag of a resource last changed at `revision`.
pub fn entity_tag(revision: Revision) -> (header::HeaderName, String) {
    (header::ETAG, format!("\"{}\"", revision.0))
}

impl ResponseError for ApiError {
    fn status_code(&self) -> StatusCode {
        match self {
            ApiError::Access(AccessError::Unauthenticated) => StatusCode::UNAUTHORIZED,
            ApiError::Access(AccessError::Forbidden) => StatusCode::FORBIDDEN,
            ApiError::Change(ChangeError::Conflict { .. }) => StatusCode::PRECONDITION_FAILED,
            ApiError::Change(ChangeError::Invalid(_)) => StatusCode::UNPROCESSABLE_ENTITY,
            ApiError::Change(ChangeError::Unknown(_)) => StatusCode::GATEWAY_TIMEOUT,
            ApiError::Change(ChangeError::NotApplied(_) | ChangeError::Contended)
            | ApiError::Store(_) => StatusCode::SERVICE_UNAVAILABLE,
            ApiError::Malformed(_) => StatusCode::BAD_REQUEST,
            ApiError::UnknownKind(_) | ApiError::NotFound(_) => StatusCode::NOT_FOUND,
        }
    }

    fn error_response(&self) -> HttpResponse {
        let mut response = HttpResponse::build(self.status_code());
        let message = self.to_string();
        match self {
            ApiError::Change(ChangeError::Conflict {
                present, resource, ..
            }) => {
                if let Some(revision) = present {
                    response.insert_header(entity_tag(*revision));
                }
                response.json(json!({ "error": { "message": message }, "present": resource }))
            }
            ApiError::Change(ChangeError::Invalid(invalid)) => {
                let problems: Vec<String> = invalid.0.iter().map(ToString::to_string).collect();
                response.json(json!({ "error": { "message": message, "problems": problems } }))
            }
            _ => response.json(json!({ "error": { "message": message } })),
        }
    }
}
