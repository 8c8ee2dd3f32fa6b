//! Two fleets on one network: the address of a node that has gone is taken by a node of the other
//! fleet, while its own fleet still tries to reach it.

mod application_cluster;

use application_cluster::{send_without_key, Cluster, AT_ONCE};
use tansyhall_testing::{eventually, get_metric, start_standin, Fleet, NodeOptions};

const SIZE: usize = 3;
const FOREIGN: &str = "tansyhall_peer_foreign_total";

/// A fleet of one node, at the address of a node of `other`, which is killed.
async fn fleet_at_address_of(other: &mut Cluster, index: usize) -> Fleet {
    let platform = start_standin(&["platform"]);
    let plan = NodeOptions {
        zone: "kalimati",
        platform: platform.address,
    };
    other.fleet.kill(index);
    let address = other.fleet.peer_address(index);
    Fleet::start_with_peer_addresses(platform, vec![plan], vec![address]).await
}

// Guards against requests of one fleet's callers that run at the workers of another fleet.
#[actix_rt::test]
async fn a_node_at_an_address_of_another_fleet_takes_nothing_from_it() {
    let mut first = Cluster::start(SIZE).await;
    let second = fleet_at_address_of(&mut first, SIZE - 1).await;
    eventually(
        "messages of the other fleet have come, and were told apart",
        || async {
            let foreign = get_metric(second.admin_address(0), FOREIGN).await?;
            (foreign >= 2.0).then_some(())
        },
    )
    .await;
    assert_eq!(second.member_count(0, "alive").await, Some(1));
    assert_eq!(second.revision(0).await, Some(0));
    let told = send_without_key(second.nodes[0].callers, AT_ONCE).await;
    assert_eq!(told.status, 503, "{told:?}");
    assert_eq!(first.runs().await, 0);
    first.fleet.await_member_count(0, "alive", SIZE - 1).await;
    let told = send_without_key(first.callers(0), AT_ONCE).await;
    assert_eq!(told.status, 200, "{told:?}");
    assert_eq!(first.runs().await, 1);
}
