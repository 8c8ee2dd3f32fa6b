//! Errors of the administration API, each with its status and a JSON body.

use actix_web::http::{header, StatusCode};
use actix_web::{HttpResponse, ResponseError};
use serde::Serialize;
use tansyhall_config::{Problem, Resource, ResourceKey};
use tansyhall_store::{Revision, StoreError};
use utoipa::ToSchema;

use super::access::AccessError;
use crate::configuration::ChangeError;

/// Why a call of the administration API failed.
#[derive(Debug, thiserror::Error)]
pub enum ApiError {
    /// The request is not authorized.
    #[error("{0}")]
    Access(#[from] AccessError),
    /// The change was refused, or its outcome is unknown.
    #[error("{0}")]
    Change(#[from] ChangeError),
    /// The store could not be read.
    #[error("{0}")]
    Store(#[from] StoreError),
    /// The request cannot be parsed.
    #[error("{0}")]
    Malformed(String),
    /// There is no kind of resource with this name.
    #[error("no kind of resource is named {0}")]
    UnknownKind(String),
    /// No such resource exists, or the account may not see it.
    #[error("{0} does not exist")]
    NotFound(ResourceKey),
}

/// The body of every error.
#[derive(Debug, Serialize, ToSchema)]
pub struct ErrorBody {
    /// What went wrong.
    pub error: ErrorDetail,
    /// On a conflict: what is there now; null if nothing is.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub present: Option<Resource>,
    /// On a conflict: the revision of what is there now.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub present_revision: Option<u64>,
}

/// What went wrong.
#[derive(Debug, Serialize, ToSchema)]
pub struct ErrorDetail {
    /// A sentence for people.
    pub message: String,
    /// Whether the change may have taken effect.
    pub may_have_changed: bool,
    /// Every broken rule, if the configuration would not hold together.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub problems: Vec<Problem>,
    /// Who refers to the resource, if it cannot be deleted.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub referrers: Vec<ResourceKey>,
}

/// Returns the ETag header of a resource last changed at `revision`.
pub fn entity_tag(revision: Revision) -> (header::HeaderName, String) {
    (header::ETAG, format!("\"{}\"", revision.0))
}

impl ApiError {
    /// Returns the resource's present revision for errors that report it to the caller.
    fn present_revision(&self) -> Option<Revision> {
        match self {
            ApiError::Change(ChangeError::Conflict { present, .. }) => *present,
            ApiError::Change(ChangeError::PreconditionRequired { present, .. }) => Some(*present),
            _ => None,
        }
    }

    fn body(&self) -> ErrorBody {
        let mut detail = ErrorDetail {
            message: self.to_string(),
            may_have_changed: matches!(self, ApiError::Change(ChangeError::Unknown(_))),
            problems: Vec::new(),
            referrers: Vec::new(),
        };
        let mut present = None;
        match self {
            ApiError::Change(ChangeError::Conflict { resource, .. }) => {
                present = resource.as_deref().cloned();
            }
            ApiError::Change(ChangeError::Invalid(invalid)) => detail.problems = invalid.0.clone(),
            ApiError::Change(ChangeError::InUse { referrers, .. }) => {
                detail.referrers = referrers.clone();
            }
            _ => {}
        }
        ErrorBody {
            error: detail,
            present,
            present_revision: self.present_revision().map(|revision| revision.0),
        }
    }
}

fn status_of_change(error: &ChangeError) -> StatusCode {
    match error {
        ChangeError::Conflict { .. } => StatusCode::PRECONDITION_FAILED,
        ChangeError::PreconditionRequired { .. } => StatusCode::PRECONDITION_REQUIRED,
        ChangeError::NotFound(_) => StatusCode::NOT_FOUND,
        ChangeError::InUse { .. } => StatusCode::CONFLICT,
        ChangeError::OutOfScope(_) => StatusCode::FORBIDDEN,
        ChangeError::TooMany(_) => StatusCode::PAYLOAD_TOO_LARGE,
        ChangeError::Invalid(_) => StatusCode::UNPROCESSABLE_ENTITY,
        ChangeError::Unknown(_) => StatusCode::GATEWAY_TIMEOUT,
        ChangeError::NotApplied(_) | ChangeError::Contended => StatusCode::SERVICE_UNAVAILABLE,
    }
}

impl ResponseError for ApiError {
    fn status_code(&self) -> StatusCode {
        match self {
            ApiError::Access(AccessError::Unauthenticated) => StatusCode::UNAUTHORIZED,
            ApiError::Access(AccessError::Forbidden) => StatusCode::FORBIDDEN,
            ApiError::Change(error) => status_of_change(error),
            ApiError::Store(_) => StatusCode::SERVICE_UNAVAILABLE,
            ApiError::Malformed(_) => StatusCode::BAD_REQUEST,
            ApiError::UnknownKind(_) | ApiError::NotFound(_) => StatusCode::NOT_FOUND,
        }
    }

    fn error_response(&self) -> HttpResponse {
        let mut response = HttpResponse::build(self.status_code());
        if let Some(revision) = self.present_revision() {
            response.insert_header(entity_tag(revision));
        }
        if matches!(self, ApiError::Access(AccessError::Unauthenticated)) {
            response.insert_header((header::WWW_AUTHENTICATE, "Bearer"));
        }
        response.json(self.body())
    }
}
