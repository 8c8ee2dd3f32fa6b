//! Fault switches that make the platform slow, rate-limited or unreachable, or lose answers.

use std::time::Duration;

use actix_web::{web, HttpResponse};
use serde::{Deserialize, Serialize};

use super::Platform;

/// The switch settings; `POST /standin/faults` sets all of them at once.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct FaultSwitches {
    /// Calls are not answered until their callers give up, and watches send no events.
    pub outage: bool,
    /// Delay added to each call, in milliseconds.
    pub delay_millis: u64,
    /// The number of next writes that take effect but are not answered.
    pub lose_answers: u32,
    /// Maximum number of calls per second; zero means no limit.
    pub calls_per_second: u32,
}

/// The switches and the state that they need.
#[derive(Debug, Default)]
pub struct Faults {
    switches: FaultSwitches,
    window: u64,
    calls_in_window: u32,
    calls: u64,
}

/// How one call is handled.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallDecision {
    /// The call is served after a delay.
    Serve(Duration),
    /// The call is rejected because it exceeds the rate limit.
    Reject,
    /// The call is not answered.
    NeverAnswer,
}

impl Faults {
    /// Counts a call and decides how it is handled.
    pub fn admit(&mut self, now_millis: u64) -> CallDecision {
        self.calls += 1;
        if self.switches.outage {
            return CallDecision::NeverAnswer;
        }
        let window = now_millis / 1_000;
        if window != self.window {
            self.window = window;
            self.calls_in_window = 0;
        }
        self.calls_in_window += 1;
        let limit = self.switches.calls_per_second;
        if limit > 0 && self.calls_in_window > limit {
            return CallDecision::Reject;
        }
        CallDecision::Serve(Duration::from_millis(self.switches.delay_millis))
    }

    /// Returns whether the answer of a write is lost, and counts it against [`FaultSwitches::lose_answers`].
    pub fn take_lost_answer(&mut self) -> bool {
        let loses = self.switches.lose_answers > 0;
        self.switches.lose_answers = self.switches.lose_answers.saturating_sub(1);
        loses
    }

    /// Returns whether the platform is in an outage.
    pub fn is_outage(&self) -> bool {
        self.switches.outage
    }
}

/// The answer to `GET /standin/faults`.
#[derive(Debug, Serialize)]
struct FaultReport {
    switches: FaultSwitches,
    calls: u64,
}

pub(super) fn routes(config: &mut web::ServiceConfig) {
    config
        .route("/standin/faults", web::post().to(set_faults))
        .route("/standin/faults", web::get().to(get_faults));
}

async fn set_faults(
    platform: web::Data<Platform>,
    switches: web::Json<FaultSwitches>,
) -> HttpResponse {
    platform.faults.lock().switches = switches.into_inner();
    HttpResponse::NoContent().finish()
}

async fn get_faults(platform: web::Data<Platform>) -> HttpResponse {
    let faults = platform.faults.lock();
    HttpResponse::Ok().json(FaultReport {
        switches: faults.switches,
        calls: faults.calls,
    })
}
