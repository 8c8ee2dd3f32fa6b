//! Deadlines, late answers, the status resource, retries and callers that disconnect.

mod support;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use futures_util::FutureExt;
use serde_json::{json, Value};
use support::{
    client, completion_body, expected_text, header, read_json, request_completion, set_faults,
    start_engine, start_node, unused_address, StreamReader, MODEL,
};
use tansyhall_admission::service_rate::DEFAULT_WAIT;
use tansyhall_engine::protocol::{FenceToken, Order, OrderAction};
use tansyhall_engine::EngineClient;
use tansyhall_node::Node;
use tansyhall_standin::engine::answer_text;
use tansyhall_testing::{eventually, get_json};

const CONNECT_TIMEOUT: Duration = Duration::from_secs(5);

/// Orders an engine to drain or resume, and passes its state to the node.
async fn order(node: &Node, engine: SocketAddr, action: OrderAction) {
    let orders = EngineClient::new(CONNECT_TIMEOUT);
    let state = orders.state(engine).await.expect("a state");
    let order = Order {
        order_id: format!("{action:?}"),
        fence_token: FenceToken(1),
        incarnation: state.incarnation,
        action,
    };
    orders.order(engine, &order).await.expect("a reply");
    let state = orders.state(engine).await.expect("a state");
    node.with_engines(|engines| engines.entry("engine-0".into()).or_default().state = Some(state));
}

fn assert_not_run_with_advice(response: &awc::ClientResponse) {
    assert_eq!(header(response, "tansyhall-verdict"), "not-run");
    assert!(!header(response, "tansyhall-request-id").is_empty());
    let seconds: u64 = header(response, "retry-after").parse().expect("seconds");
    assert!(seconds >= 1);
}

async fn records(engine: SocketAddr) -> Value {
    let records = get_json(engine, "/standin/records").await;
    records.expect("the engine's records")
}

#[actix_rt::test]
async fn a_deadline_that_passes_before_any_engine_accepts_is_answered_not_run() {
    let engine = start_engine("engine-0");
    let (node, address) = start_node(&[engine], &[], "");
    order(&node, engine, OrderAction::Drain).await;
    for stream in [false, true] {
        let deadline = [("tansyhall-deadline-ms", "200")];
        let response = request_completion(address, &deadline, &completion_body(4, stream)).await;
        assert_eq!(response.status(), 504);
        assert_not_run_with_advice(&response);
    }
    assert_eq!(records(engine).await["requests"], json!([]));
    assert_eq!(node.metrics.late.get(), 2);
}

#[actix_rt::test]
async fn a_stream_says_that_it_is_queued_and_is_served_once_an_engine_accepts() {
    let engine = start_engine("engine-0");
    let (node, address) = start_node(&[engine], &[], "");
    order(&node, engine, OrderAction::Drain).await;
    let mut reader =
        StreamReader::new(request_completion(address, &[], &completion_body(4, true)).await);
    while reader.comments.is_empty() {
        assert!(reader.read().await);
    }
    assert!(reader.comments[0].starts_with(": tansyhall state=queued waited_ms="));
    assert!(reader.comments[0].ends_with(" deadline_ms=20000"));
    order(&node, engine, OrderAction::Resume).await;
    let reader = reader.read_all().await;
    assert_eq!(reader.text, expected_text(4));
    assert_eq!(reader.verdict.as_deref(), Some("completed"));
}

#[actix_rt::test]
async fn a_draining_engine_costs_no_retries_at_a_node_that_does_not_know_of_it() {
    let engines = [start_engine("engine-0"), start_engine("engine-1")];
    let limits = "retries_per_thousand = 0\nretry_reserve = 0";
    let (_node, address) = start_node(&engines, &[], limits);
    let (elsewhere, _) = start_node(&engines, &[], "");
    order(&elsewhere, engines[0], OrderAction::Drain).await;
    for _ in 0..10 {
        let response = request_completion(address, &[], &completion_body(2, false)).await;
        assert_eq!(response.status(), 200);
    }
    order(&elsewhere, engines[1], OrderAction::Drain).await;
    let mut reader =
        StreamReader::new(request_completion(address, &[], &completion_body(2, true)).await);
    while reader.comments.is_empty() {
        assert!(reader.read().await);
    }
    assert!(reader.comments[0].starts_with(": tansyhall state=queued "));
    order(&elsewhere, engines[0], OrderAction::Resume).await;
    assert_eq!(reader.read_all().await.text, expected_text(2));
}

#[actix_rt::test]
async fn a_caller_that_goes_away_while_it_prefers_to_wait_cancels_its_work() {
    let engine = start_engine("engine-0");
    let (node, address) = start_node(&[engine], &[], "");
    let request = client().post(format!("http://{address}/v1/completions"));
    let request = request.insert_header(("prefer", "wait=600"));
    let mut unanswered = Box::pin(request.send_json(&completion_body(50_000, false)));
    eventually("the request is at the engine", || {
        let _ = unanswered.as_mut().now_or_never();
        async { (records(engine).await["requests"].as_array()?.len() == 1).then_some(()) }
    })
    .await;
    drop(unanswered);
    eventually("the request is cancelled", || async {
        let records = records(engine).await;
        (records["cancelled"] == 1 && node.metrics.in_progress.get() == 0).then_some(())
    })
    .await;
}

/// Number of concurrent callers in the test below.
const CALLERS: usize = 40;
/// How long the test starts new streams until one is interrupted and resumed.
const RESUME_TIMEOUT: Duration = Duration::from_secs(60);

/// Sends many requests at once, and freezes an engine while it answers some of them.
async fn ask_while_an_engine_freezes(node: &Node, address: SocketAddr, engine: SocketAddr) {
    let callers: Vec<_> = (0..CALLERS)
        .map(|caller| {
            let prompt = format!("how much rice has family {caller}");
            let expected = answer_text(MODEL, &prompt, 100);
            let body = json!({
                "model": MODEL, "prompt": prompt, "max_tokens": 100, "stream": true,
            });
            actix_rt::spawn(async move {
                let reader = StreamReader::new(request_completion(address, &[], &body).await)
                    .read_all()
                    .await;
                (reader, expected)
            })
        })
        .collect();
    eventually("the callers' requests are at the engines", || async {
        (node.metrics.in_progress.get() == CALLERS as i64).then_some(())
    })
    .await;
    set_faults(engine, json!({ "frozen": true })).await;
    eventually(
        "streams are resumed elsewhere, or had not begun and run elsewhere",
        || async {
            let metrics = &node.metrics;
            (metrics.resumed.get() > 0 || metrics.in_progress.get() == 0).then_some(())
        },
    )
    .await;
    set_faults(engine, json!({})).await;
    for caller in callers {
        let (reader, expected) = caller.await.expect("the caller's task ends");
        assert_eq!(reader.text, expected);
        assert_eq!(reader.verdict.as_deref(), Some("completed"));
    }
    assert_eq!(node.metrics.mismatches.get(), 0);
}

#[actix_rt::test]
async fn many_callers_at_once_get_their_own_answers_while_engines_fail() {
    let engines = ["engine-0", "engine-1", "engine-2"].map(start_engine);
    let limits = "engine_stall = '200ms'\nmax_attempts = 20\nretry_reserve = 10000";
    let (node, address) = start_node(&engines, &[], limits);
    // On a busy machine the engine may freeze before it has started a stream. No stream is resumed
    // then, and the test tries again.
    let started = Instant::now();
    while node.metrics.resumed.get() == 0 {
        assert!(started.elapsed() < RESUME_TIMEOUT, "no stream was resumed");
        ask_while_an_engine_freezes(&node, address, engines[0]).await;
    }
}

#[actix_rt::test]
async fn a_request_fails_immediately_when_no_engine_accepts_work() {
    let engine = start_engine("engine-0");
    let (_node, address) = start_node(&[engine], &[], "");
    set_faults(engine, json!({ "refuse_work": true })).await;
    let response = request_completion(address, &[], &completion_body(4, true)).await;
    assert_eq!(response.status(), 503);
    assert_not_run_with_advice(&response);
}

#[actix_rt::test]
async fn a_late_answer_is_reported_as_late_and_still_delivered_completely() {
    let engine = start_engine("engine-0");
    let (node, address) = start_node(&[engine], &[], "engine_stall = '60s'");
    // The first answer is short, so that the node expects the long one to meet its deadline and
    // does not refuse it.
    assert_eq!(
        request_completion(address, &[], &completion_body(1, false))
            .await
            .status(),
        200
    );
    let deadline = [("tansyhall-deadline-ms", "400")];
    let response = request_completion(address, &deadline, &completion_body(100, true)).await;
    let id = header(&response, "tansyhall-request-id").to_owned();
    let mut reader = StreamReader::new(response);
    reader.read_text().await;
    set_faults(engine, json!({ "frozen": true })).await;
    let late = |comment: &String| comment.starts_with(": tansyhall state=late waited_ms=");
    while !reader.comments.iter().any(late) {
        assert!(reader.read().await);
    }
    let status = get_json(address, &format!("/v1/requests/{id}")).await;
    let status = status.expect("a status");
    assert_eq!(status["state"], "late");
    assert_eq!(status["deadline_ms"], 400);
    assert!(status["waited_ms"].as_u64() > Some(400));
    set_faults(engine, json!({})).await;
    let reader = reader.read_all().await;
    assert_eq!(reader.text, expected_text(100));
    assert_eq!(node.metrics.late.get(), 1);
    let status = get_json(address, &format!("/v1/requests/{id}")).await;
    assert_eq!(status.expect("a status")["state"], "completed");
}

#[actix_rt::test]
async fn a_caller_that_prefers_not_to_wait_fetches_its_answer_later() {
    let engine = start_engine("engine-0");
    let (_node, address) = start_node(&[engine], &[], "");
    set_faults(engine, json!({ "frozen": true })).await;
    let prefer = [("prefer", "respond-async, wait=0")];
    let mut response = request_completion(address, &prefer, &completion_body(5, false)).await;
    assert_eq!(response.status(), 202);
    assert_eq!(header(&response, "tansyhall-verdict"), "may-have-run");
    let location = header(&response, "location").to_owned();
    assert_eq!(read_json(&mut response).await["state"], "queued");
    let answer = format!("http://{address}{location}/answer");
    let early = client().get(&answer).send().await.expect("an answer");
    assert_eq!(early.status(), 202);
    set_faults(engine, json!({})).await;
    eventually("the request is completed", || async {
        let status = get_json(address, &location).await?;
        (status["state"] == "completed" && status["answer"].is_string()).then_some(())
    })
    .await;
    let mut fetched = client().get(&answer).send().await.expect("an answer");
    assert_eq!(fetched.status(), 200);
    assert_eq!(header(&fetched, "tansyhall-verdict"), "completed");
    assert_eq!(
        read_json(&mut fetched).await["choices"][0]["text"],
        expected_text(5)
    );
}

#[actix_rt::test]
async fn kept_answers_are_limited_in_number_and_expire() {
    let engine = start_engine("engine-0");
    let limits = "max_kept_answers = 1\nrequest_retention = '1h'";
    let (node, address) = start_node(&[engine], &[], limits);
    let prefer = [("prefer", "wait=0")];
    let first = request_completion(address, &prefer, &completion_body(5, false)).await;
    assert_eq!(first.status(), 202);
    let second = request_completion(address, &prefer, &completion_body(5, false)).await;
    assert_eq!(second.status(), 200, "no slot is free to keep its answer");
    eventually("the first request has its answer", || async {
        let status = get_json(address, header(&first, "location")).await?;
        status["answer"].is_string().then_some(())
    })
    .await;
    let retention = node.settings.limits.request_retention;
    let later = node.clock.now() + retention + retention;
    node.callers.requests.sweep(later);
    assert!(node.callers.requests.is_empty());
    let third = request_completion(address, &prefer, &completion_body(5, false)).await;
    assert_eq!(third.status(), 202, "the slot is free again");
}

#[actix_rt::test]
async fn an_unknown_request_has_no_status() {
    let (_node, address) = start_node(&[unused_address()], &[], "");
    for id in ["x", "00000000000000000000000000000001"] {
        let url = format!("http://{address}/v1/requests/{id}");
        let response = client().get(url).send().await.expect("an answer");
        assert_eq!(response.status(), 404);
    }
}

#[actix_rt::test]
async fn a_caller_that_goes_away_cancels_its_work() {
    let engine = start_engine("engine-0");
    let (node, address) = start_node(&[engine], &[], "");
    let mut reader =
        StreamReader::new(request_completion(address, &[], &completion_body(50_000, true)).await);
    reader.read_text().await;
    drop(reader);
    let url = format!("http://{address}/v1/completions");
    let unanswered = client()
        .post(url)
        .send_json(&completion_body(50_000, false));
    let mut unanswered = Box::pin(unanswered);
    eventually("the second request is at the engine", || {
        let _ = unanswered.as_mut().now_or_never();
        async { (records(engine).await["requests"].as_array()?.len() == 2).then_some(()) }
    })
    .await;
    drop(unanswered);
    eventually("both requests are cancelled", || async {
        let state = get_json(engine, "/control/state").await?;
        let records = records(engine).await;
        (state["requests"] == 0 && records["cancelled"] == 2).then_some(())
    })
    .await;
    assert_eq!(node.metrics.callers_gone.get(), 2);
    assert_eq!(node.metrics.in_progress.get(), 0);
}

#[actix_rt::test]
async fn a_frozen_engine_is_detected_and_the_stream_resumed_elsewhere() {
    let engines = [start_engine("engine-0"), start_engine("engine-1")];
    let (node, address) = start_node(&engines, &[], "engine_stall = '200ms'");
    let counted_at_other = node.track_in_flight(&"engine-1".into());
    let mut reader =
        StreamReader::new(request_completion(address, &[], &completion_body(200, true)).await);
    reader.read_text().await;
    drop(counted_at_other);
    set_faults(engines[0], json!({ "frozen": true })).await;
    let reader = reader.read_all().await;
    assert_eq!(reader.text, expected_text(200));
    assert_eq!(reader.verdict.as_deref(), Some("completed"));
    assert_eq!(node.metrics.resumed.get(), 1);
    let resumed = &records(engines[1]).await["requests"][0]["resume_after"];
    assert!(
        resumed.as_u64() > Some(0),
        "only the remaining tokens are generated"
    );
}

#[actix_rt::test]
async fn an_unreachable_engine_is_avoided_after_a_few_failures() {
    let engines = [unused_address(), start_engine("engine-1")];
    let (node, address) = start_node(&engines, &[], "");
    // The first engine looks idle and is preferred: its failures open its circuit breaker.
    for _ in 0..8 {
        let counted_at_other = node.track_in_flight(&"engine-1".into());
        let mut response = request_completion(address, &[], &completion_body(2, false)).await;
        assert_eq!(response.status(), 200);
        let text = &read_json(&mut response).await["choices"][0]["text"];
        assert_eq!(*text, expected_text(2));
        drop(counted_at_other);
    }
    assert_eq!(node.metrics.breakers_opened.get(), 1);
    let unreachable = node.metrics.attempts.with_label_values(&["unreachable"]);
    assert!(unreachable.get() < 8, "the open breaker spares attempts");
}

#[actix_rt::test]
async fn a_full_node_advises_a_wait_from_its_observed_rate() {
    let engine = start_engine("engine-0");
    let (node, address) = start_node(&[engine], &[], "max_requests = 2");
    for _ in 0..5 {
        let served = request_completion(address, &[], &completion_body(5, false)).await;
        assert_eq!(served.status(), 200);
    }
    let mut readers = Vec::new();
    for _ in 0..2 {
        let mut reader = StreamReader::new(
            request_completion(address, &[], &completion_body(50_000, true)).await,
        );
        reader.read_text().await;
        readers.push(reader);
    }
    let mut refused = request_completion(address, &[], &completion_body(5, false)).await;
    assert_eq!(refused.status(), 503);
    assert_not_run_with_advice(&refused);
    let seconds: u64 = header(&refused, "retry-after").parse().expect("seconds");
    let advised = read_json(&mut refused).await["error"]["retry_after_ms"].as_u64();
    let advised = advised.expect("milliseconds");
    let observed = node.callers.health.advised_wait(&"assistant".into());
    assert_eq!(u128::from(advised), observed.as_millis());
    assert_ne!(observed, DEFAULT_WAIT);
    assert_eq!(seconds, advised.div_ceil(1_000));
}

#[actix_rt::test]
async fn the_retry_budget_ends_retries_when_it_is_spent() {
    let engines = [unused_address(), unused_address()];
    let limits = "retries_per_thousand = 0\nretry_reserve = 0";
    let (node, address) = start_node(&engines, &[], limits);
    let response = request_completion(address, &[], &completion_body(2, false)).await;
    assert_eq!(response.status(), 503);
    assert_not_run_with_advice(&response);
    let spent = node.metrics.retries.with_label_values(&["budget-spent"]);
    assert_eq!(spent.get(), 1);
}

#[actix_rt::test]
async fn a_request_with_a_key_runs_at_most_once_at_this_node() {
    let engine = start_engine("engine-0");
    let (_node, address) = start_node(&[engine], &[], "");
    let once = [
        ("tansyhall-not-repeatable", "true"),
        ("idempotency-key", "slip-7"),
    ];
    set_faults(engine, json!({ "refuse_work": true })).await;
    let refused = request_completion(address, &once, &completion_body(3, false)).await;
    assert_eq!(header(&refused, "tansyhall-verdict"), "not-run");
    set_faults(engine, json!({})).await;
    let first = request_completion(address, &once, &completion_body(3, false)).await;
    assert_eq!(
        first.status(),
        200,
        "an attempt that did not run may be repeated"
    );
    let second = request_completion(address, &once, &completion_body(3, false)).await;
    assert_eq!(second.status(), 409);
    assert_eq!(header(&second, "tansyhall-verdict"), "may-have-run");
    let runs = records(engine).await["requests"].as_array().map(Vec::len);
    assert_eq!(runs, Some(1));
}
