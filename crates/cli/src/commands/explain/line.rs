//! The lines of a gateway's log that a summary is made of. Other lines, and fields that are not needed,
//! are passed over.

use serde::Deserialize;

/// One line.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct Line {
    /// Milliseconds since the epoch.
    pub at_ms: u64,
    /// What happened.
    #[serde(flatten)]
    pub event: LoggedEvent,
}

/// What a line tells.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum LoggedEvent {
    /// A send to a worker ended.
    Send(LoggedSend),
    /// A request is over.
    Request(LoggedRequest),
    /// An engine was ordered to change its role.
    Order {
        /// The engine.
        worker: String,
        /// The role.
        role: String,
    },
    /// Anything else.
    #[serde(other)]
    Other,
}

/// A send that ended.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct LoggedSend {
    /// The worker.
    pub worker: String,
    /// `run` or `read_prompt`.
    pub work: String,
    /// How it ended.
    pub outcome: String,
    /// Prompt tokens that were to be read.
    pub reading_tokens: u64,
    /// Milliseconds after which the answer was expected.
    pub expected_ms: u64,
    /// Milliseconds until the answer began.
    #[serde(default)]
    pub head_ms: u64,
}

/// A request that is over.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct LoggedRequest {
    /// Its route.
    pub route: String,
    /// How it ended.
    pub outcome: String,
    /// Why, if it was not sent, or not once more.
    pub cause: String,
    /// Its objective in milliseconds; 0 if it is not logged.
    #[serde(default)]
    pub objective_ms: u64,
    /// Milliseconds until its answer began.
    #[serde(default)]
    pub begun_ms: u64,
}

impl LoggedRequest {
    /// Whether its answer began after its objective.
    pub fn is_late(&self) -> bool {
        self.outcome == "delivered" && self.begun_ms > self.objective_ms
    }

    /// How it ended, and why, in a few words.
    pub fn end(&self) -> String {
        match (self.is_late(), self.cause.as_str()) {
            (true, _) => "late".into(),
            (false, "") => self.outcome.clone(),
            (false, cause) => format!("{} ({cause})", self.outcome),
        }
    }
}

/// The lines of a log that can be read; what stands before a line's JSON is passed over.
pub fn lines_of(log: &str) -> impl Iterator<Item = Line> + '_ {
    log.lines().filter_map(|line| {
        let start = line.find('{')?;
        serde_json::from_str(&line[start..]).ok()
    })
}
