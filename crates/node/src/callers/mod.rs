//! The callers' side: completions and plain HTTP, each answered with a verdict.

pub mod admit;
pub mod application;
pub mod at_most_once;
pub mod attempt;
pub mod choice;
pub mod completion;
pub mod driver;
pub mod failure;
pub mod health;
pub mod options;
pub mod origin;
pub mod replay;
pub mod requests;
pub mod shape;
pub mod status;
pub mod watch;

use std::sync::Arc;
use std::time::Duration;

use actix_web::web;
use tansyhall_config::settings::Limits;
use tansyhall_engine::protocol::{CHAT_COMPLETIONS_PATH, COMPLETIONS_PATH};

pub use application::client as application_client;

use crate::state::Node;

/// How often records whose time has passed are forgotten.
const SWEEP_PERIOD: Duration = Duration::from_secs(1);

/// What the callers' side keeps, shared by every thread.
pub struct CallersState {
    /// Requests served now or lately.
    pub requests: requests::RequestTable,
    /// Permissions to run requests that are not repeatable.
    pub run_permits: at_most_once::RunPermits,
    /// What was observed of back ends.
    pub health: health::BackendHealth,
}

impl CallersState {
    /// Nothing kept yet.
    pub fn new(limits: &Limits) -> Self {
        Self {
            requests: requests::RequestTable::new(
                limits.max_request_records,
                limits.max_kept_answers,
                limits.request_retention,
            ),
            run_permits: at_most_once::RunPermits::new(
                limits.max_idempotency_keys,
                limits.idempotency_retention,
            ),
            health: health::BackendHealth::new(limits),
        }
    }
}

/// Forgets what is past its retention, for as long as the node runs.
pub fn start_sweeping(node: Arc<Node>) {
    actix_rt::spawn(async move {
        let mut ticks = actix_rt::time::interval(SWEEP_PERIOD);
        loop {
            ticks.tick().await;
            let now = node.clock.now();
            node.callers.requests.sweep(now);
            node.callers.run_permits.sweep(now);
            node.callers.health.sweep(now);
        }
    });
}

/// Routes of the callers' side; everything that is neither a completion nor a request's status
/// goes to an application.
pub fn routes(config: &mut web::ServiceConfig) {
    config
        .route(COMPLETIONS_PATH, web::post().to(completion::complete))
        .route(CHAT_COMPLETIONS_PATH, web::post().to(completion::complete))
        .route("/v1/requests/{id}", web::get().to(status::read))
        .route(
            "/v1/requests/{id}/answer",
            web::get().to(status::read_answer),
        )
        .default_service(web::to(application::forward));
}
