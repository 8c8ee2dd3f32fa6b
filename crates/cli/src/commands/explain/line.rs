//! Parses the lines of a gateway's log that the summary uses. Other lines, and fields that the summary does not use,
//! are ignored.

use serde::Deserialize;

/// One line of a gateway's log.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct Line {
    /// Time at which the line was logged, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// The logged event.
    #[serde(flatten)]
    pub event: LoggedEvent,
}

/// The event that a line reports.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum LoggedEvent {
    /// A send to a worker ended.
    Send(LoggedSend),
    /// A request ended.
    Request(LoggedRequest),
    /// An engine was ordered to change its role.
    Order {
        /// The engine.
        worker: String,
        /// The new role.
        role: String,
    },
    /// Any other event.
    #[serde(other)]
    Other,
}

/// A send of a request to a worker, logged at its end.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct LoggedSend {
    /// The worker.
    pub worker: String,
    /// `run` or `read_prompt`.
    pub work: String,
    /// How it ended.
    pub outcome: String,
    /// Prompt tokens that the worker had to read.
    pub reading_tokens: u64,
    /// Estimated time from the send to the beginning of the answer, in milliseconds.
    pub expected_ms: u64,
    /// Time from the send to the beginning of the answer, in milliseconds.
    #[serde(default)]
    pub head_ms: u64,
}

/// A request, logged at its end.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct LoggedRequest {
    /// The route that the request matched.
    pub route: String,
    /// How it ended.
    pub outcome: String,
    /// Why the request was not sent, or not retried; empty if there is no such cause.
    pub cause: String,
    /// The latency objective in milliseconds; 0 if it is not logged.
    #[serde(default)]
    pub objective_ms: u64,
    /// Time from the request to the beginning of its answer, in milliseconds.
    #[serde(default)]
    pub begun_ms: u64,
}

impl LoggedRequest {
    /// Returns whether the request was delivered, but its answer began later than its objective.
    pub fn is_late(&self) -> bool {
        self.outcome == "delivered" && self.begun_ms > self.objective_ms
    }

    /// Returns a short description of how the request ended, and why.
    pub fn describe_end(&self) -> String {
        match (self.is_late(), self.cause.as_str()) {
            (true, _) => "late".into(),
            (false, "") => self.outcome.clone(),
            (false, cause) => format!("{} ({cause})", self.outcome),
        }
    }
}

/// Parses the lines of a log. Lines that cannot be parsed are skipped, and text before a line's JSON is ignored.
pub fn parse_lines(log: &str) -> impl Iterator<Item = Line> + '_ {
    log.lines().filter_map(|line| {
        let start = line.find('{')?;
        serde_json::from_str(&line[start..]).ok()
    })
}
