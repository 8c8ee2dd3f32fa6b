//! Requests that end each worker that begins to run them.
//!
//! Seen: engines ended one after another, were back after some seconds and ended again within a second; most
//! other requests found no engine meanwhile. How it came about: a request ended each engine that began to
//! run it; the gateway sent it on to the next one, and its caller tried again, at any gateway. Cause: what a
//! gateway knows of a request died with the try: attempts were counted by try, and a try has an id of its
//! own, so that nothing tied three ended engines to one request. Proof: each test fails
//! on gateways without the part that it is about: the bar, what they tell each other, the store's list, the
//! clearing of what was only beside, the look after silent workers.

use std::future::Future;
use std::time::Duration;

use futures_util::future::join_all;
use tansyhall_platform_standin::{
    Behaviour, CrashTrigger, CrashingWorker, PartialAnswer, StoreFault,
};
use tansyhall_testing::eventually;
use tokio::time::sleep;

use crate::support::{
    ask, ask_model_with_body, CallerAnswer, Site, SiteGateway, AT_MOST_ONCE, REPEATABLE, SWIFT,
};

const ECHO: Behaviour = Behaviour::Serve { events: 0 };
/// An answer that takes longer than a worker lives on with a deadly request: what runs beside it ends too.
const LASTING: Behaviour = Behaviour::Paced {
    events: 1,
    pause_ms: 100,
};
const DEADLY: &[u8] = b"deadly";
pub const SILENT: CrashTrigger = CrashTrigger {
    body_text: DEADLY,
    partial_answer: PartialAnswer::None,
    delay: Duration::from_millis(10),
};
/// Workers that must end before a request counts as deadly.
pub const ENOUGH_ENDS: u64 = 3;
/// The time in which gateways that reach each other or the store have learnt of the third end.
pub const CONTACT: Duration = Duration::from_secs(3);
/// Sends after that which are allowed.
const ALLOWED_SENDS: u64 = 3;
/// Longer than a silent worker is waited for on a route of swift requests while another may try.
const LATER_THAN_PATIENCE: Duration = Duration::from_millis(1_200);
/// Tries in all.
const TRIES: usize = 15;
/// Pause between two tries, so that some workers are back for the next.
const PAUSE: Duration = Duration::from_millis(200);
const GATEWAYS: usize = 3;
/// More gateways than tell each other everything.
const GATEWAYS_WITH_SCHEDULERS: usize = 14;
/// A request without a body that many callers send.
const POPULAR: &str = "/repeat/popular";
const WORKERS: usize = 6;

fn sends(workers: &[CrashingWorker]) -> u64 {
    workers
        .iter()
        .map(CrashingWorker::crash_requests_received)
        .sum()
}

pub fn ends(workers: &[CrashingWorker]) -> u64 {
    workers.iter().map(CrashingWorker::crash_count).sum()
}

/// Sends the deadly request at all gateways in turn until enough workers have ended, and waits until
/// gateways must know.
async fn end_enough_workers<F>(site: &Site, workers: &[CrashingWorker], ask: impl Fn(usize) -> F)
where
    F: Future<Output = CallerAnswer>,
{
    let before = ends(workers);
    for number in 0..TRIES {
        if ends(workers) - before >= ENOUGH_ENDS {
            break;
        }
        ask(number % site.gateways.len()).await;
    }
    let ended = ends(workers) - before;
    assert!(ended >= ENOUGH_ENDS, "{ended} ended");
    sleep(CONTACT).await;
}

/// Sends the deadly request again, to each gateway a few times: workers get it no more, and its caller is
/// told once and for all.
pub async fn is_sent_no_more<F>(site: &Site, workers: &[CrashingWorker], ask: impl Fn(usize) -> F)
where
    F: Future<Output = CallerAnswer>,
{
    let before = sends(workers);
    let mut last = Vec::new();
    for number in 0..TRIES {
        sleep(PAUSE).await;
        let answer = ask(number % site.gateways.len()).await;
        last.push((answer.status, answer.retry_after));
    }
    let after = sends(workers) - before;
    assert!(after <= ALLOWED_SENDS, "{after} sends after {before}");
    let last = &last[TRIES - site.gateways.len()..];
    let is_final = |(status, retry_after): &(u16, Option<f64>)| {
        *status >= 500 && *status != 503 && retry_after.is_none()
    };
    assert!(last.iter().all(is_final), "{last:?}");
}

pub async fn ask_deadly(gateway: &SiteGateway, path: &str) -> CallerAnswer {
    let id = format!("d-{:x}", rand_id());
    ask(gateway, &id, path, DEADLY).await
}

/// Each try of a caller has an id of its own.
fn rand_id() -> u64 {
    use std::sync::atomic::{AtomicU64, Ordering};
    static LAST: AtomicU64 = AtomicU64::new(0);
    LAST.fetch_add(1, Ordering::Relaxed)
}

#[actix_rt::test]
async fn a_request_that_ends_workers_is_sent_no_more() {
    let (site, workers) = site_with_mortal_workers().await;
    for path in [REPEATABLE, AT_MOST_ONCE] {
        let ask = |index: usize| ask_deadly(&site.gateways[index], path);
        end_enough_workers(&site, &workers, ask).await;
        is_sent_no_more(&site, &workers, ask).await;
    }
}

#[actix_rt::test]
async fn a_request_that_ends_engines_is_neither_read_nor_run_any_more() {
    let reader = ("llm", Some("prefill"), ECHO);
    let site = Site::start(&[reader, ("app", None, ECHO)], GATEWAYS).await;
    let decoder = ("llm", Some("decode"), ECHO);
    let workers = site.add_mortal_workers(WORKERS, decoder, SILENT).await;
    site.until_gateways_know_each_other().await;
    let ask = |index: usize| {
        let gateway = &site.gateways[index];
        async move { ask_model_with_body(gateway, &format!("d-{:x}", rand_id()), DEADLY).await }
    };
    end_enough_workers(&site, &workers, ask).await;
    let read = site.workers[0].worker.prompts_read();
    is_sent_no_more(&site, &workers, ask).await;
    let read_again = site.workers[0].worker.prompts_read() - read;
    assert!(read_again <= ALLOWED_SENDS, "read {read_again} times more");
}

async fn site_with_mortal_workers() -> (Site, Vec<CrashingWorker>) {
    site_of(GATEWAYS, ECHO, SILENT).await
}

/// A site whose application workers end under such requests, and treat others like this.
async fn site_of(
    gateways: usize,
    behaviour: Behaviour,
    deadly: CrashTrigger,
) -> (Site, Vec<CrashingWorker>) {
    let site = Site::start(&[("llm", Some("decode"), ECHO)], gateways).await;
    let workers = site
        .add_mortal_workers(WORKERS, ("app", None, behaviour), deadly)
        .await;
    site.until_gateways_know_each_other().await;
    (site, workers)
}

async fn until_all_workers_are_back(site: &Site) {
    let all = (site.workers.len() + WORKERS) as f64;
    for index in 0..site.gateways.len() {
        site.until_ready_workers(index, all).await;
    }
}

#[actix_rt::test]
async fn a_gateway_that_starts_later_knows_it_from_the_store() {
    let (mut site, workers) = site_with_mortal_workers().await;
    let ask = |index: usize| ask_deadly(&site.gateways[index], REPEATABLE);
    end_enough_workers(&site, &workers, ask).await;
    site.add_gateway();
    until_all_workers_are_back(&site).await;
    let before = sends(&workers);
    let answer = ask_deadly(&site.gateways[GATEWAYS], REPEATABLE).await;
    assert_eq!((sends(&workers), answer.status), (before, 500));
}

#[actix_rt::test]
async fn it_is_known_after_the_loss_of_all_gateways() {
    let (mut site, workers) = site_with_mortal_workers().await;
    let ask = |index: usize| ask_deadly(&site.gateways[index], REPEATABLE);
    end_enough_workers(&site, &workers, ask).await;
    site.restart_all_gateways();
    until_all_workers_are_back(&site).await;
    let before = sends(&workers);
    for gateway in &site.gateways {
        assert_eq!(ask_deadly(gateway, REPEATABLE).await.status, 500);
    }
    assert_eq!(sends(&workers), before);
}

#[actix_rt::test]
async fn gateways_tell_each_other_while_the_store_is_away() {
    let (site, workers) = site_with_mortal_workers().await;
    for door in &site.doors {
        door.set_fault(StoreFault::Refuse);
    }
    let ask = |index: usize| ask_deadly(&site.gateways[index], REPEATABLE);
    end_enough_workers(&site, &workers, ask).await;
    is_sent_no_more(&site, &workers, ask).await;
}

#[actix_rt::test]
async fn requests_that_many_callers_send_alike_are_not_barred_for_being_beside_it() {
    let (site, workers) = site_of(GATEWAYS, LASTING, SILENT).await;
    let ask_popular = |index: usize| {
        let gateway = &site.gateways[index % GATEWAYS];
        async move { ask(gateway, &format!("p-{:x}", rand_id()), POPULAR, b"").await }
    };
    let ask = |index: usize| {
        let popular = join_all((0..4 * WORKERS).map(ask_popular));
        let deadly = ask_deadly(&site.gateways[index], REPEATABLE);
        async move { futures_util::join!(deadly, popular).0 }
    };
    end_enough_workers(&site, &workers, ask).await;
    until_all_workers_are_back(&site).await;
    is_sent_no_more(&site, &workers, ask).await;
    for index in 0..TRIES {
        assert_eq!(ask_popular(index).await.status, 200);
    }
}

#[actix_rt::test]
async fn in_a_fleet_whose_schedulers_put_it_together_every_gateway_knows() {
    let (site, workers) = site_of(GATEWAYS_WITH_SCHEDULERS, ECHO, SILENT).await;
    let ask = |index: usize| ask_deadly(&site.gateways[index], AT_MOST_ONCE);
    end_enough_workers(&site, &workers, ask).await;
    until_all_workers_are_back(&site).await;
    let before = sends(&workers);
    for gateway in &site.gateways {
        assert_eq!(ask_deadly(gateway, AT_MOST_ONCE).await.status, 500);
    }
    assert_eq!(sends(&workers), before);
}

/// An answer that has no length ends with its connection, be it whole or not: that it came to an end does
/// not clear its request.
#[actix_rt::test]
async fn an_answer_without_a_length_clears_nobody() {
    let deadly = CrashTrigger {
        partial_answer: PartialAnswer::WithoutLength,
        ..SILENT
    };
    let (site, workers) = site_of(GATEWAYS, ECHO, deadly).await;
    let ask = |index: usize| ask_deadly(&site.gateways[index], AT_MOST_ONCE);
    end_enough_workers(&site, &workers, ask).await;
    is_sent_no_more(&site, &workers, ask).await;
}

/// The first send is given up as its worker says nothing; the worker ends after that. The second is waited
/// for, and broken.
#[actix_rt::test]
async fn a_worker_that_ends_after_its_request_was_given_up_counts_too() {
    let deadly = CrashTrigger {
        delay: LATER_THAN_PATIENCE,
        ..SILENT
    };
    let (site, workers) = site_of(1, ECHO, deadly).await;
    let gateway = &site.gateways[0];
    ask_deadly(gateway, SWIFT).await;
    eventually("both ends are seen", || async {
        let seen = gateway.metric("gateway_worker_ends_total").await?;
        (ends(&workers) == 2 && seen == 2.0).then_some(())
    })
    .await;
}
