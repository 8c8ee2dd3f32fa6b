//! A caller of streamed completions.

use std::net::SocketAddr;

use futures_util::StreamExt;
use serde_json::{json, Value};
use tansyhall_engine::sse::SseDecoder;

/// What a test asks for.
#[derive(Debug, Clone, Copy)]
pub struct StreamRequest<'a> {
    /// The model.
    pub model: &'a str,
    /// The prompt.
    pub prompt: &'a str,
    /// Tokens of the answer.
    pub tokens: u32,
    /// Whether the request may be attempted again after it may have run.
    pub repeatable: bool,
}

/// What came of it.
#[derive(Debug, Default)]
pub struct StreamOutcome {
    /// The text of the answer.
    pub text: String,
    /// The verdict's name.
    pub verdict: Option<String>,
}

/// Asks a node for a streamed completion; `on_text` is called once, after the first text. Fails the
/// test if the stream is cut or holds no text.
pub async fn stream_completion(
    node: SocketAddr,
    asked: &StreamRequest<'_>,
    on_text: impl AsyncFnOnce(),
) -> StreamOutcome {
    let body = json!({
        "model": asked.model, "stream": true, "max_tokens": asked.tokens, "prompt": asked.prompt,
    });
    let client = awc::Client::builder().disable_timeout().finish();
    let request = client
        .post(format!("http://{node}/v1/completions"))
        .insert_header(("tansyhall-not-repeatable", (!asked.repeatable).to_string()));
    let mut response = request.send_json(&body).await.expect("an answer");
    assert_eq!(response.status(), 200);
    let mut decoder = SseDecoder::default();
    let mut outcome = StreamOutcome::default();
    let mut on_text = Some(on_text);
    while let Some(bytes) = response.next().await {
        let bytes = bytes.expect("the stream is not cut");
        for data in decoder.push(&bytes).expect("an event stream") {
            take_event(&mut outcome, &data);
        }
        // The first bytes may be a comment.
        if outcome.text.is_empty() {
            continue;
        }
        if let Some(on_text) = on_text.take() {
            on_text().await;
        }
    }
    assert!(on_text.is_none(), "some text came");
    outcome
}

fn take_event(outcome: &mut StreamOutcome, data: &str) {
    let event: Value = serde_json::from_str(data).unwrap_or_default();
    let text = event["choices"][0]["text"].as_str();
    outcome.text.push_str(text.unwrap_or(""));
    let verdict = event["tansyhall_verdict"].as_str();
    let verdict = verdict.or(event["error"]["verdict"].as_str());
    if let Some(verdict) = verdict {
        outcome.verdict = Some(verdict.to_owned());
    }
}
