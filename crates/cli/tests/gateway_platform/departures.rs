//! Workers whose departure the store announces, while it does not answer some or all gateways. No request may reach such
//! a worker later than the drain time after the store has accepted its departure.

use std::cell::Cell;
use std::future::Future;
use std::time::{Duration, Instant};

use futures_util::future::join_all;
use futures_util::join;
use serde_json::{json, Value};
use tansyhall_platform_standin::{Behaviour, StoreFault, WORKER_ENTRY_PREFIX};
use tansyhall_testing::eventually;
use tokio::time::sleep;

use crate::relays::{find_relays, wait_for_single_relay};
use crate::support::{send_request, Site, SiteGateway, SiteWorker, WorkerSpec, REPEATABLE};

/// The drain time that the platform grants.
const DRAIN: Duration = Duration::from_secs(2);
/// Time after the return of the store within which a worker that lives has written its entry again.
const REREGISTRATION: Duration = Duration::from_secs(2);
/// Slow enough for concurrent requests to be spread over all workers.
const APP: WorkerSpec = ("app", None, Behaviour::Delayed { delay_ms: 20 });
const ZONE_GATEWAYS: usize = 3;
/// Workers of which all but one leave one after the other.
const LEAVING_ONE_BY_ONE: usize = 10;
/// Concurrent callers of each gateway.
const CALLERS: usize = 6;
/// Time between two removals of entries. Its multiples fall into different parts of a call that the store leaves
/// unanswered.
const REMOVAL_INTERVAL: Duration = Duration::from_millis(420);
/// Time for requests to reach a worker that is used in spite of its departure.
const OBSERVATION_TIME: Duration = Duration::from_millis(4_500);
/// Time for which the store answers no gateway: longer than gateways take to notice it.
const OUTAGE: Duration = Duration::from_millis(2_600);
/// Time from the begin of the outage until a worker says that it leaves, and until its entry is gone.
const LEAVES_AFTER: Duration = Duration::from_millis(200);
const GONE_AFTER: Duration = Duration::from_millis(2_300);

/// Sends requests to the gateways until `scenario` is over. All of them must be served. Their ids begin with the number of
/// their gateway.
async fn under_load(gateways: &[SiteGateway], scenario: impl Future<Output = ()>) {
    let is_over = Cell::new(false);
    let callers = gateways.iter().enumerate().flat_map(|(index, gateway)| {
        let is_over = &is_over;
        (0..CALLERS).map(move |caller| async move {
            let mut number = 0;
            while !is_over.get() {
                let id = format!("{index}-{caller}-{number}");
                let answer = send_request(gateway, &id, REPEATABLE, b"x").await;
                assert_eq!(answer.status, 200, "request {id}");
                number += 1;
            }
        })
    });
    let scenario = async {
        scenario.await;
        is_over.set(true);
    };
    join!(join_all(callers), scenario);
}

/// Waits until requests reach the worker.
async fn wait_until_used(worker: &SiteWorker) {
    let before = worker.worker.arrivals();
    eventually("requests reach the worker", || async {
        (worker.worker.arrivals() > before).then_some(())
    })
    .await;
}

/// Returns the time from `departed` until the last request reached the worker, if that was later.
fn last_arrival_after(worker: &SiteWorker, departed: Instant) -> Option<Duration> {
    let arrivals = worker.worker.work_arrivals();
    arrivals.last()?.checked_duration_since(departed)
}

fn assert_nothing_later(worker: &SiteWorker, departed: Instant, limit: Duration, what: &str) {
    let last = last_arrival_after(worker, departed).unwrap_or_default();
    let request = worker.worker.runs().pop().map(|run| run.request_id);
    let request = request.unwrap_or_default();
    println!("{what}: request {request} {last:?} later");
    assert!(last <= limit, "{what}: request {request} {last:?} later");
}

fn set_faults(site: &Site, gateways: &[usize], fault: StoreFault) {
    for index in gateways {
        site.store_endpoints[*index].set_fault(fault);
    }
}

/// Lets workers leave one after the other without saying `draining`, while the store does not answer these gateways.
/// The first worker stays.
async fn remove_entries_while_ignored(site: &Site, ignored: &[usize], fault: StoreFault) {
    let mut removals = Vec::new();
    under_load(&site.gateways, async {
        join_all(site.workers.iter().map(wait_until_used)).await;
        set_faults(site, ignored, fault);
        for worker in &site.workers[1..] {
            sleep(REMOVAL_INTERVAL).await;
            worker.worker.remove_entry();
            removals.push(Instant::now());
        }
        sleep(OBSERVATION_TIME).await;
        set_faults(site, ignored, StoreFault::None);
    })
    .await;
    for (worker, removed) in site.workers[1..].iter().zip(removals) {
        assert_nothing_later(worker, removed, DRAIN, "after the removal of the entry");
    }
}

/// Guards against a gateway that takes its own lack of answers for an outage of the store, and uses workers without an
/// entry for two seconds more.
#[actix_rt::test]
async fn a_gateway_that_the_store_ignores_uses_no_worker_without_an_entry() {
    let site = Site::start(&[APP; LEAVING_ONE_BY_ONE], ZONE_GATEWAYS).await;
    site.wait_until_gateways_know_each_other().await;
    let follower = wait_for_single_relay(&site, None).await;
    println!("the store ignores gateway {follower}");
    remove_entries_while_ignored(&site, &[follower], StoreFault::Silent).await;
}

/// Guards against gateways that ask none of another zone while the store ignores all of their own.
#[actix_rt::test]
async fn a_zone_that_the_store_ignores_learns_of_departures_from_another_zone() {
    for fault in [StoreFault::Silent, StoreFault::Refuse] {
        let site =
            Site::start_in_two_zones(&[APP; LEAVING_ONE_BY_ONE], ZONE_GATEWAYS, ZONE_GATEWAYS)
                .await;
        site.wait_until_gateways_know_each_other().await;
        eventually("one gateway of each zone follows the store", || async {
            (find_relays(&site).await.len() == 2).then_some(())
        })
        .await;
        let zone: Vec<usize> = (0..ZONE_GATEWAYS).collect();
        remove_entries_while_ignored(&site, &zone, fault).await;
    }
}

/// Lets the store answer no gateway for a while. Meanwhile a worker leaves and its entry is removed. Returns the worker and
/// the time of the store's return.
async fn leave_during_an_outage(site: &Site, says_draining: bool) -> (&SiteWorker, Instant) {
    let all: Vec<usize> = (0..site.gateways.len()).collect();
    let leaving = &site.workers[1];
    let mut returned = Instant::now();
    under_load(&site.gateways, async {
        join_all(site.workers.iter().map(wait_until_used)).await;
        set_faults(site, &all, StoreFault::Silent);
        sleep(LEAVES_AFTER).await;
        if says_draining {
            leaving.worker.write_entry("draining");
        }
        sleep(GONE_AFTER - LEAVES_AFTER).await;
        leaving.worker.remove_entry();
        sleep(OUTAGE - GONE_AFTER).await;
        set_faults(site, &all, StoreFault::None);
        returned = Instant::now();
        sleep(OBSERVATION_TIME).await;
    })
    .await;
    (leaving, returned)
}

/// Guards against a departure that is overlooked because its announcement and the removal of the entry arrive together.
#[actix_rt::test]
async fn a_worker_that_left_during_an_outage_is_not_used_after_it() {
    let site = Site::start(&[APP; 3], ZONE_GATEWAYS).await;
    site.wait_until_gateways_know_each_other().await;
    let (leaving, returned) = leave_during_an_outage(&site, true).await;
    let what = "after the store's return";
    assert_nothing_later(leaving, returned, REREGISTRATION, what);
}

/// Guards against a time to wait for lapsed entries that begins when a gateway notices the store's return, and not when the
/// store returned.
#[actix_rt::test]
async fn a_worker_without_an_entry_is_gone_two_seconds_after_the_return_of_the_store() {
    let site = Site::start(&[APP; 3], ZONE_GATEWAYS).await;
    site.wait_until_gateways_know_each_other().await;
    let (lapsed, returned) = leave_during_an_outage(&site, false).await;
    let what = "after the store's return";
    assert_nothing_later(lapsed, returned, REREGISTRATION, what);
}

/// Guards against an entry that a worker wrote before it said that it leaves, and that the store applies after that.
#[actix_rt::test]
async fn a_worker_that_is_leaving_is_not_ready_again_by_an_earlier_write() {
    let site = Site::start(&[APP], 1).await;
    let gateway = &site.gateways[0];
    let leaving = &site.workers[0].worker;
    let key = format!("{WORKER_ENTRY_PREFIX}{}", leaving.id);
    let (ready, _) = site.store.get(&key).expect("the worker's entry");
    let mut entry: Value = serde_json::from_slice(&ready).expect("JSON");
    entry["state"] = json!("draining");
    entry["seq"] = json!(entry["seq"].as_u64().expect("a number") + 1);
    site.store.put(&key, &entry);
    site.wait_for_ready_workers(0, 0.0).await;
    site.store.put_bytes(&key, ready);
    site.wait_until_in_force(site.configure_next()).await;
    let answer = send_request(gateway, "later", REPEATABLE, b"x").await;
    assert_eq!(answer.status, 503);
    assert_eq!(leaving.runs().len(), 0);
}
