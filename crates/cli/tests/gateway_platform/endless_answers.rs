//! Answers of workers that never end, in their head or in their body, at full speed or a few bytes at a time. The gateway
//! closes the connection at the deadline of the request at the latest, and its memory stays bounded.

use std::time::{Duration, Instant};

use futures_util::future::join_all;
use http_body_util::{BodyExt, Empty};
use hyper_util::rt::TokioIo;
use tansyhall_endless_answers::{EndlessAnswer, EndlessServer, Pace};
use tansyhall_platform_standin::{Behaviour, DEADLINE, REQUEST_ID, SEAL, WORKER_ENTRY_PREFIX};
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::support::{Site, SiteGateway, HOST, NON_RESUMABLE, REPEATABLE, RESUMABLE};

/// How long callers wait.
const CALLER_LIMIT: Duration = Duration::from_secs(2);
/// Time after which a request must have ended: half a second after its deadline, and time for a busy machine.
const END_LIMIT: Duration = Duration::from_secs(4);
/// The memory that a gateway may occupy.
const MAX_MEMORY_BYTES: u64 = 64 << 20;
const CALLERS: usize = 6;
const ANSWERS: [EndlessAnswer; 11] = [
    EndlessAnswer::StatusLine,
    EndlessAnswer::Headers,
    EndlessAnswer::HeaderValue,
    EndlessAnswer::InterimAnswers,
    EndlessAnswer::Body { status: 200 },
    EndlessAnswer::Chunks { status: 200 },
    EndlessAnswer::Event,
    EndlessAnswer::Body { status: 500 },
    EndlessAnswer::Chunks { status: 500 },
    EndlessAnswer::Body { status: 503 },
    EndlessAnswer::Chunks { status: 421 },
];
const PACES: [Pace; 2] = [
    Pace::Full,
    Pace::Trickle {
        pause: Duration::from_millis(20),
    },
];

/// Starts a worker of the application service that gives each request this answer.
async fn start_worker(site: &Site, answer: EndlessAnswer, pace: Pace) -> EndlessServer {
    let headers = |request: &str| {
        let mut lines = request.lines();
        let id = lines.find(|line| line.to_lowercase().starts_with(&REQUEST_ID.to_lowercase()));
        let id = id.unwrap_or_default();
        format!("{id}\r\n{SEAL}: seal\r\n")
    };
    let worker = EndlessServer::start(answer, pace, headers);
    site.announce_worker("endless", ("app", None), worker.address);
    site.wait_for_ready_workers(0, 1.0).await;
    worker
}

/// Sends a request and discards its answer. Returns whether the answer, if any, ends within [`END_LIMIT`].
async fn ends(gateway: &SiteGateway, id: &str, path: &str) -> bool {
    let exchange = async {
        let stream = TcpStream::connect(gateway.addresses.callers).await;
        let stream = TokioIo::new(stream.expect("a connection"));
        let handshake = hyper::client::conn::http1::handshake(stream).await;
        let (mut sender, connection) = handshake.expect("a connection");
        actix_rt::spawn(connection);
        let request = hyper::Request::post(path)
            .header("Host", HOST)
            .header(REQUEST_ID, id)
            .header(DEADLINE, CALLER_LIMIT.as_millis().to_string())
            .body(Empty::<bytes::Bytes>::new());
        let Ok(response) = sender.send_request(request.expect("a request")).await else {
            return;
        };
        let mut body = response.into_body();
        while let Some(Ok(_)) = body.frame().await {}
    };
    timeout(END_LIMIT, exchange).await.is_ok()
}

/// Guards against a worker that occupies a gateway's memory, or its callers beyond their deadlines.
#[actix_rt::test]
async fn answers_of_workers_that_never_end_cost_bounded_memory_and_time() {
    let site = Site::start(&[("app", None, Behaviour::Hang)], 1).await;
    site.workers[0].worker.remove_entry();
    site.wait_for_ready_workers(0, 0.0).await;
    let gateway = &site.gateways[0];
    let mut problems = Vec::new();
    for pace in PACES {
        for answer in ANSWERS {
            let worker = start_worker(&site, answer, pace).await;
            let began = Instant::now();
            let paths = [REPEATABLE, RESUMABLE, NON_RESUMABLE];
            let ended = join_all((0..CALLERS).map(|number| {
                let path = paths[number % paths.len()];
                async move {
                    let id =
                        format!("{answer:?}-{pace:?}-{number}").replace([' ', '{', '}', ':'], "");
                    (path, ends(gateway, &id, path).await)
                }
            }))
            .await;
            let late = ended.iter().filter(|(_, has_ended)| !has_ended);
            problems.extend(late.map(|(path, _)| format!("{answer:?}, {pace:?}, {path}: no end")));
            if worker.requests() == 0 {
                problems.push(format!("{answer:?}, {pace:?}: no request"));
            }
            while worker.open_connections() > 0 {
                if began.elapsed() > END_LIMIT * 2 {
                    problems.push(format!("{answer:?}, {pace:?}: connections are open"));
                    break;
                }
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
            let memory = gateway.process.peak_memory_bytes();
            println!(
                "{answer:?}, {pace:?}: {:?}, {memory} bytes, {} requests",
                began.elapsed(),
                worker.requests()
            );
            if memory > MAX_MEMORY_BYTES {
                problems.push(format!("{answer:?}, {pace:?}: {memory} bytes of memory"));
            }
            site.store.remove(&format!("{WORKER_ENTRY_PREFIX}endless"));
            site.wait_for_ready_workers(0, 0.0).await;
        }
    }
    assert!(problems.is_empty(), "{problems:#?}");
}
