//! The whole path by separate processes: an operator configures a fleet through one node, callers
//! are served by both, and an engine changes role under a fenced order while a stream is in
//! progress, which is not cut.

use std::net::SocketAddr;

use futures_util::StreamExt;
use serde_json::{json, Value};
use tansyhall_engine::sse::SseDecoder;
use tansyhall_standin::engine::answer_text;
use tansyhall_testing::{eventually, get_json, node, node_settings, standin, tansyhall};

const MODEL: &str = "base";
const PROMPT: &str = "which families receive rice and lentils";
const LONG_ANSWER_TOKENS: u32 = 400;

fn resources(engines: [SocketAddr; 2], worker: SocketAddr, prefill_engines: u32) -> String {
    format!(
        "[[policy]]\nname = 'assistant'\nsource = 'class counter {{ deadline 20s; }}'\n\
         [[site]]\nname = 'valley'\nregion = 'valley'\nzones = ['kalimati']\n\
         [[service]]\nname = 'assistant'\nsite = 'valley'\nkind = 'language-model'\n\
         policy = 'assistant'\n\
         [[service]]\nname = 'stock'\nsite = 'valley'\nkind = 'application'\n\
         path_prefix = '/stock'\n\
         [[pool]]\nname = 'stock-kalimati'\nservice = 'stock'\nzone = 'kalimati'\n\
         backends = [{{ name = 'app-0', address = '{worker}' }}]\n\
         [[pool]]\nname = 'assistant-kalimati'\nservice = 'assistant'\nzone = 'kalimati'\n\
         model = '{MODEL}'\n\
         backends = [{{ name = 'engine-0', address = '{}' }}, \
                     {{ name = 'engine-1', address = '{}' }}]\n\
         roles = [{{ role = 'prefill', least = {prefill_engines} }}]\n",
        engines[0], engines[1]
    )
}

struct StreamedAnswer {
    text: String,
    verdict: Option<String>,
}

/// Asks for a streamed completion and reports each piece of text as it arrives.
async fn ask(node: SocketAddr, max_tokens: u32, mut on_text: impl FnMut()) -> StreamedAnswer {
    let body = json!({
        "model": MODEL, "stream": true, "max_tokens": max_tokens,
        "messages": [{ "role": "user", "content": PROMPT }],
    });
    let url = format!("http://{node}/v1/chat/completions");
    let client = awc::Client::builder().disable_timeout().finish();
    let mut response = client.post(url).send_json(&body).await.expect("an answer");
    assert_eq!(response.status(), 200);
    let mut decoder = SseDecoder::default();
    let mut answer = StreamedAnswer {
        text: String::new(),
        verdict: None,
    };
    while let Some(bytes) = response.next().await {
        let bytes = bytes.expect("the stream is not cut");
        for data in decoder.push(&bytes).expect("an event stream") {
            let Ok(event) = serde_json::from_str::<Value>(&data) else {
                assert_eq!(data, "[DONE]");
                continue;
            };
            answer.text.push_str(
                event["choices"][0]["delta"]["content"]
                    .as_str()
                    .unwrap_or(""),
            );
            if let Some(verdict) = event["tansyhall_verdict"].as_str() {
                answer.verdict = Some(verdict.to_owned());
            }
            on_text();
        }
    }
    answer
}

fn expected(tokens: u32) -> String {
    answer_text(MODEL, &format!("user: {PROMPT}"), tokens)
}

#[actix_rt::test]
async fn a_role_change_during_a_stream_does_not_cut_it() {
    let directory = tempfile::tempdir().expect("a directory");
    let platform = standin(&["platform"]);
    let engine = |name| standin(&["engine", "--name", name, "--role-change-ms", "100"]);
    let engines = [engine("engine-0"), engine("engine-1")];
    let addresses = [engines[0].address, engines[1].address];
    let worker = standin(&["app", "--name", "app-0"]);
    let start = |name: &str| {
        node(
            directory.path(),
            name,
            &node_settings(name, "kalimati", platform.address),
        )
    };
    let nodes = [start("node-0"), start("node-1")];

    let file = directory.path().join("resources.toml");
    let apply = |prefill_engines| {
        let text = resources(addresses, worker.address, prefill_engines);
        std::fs::write(&file, text).expect("the resources are written");
        let file = file.to_str().expect("a UTF-8 path");
        tansyhall(&["ctl", "--node", &nodes[0].admin.to_string(), "apply", file]);
    };
    apply(0);
    for node in &nodes {
        eventually("the configuration is in force", || async {
            let status = get_json(node.admin, "/admin/v1/status").await?;
            (status["configuration_revision"].as_u64()? > 0).then_some(())
        })
        .await;
    }

    for node in &nodes {
        let answer = ask(node.callers, 5, || ()).await;
        assert_eq!(answer.text, expected(5));
        assert_eq!(answer.verdict.as_deref(), Some("completed"));
        let echo = get_json(node.callers, "/stock/rice?depot=1")
            .await
            .expect("an echo");
        assert_eq!(echo["path"], "/stock/rice?depot=1");
        assert_eq!(echo["worker"], "app-0");
    }

    // Long streams on both engines, so that whichever is chosen has one in progress.
    let (started, mut start_signals) = tokio::sync::mpsc::unbounded_channel();
    let streams: Vec<_> = (0..4)
        .map(|index| {
            let node = nodes[index % 2].callers;
            let started = started.clone();
            actix_rt::spawn(async move {
                let mut first = Some(started);
                ask(node, LONG_ANSWER_TOKENS, || {
                    if let Some(signal) = first.take() {
                        let _ = signal.send(());
                    }
                })
                .await
            })
        })
        .collect();
    for _ in 0..4 {
        start_signals.recv().await.expect("every stream starts");
    }
    apply(1);
    let changed = eventually("an engine plays the prefill role", || async {
        for engine in &engines {
            let state = get_json(engine.address, "/control/state").await?;
            if state["role"] == "prefill" && state["draining"] == false {
                return Some(engine);
            }
        }
        None
    })
    .await;
    for stream in streams {
        let answer = stream.await.expect("the stream's task ends");
        assert_eq!(answer.text, expected(LONG_ANSWER_TOKENS));
        assert_eq!(answer.verdict.as_deref(), Some("completed"));
    }
    let records = get_json(changed.address, "/standin/records")
        .await
        .expect("the records");
    let orders = records["orders"].as_array().expect("orders");
    let drained = orders
        .iter()
        .find(|record| record["order"]["action"] == "drain");
    let drained = drained.expect("the engine was drained before its role changed");
    assert!(
        drained["requests"].as_u64() > Some(0),
        "a stream was in progress at the drain"
    );
    let role = orders
        .iter()
        .find(|record| record["order"]["action"] == "set-role");
    let role = role.expect("the role was changed by an order");
    assert_eq!(role["requests"], 0);
    assert!(role["order"]["fence_token"].as_u64() > Some(0));
}
