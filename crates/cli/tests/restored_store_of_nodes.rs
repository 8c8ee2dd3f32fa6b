//! The platform's store comes back from a copy of itself that is older than what nodes have heard.

mod application_cluster;

use std::time::Duration;

use application_cluster::{Cluster, AT_ONCE};
use tansyhall_testing::Fleet;

const SIZE: usize = 5;
const NODES: usize = 3;
const CHANGES_LOST: usize = 10;
const MOST_TRIES: usize = 200;
const BETWEEN_TRIES: Duration = Duration::from_millis(50);

/// Waits until a node runs a request with a key; until then it has to say that it may have run.
async fn await_run_of_new_key(cluster: &Cluster, index: usize) {
    for number in 0..MOST_TRIES {
        let key = format!("new-{index}-{number}");
        let told = cluster.print_slip(index, &key, AT_ONCE).await;
        if told.status == 200 {
            return;
        }
        assert_eq!(told.status, 503, "{told:?}");
        actix_rt::time::sleep(BETWEEN_TRIES).await;
    }
    panic!("node {index} runs no request with a key");
}

// Guards against nodes that run no request with a key any more, as the store names a view in which no replica votes.
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
    let first = cluster.print_slip(others[0], "slip-1", AT_ONCE).await;
    assert_eq!(first.status, 200, "{first:?}");
    cluster.fleet.restore_store().await;
    cluster.fleet.restart(others[1]);
    cluster.fleet.await_revision(others[1], 1).await;
    for index in 0..SIZE {
        await_run_of_new_key(&cluster, index).await;
        let again = cluster.print_slip(index, "slip-1", AT_ONCE).await;
        assert_eq!(again.status, 409, "{again:?}");
    }
}

// Guards against changes that are accepted and never in force, as the restored store gives them revisions that nodes have
// heard of.
#[actix_rt::test]
async fn a_change_that_is_made_after_the_store_was_restored_comes_into_force() {
    let fleet = Fleet::start(NODES).await;
    fleet.apply_everywhere("valley").await;
    fleet.back_up_store().await;
    let mut newest = 0;
    for number in 0..CHANGES_LOST {
        newest = fleet.apply_everywhere(&format!("lost-{number}")).await;
    }
    fleet.restore_store().await;
    for name in ["hills", "lakes"] {
        let revision = fleet.apply_everywhere(name).await;
        assert!(revision > newest);
        newest = revision;
    }
}
