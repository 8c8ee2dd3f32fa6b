//! Connections that go silent permanently, without a reset, while new connections work: to workers, to the store,
//! between gateways and from callers. Also callers that disconnect before they are answered.

use std::time::{Duration, Instant};

use futures_util::future::join_all;
use futures_util::StreamExt;
use tansyhall_platform::PlatformStore;
use tansyhall_platform_standin::{Behaviour, StoreFault, TenantPlan, DEADLINE, REQUEST_ID};
use tansyhall_store::{KeyValueStore, Revision, WatchStream};
use tansyhall_testing::{eventually, Link};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::support::{
    send_request, send_with_key, CallerAnswer, Site, SiteGateway, WorkerSpec, AT_MOST_ONCE, HOST,
    NON_RESUMABLE, REPEATABLE, RESUMABLE, SHORT_OBJECTIVE,
};

const APP: WorkerSpec = ("app", None, ECHO);
const ECHO: Behaviour = Behaviour::Serve { events: 0 };
/// Slow enough that concurrent requests each use a connection.
const SLOW: Behaviour = Behaviour::Paced {
    events: 1,
    pause_ms: 200,
};
/// A stream that lasts longer than the caller's deadline.
const LONG_STREAM: Behaviour = Behaviour::Paced {
    events: 400,
    pause_ms: 100,
};
/// Bytes that contain the head of an answer and some events.
const ANSWER_START_BYTES: u64 = 500;
/// An answer that is larger than the buffers between a worker and its caller.
const HUGE_ANSWER: Behaviour = Behaviour::Serve { events: 1_500_000 };
const REQUESTS: usize = 6;
const SILENCING_INTERVAL: Duration = Duration::from_millis(20);
/// Keep-alive time of workers' connections, in seconds.
const KEEP_ALIVE_S: u64 = 30;
/// Well below the callers' deadline of 15 s, and longer than every time-out on the way.
const ANSWER_TIME_LIMIT: Duration = Duration::from_secs(9);
/// Time within which a gateway reconnects.
const RECONNECT_TIME_LIMIT: Duration = Duration::from_secs(6);
/// Time within which work of a disconnected caller must end: 500 ms, and another 500 ms for a busy machine.
const CANCEL_TIME_LIMIT: Duration = Duration::from_secs(1);
/// Deadline of a caller that does not read its answer, in milliseconds.
const SHORT_DEADLINE_MS: u64 = 2_000;

fn silence_all(links: &[Link]) {
    links.iter().for_each(Link::blackhole_open_connections);
}

fn lost_bytes(links: &[Link]) -> u64 {
    links.iter().map(Link::discarded_bytes).sum()
}

fn open_connections(links: &[Link]) -> usize {
    links.iter().map(Link::open_connections).sum()
}

fn set_behaviour(site: &Site, behaviour: Behaviour) {
    let workers = site.workers.iter();
    workers.for_each(|worker| worker.worker.set_behaviour(behaviour));
}

/// Sends [`REQUESTS`] concurrent requests.
async fn send_concurrently(gateway: &SiteGateway, round: &str, path: &str) -> Vec<CallerAnswer> {
    let ids: Vec<String> = (0..REQUESTS)
        .map(|number| format!("{round}-{number}"))
        .collect();
    join_all(ids.iter().map(|id| send_request(gateway, id, path, b"x"))).await
}

/// Opens connections to workers that are idle afterwards.
async fn open_idle_connections(site: &Site) {
    set_behaviour(site, SLOW);
    for answer in send_concurrently(&site.gateways[0], "first", SHORT_OBJECTIVE).await {
        assert_eq!(answer.status, 200);
    }
}

/// Opens connections to workers that are idle afterwards, and makes them silent.
async fn silence_idle_connections(site: &Site, links: &[Link]) {
    open_idle_connections(site).await;
    silence_all(links);
    set_behaviour(site, ECHO);
}

/// Makes workers keep connections open for longer than gateways wait for a silent request.
fn extend_keep_alive(site: &Site) {
    let workers = site.workers.iter();
    workers.for_each(|worker| worker.worker.announce_keep_alive(KEEP_ALIVE_S));
}

/// Waits until this many more bytes have been returned through the links.
async fn wait_for_answer_bytes(links: &[Link], bytes: u64) {
    let answered_bytes = || links.iter().map(Link::answered_bytes).sum::<u64>();
    let target = answered_bytes() + bytes;
    eventually("the answer has begun", || async {
        (answered_bytes() >= target).then_some(())
    })
    .await;
}

/// Requests a long stream, and silences its connection after the beginning of the answer. From then on workers answer
/// immediately.
async fn send_and_silence(site: &Site, links: &[Link], path: &str) -> (CallerAnswer, Duration) {
    set_behaviour(site, LONG_STREAM);
    let started = Instant::now();
    let request = send_request(&site.gateways[0], "midway", path, b"x");
    let silence = async {
        wait_for_answer_bytes(links, ANSWER_START_BYTES).await;
        silence_all(links);
        let behaviour = match path {
            RESUMABLE => Behaviour::Serve { events: 400 },
            _ => ECHO,
        };
        set_behaviour(site, behaviour);
    };
    let (answer, ()) = futures_util::join!(request, silence);
    (answer, started.elapsed())
}

#[actix_rt::test]
async fn a_repeatable_request_on_a_silent_idle_connection_is_served() {
    let site = Site::start(&[APP, APP], 1).await;
    let links = site.link_workers().await;
    silence_idle_connections(&site, &links).await;
    let started = Instant::now();
    for answer in send_concurrently(&site.gateways[0], "second", SHORT_OBJECTIVE).await {
        assert_eq!(answer.status, 200);
        assert_eq!(answer.body, b"x");
    }
    assert!(
        started.elapsed() < ANSWER_TIME_LIMIT,
        "{:?}",
        started.elapsed()
    );
    assert!(lost_bytes(&links) > 0, "no idle connection was used");
    for answer in send_concurrently(&site.gateways[0], "third", SHORT_OBJECTIVE).await {
        assert_eq!(answer.status, 200);
    }
}

#[actix_rt::test]
async fn one_silent_request_is_enough_to_close_all_idle_connections() {
    let site = Site::start(&[APP, APP], 1).await;
    let links = site.link_workers().await;
    extend_keep_alive(&site);
    silence_idle_connections(&site, &links).await;
    let answer = send_request(&site.gateways[0], "second", SHORT_OBJECTIVE, b"x").await;
    assert_eq!(answer.status, 200);
    let lost = lost_bytes(&links);
    assert!(lost > 0, "no idle connection was used");
    for answer in send_concurrently(&site.gateways[0], "third", AT_MOST_ONCE).await {
        assert_eq!(answer.status, 200);
    }
    assert_eq!(lost_bytes(&links), lost);
}

#[actix_rt::test]
async fn a_request_sent_on_a_silent_idle_connection_never_runs_twice() {
    let site = Site::start(&[APP, APP], 1).await;
    let links = site.link_workers().await;
    silence_idle_connections(&site, &links).await;
    let answers = send_concurrently(&site.gateways[0], "second", AT_MOST_ONCE).await;
    for (number, answer) in answers.iter().enumerate() {
        let runs = site.runs_of(&format!("second-{number}"));
        match answer.status {
            200 => assert_eq!(runs, 1),
            status => assert!([502, 504].contains(&status) && runs <= 1, "{answer:?}"),
        }
    }
    let answer = send_request(&site.gateways[0], "later", AT_MOST_ONCE, b"x").await;
    assert_eq!(answer.status, 200);
}

#[actix_rt::test]
async fn a_repeatable_request_whose_answer_goes_silent_midway_is_answered_by_another_worker() {
    let site = Site::start(&[APP, APP], 1).await;
    let links = site.link_workers().await;
    extend_keep_alive(&site);
    open_idle_connections(&site).await;
    let (answer, took) = send_and_silence(&site, &links, SHORT_OBJECTIVE).await;
    assert_eq!(answer.status, 200, "after {took:?}");
    assert_eq!(answer.body, b"x");
    assert!(took < ANSWER_TIME_LIMIT, "{took:?}");
}

#[actix_rt::test]
async fn a_resumable_stream_that_goes_silent_midway_is_completed() {
    let site = Site::start(&[APP, APP], 1).await;
    let links = site.link_workers().await;
    extend_keep_alive(&site);
    open_idle_connections(&site).await;
    let (answer, took) = send_and_silence(&site, &links, RESUMABLE).await;
    assert!(answer.is_complete, "after {took:?}");
    let expected: String = (1..=400)
        .map(|n| format!("id: {n}\ndata: piece {n}\n\n"))
        .collect();
    assert!(
        answer.body == expected.as_bytes(),
        "the stream differs from the expected one"
    );
    assert!(took < ANSWER_TIME_LIMIT, "{took:?}");
}

#[actix_rt::test]
async fn other_answers_that_go_silent_midway_fail_visibly_at_their_deadline() {
    let site = Site::start(&[APP, APP], 1).await;
    let links = site.link_workers().await;
    for path in [AT_MOST_ONCE, NON_RESUMABLE] {
        let (answer, _) = send_and_silence(&site, &links, path).await;
        assert!(!answer.is_complete || answer.status == 504, "{answer:?}");
    }
    assert_eq!(site.runs_of("midway"), 2, "each ran once");
    eventually("silent connections are closed", || async {
        (open_connections(&links) == 0).then_some(())
    })
    .await;
    let answer = send_request(&site.gateways[0], "later", AT_MOST_ONCE, b"x").await;
    assert_eq!(answer.status, 200);
}

#[actix_rt::test]
async fn configurations_are_applied_although_connections_to_the_store_are_silent() {
    let site = Site::start_with_store_links(&[APP], 1).await;
    for _ in 0..3 {
        silence_call_in_progress(&site.store_links).await;
        let started = Instant::now();
        site.wait_until_in_force(site.configure_next()).await;
        assert!(
            started.elapsed() < RECONNECT_TIME_LIMIT,
            "{:?}",
            started.elapsed()
        );
    }
}

#[actix_rt::test]
async fn the_authority_is_kept_or_taken_over_although_connections_to_the_store_are_silent() {
    let site = Site::start_with_store_links(&[APP], 2).await;
    let tenant = TenantPlan {
        name: "depot",
        keys: vec!["k-1"],
    };
    site.configure_tenants(&[tenant]).await;
    for round in 0..2 {
        eventually("one gateway has the authority", || async {
            site.authority_fence()
        })
        .await;
        silence_all(&site.store_links);
        for gateway in &site.gateways {
            let id = format!("r-{round}");
            assert_eq!(send_with_key(gateway, &id, "k-1").await.status, 200);
        }
        let started = Instant::now();
        let expected = 2 * (round + 1);
        eventually("usage is still reported", || async {
            let reports = site.operations.usage_calls();
            let counts = reports.iter().flat_map(|call| call.counts.values());
            (counts.sum::<u64>() >= expected).then_some(())
        })
        .await;
        // Sum of the window of one second, the delay of its report, and the limit for a reconnection.
        assert!(started.elapsed() < ANSWER_TIME_LIMIT + RECONNECT_TIME_LIMIT);
    }
    let calls = site.operations.usage_calls();
    let fences: Vec<u64> = calls.iter().map(|call| call.fence).collect();
    assert!(fences.is_sorted(), "{fences:?}");
}

#[actix_rt::test]
async fn no_call_to_the_store_fails_because_connections_went_silent_before_it() {
    let site = Site::start(&[], 0).await;
    let endpoint = site.open_store_endpoint();
    let link = Link::open(endpoint.address);
    let store = PlatformStore::new(link.listen_address);
    let reads = (0..REQUESTS).map(|_| store.range("op/"));
    for read in join_all(reads).await {
        read.expect("the store answers");
    }
    link.blackhole_open_connections();
    store.range("op/").await.expect("the store answers again");
}

#[actix_rt::test]
async fn a_silent_watch_is_the_only_call_that_fails() {
    let site = Site::start(&[], 0).await;
    let endpoint = site.open_store_endpoint();
    let link = Link::open(endpoint.address);
    let store = PlatformStore::new(link.listen_address);
    let mut watch = store.watch("op/", Revision(1)).await.expect("a watch");
    let watched = watch.next().await.expect("the watch has not ended");
    watched.expect("the store answers");
    let silencing = async {
        loop {
            link.blackhole_open_connections();
            actix_rt::time::sleep(SILENCING_INTERVAL).await;
        }
    };
    tokio::select! {
        () = wait_until_watch_fails(&mut watch) => {}
        () = silencing => {}
    }
    store
        .range("op/")
        .await
        .expect("the store answers other calls");
    let watched = watch.next().await.expect("the watch has not ended");
    watched.expect("the store answers again");
}

/// Waits until a call of a watch fails.
async fn wait_until_watch_fails(watch: &mut WatchStream) {
    while watch.next().await.expect("the watch has not ended").is_ok() {}
}

/// Silences connections while a call is in progress. Each connection serves only one call.
async fn silence_call_in_progress(links: &[Link]) {
    eventually("a call is in progress", || async {
        (open_connections(links) > 0).then_some(())
    })
    .await;
    silence_all(links);
    assert!(open_connections(links) > 0);
}

#[actix_rt::test]
async fn a_gateway_receives_changes_although_connections_to_others_are_silent() {
    let site = Site::start(&[APP], 4).await;
    site.wait_until_gateways_know_each_other().await;
    let links = site.link_gateways().await;
    for _ in 0..3 {
        wait_for_answer_bytes(&links, 1).await;
        assert!(
            open_connections(&links) > 0,
            "no gateway requests changes from another"
        );
        silence_all(&links);
        let started = Instant::now();
        site.wait_until_in_force(site.configure_next()).await;
        assert!(
            started.elapsed() < RECONNECT_TIME_LIMIT,
            "{:?}",
            started.elapsed()
        );
    }
}

#[actix_rt::test]
async fn a_gateway_without_the_store_receives_changes_although_connections_to_others_are_silent() {
    let site = Site::start(&[APP], 3).await;
    site.wait_until_gateways_know_each_other().await;
    let links = site.link_gateways().await;
    site.store_endpoints[1].set_fault(StoreFault::Silent);
    for _ in 0..2 {
        wait_for_answer_bytes(&links, 1).await;
        silence_all(&links);
        let started = Instant::now();
        site.wait_until_in_force(site.configure_next()).await;
        assert!(
            started.elapsed() < RECONNECT_TIME_LIMIT,
            "{:?}",
            started.elapsed()
        );
    }
}

/// Sends a request on a new connection and returns the connection. The answer is not read.
async fn send(gateway: &SiteGateway, id: &str, path: &str, deadline_ms: u64) -> TcpStream {
    let mut caller = TcpStream::connect(gateway.addresses.callers)
        .await
        .expect("a connection");
    let request = format!(
        "POST {path} HTTP/1.1\r\nHost: {HOST}\r\n{REQUEST_ID}: {id}\r\n\
         {DEADLINE}: {deadline_ms}\r\nContent-Length: 1\r\n\r\nx"
    );
    let sent = caller.write_all(request.as_bytes()).await;
    sent.expect("the request is sent");
    caller
}

/// Returns whether the system has a connection from port `from` to port `to`, both on loopback. The caller's socket
/// itself cannot tell without sending, and a caller that sends is not silent.
fn is_open(from: u16, to: u16) -> bool {
    let connections = std::fs::read_to_string("/proc/net/tcp").expect("the list of connections");
    let (from, to) = (format!(":{from:04X}"), format!(":{to:04X}"));
    let mut lines = connections.lines().map(str::split_whitespace);
    lines.any(|mut fields| {
        let is_local = fields.nth(1).is_some_and(|field| field.ends_with(&from));
        is_local && fields.next().is_some_and(|field| field.ends_with(&to))
    })
}

async fn wait_until_work_has_ended(links: &[Link], since: Instant, limit: Duration) {
    eventually("the work of a disconnected caller has ended", || async {
        (open_connections(links) == 0).then_some(())
    })
    .await;
    assert!(since.elapsed() < limit, "{:?}", since.elapsed());
}

#[actix_rt::test]
async fn the_work_of_a_caller_that_disconnects_unanswered_is_ended() {
    let site = Site::start(&[APP], 1).await;
    let links = site.link_workers().await;
    for (behaviour, path) in [
        (Behaviour::Hang, REPEATABLE),
        (Behaviour::Hang, AT_MOST_ONCE),
        (Behaviour::Hang, RESUMABLE),
        (LONG_STREAM, AT_MOST_ONCE),
        (LONG_STREAM, NON_RESUMABLE),
        (LONG_STREAM, RESUMABLE),
    ] {
        set_behaviour(&site, behaviour);
        let id = format!("{path}-{behaviour:?}");
        let caller = send(&site.gateways[0], &id, path, 15_000).await;
        site.wait_for_runs(&id, 1).await;
        drop(caller);
        wait_until_work_has_ended(&links, Instant::now(), CANCEL_TIME_LIMIT).await;
    }
}

#[actix_rt::test]
async fn a_caller_that_stops_reading_occupies_its_worker_no_longer_than_its_deadline() {
    let site = Site::start(&[("app", None, HUGE_ANSWER)], 1).await;
    let links = site.link_workers().await;
    for path in [NON_RESUMABLE, RESUMABLE] {
        let started = Instant::now();
        let _connection = send(&site.gateways[0], path, path, SHORT_DEADLINE_MS).await;
        site.wait_for_runs(path, 1).await;
        wait_until_work_has_ended(&links, started, ANSWER_TIME_LIMIT).await;
    }
}

#[actix_rt::test]
async fn the_connection_of_a_caller_that_stops_reading_is_closed() {
    let site = Site::start(&[("app", None, HUGE_ANSWER)], 1).await;
    let connection = send(&site.gateways[0], "r", NON_RESUMABLE, SHORT_DEADLINE_MS).await;
    site.wait_for_runs("r", 1).await;
    let caller_port = connection.local_addr().expect("an address").port();
    let gateway_port = site.gateways[0].addresses.callers.port();
    assert!(is_open(gateway_port, caller_port));
    eventually("the gateway has closed the connection", || async {
        (!is_open(gateway_port, caller_port)).then_some(())
    })
    .await;
}

#[actix_rt::test]
async fn a_ready_gateway_accepts_while_connections_of_callers_are_silent() {
    let site = Site::start(&[APP], 1).await;
    let gateway = &site.gateways[0];
    let link = Link::open(gateway.addresses.callers);
    let mut callers = Vec::new();
    for number in 0..200 {
        let mut caller = TcpStream::connect(link.listen_address)
            .await
            .expect("a connection");
        let parts = [
            "",
            "GET / HT",
            "POST /once/x HTTP/1.1\r\nContent-Length: 9\r\n\r\nx",
        ];
        let sent = caller.write_all(parts[number % parts.len()].as_bytes());
        sent.await.expect("part of a request is sent");
        callers.push(caller);
    }
    link.blackhole_open_connections();
    for number in 0..20 {
        let started = Instant::now();
        let answer = send_request(gateway, &format!("r-{number}"), REPEATABLE, b"x").await;
        assert_eq!(answer.status, 200);
        assert!(started.elapsed() < ANSWER_TIME_LIMIT);
        assert!(gateway.is_ready().await);
    }
    let mut received = Vec::new();
    let read = callers[0].read_to_end(&mut received);
    let read = actix_rt::time::timeout(Duration::from_millis(1), read).await;
    assert!(read.is_err(), "silent connections are not reset");
}
