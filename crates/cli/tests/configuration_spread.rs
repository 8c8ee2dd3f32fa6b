//! The spread of configurations between separate processes: one node reads the store, the others
//! take what it read, and a restarted one is given what its peers have.

use serde_json::json;
use tansyhall_testing::{
    eventually, get_json, get_metric, start_standin, Fleet, Link, NodeOptions,
};

const SIZE: usize = 5;
const SUBJECT: usize = 3;

async fn await_one_follower(fleet: &Fleet) {
    eventually("one node follows the store", || async {
        (fleet.store_follower_count().await == 1).then_some(())
    })
    .await;
}

async fn store_calls(fleet: &Fleet) -> u64 {
    let report = get_json(fleet.platform.address, "/standin/faults").await;
    let report = report.expect("a report");
    report["calls"].as_u64().expect("a number")
}

async fn pulls(fleet: &Fleet, index: usize) -> f64 {
    let name = "tansyhall_configuration_pulls_total{outcome=\"held\"}";
    get_metric(fleet.admin_address(index), name)
        .await
        .unwrap_or(0.0)
}

// Guards against callers who are told by a node that has just started that nobody serves what they ask for.
async fn assert_refused_for_now(fleet: &Fleet) {
    let completion = json!({ "model": "base", "prompt": "x" });
    for (path, body) in [("/v1/completions", completion), ("/stock/slip", json!({}))] {
        let url = format!("http://{}{path}", fleet.nodes[0].callers);
        let answer = awc::Client::default().post(url).send_json(&body).await;
        let answer = answer.expect("an answer");
        let verdict = answer.headers().get("tansyhall-verdict");
        assert_eq!(answer.status(), 503, "{path}");
        assert_eq!(verdict.expect("a verdict"), "not-run", "{path}");
        assert!(answer.headers().contains_key("retry-after"), "{path}");
    }
}

#[actix_rt::test]
async fn a_change_reaches_every_node_though_one_reads_the_store() {
    let fleet = Fleet::start(SIZE).await;
    fleet.apply_everywhere("valley").await;
    await_one_follower(&fleet).await;
    let mut before = Vec::new();
    for index in 0..SIZE {
        before.push(pulls(&fleet, index).await);
    }
    fleet.apply_everywhere("hills").await;
    let mut pulled = 0;
    for (index, before) in before.into_iter().enumerate() {
        pulled += usize::from(pulls(&fleet, index).await > before);
    }
    assert_eq!(pulled, SIZE - 1, "all but the follower pulled from a peer");
    assert_eq!(fleet.store_follower_count().await, 1);
}

#[actix_rt::test]
async fn the_next_node_follows_the_store_when_the_follower_dies() {
    let mut fleet = Fleet::start(SIZE).await;
    fleet.apply_everywhere("valley").await;
    await_one_follower(&fleet).await;
    let name = "tansyhall_configuration_follows_store";
    let mut follower = 0;
    while get_metric(fleet.admin_address(follower), name).await != Some(1.0) {
        follower += 1;
    }
    fleet.kill(follower);
    await_one_follower(&fleet).await;
    let witness = (follower + 1) % SIZE;
    let before = fleet.revision(witness).await.expect("a revision");
    fleet.apply_site(witness, "hills");
    for index in (0..SIZE).filter(|index| *index != follower) {
        fleet.await_revision(index, before + 1).await;
    }
}

#[actix_rt::test]
async fn a_node_restarted_in_an_outage_of_the_store_gets_what_its_peers_have() {
    let mut fleet = Fleet::start(SIZE).await;
    fleet.apply_everywhere("valley").await;
    let newest = fleet.apply_everywhere("hills").await;
    fleet.set_faults(json!({ "outage": true })).await;
    fleet.restart(SUBJECT);
    let admin = fleet.admin_address(SUBJECT);
    // Until it has asked its peers it has nothing in force, and then at once the newest.
    let first = eventually("the restarted node has a configuration", || async {
        let revision = fleet.revision(SUBJECT).await?;
        (revision > 0).then_some(revision)
    })
    .await;
    assert_eq!(first, newest);
    let ready = awc::Client::default().get(format!("http://{admin}/health/ready"));
    assert_eq!(ready.send().await.expect("an answer").status(), 200);
    fleet.set_faults(json!({})).await;
    let last = fleet.apply_everywhere("lakes").await;
    assert!(last > newest);
    assert!(store_calls(&fleet).await > 0);
}

#[actix_rt::test]
async fn nodes_that_restart_alone_in_an_outage_are_not_ready() {
    let mut fleet = Fleet::start(1).await;
    fleet.apply_site(0, "valley");
    fleet.await_revision(0, 1).await;
    fleet.set_faults(json!({ "outage": true })).await;
    fleet.restart(0);
    eventually("the node wants to follow the store", || async {
        (fleet.store_follower_count().await == 1).then_some(())
    })
    .await;
    assert_eq!(fleet.revision(0).await, Some(0));
    let url = format!("http://{}/health/ready", fleet.admin_address(0));
    let ready = awc::Client::default().get(url).send().await;
    assert_eq!(ready.expect("an answer").status(), 503);
    assert_refused_for_now(&fleet).await;
    fleet.set_faults(json!({})).await;
    fleet.await_revision(0, 1).await;
}

#[actix_rt::test]
async fn a_zone_cut_off_from_the_store_follows_another_zone() {
    let platform = start_standin(&["platform"]);
    let link = Link::open(platform.address);
    let near = NodeOptions {
        zone: "kalimati",
        platform: platform.address,
    };
    let far = NodeOptions {
        zone: "balkhu",
        platform: link.listen_address,
    };
    let fleet = Fleet::start_with_options(platform, vec![near, near, near, far, far]).await;
    let before = fleet.apply_everywhere("valley").await;
    link.set_cut(true);
    let after = fleet.apply_everywhere("hills").await;
    assert!(after > before);
    link.set_cut(false);
    fleet.apply_everywhere("lakes").await;
}
