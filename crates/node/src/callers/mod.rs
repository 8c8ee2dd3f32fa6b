//! The callers' side: completions and plain HTTP, each answered with a verdict.

pub mod application;
pub mod attempt;
pub mod completion;
pub mod failure;
pub mod shape;

use actix_web::web;
use tansyhall_engine::protocol::{CHAT_COMPLETIONS_PATH, COMPLETIONS_PATH};

/// Routes of the callers' side; everything that is not a completion goes to an application.
pub fn routes(config: &mut web::ServiceConfig) {
    config
        .route(COMPLETIONS_PATH, web::post().to(completion::complete))
        .route(CHAT_COMPLETIONS_PATH, web::post().to(completion::complete))
        .default_service(web::to(application::forward));
}
