//! Workers that send an answer a second time, late, in place of the next answer on the connection.
//!
//! The failure: on real sockets a few callers got the answer to another request. A gateway keeps its connections to
//! workers open, and read the late second answer to one request as the answer to the next. It matched answers to requests
//! only by their order on the connection. Where ids were compared, two sends with the same id were not distinguished.
//! Where a prompt was read apart, ids were not compared at all, and the request continued from the KV cache of another
//! request. Each test fails on a gateway without the comparison that it covers.

use crate::support::{send_request, send_unique_prompt, Site, REPEATABLE};
use tansyhall_platform_standin::{cache_handle_of, Behaviour};

const ECHO: Behaviour = Behaviour::Serve { events: 0 };
const REQUESTS: usize = 12;

#[actix_rt::test]
async fn no_request_continues_from_the_cache_of_another() {
    let site = Site::start(&[("llm", Some("decode"), ECHO)], 1).await;
    let reader = site
        .add_duplicating_worker("llm", Some("prefill"), ECHO)
        .await;
    for number in 0..REQUESTS {
        send_unique_prompt(&site.gateways[0], &format!("m-{number}"), number).await;
    }
    assert!(reader.worker.prompts_read() > 1, "no prompt was read apart");
    let mismatched = "gateway_foreign_answers_total{work=\"read_prompt\"}";
    assert!(site.gateways[0].metric(mismatched).await > Some(0.0));
    for run in site.workers[0].worker.runs() {
        let Some(source) = &run.cache_source else {
            continue;
        };
        let own_handle = cache_handle_of(&run.request_id);
        assert!(
            source.ends_with(&own_handle),
            "{} continued from {source}",
            run.request_id
        );
    }
}

#[actix_rt::test]
async fn two_requests_with_the_same_id_each_get_their_own_answer() {
    let site = Site::start(&[("llm", Some("decode"), ECHO)], 1).await;
    let worker = site.add_duplicating_worker("app", None, ECHO).await;
    for number in 0..REQUESTS {
        let body = format!("body {number}");
        let answer = send_request(&site.gateways[0], "same", REPEATABLE, body.as_bytes()).await;
        assert!(answer.status != 200 || answer.body == body.as_bytes());
    }
    assert!(
        worker.worker.runs().len() > 1,
        "the worker ran at most one request"
    );
}

#[actix_rt::test]
async fn two_requests_with_the_same_id_are_both_served() {
    let site = Site::start(&[("llm", Some("decode"), ECHO)], 1).await;
    let _worker = site.add_duplicating_worker("app", None, ECHO).await;
    let mut statuses = Vec::new();
    for number in 0..REQUESTS {
        let body = format!("body {number}");
        let answer = send_request(&site.gateways[0], "same", REPEATABLE, body.as_bytes()).await;
        statuses.push(answer.status);
    }
    assert_eq!(statuses, [200; REQUESTS]);
}

#[actix_rt::test]
async fn some_request_continues_from_its_own_cache_and_all_are_answered() {
    let site = Site::start(&[("llm", Some("decode"), ECHO)], 1).await;
    site.add_duplicating_worker("llm", Some("prefill"), ECHO)
        .await;
    for number in 0..REQUESTS {
        send_unique_prompt(&site.gateways[0], &format!("m-{number}"), number).await;
    }
    let runs = site.workers[0].worker.runs();
    let with_source = runs.iter().filter(|run| run.cache_source.is_some()).count();
    assert_eq!(runs.len(), REQUESTS);
    assert!(with_source > 0, "no run continued from a cache");
}

/// HTTP/1.0 has no chunked encoding: a stream that breaks off would end like a complete one.
#[actix_rt::test]
async fn a_stream_that_breaks_off_does_not_look_complete_over_http_1_0() {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    let broken = Behaviour::AbortAnswer { events: 2 };
    let site = Site::start(&[("app", None, broken)], 1).await;
    let address = site.gateways[0].addresses.callers;
    let mut caller = tokio::net::TcpStream::connect(address)
        .await
        .expect("a gateway");
    let path = crate::support::NON_RESUMABLE;
    let host = crate::support::HOST;
    let request = format!(
        "POST {path} HTTP/1.0\r\nHost: {host}\r\nX-Request-Id: old\r\nX-Deadline-Ms: 5000\r\nContent-Length: 0\r\n\r\n"
    );
    caller
        .write_all(request.as_bytes())
        .await
        .expect("a caller");
    let mut answer = Vec::new();
    caller.read_to_end(&mut answer).await.expect("an answer");
    let text = String::from_utf8_lossy(&answer).into_owned();
    let status = text.split_whitespace().nth(1);
    assert_eq!(status, Some("502"), "{text}");
}

/// Callers that pipeline several requests, on several connections, get their answers in order.
#[actix_rt::test]
async fn callers_that_pipeline_get_their_own_answers_in_order() {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    let site = Site::start(&[("app", None, ECHO), ("app", None, ECHO)], 1).await;
    let address = site.gateways[0].addresses.callers;
    let mut callers = Vec::new();
    for caller in 0..8 {
        callers.push(actix_rt::spawn(async move {
            let mut stream = tokio::net::TcpStream::connect(address).await.expect("a gateway");
            let host = crate::support::HOST;
            let mut requests = String::new();
            for number in 0..6 {
                let close = if number == 5 { "Connection: close\r\n" } else { "" };
                let body = format!("body-{caller}-{number};");
                requests.push_str(&format!(
                    "POST {REPEATABLE} HTTP/1.1\r\nHost: {host}\r\nX-Request-Id: p-{caller}-{number}\r\nX-Deadline-Ms: 5000\r\n{close}Content-Length: {}\r\n\r\n{body}",
                    body.len()
                ));
            }
            stream.write_all(requests.as_bytes()).await.expect("a caller");
            let mut answers = Vec::new();
            stream.read_to_end(&mut answers).await.expect("answers");
            let answers = String::from_utf8_lossy(&answers).into_owned();
            let found: Vec<usize> = (0..6)
                .filter_map(|number| answers.find(&format!("body-{caller}-{number};")))
                .collect();
            let ids = answers.matches("x-request-id: p-").count();
            assert_eq!(ids, 6, "{answers}");
            assert!(found.len() == 6 && found.is_sorted(), "{found:?} {answers}");
        }));
    }
    for caller in callers {
        caller.await.expect("a caller");
    }
}
