//! An engine that answers with mismatched, duplicate, reordered, late, truncated and garbage
//! chunks. The caller gets its own complete answer or a correct verdict, and never anything else.

mod support;

use std::net::SocketAddr;

use actix_web::{web, App, HttpResponse, HttpServer};
use serde_json::{json, Value};
use support::{
    bind_listener, completion_body, expected_text, header, request_completion, start_engine,
    start_node, StreamReader, MODEL, PROMPT,
};
use tansyhall_engine::protocol::{EngineRequest, COMPLETIONS_PATH};
use tansyhall_standin::engine::answer_text;
use tokio::io::AsyncReadExt;

const TOKENS: u32 = 6;
/// Identifier of another request.
const OTHER_REQUEST_ID: &str = "0123456789abcdef0123456789abcdef";

/// How the rogue engine corrupts its answer after a number of correct chunks.
#[derive(Debug, Clone, Copy)]
enum Fault {
    MismatchedChunk,
    DuplicateChunk,
    ReorderedChunks,
    LateChunk,
    TruncatedStream,
    TruncatedEvent,
    Garbage,
    GarbageJson,
    TooLongEvent,
    ServerError,
}

const FAULTS: [Fault; 10] = [
    Fault::MismatchedChunk,
    Fault::DuplicateChunk,
    Fault::ReorderedChunks,
    Fault::LateChunk,
    Fault::TruncatedStream,
    Fault::TruncatedEvent,
    Fault::Garbage,
    Fault::GarbageJson,
    Fault::TooLongEvent,
    Fault::ServerError,
];

fn event(id: &str, index: u32, text: &str, last: bool) -> String {
    let reason = last.then_some("length");
    let chunk = json!({
        "id": id, "token_index": index, "tokens": 1, "text": text, "finish_reason": reason,
    });
    format!("data: {chunk}\n\n")
}

/// Returns the events of an answer whose first `correct_chunks` chunks are correct.
fn answer(fault: Fault, request: &EngineRequest, correct_chunks: u32) -> Vec<u8> {
    let id = &request.request_id;
    let token = |index: u32| {
        let before = answer_text(MODEL, PROMPT, index).len();
        answer_text(MODEL, PROMPT, index + 1)[before..].to_owned()
    };
    let own = |index: u32| event(id, index, &token(index), index + 1 == TOKENS);
    let mut events: String = (0..correct_chunks).map(own).collect();
    let mismatched = || {
        event(
            OTHER_REQUEST_ID,
            correct_chunks,
            "of another family ",
            false,
        )
    };
    match fault {
        Fault::MismatchedChunk => events.push_str(&(mismatched() + &own(correct_chunks))),
        Fault::DuplicateChunk => {
            let again = correct_chunks.saturating_sub(1);
            events.push_str(&own(again));
            events.push_str(&own(again));
        }
        Fault::ReorderedChunks => {
            events.push_str(&(own(correct_chunks + 1) + &own(correct_chunks)))
        }
        Fault::LateChunk => {
            let rest: String = (correct_chunks..TOKENS).map(own).collect();
            events.push_str(&(rest + &own(correct_chunks)));
        }
        Fault::TruncatedStream => {}
        Fault::TruncatedEvent => events.push_str(&own(correct_chunks)[..20]),
        Fault::Garbage => return [events.as_bytes(), b"data: \xff\xfe\x00\n\n"].concat(),
        Fault::GarbageJson => events.push_str("data: {\"id\":[]}\n\n"),
        Fault::TooLongEvent => events.push_str(&format!("data: {}", "x".repeat(2 << 20))),
        Fault::ServerError => {}
    }
    events.into_bytes()
}

async fn respond(
    rogue: web::Data<(Fault, u32)>,
    request: web::Json<EngineRequest>,
) -> HttpResponse {
    let (fault, correct_chunks) = **rogue;
    if let (Fault::ServerError, 0) = (fault, correct_chunks) {
        return HttpResponse::InternalServerError().body("out of memory");
    }
    HttpResponse::Ok()
        .content_type("text/event-stream")
        .body(answer(fault, &request, correct_chunks))
}

fn start_rogue(fault: Fault, correct_chunks: u32) -> SocketAddr {
    let (listener, address) = bind_listener();
    let server = HttpServer::new(move || {
        App::new()
            .app_data(web::Data::new((fault, correct_chunks)))
            .route(COMPLETIONS_PATH, web::post().to(respond))
    });
    let server = server.workers(1).disable_signals().listen(listener);
    actix_rt::spawn(server.expect("a server").run());
    address
}

/// Sends a request that the node routes to the rogue engine first, because it counts a request in
/// flight at the other one.
async fn ask_rogue_first(
    fault: Fault,
    correct_chunks: u32,
    headers: &[(&str, &str)],
    request: &Value,
) -> (StreamReader, u64) {
    let engines = [start_rogue(fault, correct_chunks), start_engine("engine-1")];
    let (node, address) = start_node(&engines, &[], "");
    let _busy = node.track_in_flight(&"engine-1".into());
    let reader = StreamReader::new(request_completion(address, headers, request).await)
        .read_all()
        .await;
    let kinds = ["broken", "mismatch"];
    let attempts = &node.metrics.attempts;
    let counted = kinds.map(|kind| attempts.with_label_values(&[kind]).get());
    (reader, counted.iter().sum())
}

/// Starts an engine that reads a request, which it may run, and closes the connection without an
/// answer.
fn start_closing_engine() -> SocketAddr {
    let (listener, address) = bind_listener();
    listener.set_nonblocking(true).expect("a listener");
    let listener = tokio::net::TcpListener::from_std(listener).expect("a listener");
    actix_rt::spawn(async move {
        while let Ok((mut connection, _)) = listener.accept().await {
            let _ = connection.read(&mut [0; 4_096]).await;
        }
    });
    address
}

#[actix_rt::test]
async fn a_request_that_an_engine_read_and_never_answered_may_have_run() {
    let engines = [start_closing_engine(), start_engine("engine-1")];
    let (node, address) = start_node(&engines, &[], "");
    let _busy = node.track_in_flight(&"engine-1".into());
    let once = [("tansyhall-not-repeatable", "true")];
    let response = request_completion(address, &once, &completion_body(TOKENS, false)).await;
    assert_eq!(response.status(), 502);
    assert_eq!(header(&response, "tansyhall-verdict"), "may-have-run");
    let repeatable = request_completion(address, &[], &completion_body(TOKENS, false)).await;
    assert_eq!(repeatable.status(), 200);
}

#[actix_rt::test]
async fn a_repeatable_request_gets_its_own_complete_answer_from_another_engine() {
    for fault in FAULTS {
        for correct_chunks in [0, 3] {
            let (reader, errors) =
                ask_rogue_first(fault, correct_chunks, &[], &completion_body(TOKENS, true)).await;
            assert_eq!(
                reader.text,
                expected_text(TOKENS),
                "{fault:?} after {correct_chunks}"
            );
            assert_eq!(reader.verdict.as_deref(), Some("completed"), "{fault:?}");
            // A chunk after the last one is never read: the answer was complete before it arrived.
            let unread = matches!(fault, Fault::LateChunk);
            assert_eq!(
                errors,
                u64::from(!unread),
                "{fault:?} after {correct_chunks}"
            );
        }
    }
}

#[actix_rt::test]
async fn a_request_that_is_not_repeatable_gets_a_correct_verdict_and_no_second_run() {
    let once = [("tansyhall-not-repeatable", "true")];
    for fault in FAULTS {
        for correct_chunks in [0, 3] {
            let (reader, errors) =
                ask_rogue_first(fault, correct_chunks, &once, &completion_body(TOKENS, true)).await;
            let own = expected_text(TOKENS);
            assert!(own.starts_with(&reader.text), "{fault:?}: {}", reader.text);
            if matches!(fault, Fault::LateChunk) {
                assert_eq!(reader.verdict.as_deref(), Some("completed"), "{fault:?}");
                continue;
            }
            assert!(
                reader.text.len() < own.len(),
                "{fault:?} after {correct_chunks}"
            );
            assert_eq!(
                reader.verdict.as_deref().unwrap_or("may-have-run"),
                "may-have-run"
            );
            assert_eq!(errors, 1, "{fault:?} after {correct_chunks}");
        }
    }
}
