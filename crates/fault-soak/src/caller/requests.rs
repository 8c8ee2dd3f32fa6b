//! Requests of callers.

use std::time::Duration;

use rand::seq::IndexedRandom;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use tansyhall_platform_standin::{DEADLINE, LAST_EVENT, PROMPT_PARTS, REQUEST_ID};

use crate::evidence::Outcome;
use crate::identity::{body_hash, RequestKey, CRASH_BODY_PREFIX};
use crate::routes::RouteKind;

/// The host of all routes.
pub const HOST: &str = "site.example";
/// How long a caller waits, in milliseconds.
const PATIENCE_MS: std::ops::Range<u64> = 1_500..4_000;
/// The longest body.
const MAX_BODY_BYTES: usize = 3_000;
/// Requests of ten to engines whose prompt is long enough to be read apart.
const LONG_PROMPTS_OF_TEN: u32 = 7;
/// Tokens of such a prompt.
const LONG_PROMPT_TOKENS: u32 = 8_000;
/// Tokens of a short one.
const SHORT_PROMPT_TOKENS: u32 = 50;
/// The model that requests name.
const MODEL_NAME: &str = "m";
/// Tokens of prompt and answer that requests name.
const TOKENS: &str = "8000,5";
/// The size of a chunk of a body without a length.
const CHUNK_BYTES: usize = 700;

/// A request.
#[derive(Debug, Clone)]
pub struct CallerRequest {
    /// What makes it this one.
    pub key: RequestKey,
    /// Its route.
    pub route: RouteKind,
    /// The last event that the caller has.
    pub after_event: Option<u32>,
    /// How long the caller waits.
    pub patience: Duration,
    prompt: Option<String>,
    body: Vec<u8>,
    is_chunked: bool,
}

impl CallerRequest {
    /// Draws a request whose body holds this text, which no other body holds.
    pub fn draw(id: String, unique: &str, random: &mut ChaCha8Rng) -> Self {
        let route = *RouteKind::ALL
            .choose(random)
            .unwrap_or(&RouteKind::Repeatable);
        let mut body = format!("body of {unique}\n").into_bytes();
        let filling = random.random_range(0..MAX_BODY_BYTES);
        body.resize(body.len() + filling, b'.');
        let target = format!("{}{unique}?x=%2F&y", route.prefix());
        let long = random.random_ratio(LONG_PROMPTS_OF_TEN, 10);
        let tokens = if long {
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
            patience: Duration::from_millis(random.random_range(PATIENCE_MS)),
            prompt: route.is_engine().then(|| format!("{part:x}:{tokens}")),
            body,
            is_chunked: random.random_bool(0.25),
        }
    }

    /// Draws a request that ends each worker which begins to run it; its tries differ by their ids only.
    pub fn draw_deadly(name: &str, random: &mut ChaCha8Rng) -> Self {
        let mut request = Self::draw(String::new(), name, random);
        request.body = [CRASH_BODY_PREFIX, name.as_bytes()].join(&b' ');
        request.key.body = body_hash(&request.body);
        request
    }

    /// The same as another try of its caller.
    pub fn with_id(&self, id: String) -> Self {
        let mut next = self.clone();
        next.key.id = id;
        next
    }

    /// Model, tokens and prompt as a worker records them.
    pub fn prompt_text(&self) -> String {
        match &self.prompt {
            Some(prompt) => format!("{MODEL_NAME} {TOKENS} {prompt}"),
            None => "- - -".to_owned(),
        }
    }

    /// The next try after this outcome, if another is allowed and worth it. It bears the same id.
    pub fn after(&self, outcome: &Outcome) -> Option<Self> {
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

    /// The bytes on the connection.
    pub fn bytes(&self) -> Vec<u8> {
        let mut text = format!("POST {} HTTP/1.1\r\nHost: {HOST}\r\n", self.key.target);
        let mut header = |name: &str, value: &str| text.push_str(&format!("{name}: {value}\r\n"));
        header(REQUEST_ID, &self.key.id);
        header(DEADLINE, &self.patience.as_millis().to_string());
        if let Some(prompt) = &self.prompt {
            header("X-Model", MODEL_NAME);
            header("X-Token-Counts", TOKENS);
            header(PROMPT_PARTS, prompt);
        }
        if let Some(event) = self.after_event {
            header(LAST_EVENT, &event.to_string());
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

/// The number of the last whole event in a body.
fn last_event(body: &[u8]) -> Option<u32> {
    let text = String::from_utf8_lossy(body);
    let (whole, _) = text.rsplit_once("\n\n")?;
    let ids = whole.lines().filter_map(|line| line.strip_prefix("id: "));
    ids.filter_map(|id| id.parse().ok()).next_back()
}
