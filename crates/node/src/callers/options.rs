//! Options that a caller sets in the headers of a request.

use std::sync::Arc;
use std::time::Duration;

use actix_web::http::header::HeaderMap;
use tansyhall_engine::protocol::Priority;

/// Header with the time from arrival to the complete answer, in milliseconds.
pub const DEADLINE_HEADER: &str = "tansyhall-deadline-ms";
/// Header with the priority in the queue: `interactive`, `standard` or `batch`.
pub const PRIORITY_HEADER: &str = "tansyhall-priority";
/// Header that marks a request to be run at most once: `true` or `false`.
pub const NOT_REPEATABLE_HEADER: &str = "tansyhall-not-repeatable";
/// Header that identifies a request across the caller's own retries.
pub const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";
/// Header with the caller's preferences. Only `wait=N`, in seconds, is read.
pub const PREFER_HEADER: &str = "prefer";

/// Longest accepted deadline.
const MAX_DEADLINE: Duration = Duration::from_secs(24 * 60 * 60);
/// Maximum length of an idempotency key, in bytes.
const MAX_KEY_BYTES: usize = 255;

/// Identifier that a caller gave its request, the same for each of its retries.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct IdempotencyKey(Arc<str>);

impl IdempotencyKey {
    /// Parses a key: 1 to 255 visible ASCII characters.
    pub fn parse(text: &str) -> Option<Self> {
        let length_fits = (1..=MAX_KEY_BYTES).contains(&text.len());
        let visible = text.bytes().all(|byte| byte.is_ascii_graphic());
        (length_fits && visible).then(|| Self(text.into()))
    }

    /// Returns the key as the caller wrote it.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

/// A header with an invalid value.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("header {header}: {allowed}")]
pub struct OptionsError {
    /// Name of the header.
    pub header: &'static str,
    /// Description of the allowed values.
    pub allowed: &'static str,
}

/// Options of a request.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RequestOptions {
    /// Time from arrival to the complete answer; if absent, that of the class.
    pub deadline: Option<Duration>,
    /// Priority in the queue; if absent, that of the class.
    pub priority: Option<Priority>,
    /// Whether the request runs at most once, whatever its class says.
    pub not_repeatable: bool,
    /// Identifier of the request across the caller's retries.
    pub idempotency_key: Option<IdempotencyKey>,
    /// How long the caller waits for the answer before it wants the status resource instead.
    pub wait: Option<Duration>,
}

impl RequestOptions {
    /// Parses the options in a request's headers.
    pub fn parse(headers: &HeaderMap) -> Result<Self, OptionsError> {
        Ok(Self {
            deadline: parse_header(
                headers,
                DEADLINE_HEADER,
                "1 to 86400000 milliseconds",
                parse_deadline,
            )?,
            priority: parse_header(
                headers,
                PRIORITY_HEADER,
                "interactive, standard or batch",
                parse_priority,
            )?,
            not_repeatable: parse_header(
                headers,
                NOT_REPEATABLE_HEADER,
                "true or false",
                parse_flag,
            )?
            .unwrap_or(false),
            idempotency_key: parse_header(
                headers,
                IDEMPOTENCY_KEY_HEADER,
                "1 to 255 visible ASCII characters",
                IdempotencyKey::parse,
            )?,
            wait: headers
                .get_all(PREFER_HEADER)
                .filter_map(|value| value.to_str().ok())
                .find_map(parse_wait),
        })
    }
}

fn parse_header<T>(
    headers: &HeaderMap,
    header: &'static str,
    allowed: &'static str,
    parse: impl Fn(&str) -> Option<T>,
) -> Result<Option<T>, OptionsError> {
    let Some(value) = headers.get(header) else {
        return Ok(None);
    };
    let text = value.to_str().unwrap_or_default().trim();
    match parse(text) {
        Some(value) => Ok(Some(value)),
        None => Err(OptionsError { header, allowed }),
    }
}

fn parse_deadline(text: &str) -> Option<Duration> {
    let deadline = Duration::from_millis(text.parse().ok()?);
    (!deadline.is_zero() && deadline <= MAX_DEADLINE).then_some(deadline)
}

fn parse_priority(text: &str) -> Option<Priority> {
    match text {
        "interactive" => Some(Priority::Interactive),
        "standard" => Some(Priority::Standard),
        "batch" => Some(Priority::Batch),
        _ => None,
    }
}

fn parse_flag(text: &str) -> Option<bool> {
    text.parse().ok()
}

/// Parses `wait=N` in a list of preferences. Unknown preferences are ignored, as the header's
/// standard requires.
fn parse_wait(text: &str) -> Option<Duration> {
    let preference = text
        .split([',', ';'])
        .find_map(|preference| preference.trim().strip_prefix("wait="))?;
    let seconds: u32 = preference.trim().trim_matches('"').parse().ok()?;
    Some(Duration::from_secs(u64::from(seconds)))
}
