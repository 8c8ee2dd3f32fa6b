//! When the usage of a window is decided and reported.
//!
//! A window is summed up once every gateway has counted past its end, and some time for requests that
//! had no answer yet ([`SETTLING_PART`]); gateways that say nothing are waited for until
//! [`PATIENCE_PART`] of the time that is left, so that the report still arrives when the store is slow or
//! the reporter is replaced. What was decided is sent until it is acknowledged or too late.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::window::{UnixMillis, WindowNumber, WindowTiming};

/// The part of the time until a report is due that requests without an answer get to have one. Short
/// calls are answered within it; what is answered later is a few requests in a thousand.
const SETTLING_PART: f64 = 0.1;
/// The part of that time for which silent gateways are waited for. The rest is for a reporter that has to
/// be replaced: a lease that lapses, a claim, and the pause before its first call.
const PATIENCE_PART: f64 = 0.3;

/// What is known of the reports so far.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct KnownReports {
    /// No window up to this one is reported any more.
    pub closed_through: Option<WindowNumber>,
    /// Windows that are decided.
    pub decided: BTreeSet<WindowNumber>,
    /// Those of them whose report was taken.
    pub acknowledged: BTreeSet<WindowNumber>,
}

/// What the reporter does next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReportStep {
    /// Send what was decided for this window.
    Send(WindowNumber),
    /// Sum this window up; decide it if every gateway has counted until then, or `anyway`.
    Decide {
        /// The window.
        window: WindowNumber,
        /// Until when every gateway must have counted.
        counted_until: UnixMillis,
        /// Whether the counts of gateways that say nothing are not waited for any more.
        anyway: bool,
    },
    /// Nothing before the next look.
    Wait,
}

/// The next step at a moment. Sending goes first: it is quick, and what was decided is due soonest.
pub fn next_step(timing: &WindowTiming, now: UnixMillis, known: &KnownReports) -> ReportStep {
    let sendable = known
        .decided
        .difference(&known.acknowledged)
        .find(|window| timing.due(**window) >= now);
    if let Some(window) = sendable {
        return ReportStep::Send(*window);
    }
    let mut window = timing.oldest_open(now);
    if let Some(closed) = known.closed_through {
        window = window.max(closed.next());
    }
    while known.decided.contains(&window) {
        window = window.next();
    }
    let end = timing.end_of(window);
    let counted_until = end.after(part_of(timing.due_after, SETTLING_PART));
    if now < counted_until {
        return ReportStep::Wait;
    }
    ReportStep::Decide {
        window,
        counted_until,
        anyway: now >= end.after(part_of(timing.due_after, PATIENCE_PART)),
    }
}

fn part_of(duration: Duration, part: f64) -> Duration {
    duration.mul_f64(part)
}
