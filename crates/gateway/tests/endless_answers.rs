//! Answers of other gateways that never end, in their head or in their body, at full speed or a few bytes at a time. Each
//! request fails in time, reads a bounded number of bytes and closes its connection.

use std::time::{Duration, Instant};

use futures_util::future::join_all;
use tansyhall_endless_answers::{EndlessAnswer, EndlessServer, Pace};
use tansyhall_forwarding::Position;
use tansyhall_gateway::peers;
use tokio::time::{sleep, timeout};

/// Within this time each request ends. A snapshot for many gateways takes some seconds on a slow link.
const REQUEST_LIMIT: Duration = Duration::from_secs(12);
/// Bytes that sockets may hold beyond those that were read.
const SOCKET_BYTES: u64 = 8 << 20;
/// Bytes of an answer that a gateway may read: chunks that are larger by a fifth with their lengths.
const MAX_ANSWER_BYTES: u64 = 20 << 20;
const ANSWERS: [EndlessAnswer; 7] = [
    EndlessAnswer::StatusLine,
    EndlessAnswer::Headers,
    EndlessAnswer::HeaderValue,
    EndlessAnswer::InterimAnswers,
    EndlessAnswer::Body { status: 200 },
    EndlessAnswer::Chunks { status: 200 },
    EndlessAnswer::Chunks { status: 503 },
];
const PACES: [Pace; 2] = [
    Pace::Full,
    Pace::Trickle {
        pause: Duration::from_millis(50),
    },
];

/// Requests changes from a gateway whose answer does not end, and returns what is wrong with the way in which it ends.
async fn problem_of(answer: EndlessAnswer, pace: Pace) -> Option<String> {
    let what = format!("{answer:?}, {pace:?}");
    let server = EndlessServer::start(answer, pace, |_| "tansyhall-store-epoch: 1\r\n".into());
    let mut client = peers::client();
    let began = Instant::now();
    let after = Position::new(1, 7);
    let fetch = peers::fetch_update(&mut client, server.address, after, Duration::ZERO);
    match timeout(REQUEST_LIMIT, fetch).await {
        Err(_) => return Some(format!("{what}: the request does not end")),
        Ok(Ok(_)) => return Some(format!("{what}: the answer was accepted")),
        Ok(Err(_)) => {}
    }
    while server.open_connections() > 0 {
        if began.elapsed() > REQUEST_LIMIT {
            return Some(format!("{what}: the connection is still open"));
        }
        sleep(Duration::from_millis(5)).await;
    }
    let sent = server.sent_bytes();
    (sent > MAX_ANSWER_BYTES + SOCKET_BYTES).then(|| format!("{what}: {sent} bytes were sent"))
}

/// Guards against a gateway that keeps another one reading until its memory is full, or its knowledge of the store is old.
#[actix_rt::test]
async fn a_request_whose_answer_never_ends_fails_in_time_and_reads_a_bounded_number_of_bytes() {
    for pace in PACES {
        let problems = join_all(ANSWERS.map(|answer| problem_of(answer, pace))).await;
        let problems: Vec<String> = problems.into_iter().flatten().collect();
        assert!(problems.is_empty(), "{problems:#?}");
    }
}
