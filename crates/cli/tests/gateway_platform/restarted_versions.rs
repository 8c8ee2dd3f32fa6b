//! Workers that restart under their names and addresses with another version.
//!
//! The failure: streams that the new incarnation began were taken for streams of the earlier version, and were continued by
//! workers of that version.

use std::time::Duration;

use futures_util::future::{join, join_all};
use tansyhall_platform_standin::{Behaviour, StoreFault, Worker};
use tansyhall_testing::eventually;
use tokio::time::sleep;

use crate::support::{send_request, take_up, Site, RESUMABLE};
use crate::worker_versions::{BROKEN, FIRST_EVENTS};

const SECOND_VERSION: &str = "v2";
const WHOLE: Behaviour = Behaviour::Serve { events: 4 };
const ENDLESS: Behaviour = Behaviour::Pausing {
    events: 4,
    after: 2,
    pause_ms: 60_000,
};
/// Breaks new streams off within the third event, and continues others.
const BROKEN_OR_RESUMED: Behaviour = Behaviour::Scripted {
    begun: &["1", "2"],
    breaks_off: true,
    resumed: &["3", "4"],
};
/// Time from the arrival of a request until its worker has sent the first event and not the second.
const AFTER_FIRST_EVENT: Duration = Duration::from_millis(1_400);
const LAST_EVENT: &str = "2";
/// More than twice as many as the connections that a gateway may open to a worker.
const MORE_THAN_ALL_CONNECTIONS: usize = 200;
const STREAMS: usize = 6;
/// Longer than the time between two answers of the store in calm.
const SILENCE_OF_STORE: Duration = Duration::from_millis(1_800);
/// Time within which a gateway notices that a worker has closed a connection.
const CLOSING_TIME: Duration = Duration::from_millis(300);

/// Starts a site with a worker in another zone, and a nearer one that the gateway has lost and that has restarted with
/// another version. The store answers the gateway no more, so that it knows only the earlier entry.
async fn start_site_with_restarted_worker() -> (Site, Worker) {
    let mut site = Site::start(&[("app", None, Behaviour::NotRun)], 1).await;
    let other = site.add_worker("app", None, Behaviour::NotRun).await;
    site.workers.push(other);
    let worker = site.add_named_worker("steady-1", "app", ENDLESS).await;
    let stop = async {
        wait_for_run(&worker).await;
        site.store_endpoints[0].set_fault(StoreFault::Refuse);
        worker.stop().await;
        worker
            .restart(SECOND_VERSION)
            .expect("the worker's port is free")
    };
    let request = send_request(&site.gateways[0], "r", RESUMABLE, b"x");
    let (_, worker) = join(request, stop).await;
    (site, worker)
}

/// Guards against a stream of a restarted worker that is joined with events of its earlier version, because the new entry
/// arrives between the send and the first event, and the doubt about the worker is forgotten with the old entry.
#[actix_rt::test]
async fn a_stream_is_not_bound_to_an_incarnation_whose_entry_was_replaced_before_the_first_event() {
    let (site, worker) = start_site_with_restarted_worker().await;
    let gateway = &site.gateways[0];
    let other = &site.workers[1].worker;
    other.set_behaviour(BROKEN_OR_RESUMED);
    worker.set_behaviour(Behaviour::Paced {
        events: 2,
        pause_ms: 950,
    });
    let learn = async {
        wait_for_run(&worker).await;
        site.store_endpoints[0].set_fault(StoreFault::None);
        sleep(AFTER_FIRST_EVENT).await;
        worker.stop().await;
    };
    let (answer, ()) = join(send_request(gateway, "s", RESUMABLE, b"x"), learn).await;
    let runs = other.runs();
    let body = String::from_utf8_lossy(&answer.body);
    assert!(runs.iter().all(|run| run.last_event.is_none()), "{body}");
}

async fn wait_for_run(worker: &Worker) {
    eventually("the stream runs", || async {
        (!worker.runs().is_empty()).then_some(())
    })
    .await;
}

/// Guards against streams of a restarted worker that are taken for those of its earlier version, because they hold all the
/// connections that the gateway may open, so that the worker cannot be asked for its start.
#[actix_rt::test]
async fn a_restarted_worker_is_asked_for_its_start_although_all_its_connections_are_in_use() {
    let (site, worker) = start_site_with_restarted_worker().await;
    let gateway = &site.gateways[0];
    site.workers[1].worker.set_behaviour(WHOLE);
    worker.set_behaviour(Behaviour::Pausing {
        events: 2,
        after: 0,
        pause_ms: 700,
    });
    let ids: Vec<String> = (0..MORE_THAN_ALL_CONNECTIONS)
        .map(|number| format!("stream-{number}"))
        .collect();
    let requests = ids
        .iter()
        .map(|id| send_request(gateway, id, RESUMABLE, b"x"));
    let answers = join_all(requests).await;
    // Only the restarted worker ends its streams after two events.
    let joined = ids
        .iter()
        .zip(&answers)
        .find(|(_, answer)| answer.body == FIRST_EVENTS && answer.is_complete);
    worker.set_behaviour(Behaviour::NotRun);
    if let Some((first_attempt, _)) = joined {
        let answer = take_up(gateway, "again", RESUMABLE, first_attempt, LAST_EVENT).await;
        let body = String::from_utf8_lossy(&answer.body);
        panic!(
            "{first_attempt} goes on at the first version: {} {body}",
            answer.status
        );
    }
}

/// Guards against streams that are joined from two versions when they are taken up at a gateway that knows at which version
/// they began, but not that a worker of this version has restarted with another one: it had no connection to that worker.
#[actix_rt::test]
async fn a_restarted_worker_continues_no_stream_for_a_gateway_without_connections_to_it() {
    let mut site = Site::start(&[("app", None, Behaviour::NotRun)], 2).await;
    site.add_worker_of_version("app", SECOND_VERSION, Behaviour::NotRun)
        .await;
    let worker = site.add_named_worker("steady-1", "app", BROKEN).await;
    site.wait_for_announced_workers(1, 3.0).await;
    site.wait_until_gateways_know_each_other().await;
    let ids: Vec<String> = (0..STREAMS).map(|n| format!("stream-{n}")).collect();
    for id in &ids {
        let answer = send_request(&site.gateways[0], id, RESUMABLE, b"x").await;
        assert_eq!(answer.body, FIRST_EVENTS);
    }
    for endpoint in &site.store_endpoints {
        endpoint.set_fault(StoreFault::Refuse);
    }
    worker.stop().await;
    let worker = worker
        .restart(SECOND_VERSION)
        .expect("the worker's port is free");
    worker.set_behaviour(WHOLE);
    for id in &ids {
        let take_up_id = format!("take-up-{id}");
        let gateway = &site.gateways[1];
        let answer = take_up(gateway, &take_up_id, RESUMABLE, id, LAST_EVENT).await;
        let body = String::from_utf8_lossy(&answer.body);
        assert_ne!(answer.status, 200, "{body}");
    }
}

/// Guards against a stream of a restarted worker that is joined with events of its earlier version, because the gateway had
/// only idle connections to the worker, whose end it did not count as a loss.
#[actix_rt::test]
async fn a_worker_that_has_closed_idle_connections_is_asked_for_its_start() {
    let mut site = Site::start(&[("app", None, Behaviour::NotRun)], 1).await;
    let other = site.add_worker("app", None, Behaviour::NotRun).await;
    site.workers.push(other);
    let worker = site.add_named_worker("steady-1", "app", WHOLE).await;
    let gateway = &site.gateways[0];
    let answer = send_request(gateway, "whole", RESUMABLE, b"x").await;
    assert!(answer.is_complete);
    site.store_endpoints[0].set_fault(StoreFault::Refuse);
    worker.stop().await;
    let worker = worker
        .restart(SECOND_VERSION)
        .expect("the worker's port is free");
    worker.set_behaviour(BROKEN);
    let other = &site.workers[1].worker;
    other.set_behaviour(BROKEN_OR_RESUMED);
    sleep(CLOSING_TIME).await;
    for number in 0..STREAMS {
        let answer = send_request(gateway, &format!("s-{number}"), RESUMABLE, b"x").await;
        let body = String::from_utf8_lossy(&answer.body);
        let runs = other.runs();
        assert!(runs.iter().all(|run| run.last_event.is_none()), "{body}");
    }
}

/// Guards against a stream of a restarted worker that is joined with events of its earlier version, because the gateway had no
/// connection to the worker and has not heard from the store since.
#[actix_rt::test]
async fn a_worker_without_connections_is_asked_for_its_start_while_the_store_is_silent() {
    let mut site = Site::start(&[("app", None, Behaviour::NotRun)], 1).await;
    let other = site.add_worker("app", None, BROKEN_OR_RESUMED).await;
    site.workers.push(other);
    let worker = site.add_named_worker("steady-1", "app", BROKEN).await;
    let gateway = &site.gateways[0];
    site.store_endpoints[0].set_fault(StoreFault::Refuse);
    sleep(SILENCE_OF_STORE).await;
    worker.stop().await;
    let worker = worker
        .restart(SECOND_VERSION)
        .expect("the worker's port is free");
    worker.set_behaviour(BROKEN);
    let other = &site.workers[1].worker;
    for number in 0..STREAMS {
        let answer = send_request(gateway, &format!("s-{number}"), RESUMABLE, b"x").await;
        let body = String::from_utf8_lossy(&answer.body);
        let runs = other.runs();
        assert!(
            runs.iter().all(|run| run.last_event.is_none()),
            "{number}: {body}"
        );
    }
}
