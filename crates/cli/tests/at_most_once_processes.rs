//! Requests that are not repeatable, by separate processes: the same idempotency key through
//! several nodes, while nodes are killed, frozen and restarted and the store is away.

mod application_cluster;

use application_cluster::{send, Cluster, AT_ONCE, NEVER};
use futures_util::future::join_all;
use serde_json::json;
use tansyhall_testing::{eventually, get_json, get_metric, start_standin, Fleet, NodeOptions};

const SIZE: usize = 5;

#[actix_rt::test]
async fn one_key_through_all_nodes_at_the_same_time_runs_at_most_once() {
    const ROUNDS: usize = 10;
    let cluster = Cluster::start(SIZE).await;
    let mut completed = 0;
    for round in 0..ROUNDS {
        let key = format!("slip-{round}");
        let tries = (0..SIZE).map(|index| cluster.print_slip(index, &key, AT_ONCE));
        let told = join_all(tries).await;
        let ran = told.iter().filter(|it| it.status == 200).count();
        assert!(ran <= 1, "{told:?}");
        assert!(told.iter().all(|it| it.verdict != "not-run"), "{told:?}");
        completed += ran;
        assert_eq!(cluster.runs().await, completed, "{told:?}");
    }
    assert!(completed > 0, "no try of any key got its quorum");
}

#[actix_rt::test]
async fn a_second_try_through_another_node_is_answered_from_the_record() {
    let cluster = Cluster::start(SIZE).await;
    let first = cluster.print_slip(0, "slip-1", AT_ONCE).await;
    assert_eq!((first.status, first.verdict.as_str()), (200, "completed"));
    for index in 1..SIZE {
        let again = cluster.print_slip(index, "slip-1", AT_ONCE).await;
        assert_eq!((again.status, again.verdict.as_str()), (409, "completed"));
        assert!(again.says(&first.request), "{again:?}");
    }
    assert_eq!(cluster.runs().await, 1);
}

#[actix_rt::test]
async fn a_second_try_is_told_that_the_first_is_in_progress_and_its_status_from_any_node() {
    let cluster = Cluster::start(SIZE).await;
    let first = actix_rt::spawn(send(cluster.callers(0), "slip-1".to_owned(), NEVER));
    cluster.await_runs(1).await;
    let second = cluster.print_slip(1, "slip-1", AT_ONCE).await;
    assert_eq!(second.status, 409);
    assert_eq!(second.verdict, "may-have-run");
    assert!(second.says("in progress"), "{second:?}");
    let message = second.body["error"]["message"].as_str().expect("a message");
    let path = message
        .split_whitespace()
        .find(|word| word.starts_with("/v1/requests/"))
        .expect("the path of the status");
    for index in 0..SIZE {
        let status = get_json(cluster.callers(index), path).await;
        let status = status.expect("a status");
        assert!(path.ends_with(status["id"].as_str().unwrap_or("none")));
        assert_eq!(status["attempts"], 1, "{status}");
    }
    assert_eq!(cluster.runs().await, 1);
    first.abort();
}

#[actix_rt::test]
async fn a_try_whose_node_was_killed_is_not_run_again() {
    let mut cluster = Cluster::start(SIZE).await;
    let (members, others) = cluster.members().await;
    for (round, killed) in [others[0], members[0]].into_iter().enumerate() {
        let key = format!("slip-{round}");
        let first = actix_rt::spawn(send(cluster.callers(killed), key.clone(), NEVER));
        cluster.await_runs(round + 1).await;
        cluster.fleet.kill(killed);
        first.abort();
        let second = cluster.print_slip(others[1], &key, AT_ONCE).await;
        assert_eq!(second.verdict, "may-have-run", "{second:?}");
        assert_eq!(cluster.runs().await, round + 1);
    }
}

#[actix_rt::test]
async fn the_record_outlives_its_replicas_one_after_the_other() {
    let mut cluster = Cluster::start(SIZE).await;
    let (members, others) = cluster.members().await;
    let first = cluster.print_slip(others[0], "slip-1", AT_ONCE).await;
    assert_eq!(first.status, 200);
    for member in members {
        let view = cluster.view(others[0]).await.expect("a view");
        cluster.fleet.restart(member);
        for index in [others[0], others[1], member] {
            cluster.await_view_after(index, view).await;
        }
        let again = cluster.print_slip(others[1], "slip-1", AT_ONCE).await;
        assert_eq!(again.status, 409, "{again:?}");
    }
    assert_eq!(cluster.runs().await, 1);
    let other = cluster.print_slip(others[1], "slip-2", AT_ONCE).await;
    assert_eq!(other.status, 200, "{other:?}");
}

#[actix_rt::test]
async fn a_frozen_replica_neither_stops_recording_nor_brings_a_key_back() {
    let cluster = Cluster::start(SIZE).await;
    let (members, others) = cluster.members().await;
    let frozen = members[0];
    cluster.fleet.nodes[frozen].process.signal("STOP");
    let first = cluster.print_slip(others[0], "slip-1", AT_ONCE).await;
    assert_eq!(first.status, 200, "{first:?}");
    let view = cluster.view(others[0]).await.expect("a view");
    cluster.await_view_after(others[0], view).await;
    cluster.fleet.nodes[frozen].process.signal("CONT");
    for index in [frozen, others[0], others[1]] {
        let again = cluster.print_slip(index, "slip-1", AT_ONCE).await;
        assert_ne!(again.verdict, "not-run", "{again:?}");
        assert!(again.status >= 400, "{again:?}");
    }
    assert_eq!(cluster.runs().await, 1);
}

#[actix_rt::test]
async fn with_two_replicas_lost_at_once_nothing_runs_and_the_caller_is_told_so() {
    let mut cluster = Cluster::start(SIZE).await;
    let (members, others) = cluster.members().await;
    let first = cluster.print_slip(others[0], "slip-1", AT_ONCE).await;
    assert_eq!(first.status, 200);
    cluster.fleet.kill(members[0]);
    cluster.fleet.kill(members[1]);
    for restarted in [false, true] {
        if restarted {
            cluster.fleet.restart(members[0]);
            cluster.fleet.restart(members[1]);
        }
        // The replica that is left may still know the first try, which is then told as it is.
        let again = cluster.print_slip(others[1], "slip-1", AT_ONCE).await;
        assert!(again.status >= 400, "{again:?}");
        assert_ne!(again.verdict, "not-run", "{again:?}");
        let other = cluster.print_slip(others[1], "slip-2", AT_ONCE).await;
        assert_eq!(
            (other.status, other.verdict.as_str()),
            (503, "may-have-run")
        );
    }
    assert_eq!(cluster.runs().await, 1);
}

#[actix_rt::test]
async fn a_store_outage_does_not_stop_recording() {
    let cluster = Cluster::start(SIZE).await;
    let (members, others) = cluster.members().await;
    cluster.fleet.set_faults(json!({ "outage": true })).await;
    eventually("the outage is noticed", || async {
        let name = "tansyhall_store_errors_total";
        let errors = get_metric(cluster.fleet.admin_address(others[0]), name).await?;
        (errors >= 2.0).then_some(())
    })
    .await;
    let first = cluster.print_slip(others[0], "slip-1", AT_ONCE).await;
    assert_eq!(first.status, 200, "{first:?}");
    cluster.fleet.nodes[members[0]].process.signal("STOP");
    let again = cluster.print_slip(others[1], "slip-1", AT_ONCE).await;
    assert_eq!(again.status, 409, "{again:?}");
    let second = cluster.print_slip(others[1], "slip-2", AT_ONCE).await;
    assert_eq!(second.status, 200, "{second:?}");
    assert_eq!(cluster.runs().await, 2);
}

#[actix_rt::test]
async fn the_status_of_a_killed_nodes_request_is_said_to_be_out_of_reach() {
    let mut cluster = Cluster::start(SIZE).await;
    let first = cluster.print_slip(0, "slip-1", AT_ONCE).await;
    let path = format!("/v1/requests/{}", first.request);
    let status = get_json(cluster.callers(1), &path).await.expect("a status");
    assert_eq!(status["state"], "completed", "{status}");
    cluster.fleet.kill(0);
    let status = get_json(cluster.callers(1), &path)
        .await
        .expect("an answer");
    assert_eq!(status["error"]["verdict"], "may-have-run", "{status}");
    let message = status["error"]["message"].to_string();
    assert!(message.contains("cannot be reached"), "{message}");
    let nobody = format!("/v1/requests/{:032x}", 7);
    let status = get_json(cluster.callers(1), &nobody)
        .await
        .expect("an answer");
    let message = status["error"]["message"].to_string();
    assert!(message.contains("no node"), "{message}");
}

#[actix_rt::test]
async fn a_key_is_recognised_in_other_zones_and_so_is_its_requests_status() {
    let platform = start_standin(&["platform"]);
    let address = platform.address;
    let plans = ["kalimati", "balkhu", "thimi"].map(|zone| NodeOptions {
        zone,
        platform: address,
    });
    let fleet = Fleet::start_with_options(platform, plans.to_vec()).await;
    let cluster = Cluster::start_with(fleet, 1).await;
    let first = cluster.print_slip(0, "slip-1", AT_ONCE).await;
    assert_eq!(first.status, 200, "{first:?}");
    let path = format!("/v1/requests/{}", first.request);
    for index in [1, 2] {
        let again = cluster.print_slip(index, "slip-1", AT_ONCE).await;
        assert_eq!((again.status, again.verdict.as_str()), (409, "completed"));
        let status = get_json(cluster.callers(index), &path).await;
        assert_eq!(status.expect("a status")["state"], "completed");
    }
    let records = cluster.records_at(0).await;
    assert_eq!(records.len(), 1, "{records:?}");
}
