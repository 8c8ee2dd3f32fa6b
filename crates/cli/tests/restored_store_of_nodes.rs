//! The platform's store is restored from a backup that is older than what nodes have received.

mod application_cluster;

use std::time::Duration;

use application_cluster::{Cluster, IMMEDIATE_PATH};
use tansyhall_testing::Fleet;

const SIZE: usize = 5;
const CONFIGURATION_FLEET_SIZE: usize = 3;
const LOST_CHANGES: usize = 10;
const MAX_ATTEMPTS: usize = 200;
const ATTEMPT_PAUSE: Duration = Duration::from_millis(50);

/// Waits until a node runs a request with a new key. Until then, it must answer
/// 503, which means that the request may have run.
async fn await_request_with_new_key(cluster: &Cluster, index: usize) {
    for number in 0..MAX_ATTEMPTS {
        let key = format!("new-{index}-{number}");
        let answer = cluster.send_with_key(index, &key, IMMEDIATE_PATH).await;
        if answer.status == 200 {
            return;
        }
        assert_eq!(answer.status, 503, "{answer:?}");
        actix_rt::time::sleep(ATTEMPT_PAUSE).await;
    }
    panic!("node {index} still runs no requests with a key after the store was restored");
}

// Guards against nodes that run no requests with a key any more, because the restored store names a view in which no
// replica votes.
#[actix_rt::test]
async fn requests_with_keys_run_after_the_store_has_lost_the_view_of_their_replicas() {
    let mut cluster = Cluster::start(SIZE).await;
    let (members, others) = cluster.members().await;
    let replaced = members[0];
    cluster.fleet.back_up_store().await;
    let view = cluster.view(others[0]).await.expect("a view");
    cluster.fleet.nodes[replaced].process.signal("STOP");
    cluster.await_view_after(others[0], view).await;
    cluster.fleet.nodes[replaced].process.signal("CONT");
    let first = cluster
        .send_with_key(others[0], "slip-1", IMMEDIATE_PATH)
        .await;
    assert_eq!(first.status, 200, "{first:?}");
    cluster.fleet.restore_store().await;
    cluster.fleet.restart(others[1]);
    cluster.fleet.await_revision(others[1], 1).await;
    for index in 0..SIZE {
        await_request_with_new_key(&cluster, index).await;
        let again = cluster.send_with_key(index, "slip-1", IMMEDIATE_PATH).await;
        assert_eq!(again.status, 409, "{again:?}");
    }
}

// Guards against changes that are accepted but never take effect, because the restored store assigns them revisions that
// nodes have already seen.
#[actix_rt::test]
async fn a_change_made_after_the_store_was_restored_takes_effect() {
    let fleet = Fleet::start(CONFIGURATION_FLEET_SIZE).await;
    fleet.apply_everywhere("valley").await;
    fleet.back_up_store().await;
    let mut newest = 0;
    for number in 0..LOST_CHANGES {
        newest = fleet.apply_everywhere(&format!("lost-{number}")).await;
    }
    fleet.restore_store().await;
    for name in ["hills", "lakes"] {
        let revision = fleet.apply_everywhere(name).await;
        assert!(revision > newest);
        newest = revision;
    }
}
