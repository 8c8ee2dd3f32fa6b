//! Engines as separate processes that are killed or frozen during a stream: the caller receives one complete answer, or,
//! for a request that is not repeatable, a verdict that the request may have run. A node that receives a stop signal
//! completes its streams first.

use std::net::SocketAddr;

use tansyhall_standin::engine::answer_text;
use tansyhall_testing::{
    eventually, get_json, node_settings, run_tansyhall, start_node, start_standin,
    stream_completion, NodeProcess, Standin, StreamOutcome, StreamRequest,
};

const MODEL: &str = "base";
const PROMPT: &str = "which families receive rice and lentils";
const ANSWER_TOKENS: u32 = 300;

struct Fleet {
    node: NodeProcess,
    engines: [Standin; 2],
    _platform: Standin,
    _directory: tempfile::TempDir,
}

fn resources(engines: &[Standin; 2]) -> String {
    format!(
        "[[site]]\nname = 'valley'\nregion = 'valley'\nzones = ['kalimati']\n\
         [[service]]\nname = 'assistant'\nsite = 'valley'\nkind = 'language-model'\n\
         [[pool]]\nname = 'assistant-kalimati'\nservice = 'assistant'\nzone = 'kalimati'\n\
         model = '{MODEL}'\n\
         backends = [{{ name = 'engine-0', address = '{}' }}, \
                     {{ name = 'engine-1', address = '{}' }}]\n",
        engines[0].address, engines[1].address
    )
}

async fn start_fleet() -> Fleet {
    let directory = tempfile::tempdir().expect("a directory");
    let platform = start_standin(&["platform"]);
    let engines = ["engine-0", "engine-1"].map(|name| start_standin(&["engine", "--name", name]));
    let settings = node_settings("node-0", "kalimati", platform.address);
    let settings = format!("{settings}[limits]\nengine_stall = '500ms'\n");
    let node = start_node(directory.path(), "node-0", &settings);
    let file = directory.path().join("resources.toml");
    std::fs::write(&file, resources(&engines)).expect("the resources are written");
    let file = file.to_str().expect("a UTF-8 path");
    run_tansyhall(&["ctl", "--node", &node.admin.to_string(), "apply", file]);
    eventually("the configuration is in force", || async {
        let status = get_json(node.admin, "/admin/v1/status").await?;
        (status["configuration_revision"].as_u64()? > 0).then_some(())
    })
    .await;
    Fleet {
        node,
        engines,
        _platform: platform,
        _directory: directory,
    }
}

/// Requests a long streamed completion. Calls `on_text` once, after the first text.
async fn stream_long_completion(
    node: SocketAddr,
    repeatable: bool,
    on_text: impl AsyncFnOnce(),
) -> StreamOutcome {
    let request = StreamRequest {
        model: MODEL,
        prompt: PROMPT,
        tokens: ANSWER_TOKENS,
        repeatable,
    };
    stream_completion(node, &request, on_text).await
}

/// Waits until an engine has a request in progress, and returns it.
async fn busy_engine(engines: &[Standin; 2]) -> &Standin {
    eventually("an engine has the request in progress", || async {
        for engine in engines {
            let state = get_json(engine.address, "/control/state").await?;
            if state["requests"].as_u64() > Some(0) {
                return Some(engine);
            }
        }
        None
    })
    .await
}

fn expected() -> String {
    answer_text(MODEL, PROMPT, ANSWER_TOKENS)
}

#[actix_rt::test]
async fn an_answer_is_complete_although_its_engine_is_killed_or_frozen() {
    for signal in ["KILL", "STOP"] {
        let fleet = start_fleet().await;
        let lose_engine = async || busy_engine(&fleet.engines).await.process.signal(signal);
        let outcome = stream_long_completion(fleet.node.callers, true, lose_engine).await;
        assert_eq!(outcome.text, expected(), "SIG{signal}");
        assert_eq!(outcome.verdict.as_deref(), Some("completed"), "SIG{signal}");
    }
}

#[actix_rt::test]
async fn a_request_that_is_not_repeatable_is_not_resumed_after_a_kill() {
    let fleet = start_fleet().await;
    let lose_engine = async || busy_engine(&fleet.engines).await.process.signal("KILL");
    let outcome = stream_long_completion(fleet.node.callers, false, lose_engine).await;
    assert_eq!(outcome.verdict.as_deref(), Some("may-have-run"));
    assert!(expected().starts_with(&outcome.text));
    assert!(outcome.text.len() < expected().len());
    let mut runs = 0;
    for engine in &fleet.engines {
        let records = get_json(engine.address, "/standin/records").await;
        let requests = records.map(|records| records["requests"].as_array().map(Vec::len));
        runs += requests.flatten().unwrap_or(0);
    }
    assert_eq!(runs, 0, "the remaining engine received the request");
}

#[actix_rt::test]
async fn a_planned_stop_of_a_node_truncates_no_stream() {
    let fleet = start_fleet().await;
    let stop = async || fleet.node.process.signal("TERM");
    let outcome = stream_long_completion(fleet.node.callers, true, stop).await;
    assert_eq!(outcome.text, expected());
    assert_eq!(outcome.verdict.as_deref(), Some("completed"));
}
