//! One gateway of a zone, the relay, follows the store and sends changes to the others. Another gateway replaces it when it
//! is killed, or when the store no longer answers it.

use tansyhall_platform_standin::{Behaviour, StoreFault};
use tansyhall_testing::eventually;

use crate::support::{Site, WorkerSpec};

const APP: WorkerSpec = ("app", None, Behaviour::Serve { events: 0 });
const GATEWAYS: usize = 4;
/// Number of consecutive configurations, each of which must come into force at every gateway.
const CONFIGURATIONS: usize = 3;

/// Returns the gateways that request changes from the store itself.
pub async fn find_relays(site: &Site) -> Vec<usize> {
    let mut relays = Vec::new();
    for (index, gateway) in site.gateways.iter().enumerate() {
        if gateway.metric("gateway_follows_store").await == Some(1.0) {
            relays.push(index);
        }
    }
    relays
}

/// Waits until exactly one gateway, other than `former`, requests changes from the store, and returns its index.
pub async fn wait_for_single_relay(site: &Site, former: Option<usize>) -> usize {
    eventually("one gateway follows the store", || async {
        match find_relays(site).await.as_slice() {
            [relay] if Some(*relay) != former => Some(*relay),
            _ => None,
        }
    })
    .await
}

async fn wait_until_in_force(site: &Site, version: u64) {
    for gateway in &site.gateways {
        eventually("the configuration is in force", || async {
            let known = gateway.metric("gateway_configuration_version").await?;
            (known == version as f64).then_some(())
        })
        .await;
    }
}

async fn start_site() -> Site {
    let site = Site::start(&[APP], GATEWAYS).await;
    site.wait_until_gateways_know_each_other().await;
    site
}

#[actix_rt::test]
async fn the_next_gateway_follows_the_store_when_the_relay_is_killed() {
    let mut site = start_site().await;
    let relay = wait_for_single_relay(&site, None).await;
    wait_until_in_force(&site, site.configure_next()).await;
    drop(site.gateways.remove(relay));
    wait_until_in_force(&site, site.configure_next()).await;
    wait_for_single_relay(&site, None).await;
}

#[actix_rt::test]
async fn a_relay_without_the_store_is_replaced_and_receives_changes() {
    let site = start_site().await;
    let relay = wait_for_single_relay(&site, None).await;
    for fault in [StoreFault::Silent, StoreFault::Refuse] {
        site.store_endpoints[relay].set_fault(fault);
        wait_until_in_force(&site, site.configure_next()).await;
        site.store_endpoints[relay].set_fault(StoreFault::None);
        wait_until_in_force(&site, site.configure_next()).await;
    }
}

#[actix_rt::test]
async fn changes_that_a_subscriber_missed_during_an_outage_reach_it_afterwards() {
    let site = start_site().await;
    wait_for_single_relay(&site, None).await;
    for endpoint in &site.store_endpoints {
        endpoint.set_fault(StoreFault::Refuse);
    }
    let version = site.configure_next();
    for endpoint in &site.store_endpoints {
        endpoint.set_fault(StoreFault::None);
    }
    wait_until_in_force(&site, version).await;
    wait_for_single_relay(&site, None).await;
}

/// The store has compacted the history from which every gateway would continue. Each gateway must read a snapshot from the
/// store, although other gateways answer it: their mirrors are as old as its own.
#[actix_rt::test]
async fn gateways_that_are_all_outdated_do_not_keep_each_other_from_reading_a_snapshot() {
    let site = Site::start(&[APP], GATEWAYS).await;
    site.wait_until_gateways_know_each_other().await;
    for endpoint in &site.store_endpoints {
        endpoint.set_fault(StoreFault::Compacted);
    }
    for _ in 0..CONFIGURATIONS {
        site.wait_until_in_force(site.configure_next()).await;
    }
}

/// Number of unrelated entries that make the store many pages long.
const LARGE_STORE_ENTRIES: usize = 1_000;
/// Pages that a starting gateway reads from the store before it requests a snapshot from another gateway: the first page,
/// which shows that there are more, and the list of gateways.
const PAGES_BEFORE_RELAY: u64 = 2;

fn fill_store(site: &Site) {
    for number in 0..LARGE_STORE_ENTRIES {
        let entry = format!("foreign/{number}");
        site.store.put_bytes(&entry, vec![b'x'; 100]);
    }
}

#[actix_rt::test]
async fn a_starting_gateway_gets_the_snapshot_of_a_large_store_from_a_relay() {
    let mut site = start_site().await;
    fill_store(&site);
    site.add_gateway();
    wait_until_in_force(&site, site.configure_next()).await;
    let pages = site.store_endpoints[GATEWAYS].pages_requested();
    assert!(pages <= PAGES_BEFORE_RELAY, "{pages} pages were read");
}

#[actix_rt::test]
async fn a_few_gateways_that_all_restart_read_a_large_store_themselves() {
    let mut site = start_site().await;
    fill_store(&site);
    site.restart_all_gateways();
    wait_until_in_force(&site, site.configure_next()).await;
}
