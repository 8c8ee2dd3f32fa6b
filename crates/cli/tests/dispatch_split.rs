//! Prefill and decode engines as separate processes: a request is prefilled by one engine and
//! answered by another, and whichever of them is lost at whichever step, the caller sees one whole
//! answer.

use std::net::SocketAddr;
use std::time::Duration;

use serde_json::json;
use tansyhall_engine::protocol::{FenceToken, Order, OrderAction, OrderReply};
use tansyhall_engine::EngineClient;
use tansyhall_standin::engine::answer_text;
use tansyhall_testing::{
    eventually, get_json, node_settings, run_tansyhall, start_node, start_standin,
    stream_completion, NodeProcess, Standin, StreamOutcome, StreamRequest,
};

const MODEL: &str = "base";
const TOKENS: u32 = 300;
/// Words of the prompt: prefilled in about 0.8 s, moved between engines in 0.2 s.
const PROMPT_WORDS: usize = 20_000;
/// Reports of each engine after which the node knows what happened before them.
const ROUNDS_OF_REPORTS: u64 = 4;
const ENGINES: [(&str, &str); 4] = [
    ("prefill-0", "prefill"),
    ("prefill-1", "prefill"),
    ("decode-0", "decode"),
    ("decode-1", "decode"),
];

struct Fleet {
    node: NodeProcess,
    engines: Vec<Standin>,
    _platform: Standin,
    _directory: tempfile::TempDir,
}

impl Fleet {
    fn prefill(&self) -> &[Standin] {
        &self.engines[..2]
    }

    fn decode(&self) -> &[Standin] {
        &self.engines[2..]
    }
}

fn resources(engines: &[Standin]) -> String {
    let backend = |((name, _), engine): (&(&str, &str), &Standin)| {
        format!("{{ name = '{name}', address = '{}' }}", engine.address)
    };
    let backends: Vec<String> = ENGINES.iter().zip(engines).map(backend).collect();
    format!(
        "[[policy]]\nname = 'assistant'\nsource = 'class review {{ deadline 60s; }}'\n\
         [[site]]\nname = 'valley'\nregion = 'valley'\nzones = ['kalimati']\n\
         [[service]]\nname = 'assistant'\nsite = 'valley'\nkind = 'language-model'\n\
         policy = 'assistant'\n\
         [[pool]]\nname = 'assistant-kalimati'\nservice = 'assistant'\nzone = 'kalimati'\n\
         model = '{MODEL}'\nbackends = [{}]\n",
        backends.join(", ")
    )
}

/// Starts a node and its engines, and waits until requests are split between them.
async fn start_fleet() -> Fleet {
    let directory = tempfile::tempdir().expect("a directory");
    let platform = start_standin(&["platform"]);
    let engine =
        |(name, role): &(&str, &str)| start_standin(&["engine", "--name", name, "--role", role]);
    let engines: Vec<Standin> = ENGINES.iter().map(engine).collect();
    let settings = node_settings("node-0", "kalimati", platform.address);
    let settings = format!("{settings}[limits]\nengine_stall = '500ms'\n");
    let node = start_node(directory.path(), "node-0", &settings);
    let file = directory.path().join("resources.toml");
    std::fs::write(&file, resources(&engines)).expect("the resources are written");
    let file = file.to_str().expect("a UTF-8 path");
    run_tansyhall(&["ctl", "--node", &node.admin.to_string(), "apply", file]);
    let fleet = Fleet {
        node,
        engines,
        _platform: platform,
        _directory: directory,
    };
    eventually("requests are split", || async {
        warm_up(&fleet).await?;
        let resumed = resumed_after(fleet.decode()).await;
        resumed.contains(&1).then_some(())
    })
    .await;
    fleet
}

/// Asks for a short completion.
async fn warm_up(fleet: &Fleet) -> Option<()> {
    let body = json!({ "model": MODEL, "prompt": "warm up", "max_tokens": 2 });
    let url = format!("http://{}/v1/completions", fleet.node.callers);
    let response = awc::Client::default().post(url).send_json(&body).await;
    response.ok().map(|_| ())
}

/// The node's metrics, as text.
async fn metrics(fleet: &Fleet) -> String {
    let url = format!("http://{}/metrics", fleet.node.admin);
    let mut response = awc::Client::default()
        .get(url)
        .send()
        .await
        .expect("an answer");
    let body = response.body().await.expect("the metrics");
    String::from_utf8_lossy(&body).into_owned()
}

/// Load reports that the node has read.
async fn reports_read(fleet: &Fleet) -> u64 {
    let metrics = metrics(fleet).await;
    let name = "tansyhall_load_reports_total{outcome=\"read\"} ";
    let line = metrics.lines().find_map(|line| line.strip_prefix(name));
    line.and_then(|count| count.parse().ok()).unwrap_or(0)
}

/// From which token on each request of these engines was to be answered.
async fn resumed_after(engines: &[Standin]) -> Vec<u64> {
    let mut resumed = Vec::new();
    for engine in engines {
        let records = get_json(engine.address, "/standin/records").await;
        let records = records.unwrap_or_default();
        let requests = records["requests"].as_array().cloned().unwrap_or_default();
        resumed.extend(
            requests
                .iter()
                .filter_map(|request| request["resume_after"].as_u64()),
        );
    }
    resumed
}

/// A prompt of its own for each test's request, so that no prefix cache holds it.
fn prompt(name: &str) -> String {
    let words: Vec<String> = (0..PROMPT_WORDS)
        .map(|word| format!("{name}{word}"))
        .collect();
    words.join(" ")
}

fn assert_whole(outcome: &StreamOutcome, prompt: &str) {
    assert_eq!(outcome.verdict.as_deref(), Some("completed"));
    assert!(outcome.text == answer_text(MODEL, prompt, TOKENS));
}

/// Asks for a long streamed completion; `on_text` is called once, after the first text.
async fn ask(
    node: SocketAddr,
    prompt: &str,
    repeatable: bool,
    on_text: impl AsyncFnOnce(),
) -> StreamOutcome {
    let asked = StreamRequest {
        model: MODEL,
        prompt,
        tokens: TOKENS,
        repeatable,
    };
    stream_completion(node, &asked, on_text).await
}

/// The engine that holds a request now.
async fn busy_engine(engines: &[Standin]) -> &Standin {
    eventually("an engine holds the request", || async {
        for engine in engines {
            // One that was killed before does not answer.
            let state = get_json(engine.address, "/control/state").await;
            if state.unwrap_or_default()["requests"].as_u64() > Some(0) {
                return Some(engine);
            }
        }
        None
    })
    .await
}

#[actix_rt::test]
async fn a_request_is_prefilled_by_one_engine_and_answered_by_another() {
    for repeatable in [true, false] {
        let fleet = start_fleet().await;
        let warm_up = resumed_after(fleet.decode()).await.len();
        let prompt = prompt("split");
        let outcome = ask(fleet.node.callers, &prompt, repeatable, async || ()).await;
        assert_whole(&outcome, &prompt);
        let resumed = resumed_after(fleet.decode()).await;
        assert_eq!(resumed.len(), warm_up + 1);
        let mut cached = 0;
        for engine in fleet.decode() {
            let events = get_json(engine.address, "/control/cache-events?after=0").await;
            let events = events.expect("cache events")["events"].as_array().cloned();
            cached = cached.max(events.map_or(0, |events| events.len()));
        }
        assert!(cached > 900, "the prompt's blocks were moved: {cached}");
    }
}

#[actix_rt::test]
async fn an_answer_is_whole_though_its_prefill_engine_is_lost_while_it_prefills() {
    for signal in ["KILL", "STOP"] {
        let fleet = start_fleet().await;
        let prompt = prompt("prefilling");
        let strike = async { busy_engine(fleet.prefill()).await.process.signal(signal) };
        let answer = ask(fleet.node.callers, &prompt, true, async || ());
        let (outcome, ()) = futures_util::join!(answer, strike);
        assert_whole(&outcome, &prompt);
    }
}

#[actix_rt::test]
async fn an_answer_is_whole_though_every_prefill_engine_is_lost_after_the_first_token() {
    for signal in ["KILL", "STOP"] {
        let fleet = start_fleet().await;
        let prompt = prompt("prefilled");
        let strike = async || {
            for engine in fleet.prefill() {
                engine.process.signal(signal);
            }
        };
        let outcome = ask(fleet.node.callers, &prompt, true, strike).await;
        assert_whole(&outcome, &prompt);
    }
}

/// Gives an engine an order under an authority of the test's own.
async fn order(engine: &Standin, order_id: &str, action: OrderAction) {
    let engines = EngineClient::new(Duration::from_secs(1));
    let state = engines.state(engine.address).await.expect("a state");
    let order = Order {
        order_id: order_id.to_owned(),
        fence_token: FenceToken(u64::MAX),
        incarnation: state.incarnation,
        action,
    };
    let reply = engines.order(engine.address, &order).await;
    assert_eq!(reply.expect("a reply"), OrderReply::Accepted);
}

#[actix_rt::test]
async fn an_answer_is_whole_though_its_decode_engine_is_lost_while_the_cache_is_moved() {
    for signal in ["KILL", "STOP"] {
        let fleet = start_fleet().await;
        let [target, other] = fleet.decode() else {
            panic!("two decode engines");
        };
        // Only the one that does not drain is chosen; the move there takes 0.2 s.
        order(other, "drain", OrderAction::Drain).await;
        let known = reports_read(&fleet).await + ROUNDS_OF_REPORTS * ENGINES.len() as u64;
        eventually("the drain is known", || async {
            (reports_read(&fleet).await >= known).then_some(())
        })
        .await;
        let prompt = prompt("moving");
        let strike = async || {
            target.process.signal(signal);
            order(other, "resume", OrderAction::Resume).await;
        };
        let outcome = ask(fleet.node.callers, &prompt, true, strike).await;
        assert_whole(&outcome, &prompt);
        let failed = "tansyhall_kv_transfers_total{outcome=\"import-failed\"} 1";
        let metrics = metrics(&fleet).await;
        assert!(metrics.contains(failed), "SIG{signal}: {metrics}");
    }
}

#[actix_rt::test]
async fn an_answer_is_whole_though_the_cache_is_not_exported() {
    let fleet = start_fleet().await;
    let client = awc::Client::default();
    for engine in fleet.prefill() {
        let url = format!("http://{}/standin/faults", engine.address);
        let faults = json!({ "forget_kv_caches": true });
        let response = client.post(url).send_json(&faults).await;
        assert_eq!(response.expect("an answer").status(), 204);
    }
    let prompt = prompt("forgotten");
    let outcome = ask(fleet.node.callers, &prompt, true, async || ()).await;
    assert_whole(&outcome, &prompt);
    let failed = "tansyhall_kv_transfers_total{outcome=\"export-failed\"} 1";
    assert!(metrics(&fleet).await.contains(failed));
}

#[actix_rt::test]
async fn an_answer_is_whole_though_its_decode_engine_is_lost_in_mid_answer() {
    for signal in ["KILL", "STOP"] {
        let fleet = start_fleet().await;
        let prompt = prompt("decoding");
        let strike = async { busy_engine(fleet.decode()).await.process.signal(signal) };
        let answer = ask(fleet.node.callers, &prompt, true, async || ());
        let (outcome, ()) = futures_util::join!(answer, strike);
        assert_whole(&outcome, &prompt);
    }
}
