//! Opens many concurrent streams and measures the node's memory while they are open.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use anyhow::Result;
use futures_util::StreamExt;
use serde::Serialize;

use super::fleet::{Fleet, MODEL};

/// Number of tokens of each answer.
const ANSWER_TOKENS: u32 = 16;
/// Interval between samples of the node's memory.
const MEMORY_SAMPLE_INTERVAL: Duration = Duration::from_millis(100);
/// Deadline of each request. It is long because the engines queue far more requests than they run
/// concurrently.
const DEADLINE_MS: &str = "120000";

/// Results of the concurrent streams.
#[derive(Debug, Serialize)]
pub struct StreamResult {
    /// Streams opened.
    pub streams: usize,
    /// Streams that ended with the verdict `completed`.
    pub completed: usize,
    /// Maximum number of streams open at the same time.
    pub most_open: usize,
    /// Memory of the node before the streams were opened, in mebibytes.
    pub idle_memory_mib: f64,
    /// Maximum memory of the node while the streams were open, in mebibytes.
    pub peak_memory_mib: f64,
}

#[derive(Default)]
struct StreamCounts {
    open: Cell<usize>,
    max_open: Cell<usize>,
    completed: Cell<usize>,
    ended: Cell<usize>,
}

/// Opens `streams` concurrent streams and waits until all of them have ended.
pub async fn concurrent_streams(fleet: &Fleet, streams: usize) -> Result<StreamResult> {
    let idle_memory_mib = fleet.node_memory_mib()?;
    let counts = Rc::new(StreamCounts::default());
    let client = awc::Client::builder()
        .connector(
            awc::Connector::new()
                .limit(0)
                .timeout(Duration::from_secs(30)),
        )
        .disable_timeout()
        .finish();
    let url = format!("http://{}/v1/completions", fleet.node_address());
    for index in 0..streams {
        actix_rt::spawn(run_stream(
            client.clone(),
            url.clone(),
            index,
            Rc::clone(&counts),
        ));
    }
    let mut peak_memory_mib = idle_memory_mib;
    while counts.ended.get() < streams {
        actix_rt::time::sleep(MEMORY_SAMPLE_INTERVAL).await;
        peak_memory_mib = peak_memory_mib.max(fleet.node_memory_mib()?);
    }
    Ok(StreamResult {
        streams,
        completed: counts.completed.get(),
        most_open: counts.max_open.get(),
        idle_memory_mib,
        peak_memory_mib,
    })
}

async fn run_stream(client: awc::Client, url: String, index: usize, counts: Rc<StreamCounts>) {
    let body = serde_json::json!({
        "model": MODEL, "prompt": format!("stream {index}"), "max_tokens": ANSWER_TOKENS,
        "stream": true,
    });
    let request = client
        .post(url)
        .insert_header(("tansyhall-deadline-ms", DEADLINE_MS));
    if let Ok(mut response) = request.send_json(&body).await {
        counts.open.set(counts.open.get() + 1);
        counts
            .max_open
            .set(counts.max_open.get().max(counts.open.get()));
        let mut last_chunk = Vec::new();
        while let Some(Ok(bytes)) = response.next().await {
            last_chunk = bytes.to_vec();
        }
        counts.open.set(counts.open.get() - 1);
        let completed = last_chunk
            .windows(COMPLETED_VERDICT.len())
            .any(|window| window == COMPLETED_VERDICT);
        counts
            .completed
            .set(counts.completed.get() + usize::from(completed));
    }
    counts.ended.set(counts.ended.get() + 1);
}

const COMPLETED_VERDICT: &[u8] = b"\"tansyhall_verdict\":\"completed\"";
