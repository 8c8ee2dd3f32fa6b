//! Client for streamed completions.

use std::net::SocketAddr;

use futures_util::StreamExt;
use serde_json::{json, Value};
use tansyhall_engine::sse::SseDecoder;

/// A streamed completion request.
#[derive(Debug, Clone, Copy)]
pub struct StreamRequest<'a> {
    /// The model.
    pub model: &'a str,
    /// The prompt.
    pub prompt: &'a str,
    /// Number of tokens to generate.
    pub tokens: u32,
    /// Whether the request may be retried after an attempt that may have run.
    pub repeatable: bool,
}

/// The result of a streamed completion.
#[derive(Debug, Default)]
pub struct StreamOutcome {
    /// The generated text.
    pub text: String,
    /// The name of the verdict, if the stream contained one.
    pub verdict: Option<String>,
}

/// Requests a streamed completion from a node and reads it to its end. Calls `on_text` once, after the
/// first text. Panics if the stream is interrupted or contains no text.
pub async fn stream_completion(
    node: SocketAddr,
    stream_request: &StreamRequest<'_>,
    on_text: impl AsyncFnOnce(),
) -> StreamOutcome {
    let body = json!({
        "model": stream_request.model, "stream": true, "max_tokens": stream_request.tokens, "prompt": stream_request.prompt,
    });
    let client = awc::Client::builder().disable_timeout().finish();
    let request = client
        .post(format!("http://{node}/v1/completions"))
        .insert_header((
            "tansyhall-not-repeatable",
            (!stream_request.repeatable).to_string(),
        ));
    let mut response = request.send_json(&body).await.expect("an answer");
    assert_eq!(response.status(), 200);
    let mut decoder = SseDecoder::default();
    let mut outcome = StreamOutcome::default();
    let mut on_text = Some(on_text);
    while let Some(bytes) = response.next().await {
        let bytes = bytes.expect("the stream is not interrupted");
        for data in decoder.push(&bytes).expect("an event stream") {
            apply_event(&mut outcome, &data);
        }
        // The first bytes may be an SSE comment without text.
        if outcome.text.is_empty() {
            continue;
        }
        if let Some(on_text) = on_text.take() {
            on_text().await;
        }
    }
    assert!(on_text.is_none(), "the stream contains text");
    outcome
}

fn apply_event(outcome: &mut StreamOutcome, data: &str) {
    let event: Value = serde_json::from_str(data).unwrap_or_default();
    let text = event["choices"][0]["text"].as_str();
    outcome.text.push_str(text.unwrap_or(""));
    let verdict = event["tansyhall_verdict"].as_str();
    let verdict = verdict.or(event["error"]["verdict"].as_str());
    if let Some(verdict) = verdict {
        outcome.verdict = Some(verdict.to_owned());
    }
}
