//! Failure detection between separate processes: a killed node, a frozen one, a planned stop.

use serde_json::json;
use tansyhall_testing::{eventually, get_metric, Fleet};
use tokio::io::AsyncWriteExt;

const SIZE: usize = 5;
const OTHERS: std::ops::Range<usize> = 0..SIZE - 1;
const SUBJECT: usize = SIZE - 1;

#[actix_rt::test]
async fn a_killed_node_is_declared_dead_by_all_and_its_next_run_is_welcome() {
    let mut fleet = Fleet::start(SIZE).await;
    fleet.kill(SUBJECT);
    for index in OTHERS {
        fleet.await_member_count(index, "dead", 1).await;
        fleet.await_member_count(index, "alive", SIZE - 1).await;
    }
    fleet.restart(SUBJECT);
    for index in 0..SIZE {
        fleet.await_member_count(index, "alive", SIZE).await;
    }
}

#[actix_rt::test]
async fn a_frozen_node_rejoins_when_it_wakes() {
    let fleet = Fleet::start(SIZE).await;
    fleet.nodes[SUBJECT].process.signal("STOP");
    for index in OTHERS {
        fleet.await_member_count(index, "dead", 1).await;
    }
    fleet.nodes[SUBJECT].process.signal("CONT");
    for index in 0..SIZE {
        fleet.await_member_count(index, "alive", SIZE).await;
    }
}

#[actix_rt::test]
async fn a_planned_stop_is_announced() {
    let fleet = Fleet::start(SIZE).await;
    fleet.nodes[SUBJECT].process.signal("TERM");
    for index in OTHERS {
        eventually("the node is known to be leaving", || async {
            let leaving = "tansyhall_member_changes_total{state=\"leaving\"}";
            let changes = get_metric(fleet.admin_address(index), leaving).await?;
            (changes >= 1.0).then_some(())
        })
        .await;
    }
}

#[actix_rt::test]
async fn a_back_end_listed_as_leaving_is_known_to_all_as_such() {
    let fleet = Fleet::start(SIZE).await;
    let list = |leaving: bool| {
        json!([{
            "name": "engine-0", "kind": "engine", "zone": "kalimati",
            "address": "127.0.0.1:9", "leaving": leaving,
        }])
    };
    for leaving in [true, false] {
        fleet.set_machines(list(leaving)).await;
        let expected = if leaving { 1.0 } else { 0.0 };
        for index in 0..SIZE {
            eventually("the mark is known", || async {
                let gauge = "tansyhall_leaving_backends";
                let marked = get_metric(fleet.admin_address(index), gauge).await?;
                (marked == expected).then_some(())
            })
            .await;
        }
    }
}

#[actix_rt::test]
async fn garbage_on_the_peer_port_is_counted_and_does_no_harm() {
    let fleet = Fleet::start(2).await;
    let socket = tokio::net::UdpSocket::bind("127.0.0.1:0").await;
    let socket = socket.expect("a socket");
    let malformed = "tansyhall_peer_malformed_total";
    let counted = eventually("garbage is counted", || async {
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
