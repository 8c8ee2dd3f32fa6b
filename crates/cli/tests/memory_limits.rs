//! Clients that a gateway does not control: it stays within the memory of its machine, and ordinary callers are
//! answered during the crowd and after it. Each test sends one kind of crowd to one gateway process.

#[allow(dead_code, unused_imports)]
#[path = "gateway_platform/support/mod.rs"]
mod support;

use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

use tansyhall_platform_standin::{Behaviour, DEADLINE, REQUEST_ID};
use tansyhall_testing::eventually;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::{Mutex, MutexGuard};
use tokio::task::JoinHandle;
use tokio::time::sleep;

use support::{Site, WorkerSpec, HOST, REPEATABLE, RESUMABLE};

/// The memory of the smallest machine, in MB.
const MEMORY_MB: u64 = 120;
/// The descriptors that a process may open on the smallest machine.
const MAX_DESCRIPTORS: usize = 4_100;
/// The length of the largest body that the configuration allows.
const MAX_BODY_BYTES: usize = 4 << 20;
/// Interval at which the crowd's effect is observed.
const OBSERVATION_INTERVAL: Duration = Duration::from_millis(250);
/// Number of equal observations after which the crowd has no further effect.
const EQUAL_OBSERVATIONS: u32 = 8;
const ECHO: WorkerSpec = ("app", None, Behaviour::Serve { events: 0 });

/// Only one crowd at a time: the tests measure the memory of processes.
static TURN: Mutex<()> = Mutex::const_new(());

/// A gateway and the connections of a crowd.
struct Crowd {
    site: Site,
    sent_bytes: Arc<AtomicU64>,
    senders: Vec<JoinHandle<()>>,
    _turn: MutexGuard<'static, ()>,
}

impl Crowd {
    async fn start(worker: WorkerSpec) -> Self {
        let turn = TURN.lock().await;
        Self {
            site: Site::start_with_memory(&[worker], MEMORY_MB, MAX_BODY_BYTES).await,
            sent_bytes: Arc::default(),
            senders: Vec::new(),
            _turn: turn,
        }
    }

    fn address(&self) -> SocketAddr {
        self.site.gateways[0].addresses.callers
    }

    /// Opens connections that each send `first`, then `part` this many times, and stay open without reading.
    fn send(&mut self, connections: usize, first: &str, part: &[u8], repetitions: usize) {
        for _ in 0..connections {
            let (first, part) = (first.as_bytes().to_vec(), part.to_vec());
            let (address, sent_bytes) = (self.address(), Arc::clone(&self.sent_bytes));
            self.senders.push(actix_rt::spawn(async move {
                let Ok(mut stream) = TcpStream::connect(address).await else {
                    return;
                };
                let _ = send_parts(&mut stream, &first, &part, repetitions, &sent_bytes).await;
                std::future::pending::<()>().await;
            }));
        }
    }

    /// Waits until the gateway neither takes more bytes of the crowd nor needs more memory.
    async fn wait_for_effect(&self) {
        let mut last = (0, 0);
        let mut equal = 0;
        while equal < EQUAL_OBSERVATIONS {
            sleep(OBSERVATION_INTERVAL).await;
            let peak = self.site.gateways[0].process.peak_memory_bytes();
            let now = (self.sent_bytes.load(Ordering::Relaxed), peak);
            equal = if now == last { equal + 1 } else { 0 };
            last = now;
        }
    }

    /// Checks the gateway under the crowd and after it.
    async fn check(mut self) {
        self.wait_for_effect().await;
        eventually_served(self.address(), "during").await;
        self.wait_for_effect().await;
        self.check_limits();
        for sender in self.senders.drain(..) {
            sender.abort();
        }
        eventually_served(self.address(), "afterwards").await;
        self.check_limits();
    }

    fn check_limits(&self) {
        let gateway = &self.site.gateways[0];
        assert!(gateway.process.is_running(), "the gateway has ended");
        let peak = gateway.process.peak_memory_bytes();
        println!("peak memory: {} kB", peak / 1_000);
        assert!(peak <= MEMORY_MB * 1_000_000, "{peak} bytes of memory");
        let descriptors = gateway.process.open_descriptors();
        assert!(
            descriptors <= MAX_DESCRIPTORS,
            "{descriptors} open descriptors"
        );
    }
}

async fn send_parts(
    stream: &mut TcpStream,
    first: &[u8],
    part: &[u8],
    repetitions: usize,
    sent_bytes: &AtomicU64,
) -> io::Result<()> {
    stream.write_all(first).await?;
    for _ in 0..repetitions {
        stream.write_all(part).await?;
        sent_bytes.fetch_add(part.len() as u64, Ordering::Relaxed);
    }
    Ok(())
}

/// Returns the head of a request, without the empty line at its end.
fn head(path: &str, id: &str) -> String {
    format!("POST {path} HTTP/1.1\r\nHost: {HOST}\r\n{REQUEST_ID}: {id}\r\n{DEADLINE}: 15000\r\n")
}

/// Sends an ordinary request until it is served, as callers do that are refused.
async fn eventually_served(address: SocketAddr, id: &str) {
    eventually("an ordinary request is served", || async {
        let body = send_ordinary(address, id).await?;
        (body == b"x").then_some(())
    })
    .await;
}

/// Sends an ordinary request and returns the body of its answer if it is served.
async fn send_ordinary(address: SocketAddr, id: &str) -> Option<Vec<u8>> {
    let head = head(REPEATABLE, id);
    let request = format!("{head}Connection: close\r\nContent-Length: 1\r\n\r\nx");
    let mut stream = TcpStream::connect(address).await.ok()?;
    stream.write_all(request.as_bytes()).await.ok()?;
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer).await.ok()?;
    let is_served = answer.starts_with(b"HTTP/1.1 200");
    let end = answer.windows(4).position(|bytes| bytes == b"\r\n\r\n")? + 4;
    is_served.then(|| answer.split_off(end))
}

/// Guards against a limit on memory that refuses a body which the configuration allows.
#[actix_rt::test]
async fn a_single_body_of_the_legal_size_is_served_on_the_smallest_machine() {
    let crowd = Crowd::start(ECHO).await;
    let body = vec![b'b'; MAX_BODY_BYTES];
    let gateway = &crowd.site.gateways[0];
    let answer = support::send_request(gateway, "large", REPEATABLE, &body).await;
    assert_eq!(answer.status, 200);
    assert!(answer.is_complete && answer.body == body);
    crowd.check_limits();
}

/// Guards against parsing thousands of requests ahead on a connection whose caller reads no answers.
#[actix_rt::test]
async fn requests_sent_ahead_with_unread_answers_stay_within_memory() {
    let mut crowd = Crowd::start(ECHO).await;
    let request = head(REPEATABLE, "a") + "Content-Length: 0\r\n\r\n";
    crowd.send(48, "", request.as_bytes(), 3_000);
    crowd.check().await;
}

/// Guards against streams that are queued without a limit for callers that do not read them.
#[actix_rt::test]
async fn streams_requested_ahead_and_unread_stay_within_memory() {
    let mut crowd = Crowd::start(("app", None, Behaviour::Serve { events: 2_000 })).await;
    let request = head(RESUMABLE, "a") + "Content-Length: 0\r\n\r\n";
    crowd.send(48, "", request.as_bytes(), 3_000);
    for worker in &crowd.site.workers {
        crowd_effect_then_echo(&crowd, worker).await;
    }
    crowd.check().await;
}

/// Lets the crowd have its streams, and makes the worker echo again for ordinary callers.
async fn crowd_effect_then_echo(crowd: &Crowd, worker: &support::SiteWorker) {
    crowd.wait_for_effect().await;
    worker.worker.set_behaviour(ECHO.2);
}

/// Guards against holding the unfinished bodies of many callers without a limit for their sum.
#[actix_rt::test]
async fn bodies_that_stop_a_byte_short_stay_within_memory() {
    let mut crowd = Crowd::start(ECHO).await;
    let first = format!(
        "{}Content-Length: {MAX_BODY_BYTES}\r\n\r\nx",
        head(REPEATABLE, "a")
    );
    let part = vec![b'b'; 65_535];
    crowd.send(48, &first, &part, MAX_BODY_BYTES / 65_536);
    crowd.check().await;
}

/// Guards against holding many bodies of unknown length without a limit for their sum.
#[actix_rt::test]
async fn bodies_in_large_chunks_without_the_last_stay_within_memory() {
    let mut crowd = Crowd::start(ECHO).await;
    let first = head(REPEATABLE, "a") + "Transfer-Encoding: chunked\r\n\r\n";
    let part = [b"10000\r\n".as_slice(), &[b'b'; 65_536], b"\r\n"].concat();
    crowd.send(48, &first, &part, MAX_BODY_BYTES / 65_536);
    crowd.check().await;
}

/// Guards against an overhead for each chunk that is many times the chunk.
#[actix_rt::test]
async fn bodies_in_chunks_of_one_byte_stay_within_memory() {
    let mut crowd = Crowd::start(ECHO).await;
    let first = head(REPEATABLE, "a") + "Transfer-Encoding: chunked\r\n\r\n";
    crowd.send(200, &first, &b"1\r\nb\r\n".repeat(1_000), 100);
    crowd.check().await;
}

/// Guards against holding the bodies of many waiting requests without a limit for their sum.
#[actix_rt::test]
async fn whole_bodies_before_a_silent_worker_stay_within_memory() {
    let mut crowd = Crowd::start(("app", None, Behaviour::Hang)).await;
    let first = format!(
        "{}Content-Length: {MAX_BODY_BYTES}\r\n\r\n",
        head(REPEATABLE, "a")
    );
    let part = vec![b'b'; 65_536];
    crowd.send(48, &first, &part, MAX_BODY_BYTES / 65_536);
    crowd.wait_for_effect().await;
    crowd.site.workers[0].worker.set_behaviour(ECHO.2);
    crowd.check().await;
}

/// Guards against buffering heads beyond the configured length on any number of connections.
#[actix_rt::test]
async fn heads_without_an_end_stay_within_memory() {
    let mut crowd = Crowd::start(ECHO).await;
    let first = head(REPEATABLE, "a") + "X-Padding: ";
    crowd.send(1_500, &first, &[b'p'; 1_000], 120);
    crowd.check().await;
}
