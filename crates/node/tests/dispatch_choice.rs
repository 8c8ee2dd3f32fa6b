//! Which engine gets a request, what a node learns about engines, and when it refuses requests.

mod support;

use actix::Actor;
use serde_json::json;
use std::sync::Arc;
use support::*;
use tansyhall_core::{EngineName, Role};
use tansyhall_engine::blocks::block_hashes;
use tansyhall_node::dispatch::LoadPoller;
use tansyhall_node::Node;
use tansyhall_testing::eventually;

/// Polls the engines' load, and waits until each of them has reported.
async fn start_polling(node: &Arc<Node>, engines: usize) {
    LoadPoller::new(Arc::clone(node)).start();
    let names: Vec<EngineName> = (0..engines)
        .map(|index| format!("engine-{index}").as_str().into())
        .collect();
    eventually("every engine reports", || {
        let now = node.clock.now();
        let trackers = &node.dispatch.trackers;
        let reporting = names.iter().all(|name| trackers.is_reporting(name, now));
        async move { reporting.then_some(()) }
    })
    .await;
}

fn choices(node: &Node, choice: &str) -> u64 {
    node.metrics.choices.with_label_values(&[choice]).get()
}

#[actix_rt::test]
async fn a_request_that_no_engine_can_answer_in_time_is_refused_at_once() {
    let engine = start_engine("engine-0");
    let (node, address) = start_node(&[engine], &[], "");
    let deadline = [("tansyhall-deadline-ms", "300")];
    let mut response = request_completion(address, &deadline, &completion_body(200, false)).await;
    assert_eq!(response.status(), 503);
    assert_eq!(header(&response, "tansyhall-verdict"), "not-run");
    assert_eq!(header(&response, "retry-after"), "1");
    // 200 iterations of 4.2 ms and those of the prompt, less four fifths of the time left.
    let retry_after = read_json(&mut response).await["error"]["retry_after_ms"].as_u64();
    let retry_after = retry_after.expect("an advised wait");
    assert!((600..850).contains(&retry_after), "{retry_after} ms");
    assert_eq!(choices(&node, "refused"), 1);
    assert_eq!(choices(&node, "whole"), 0);
    assert_eq!(node.dispatch.trackers.in_flight(&"engine-0".into()), 0);
}

#[actix_rt::test]
async fn a_load_that_another_node_made_is_learned_from_reports() {
    let engines = [start_engine("engine-0"), start_engine("engine-1")];
    let (node, address) = start_node(&engines, &[], "");
    let (_, elsewhere) = start_node(&engines[..1], &[], "");
    let mut others = Vec::new();
    for _ in 0..8 {
        let mut reader = StreamReader::new(
            request_completion(elsewhere, &[], &completion_body(2_000, true)).await,
        );
        reader.read_text().await;
        others.push(reader);
    }
    start_polling(&node, engines.len()).await;
    eventually("the load is known", || {
        let now = node.clock.now();
        let estimate = node
            .dispatch
            .trackers
            .estimate(&"engine-0".into(), now, None, &[]);
        async move { (estimate.decoding >= 8.0).then_some(()) }
    })
    .await;
    let response = request_completion(address, &[], &completion_body(4, false)).await;
    assert_eq!(response.status(), 200);
    let records = get_records(engines[1]).await;
    assert_eq!(records["requests"].as_array().map(Vec::len), Some(1));
}

#[actix_rt::test]
async fn an_engine_that_drains_elsewhere_is_left_out_once_it_reports_so() {
    let engines = [start_engine("engine-0"), start_engine("engine-1")];
    let (node, address) = start_node(&engines, &[], "");
    start_polling(&node, engines.len()).await;
    order_drain(engines[0]).await;
    eventually("the drain is known", || {
        let now = node.clock.now();
        let estimate = node
            .dispatch
            .trackers
            .estimate(&"engine-0".into(), now, None, &[]);
        async move { (!estimate.accepts_work).then_some(()) }
    })
    .await;
    assert_eq!(
        request_completion(address, &[], &completion_body(4, false))
            .await
            .status(),
        200
    );
    let unavailable = node.metrics.attempts.with_label_values(&["unavailable"]);
    assert_eq!(unavailable.get(), 0, "the draining engine got no request");
}

#[actix_rt::test]
async fn an_engine_that_does_not_report_is_chosen_by_the_nodes_own_count() {
    let engines = [unused_address(), start_engine("engine-1")];
    let (node, address) = start_node(&engines, &[], "");
    LoadPoller::new(Arc::clone(&node)).start();
    eventually("a report fails", || {
        let failed = node
            .metrics
            .load_reports
            .with_label_values(&["unreachable"]);
        let failed = failed.get();
        async move { (failed > 0).then_some(()) }
    })
    .await;
    let breakers = node.metrics.breakers_opened.get();
    assert_eq!(breakers, 0, "a missing report opens no breaker");
    let _busy = node.track_in_flight(&"engine-1".into());
    let response = request_completion(address, &[], &completion_body(4, false)).await;
    assert_eq!(response.status(), 200);
    let unreachable = node.metrics.attempts.with_label_values(&["unreachable"]);
    assert_eq!(unreachable.get(), 1, "it was tried first, as the idle one");
}

#[actix_rt::test]
async fn a_node_follows_no_more_engines_than_its_setting() {
    let engines: Vec<_> = (0..5)
        .map(|index| start_engine(&format!("engine-{index}")))
        .collect();
    let limits = "max_requests = 100\n[routing]\nfollowed_engines = 2";
    let (node, address) = start_node(&engines, &[], limits);
    LoadPoller::new(Arc::clone(&node)).start();
    eventually("two engines are known", || {
        let known = node.dispatch.trackers.len();
        async move { (known == 2).then_some(()) }
    })
    .await;
    for _ in 0..10 {
        assert_eq!(
            request_completion(address, &[], &completion_body(2, false))
                .await
                .status(),
            200
        );
    }
    let mut used = 0;
    for engine in &engines {
        let records = get_records(*engine).await;
        used += usize::from(records["requests"] != json!([]));
    }
    assert!(used <= 2, "{used} engines were used");
}

#[actix_rt::test]
async fn choices_and_predictions_are_counted() {
    let engine = start_engine_as("engine-0", Role::Mixed);
    let (node, address) = start_node(&[engine], &[], "");
    for _ in 0..3 {
        assert_eq!(
            request_completion(address, &[], &completion_body(20, false))
                .await
                .status(),
            200
        );
    }
    assert_eq!(choices(&node, "whole"), 3);
    assert_eq!(node.metrics.prediction_ratio.get_sample_count(), 3);
    let text = node.metrics.render().expect("metrics");
    assert!(text.contains("tansyhall_prediction_ratio_bucket"));
}

#[actix_rt::test]
async fn a_prompt_goes_to_the_engine_that_holds_its_beginning() {
    let engines = [start_engine("engine-0"), start_engine("engine-1")];
    let (node, address) = start_node(&engines, &[], "");
    let (_, elsewhere) = start_node(&engines[1..], &[], "");
    let ledger: Vec<String> = (0..160).map(|word| format!("family{word}")).collect();
    let ask_ledger = async |node| {
        let body = json!({ "model": MODEL, "prompt": ledger.join(" "), "max_tokens": 2 });
        assert_eq!(request_completion(node, &[], &body).await.status(), 200);
    };
    ask_ledger(elsewhere).await;
    start_polling(&node, engines.len()).await;
    let blocks = block_hashes(MODEL, &ledger.join(" "));
    eventually(
        "the engine's cache is known, and that it is idle again",
        || {
            let now = node.clock.now();
            let trackers = &node.dispatch.trackers;
            let estimate = trackers.estimate(&"engine-1".into(), now, None, &blocks);
            let is_idle = estimate.decoding + estimate.waiting == 0.0;
            async move { (estimate.cached_tokens >= 160.0 && is_idle).then_some(()) }
        },
    )
    .await;
    ask_ledger(address).await;
    let records = get_records(engines[1]).await;
    assert_eq!(records["requests"].as_array().map(Vec::len), Some(2));
}
