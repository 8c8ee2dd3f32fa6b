//! Faults that a test switches on and off at run time with `POST /standin/faults`.

use std::time::Duration;

use actix_web::body::MessageBody;
use actix_web::dev::{ServiceRequest, ServiceResponse};
use actix_web::middleware::Next;
use actix_web::web;
use serde::{Deserialize, Serialize};

use super::Engine;

/// Paths below this one answer even while the engine is frozen.
pub(super) const SWITCHES_PREFIX: &str = "/standin/";
/// How often a frozen engine looks whether it has been thawed.
const THAW_POLL: Duration = Duration::from_millis(10);

/// The faults in force; whatever a request leaves out is off.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct EngineFaults {
    /// The engine neither answers nor generates, and keeps its connections open.
    pub frozen: bool,
    /// The next order that takes time ends halfway in a crash and a restart.
    pub crash_halfway: bool,
    /// Work is refused as if the queue were full.
    pub refuse_work: bool,
    /// KV caches are not handed over: exports, and reads by other engines, are refused.
    pub forget_kv_caches: bool,
    /// Load reports are at least this old, in milliseconds.
    pub load_lag_ms: u64,
    /// Cache events are published at least this late, in milliseconds.
    pub cache_event_lag_ms: u64,
    /// One in this many cache events is lost; zero loses none.
    pub lose_one_cache_event_in: u64,
}

/// Holds a request back for as long as the engine is frozen.
pub(super) async fn hold_while_frozen(
    engine: web::Data<Engine>,
    request: ServiceRequest,
    next: Next<impl MessageBody>,
) -> Result<ServiceResponse<impl MessageBody>, actix_web::Error> {
    if !request.path().starts_with(SWITCHES_PREFIX) {
        while_frozen(&engine).await;
    }
    next.call(request).await
}

/// Returns once the engine is not frozen.
pub(super) async fn while_frozen(engine: &Engine) {
    while engine.faults.lock().frozen {
        actix_rt::time::sleep(THAW_POLL).await;
    }
}
