//! Workers that say in their answers that they leave, or turn requests away with `Retry-After`: no request may reach
//! them again before that is over, from whichever gateway and whoever has chosen them.

use std::cell::Cell;
use std::time::Duration;

use futures_util::future::join_all;
use serde_json::{json, Value};
use tansyhall_platform_standin::Behaviour;
use tansyhall_testing::eventually;
use tokio::time::sleep;

use crate::schedulers::{asking_gateway, GATEWAYS as GATEWAYS_WITH_SCHEDULERS};
use crate::support::{
    ask, ask_own_prompt, CallerAnswer, Site, SiteGateway, SiteWorker, WorkerSpec, AT_MOST_ONCE,
    REPEATABLE,
};

const ECHO: Behaviour = Behaviour::Serve { events: 0 };
const APP: WorkerSpec = ("app", None, ECHO);
const READER: WorkerSpec = ("llm", Some("prefill"), ECHO);
const DECODER: WorkerSpec = ("llm", Some("decode"), ECHO);
/// A rest that is longer than a test.
const LONG_REST: Duration = Duration::from_secs(30);
/// Requests to a resting worker from one gateway that are allowed, from so long after its word on.
const ALLOWED_IN_REST: u64 = 2;
const REST_BEGINS_WITHIN: Duration = Duration::from_millis(500);
/// Requests after a word, one after the other, and as many at once.
const REQUESTS: usize = 24;
/// The same at once in a fleet whose gateways have few connections to each worker.
const FEW: usize = 4;

fn turn_away(rest: Duration) -> Behaviour {
    let backoff_ms = rest.as_millis() as u64;
    Behaviour::Reject { backoff_ms }
}

fn arrivals(workers: &[SiteWorker]) -> Vec<u64> {
    workers.iter().map(|one| one.worker.arrivals()).collect()
}

/// The worker that a gateway prefers: the one that the next request reaches first, if nothing changes.
pub async fn preferred(workers: &[SiteWorker], ask: impl AsyncFn(usize) -> CallerAnswer) -> usize {
    for number in 0..REQUESTS {
        assert_eq!(ask(number).await.status, 200);
    }
    let before = arrivals(workers);
    assert_eq!(ask(REQUESTS).await.status, 200);
    let after = arrivals(workers);
    let reached = (0..workers.len()).find(|index| after[*index] > before[*index]);
    reached.expect("the request reached a worker")
}

/// A request by its number; those of different words differ.
pub async fn ask_app(gateway: &SiteGateway, word: &str, number: usize) -> CallerAnswer {
    let path = [REPEATABLE, AT_MOST_ONCE][number % 2];
    ask(gateway, &format!("{word}-{number}"), path, b"x").await
}

/// Makes the preferred worker say that it leaves until the gateway has heard that, and returns the worker's index.
async fn let_preferred_leave(
    workers: &[SiteWorker],
    ask: impl AsyncFn(usize) -> CallerAnswer,
) -> usize {
    let leaving = preferred(workers, &ask).await;
    workers[leaving].worker.announce_leaving();
    let before = workers[leaving].worker.arrivals();
    for number in 0..REQUESTS {
        assert_eq!(ask(number).await.status, 200);
        if workers[leaving].worker.arrivals() > before {
            return leaving;
        }
    }
    panic!("no answer of the worker said that it leaves");
}

/// Nothing reaches the worker any more, and its callers are served elsewhere.
async fn gets_nothing_more(worker: &SiteWorker, ask: impl AsyncFn(usize) -> CallerAnswer) {
    gets_nothing_more_at_once(REQUESTS, worker, ask).await;
}

/// The same with so many requests at once.
async fn gets_nothing_more_at_once(
    at_once: usize,
    worker: &SiteWorker,
    ask: impl AsyncFn(usize) -> CallerAnswer,
) {
    let before = worker.worker.arrivals();
    for number in 0..REQUESTS {
        assert_eq!(ask(number).await.status, 200);
    }
    let answers = join_all((0..at_once).map(|number| ask(number))).await;
    assert!(answers.iter().all(|answer| answer.status == 200));
    let since = worker.worker.arrivals() - before;
    assert_eq!(since, 0, "requests to a worker that leaves");
}

#[actix_rt::test]
async fn a_worker_that_says_in_an_answer_that_it_leaves_gets_nothing_more() {
    let site = Site::start(&[APP, APP], 1).await;
    let gateway = &site.gateways[0];
    let leaving =
        let_preferred_leave(&site.workers, async |n| ask_app(gateway, "told", n).await).await;
    let later = async |n| ask_app(gateway, "later", n).await;
    gets_nothing_more(&site.workers[leaving], later).await;
}

#[actix_rt::test]
async fn engines_that_say_in_an_answer_that_they_leave_read_and_run_nothing_more() {
    for (specs, kind) in [
        ([READER, READER, DECODER], "reader"),
        ([READER, DECODER, DECODER], "decoder"),
    ] {
        let site = Site::start(&specs, 1).await;
        let gateway = &site.gateways[0];
        let alike = match kind {
            "reader" => &site.workers[..2],
            _ => &site.workers[1..],
        };
        let told = async |n| ask_own_prompt(gateway, &format!("told-{n}"), 1_000 + n).await;
        let leaving = let_preferred_leave(alike, told).await;
        let later = async |n| ask_own_prompt(gateway, &format!("later-{n}"), 2_000 + n).await;
        gets_nothing_more(&alike[leaving], later).await;
    }
}

#[actix_rt::test]
async fn the_word_of_a_worker_that_leaves_holds_for_its_life_and_no_longer() {
    let site = Site::start(&[APP, APP], 1).await;
    let gateway = &site.gateways[0];
    let leaving =
        let_preferred_leave(&site.workers, async |n| ask_app(gateway, "told", n).await).await;
    let leaving = &site.workers[leaving];
    let key = format!("servers/{}", leaving.worker.id);
    let (entry, _) = site.store.get(&key).expect("the worker's entry");
    let mut entry: Value = serde_json::from_slice(&entry).expect("JSON");

    leaving.worker.write_entry("ready");
    site.until_in_force(site.configure_next()).await;
    let again = async |n| ask_app(gateway, "again", n).await;
    gets_nothing_more(leaving, again).await;

    site.store.remove(&key);
    site.until_in_force(site.configure_next()).await;
    site.store.put(&key, &entry);
    site.until_in_force(site.configure_next()).await;
    let back = async |n| ask_app(gateway, "back", n).await;
    gets_nothing_more(leaving, back).await;

    entry["born"] = json!(1_700_000_000_000_u64);
    site.store.put(&key, &entry);
    let others = site.workers.iter();
    for other in others.filter(|other| other.worker.id != leaving.worker.id) {
        other.worker.write_entry("draining");
    }
    site.until_in_force(site.configure_next()).await;
    let before = leaving.worker.arrivals();
    let answer = ask(gateway, "next-life", REPEATABLE, b"x").await;
    assert_eq!(answer.status, 200);
    assert_eq!(leaving.worker.arrivals() - before, 1);
}

#[actix_rt::test]
async fn a_worker_that_wants_rest_gets_it() {
    let site = Site::start(&[APP, APP], 1).await;
    let gateway = &site.gateways[0];
    let resting = preferred(&site.workers, async |n| ask_app(gateway, "first", n).await).await;
    let worker = &site.workers[resting].worker;
    worker.set_behaviour(turn_away(LONG_REST));
    let before = worker.arrivals();
    assert_eq!(ask_app(gateway, "refused", 0).await.status, 200);
    assert_eq!(worker.arrivals() - before, 1);
    rests(worker, async |n| ask_app(gateway, "later", n).await).await;
}

#[actix_rt::test]
async fn engines_that_want_rest_get_it() {
    let site = Site::start(&[READER, READER, DECODER, DECODER], 1).await;
    let gateway = &site.gateways[0];
    for alike in [&site.workers[..2], &site.workers[2..]] {
        let first = async |n| ask_own_prompt(gateway, &format!("first-{n}"), 1_000 + n).await;
        let resting = &alike[preferred(alike, first).await].worker;
        resting.set_behaviour(turn_away(LONG_REST));
        let before = resting.arrivals();
        let number = Cell::new(2_000);
        eventually("the engine turns a request away", || async {
            number.set(number.get() + 1);
            let id = format!("refused-{}", number.get());
            let answer = ask_own_prompt(gateway, &id, number.get()).await;
            assert_eq!(answer.status, 200);
            (resting.arrivals() > before).then_some(())
        })
        .await;
        rests(resting, async |n| {
            ask_own_prompt(gateway, &format!("later-{n}"), 5_000 + n).await
        })
        .await;
    }
}

/// No more reaches a worker that has asked for rest than what is allowed, and its callers are served elsewhere.
async fn rests(
    worker: &tansyhall_platform_standin::Worker,
    ask: impl AsyncFn(usize) -> CallerAnswer,
) {
    sleep(REST_BEGINS_WITHIN).await;
    let before = worker.arrivals();
    for number in 0..REQUESTS {
        assert_eq!(ask(number).await.status, 200);
        sleep(Duration::from_millis(100)).await;
    }
    let at_once = join_all((0..REQUESTS).map(|number| ask(number))).await;
    assert!(at_once.iter().all(|answer| answer.status == 200));
    let since = worker.arrivals() - before;
    assert!(since <= ALLOWED_IN_REST, "{since} requests in its rest");
}

#[actix_rt::test]
async fn while_all_rest_callers_are_refused_at_once_with_the_time_until_one_is_back() {
    let site = Site::start(&[APP, APP], 1).await;
    let gateway = &site.gateways[0];
    for one in &site.workers {
        one.worker.set_behaviour(turn_away(LONG_REST));
    }
    assert_eq!(ask_app(gateway, "first", 0).await.status, 503);
    sleep(REST_BEGINS_WITHIN).await;
    let before = arrivals(&site.workers);
    let refused = join_all((0..REQUESTS).map(|n| ask_app(gateway, "later", n))).await;
    for answer in refused {
        assert_eq!(answer.status, 503);
        let told = Duration::from_secs_f64(answer.retry_after.expect("a time to come back"));
        assert!(told > LONG_REST / 2, "told to come back after {told:?}");
    }
    for (before, after) in before.into_iter().zip(arrivals(&site.workers)) {
        assert!(after - before <= ALLOWED_IN_REST);
    }
}

#[actix_rt::test]
async fn after_its_rest_a_worker_is_used_again() {
    let site = Site::start(&[APP], 1).await;
    let gateway = &site.gateways[0];
    let worker = &site.workers[0].worker;
    worker.set_behaviour(turn_away(Duration::from_millis(1_500)));
    let refused = ask_app(gateway, "refused", 0).await;
    assert_eq!(refused.status, 503);
    worker.set_behaviour(ECHO);
    let told = Duration::from_secs_f64(refused.retry_after.expect("a time to come back"));
    sleep(told).await;
    let answers = join_all((0..REQUESTS).map(|n| ask_app(gateway, "back", n))).await;
    let served = answers.iter().filter(|answer| answer.status == 200).count();
    assert!(
        served > 0,
        "none of those who came back when told was served"
    );
    assert_eq!(ask_app(gateway, "later", 0).await.status, 200);
}

#[actix_rt::test]
async fn a_scheduler_that_has_not_heard_the_word_sends_nobody_there() {
    let site = Site::start(&[APP, APP], GATEWAYS_WITH_SCHEDULERS).await;
    site.until_gateways_know_each_other().await;
    let gateway = &site.gateways[asking_gateway(&site).await];
    let leaving =
        let_preferred_leave(&site.workers, async |n| ask_app(gateway, "told", n).await).await;
    let later = async |n| ask_app(gateway, "later", n).await;
    gets_nothing_more_at_once(FEW, &site.workers[leaving], later).await;
}

#[actix_rt::test]
async fn a_gateway_writes_once_what_a_worker_has_said() {
    let mut site = Site::start(&[APP, APP], 1).await;
    let gateway = &site.gateways[0];
    let told = async |n| ask_app(gateway, "told", n).await;
    let leaving = let_preferred_leave(&site.workers, told).await;
    let resting = &site.workers[1 - leaving].worker;
    resting.set_behaviour(turn_away(LONG_REST));
    assert_eq!(ask_app(gateway, "refused", 0).await.status, 503);
    assert_eq!(ask_app(gateway, "refused", 1).await.status, 503);
    let (leaving, resting) = (site.workers[leaving].worker.id.clone(), resting.id.clone());

    let lines = site.gateways.remove(0).stop_and_read();
    let of = |event: &str| lines.iter().filter(|line| line["event"] == event).collect();
    let words: [Vec<&Value>; 2] = [of("worker_leaving"), of("worker_rests")];
    let [leaves, rests] = words;
    assert_eq!(leaves.len(), 1);
    assert_eq!(leaves[0]["worker"], leaving.as_str());
    assert_eq!(leaves[0]["source"], "run");
    assert_eq!(rests.len(), 1);
    assert_eq!(rests[0]["worker"], resting.as_str());
    assert_eq!(rests[0]["rest_ms"], LONG_REST.as_millis() as u64);
    let refused = of("request");
    let refused: Vec<&Value> = refused
        .into_iter()
        .filter(|line: &&Value| line["outcome"] == "refused")
        .collect();
    assert!(refused.iter().any(|line| line["cause"] == "workers_rest"));
    let started = of("started");
    let commit = started[0]["commit"].as_str().expect("a commit");
    let is_hash = commit.len() == 40 && commit.bytes().all(|byte| byte.is_ascii_hexdigit());
    assert!(is_hash || commit == "unknown", "{commit}");
}
