//! The store comes back from an earlier copy of itself: what was written since is gone, leases too, and revisions are
//! given out again.

use std::time::Duration;

use prost::Message;
use serde_json::json;
use tansyhall_forwarding::MirrorUpdate;
use tansyhall_gateway::protocol::StoreSchema;
use tansyhall_gateway::update_message::{UpdateHead, UpdateMessage};
use tansyhall_platform::PlatformCatalogue;
use tansyhall_platform_standin::{Backup, Behaviour, Order, StoreFault, WORKER_ENTRY_PREFIX};
use tansyhall_testing::eventually;
use tokio::time::sleep;

use crate::support::{ask, Site, WorkerSpec, REPEATABLE};

const ECHO: Behaviour = Behaviour::Serve { events: 0 };
const APP: WorkerSpec = ("app", None, ECHO);
const DECODER: WorkerSpec = ("llm", Some("decode"), ECHO);
const ENGINES: usize = 10;
/// One that follows the store, and two that it tells.
const GATEWAYS: usize = 3;
/// Changes that the store loses: more than are made in the rest of a test, so that no revision passes the last one.
const LOST_CHANGES: usize = 2_000;
/// How long the store is away before it is back.
const AWAY: Duration = Duration::from_millis(600);
/// Longer than the authority's lease is kept without a renewal.
const LEASES_END: Duration = Duration::from_millis(4_500);
/// Restores one after another.
const RESTORES: u32 = 2;
/// Requests to each gateway.
const REQUESTS: usize = 20;

fn write_what_is_lost(site: &Site) {
    for number in 0..LOST_CHANGES {
        site.store.put("other/lost", &json!(number));
    }
}

/// The store is away for a moment and comes back from an earlier copy.
async fn restore(site: &Site, backup: &Backup) {
    for door in &site.doors {
        door.set_fault(StoreFault::Refuse);
    }
    sleep(AWAY).await;
    site.store.restore(backup);
    for door in &site.doors {
        door.set_fault(StoreFault::None);
    }
}

/// Guards against gateways that take what a restored store says for old, as its revisions were given out before.
#[actix_rt::test]
async fn a_configuration_that_is_written_after_a_restore_is_in_force() {
    let site = Site::start(&[APP], GATEWAYS).await;
    site.until_gateways_know_each_other().await;
    let backup = site.store.back_up();
    write_what_is_lost(&site);
    site.until_in_force(site.configure_next()).await;
    restore(&site, &backup).await;
    site.until_in_force(site.configure_next()).await;
}

/// Guards against requests to a worker that says after a restore that it leaves.
#[actix_rt::test]
async fn a_worker_that_leaves_after_a_restore_gets_no_more_requests() {
    let site = Site::start(&[APP, APP], GATEWAYS).await;
    site.until_gateways_know_each_other().await;
    let backup = site.store.back_up();
    write_what_is_lost(&site);
    site.until_in_force(site.configure_next()).await;
    restore(&site, &backup).await;
    let leaving = &site.workers[0].worker;
    leaving.write_entry("draining");
    for index in 0..GATEWAYS {
        site.until_ready_workers(index, 1.0).await;
    }
    let before = leaving.runs().len();
    ask_all(&site).await;
    assert_eq!(leaving.runs().len(), before);
}

async fn ask_all(site: &Site) {
    for (index, gateway) in site.gateways.iter().enumerate() {
        for number in 0..REQUESTS {
            let id = format!("request-{index}-{number}");
            let answer = ask(gateway, &id, REPEATABLE, b"body").await;
            assert_eq!(answer.status, 200, "{answer:?}");
        }
    }
}

/// Guards against a configuration that goes back to the one before, which the restored store holds.
#[actix_rt::test]
async fn a_configuration_that_a_restore_has_lost_stays_in_force() {
    let site = Site::start(&[APP], GATEWAYS).await;
    site.until_gateways_know_each_other().await;
    let backup = site.store.back_up();
    let lost = site.configure_next();
    site.until_in_force(lost).await;
    restore(&site, &backup).await;
    until_restored(&site).await;
    for gateway in &site.gateways {
        let version = gateway.metric("gateway_configuration_version").await;
        assert_eq!(version, Some(lost as f64));
    }
    site.until_in_force(site.configure_next()).await;
}

/// Guards against requests to workers that have said that they leave, or have left, and are ready in the restored store.
#[actix_rt::test]
async fn workers_that_leave_get_no_more_requests_though_a_restored_store_says_they_are_ready() {
    let site = Site::start(&[APP, APP, APP], GATEWAYS).await;
    site.until_gateways_know_each_other().await;
    let backup = site.store.back_up();
    let [leaving, gone, _] = &site.workers[..] else {
        panic!("three workers");
    };
    leaving.worker.write_entry("draining");
    site.store
        .remove(&format!("{WORKER_ENTRY_PREFIX}{}", gone.worker.id));
    for index in 0..GATEWAYS {
        site.until_ready_workers(index, 1.0).await;
    }
    restore(&site, &backup).await;
    until_restored(&site).await;
    ask_all(&site).await;
    assert_eq!(leaving.worker.runs().len() + gone.worker.runs().len(), 0);
    // One that writes its entry again has not left.
    gone.worker.write_entry("ready");
    for index in 0..GATEWAYS {
        site.until_ready_workers(index, 2.0).await;
    }
}

/// Guards against a pause of orders, and against announcing all gateways anew, where a restore has lost nothing of them.
#[actix_rt::test]
async fn a_claim_that_restores_have_kept_is_held_on() {
    let site = Site::start(&[DECODER; ENGINES], GATEWAYS).await;
    site.until_gateways_know_each_other().await;
    eventually("the first engines are ordered", || async {
        (!site.orders().is_empty()).then_some(())
    })
    .await;
    let claim = site.authority_fence();
    let announced = |site: &Site| {
        let keys = site.store.keys("tansyhall/gateways/");
        let made = keys.iter().filter_map(|key| site.store.get(key));
        made.map(|(_, made)| made).collect::<Vec<u64>>()
    };
    let announced_before = announced(&site);
    for epoch in 1..=RESTORES {
        let backup = site.store.back_up();
        write_what_is_lost(&site);
        site.until_in_force(site.configure_next()).await;
        restore(&site, &backup).await;
        until_epoch(&site, epoch).await;
        sleep(LEASES_END).await;
        assert_eq!(site.authority_fence(), claim);
        assert_eq!(announced(&site), announced_before);
        assert_eq!(holders(&site).await, 1.0);
    }
}

/// Guards against an upgrade in which gateways of the build before, which name no epoch, are told nothing.
#[actix_rt::test]
async fn a_gateway_of_an_older_build_is_told_what_is_new_after_a_restore() {
    let site = Site::start(&[APP], 1).await;
    let backup = site.store.back_up();
    restore(&site, &backup).await;
    until_restored(&site).await;
    let version = site.configure_next();
    site.until_in_force(version).await;
    let peers = site.gateways[0].addresses.peers;
    let url = format!("http://{peers}/changes?after=0&wait_ms=0&number=7&deflated=true");
    let client = awc::Client::default();
    let mut answer = client.get(url).send().await.expect("an answer");
    let body = answer.body().await.expect("a body");
    let message = UpdateMessage::decode(body).expect("a message");
    assert_eq!(message.question, 7);
    let received = message.into_update(UpdateHead::default());
    let Ok(Some(MirrorUpdate::Snapshot(snapshot))) = received.map(|one| one.update) else {
        panic!("no copy");
    };
    let key = PlatformCatalogue.configuration_key();
    let item = snapshot.items.iter().find(|item| item.key == key);
    let value = &item.expect("a configuration").value;
    let configuration = PlatformCatalogue.decode_configuration(value);
    assert_eq!(configuration.expect("a configuration").version, version);
}

async fn holders(site: &Site) -> f64 {
    let mut holders = 0.0;
    for gateway in &site.gateways {
        let holds = gateway.metric("gateway_holds_authority").await;
        holders += holds.unwrap_or_default();
    }
    holders
}

/// Waits until every gateway has a copy of the store that was restored once.
async fn until_restored(site: &Site) {
    until_epoch(site, 1).await;
}

async fn until_epoch(site: &Site, epoch: u32) {
    for gateway in &site.gateways {
        eventually("the gateway knows that the store was restored", || async {
            let known = gateway.metric("gateway_mirror_epoch").await?;
            (known == f64::from(epoch)).then_some(())
        })
        .await;
    }
}

/// Guards against a claim that a restore took away and nobody makes again, and against fences that were used before.
#[actix_rt::test]
async fn engines_are_ordered_again_after_a_restore_with_a_higher_fence() {
    let site = Site::start(&[DECODER; ENGINES], GATEWAYS).await;
    let before_claim = site.store.back_up();
    eventually("the first engines are ordered", || async {
        (!site.orders().is_empty()).then_some(())
    })
    .await;
    write_what_is_lost(&site);
    site.until_in_force(site.configure_next()).await;
    let highest = |orders: Vec<Order>| orders.iter().map(|order| order.fence).max();
    let before = highest(site.orders());
    restore(&site, &before_claim).await;
    site.until_in_force(site.configure_next()).await;
    eventually("engines are ordered with a higher fence", || async {
        for worker in &site.workers {
            worker.worker.write_entry("ready");
        }
        (highest(site.orders()) > before).then_some(())
    })
    .await;
}
