//! Faults that a test sets at run time with `POST /standin/faults`.

use std::time::Duration;

use actix_web::body::MessageBody;
use actix_web::dev::{ServiceRequest, ServiceResponse};
use actix_web::middleware::Next;
use actix_web::web;
use serde::{Deserialize, Serialize};

use super::Engine;

/// Requests to paths with this prefix are answered even while the engine is frozen.
pub(super) const STANDIN_PATH_PREFIX: &str = "/standin/";
/// How often a frozen engine checks whether it is still frozen.
const FROZEN_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// The faults in force. Faults that a request omits are off.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct EngineFaults {
    /// The engine neither answers nor generates tokens, but keeps its connections open.
    pub frozen: bool,
    /// The engine crashes and restarts halfway through the next order that is not instantaneous.
    pub crash_halfway: bool,
    /// Requests are refused as if the queue were full.
    pub refuse_work: bool,
    /// Exports of KV caches, and reads of them by other engines, are refused.
    pub forget_kv_caches: bool,
    /// Minimum age of load reports, in milliseconds, as far as samples reach back.
    pub load_lag_ms: u64,
    /// Minimum delay before cache events are published, in milliseconds.
    pub cache_event_lag_ms: u64,
    /// One of every this many cache events is lost; zero loses none.
    pub lose_one_cache_event_in: u64,
}

/// Delays a request while the engine is frozen.
pub(super) async fn delay_while_frozen(
    engine: web::Data<Engine>,
    request: ServiceRequest,
    next: Next<impl MessageBody>,
) -> Result<ServiceResponse<impl MessageBody>, actix_web::Error> {
    if !request.path().starts_with(STANDIN_PATH_PREFIX) {
        wait_while_frozen(&engine).await;
    }
    next.call(request).await
}

/// Waits until the engine is not frozen.
pub(super) async fn wait_while_frozen(engine: &Engine) {
    while engine.faults.lock().frozen {
        actix_rt::time::sleep(FROZEN_POLL_INTERVAL).await;
    }
}
