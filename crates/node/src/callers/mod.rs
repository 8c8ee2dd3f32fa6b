//! Interface to callers: completions and plain HTTP, each answered with a verdict.

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

/// Interval at which expired records are removed.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// State of the interface to callers, shared by all threads.
pub struct CallersState {
    /// Requests that are being served or were served recently.
    pub requests: requests::RequestTable,
    /// Permits to run requests that are not repeatable.
    pub run_permits: at_most_once::RunPermitTable,
    /// Observations of back ends and services.
    pub health: health::BackendHealth,
}

impl CallersState {
    /// Returns an empty state.
    pub fn new(limits: &Limits) -> Self {
        Self {
            requests: requests::RequestTable::new(
                limits.max_request_records,
                limits.max_kept_answers,
                limits.request_retention,
            ),
            run_permits: at_most_once::RunPermitTable::new(
                limits.max_idempotency_keys,
                limits.idempotency_retention,
            ),
            health: health::BackendHealth::new(limits),
        }
    }
}

/// Removes expired state periodically for as long as the node runs.
pub fn start_sweeping(node: Arc<Node>) {
    actix_rt::spawn(async move {
        let mut ticks = actix_rt::time::interval(SWEEP_INTERVAL);
        loop {
            ticks.tick().await;
            let now = node.clock.now();
            node.callers.requests.sweep(now);
            node.callers.run_permits.sweep(now);
            node.callers.health.sweep(now);
        }
    });
}

/// Registers the routes for callers. Every request that is neither a completion nor a status query
/// goes to an application.
pub fn routes(config: &mut web::ServiceConfig) {
    config
        .route(COMPLETIONS_PATH, web::post().to(completion::complete))
        .route(CHAT_COMPLETIONS_PATH, web::post().to(completion::complete))
        .route("/v1/requests/{id}", web::get().to(status::read_status))
        .route(
            "/v1/requests/{id}/answer",
            web::get().to(status::read_answer),
        )
        .default_service(web::to(application::forward));
}
