//! Invalid input from callers: the right status, a verdict and a counter, and no request is left in
//! progress.

mod support;

use std::net::SocketAddr;

use proptest::prelude::*;
use serde_json::json;
use support::{
    client, completion_body, expected_text, header, read_json, request_completion, start_engine,
    start_node, StreamReader, MODEL,
};
use tansyhall_node::callers::shape::CallerRequest;
use tansyhall_node::Node;
use tansyhall_testing::eventually;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

async fn post(node: SocketAddr, body: Vec<u8>) -> awc::ClientResponse {
    let request = client().post(format!("http://{node}/v1/chat/completions"));
    request.send_body(body).await.expect("an answer")
}

fn assert_invalid(response: &awc::ClientResponse, status: u16) {
    assert_eq!(response.status(), status);
    assert_eq!(header(response, "tansyhall-verdict"), "not-run");
    assert_eq!(header(response, "retry-after"), "", "a retry does not help");
    assert!(!header(response, "tansyhall-request-id").is_empty());
}

fn refused(node: &Node, reason: &str) -> u64 {
    node.metrics.refused.with_label_values(&[reason]).get()
}

#[actix_rt::test]
async fn malformed_bodies_are_refused() {
    let (node, address) = start_node(&[start_engine("engine-0")], &[], "");
    let bodies: [&[u8]; 6] = [
        b"",
        b"{",
        b"\xff\xfe",
        b"[]",
        b"{\"model\":\"base\"}",
        b"{\"model\":\"base\",\"prompt\":\"x\",\"max_tokens\":-1}",
    ];
    for body in bodies {
        assert_invalid(&post(address, body.to_vec()).await, 400);
    }
    assert_eq!(refused(&node, "malformed"), 6);
    assert_eq!(node.metrics.in_progress.get(), 0);
}

#[actix_rt::test]
async fn oversize_bodies_unknown_models_and_bad_headers_are_refused() {
    let limits = "max_body_bytes = 1000";
    let (node, address) = start_node(&[start_engine("engine-0")], &[], limits);
    assert_invalid(&post(address, vec![b' '; 2_000]).await, 413);
    assert_eq!(refused(&node, "too-large"), 1);
    let unknown = json!({ "model": "nobody-has-it", "prompt": "x" });
    assert_invalid(&request_completion(address, &[], &unknown).await, 404);
    assert_eq!(refused(&node, "unknown-model"), 1);
    let bad_headers = [
        ("tansyhall-deadline-ms", "soon"),
        ("tansyhall-deadline-ms", "0"),
        ("tansyhall-priority", "first"),
        ("tansyhall-not-repeatable", "yes"),
        ("idempotency-key", "two words"),
    ];
    for bad in bad_headers {
        assert_invalid(
            &request_completion(address, &[bad], &completion_body(2, false)).await,
            400,
        );
    }
    assert_eq!(refused(&node, "option"), 5);
}

#[actix_rt::test]
async fn an_engine_that_rejects_a_request_ends_it_at_once() {
    let engines = [start_engine("engine-0"), start_engine("engine-1")];
    let (node, address) = start_node(&engines, &[], "");
    let response = request_completion(address, &[], &completion_body(u32::MAX, false)).await;
    assert_invalid(&response, 413);
    let rejected = node.metrics.attempts.with_label_values(&["rejected"]);
    assert_eq!(rejected.get(), 1);
}

#[actix_rt::test]
async fn a_body_that_does_not_arrive_times_out() {
    let limits = "body_timeout = '100ms'";
    let (node, address) = start_node(&[start_engine("engine-0")], &[], limits);
    let mut connection = TcpStream::connect(address).await.expect("a connection");
    let head = b"POST /v1/completions HTTP/1.1\r\nhost: x\r\ncontent-length: 100\r\n\r\n{";
    connection.write_all(head).await.expect("the head is sent");
    let mut answer = String::new();
    while !answer.contains("not-run") {
        let mut bytes = [0; 1_024];
        let read = connection.read(&mut bytes).await.expect("an answer");
        assert!(read > 0, "closed after: {answer}");
        answer.push_str(&String::from_utf8_lossy(&bytes[..read]));
    }
    assert!(answer.starts_with("HTTP/1.1 408 "), "{answer}");
    assert_eq!(refused(&node, "slow-body"), 1);
}

#[actix_rt::test]
async fn closing_the_callers_side_of_a_connection_cancels_its_request() {
    let (node, address) = start_node(&[start_engine("engine-0")], &[], "");
    let body = completion_body(50_000, false).to_string();
    let request = format!(
        "POST /v1/completions HTTP/1.1\r\nhost: x\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    );
    let mut connection = TcpStream::connect(address).await.expect("a connection");
    connection
        .write_all(request.as_bytes())
        .await
        .expect("the request is sent");
    eventually("the request is in progress", || async {
        (node.metrics.in_progress.get() == 1).then_some(())
    })
    .await;
    connection
        .shutdown()
        .await
        .expect("a half-closed connection");
    eventually("the request is cancelled", || async {
        (node.metrics.in_progress.get() == 0).then_some(())
    })
    .await;
    assert_eq!(node.metrics.callers_gone.get(), 1);
}

#[actix_rt::test]
async fn a_caller_that_stops_reading_is_disconnected() {
    // Enough tokens to fill every buffer between the engine and the caller.
    const TOKENS: u32 = 150_000;
    let limits = "caller_stall = '200ms'";
    let (listener, engine) = support::bind_listener();
    let server = actix_web::HttpServer::new(|| {
        actix_web::App::new().default_service(actix_web::web::to(stream_endlessly))
    });
    let server = server.workers(1).disable_signals().listen(listener);
    actix_rt::spawn(server.expect("a server").run());
    let (node, address) = start_node(&[engine], &[], limits);
    let response = request_completion(address, &[], &completion_body(TOKENS, true)).await;
    eventually("the caller is disconnected", || async {
        (node.metrics.callers_stalled.get() == 1).then_some(())
    })
    .await;
    let reader = StreamReader::new(response).read_all().await;
    assert_eq!(
        reader.verdict, None,
        "the partial answer does not look complete"
    );
    assert_eq!(node.metrics.in_progress.get(), 0);
}

/// Answers with chunks without end, as fast as they are read.
async fn stream_endlessly(
    request: actix_web::web::Json<tansyhall_engine::protocol::EngineRequest>,
) -> actix_web::HttpResponse {
    let id = request.into_inner().request_id;
    let text = "x".repeat(4_000);
    let chunks = futures_util::stream::iter((0_u32..).map(move |index| {
        let chunk = json!({ "id": id, "token_index": index, "tokens": 1, "text": text });
        Ok::<_, std::io::Error>(bytes::Bytes::from(format!("data: {chunk}\n\n")))
    }));
    actix_web::HttpResponse::Ok().streaming(chunks)
}

#[actix_rt::test]
async fn a_request_after_a_bad_one_on_the_same_connection_is_served() {
    let (_node, address) = start_node(&[start_engine("engine-0")], &[], "");
    let client = client();
    let url = format!("http://{address}/v1/completions");
    let bad = client.post(&url).send_body("{").await;
    assert_eq!(bad.expect("an answer").status(), 400);
    let good = client
        .post(&url)
        .send_json(&completion_body(3, false))
        .await;
    let answer = read_json(&mut good.expect("an answer")).await;
    assert_eq!(answer["choices"][0]["text"], expected_text(3));
}

proptest! {
    #[test]
    fn the_decoder_of_callers_requests_never_panics(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        let _ = serde_json::from_slice::<CallerRequest>(&bytes);
    }

    #[test]
    fn a_request_survives_fields_that_the_system_does_not_use(
        prompt in "\\PC{0,40}", field in "x_[a-z]{1,8}", value in "\\PC{0,20}", stream: bool,
        max_tokens in prop::option::of(any::<u32>()),
    ) {
        let text = json!({
            "model": MODEL, "prompt": prompt, "stream": stream, "max_tokens": max_tokens,
            field: value,
        });
        let request: CallerRequest = serde_json::from_str(&text.to_string())?;
        prop_assert_eq!(request.prompt.flattened(), prompt);
        prop_assert_eq!(request.stream, stream);
        prop_assert_eq!(request.max_tokens, max_tokens);
    }

    #[test]
    fn a_truncated_request_is_an_error(prompt in "\\PC{0,40}", cut in any::<prop::sample::Index>()) {
        let text = json!({ "model": MODEL, "prompt": prompt }).to_string();
        let cut = cut.index(text.len());
        prop_assert!(serde_json::from_slice::<CallerRequest>(&text.as_bytes()[..cut]).is_err());
    }
}

#[actix_rt::test]
async fn bytes_that_are_not_http_are_refused_and_the_next_caller_is_served() {
    let (_node, address) = start_node(&[start_engine("engine-0")], &[], "");
    let huge_header = format!("GET / HTTP/1.1\r\nx: {}\r\n\r\n", "x".repeat(1 << 20));
    let heads: [&[u8]; 3] = [
        b"\x16\x03\x01\x02\x00\x01\x00\r\n\r\n",
        b"GET\r\n\r\n",
        huge_header.as_bytes(),
    ];
    for head in heads {
        let mut connection = TcpStream::connect(address).await.expect("a connection");
        // The node may close the connection before it has read everything.
        let _ = connection.write_all(head).await;
        let mut answer = Vec::new();
        let _ = connection.read_to_end(&mut answer).await;
        let answer = String::from_utf8_lossy(&answer);
        let refused = answer.is_empty() || answer.starts_with("HTTP/1.1 4");
        assert!(refused, "{answer}");
    }
    let mut response = request_completion(address, &[], &completion_body(3, false)).await;
    let text = &read_json(&mut response).await["choices"][0]["text"];
    assert_eq!(*text, expected_text(3));
}
