//! What a worker says of itself along with an answer.

use std::time::Duration;

use crate::rate_limit::RateLimit;

/// The longest rest that is granted. A worker that asks for more is asked again after it: what it said may have been
/// a slip, and without an end it would be lost for the rest of its life.
pub const MAX_REST: Duration = Duration::from_secs(3_600);

/// What a worker says of itself along with an answer, whatever the answer is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct WorkerNotice {
    /// It leaves: it finishes what it has and ends.
    pub leaves: bool,
    /// It wants nothing more from the gateway that got the answer for so long.
    pub rest: Option<Duration>,
    /// The requests a second that it takes from all gateways together.
    pub rate_limit: Option<RateLimit>,
}

impl WorkerNotice {
    /// A notice of a worker that wants rest for so many seconds; none for what is no time to wait.
    pub fn of_rest_seconds(seconds: f64) -> Option<Duration> {
        let is_time = seconds.is_finite() && seconds > 0.0;
        is_time.then(|| Duration::from_secs_f64(seconds.min(MAX_REST.as_secs_f64())))
    }
}
