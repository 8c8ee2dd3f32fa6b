//! Orders of workers by kind and zone, by gateways as separate processes: spot workers replace reserved workers,
//! which are released only when the spot workers serve.

use tansyhall_platform_standin::{Behaviour, OperationsFault, ScaleCall, ScalingPlan};
use tansyhall_testing::eventually;

use crate::support::{Site, WorkerSpec};

const RESERVED: WorkerSpec = ("llm", Some("decode"), Behaviour::Serve { events: 0 });
const WORKERS: usize = 10;
/// Number of spot workers that 0.44 of the price of ten workers buys at a quarter of their price, minus the reserved one.
const SPOT_WORKERS: u32 = 17;
const ZONE: &str = "kalimati";

fn scaling() -> ScalingPlan {
    scaling_up_to(40)
}

fn scaling_up_to(max_workers: u32) -> ScalingPlan {
    ScalingPlan {
        service: "llm",
        limits: (1, max_workers),
        zone_prices: vec![(ZONE, 1.0)],
    }
}

/// Returns the ordered numbers of spot or reserved workers, in the order in which they were carried out.
fn desired_counts(site: &Site, spot: bool) -> Vec<u32> {
    let calls = site.operations.scale_calls();
    let of_kind = calls.iter().filter(|call| call.spot == spot);
    of_kind.map(|call| call.desired).collect()
}

#[actix_rt::test]
async fn reserved_workers_are_released_when_the_spot_workers_serve() {
    let site = Site::start(&[RESERVED; WORKERS], 2).await;
    site.configure_scaling(&scaling());
    eventually("spot workers are ordered", || async {
        (desired_counts(&site, true).last() == Some(&SPOT_WORKERS)).then_some(())
    })
    .await;
    assert!(
        desired_counts(&site, false).is_empty(),
        "no reserved worker is released yet"
    );
    let spot_workers: Vec<_> = (0..SPOT_WORKERS)
        .map(|_| site.start_spot_worker("llm", ZONE))
        .collect();
    // A third of the planned workers stays reserved, because no other zone would remain if the spot workers were withdrawn.
    eventually("most reserved workers are released", || async {
        (desired_counts(&site, false).last() == Some(&4)).then_some(())
    })
    .await;
    drop(spot_workers);
    let calls = site.operations.scale_calls();
    let is_expected = |call: &ScaleCall| call.service == "llm" && call.zone == ZONE;
    assert!(calls.iter().all(is_expected), "{calls:?}");
}

#[actix_rt::test]
async fn no_reserved_worker_is_released_where_no_spot_worker_is_available() {
    let site = Site::start(&[RESERVED; WORKERS], 1).await;
    site.operations.set_fault(OperationsFault::NoSpot);
    site.configure_scaling(&scaling());
    eventually("spot workers are ordered and refused", || async {
        let refused = site.gateways[0]
            .metric("gateway_worker_orders_total{kind=\"spot\",outcome=\"refused\"}")
            .await?;
        (refused >= 2.0).then_some(())
    })
    .await;
    assert!(desired_counts(&site, false).is_empty());
}

#[actix_rt::test]
async fn a_fixed_number_of_workers_is_not_changed() {
    let site = Site::start(&[RESERVED; WORKERS], 1).await;
    eventually("the holder has ordered a role", || async {
        let mut workers = site.workers.iter();
        workers
            .any(|worker| !worker.worker.orders().is_empty())
            .then_some(())
    })
    .await;
    assert!(site.operations.scale_calls().is_empty());
}

/// Time after which an unanswered order is carried out, in milliseconds.
const LATE_MS: u64 = 3_000;
/// Maximum number of workers of a zone in the later configuration.
const LOWER_LIMIT: u32 = 14;

/// Returns the pairs of orders of one holder and kind in which an order was carried out before an older one with another
/// number.
fn contradictions(calls: &[ScaleCall]) -> Vec<(&ScaleCall, &ScaleCall)> {
    let pairs = calls.iter().enumerate().flat_map(|(index, first)| {
        let later = calls[index + 1..].iter();
        later.map(move |second| (first, second))
    });
    let contradicts = |(first, second): &(&ScaleCall, &ScaleCall)| {
        let is_same_subject = first.holder == second.holder && first.spot == second.spot;
        is_same_subject && first.received > second.received && first.desired != second.desired
    };
    pairs.filter(contradicts).collect()
}

/// Starts a site in which one order is not answered and will be carried out late. Later orders are answered immediately.
async fn site_with_an_unanswered_order() -> Site {
    let site = Site::start(&[RESERVED; WORKERS], 2).await;
    site.operations
        .set_fault(OperationsFault::Late { after_ms: LATE_MS });
    site.configure_scaling(&scaling());
    eventually("an order is unanswered", || async {
        (site.operations.pending_orders() > 0).then_some(())
    })
    .await;
    site.operations.set_fault(OperationsFault::None);
    site
}

#[actix_rt::test]
async fn an_order_that_is_carried_out_late_never_contradicts_a_newer_one() {
    let site = site_with_an_unanswered_order().await;
    site.configure_scaling(&scaling_up_to(LOWER_LIMIT));
    eventually("the newer order is carried out", || async {
        let last = desired_counts(&site, true).last().copied()?;
        (site.operations.pending_orders() == 0 && last < LOWER_LIMIT).then_some(())
    })
    .await;
    let calls = site.operations.scale_calls();
    assert!(contradictions(&calls).is_empty(), "{calls:#?}");
    let late = calls.iter().filter(|call| call.desired == SPOT_WORKERS);
    assert!(late.count() > 0, "no order was carried out late");
}

#[actix_rt::test]
async fn an_order_that_is_carried_out_late_is_repeated_until_it_is_answered() {
    let site = site_with_an_unanswered_order().await;
    eventually("all orders are carried out", || async {
        let ordered = desired_counts(&site, true);
        (site.operations.pending_orders() == 0 && ordered.len() > 1).then_some(())
    })
    .await;
    let ordered = desired_counts(&site, true);
    assert!(
        ordered.iter().all(|desired| *desired == SPOT_WORKERS),
        "{ordered:?}"
    );
}
