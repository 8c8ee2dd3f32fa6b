//! Workers that state in their answers that they are leaving, or reject requests with `Retry-After`: until that ends, no
//! gateway may send them further requests, whichever gateway has chosen the worker.

use std::cell::Cell;
use std::time::Duration;

use futures_util::future::join_all;
use serde_json::{json, Value};
use tansyhall_platform_standin::Behaviour;
use tansyhall_testing::eventually;
use tokio::time::sleep;

use crate::schedulers::{find_gateway_with_scheduler, GATEWAYS as GATEWAYS_WITH_SCHEDULERS};
use crate::support::{
    send_request, send_unique_prompt, CallerAnswer, Site, SiteGateway, SiteWorker, WorkerSpec,
    AT_MOST_ONCE, REPEATABLE,
};

const ECHO: Behaviour = Behaviour::Serve { events: 0 };
const APP: WorkerSpec = ("app", None, ECHO);
const READER: WorkerSpec = ("llm", Some("prefill"), ECHO);
const DECODER: WorkerSpec = ("llm", Some("decode"), ECHO);
/// A back-off that is longer than a test.
const LONG_BACKOFF: Duration = Duration::from_secs(30);
/// Number of requests that one gateway may send to a worker that is backing off, after [`BACKOFF_APPLIED_WITHIN`].
const MAX_REQUESTS_IN_BACKOFF: u64 = 2;
/// Time after a worker's notice within which its back-off must be applied.
const BACKOFF_APPLIED_WITHIN: Duration = Duration::from_millis(500);
/// Number of requests after a notice: this many one after the other, and then as many concurrently.
const REQUESTS: usize = 24;
/// Number of concurrent requests in a fleet whose gateways have few connections to each worker.
const FEW_CONCURRENT: usize = 4;

fn reject_with_backoff(backoff: Duration) -> Behaviour {
    let backoff_ms = backoff.as_millis() as u64;
    Behaviour::Reject { backoff_ms }
}

fn arrivals(workers: &[SiteWorker]) -> Vec<u64> {
    workers
        .iter()
        .map(|worker| worker.worker.arrivals())
        .collect()
}

/// Returns the index of the worker that a gateway prefers: the worker that the next request reaches first if nothing
/// changes.
pub async fn find_preferred(
    workers: &[SiteWorker],
    send: impl AsyncFn(usize) -> CallerAnswer,
) -> usize {
    for number in 0..REQUESTS {
        assert_eq!(send(number).await.status, 200);
    }
    let before = arrivals(workers);
    assert_eq!(send(REQUESTS).await.status, 200);
    let after = arrivals(workers);
    let reached = (0..workers.len()).find(|index| after[*index] > before[*index]);
    reached.expect("the request reached a worker")
}

/// Sends a request whose id consists of `prefix` and `number`. Even numbers are repeatable requests, odd numbers run at
/// most once.
pub async fn send_app_request(gateway: &SiteGateway, prefix: &str, number: usize) -> CallerAnswer {
    let path = [REPEATABLE, AT_MOST_ONCE][number % 2];
    send_request(gateway, &format!("{prefix}-{number}"), path, b"x").await
}

/// Makes the preferred worker state that it is leaving, sends requests until the gateway has received that notice, and
/// returns the worker's index.
async fn make_preferred_leave(
    workers: &[SiteWorker],
    send: impl AsyncFn(usize) -> CallerAnswer,
) -> usize {
    let leaving = find_preferred(workers, &send).await;
    workers[leaving].worker.announce_leaving();
    let before = workers[leaving].worker.arrivals();
    for number in 0..REQUESTS {
        assert_eq!(send(number).await.status, 200);
        if workers[leaving].worker.arrivals() > before {
            return leaving;
        }
    }
    panic!("no answer of the worker said that it is leaving");
}

/// Asserts that no further request reaches the worker, and that other workers serve the callers.
async fn assert_gets_no_requests(worker: &SiteWorker, send: impl AsyncFn(usize) -> CallerAnswer) {
    assert_gets_no_concurrent_requests(REQUESTS, worker, send).await;
}

/// Asserts the same as [`assert_gets_no_requests`], with `concurrent` concurrent requests.
async fn assert_gets_no_concurrent_requests(
    concurrent: usize,
    worker: &SiteWorker,
    send: impl AsyncFn(usize) -> CallerAnswer,
) {
    let before = worker.worker.arrivals();
    for number in 0..REQUESTS {
        assert_eq!(send(number).await.status, 200);
    }
    let answers = join_all((0..concurrent).map(|number| send(number))).await;
    assert!(answers.iter().all(|answer| answer.status == 200));
    let new_arrivals = worker.worker.arrivals() - before;
    assert_eq!(new_arrivals, 0, "requests to a leaving worker");
}

#[actix_rt::test]
async fn a_worker_that_states_in_an_answer_that_it_is_leaving_gets_no_more_requests() {
    let site = Site::start(&[APP, APP], 1).await;
    let gateway = &site.gateways[0];
    let leaving = make_preferred_leave(&site.workers, async |n| {
        send_app_request(gateway, "told", n).await
    })
    .await;
    let later = async |n| send_app_request(gateway, "later", n).await;
    assert_gets_no_requests(&site.workers[leaving], later).await;
}

#[actix_rt::test]
async fn engines_that_state_in_an_answer_that_they_are_leaving_get_no_more_requests() {
    for (specs, kind) in [
        ([READER, READER, DECODER], "reader"),
        ([READER, DECODER, DECODER], "decoder"),
    ] {
        let site = Site::start(&specs, 1).await;
        let gateway = &site.gateways[0];
        let candidates = match kind {
            "reader" => &site.workers[..2],
            _ => &site.workers[1..],
        };
        let send_first =
            async |n| send_unique_prompt(gateway, &format!("told-{n}"), 1_000 + n).await;
        let leaving = make_preferred_leave(candidates, send_first).await;
        let later = async |n| send_unique_prompt(gateway, &format!("later-{n}"), 2_000 + n).await;
        assert_gets_no_requests(&candidates[leaving], later).await;
    }
}

#[actix_rt::test]
async fn a_leaving_notice_applies_to_one_incarnation_of_the_worker() {
    let site = Site::start(&[APP, APP], 1).await;
    let gateway = &site.gateways[0];
    let leaving = make_preferred_leave(&site.workers, async |n| {
        send_app_request(gateway, "told", n).await
    })
    .await;
    let leaving = &site.workers[leaving];
    let key = format!("servers/{}", leaving.worker.id);
    let (entry, _) = site.store.get(&key).expect("the worker's entry");
    let mut entry: Value = serde_json::from_slice(&entry).expect("JSON");

    leaving.worker.write_entry("ready");
    site.wait_until_in_force(site.configure_next()).await;
    let again = async |n| send_app_request(gateway, "again", n).await;
    assert_gets_no_requests(leaving, again).await;

    site.store.remove(&key);
    site.wait_until_in_force(site.configure_next()).await;
    site.store.put(&key, &entry);
    site.wait_until_in_force(site.configure_next()).await;
    let back = async |n| send_app_request(gateway, "back", n).await;
    assert_gets_no_requests(leaving, back).await;

    entry["born"] = json!(1_700_000_000_000_u64);
    site.store.put(&key, &entry);
    let others = site.workers.iter();
    for other in others.filter(|other| other.worker.id != leaving.worker.id) {
        other.worker.write_entry("draining");
    }
    site.wait_until_in_force(site.configure_next()).await;
    let before = leaving.worker.arrivals();
    let answer = send_request(gateway, "next-life", REPEATABLE, b"x").await;
    assert_eq!(answer.status, 200);
    assert_eq!(leaving.worker.arrivals() - before, 1);
}

#[actix_rt::test]
async fn a_worker_that_requests_a_backoff_gets_it() {
    let site = Site::start(&[APP, APP], 1).await;
    let gateway = &site.gateways[0];
    let backing_off = find_preferred(&site.workers, async |n| {
        send_app_request(gateway, "first", n).await
    })
    .await;
    let worker = &site.workers[backing_off].worker;
    worker.set_behaviour(reject_with_backoff(LONG_BACKOFF));
    let before = worker.arrivals();
    assert_eq!(send_app_request(gateway, "refused", 0).await.status, 200);
    assert_eq!(worker.arrivals() - before, 1);
    assert_backs_off(worker, async |n| {
        send_app_request(gateway, "later", n).await
    })
    .await;
}

#[actix_rt::test]
async fn engines_that_request_a_backoff_get_it() {
    let site = Site::start(&[READER, READER, DECODER, DECODER], 1).await;
    let gateway = &site.gateways[0];
    for candidates in [&site.workers[..2], &site.workers[2..]] {
        let number = Cell::new(1_000);
        let send_next = async |_| {
            number.set(number.get() + 1);
            send_unique_prompt(gateway, &format!("first-{}", number.get()), number.get()).await
        };
        // The preferred engine is determined again if the next request does not reach it: after one late answer, for
        // example on a busy machine, an engine looks slow and gets no requests that come one at a time.
        let backing_off = eventually("the preferred engine rejects a request", || async {
            let preferred = &candidates[find_preferred(candidates, send_next).await].worker;
            preferred.set_behaviour(reject_with_backoff(LONG_BACKOFF));
            let before = preferred.arrivals();
            assert_eq!(send_next(0).await.status, 200);
            if preferred.arrivals() > before {
                return Some(preferred);
            }
            preferred.set_behaviour(ECHO);
            None
        })
        .await;
        assert_backs_off(backing_off, async |n| {
            send_unique_prompt(gateway, &format!("later-{n}"), 5_000 + n).await
        })
        .await;
    }
}

/// Asserts that a worker which has requested a back-off gets no more than the allowed requests, and that other workers
/// serve the callers.
async fn assert_backs_off(
    worker: &tansyhall_platform_standin::Worker,
    send: impl AsyncFn(usize) -> CallerAnswer,
) {
    sleep(BACKOFF_APPLIED_WITHIN).await;
    let before = worker.arrivals();
    for number in 0..REQUESTS {
        assert_eq!(send(number).await.status, 200);
        sleep(Duration::from_millis(100)).await;
    }
    let answers = join_all((0..REQUESTS).map(|number| send(number))).await;
    assert!(answers.iter().all(|answer| answer.status == 200));
    let new_arrivals = worker.arrivals() - before;
    assert!(
        new_arrivals <= MAX_REQUESTS_IN_BACKOFF,
        "{new_arrivals} requests in its back-off"
    );
}

#[actix_rt::test]
async fn while_all_workers_back_off_callers_are_refused_at_once_with_the_remaining_time() {
    let site = Site::start(&[APP, APP], 1).await;
    let gateway = &site.gateways[0];
    for site_worker in &site.workers {
        site_worker
            .worker
            .set_behaviour(reject_with_backoff(LONG_BACKOFF));
    }
    assert_eq!(send_app_request(gateway, "first", 0).await.status, 503);
    sleep(BACKOFF_APPLIED_WITHIN).await;
    let before = arrivals(&site.workers);
    let refused = join_all((0..REQUESTS).map(|n| send_app_request(gateway, "later", n))).await;
    for answer in refused {
        assert_eq!(answer.status, 503);
        let retry_after = Duration::from_secs_f64(answer.retry_after.expect("Retry-After"));
        assert!(
            retry_after > LONG_BACKOFF / 2,
            "Retry-After is {retry_after:?}"
        );
    }
    for (before, after) in before.into_iter().zip(arrivals(&site.workers)) {
        assert!(after - before <= MAX_REQUESTS_IN_BACKOFF);
    }
}

#[actix_rt::test]
async fn a_worker_is_used_again_after_its_backoff() {
    let site = Site::start(&[APP], 1).await;
    let gateway = &site.gateways[0];
    let worker = &site.workers[0].worker;
    worker.set_behaviour(reject_with_backoff(Duration::from_millis(1_500)));
    let refused = send_app_request(gateway, "refused", 0).await;
    assert_eq!(refused.status, 503);
    worker.set_behaviour(ECHO);
    let retry_after = Duration::from_secs_f64(refused.retry_after.expect("Retry-After"));
    sleep(retry_after).await;
    let answers = join_all((0..REQUESTS).map(|n| send_app_request(gateway, "back", n))).await;
    let served = answers.iter().filter(|answer| answer.status == 200).count();
    assert!(
        served > 0,
        "no caller that retried after Retry-After was served"
    );
    assert_eq!(send_app_request(gateway, "later", 0).await.status, 200);
}

#[actix_rt::test]
async fn no_requests_are_placed_on_a_leaving_worker_by_a_scheduler_without_the_notice() {
    let site = Site::start(&[APP, APP], GATEWAYS_WITH_SCHEDULERS).await;
    site.wait_until_gateways_know_each_other().await;
    let gateway = &site.gateways[find_gateway_with_scheduler(&site).await];
    let leaving = make_preferred_leave(&site.workers, async |n| {
        send_app_request(gateway, "told", n).await
    })
    .await;
    let later = async |n| send_app_request(gateway, "later", n).await;
    assert_gets_no_concurrent_requests(FEW_CONCURRENT, &site.workers[leaving], later).await;
}

#[actix_rt::test]
async fn a_gateway_logs_each_notice_of_a_worker_once() {
    let mut site = Site::start(&[APP, APP], 1).await;
    let gateway = &site.gateways[0];
    let send_first = async |n| send_app_request(gateway, "told", n).await;
    let leaving = make_preferred_leave(&site.workers, send_first).await;
    let backing_off = &site.workers[1 - leaving].worker;
    backing_off.set_behaviour(reject_with_backoff(LONG_BACKOFF));
    assert_eq!(send_app_request(gateway, "refused", 0).await.status, 503);
    assert_eq!(send_app_request(gateway, "refused", 1).await.status, 503);
    let (leaving, backing_off) = (
        site.workers[leaving].worker.id.clone(),
        backing_off.id.clone(),
    );

    let lines = site.gateways.remove(0).stop_and_read();
    let lines_of = |event: &str| lines.iter().filter(|line| line["event"] == event).collect();
    let notices: [Vec<&Value>; 2] = [lines_of("worker_leaving"), lines_of("worker_rests")];
    let [leaving_lines, backoff_lines] = notices;
    assert_eq!(leaving_lines.len(), 1);
    assert_eq!(leaving_lines[0]["worker"], leaving.as_str());
    assert_eq!(leaving_lines[0]["source"], "run");
    assert_eq!(backoff_lines.len(), 1);
    assert_eq!(backoff_lines[0]["worker"], backing_off.as_str());
    assert_eq!(backoff_lines[0]["rest_ms"], LONG_BACKOFF.as_millis() as u64);
    let refused = lines_of("request");
    let refused: Vec<&Value> = refused
        .into_iter()
        .filter(|line: &&Value| line["outcome"] == "refused")
        .collect();
    assert!(refused.iter().any(|line| line["cause"] == "workers_rest"));
    let started = lines_of("started");
    let commit = started[0]["commit"].as_str().expect("a commit");
    let is_hash = commit.len() == 40 && commit.bytes().all(|byte| byte.is_ascii_hexdigit());
    assert!(is_hash || commit == "unknown", "{commit}");
}
