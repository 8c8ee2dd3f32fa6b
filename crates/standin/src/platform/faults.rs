//! Switches that make the platform slow, limited, forgetful or absent.

use std::time::Duration;

use actix_web::{web, HttpResponse};
use serde::{Deserialize, Serialize};

use super::Platform;

/// What the switches are set to; `POST /standin/faults` sets all of them at once.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct FaultSwitches {
    /// Every call waits until its caller gives up, and watches fall silent.
    pub outage: bool,
    /// Added to each call.
    pub delay_millis: u64,
    /// This many of the next writes take effect and lose their answer.
    pub lose_answers: u32,
    /// Most calls in a second; zero for no limit.
    pub calls_per_second: u32,
}

/// The switches and the running counts behind them.
#[derive(Debug, Default)]
pub struct Faults {
    switches: FaultSwitches,
    window: u64,
    calls_in_window: u32,
    calls: u64,
}

/// What happens to one call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallFate {
    /// It is served after a delay.
    Serve(Duration),
    /// It is refused: too many calls.
    Limited,
    /// It is never answered.
    Silence,
}

impl Faults {
    /// Decides the fate of a call.
    pub fn admit(&mut self, now_millis: u64) -> CallFate {
        self.calls += 1;
        if self.switches.outage {
            return CallFate::Silence;
        }
        let window = now_millis / 1_000;
        if window != self.window {
            self.window = window;
            self.calls_in_window = 0;
        }
        self.calls_in_window += 1;
        let limit = self.switches.calls_per_second;
        if limit > 0 && self.calls_in_window > limit {
            return CallFate::Limited;
        }
        CallFate::Serve(Duration::from_millis(self.switches.delay_millis))
    }

    /// Whether a write that took effect loses its answer.
    pub fn loses_answer(&mut self) -> bool {
        let loses = self.switches.lose_answers > 0;
        self.switches.lose_answers = self.switches.lose_answers.saturating_sub(1);
        loses
    }

    /// Whether nothing is answered.
    pub fn outage(&self) -> bool {
        self.switches.outage
    }
}

/// What `GET /standin/faults` answers.
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
