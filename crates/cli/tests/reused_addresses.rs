//! Two fleets on one network: a node of the second fleet starts at the address of a stopped node of the first, while the
//! first fleet still attempts to reach the stopped node.

mod application_cluster;

use application_cluster::{send_without_key, Cluster, IMMEDIATE_PATH};
use tansyhall_testing::{eventually, get_metric, start_standin, Fleet, NodeOptions};

const SIZE: usize = 3;
const FOREIGN_MESSAGES_METRIC: &str = "tansyhall_peer_foreign_total";

/// Kills a node of `other`, and starts a fleet of one node at its address.
async fn start_fleet_at_address_of(other: &mut Cluster, index: usize) -> Fleet {
    let platform = start_standin(&["platform"]);
    let plan = NodeOptions {
        zone: "kalimati",
        platform: platform.address,
    };
    other.fleet.kill(index);
    let address = other.fleet.peer_address(index);
    Fleet::start_with_peer_addresses(platform, vec![plan], vec![address]).await
}

// Guards against requests of one fleet's callers that run on the workers of another fleet.
#[actix_rt::test]
async fn a_node_at_an_address_of_another_fleet_accepts_nothing_from_that_fleet() {
    let mut first = Cluster::start(SIZE).await;
    let second = start_fleet_at_address_of(&mut first, SIZE - 1).await;
    eventually(
        "messages of the other fleet have arrived and were recognised as foreign",
        || async {
            let foreign = get_metric(second.admin_address(0), FOREIGN_MESSAGES_METRIC).await?;
            (foreign >= 2.0).then_some(())
        },
    )
    .await;
    assert_eq!(second.member_count(0, "alive").await, Some(1));
    assert_eq!(second.revision(0).await, Some(0));
    let answer = send_without_key(second.nodes[0].callers, IMMEDIATE_PATH).await;
    assert_eq!(answer.status, 503, "{answer:?}");
    assert_eq!(first.runs().await, 0);
    first.fleet.await_member_count(0, "alive", SIZE - 1).await;
    let answer = send_without_key(first.callers(0), IMMEDIATE_PATH).await;
    assert_eq!(answer.status, 200, "{answer:?}");
    assert_eq!(first.runs().await, 1);
}
