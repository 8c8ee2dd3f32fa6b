//! Engines' roles under one holder of the authority, with gateways as separate processes: the holder is killed
//! between two orders, and another gateway continues with a higher fence.

use std::collections::BTreeSet;

use crate::support::{Site, WorkerSpec};
use tansyhall_platform_standin::{Behaviour, Order};
use tansyhall_testing::eventually;

const ENGINES: usize = 10;
const DECODER: WorkerSpec = ("llm", Some("decode"), Behaviour::Serve { events: 0 });

/// Announces each engine with the stage that it was ordered to take, as a real engine does itself.
fn announce_stages(site: &Site) {
    for worker in &site.workers {
        worker.worker.write_entry("ready");
    }
}

/// Returns the index of the gateway that holds the authority.
async fn find_holder(site: &Site) -> Option<usize> {
    for (index, gateway) in site.gateways.iter().enumerate() {
        if gateway.metric("gateway_holds_authority").await == Some(1.0) {
            return Some(index);
        }
    }
    None
}

async fn wait_for_first_orders(site: &Site) {
    eventually("the first engines are ordered", || async {
        (!site.orders().is_empty()).then_some(())
    })
    .await;
}

async fn wait_for_higher_fence(site: &Site, first_fence: u64) {
    eventually("another holder orders with a higher fence", || async {
        announce_stages(site);
        let higher = |order: &Order| order.fence > first_fence;
        site.orders().iter().any(higher).then_some(())
    })
    .await;
}

#[actix_rt::test]
async fn one_holder_sends_orders_and_the_next_continues_with_a_higher_fence() {
    let mut site = Site::start(&[DECODER; ENGINES], 2).await;
    wait_for_first_orders(&site).await;
    let before = site.orders();
    let holders: BTreeSet<&str> = before.iter().map(|order| order.holder.as_str()).collect();
    assert_eq!(holders.len(), 1, "{before:?}");
    let first = find_holder(&site).await.expect("a holder");
    let killed = site.gateways.remove(first);
    drop(killed);
    wait_for_higher_fence(&site, before[0].fence).await;
    let fences: BTreeSet<u64> = site.orders().iter().map(|order| order.fence).collect();
    assert_eq!(fences.len(), 2);
    for worker in &site.workers {
        let orders = worker.worker.orders();
        assert!(orders.windows(2).all(|pair| pair[0].fence <= pair[1].fence));
        for (number, order) in orders.iter().enumerate() {
            assert_eq!(order.expected_count, number as u64);
        }
    }
    eventually("enough engines are ordered to prefill", || async {
        announce_stages(&site);
        let is_prefill = |order: &&Order| order.stage == "prefill";
        let readers = site.orders().iter().filter(is_prefill).count();
        (readers >= ENGINES - 4).then_some(())
    })
    .await;
}

#[actix_rt::test]
async fn the_first_holder_of_a_fleet_does_not_wait_for_a_predecessor() {
    const LONGEST_PAUSE_MS: u64 = 600_000;
    let site = Site::start_with_takeover_pause(&[DECODER; ENGINES], 2, LONGEST_PAUSE_MS).await;
    wait_for_first_orders(&site).await;
}

/// Guards against a holder that stood still, renews a lease that belongs to the next holder by now, and takes over its claim
/// and fence. The store gives identifiers of leases out again.
#[actix_rt::test]
async fn a_holder_that_stood_still_orders_nothing_more_under_its_fence() {
    let site = Site::start(&[DECODER; ENGINES], 2).await;
    wait_for_first_orders(&site).await;
    let stopped = find_holder(&site).await.expect("a holder");
    let holder = &site.gateways[stopped];
    let first_fence = site.orders()[0].fence;
    let count_first = || {
        let orders = site.orders();
        orders
            .iter()
            .filter(|order| order.fence == first_fence)
            .count()
    };
    holder.process.signal("STOP");
    wait_for_higher_fence(&site, first_fence).await;
    let before = count_first();
    holder.process.signal("CONT");
    eventually(
        "the gateway knows that it has lost the authority",
        || async {
            announce_stages(&site);
            let holds = holder.metric("gateway_holds_authority").await;
            (holds == Some(0.0)).then_some(())
        },
    )
    .await;
    site.wait_until_in_force(site.configure_next()).await;
    assert_eq!(count_first(), before);
}
