//! Determines when the usage of a window is decided and reported.
//!
//! A window is summed up once every gateway has counted past its end, plus some time for requests that had no
//! answer yet ([`SETTLING_FRACTION`]). Gateways that send no counts are waited for only during
//! [`SILENT_GATEWAY_WAIT_FRACTION`] of the time until the report is due, so that the report still arrives in time
//! when the store is slow or the reporter is replaced. A decided report is sent until it is acknowledged or overdue.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::window::{UnixMillis, WindowNumber, WindowTiming};

/// Fraction of the time from a window's end until its report is due that is left for open requests to get their
/// answers. Short calls are answered within it; only a few requests in a thousand are answered later.
const SETTLING_FRACTION: f64 = 0.1;
/// Fraction of that time for which gateways that send no counts are waited for. The rest allows for the
/// replacement of the reporter: a lease that lapses, a claim, and the pause before the first call of the new one.
const SILENT_GATEWAY_WAIT_FRACTION: f64 = 0.3;

/// The reports that are known so far.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct KnownReports {
    /// Windows up to this one are no longer reported.
    pub closed_through: Option<WindowNumber>,
    /// Windows whose report is decided.
    pub decided: BTreeSet<WindowNumber>,
    /// The decided windows whose report was acknowledged.
    pub acknowledged: BTreeSet<WindowNumber>,
}

/// The next step of the reporter.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReportStep {
    /// Send the report that was decided for this window.
    Send(WindowNumber),
    /// Sum up this window. Decide its report if the counts of every gateway are complete up to `counted_until`, or if
    /// `may_be_incomplete` is set.
    Decide {
        /// The window to sum up.
        window: WindowNumber,
        /// Time up to which the counts of every gateway must be complete.
        counted_until: UnixMillis,
        /// Whether the report is decided without the counts of gateways that have not sent them.
        may_be_incomplete: bool,
    },
    /// Do nothing until the next check.
    Wait,
}

/// Returns the next step at `now`. Sending comes first: it is quick, and decided reports are due soonest.
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
    let counted_until = end.after(fraction_of(timing.due_after, SETTLING_FRACTION));
    if now < counted_until {
        return ReportStep::Wait;
    }
    ReportStep::Decide {
        window,
        counted_until,
        may_be_incomplete: now
            >= end.after(fraction_of(timing.due_after, SILENT_GATEWAY_WAIT_FRACTION)),
    }
}

fn fraction_of(duration: Duration, fraction: f64) -> Duration {
    duration.mul_f64(fraction)
}
