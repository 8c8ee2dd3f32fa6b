//! Notices that a worker attaches to its answers: that it is leaving, is backing off, or has a rate limit.

use std::time::Duration;

use crate::rate_limit::RateLimit;

/// The longest back-off that a worker can request. A longer request is cut to this value, and the worker is tried again
/// afterwards: an erroneous value without an upper bound would keep the worker unused until it is restarted.
pub const MAX_BACKOFF: Duration = Duration::from_secs(3_600);

/// A notice that a worker attaches to an answer, independent of the answer's status and content.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct WorkerNotice {
    /// The worker is leaving: it finishes the requests that it has and then exits.
    pub is_leaving: bool,
    /// The time for which the gateway that received the answer must not send the worker further requests.
    pub backoff: Option<Duration>,
    /// The requests per second that the worker accepts from all gateways together.
    pub rate_limit: Option<RateLimit>,
}

impl WorkerNotice {
    /// Converts a back-off in seconds to a duration of at most [`MAX_BACKOFF`]. Returns `None` if `seconds` is not finite
    /// or not positive.
    pub fn backoff_from_seconds(seconds: f64) -> Option<Duration> {
        let is_valid = seconds.is_finite() && seconds > 0.0;
        is_valid.then(|| Duration::from_secs_f64(seconds.min(MAX_BACKOFF.as_secs_f64())))
    }
}
