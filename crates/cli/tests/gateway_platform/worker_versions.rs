//! Workers of two software versions that serve side by side.
//!
//! The failure: a stream that broke off was continued by a worker of another version, in the same answer or when its caller
//! took it up, so that its events did not fit together. Gateways did not know workers' versions.
//!
//! A later failure: the version of a stream was in the memory of three gateways only. After the loss of most gateways,
//! streams were refused although workers of their versions served.
//!
//! A third failure: which versions had served was in the memory of gateways only. After the loss of all gateways, a stream of
//! a version that had left was continued by the version that served then.

use std::collections::BTreeSet;
use std::time::Duration;

use futures_util::future::join;
use prost::Message;
use tansyhall_core::ZoneName;
use tansyhall_forwarding::{AttemptKey, RecorderPlan, SchedulerCandidate};
use tansyhall_gateway::stream_versions::message::StoredStreamsMessage;
use tansyhall_gateway::stream_versions::{RECORDS_PREFIX, SERVED_PREFIX};
use tansyhall_platform_standin::{Behaviour, StoreFault};
use tansyhall_testing::eventually;
use tokio::time::timeout;

use crate::support::{send_request, take_up, Site, FIRST_VERSION, RESUMABLE};

pub const SECOND_VERSION: &str = "v2";
pub const WHOLE: Behaviour = Behaviour::Serve { events: 4 };
const ENDLESS: Behaviour = Behaviour::Pausing {
    events: 4,
    after: 2,
    pause_ms: 60_000,
};
/// Breaks off within the third event.
pub const BROKEN: Behaviour = Behaviour::AbortAnswer { events: 2 };
/// Breaks new streams off within the third event, and continues others.
const BROKEN_OR_RESUMED: Behaviour = Behaviour::Scripted {
    begun: &["1", "2"],
    breaks_off: true,
    resumed: &["3", "4"],
};
pub const LAST_EVENT: &str = "2";
pub const FIRST_EVENTS: &[u8] = b"id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\n";
pub const LAST_EVENTS: &[u8] = b"id: 3\ndata: piece 3\n\nid: 4\ndata: piece 4\n\n";
const REQUESTS: usize = 10;
/// Number of times that the same stream is taken up.
const TAKE_UPS: usize = 4;
/// Number of streams that each gateway begins.
const STREAMS: usize = 6;
/// Number of gateways of a fleet in which not every gateway is told of each stream.
const LARGER_FLEET: usize = 14;
/// Timeout of a route whose callers may return for twice as long.
const ROUTE_TIMEOUT: Duration = Duration::from_secs(6);
/// Timeout of a route in a test that waits until callers are assumed to have returned.
pub const SHORT_TIMEOUT: Duration = Duration::from_secs(3);
pub const OLD: usize = 0;
pub const NEW: usize = 1;

/// Starts a site with a worker of each version.
async fn start_site(gateways: usize, behaviour: Behaviour) -> Site {
    let mut site = Site::start(&[("app", None, behaviour)], gateways).await;
    site.add_worker_of_version("app", SECOND_VERSION, behaviour)
        .await;
    site
}

/// Returns the number of streams that a worker has continued.
pub fn continued(site: &Site, worker: usize) -> usize {
    let runs = site.workers[worker].worker.runs();
    runs.iter().filter(|run| run.last_event.is_some()).count()
}

/// Lets a worker begin a stream for the first gateway and break off. Returns the id of the attempt.
pub async fn begin_stream(site: &Site, beginner: usize) -> String {
    for (index, other) in site.workers.iter().enumerate() {
        let is_beginner = index == beginner;
        let behaviour = if is_beginner {
            BROKEN
        } else {
            Behaviour::NotRun
        };
        other.worker.set_behaviour(behaviour);
    }
    let id = format!("stream-{beginner}");
    let answer = send_request(&site.gateways[0], &id, RESUMABLE, b"x").await;
    assert_eq!((answer.status, answer.is_complete), (200, false));
    assert_eq!(answer.body, FIRST_EVENTS);
    site.workers
        .iter()
        .for_each(|other| other.worker.set_behaviour(WHOLE));
    id
}

/// Begins streams at some of the gateways, which workers of either version break off. Returns the worker that began each
/// stream and the id of the attempt.
async fn begin_streams(
    site: &Site,
    gateways: impl IntoIterator<Item = usize>,
) -> Vec<(usize, String)> {
    site.workers
        .iter()
        .for_each(|worker| worker.worker.set_behaviour(BROKEN));
    let mut streams = Vec::new();
    for gateway in gateways {
        for number in 0..STREAMS {
            let id = format!("stream-{gateway}-{number}");
            let answer = send_request(&site.gateways[gateway], &id, RESUMABLE, b"x").await;
            assert_eq!(answer.body, FIRST_EVENTS);
            let beginner = site
                .workers
                .iter()
                .position(|worker| Some(worker.seal()) == answer.seal);
            streams.push((beginner.expect("a worker of the site"), id));
        }
    }
    site.workers
        .iter()
        .for_each(|worker| worker.worker.set_behaviour(WHOLE));
    streams
}

/// Waits until the versions of this many streams are recorded in the store.
pub async fn wait_until_recorded(site: &Site, streams: usize) {
    eventually("the versions of streams are recorded", || async {
        let items = site.store.values_with_prefix(RECORDS_PREFIX);
        let decode =
            |item: &Vec<u8>| StoredStreamsMessage::decode(item.as_slice()).expect("streams");
        let messages: Vec<StoredStreamsMessage> = items.iter().map(decode).collect();
        let records = messages.iter().flat_map(StoredStreamsMessage::records);
        let attempts: BTreeSet<_> = records.map(|record| record.attempt).collect();
        (attempts.len() == streams).then_some(())
    })
    .await;
}

/// Waits until a gateway knows which versions have served for as long as a caller may return.
pub async fn wait_until_watch_is_complete(site: &Site, gateway: usize) {
    eventually("the gateway knows which versions have served", || async {
        let metric = site.gateways[gateway].metric("gateway_version_watch_complete");
        (metric.await? == 1.0).then_some(())
    })
    .await;
}

/// Kills all gateways and starts new ones, which know both workers when this returns.
async fn restart_gateways(site: &mut Site) {
    site.restart_all_gateways();
    for gateway in 0..site.gateways.len() {
        site.wait_for_ready_workers(gateway, 2.0).await;
    }
}

/// Takes a stream up several times, and asserts that only the worker that began it continues it.
async fn assert_continued_by(site: &Site, gateway: usize, beginner: usize, first_attempt: &str) {
    site.workers
        .iter()
        .for_each(|other| other.worker.clear_runs());
    for number in 0..TAKE_UPS {
        let id = format!("take-up-{beginner}-{number}");
        let gateway = &site.gateways[gateway];
        let answer = take_up(gateway, &id, RESUMABLE, first_attempt, LAST_EVENT).await;
        assert_eq!((answer.status, answer.is_complete), (200, true));
        assert_eq!(answer.body, LAST_EVENTS);
    }
    for index in 0..site.workers.len() {
        let expected = if index == beginner { TAKE_UPS } else { 0 };
        assert_eq!(continued(site, index), expected);
    }
}

#[actix_rt::test]
async fn no_worker_of_another_version_continues_an_answer() {
    let site = start_site(1, BROKEN).await;
    for number in 0..REQUESTS {
        let id = format!("stream-{number}");
        let answer = send_request(&site.gateways[0], &id, RESUMABLE, b"x").await;
        assert_eq!((answer.status, answer.is_complete), (200, false));
        assert_eq!(answer.body, FIRST_EVENTS);
    }
    assert_eq!((continued(&site, OLD), continued(&site, NEW)), (0, 0));
}

#[actix_rt::test]
async fn a_worker_of_the_same_version_continues_an_answer() {
    let mut site = start_site(1, BROKEN).await;
    site.add_worker_of_version("app", FIRST_VERSION, BROKEN)
        .await;
    for number in 0..REQUESTS {
        let id = format!("stream-{number}");
        let answer = send_request(&site.gateways[0], &id, RESUMABLE, b"x").await;
        assert_eq!(answer.body, FIRST_EVENTS);
    }
    let first_version = continued(&site, OLD) + continued(&site, 2);
    assert!(first_version > 0, "no stream was continued");
    assert_eq!(continued(&site, NEW), 0);
}

#[actix_rt::test]
async fn a_stream_is_taken_up_at_its_version() {
    let site = start_site(1, WHOLE).await;
    for beginner in [OLD, NEW] {
        let first_attempt = begin_stream(&site, beginner).await;
        assert_continued_by(&site, 0, beginner, &first_attempt).await;
    }
}

#[actix_rt::test]
async fn a_stream_of_a_killed_gateway_is_taken_up_at_its_version() {
    let mut site = start_site(3, WHOLE).await;
    let first_attempts = [
        begin_stream(&site, OLD).await,
        begin_stream(&site, NEW).await,
    ];
    drop(site.gateways.remove(0));
    for gateway in 0..site.gateways.len() {
        for beginner in [OLD, NEW] {
            assert_continued_by(&site, gateway, beginner, &first_attempts[beginner]).await;
        }
    }
}

/// The stream begins while its gateway knows one version only, and the gateway is killed during the release.
#[actix_rt::test]
async fn a_stream_from_before_a_release_is_taken_up_at_its_version() {
    let mut site = Site::start(&[("app", None, WHOLE)], 3).await;
    let first_attempt = begin_stream(&site, OLD).await;
    site.add_worker_of_version("app", SECOND_VERSION, WHOLE)
        .await;
    drop(site.gateways.remove(0));
    assert_continued_by(&site, 0, OLD, &first_attempt).await;
}

#[actix_rt::test]
async fn a_stream_of_unknown_version_is_refused_while_two_versions_serve() {
    let site = start_site(2, WHOLE).await;
    for gateway in &site.gateways {
        let answer = take_up(gateway, "take-up", RESUMABLE, "unknown", LAST_EVENT).await;
        assert_eq!(answer.status, 503);
        assert!(answer.retry_after.is_some());
    }
    assert_eq!((continued(&site, OLD), continued(&site, NEW)), (0, 0));
}

#[actix_rt::test]
async fn a_stream_whose_version_no_longer_serves_is_refused() {
    let site = start_site(1, WHOLE).await;
    let first_attempt = begin_stream(&site, OLD).await;
    site.workers[OLD].worker.write_entry("draining");
    site.wait_for_ready_workers(0, 1.0).await;
    let gateway = &site.gateways[0];
    let answer = take_up(gateway, "take-up", RESUMABLE, &first_attempt, LAST_EVENT).await;
    assert_eq!(answer.status, 503);
    assert!(answer.retry_after.is_some());
    assert_eq!(continued(&site, NEW), 0);
}

/// Guards against streams that are refused because the gateways that were told of them are lost.
#[actix_rt::test]
async fn streams_are_taken_up_after_the_loss_of_all_gateways_but_one() {
    let mut site = start_site(5, WHOLE).await;
    site.wait_until_gateways_know_each_other().await;
    let streams = begin_streams(&site, 1..5).await;
    site.gateways.truncate(1);
    for (beginner, first_attempt) in &streams {
        assert_continued_by(&site, 0, *beginner, first_attempt).await;
    }
}

/// Guards against streams that are refused because all gateways that knew their versions are lost.
#[actix_rt::test]
async fn streams_are_taken_up_after_the_loss_of_all_gateways() {
    let mut site = start_site(3, WHOLE).await;
    site.wait_until_gateways_know_each_other().await;
    let streams = begin_streams(&site, 0..3).await;
    wait_until_recorded(&site, streams.len()).await;
    restart_gateways(&mut site).await;
    for (beginner, first_attempt) in &streams {
        assert_continued_by(&site, 1, *beginner, first_attempt).await;
    }
}

/// Guards against streams that are refused in a fleet too large for every gateway to be told of them.
#[actix_rt::test]
async fn streams_of_a_larger_fleet_are_taken_up_after_the_loss_of_all_gateways_but_one() {
    let mut site = start_site(LARGER_FLEET, WHOLE).await;
    site.wait_until_gateways_know_each_other().await;
    let streams = begin_streams(&site, 1..LARGER_FLEET).await;
    wait_until_recorded(&site, streams.len()).await;
    site.gateways.truncate(1);
    for (beginner, first_attempt) in &streams {
        assert_continued_by(&site, 0, *beginner, first_attempt).await;
    }
}

/// Returns the gateway that records the versions of streams first, as gateways of equal capacity in one zone see it.
fn first_recorder(gateways: usize) -> usize {
    let candidate = |number| SchedulerCandidate {
        name: format!("gateway-{number}"),
        zone: ZoneName::new("zone"),
        capacity: 1.0,
    };
    let candidates: Vec<SchedulerCandidate> = (0..gateways).map(candidate).collect();
    let plan = RecorderPlan::new(&candidates);
    let name = plan.recorder(AttemptKey(0), 0).expect("a recorder");
    let position = candidates.iter().position(|gateway| gateway.name == name);
    position.expect("a gateway")
}

/// Guards against streams of a larger fleet that nobody records because their recorder has lost the store.
#[actix_rt::test]
async fn another_recorder_of_a_larger_fleet_replaces_one_that_has_lost_the_store() {
    let site = start_site(LARGER_FLEET, WHOLE).await;
    site.wait_until_gateways_know_each_other().await;
    let recorder = first_recorder(LARGER_FLEET);
    let gateways: Vec<usize> = (0..LARGER_FLEET)
        .map(|number| (recorder + number) % LARGER_FLEET)
        .collect();
    begin_streams(&site, [gateways[2]]).await;
    wait_until_recorded(&site, STREAMS).await;
    let written_by_recorder = format!("{RECORDS_PREFIX}all/gateway-{recorder}-");
    let keys = site.store.keys(RECORDS_PREFIX);
    assert!(
        keys.iter().all(|key| key.starts_with(&written_by_recorder)),
        "{recorder}: {keys:?}"
    );
    site.store_endpoints[recorder].set_fault(StoreFault::Refuse);
    begin_streams(&site, gateways[..2].iter().copied()).await;
    wait_until_recorded(&site, 3 * STREAMS).await;
}

/// Guards against versions that are no longer in the store after it was restored from an earlier backup.
#[actix_rt::test]
async fn versions_of_streams_are_recorded_again_after_a_restore() {
    let mut site = start_site(3, WHOLE).await;
    site.wait_until_gateways_know_each_other().await;
    let backup = site.store.back_up();
    let streams = begin_streams(&site, 0..1).await;
    wait_until_recorded(&site, streams.len()).await;
    site.store.restore(&backup);
    wait_until_recorded(&site, streams.len()).await;
    restart_gateways(&mut site).await;
    for (beginner, first_attempt) in &streams {
        assert_continued_by(&site, 0, *beginner, first_attempt).await;
    }
}

/// Guards against versions that are recorded by nobody because one gateway has lost the store.
#[actix_rt::test]
async fn versions_of_streams_are_recorded_while_a_gateway_has_lost_the_store() {
    let site = start_site(3, WHOLE).await;
    site.wait_until_gateways_know_each_other().await;
    for gateway in 0..site.gateways.len() {
        site.store_endpoints[gateway].set_fault(StoreFault::Refuse);
        begin_streams(&site, [gateway]).await;
        wait_until_recorded(&site, (gateway + 1) * STREAMS).await;
        site.store_endpoints[gateway].set_fault(StoreFault::None);
    }
}

/// A stream that only the store knows is refused while the store is unavailable, and goes on afterwards.
#[actix_rt::test]
async fn a_recorded_stream_is_refused_while_the_store_is_unavailable() {
    let mut site = start_site(1, WHOLE).await;
    let first_attempt = begin_stream(&site, OLD).await;
    wait_until_recorded(&site, 1).await;
    restart_gateways(&mut site).await;
    site.store_endpoints[0].set_fault(StoreFault::Refuse);
    let gateway = &site.gateways[0];
    let answer = take_up(gateway, "too-soon", RESUMABLE, &first_attempt, LAST_EVENT).await;
    assert_eq!(answer.status, 503);
    assert!(answer.retry_after.is_some());
    assert_eq!((continued(&site, OLD), continued(&site, NEW)), (0, 0));
    site.store_endpoints[0].set_fault(StoreFault::None);
    assert_continued_by(&site, 0, OLD, &first_attempt).await;
}

/// Guards against streams of the only version that are refused because the gateways which had watched for long enough to
/// know this are lost.
#[actix_rt::test]
async fn a_stream_of_the_only_version_is_taken_up_at_a_gateway_that_has_just_started() {
    let mut site = Site::start(&[("app", None, WHOLE)], 2).await;
    site.configure_route_timeout(ROUTE_TIMEOUT).await;
    for gateway in [0, 1] {
        wait_until_watch_is_complete(&site, gateway).await;
    }
    let first_attempt = begin_stream(&site, OLD).await;
    site.add_gateway();
    site.wait_for_ready_workers(2, 1.0).await;
    // On its own, the gateway would need twice the timeout.
    timeout(ROUTE_TIMEOUT, wait_until_watch_is_complete(&site, 2))
        .await
        .expect("the gateway learns from others which versions have served");
    site.gateways.drain(..2);
    assert_continued_by(&site, 0, OLD, &first_attempt).await;
}

/// Takes streams up at all gateways, and asserts that they are refused with a time to come back.
async fn assert_refused(site: &Site, streams: &[(usize, String)]) {
    for (number, gateway) in site.gateways.iter().enumerate() {
        for (index, (_, first_attempt)) in streams.iter().enumerate() {
            let id = format!("take-up-{number}-{index}");
            let answer = take_up(gateway, &id, RESUMABLE, first_attempt, LAST_EVENT).await;
            assert_eq!(answer.status, 503, "{first_attempt} at {number}");
            assert!(answer.retry_after.is_some());
        }
    }
    assert_eq!(continued(site, NEW), 0);
}

/// Starts a site whose first version is known to have served alone, and streams that its worker breaks off.
async fn start_site_with_streams_of_one_version() -> (Site, Vec<(usize, String)>) {
    let mut site = Site::start(&[("app", None, WHOLE)], 3).await;
    site.configure_route_timeout(SHORT_TIMEOUT).await;
    for gateway in 0..3 {
        wait_until_watch_is_complete(&site, gateway).await;
    }
    let streams = begin_streams(&site, 0..3).await;
    site.add_worker_of_version("app", SECOND_VERSION, WHOLE)
        .await;
    (site, streams)
}

/// Removes the worker of the first version, and waits until the gateways know it.
async fn remove_first_version(site: &Site) {
    site.workers[OLD].worker.remove_entry();
    for gateway in 0..site.gateways.len() {
        site.wait_for_ready_workers(gateway, 1.0).await;
    }
}

/// Kills all gateways, and asserts that the new ones refuse the streams, at once and after they have watched for as long as
/// they need.
async fn assert_refused_after_restart(site: &mut Site, streams: &[(usize, String)]) {
    site.restart_all_gateways();
    for gateway in 0..site.gateways.len() {
        site.wait_for_ready_workers(gateway, 1.0).await;
    }
    assert_refused(site, streams).await;
    for gateway in 0..site.gateways.len() {
        wait_until_watch_is_complete(site, gateway).await;
    }
    assert_refused(site, streams).await;
}

/// Guards against streams of a version that has left which are joined with events of another one, because gateways that
/// were all lost and have watched since then conclude that it alone has served.
#[actix_rt::test]
async fn no_stream_is_joined_from_two_versions_after_the_loss_of_all_gateways() {
    let (mut site, streams) = start_site_with_streams_of_one_version().await;
    remove_first_version(&site).await;
    for _ in 0..2 {
        assert_refused_after_restart(&mut site, &streams).await;
    }
}

/// Guards against streams that are refused after the loss of all gateways although their version serves beside another
/// one, which came after they had begun.
#[actix_rt::test]
async fn streams_from_before_a_release_are_taken_up_after_the_loss_of_all_gateways() {
    let (mut site, streams) = start_site_with_streams_of_one_version().await;
    wait_until_recorded(&site, streams.len()).await;
    restart_gateways(&mut site).await;
    for (beginner, first_attempt) in &streams {
        assert_continued_by(&site, 1, *beginner, first_attempt).await;
    }
}

/// Waits until the store names this many versions.
async fn wait_until_served_versions_are_named(site: &Site, versions: usize) {
    eventually("the store names the versions that serve", || async {
        (site.store.keys(SERVED_PREFIX).len() == versions).then_some(())
    })
    .await;
}

/// Guards against streams that are joined from two versions because a restored store no longer names the one that left.
#[actix_rt::test]
async fn versions_that_have_served_are_named_again_after_a_restore() {
    let (mut site, streams) = start_site_with_streams_of_one_version().await;
    remove_first_version(&site).await;
    wait_until_served_versions_are_named(&site, 2).await;
    for key in site.store.keys(SERVED_PREFIX) {
        site.store.remove(&key);
    }
    let backup = site.store.back_up();
    wait_until_served_versions_are_named(&site, 2).await;
    site.store.restore(&backup);
    wait_until_served_versions_are_named(&site, 2).await;
    assert_refused_after_restart(&mut site, &streams).await;
}

/// Guards against streams joined from two versions because a worker has restarted under its name with newer software and the
/// gateway knows only its earlier entry.
#[actix_rt::test]
async fn a_worker_that_has_restarted_with_another_version_continues_no_stream() {
    let site = Site::start(&[("app", None, Behaviour::NotRun)], 1).await;
    let worker = site.add_named_worker("steady-1", "app", ENDLESS).await;
    let gateway = &site.gateways[0];
    let stop = async {
        eventually("the stream runs", || async {
            (!worker.runs().is_empty()).then_some(())
        })
        .await;
        site.store_endpoints[0].set_fault(StoreFault::Refuse);
        worker.stop().await;
        worker
            .restart(SECOND_VERSION)
            .expect("the worker's port is free")
    };
    let (_, worker) = join(send_request(gateway, "r", RESUMABLE, b"x"), stop).await;
    site.workers[0].worker.set_behaviour(BROKEN_OR_RESUMED);
    worker.set_behaviour(BROKEN_OR_RESUMED);
    for number in 0..REQUESTS {
        let id = format!("stream-{number}");
        let answer = send_request(gateway, &id, RESUMABLE, b"x").await;
        assert_eq!(answer.body, FIRST_EVENTS, "{number}");
        assert_eq!((answer.status, answer.is_complete), (200, false));
    }
}

/// Guards against ending streams because a worker that has lost a connection is taken for one that has restarted.
#[actix_rt::test]
async fn a_worker_that_has_lost_a_connection_and_not_restarted_continues_streams() {
    let site = Site::start(&[("app", None, BROKEN_OR_RESUMED)], 1).await;
    let worker = site
        .add_named_worker("steady-1", "app", BROKEN_OR_RESUMED)
        .await;
    for number in 0..REQUESTS {
        let id = format!("stream-{number}");
        let answer = send_request(&site.gateways[0], &id, RESUMABLE, b"x").await;
        assert_eq!((answer.status, answer.is_complete), (200, true));
        assert_eq!(answer.body, [FIRST_EVENTS, LAST_EVENTS].concat());
    }
    assert!(worker.runs().iter().any(|run| run.last_event.is_none()));
}
