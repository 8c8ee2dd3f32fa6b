//! Answers of the key-value service and of the machine list that never end. Each call fails in time, reads a bounded number
//! of bytes and closes its connection.

use std::time::{Duration, Instant};

use futures_util::future::join_all;
use futures_util::StreamExt;
use tansyhall_endless_answers::{EndlessAnswer, EndlessServer, Pace};
use tansyhall_store::machines::MachineList;
use tansyhall_store::{EtcdStore, KeyValueStore, Revision, Transaction};

/// Timeout of calls, except of watches, whose answers may stay open without bytes.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Within this time each call has ended, unless bytes keep arriving without pauses, and its connection is closed after it.
const END_LIMIT: Duration = Duration::from_secs(5);
/// Bytes that may be sent: the longest answer that is read, which the lengths of its chunks make longer by a fifth, and
/// what sockets hold.
const MAX_SENT_BYTES: u64 = (64 << 20) / 5 * 6 + (8 << 20);
const ANSWERS: [EndlessAnswer; 7] = [
    EndlessAnswer::StatusLine,
    EndlessAnswer::Headers,
    EndlessAnswer::HeaderValue,
    EndlessAnswer::InterimAnswers,
    EndlessAnswer::Body { status: 200 },
    EndlessAnswer::Chunks { status: 200 },
    EndlessAnswer::Chunks { status: 503 },
];
const TRICKLE: Pace = Pace::Trickle {
    pause: Duration::from_millis(20),
};

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Call {
    Range,
    Transaction,
    Watch,
    Machines,
}

/// Waits until a call that has not ended has had too much time or too many bytes. An answer without pauses is limited by its
/// bytes, which a slow machine takes longer to read.
async fn excess(server: &EndlessServer, pace: Pace) -> &'static str {
    let mut sent = 0;
    let mut limit = Instant::now() + END_LIMIT;
    while Instant::now() < limit {
        actix_rt::time::sleep(Duration::from_millis(5)).await;
        let sent_before = std::mem::replace(&mut sent, server.sent_bytes());
        if sent > MAX_SENT_BYTES {
            return "too many bytes are sent";
        }
        if pace == Pace::Full && sent > sent_before {
            limit = Instant::now() + END_LIMIT;
        }
    }
    "the call does not end"
}

/// Makes a call to a server whose answer does not end, and returns what is wrong with the way in which it ends.
async fn problem_of(call: Call, answer: EndlessAnswer, pace: Pace) -> Option<String> {
    let server = EndlessServer::start(answer, pace, |_| String::new());
    let store = EtcdStore::new(server.address, CALL_TIMEOUT);
    let made = async {
        match call {
            Call::Range => drop(store.range("a").await),
            Call::Transaction => drop(store.transact(&Transaction::default()).await),
            Call::Machines => drop(MachineList::new(server.address, CALL_TIMEOUT).fetch().await),
            Call::Watch => {
                if let Ok(mut changes) = store.watch("a", Revision(1)).await {
                    while let Some(Ok(_)) = changes.next().await {}
                }
            }
        }
    };
    tokio::select! {
        () = made => {}
        problem = excess(&server, pace) => {
            return Some(format!("{call:?}, {answer:?}, {pace:?}: {problem}"));
        }
    }
    let ended = Instant::now();
    while server.open_connections() > 0 {
        if ended.elapsed() > END_LIMIT {
            return Some(format!(
                "{call:?}, {answer:?}, {pace:?}: the connection is open"
            ));
        }
        actix_rt::time::sleep(Duration::from_millis(5)).await;
    }
    let sent = server.sent_bytes();
    (sent > MAX_SENT_BYTES)
        .then(|| format!("{call:?}, {answer:?}, {pace:?}: {sent} bytes were sent"))
}

/// Guards against a service that keeps a node reading until its memory is full, or a call waiting without end.
#[actix_rt::test]
async fn a_call_whose_answer_never_ends_fails_in_time_and_reads_a_bounded_number_of_bytes() {
    let mut problems = Vec::new();
    for call in [Call::Range, Call::Transaction, Call::Machines, Call::Watch] {
        for pace in [Pace::Full, TRICKLE] {
            let answers = ANSWERS.iter().filter(|answer| {
                // A watch may wait for the rest of a line for any time.
                call != Call::Watch || pace == Pace::Full || answer.is_in_head()
            });
            let found = join_all(answers.map(|answer| problem_of(call, *answer, pace))).await;
            problems.extend(found.into_iter().flatten());
        }
    }
    assert!(problems.is_empty(), "{problems:#?}");
}
