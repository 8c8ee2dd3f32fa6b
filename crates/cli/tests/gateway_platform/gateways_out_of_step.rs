//! Gateways that do not learn that another software version has joined, while streams that began at it are taken up there.
//!
//! The failure: a gateway that had heard of the store lately concluded that one version alone served, although workers of
//! another one had joined since then. Streams that they had begun went on at a worker of the only version that it knew.

use std::net::UdpSocket;
use std::time::Duration;

use futures_util::future::{join, join_all};
use serde_json::json;
use tansyhall_platform_standin::{Behaviour, StoreFault};
use tansyhall_testing::eventually;
use tokio::time::sleep;

use crate::support::{send_request, take_up, CallerAnswer, Site, RESUMABLE};
use crate::worker_versions::{
    begin_stream, continued, wait_until_recorded, wait_until_watch_is_complete, BROKEN,
    FIRST_EVENTS, LAST_EVENT, LAST_EVENTS, NEW, OLD, SECOND_VERSION, SHORT_TIMEOUT, WHOLE,
};

/// Number of streams that each other gateway begins.
const STREAMS: usize = 6;
const OUT_OF_STEP: usize = 2;
/// Number of gateways of a fleet in which the store may answer one alone.
const GATEWAYS: usize = 5;
/// Number of streams that are taken up one after the other while the store is slow.
const TAKE_UPS: u32 = 24;
/// Time that each call of a slow store takes, in milliseconds.
const CALL_DELAY_MS: u64 = 230;
/// Shorter than the time for which a gateway may testify after the store's last answer.
const STANDSTILL: Duration = Duration::from_millis(1_600);
const SHORT_PAUSE: Duration = Duration::from_millis(200);

/// Starts a site of three gateways that are sure that one version alone has served.
async fn start_site() -> Site {
    let site = Site::start(&[("app", None, WHOLE)], 3).await;
    site.configure_route_timeout(SHORT_TIMEOUT).await;
    site
}

async fn wait_until_all_watches_are_complete(site: &Site) {
    for gateway in 0..site.gateways.len() {
        wait_until_watch_is_complete(site, gateway).await;
    }
}

/// Lets a worker of the second version join, which begins streams for all gateways but the one that is out of step. Returns
/// the ids of their attempts.
async fn begin_streams_at_new_version(site: &mut Site) -> Vec<String> {
    site.workers[OLD].worker.set_behaviour(Behaviour::NotRun);
    site.start_worker_of_version("app", SECOND_VERSION, BROKEN);
    let mut streams = Vec::new();
    for gateway in 0..OUT_OF_STEP {
        site.wait_for_announced_workers(gateway, 2.0).await;
        for number in 0..STREAMS {
            let id = format!("stream-{gateway}-{number}");
            let answer = send_request(&site.gateways[gateway], &id, RESUMABLE, b"x").await;
            assert_eq!(answer.seal, Some(site.workers[NEW].seal()));
            assert_eq!(answer.body, FIRST_EVENTS);
            streams.push(id);
        }
    }
    for worker in &site.workers {
        worker.worker.set_behaviour(WHOLE);
    }
    streams
}

/// Takes all streams up at the same time at the gateway that is out of step.
async fn take_all_up(site: &Site, streams: &[String]) -> Vec<CallerAnswer> {
    let take_ups = streams.iter().map(|first_attempt| {
        let gateway = &site.gateways[OUT_OF_STEP];
        let id = format!("take-up-{first_attempt}");
        async move { take_up(gateway, &id, RESUMABLE, first_attempt, LAST_EVENT).await }
    });
    join_all(take_ups).await
}

/// Waits until the gateway that is out of step has the revision of the others.
async fn wait_until_mirrors_are_equal(site: &Site) {
    eventually("the mirrors are equal", || async {
        let revision = |gateway: usize| site.gateways[gateway].metric("gateway_mirror_revision");
        (revision(0).await? == revision(OUT_OF_STEP).await?).then_some(())
    })
    .await;
}

fn assert_refused(site: &Site, answers: &[CallerAnswer]) {
    let statuses: Vec<u16> = answers.iter().map(|answer| answer.status).collect();
    assert_eq!(statuses, vec![503; answers.len()]);
    assert!(answers.iter().all(|answer| answer.retry_after.is_some()));
    assert_eq!(continued(site, OLD), 0);
}

/// Starts a site whose gateways know each other under an address at which nobody answers, so that only the store connects
/// them, and waits until they are sure that one version alone has served. Returns the socket that takes their datagrams.
async fn start_site_of_separate_gateways() -> (Site, UdpSocket) {
    let site = start_site().await;
    let silent = UdpSocket::bind("127.0.0.1:0").expect("a free port");
    site.announce_gateways_at(silent.local_addr().expect("an address"));
    site.wait_until_in_force(site.configure_next()).await;
    site.configure_route_timeout(SHORT_TIMEOUT).await;
    wait_until_all_watches_are_complete(&site).await;
    (site, silent)
}

/// Guards against streams that are joined from two versions at a gateway that has stood still while the other version
/// joined.
#[actix_rt::test]
async fn no_stream_is_joined_from_two_versions_at_a_gateway_that_has_stood_still() {
    let (mut site, _silent) = start_site_of_separate_gateways().await;
    site.gateways[OUT_OF_STEP].process.signal("STOP");
    let standstill = sleep(STANDSTILL);
    sleep(SHORT_PAUSE).await;
    site.store.put("other/unrelated", &json!("changed"));
    let streams = begin_streams_at_new_version(&mut site).await;
    standstill.await;
    site.store_endpoints[OUT_OF_STEP].set_fault(StoreFault::Silent);
    let resume = async {
        sleep(SHORT_PAUSE).await;
        site.gateways[OUT_OF_STEP].process.signal("CONT");
    };
    let (answers, ()) = join(take_all_up(&site, &streams), resume).await;
    assert_refused(&site, &answers);
}

/// Guards against streams that are joined from two versions at a gateway that is cut off while the other version joins.
#[actix_rt::test]
async fn no_stream_is_joined_from_two_versions_at_a_gateway_that_is_cut_off() {
    let (mut site, _silent) = start_site_of_separate_gateways().await;
    site.store_endpoints[OUT_OF_STEP].set_fault(StoreFault::Silent);
    let streams = begin_streams_at_new_version(&mut site).await;
    let answers = take_all_up(&site, &streams).await;
    assert_refused(&site, &answers);
    wait_until_recorded(&site, streams.len()).await;
    site.store_endpoints[OUT_OF_STEP].set_fault(StoreFault::None);
    site.wait_for_announced_workers(OUT_OF_STEP, 2.0).await;
    let answers = take_all_up(&site, &streams).await;
    assert!(answers.iter().all(|answer| answer.body == LAST_EVENTS));
    assert_eq!(continued(&site, OLD), 0);
}

/// Guards against streams of the only version that are refused at a gateway which the store does not answer, although it
/// answers another gateway.
#[actix_rt::test]
async fn a_stream_of_the_only_version_is_taken_up_at_a_gateway_that_the_store_refuses() {
    let mut site = start_site().await;
    wait_until_all_watches_are_complete(&site).await;
    let first_attempt = begin_stream(&site, OLD).await;
    drop(site.gateways.remove(0));
    site.store_endpoints[OUT_OF_STEP].set_fault(StoreFault::Refuse);
    let gateway = &site.gateways[OUT_OF_STEP - 1];
    let answer = take_up(gateway, "take-up", RESUMABLE, &first_attempt, LAST_EVENT).await;
    assert_eq!((answer.status, answer.is_complete), (200, true));
    assert_eq!(answer.body, LAST_EVENTS);
}

/// Guards against streams that are joined from two versions at a gateway that has missed a version: it came and left while
/// the gateway was cut off, the store's history of that time is gone, and the store does not name the version.
#[actix_rt::test]
async fn no_stream_is_joined_from_two_versions_at_a_gateway_that_has_missed_one() {
    let (mut site, _silent) = start_site_of_separate_gateways().await;
    for endpoint in &site.store_endpoints[..OUT_OF_STEP] {
        endpoint.set_fault(StoreFault::RefuseLeases);
    }
    site.store_endpoints[OUT_OF_STEP].set_fault(StoreFault::Silent);
    let streams = begin_streams_at_new_version(&mut site).await;
    site.workers[NEW].worker.remove_entry();
    site.store_endpoints[OUT_OF_STEP].set_fault(StoreFault::Compacted);
    wait_until_mirrors_are_equal(&site).await;
    let answers = take_all_up(&site, &streams).await;
    assert_refused(&site, &answers);
}

/// Guards against streams of the only version that are refused because the store answers none of the first gateways that are
/// asked to read it.
#[actix_rt::test]
async fn a_stream_of_the_only_version_is_taken_up_while_the_store_answers_one_gateway() {
    let mut site = Site::start(&[("app", None, WHOLE)], GATEWAYS).await;
    site.configure_route_timeout(SHORT_TIMEOUT).await;
    wait_until_all_watches_are_complete(&site).await;
    let first_attempt = begin_stream(&site, OLD).await;
    drop(site.gateways.remove(0));
    let ranked = |gateway: &usize| site.gateways[*gateway].addresses.load;
    let served = (0..site.gateways.len()).max_by_key(ranked);
    let asked = (0..site.gateways.len()).min_by_key(ranked);
    let (served, asked) = (served.expect("a gateway"), asked.expect("a gateway"));
    for gateway in (0..site.gateways.len()).filter(|gateway| *gateway != served) {
        site.store_endpoints[gateway + 1].set_fault(StoreFault::Refuse);
    }
    let gateway = &site.gateways[asked];
    let answer = take_up(gateway, "take-up", RESUMABLE, &first_attempt, LAST_EVENT).await;
    assert_eq!((answer.status, answer.is_complete), (200, true));
    assert_eq!(answer.body, LAST_EVENTS);
}

/// Guards against streams that are refused one after the other because each read of a slow store waits for the one before.
#[actix_rt::test]
async fn streams_of_the_only_version_are_taken_up_while_the_store_is_slow() {
    let site = Site::start(&[("app", None, WHOLE)], 1).await;
    site.configure_route_timeout(SHORT_TIMEOUT).await;
    wait_until_watch_is_complete(&site, 0).await;
    site.store_endpoints[0].set_fault(StoreFault::Slow(CALL_DELAY_MS));
    let site = &site;
    let take_ups = (0..TAKE_UPS).map(|number| async move {
        sleep(SHORT_PAUSE / 2 * number).await;
        site.store.put("other/unrelated", &json!(number));
        let id = format!("take-up-{number}");
        let first_attempt = format!("stream-{number}");
        take_up(
            &site.gateways[0],
            &id,
            RESUMABLE,
            &first_attempt,
            LAST_EVENT,
        )
        .await
    });
    let answers = join_all(take_ups).await;
    let statuses: Vec<u16> = answers.iter().map(|answer| answer.status).collect();
    assert!(
        statuses.iter().filter(|status| **status == 200).count() > statuses.len() / 2,
        "{statuses:?}"
    );
}
