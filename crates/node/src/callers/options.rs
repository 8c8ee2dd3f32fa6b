//! What a caller asks of the system besides the work itself, read from the request's headers.

use std::sync::Arc;
use std::time::Duration;

use actix_web::http::header::HeaderMap;
use tansyhall_engine::protocol::Priority;

/// Header with the time from arrival to the whole answer, in milliseconds.
pub const DEADLINE_HEADER: &str = "tansyhall-deadline-ms";
/// Header with the queue order: `interactive`, `standard` or `batch`.
pub const PRIORITY_HEADER: &str = "tansyhall-priority";
/// Header that marks a request as running at most once: `true` or `false`.
pub const NOT_REPEATABLE_HEADER: &str = "tansyhall-not-repeatable";
/// Header that names a request across the caller's own tries.
pub const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";
/// Header with the caller's preferences; only `wait=N`, in seconds, is read.
pub const PREFER_HEADER: &str = "prefer";

/// Longest deadline accepted.
const MAX_DEADLINE: Duration = Duration::from_secs(24 * 60 * 60);
/// Longest idempotency key accepted, in bytes.
const MAX_KEY_BYTES: usize = 255;

/// A name that a caller gave its request, the same on each of its tries.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct IdempotencyKey(Arc<str>);

impl IdempotencyKey {
    /// Checks a key: 1 to 255 visible ASCII characters.
    pub fn parse(text: &str) -> Option<Self> {
        let length_fits = (1..=MAX_KEY_BYTES).contains(&text.len());
        let visible = text.bytes().all(|byte| byte.is_ascii_graphic());
        (length_fits && visible).then(|| Self(text.into()))
    }

    /// The key as the caller wrote it.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

/// A header that cannot be used.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("header {header}: {allowed}")]
pub struct OptionsError {
    /// The header.
    pub header: &'static str,
    /// What is allowed.
    pub allowed: &'static str,
}

/// A caller's options.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RequestOptions {
    /// Time from arrival to the whole answer; the class's if absent.
    pub deadline: Option<Duration>,
    /// Queue order; the class's if absent.
    pub priority: Option<Priority>,
    /// Whether the request runs at most once, whatever its class says.
    pub not_repeatable: bool,
    /// The caller's name for the request.
    pub idempotency_key: Option<IdempotencyKey>,
    /// How long the caller waits before it wants a status resource instead of the answer.
    pub wait: Option<Duration>,
}

impl RequestOptions {
    /// Reads the options from a request's headers.
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

/// Reads `wait=N` from a list of preferences; what is not understood is ignored, as the header's
/// standard asks.
fn parse_wait(text: &str) -> Option<Duration> {
    let preference = text
        .split([',', ';'])
        .find_map(|preference| preference.trim().strip_prefix("wait="))?;
    let seconds: u32 = preference.trim().trim_matches('"').parse().ok()?;
    Some(Duration::from_secs(u64::from(seconds)))
}
