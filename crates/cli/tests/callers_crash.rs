//! Engines as separate processes that are killed or frozen in mid-stream: the caller sees one
//! whole answer, or for a request that is not repeatable an honest verdict; and a node that is
//! asked to stop ends its streams first.

use std::net::SocketAddr;

use tansyhall_standin::engine::answer_text;
use tansyhall_testing::{
    eventually, get_json, node_settings, run_tansyhall, start_node, start_standin,
    stream_completion, NodeProcess, Standin, StreamOutcome, StreamRequest,
};

const MODEL: &str = "base";
const PROMPT: &str = "which families receive rice and lentils";
const TOKENS: u32 = 300;

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

/// Asks for a long streamed completion; `on_text` is called once, after the first text.
async fn ask(node: SocketAddr, repeatable: bool, on_text: impl AsyncFnOnce()) -> StreamOutcome {
    let asked = StreamRequest {
        model: MODEL,
        prompt: PROMPT,
        tokens: TOKENS,
        repeatable,
    };
    stream_completion(node, &asked, on_text).await
}

/// The engine that holds a request now.
async fn busy_engine(engines: &[Standin; 2]) -> &Standin {
    eventually("an engine holds the request", || async {
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
    answer_text(MODEL, PROMPT, TOKENS)
}

#[actix_rt::test]
async fn an_answer_is_whole_though_its_engine_is_killed_or_frozen() {
    for signal in ["KILL", "STOP"] {
        let fleet = start_fleet().await;
        let strike = async || busy_engine(&fleet.engines).await.process.signal(signal);
        let outcome = ask(fleet.node.callers, true, strike).await;
        assert_eq!(outcome.text, expected(), "SIG{signal}");
        assert_eq!(outcome.verdict.as_deref(), Some("completed"), "SIG{signal}");
    }
}

#[actix_rt::test]
async fn a_request_that_is_not_repeatable_is_not_resumed_after_a_kill() {
    let fleet = start_fleet().await;
    let strike = async || busy_engine(&fleet.engines).await.process.signal("KILL");
    let outcome = ask(fleet.node.callers, false, strike).await;
    assert_eq!(outcome.verdict.as_deref(), Some("may-have-run"));
    assert!(expected().starts_with(&outcome.text));
    assert!(outcome.text.len() < expected().len());
    let mut runs = 0;
    for engine in &fleet.engines {
        let records = get_json(engine.address, "/standin/records").await;
        let requests = records.map(|records| records["requests"].as_array().map(Vec::len));
        runs += requests.flatten().unwrap_or(0);
    }
    assert_eq!(runs, 0, "the engine that is left has seen nothing of it");
}

#[actix_rt::test]
async fn a_planned_stop_of_a_node_cuts_no_stream() {
    let fleet = start_fleet().await;
    let stop = async || fleet.node.process.signal("TERM");
    let outcome = ask(fleet.node.callers, true, stop).await;
    assert_eq!(outcome.text, expected());
    assert_eq!(outcome.verdict.as_deref(), Some("completed"));
}
