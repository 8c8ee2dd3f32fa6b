//! Requests that crash each worker that starts to run them.
//!
//! The failure: engines crashed one after another, were back after some seconds and crashed again within a second.
//! Most other requests found no engine in the meantime. One request crashed each engine that started to run it; the
//! gateway then sent it to the next engine, and its caller repeated it at any gateway. Gateways counted attempts per
//! try of the caller, and each try has its own id, so nothing connected three crashed engines with one request.
//!
//! Each test fails on gateways without the part that it covers: the quarantine, the updates between gateways, the list
//! in the store, the clearing of requests that only ran at the same time, the detection of silent workers that crash later.

use std::future::Future;
use std::time::Duration;

use futures_util::future::join_all;
use tansyhall_platform_standin::{
    Behaviour, CrashTrigger, CrashingWorker, PartialAnswer, StoreFault,
};
use tansyhall_testing::eventually;
use tokio::time::sleep;

use crate::support::{
    send_prompt_with_body, send_request, CallerAnswer, Site, SiteGateway, AT_MOST_ONCE, REPEATABLE,
    SHORT_OBJECTIVE,
};

const ECHO: Behaviour = Behaviour::Serve { events: 0 };
/// An answer that takes longer than the time from a crashing request to the worker's crash, so that requests which run at
/// the same time fail too.
const SLOW: Behaviour = Behaviour::Paced {
    events: 1,
    pause_ms: 100,
};
const CRASH_TEXT: &[u8] = b"deadly";
pub const SILENT_CRASH: CrashTrigger = CrashTrigger {
    text: CRASH_TEXT,
    partial_answer: PartialAnswer::None,
    delay: Duration::from_millis(10),
};
/// Number of workers that must crash before a request is barred.
pub const CRASHES_TO_BAR: u64 = 3;
/// Time within which gateways that reach each other or the store must have learned of the third crash.
pub const UPDATE_TIME_LIMIT: Duration = Duration::from_secs(3);
/// Number of sends that are allowed after that.
const MAX_LATE_SENDS: u64 = 3;
/// Longer than a gateway waits for a silent worker on a route with a short objective while another worker is available.
const LONGER_THAN_ATTEMPT_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Number of tries of the crashing request.
const TRIES: usize = 15;
/// Pause between two tries, so that some workers have restarted before the next one.
const TRY_PAUSE: Duration = Duration::from_millis(200);
const GATEWAYS: usize = 3;
/// More gateways than exchange all updates directly.
const GATEWAYS_WITH_SCHEDULERS: usize = 14;
/// Path of a request without a body that many callers send.
const POPULAR_PATH: &str = "/repeat/popular";
const WORKERS: usize = 6;

fn total_crash_requests(workers: &[CrashingWorker]) -> u64 {
    workers
        .iter()
        .map(CrashingWorker::crash_requests_received)
        .sum()
}

pub fn total_crashes(workers: &[CrashingWorker]) -> u64 {
    workers.iter().map(CrashingWorker::crash_count).sum()
}

/// Sends the crashing request to all gateways in turn until enough workers have crashed, and waits until all gateways
/// must know it.
async fn crash_enough_workers<F>(site: &Site, workers: &[CrashingWorker], send: impl Fn(usize) -> F)
where
    F: Future<Output = CallerAnswer>,
{
    let before = total_crashes(workers);
    for number in 0..TRIES {
        if total_crashes(workers) - before >= CRASHES_TO_BAR {
            break;
        }
        send(number % site.gateways.len()).await;
    }
    let crashed = total_crashes(workers) - before;
    assert!(crashed >= CRASHES_TO_BAR, "only {crashed} workers crashed");
    sleep(UPDATE_TIME_LIMIT).await;
}

/// Sends the crashing request several times to each gateway, and asserts that workers no longer get it and that its
/// caller receives a final error without `Retry-After`.
pub async fn assert_no_longer_sent<F>(
    site: &Site,
    workers: &[CrashingWorker],
    send: impl Fn(usize) -> F,
) where
    F: Future<Output = CallerAnswer>,
{
    let before = total_crash_requests(workers);
    let mut results = Vec::new();
    for number in 0..TRIES {
        sleep(TRY_PAUSE).await;
        let answer = send(number % site.gateways.len()).await;
        results.push((answer.status, answer.retry_after));
    }
    let new_sends = total_crash_requests(workers) - before;
    assert!(
        new_sends <= MAX_LATE_SENDS,
        "{new_sends} sends after {before}"
    );
    let last_results = &results[TRIES - site.gateways.len()..];
    let is_final = |(status, retry_after): &(u16, Option<f64>)| {
        *status >= 500 && *status != 503 && retry_after.is_none()
    };
    assert!(last_results.iter().all(is_final), "{last_results:?}");
}

pub async fn send_crashing_request(gateway: &SiteGateway, path: &str) -> CallerAnswer {
    let id = format!("d-{:x}", next_id());
    send_request(gateway, &id, path, CRASH_TEXT).await
}

/// Returns a new id for each try of a caller.
fn next_id() -> u64 {
    use std::sync::atomic::{AtomicU64, Ordering};
    static LAST: AtomicU64 = AtomicU64::new(0);
    LAST.fetch_add(1, Ordering::Relaxed)
}

#[actix_rt::test]
async fn a_request_that_crashes_workers_is_no_longer_sent() {
    let (site, workers) = start_site_with_crashing_workers().await;
    for path in [REPEATABLE, AT_MOST_ONCE] {
        let send = |index: usize| send_crashing_request(&site.gateways[index], path);
        crash_enough_workers(&site, &workers, send).await;
        assert_no_longer_sent(&site, &workers, send).await;
    }
}

#[actix_rt::test]
async fn a_request_that_crashes_engines_is_no_longer_read_or_run() {
    let reader = ("llm", Some("prefill"), ECHO);
    let site = Site::start(&[reader, ("app", None, ECHO)], GATEWAYS).await;
    let decoder = ("llm", Some("decode"), ECHO);
    let workers = site
        .add_crashing_workers(WORKERS, decoder, SILENT_CRASH)
        .await;
    site.wait_until_gateways_know_each_other().await;
    let send = |index: usize| {
        let gateway = &site.gateways[index];
        async move { send_prompt_with_body(gateway, &format!("d-{:x}", next_id()), CRASH_TEXT).await }
    };
    crash_enough_workers(&site, &workers, send).await;
    let prompts_before = site.workers[0].worker.prompts_read();
    assert_no_longer_sent(&site, &workers, send).await;
    let new_prompts = site.workers[0].worker.prompts_read() - prompts_before;
    assert!(
        new_prompts <= MAX_LATE_SENDS,
        "prompt read {new_prompts} more times"
    );
}

async fn start_site_with_crashing_workers() -> (Site, Vec<CrashingWorker>) {
    start_site(GATEWAYS, ECHO, SILENT_CRASH).await
}

/// Starts a site whose application workers crash while running such requests, and treat other requests as `behaviour` says.
async fn start_site(
    gateways: usize,
    behaviour: Behaviour,
    trigger: CrashTrigger,
) -> (Site, Vec<CrashingWorker>) {
    let site = Site::start(&[("llm", Some("decode"), ECHO)], gateways).await;
    let workers = site
        .add_crashing_workers(WORKERS, ("app", None, behaviour), trigger)
        .await;
    site.wait_until_gateways_know_each_other().await;
    (site, workers)
}

async fn wait_until_all_workers_are_ready(site: &Site) {
    let all = (site.workers.len() + WORKERS) as f64;
    for index in 0..site.gateways.len() {
        site.wait_for_ready_workers(index, all).await;
    }
}

#[actix_rt::test]
async fn a_gateway_that_starts_later_reads_the_barred_request_from_the_store() {
    let (mut site, workers) = start_site_with_crashing_workers().await;
    let send = |index: usize| send_crashing_request(&site.gateways[index], REPEATABLE);
    crash_enough_workers(&site, &workers, send).await;
    site.add_gateway();
    wait_until_all_workers_are_ready(&site).await;
    let before = total_crash_requests(&workers);
    let answer = send_crashing_request(&site.gateways[GATEWAYS], REPEATABLE).await;
    assert_eq!(
        (total_crash_requests(&workers), answer.status),
        (before, 500)
    );
}

#[actix_rt::test]
async fn the_request_stays_barred_after_the_loss_of_all_gateways() {
    let (mut site, workers) = start_site_with_crashing_workers().await;
    let send = |index: usize| send_crashing_request(&site.gateways[index], REPEATABLE);
    crash_enough_workers(&site, &workers, send).await;
    site.restart_all_gateways();
    wait_until_all_workers_are_ready(&site).await;
    let before = total_crash_requests(&workers);
    for gateway in &site.gateways {
        assert_eq!(send_crashing_request(gateway, REPEATABLE).await.status, 500);
    }
    assert_eq!(total_crash_requests(&workers), before);
}

#[actix_rt::test]
async fn gateways_inform_each_other_while_the_store_is_unreachable() {
    let (site, workers) = start_site_with_crashing_workers().await;
    for endpoint in &site.store_endpoints {
        endpoint.set_fault(StoreFault::Refuse);
    }
    let send = |index: usize| send_crashing_request(&site.gateways[index], REPEATABLE);
    crash_enough_workers(&site, &workers, send).await;
    assert_no_longer_sent(&site, &workers, send).await;
}

#[actix_rt::test]
async fn identical_requests_of_many_callers_are_not_barred_for_running_at_the_same_time() {
    let (site, workers) = start_site(GATEWAYS, SLOW, SILENT_CRASH).await;
    let send_popular = |index: usize| {
        let gateway = &site.gateways[index % GATEWAYS];
        async move { send_request(gateway, &format!("p-{:x}", next_id()), POPULAR_PATH, b"").await }
    };
    let send = |index: usize| {
        let popular_requests = join_all((0..4 * WORKERS).map(send_popular));
        let crashing_request = send_crashing_request(&site.gateways[index], REPEATABLE);
        async move { futures_util::join!(crashing_request, popular_requests).0 }
    };
    crash_enough_workers(&site, &workers, send).await;
    wait_until_all_workers_are_ready(&site).await;
    assert_no_longer_sent(&site, &workers, send).await;
    for index in 0..TRIES {
        assert_eq!(send_popular(index).await.status, 200);
    }
}

#[actix_rt::test]
async fn every_gateway_of_a_fleet_with_schedulers_bars_the_request() {
    let (site, workers) = start_site(GATEWAYS_WITH_SCHEDULERS, ECHO, SILENT_CRASH).await;
    let send = |index: usize| send_crashing_request(&site.gateways[index], AT_MOST_ONCE);
    crash_enough_workers(&site, &workers, send).await;
    wait_until_all_workers_are_ready(&site).await;
    let before = total_crash_requests(&workers);
    for gateway in &site.gateways {
        assert_eq!(
            send_crashing_request(gateway, AT_MOST_ONCE).await.status,
            500
        );
    }
    assert_eq!(total_crash_requests(&workers), before);
}

/// An answer without a length ends with its connection, whether it is complete or not. Its end must therefore not clear
/// the request.
#[actix_rt::test]
async fn the_end_of_an_answer_without_a_length_does_not_clear_its_request() {
    let trigger = CrashTrigger {
        partial_answer: PartialAnswer::WithoutLength,
        ..SILENT_CRASH
    };
    let (site, workers) = start_site(GATEWAYS, ECHO, trigger).await;
    let send = |index: usize| send_crashing_request(&site.gateways[index], AT_MOST_ONCE);
    crash_enough_workers(&site, &workers, send).await;
    assert_no_longer_sent(&site, &workers, send).await;
}

/// The gateway gives up the first send because its worker is silent, and the worker crashes afterwards. The gateway waits
/// for the second send, which the crash of its worker breaks.
#[actix_rt::test]
async fn a_worker_that_crashes_after_its_request_was_given_up_is_counted() {
    let trigger = CrashTrigger {
        delay: LONGER_THAN_ATTEMPT_TIMEOUT,
        ..SILENT_CRASH
    };
    let (site, workers) = start_site(1, ECHO, trigger).await;
    let gateway = &site.gateways[0];
    send_crashing_request(gateway, SHORT_OBJECTIVE).await;
    eventually("both crashes are counted", || async {
        let counted = gateway.metric("gateway_worker_ends_total").await?;
        (total_crashes(&workers) == 2 && counted == 2.0).then_some(())
    })
    .await;
}
