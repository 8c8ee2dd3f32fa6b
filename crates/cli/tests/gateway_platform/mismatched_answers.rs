//! Workers that send an answer again, late, in the place of the next one on its connection.
//!
//! Seen: on real sockets a few callers got an answer that was not their own. How it came about: a
//! gateway keeps its connections to workers, and the late second answer to one request was read as
//! the answer to the next. Cause: an answer was taken for a request's because of its place on the
//! connection. Where ids were compared, two sends under one id were not told apart; where a prompt
//! was read apart, ids were not compared at all, and the request went on from another's KV cache.
//! Proof: each test fails on a gateway without the comparison that it is about.

use crate::support::{ask, ask_own_prompt, Site, REPEATABLE};
use tansyhall_platform_standin::{cache_handle_of, Behaviour};

const ECHO: Behaviour = Behaviour::Serve { events: 0 };
const REQUESTS: usize = 12;

#[actix_rt::test]
async fn no_request_goes_on_from_the_cache_of_another() {
    let site = Site::start(&[("llm", Some("decode"), ECHO)], 1).await;
    let reader = site
        .add_stuttering_worker("llm", Some("prefill"), ECHO)
        .await;
    for number in 0..REQUESTS {
        ask_own_prompt(&site.gateways[0], &format!("m-{number}"), number).await;
    }
    assert!(reader.worker.prompts_read() > 1, "no prompt was read apart");
    let noticed = "gateway_foreign_answers_total{work=\"read_prompt\"}";
    assert!(site.gateways[0].metric(noticed).await > Some(0.0));
    for run in site.workers[0].worker.runs() {
        let Some(source) = &run.cache_source else {
            continue;
        };
        let own = cache_handle_of(&run.request_id);
        assert!(source.ends_with(&own), "{} from {source}", run.request_id);
    }
}

#[actix_rt::test]
async fn two_requests_under_one_id_get_an_answer_each() {
    let site = Site::start(&[("llm", Some("decode"), ECHO)], 1).await;
    let worker = site.add_stuttering_worker("app", None, ECHO).await;
    for number in 0..REQUESTS {
        let body = format!("body {number}");
        let answer = ask(&site.gateways[0], "same", REPEATABLE, body.as_bytes()).await;
        assert!(answer.status != 200 || answer.body == body.as_bytes());
    }
    assert!(worker.worker.runs().len() > 1, "the worker was hardly used");
}

#[actix_rt::test]
async fn two_requests_under_one_id_are_both_served() {
    let site = Site::start(&[("llm", Some("decode"), ECHO)], 1).await;
    let _worker = site.add_stuttering_worker("app", None, ECHO).await;
    let mut statuses = Vec::new();
    for number in 0..REQUESTS {
        let body = format!("body {number}");
        let answer = ask(&site.gateways[0], "same", REPEATABLE, body.as_bytes()).await;
        statuses.push(answer.status);
    }
    assert_eq!(statuses, [200; REQUESTS]);
}

#[actix_rt::test]
async fn some_request_goes_on_from_its_own_cache_and_all_are_answered() {
    let site = Site::start(&[("llm", Some("decode"), ECHO)], 1).await;
    site.add_stuttering_worker("llm", Some("prefill"), ECHO)
        .await;
    for number in 0..REQUESTS {
        ask_own_prompt(&site.gateways[0], &format!("m-{number}"), number).await;
    }
    let runs = site.workers[0].worker.runs();
    let with_source = runs.iter().filter(|run| run.cache_source.is_some()).count();
    assert_eq!(runs.len(), REQUESTS);
    assert!(with_source > 0, "no run had a source");
}

/// A caller of HTTP/1.0 knows no chunks: a stream that breaks off would end like a whole one.
#[actix_rt::test]
async fn a_stream_that_breaks_off_does_not_look_whole_over_http_1_0() {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    let broken = Behaviour::AbortAnswer { events: 2 };
    let site = Site::start(&[("app", None, broken)], 1).await;
    let address = site.gateways[0].addresses.callers;
    let mut caller = tokio::net::TcpStream::connect(address)
        .await
        .expect("a gateway");
    let path = crate::support::FINAL_STREAM;
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

/// Callers that send several requests at once, on several connections, get their answers in order.
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
