//! The whole path by separate processes: an operator configures a fleet through one node, callers
//! are served by both, and an engine changes role under a fenced order while a stream is in
//! progress, which is not cut.

use std::net::SocketAddr;

use futures_util::StreamExt;
use serde_json::{json, Value};
use tansyhall_engine::sse::SseDecoder;
use tansyhall_standin::engine::answer_text;
use tansyhall_testing::{
    eventually, get_json, get_metric, node_settings, run_tansyhall, start_node, start_standin,
    NodeProcess, Standin,
};
use tokio::sync::oneshot;
use tokio::task::JoinHandle;

const MODEL: &str = "base";
const PROMPT: &str = "which families receive rice and lentils";
const LONG_ANSWER_TOKENS: u32 = 1_000;
/// Streams within which both engines must have one.
const MOST_STREAMS: usize = 16;

/// Resources of the fleet; `changes` are further lines of the pool of engines.
fn resources(engines: [SocketAddr; 2], worker: SocketAddr, changes: &str) -> String {
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
         {changes}\n",
        engines[0], engines[1]
    )
}

struct StreamedAnswer {
    text: String,
    verdict: Option<String>,
}

/// Asks for a streamed completion and reports each piece of text as it arrives.
async fn ask(
    node: SocketAddr,
    prompt: &str,
    max_tokens: u32,
    mut on_text: impl FnMut(),
) -> StreamedAnswer {
    let body = json!({
        "model": MODEL, "stream": true, "max_tokens": max_tokens,
        "messages": [{ "role": "user", "content": prompt }],
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

fn expected(prompt: &str, tokens: u32) -> String {
    answer_text(MODEL, &format!("user: {prompt}"), tokens)
}

/// A stream in progress.
struct Stream {
    prompt: String,
    answer: JoinHandle<StreamedAnswer>,
}

struct Fleet {
    nodes: [NodeProcess; 2],
    directory: tempfile::TempDir,
    _platform: Standin,
    engines: [Standin; 2],
    worker: Standin,
}

impl Fleet {
    /// Starts every process and waits until a first configuration is in force.
    async fn start() -> Self {
        let directory = tempfile::tempdir().expect("a directory");
        let platform = start_standin(&["platform"]);
        let engine = |name| start_standin(&["engine", "--name", name, "--role-change-ms", "100"]);
        let engines = [engine("engine-0"), engine("engine-1")];
        let worker = start_standin(&["app", "--name", "app-0"]);
        let start = |name: &str| {
            let settings = node_settings(name, "kalimati", platform.address);
            start_node(directory.path(), name, &settings)
        };
        let nodes = [start("node-0"), start("node-1")];
        let fleet = Self {
            directory,
            _platform: platform,
            engines,
            worker,
            nodes,
        };
        fleet.apply("");
        for node in &fleet.nodes {
            eventually("the configuration is in force", || async {
                let status = get_json(node.admin, "/admin/v1/status").await?;
                (status["configuration_revision"].as_u64()? > 0).then_some(())
            })
            .await;
        }
        // Only then does a change follow its order within a stream's length.
        eventually("a node has authority over the pool", || async {
            for node in &fleet.nodes {
                if get_metric(node.admin, "tansyhall_pools_held").await? > 0.0 {
                    return Some(());
                }
            }
            None
        })
        .await;
        fleet
    }

    /// Applies the fleet's resources, with these lines in the pool of engines.
    fn apply(&self, changes: &str) {
        let addresses = [self.engines[0].address, self.engines[1].address];
        let text = resources(addresses, self.worker.address, changes);
        let file = self.directory.path().join("resources.toml");
        std::fs::write(&file, text).expect("the resources are written");
        let file = file.to_str().expect("a UTF-8 path");
        let admin = self.nodes[0].admin.to_string();
        run_tansyhall(&["ctl", "--node", &admin, "apply", file]);
    }

    /// Begins long streams until both engines have one in progress, so that whichever is chosen for
    /// a change has one.
    async fn begin_streams(&self) -> Vec<Stream> {
        let mut streams = Vec::new();
        while !self.are_both_busy().await {
            assert!(streams.len() < MOST_STREAMS, "one engine gets every stream");
            // Prompts that share no beginning, so that no engine's cache draws them all.
            let prompt = format!("{} {PROMPT}", streams.len());
            let (started, start_signal) = oneshot::channel();
            let node = self.nodes[streams.len() % self.nodes.len()].callers;
            let asked = prompt.clone();
            let answer = actix_rt::spawn(async move {
                let mut started = Some(started);
                ask(node, &asked, LONG_ANSWER_TOKENS, || {
                    if let Some(started) = started.take() {
                        let _ = started.send(());
                    }
                })
                .await
            });
            start_signal.await.expect("the stream starts");
            streams.push(Stream { prompt, answer });
        }
        streams
    }

    async fn are_both_busy(&self) -> bool {
        for engine in &self.engines {
            let state = get_json(engine.address, "/control/state").await;
            if state.expect("a state")["requests"] == 0 {
                return false;
            }
        }
        true
    }

    /// Waits until an engine that takes work is in this state, and returns it.
    async fn engine_with(&self, key: &str, value: &str) -> &Standin {
        eventually("an engine has changed", || async {
            for engine in &self.engines {
                let state = get_json(engine.address, "/control/state").await?;
                if state[key] == value && state["draining"] == false {
                    return Some(engine);
                }
            }
            None
        })
        .await
    }
}

async fn assert_whole(streams: Vec<Stream>) {
    for stream in streams {
        let answer = stream.answer.await.expect("the stream's task ends");
        assert_eq!(answer.text, expected(&stream.prompt, LONG_ANSWER_TOKENS));
        assert_eq!(answer.verdict.as_deref(), Some("completed"));
    }
}

/// The engine's own record must show a drain with requests in progress, and the change without any.
async fn assert_drained_before(engine: &Standin, change: &str) {
    let records = get_json(engine.address, "/standin/records").await;
    let records = records.expect("the records");
    let orders = records["orders"].as_array().expect("orders");
    let find = |action: &str| orders.iter().find(|it| it["order"]["action"] == action);
    let drained = find("drain").expect("the engine was drained before it changed");
    assert!(
        drained["requests"].as_u64() > Some(0),
        "a stream was in progress at the drain"
    );
    let changed = find(change).expect("the change was made by an order");
    assert_eq!(changed["requests"], 0);
    assert!(changed["order"]["fence_token"].as_u64() > Some(0));
}

#[actix_rt::test]
async fn a_role_change_during_a_stream_does_not_cut_it() {
    let fleet = Fleet::start().await;
    for node in &fleet.nodes {
        let answer = ask(node.callers, PROMPT, 5, || ()).await;
        assert_eq!(answer.text, expected(PROMPT, 5));
        assert_eq!(answer.verdict.as_deref(), Some("completed"));
        let echo = get_json(node.callers, "/stock/rice?depot=1").await;
        let echo = echo.expect("an echo");
        assert_eq!(echo["path"], "/stock/rice?depot=1");
        assert_eq!(echo["worker"], "app-0");
    }
    let streams = fleet.begin_streams().await;
    fleet.apply("roles = [{ role = 'prefill', least = 1 }]");
    let changed = fleet.engine_with("role", "prefill").await;
    assert_whole(streams).await;
    assert_drained_before(changed, "set-role").await;
}

#[actix_rt::test]
async fn a_new_version_is_loaded_by_one_engine_and_cuts_no_stream() {
    let fleet = Fleet::start().await;
    let streams = fleet.begin_streams().await;
    fleet.apply("versions = ['1', '2']\nadapters = ['slips']");
    let changed = fleet.engine_with("version", "2").await;
    assert_whole(streams).await;
    assert_drained_before(changed, "load-model").await;
    eventually("both engines have the adapter", || async {
        for engine in &fleet.engines {
            let state = get_json(engine.address, "/control/state").await?;
            let adapters = state["adapters"].as_array()?;
            adapters.contains(&json!("slips")).then_some(())?;
        }
        Some(())
    })
    .await;
    let versions = fleet.engine_with("version", "1").await;
    assert_ne!(versions.address, changed.address);
}
