//! Failure detection between separate processes: a killed node, a frozen one, a planned stop.

use tansyhall_testing::{eventually, Fleet};

const SIZE: usize = 5;
const OTHERS: std::ops::Range<usize> = 0..SIZE - 1;
const SUBJECT: usize = SIZE - 1;

#[actix_rt::test]
async fn a_killed_node_is_declared_dead_by_all_and_its_next_run_is_welcome() {
    let mut fleet = Fleet::start(SIZE).await;
    fleet.kill(SUBJECT);
    for index in OTHERS {
        fleet.await_members(index, "dead", 1).await;
        fleet.await_members(index, "alive", SIZE - 1).await;
    }
    fleet.restart(SUBJECT);
    for index in 0..SIZE {
        fleet.await_members(index, "alive", SIZE).await;
    }
}

#[actix_rt::test]
async fn a_frozen_node_rejoins_when_it_wakes() {
    let fleet = Fleet::start(SIZE).await;
    fleet.nodes[SUBJECT].process.signal("STOP");
    for index in OTHERS {
        fleet.await_members(index, "dead", 1).await;
    }
    fleet.nodes[SUBJECT].process.signal("CONT");
    for index in 0..SIZE {
        fleet.await_members(index, "alive", SIZE).await;
    }
}

#[actix_rt::test]
async fn a_planned_stop_is_announced() {
    let fleet = Fleet::start(SIZE).await;
    // A frozen node answers nobody, so that the others can only have heard of the leaving from
    // the one that leaves: it is told to stop while a request to it is held in progress.
    let held = tokio::net::TcpStream::connect(fleet.nodes[SUBJECT].callers);
    let held = held.await.expect("a connection");
    fleet.nodes[SUBJECT].process.signal("TERM");
    for index in OTHERS {
        eventually("the node is known to have left", || async {
            let leaving = fleet.members(index, "leaving").await?;
            let dead = fleet.members(index, "dead").await.unwrap_or_default();
            (leaving + dead == 1).then_some(())
        })
        .await;
    }
    drop(held);
}
