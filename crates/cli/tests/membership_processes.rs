//! Failure detection between separate processes: a killed node, a frozen node and a planned stop.

use serde_json::json;
use tansyhall_testing::{eventually, get_metric, Fleet};
use tokio::io::AsyncWriteExt;

const SIZE: usize = 5;
const OTHER_NODES: std::ops::Range<usize> = 0..SIZE - 1;
const FAILING_NODE: usize = SIZE - 1;

#[actix_rt::test]
async fn a_killed_node_is_declared_dead_by_all_and_rejoins_after_a_restart() {
    let mut fleet = Fleet::start(SIZE).await;
    fleet.kill(FAILING_NODE);
    for index in OTHER_NODES {
        fleet.await_member_count(index, "dead", 1).await;
        fleet.await_member_count(index, "alive", SIZE - 1).await;
    }
    fleet.restart(FAILING_NODE);
    for index in 0..SIZE {
        fleet.await_member_count(index, "alive", SIZE).await;
    }
}

#[actix_rt::test]
async fn a_frozen_node_rejoins_after_it_resumes() {
    let fleet = Fleet::start(SIZE).await;
    fleet.nodes[FAILING_NODE].process.signal("STOP");
    for index in OTHER_NODES {
        fleet.await_member_count(index, "dead", 1).await;
    }
    fleet.nodes[FAILING_NODE].process.signal("CONT");
    for index in 0..SIZE {
        fleet.await_member_count(index, "alive", SIZE).await;
    }
}

#[actix_rt::test]
async fn a_planned_stop_is_announced_to_all() {
    let fleet = Fleet::start(SIZE).await;
    fleet.nodes[FAILING_NODE].process.signal("TERM");
    for index in OTHER_NODES {
        eventually("the node is known to be leaving", || async {
            let leaving = "tansyhall_member_changes_total{state=\"leaving\"}";
            let changes = get_metric(fleet.admin_address(index), leaving).await?;
            (changes >= 1.0).then_some(())
        })
        .await;
    }
}

#[actix_rt::test]
async fn all_nodes_know_which_listed_back_ends_are_leaving() {
    let fleet = Fleet::start(SIZE).await;
    let backends = |leaving: bool| {
        json!([{
            "name": "engine-0", "kind": "engine", "zone": "kalimati",
            "address": "127.0.0.1:9", "leaving": leaving,
        }])
    };
    for leaving in [true, false] {
        fleet.set_machines(backends(leaving)).await;
        let expected = if leaving { 1.0 } else { 0.0 };
        for index in 0..SIZE {
            eventually("the node knows the leaving mark", || async {
                let gauge = "tansyhall_leaving_backends";
                let marked = get_metric(fleet.admin_address(index), gauge).await?;
                (marked == expected).then_some(())
            })
            .await;
        }
    }
}

#[actix_rt::test]
async fn malformed_messages_on_the_peer_port_are_counted_and_ignored() {
    let fleet = Fleet::start(2).await;
    let socket = tokio::net::UdpSocket::bind("127.0.0.1:0").await;
    let socket = socket.expect("a socket");
    let malformed = "tansyhall_peer_malformed_total";
    let counted = eventually("malformed messages are counted", || async {
        socket
            .send_to(b"\xff\xff garbage", fleet.peer_address(0))
            .await
            .ok()?;
        let mut stream = tokio::net::TcpStream::connect(fleet.peer_address(0))
            .await
            .ok()?;
        stream.write_all(&[0xff; 64]).await.ok()?;
        let counted = get_metric(fleet.admin_address(0), malformed).await?;
        (counted >= 2.0).then_some(counted)
    })
    .await;
    assert!(counted >= 2.0);
    fleet.await_member_count(0, "alive", 2).await;
    fleet.await_member_count(1, "alive", 2).await;
}
