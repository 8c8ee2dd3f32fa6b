//! One gateway of a zone follows the store and tells the others; another takes its place when it is
//! killed, or when the store does not answer it any more.

use tansyhall_platform_standin::{Behaviour, StoreFault};
use tansyhall_testing::eventually;

use crate::support::{Site, WorkerSpec};

const APP: WorkerSpec = ("app", None, Behaviour::Serve { events: 0 });
const GATEWAYS: usize = 4;
/// Configurations in a row, each of which every gateway has to hear of.
const CONFIGURATIONS: usize = 3;

/// The gateways that ask the store itself for changes.
async fn relays(site: &Site) -> Vec<usize> {
    let mut relays = Vec::new();
    for (index, gateway) in site.gateways.iter().enumerate() {
        if gateway.metric("gateway_follows_store").await == Some(1.0) {
            relays.push(index);
        }
    }
    relays
}

/// Waits until a single gateway, other than `former`, asks the store.
async fn only_relay(site: &Site, former: Option<usize>) -> usize {
    eventually("one gateway follows the store", || async {
        match relays(site).await.as_slice() {
            [relay] if Some(*relay) != former => Some(*relay),
            _ => None,
        }
    })
    .await
}

async fn until_in_force(site: &Site, version: u64) {
    for gateway in &site.gateways {
        eventually("the configuration is in force", || async {
            let known = gateway.metric("gateway_configuration_version").await?;
            (known == version as f64).then_some(())
        })
        .await;
    }
}

async fn site() -> Site {
    let site = Site::start(&[APP], GATEWAYS).await;
    site.until_gateways_know_each_other().await;
    site
}

#[actix_rt::test]
async fn the_next_gateway_follows_the_store_when_the_relay_is_killed() {
    let mut site = site().await;
    let relay = only_relay(&site, None).await;
    until_in_force(&site, site.configure_next()).await;
    drop(site.gateways.remove(relay));
    until_in_force(&site, site.configure_next()).await;
    only_relay(&site, None).await;
}

#[actix_rt::test]
async fn a_relay_that_the_store_does_not_answer_is_replaced_and_told() {
    let site = site().await;
    let relay = only_relay(&site, None).await;
    for fault in [StoreFault::Silent, StoreFault::Refuse] {
        site.doors[relay].set_fault(fault);
        until_in_force(&site, site.configure_next()).await;
        site.doors[relay].set_fault(StoreFault::None);
        until_in_force(&site, site.configure_next()).await;
    }
}

#[actix_rt::test]
async fn what_a_subscriber_missed_during_an_outage_reaches_it_afterwards() {
    let site = site().await;
    only_relay(&site, None).await;
    for door in &site.doors {
        door.set_fault(StoreFault::Refuse);
    }
    let version = site.configure_next();
    for door in &site.doors {
        door.set_fault(StoreFault::None);
    }
    until_in_force(&site, version).await;
    only_relay(&site, None).await;
}

/// The store has forgotten the history that every gateway would go on from. Each must read everything anew,
/// although others answer it: what they know is as old as its own.
#[actix_rt::test]
async fn gateways_that_are_all_behind_do_not_keep_each_other_from_reading_anew() {
    let site = Site::start(&[APP], GATEWAYS).await;
    site.until_gateways_know_each_other().await;
    for door in &site.doors {
        door.set_fault(StoreFault::Compacted);
    }
    for _ in 0..CONFIGURATIONS {
        site.until_in_force(site.configure_next()).await;
    }
}

/// Entries of others that make the store many pages long.
const LARGE_STORE: usize = 1_000;
/// Pages that a gateway reads of the store as it starts before others that have a copy: the first, which tells that
/// there are more, and the list of gateways.
const PAGES_BEFORE_OTHERS: u64 = 2;

fn fill_store(site: &Site) {
    for number in 0..LARGE_STORE {
        let entry = format!("foreign/{number}");
        site.store.put_bytes(&entry, vec![b'x'; 100]);
    }
}

#[actix_rt::test]
async fn a_gateway_that_starts_gets_a_large_store_from_a_relay() {
    let mut site = site().await;
    fill_store(&site);
    site.add_gateway();
    until_in_force(&site, site.configure_next()).await;
    let pages = site.doors[GATEWAYS].pages_requested();
    assert!(pages <= PAGES_BEFORE_OTHERS, "{pages} pages were read");
}

#[actix_rt::test]
async fn gateways_that_are_all_lost_read_a_large_store_themselves_if_they_are_few() {
    let mut site = site().await;
    fill_store(&site);
    site.restart_all_gateways();
    until_in_force(&site, site.configure_next()).await;
}
