//! The requests that callers send.

use std::time::Duration;

use rand::seq::IndexedRandom;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use tansyhall_platform_standin::{DEADLINE, LAST_EVENT, PROMPT_PARTS, REQUEST_ID, RESUMES};

use crate::evidence::Outcome;
use crate::identity::{body_hash, RequestKey, CRASH_BODY_PREFIX};
use crate::routes::RouteKind;

/// The `Host` header of all requests.
pub const HOST: &str = "site.example";
/// The deadline that a caller sends and waits for, in milliseconds.
const DEADLINE_MS: std::ops::Range<u64> = 1_500..4_000;
/// Maximum number of filler bytes in a body.
const MAX_FILLER_BYTES: usize = 3_000;
/// Number of engine requests out of ten whose prompt is long enough for a separate prefill.
const LONG_PROMPTS_OF_TEN: u32 = 7;
/// Tokens of a long prompt.
const LONG_PROMPT_TOKENS: u32 = 8_000;
/// Tokens of a short prompt.
const SHORT_PROMPT_TOKENS: u32 = 50;
/// The model in the headers of engine requests.
const MODEL_NAME: &str = "m";
/// The token counts of prompt and answer in the headers of engine requests.
const TOKENS: &str = "8000,5";
/// Chunk size of a body that is sent with chunked encoding.
const CHUNK_BYTES: usize = 700;

/// A request of a caller.
#[derive(Debug, Clone)]
pub struct CallerRequest {
    /// Identifies the request.
    pub key: RequestKey,
    /// The kind of route that the request uses.
    pub route: RouteKind,
    /// The number of the last event that the caller has received.
    pub after_event: Option<u32>,
    /// The deadline of the request, relative to the time when it is sent.
    pub timeout: Duration,
    prompt: Option<String>,
    body: Vec<u8>,
    is_chunked: bool,
}

impl CallerRequest {
    /// Draws a random request. Its body contains `unique`, a text that no other body contains.
    pub fn draw(id: String, unique: &str, random: &mut ChaCha8Rng) -> Self {
        let route = *RouteKind::ALL
            .choose(random)
            .unwrap_or(&RouteKind::Repeatable);
        let mut body = format!("body of {unique}\n").into_bytes();
        let filler_bytes = random.random_range(0..MAX_FILLER_BYTES);
        body.resize(body.len() + filler_bytes, b'.');
        let target = format!("{}{unique}?x=%2F&y", route.prefix());
        let is_long = random.random_ratio(LONG_PROMPTS_OF_TEN, 10);
        let tokens = if is_long {
            LONG_PROMPT_TOKENS
        } else {
            SHORT_PROMPT_TOKENS
        };
        let part: u64 = random.random();
        Self {
            key: RequestKey {
                id,
                target,
                body: body_hash(&body),
            },
            route,
            after_event: None,
            timeout: Duration::from_millis(random.random_range(DEADLINE_MS)),
            prompt: route.is_engine().then(|| format!("{part:x}:{tokens}")),
            body,
            is_chunked: random.random_bool(0.25),
        }
    }

    /// Draws a request that crashes each worker that starts to execute it. Its tries differ only in their ids.
    pub fn draw_crashing(name: &str, random: &mut ChaCha8Rng) -> Self {
        let mut request = Self::draw(String::new(), name, random);
        request.body = [CRASH_BODY_PREFIX, name.as_bytes()].join(&b' ');
        request.key.body = body_hash(&request.body);
        request
    }

    /// Returns the same request with another id, for another try by its caller.
    pub fn with_id(&self, id: String) -> Self {
        let mut next = self.clone();
        next.key.id = id;
        next
    }

    /// Returns model, token counts and prompt parts in the form in which a worker records them.
    pub fn prompt_text(&self) -> String {
        match &self.prompt {
            Some(prompt) => format!("{MODEL_NAME} {TOKENS} {prompt}"),
            None => "- - -".to_owned(),
        }
    }

    /// Returns the next try after this outcome, with the same id, or `None` if the route forbids a retry or the
    /// request succeeded.
    pub fn next_try(&self, outcome: &Outcome) -> Option<Self> {
        if !self.route.may_run_again() {
            return None;
        }
        let mut next = self.clone();
        match outcome {
            Outcome::Answer(answer) if answer.is_success() && answer.is_whole => return None,
            Outcome::Answer(answer) if answer.is_success() && self.route.is_resumable() => {
                next.after_event = last_event(&answer.body).or(self.after_event);
            }
            _ => {}
        }
        Some(next)
    }

    /// Returns the encoded HTTP message.
    pub fn bytes(&self) -> Vec<u8> {
        let mut text = format!("POST {} HTTP/1.1\r\nHost: {HOST}\r\n", self.key.target);
        let mut header = |name: &str, value: &str| text.push_str(&format!("{name}: {value}\r\n"));
        header(REQUEST_ID, &self.key.id);
        header(DEADLINE, &self.timeout.as_millis().to_string());
        if let Some(prompt) = &self.prompt {
            header("X-Model", MODEL_NAME);
            header("X-Token-Counts", TOKENS);
            header(PROMPT_PARTS, prompt);
        }
        if let Some(event) = self.after_event {
            header(LAST_EVENT, &event.to_string());
            header(RESUMES, &self.key.id);
        }
        if !self.is_chunked {
            header("Content-Length", &self.body.len().to_string());
            let mut bytes = (text + "\r\n").into_bytes();
            bytes.extend_from_slice(&self.body);
            return bytes;
        }
        header("Transfer-Encoding", "chunked");
        let mut bytes = (text + "\r\n").into_bytes();
        for chunk in self.body.chunks(CHUNK_BYTES) {
            bytes.extend_from_slice(format!("{:x}\r\n", chunk.len()).as_bytes());
            bytes.extend_from_slice(chunk);
            bytes.extend_from_slice(b"\r\n");
        }
        bytes.extend_from_slice(b"0\r\n\r\n");
        bytes
    }
}

/// Returns the number of the last complete event in a body.
fn last_event(body: &[u8]) -> Option<u32> {
    let text = String::from_utf8_lossy(body);
    let (complete, _) = text.rsplit_once("\n\n")?;
    let ids = complete
        .lines()
        .filter_map(|line| line.strip_prefix("id: "));
    ids.filter_map(|id| id.parse().ok()).next_back()
}
