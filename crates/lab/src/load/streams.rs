//! Many streams at once, and the node's memory while they last.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use anyhow::Result;
use futures_util::StreamExt;
use serde::Serialize;

use super::fleet::{Fleet, MODEL};

/// Tokens of each answer.
const ANSWER_TOKENS: u32 = 16;
/// Time between looks at the node's memory.
const LOOK_PERIOD: Duration = Duration::from_millis(100);
/// When an answer is due; long, since the engines hold far more requests than they run at once.
const DEADLINE_MILLIS: &str = "120000";

/// What came of the streams.
#[derive(Debug, Serialize)]
pub struct StreamResult {
    /// Streams opened.
    pub streams: usize,
    /// Streams that ended with the verdict `completed`.
    pub completed: usize,
    /// The most streams open at once.
    pub most_open: usize,
    /// The node's memory before, in mebibytes.
    pub idle_memory_mib: f64,
    /// The node's largest memory while they lasted, in mebibytes.
    pub peak_memory_mib: f64,
}

#[derive(Default)]
struct Gauge {
    open: Cell<usize>,
    most_open: Cell<usize>,
    completed: Cell<usize>,
    ended: Cell<usize>,
}

/// Opens `streams` streams at once and waits for all of them.
pub async fn concurrent_streams(fleet: &Fleet, streams: usize) -> Result<StreamResult> {
    let idle_memory_mib = fleet.node_memory_mib()?;
    let gauge = Rc::new(Gauge::default());
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
        actix_rt::spawn(stream(
            client.clone(),
            url.clone(),
            index,
            Rc::clone(&gauge),
        ));
    }
    let mut peak_memory_mib = idle_memory_mib;
    while gauge.ended.get() < streams {
        actix_rt::time::sleep(LOOK_PERIOD).await;
        peak_memory_mib = peak_memory_mib.max(fleet.node_memory_mib()?);
    }
    Ok(StreamResult {
        streams,
        completed: gauge.completed.get(),
        most_open: gauge.most_open.get(),
        idle_memory_mib,
        peak_memory_mib,
    })
}

async fn stream(client: awc::Client, url: String, index: usize, gauge: Rc<Gauge>) {
    let body = serde_json::json!({
        "model": MODEL, "prompt": format!("stream {index}"), "max_tokens": ANSWER_TOKENS,
        "stream": true,
    });
    let request = client
        .post(url)
        .insert_header(("tansyhall-deadline-ms", DEADLINE_MILLIS));
    if let Ok(mut response) = request.send_json(&body).await {
        gauge.open.set(gauge.open.get() + 1);
        gauge
            .most_open
            .set(gauge.most_open.get().max(gauge.open.get()));
        let mut last = Vec::new();
        while let Some(Ok(bytes)) = response.next().await {
            last = bytes.to_vec();
        }
        gauge.open.set(gauge.open.get() - 1);
        let completed = last
            .windows(COMPLETED.len())
            .any(|window| window == COMPLETED);
        gauge
            .completed
            .set(gauge.completed.get() + usize::from(completed));
    }
    gauge.ended.set(gauge.ended.get() + 1);
}

const COMPLETED: &[u8] = b"\"tansyhall_verdict\":\"completed\"";
