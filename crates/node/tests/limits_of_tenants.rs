//! Limits of tenants at one node: which tenant a caller belongs to, what is refused with which
//! advised wait, and what is released when a request ends.

mod support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

use actix_web::{web, App, HttpResponse, HttpServer};
use awc::ClientResponse;
use futures_util::future::join_all;
use support::{
    bind_listener, completion_body, header, read_json, request_completion, start_engine,
    start_node, StreamReader, MODEL,
};
use tansyhall_config::file::ResourceFile;
use tansyhall_config::Configuration;
use tansyhall_engine::protocol::{EngineRequest, COMPLETIONS_PATH};
use tansyhall_node::configuration::ConfigurationInForce;
use tansyhall_node::Node;
use tansyhall_testing::eventually;
use tokio::sync::mpsc;

const COOPERATIVE: (&str, &str) = ("tansyhall-tenant", "cooperative");
const REGISTRY: (&str, &str) = ("tansyhall-tenant", "registry");
/// Number of tokens that take an engine far longer than a test needs.
const LONG_ANSWER_TOKENS: u32 = 50_000;
/// Number of tokens of each of several streams that fit into an engine's memory together.
const SHARED_MEMORY_TOKENS: u32 = 3_000;

/// Starts a node with one engine, whose service has this policy and belongs to the tenant
/// `cooperative`.
fn start(policy: &str, limits: &str) -> (Arc<Node>, SocketAddr) {
    start_with_engine(start_engine("engine-0"), policy, limits)
}

fn start_with_engine(engine: SocketAddr, policy: &str, limits: &str) -> (Arc<Node>, SocketAddr) {
    let (node, address) = start_node(&[], &[], limits);
    let text = format!(
        "[[tenant]]\nname = 'cooperative'\nowner = 'depot'\n\
         [[tenant]]\nname = 'registry'\nowner = 'desk'\n\
         [[policy]]\nname = 'assistant'\nsource = '{policy}'\n\
         [[site]]\nname = 'valley'\nregion = 'valley'\nzones = ['kalimati']\n\
         [[service]]\nname = 'assistant'\nsite = 'valley'\nkind = 'language-model'\n\
         policy = 'assistant'\ntenant = 'cooperative'\n\
         [[pool]]\nname = 'assistant-kalimati'\nservice = 'assistant'\nzone = 'kalimati'\n\
         model = '{MODEL}'\nadapters = ['tuned']\nbackends = [{{ name = 'engine-0', address = '{engine}' }}]\n"
    );
    let resources = ResourceFile::parse(&text).expect("resources");
    let mut configuration = Configuration {
        revision: 1,
        ..Configuration::default()
    };
    for resource in resources.into_resources() {
        configuration.put(resource);
    }
    let in_force = ConfigurationInForce::new(configuration).expect("a configuration");
    node.in_force.store(Arc::new(in_force));
    (node, address)
}

fn assert_over_limit(answer: &ClientResponse) {
    assert_eq!(answer.status(), 429);
    assert_eq!(header(answer, "tansyhall-verdict"), "not-run");
    let seconds: u64 = header(answer, "retry-after").parse().expect("seconds");
    assert!(seconds >= 1);
}

/// Starts a long stream and reads its first text.
async fn start_stream(address: SocketAddr, tenant: (&str, &str), tokens: u32) -> StreamReader {
    let answer = request_completion(address, &[tenant], &completion_body(tokens, true)).await;
    assert_eq!(answer.status(), 200);
    let mut reader = StreamReader::new(answer);
    reader.read_text().await;
    reader
}

#[actix_rt::test]
async fn requests_beyond_the_rate_are_refused_with_an_advised_wait() {
    let policy = "tenant cooperative { limit 2 requests per s; }";
    let (node, address) = start(policy, "");
    let started_at = Instant::now();
    let request = completion_body(1, false);
    let asks = (0..40).map(|_| request_completion(address, &[], &request));
    let answers = join_all(asks).await;
    let allowed = 2 + 2 * (started_at.elapsed().as_secs() + 1);
    let admitted = answers.iter().filter(|answer| answer.status() == 200);
    let admitted = admitted.count() as u64;
    assert!((1..=allowed).contains(&admitted), "{admitted} of {allowed}");
    let refused: Vec<_> = answers.into_iter().filter(|a| a.status() != 200).collect();
    assert!(!refused.is_empty());
    let counted = node.metrics.refused.with_label_values(&["requests-limit"]);
    assert_eq!(counted.get(), refused.len() as u64);
    for mut answer in refused {
        assert_over_limit(&answer);
        let advised = read_json(&mut answer).await["error"]["retry_after_ms"].clone();
        assert!(
            advised.as_u64().is_some_and(|millis| millis <= 500),
            "{advised}"
        );
    }
    let unlimited = request_completion(address, &[REGISTRY], &request).await;
    assert_eq!(unlimited.status(), 200, "another tenant has its own limits");
}

#[actix_rt::test]
async fn an_unknown_tenant_is_refused_and_a_known_one_is_seen_by_policies() {
    let policy = "class desk when tenant == \"registry\" { deadline 7s; }";
    let (node, address) = start(policy, "");
    let request = completion_body(1, false);
    let unknown = request_completion(address, &[("tansyhall-tenant", "nobody")], &request).await;
    assert_eq!(unknown.status(), 400);
    assert_eq!(header(&unknown, "tansyhall-verdict"), "not-run");
    let counted = node.metrics.refused.with_label_values(&["unknown-tenant"]);
    assert_eq!(counted.get(), 1);
    assert!(deadline_millis(address, &[]).await > 7_000);
    assert!(deadline_millis(address, &[REGISTRY]).await <= 7_000);
}

/// Returns the deadline of a long request, as its status resource states it.
async fn deadline_millis(address: SocketAddr, tenant: &[(&str, &str)]) -> u64 {
    let headers = [&[("prefer", "wait=0")], tenant].concat();
    let mut answer = request_completion(
        address,
        &headers,
        &completion_body(LONG_ANSWER_TOKENS, false),
    )
    .await;
    assert_eq!(answer.status(), 202);
    let status = read_json(&mut answer).await;
    status["deadline_ms"].as_u64().expect("a deadline")
}

#[actix_rt::test]
async fn a_slot_of_the_concurrency_limit_is_released_when_a_caller_disconnects() {
    let policy = "tenant cooperative { limit 1 concurrent; }";
    let (node, address) = start(policy, "");
    let held = start_stream(address, COOPERATIVE, LONG_ANSWER_TOKENS).await;
    assert_over_limit(&request_completion(address, &[], &completion_body(1, false)).await);
    let counted = node
        .metrics
        .refused
        .with_label_values(&["concurrent-limit"]);
    assert_eq!(counted.get(), 1);
    drop(held);
    eventually("the slot is released", || async {
        let answer = request_completion(address, &[], &completion_body(1, false)).await;
        (answer.status() == 200).then_some(())
    })
    .await;
}

#[actix_rt::test]
async fn tokens_are_taken_by_estimate_and_corrected_by_use() {
    let policy = "tenant cooperative { limit 100 tokens per s; }";
    let (_node, address) = start(policy, "");
    let held = start_stream(address, COOPERATIVE, LONG_ANSWER_TOKENS).await;
    let mut refused = request_completion(address, &[], &completion_body(1, false)).await;
    assert_over_limit(&refused);
    let advised = read_json(&mut refused).await["error"]["retry_after_ms"].clone();
    let debt_millis = u64::from(LONG_ANSWER_TOKENS) * 1_000 / 100;
    assert!(advised.as_u64() > Some(debt_millis / 2), "{advised}");
    drop(held);
    eventually("unused tokens are refunded", || async {
        let answer = request_completion(address, &[], &completion_body(1, false)).await;
        (answer.status() == 200).then_some(())
    })
    .await;
}

#[actix_rt::test]
async fn the_last_slots_of_a_node_are_reserved_for_the_tenant_that_holds_fewer() {
    let (node, address) = start("", "max_requests = 8");
    let _registry = start_stream(address, REGISTRY, SHARED_MEMORY_TOKENS).await;
    let mut held = Vec::new();
    for _ in 0..6 {
        held.push(start_stream(address, COOPERATIVE, SHARED_MEMORY_TOKENS).await);
    }
    let refused = request_completion(address, &[], &completion_body(1, false)).await;
    assert_eq!(refused.status(), 503);
    assert_eq!(header(&refused, "tansyhall-verdict"), "not-run");
    let counted = node.metrics.refused.with_label_values(&["fair-part"]);
    assert_eq!(counted.get(), 1);
    let other = request_completion(address, &[REGISTRY], &completion_body(1, true)).await;
    assert_eq!(other.status(), 200);
}

#[actix_rt::test]
async fn the_adapter_that_a_class_picks_reaches_the_engine() {
    let (listener, engine) = bind_listener();
    let (sender, mut received) = mpsc::unbounded_channel();
    let server = HttpServer::new(move || {
        let sender = sender.clone();
        let answer = move |request: web::Json<EngineRequest>| {
            let sender = sender.clone();
            async move {
                sender
                    .send(request.adapter.clone())
                    .expect("the test waits");
                HttpResponse::BadRequest().finish()
            }
        };
        App::new().route(COMPLETIONS_PATH, web::post().to(answer))
    });
    let server = server.workers(1).disable_signals().listen(listener);
    actix_rt::spawn(server.expect("a server").run());
    let policy = "class counter { adapters tuned 100%; }";
    let (_node, address) = start_with_engine(engine, policy, "");
    request_completion(address, &[], &completion_body(1, false)).await;
    let adapter = received.recv().await.expect("a request");
    assert_eq!(adapter.as_deref(), Some("tuned"));
}
