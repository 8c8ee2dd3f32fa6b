//! The store is restored from a backup: everything written since then is gone, including leases, and revisions are
//! assigned again.

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

use crate::support::{send_request, Site, WorkerSpec, REPEATABLE};

const ECHO: Behaviour = Behaviour::Serve { events: 0 };
const APP: WorkerSpec = ("app", None, ECHO);
const DECODER: WorkerSpec = ("llm", Some("decode"), ECHO);
const ENGINES: usize = 10;
/// One gateway that follows the store, and two that receive changes from it.
const GATEWAYS: usize = 3;
/// Number of changes that the restore loses. It is more than the rest of a test makes, so no later revision exceeds the
/// last one before the restore.
const LOST_CHANGES: usize = 2_000;
/// Time for which the store is unreachable during a restore.
const OUTAGE_DURATION: Duration = Duration::from_millis(600);
/// Longer than the time-to-live of the authority's lease.
const LEASE_EXPIRY_WAIT: Duration = Duration::from_millis(4_500);
/// Number of consecutive restores.
const RESTORES: u32 = 2;
/// Requests to each gateway.
const REQUESTS: usize = 20;

fn write_lost_changes(site: &Site) {
    for number in 0..LOST_CHANGES {
        site.store.put("other/lost", &json!(number));
    }
}

/// Makes the store unreachable for [`OUTAGE_DURATION`] and restores it from the backup.
async fn restore(site: &Site, backup: &Backup) {
    for endpoint in &site.store_endpoints {
        endpoint.set_fault(StoreFault::Refuse);
    }
    sleep(OUTAGE_DURATION).await;
    site.store.restore(backup);
    for endpoint in &site.store_endpoints {
        endpoint.set_fault(StoreFault::None);
    }
}

/// Guards against gateways that consider the contents of a restored store outdated because its revisions were assigned
/// before.
#[actix_rt::test]
async fn a_configuration_that_is_written_after_a_restore_comes_into_force() {
    let site = Site::start(&[APP], GATEWAYS).await;
    site.wait_until_gateways_know_each_other().await;
    let backup = site.store.back_up();
    write_lost_changes(&site);
    site.wait_until_in_force(site.configure_next()).await;
    restore(&site, &backup).await;
    site.wait_until_in_force(site.configure_next()).await;
}

/// Guards against requests to a worker that announces after a restore that it is leaving.
#[actix_rt::test]
async fn a_worker_that_starts_to_leave_after_a_restore_gets_no_more_requests() {
    let site = Site::start(&[APP, APP], GATEWAYS).await;
    site.wait_until_gateways_know_each_other().await;
    let backup = site.store.back_up();
    write_lost_changes(&site);
    site.wait_until_in_force(site.configure_next()).await;
    restore(&site, &backup).await;
    let leaving = &site.workers[0].worker;
    leaving.write_entry("draining");
    for index in 0..GATEWAYS {
        site.wait_for_ready_workers(index, 1.0).await;
    }
    let before = leaving.runs().len();
    send_to_all(&site).await;
    assert_eq!(leaving.runs().len(), before);
}

async fn send_to_all(site: &Site) {
    for (index, gateway) in site.gateways.iter().enumerate() {
        for number in 0..REQUESTS {
            let id = format!("request-{index}-{number}");
            let answer = send_request(gateway, &id, REPEATABLE, b"body").await;
            assert_eq!(answer.status, 200, "{answer:?}");
        }
    }
}

/// Guards against gateways that go back to the older configuration in the restored store.
#[actix_rt::test]
async fn a_configuration_that_a_restore_has_lost_stays_in_force() {
    let site = Site::start(&[APP], GATEWAYS).await;
    site.wait_until_gateways_know_each_other().await;
    let backup = site.store.back_up();
    let lost = site.configure_next();
    site.wait_until_in_force(lost).await;
    restore(&site, &backup).await;
    wait_until_restored(&site).await;
    for gateway in &site.gateways {
        let version = gateway.metric("gateway_configuration_version").await;
        assert_eq!(version, Some(lost as f64));
    }
    site.wait_until_in_force(site.configure_next()).await;
}

/// Guards against requests to workers that are leaving, or have left, but are ready according to the restored store.
#[actix_rt::test]
async fn workers_that_left_before_a_restore_get_no_more_requests_although_the_store_shows_them_ready(
) {
    let site = Site::start(&[APP, APP, APP], GATEWAYS).await;
    site.wait_until_gateways_know_each_other().await;
    let backup = site.store.back_up();
    let [leaving, gone, _] = &site.workers[..] else {
        panic!("three workers");
    };
    leaving.worker.write_entry("draining");
    site.store
        .remove(&format!("{WORKER_ENTRY_PREFIX}{}", gone.worker.id));
    for index in 0..GATEWAYS {
        site.wait_for_ready_workers(index, 1.0).await;
    }
    restore(&site, &backup).await;
    wait_until_restored(&site).await;
    send_to_all(&site).await;
    assert_eq!(leaving.worker.runs().len() + gone.worker.runs().len(), 0);
    // A worker that writes its entry again has not left.
    gone.worker.write_entry("ready");
    for index in 0..GATEWAYS {
        site.wait_for_ready_workers(index, 2.0).await;
    }
}

/// Guards against a pause of orders, and against new announcements of all gateways, when a restore has lost neither the
/// claim nor the announcements.
#[actix_rt::test]
async fn a_claim_that_restores_have_preserved_is_kept() {
    let site = Site::start(&[DECODER; ENGINES], GATEWAYS).await;
    site.wait_until_gateways_know_each_other().await;
    eventually("the first engines are ordered", || async {
        (!site.orders().is_empty()).then_some(())
    })
    .await;
    let claim = site.authority_fence();
    let announcements = |site: &Site| {
        let keys = site.store.keys("tansyhall/gateways/");
        let entries = keys.iter().filter_map(|key| site.store.get(key));
        entries
            .map(|(_, created_at)| created_at)
            .collect::<Vec<u64>>()
    };
    let announcements_before = announcements(&site);
    for epoch in 1..=RESTORES {
        let backup = site.store.back_up();
        write_lost_changes(&site);
        site.wait_until_in_force(site.configure_next()).await;
        restore(&site, &backup).await;
        wait_for_epoch(&site, epoch).await;
        sleep(LEASE_EXPIRY_WAIT).await;
        assert_eq!(site.authority_fence(), claim);
        assert_eq!(announcements(&site), announcements_before);
        assert_eq!(count_holders(&site).await, 1.0);
    }
}

/// Guards against an upgrade in which gateways of the previous build, whose requests contain no epoch, receive no changes.
#[actix_rt::test]
async fn a_gateway_of_an_older_build_receives_changes_after_a_restore() {
    let site = Site::start(&[APP], 1).await;
    let backup = site.store.back_up();
    restore(&site, &backup).await;
    wait_until_restored(&site).await;
    let version = site.configure_next();
    site.wait_until_in_force(version).await;
    let peers = site.gateways[0].addresses.peers;
    let url = format!("http://{peers}/changes?after=0&wait_ms=0&number=7&deflated=true");
    let client = awc::Client::default();
    let mut answer = client.get(url).send().await.expect("an answer");
    let body = answer.body().await.expect("a body");
    let message = UpdateMessage::decode(body).expect("a message");
    assert_eq!(message.question, 7);
    let received = message.into_update(UpdateHead::default());
    let Ok(Some(MirrorUpdate::Snapshot(snapshot))) = received.map(|received| received.update)
    else {
        panic!("the answer contains no snapshot");
    };
    let key = PlatformCatalogue.configuration_key();
    let item = snapshot.items.iter().find(|item| item.key == key);
    let value = &item.expect("a configuration").value;
    let configuration = PlatformCatalogue.decode_configuration(value);
    assert_eq!(configuration.expect("a configuration").version, version);
}

/// Returns the number of gateways that hold the authority.
async fn count_holders(site: &Site) -> f64 {
    let mut holders = 0.0;
    for gateway in &site.gateways {
        let holds = gateway.metric("gateway_holds_authority").await;
        holders += holds.unwrap_or_default();
    }
    holders
}

/// Waits until the mirror of every gateway is in the epoch after the first restore.
async fn wait_until_restored(site: &Site) {
    wait_for_epoch(site, 1).await;
}

async fn wait_for_epoch(site: &Site, epoch: u32) {
    for gateway in &site.gateways {
        eventually(
            "the gateway has the epoch of the restored store",
            || async {
                let known = gateway.metric("gateway_mirror_epoch").await?;
                (known == f64::from(epoch)).then_some(())
            },
        )
        .await;
    }
}

/// Guards against a claim that a restore has removed and that no gateway makes again, and against fences that were used
/// before the restore.
#[actix_rt::test]
async fn engines_are_ordered_again_after_a_restore_with_a_higher_fence() {
    let site = Site::start(&[DECODER; ENGINES], GATEWAYS).await;
    let before_claim = site.store.back_up();
    eventually("the first engines are ordered", || async {
        (!site.orders().is_empty()).then_some(())
    })
    .await;
    write_lost_changes(&site);
    site.wait_until_in_force(site.configure_next()).await;
    let highest = |orders: Vec<Order>| orders.iter().map(|order| order.fence).max();
    let before = highest(site.orders());
    restore(&site, &before_claim).await;
    site.wait_until_in_force(site.configure_next()).await;
    eventually("engines are ordered with a higher fence", || async {
        for worker in &site.workers {
            worker.worker.write_entry("ready");
        }
        (highest(site.orders()) > before).then_some(())
    })
    .await;
}
