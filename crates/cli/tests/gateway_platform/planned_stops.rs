//! Planned stops of gateways: every request that a stopping gateway has accepted is answered before its process exits.

use std::io::{Read, Write};
use std::net::TcpListener;
use std::time::Duration;

use futures_util::future::{join, join_all};
use serde_json::json;
use tansyhall_platform_standin::{Behaviour, DEADLINE, REQUEST_ID, SEAL, WORKER_ENTRY_PREFIX};
use tansyhall_testing::{eventually, get_metric_sum};
use tokio::time::sleep;

use crate::support::{
    send_request, try_request, CallerAnswer, Site, AT_MOST_ONCE, HOST, NON_RESUMABLE, REPEATABLE,
    RESUMABLE,
};

/// Time from SIGTERM to SIGKILL in seconds.
const GRACE_S: u64 = 3;
const PATHS: [&str; 4] = [REPEATABLE, AT_MOST_ONCE, RESUMABLE, NON_RESUMABLE];

/// Sends a request to the first gateway on each path.
async fn send_to_all_paths(site: &Site, prefix: &str) -> Vec<(String, Option<CallerAnswer>)> {
    let sends = PATHS.iter().enumerate().map(|(number, path)| async move {
        let id = format!("{prefix}-{number}");
        let answer = try_request(&site.gateways[0], &id, path, b"x").await;
        (id, answer)
    });
    join_all(sends).await
}

async fn wait_until_stopping(site: &Site) {
    eventually("the gateway is stopping", || async {
        (!site.gateways[0].is_ready().await).then_some(())
    })
    .await;
}

/// Guards against the end of a stopping process closing the connections of callers whose requests it has accepted.
#[actix_rt::test]
async fn a_request_that_is_in_progress_at_the_end_of_the_grace_period_is_answered() {
    let site = Site::start_with_grace(&[("app", None, Behaviour::Hang)], 1, GRACE_S).await;
    let stop_and_send = async {
        for number in 0..PATHS.len() {
            site.wait_for_runs(&format!("early-{number}"), 1).await;
        }
        site.gateways[0].process.signal("TERM");
        wait_until_stopping(&site).await;
        send_to_all_paths(&site, "late").await
    };
    let (early, late) = join(send_to_all_paths(&site, "early"), stop_and_send).await;
    for (id, answer) in early.iter().chain(&late) {
        let expected: &[u16] = match site.runs_of(id) {
            0 => &[503],
            _ => &[502, 504],
        };
        let status = answer.as_ref().map(|answer| answer.status);
        let is_answered = status.is_some_and(|status| expected.contains(&status));
        assert!(is_answered, "{id}: {status:?}, not one of {expected:?}");
    }
    assert!(early.iter().all(|(id, _)| site.runs_of(id) == 1));
}

/// Guards against a stopping gateway that accepts a request although such requests take longer than its process will live.
#[actix_rt::test]
async fn a_request_that_usually_takes_longer_than_the_rest_of_the_grace_period_is_refused_as_not_run(
) {
    let delay_ms = GRACE_S * 1_000;
    let worker = ("app", None, Behaviour::Delayed { delay_ms });
    let site = Site::start_with_grace(&[worker], 2, GRACE_S).await;
    site.wait_until_gateways_know_each_other().await;
    let gateway = &site.gateways[0];
    let first = send_request(gateway, "first", AT_MOST_ONCE, b"x").await;
    assert_eq!(first.status, 200);
    gateway.process.signal("TERM");
    wait_until_stopping(&site).await;
    let late = send_request(gateway, "late", AT_MOST_ONCE, b"x").await;
    assert_eq!((late.status, site.runs_of("late")), (503, 0));
    assert!(late.retry_after.is_some_and(|seconds| seconds < 1.0));
}

/// Length of an answer of which a gateway still holds a part when the worker has sent all of it.
const LONG_ANSWER_BYTES: usize = 8 << 20;
/// Length of a piece that the caller reads.
const READ_BYTES: usize = 8 << 10;
/// The caller does not read until this time after SIGTERM. A gateway without requests in progress has exited by then.
const CALLER_PAUSE: Duration = Duration::from_millis(4_500);

/// Starts a worker of the application service that gives one request a long answer.
fn start_long_answering_worker(site: &Site) {
    let listener = TcpListener::bind(("127.0.0.1", 0)).expect("a free port");
    let address = listener.local_addr().expect("a bound address");
    std::thread::spawn(move || {
        for mut connection in listener.incoming().flatten() {
            let mut request = [0; 4096];
            let length = connection.read(&mut request).unwrap_or(0);
            let text = String::from_utf8_lossy(&request[..length]).to_lowercase();
            let id = text
                .lines()
                .find(|l| l.starts_with(&REQUEST_ID.to_lowercase()));
            let head = format!(
                "HTTP/1.1 200 OK\r\n{}\r\n{SEAL}: seal\r\nContent-Length: {LONG_ANSWER_BYTES}\r\n\r\n",
                id.unwrap_or("x: y")
            );
            let _ = connection.write_all(head.as_bytes());
            let _ = connection.write_all(&vec![b'x'; LONG_ANSWER_BYTES]);
        }
    });
    let entry = json!({
        "service": "app", "address": address.to_string(), "zone": "kalimati", "version": "v1",
        "slots": 8, "state": "ready", "cold_left_ms": 0, "seq": 1,
    });
    let key = format!("{WORKER_ENTRY_PREFIX}long");
    site.store.put(&key, &entry);
}

/// Reads up to [`READ_BYTES`] bytes of an answer and returns how many arrived.
async fn read_bytes(connection: &tokio::net::TcpStream) -> usize {
    let mut buffer = [0; READ_BYTES];
    loop {
        connection.readable().await.expect("a connection");
        match connection.try_read(&mut buffer) {
            Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {}
            read => return read.unwrap_or(0),
        }
    }
}

/// Guards against a process that exits when it has buffered the rest of an answer, which the caller then never receives.
#[actix_rt::test]
async fn an_answer_that_its_caller_reads_slowly_is_sent_completely_before_the_exit() {
    let site = Site::start(&[("llm", None, Behaviour::Hang)], 1).await;
    start_long_answering_worker(&site);
    site.wait_for_ready_workers(0, 2.0).await;
    let gateway = &site.gateways[0];
    let socket = tokio::net::TcpSocket::new_v4().expect("a socket");
    socket
        .set_recv_buffer_size(READ_BYTES as u32)
        .expect("a buffer size");
    let connection = socket.connect(gateway.addresses.callers).await;
    let connection = connection.expect("a connection");
    let request = format!(
        "POST {REPEATABLE} HTTP/1.1\r\nHost: {HOST}\r\n{REQUEST_ID}: long\r\n{DEADLINE}: 15000\r\nContent-Length: 0\r\n\r\n"
    );
    connection.try_write(request.as_bytes()).expect("a request");
    let mut received = 0;
    while get_metric_sum(gateway.addresses.metrics, "gateway_requests_total").await < Some(1.0) {
        received += read_bytes(&connection).await;
    }
    gateway.process.signal("TERM");
    sleep(CALLER_PAUSE).await;
    println!("{received} bytes were received before the signal");
    loop {
        match read_bytes(&connection).await {
            0 => break,
            bytes => received += bytes,
        }
    }
    assert!(received > LONG_ANSWER_BYTES, "{received} bytes");
}
