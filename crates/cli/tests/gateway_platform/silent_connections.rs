//! Connections that go silent for good, without a reset, while new ones work: to workers, to the store,
//! between gateways and from callers. And callers that leave while unanswered.

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
    ask, ask_with_key, CallerAnswer, Site, SiteGateway, WorkerSpec, AT_MOST_ONCE, FINAL_STREAM,
    HOST, REPEATABLE, RESUMABLE, SWIFT,
};

const APP: WorkerSpec = ("app", None, ECHO);
const ECHO: Behaviour = Behaviour::Serve { events: 0 };
/// Slow enough that requests which are sent together have a connection each.
const SLOW: Behaviour = Behaviour::Paced {
    events: 1,
    pause_ms: 200,
};
/// An answer that lasts longer than its caller waits.
const LASTING: Behaviour = Behaviour::Paced {
    events: 400,
    pause_ms: 100,
};
/// The head of an answer and some events.
const BEGUN_BYTES: u64 = 500;
/// More than the buffers between a worker and its caller hold.
const HUGE: Behaviour = Behaviour::Serve { events: 1_500_000 };
const REQUESTS: usize = 6;
const BETWEEN_SILENCES: Duration = Duration::from_millis(20);
/// Seconds for which workers keep connections.
const KEPT_S: u64 = 30;
/// Well below the 15 seconds that callers wait, and above all that is given up on the way.
const SOON: Duration = Duration::from_secs(9);
/// Within which a gateway is back in touch.
const IN_TOUCH: Duration = Duration::from_secs(6);
/// Half a second, and as much for a busy machine.
const ENDED: Duration = Duration::from_secs(1);
/// Milliseconds that a caller waits who does not read its answer.
const SHORT_DEADLINE_MS: u64 = 2_000;

fn silence_all(links: &[Link]) {
    links.iter().for_each(Link::silence_open);
}

fn lost_bytes(links: &[Link]) -> u64 {
    links.iter().map(Link::lost_bytes).sum()
}

fn open_connections(links: &[Link]) -> usize {
    links.iter().map(Link::open_connections).sum()
}

fn behave(site: &Site, behaviour: Behaviour) {
    let workers = site.workers.iter();
    workers.for_each(|worker| worker.worker.set_behaviour(behaviour));
}

async fn ask_together(gateway: &SiteGateway, round: &str, path: &str) -> Vec<CallerAnswer> {
    let ids: Vec<String> = (0..REQUESTS).map(|one| format!("{round}-{one}")).collect();
    join_all(ids.iter().map(|id| ask(gateway, id, path, b"x"))).await
}

/// Leaves connections to workers that rest.
async fn leave_kept_connections(site: &Site) {
    behave(site, SLOW);
    for answer in ask_together(&site.gateways[0], "first", SWIFT).await {
        assert_eq!(answer.status, 200);
    }
}

/// Leaves connections to workers that rest, and makes them silent.
async fn silence_kept_connections(site: &Site, links: &[Link]) {
    leave_kept_connections(site).await;
    silence_all(links);
    behave(site, ECHO);
}

/// From now on, workers keep connections longer than a silent request is waited for.
fn keep_connections(site: &Site) {
    let workers = site.workers.iter();
    workers.for_each(|worker| worker.worker.announce_keep_alive(KEPT_S));
}

/// Waits until so many more bytes have come back.
async fn until_answered(links: &[Link], bytes: u64) {
    let answered = || links.iter().map(Link::answered_bytes).sum::<u64>();
    let enough = answered() + bytes;
    eventually("the answer has begun", || async {
        (answered() >= enough).then_some(())
    })
    .await;
}

/// Asks for a lasting answer, which goes silent after its beginning; other workers echo from then on.
async fn ask_and_silence(site: &Site, links: &[Link], path: &str) -> (CallerAnswer, Duration) {
    behave(site, LASTING);
    let started = Instant::now();
    let asked = ask(&site.gateways[0], "midway", path, b"x");
    let silence = async {
        until_answered(links, BEGUN_BYTES).await;
        silence_all(links);
        let rest = match path {
            RESUMABLE => Behaviour::Serve { events: 400 },
            _ => ECHO,
        };
        behave(site, rest);
    };
    let (answer, ()) = futures_util::join!(asked, silence);
    (answer, started.elapsed())
}

#[actix_rt::test]
async fn a_repeatable_request_on_a_silent_kept_connection_is_served() {
    let site = Site::start(&[APP, APP], 1).await;
    let links = site.link_workers().await;
    silence_kept_connections(&site, &links).await;
    let started = Instant::now();
    for answer in ask_together(&site.gateways[0], "second", SWIFT).await {
        assert_eq!(answer.status, 200);
        assert_eq!(answer.body, b"x");
    }
    assert!(started.elapsed() < SOON, "{:?}", started.elapsed());
    assert!(lost_bytes(&links) > 0, "no kept connection was used");
    for answer in ask_together(&site.gateways[0], "third", SWIFT).await {
        assert_eq!(answer.status, 200);
    }
}

#[actix_rt::test]
async fn one_silent_request_is_enough_to_give_up_all_kept_connections() {
    let site = Site::start(&[APP, APP], 1).await;
    let links = site.link_workers().await;
    keep_connections(&site);
    silence_kept_connections(&site, &links).await;
    let answer = ask(&site.gateways[0], "second", SWIFT, b"x").await;
    assert_eq!(answer.status, 200);
    let lost = lost_bytes(&links);
    assert!(lost > 0, "no kept connection was used");
    for answer in ask_together(&site.gateways[0], "third", AT_MOST_ONCE).await {
        assert_eq!(answer.status, 200);
    }
    assert_eq!(lost_bytes(&links), lost);
}

#[actix_rt::test]
async fn what_was_sent_on_a_silent_kept_connection_never_runs_twice() {
    let site = Site::start(&[APP, APP], 1).await;
    let links = site.link_workers().await;
    silence_kept_connections(&site, &links).await;
    let answers = ask_together(&site.gateways[0], "second", AT_MOST_ONCE).await;
    for (number, answer) in answers.iter().enumerate() {
        let runs = site.runs_of(&format!("second-{number}"));
        match answer.status {
            200 => assert_eq!(runs, 1),
            status => assert!([502, 504].contains(&status) && runs <= 1, "{answer:?}"),
        }
    }
    let answer = ask(&site.gateways[0], "later", AT_MOST_ONCE, b"x").await;
    assert_eq!(answer.status, 200);
}

#[actix_rt::test]
async fn a_repeatable_answer_that_goes_silent_midway_comes_from_another_worker() {
    let site = Site::start(&[APP, APP], 1).await;
    let links = site.link_workers().await;
    keep_connections(&site);
    leave_kept_connections(&site).await;
    let (answer, took) = ask_and_silence(&site, &links, SWIFT).await;
    assert_eq!(answer.status, 200, "after {took:?}");
    assert_eq!(answer.body, b"x");
    assert!(took < SOON, "{took:?}");
}

#[actix_rt::test]
async fn a_resumable_stream_that_goes_silent_midway_is_whole() {
    let site = Site::start(&[APP, APP], 1).await;
    let links = site.link_workers().await;
    keep_connections(&site);
    leave_kept_connections(&site).await;
    let (answer, took) = ask_and_silence(&site, &links, RESUMABLE).await;
    assert!(answer.whole, "after {took:?}");
    let expected: String = (1..=400)
        .map(|n| format!("id: {n}\ndata: piece {n}\n\n"))
        .collect();
    assert!(answer.body == expected.as_bytes(), "another stream");
    assert!(took < SOON, "{took:?}");
}

#[actix_rt::test]
async fn other_answers_that_go_silent_midway_end_honestly_at_their_deadline() {
    let site = Site::start(&[APP, APP], 1).await;
    let links = site.link_workers().await;
    for path in [AT_MOST_ONCE, FINAL_STREAM] {
        let (answer, _) = ask_and_silence(&site, &links, path).await;
        assert!(!answer.whole || answer.status == 504, "{answer:?}");
    }
    assert_eq!(site.runs_of("midway"), 2, "each ran once");
    eventually("silent connections are closed", || async {
        (open_connections(&links) == 0).then_some(())
    })
    .await;
    let answer = ask(&site.gateways[0], "later", AT_MOST_ONCE, b"x").await;
    assert_eq!(answer.status, 200);
}

#[actix_rt::test]
async fn the_configuration_passes_although_connections_to_the_store_are_silent() {
    let site = Site::start_with_store_links(&[APP], 1).await;
    for _ in 0..3 {
        silence_a_call(&site.store_links).await;
        let started = Instant::now();
        site.until_in_force(site.configure_next()).await;
        assert!(started.elapsed() < IN_TOUCH, "{:?}", started.elapsed());
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
            assert_eq!(ask_with_key(gateway, &id, "k-1").await.status, 200);
        }
        let started = Instant::now();
        let expected = 2 * (round + 1);
        eventually("the duty goes on", || async {
            let reports = site.operations.usage_calls();
            let counts = reports.iter().flat_map(|call| call.counts.values());
            (counts.sum::<u64>() >= expected).then_some(())
        })
        .await;
        // A window of a second, its report's lateness and the bound of being in touch.
        assert!(started.elapsed() < SOON + IN_TOUCH);
    }
    let calls = site.operations.usage_calls();
    let fences: Vec<u64> = calls.iter().map(|call| call.fence).collect();
    assert!(fences.is_sorted(), "{fences:?}");
}

#[actix_rt::test]
async fn no_call_to_the_store_is_lost_to_connections_that_were_silent_before_it() {
    let site = Site::start(&[], 0).await;
    let door = site.open_door();
    let link = Link::open(door.address);
    let store = PlatformStore::new(link.entrance);
    let reads = (0..REQUESTS).map(|_| store.range("op/"));
    for read in join_all(reads).await {
        read.expect("the store answers");
    }
    link.silence_open();
    store.range("op/").await.expect("the store answers anew");
}

#[actix_rt::test]
async fn a_silent_watch_is_the_only_call_that_is_lost() {
    let site = Site::start(&[], 0).await;
    let door = site.open_door();
    let link = Link::open(door.address);
    let store = PlatformStore::new(link.entrance);
    let mut watch = store.watch("op/", Revision(1)).await.expect("a watch");
    let watched = watch.next().await.expect("the watch goes on");
    watched.expect("the store answers");
    let silencing = async {
        loop {
            link.silence_open();
            actix_rt::time::sleep(BETWEEN_SILENCES).await;
        }
    };
    tokio::select! {
        () = until_lost(&mut watch) => {}
        () = silencing => {}
    }
    store
        .range("op/")
        .await
        .expect("the store answers other calls");
    let watched = watch.next().await.expect("the watch goes on");
    watched.expect("the store answers anew");
}

/// Waits until a call of a watch is not answered.
async fn until_lost(watch: &mut WatchStream) {
    while watch.next().await.expect("the watch goes on").is_ok() {}
}

/// Silences connections while a call is under way: each serves only one.
async fn silence_a_call(links: &[Link]) {
    eventually("a call is under way", || async {
        (open_connections(links) > 0).then_some(())
    })
    .await;
    silence_all(links);
    assert!(open_connections(links) > 0);
}

#[actix_rt::test]
async fn a_gateway_hears_of_changes_although_connections_to_others_are_silent() {
    let site = Site::start(&[APP], 4).await;
    site.until_gateways_know_each_other().await;
    let links = site.link_gateways().await;
    for _ in 0..3 {
        until_answered(&links, 1).await;
        assert!(open_connections(&links) > 0, "no gateway asks another");
        silence_all(&links);
        let started = Instant::now();
        site.until_in_force(site.configure_next()).await;
        assert!(started.elapsed() < IN_TOUCH, "{:?}", started.elapsed());
    }
}

#[actix_rt::test]
async fn a_gateway_without_the_store_hears_of_changes_although_connections_to_others_are_silent() {
    let site = Site::start(&[APP], 3).await;
    site.until_gateways_know_each_other().await;
    let links = site.link_gateways().await;
    site.doors[1].set_fault(StoreFault::Silent);
    for _ in 0..2 {
        until_answered(&links, 1).await;
        silence_all(&links);
        let started = Instant::now();
        site.until_in_force(site.configure_next()).await;
        assert!(started.elapsed() < IN_TOUCH, "{:?}", started.elapsed());
    }
}

/// Sends a request on a connection of its own, whose answer the test reads or does not.
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

/// Whether the system has a connection from the first port to the second. Both ends are on loopback; to
/// ask the caller's end would mean to send, and a caller that sends is not silent.
fn is_open(from: u16, to: u16) -> bool {
    let connections = std::fs::read_to_string("/proc/net/tcp").expect("the list of connections");
    let (from, to) = (format!(":{from:04X}"), format!(":{to:04X}"));
    let mut lines = connections.lines().map(str::split_whitespace);
    lines.any(|mut words| {
        let local = words.nth(1).is_some_and(|word| word.ends_with(&from));
        local && words.next().is_some_and(|word| word.ends_with(&to))
    })
}

async fn until_work_has_ended(links: &[Link], since: Instant, limit: Duration) {
    eventually("the work of a caller that left has ended", || async {
        (open_connections(links) == 0).then_some(())
    })
    .await;
    assert!(since.elapsed() < limit, "{:?}", since.elapsed());
}

#[actix_rt::test]
async fn a_caller_that_leaves_unanswered_has_its_work_ended() {
    let site = Site::start(&[APP], 1).await;
    let links = site.link_workers().await;
    for (behaviour, path) in [
        (Behaviour::Hang, REPEATABLE),
        (Behaviour::Hang, AT_MOST_ONCE),
        (Behaviour::Hang, RESUMABLE),
        (LASTING, AT_MOST_ONCE),
        (LASTING, FINAL_STREAM),
        (LASTING, RESUMABLE),
    ] {
        behave(&site, behaviour);
        let id = format!("{path}-{behaviour:?}");
        let caller = send(&site.gateways[0], &id, path, 15_000).await;
        site.until_runs(&id, 1).await;
        drop(caller);
        until_work_has_ended(&links, Instant::now(), ENDED).await;
    }
}

#[actix_rt::test]
async fn a_caller_that_reads_nothing_more_holds_its_worker_no_longer_than_its_deadline() {
    let site = Site::start(&[("app", None, HUGE)], 1).await;
    let links = site.link_workers().await;
    for path in [FINAL_STREAM, RESUMABLE] {
        let started = Instant::now();
        let _silent = send(&site.gateways[0], path, path, SHORT_DEADLINE_MS).await;
        site.until_runs(path, 1).await;
        until_work_has_ended(&links, started, SOON).await;
    }
}

#[actix_rt::test]
async fn the_connection_of_a_caller_that_reads_nothing_more_is_closed() {
    let site = Site::start(&[("app", None, HUGE)], 1).await;
    let silent = send(&site.gateways[0], "r", FINAL_STREAM, SHORT_DEADLINE_MS).await;
    site.until_runs("r", 1).await;
    let caller = silent.local_addr().expect("an address").port();
    let gateway = site.gateways[0].addresses.callers.port();
    assert!(is_open(gateway, caller));
    eventually("the gateway has closed the connection", || async {
        (!is_open(gateway, caller)).then_some(())
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
        let mut caller = TcpStream::connect(link.entrance).await.expect("a place");
        let parts = [
            "",
            "GET / HT",
            "POST /once/x HTTP/1.1\r\nContent-Length: 9\r\n\r\nx",
        ];
        let sent = caller.write_all(parts[number % parts.len()].as_bytes());
        sent.await.expect("part of a request is sent");
        callers.push(caller);
    }
    link.silence_open();
    for number in 0..20 {
        let started = Instant::now();
        let answer = ask(gateway, &format!("r-{number}"), REPEATABLE, b"x").await;
        assert_eq!(answer.status, 200);
        assert!(started.elapsed() < SOON);
        assert!(gateway.is_ready().await);
    }
    let mut early = Vec::new();
    let read = callers[0].read_to_end(&mut early);
    let read = actix_rt::time::timeout(Duration::from_millis(1), read).await;
    assert!(read.is_err(), "silent connections are not reset");
}
