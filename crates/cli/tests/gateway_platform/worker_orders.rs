//! Orders of workers by kind and zone, by gateways as separate processes: spot workers replace reserved workers,
//! which are released only when the spot workers serve.

use tansyhall_platform_standin::{Behaviour, OperationsFault, ScaleCall, ScalingPlan, Worker};
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

const APPLICATION: WorkerSpec = ("app", None, Behaviour::Serve { events: 0 });
const OTHER_ZONE: &str = "balkhu";
/// Reserved and spot workers before the withdrawal.
const RESERVED_WORKERS: usize = 2;
const WITHDRAWN_WORKERS: usize = 16;
/// A third of the workers is needed while the demand is unknown.
const NEEDED_WORKERS: u32 = 6;

fn scaling_of_two_zones() -> ScalingPlan {
    ScalingPlan {
        service: "app",
        limits: (1, 20),
        zone_prices: vec![(ZONE, 1.0), (OTHER_ZONE, 1.0)],
    }
}

/// Returns how many reserved workers of both zones are in force.
fn reserved_in_force(site: &Site) -> u32 {
    let calls = site.operations.scale_calls();
    let in_zone = |zone, at_start: usize| {
        let mut reserved = calls.iter().rev().filter(|call| !call.spot);
        let last = reserved.find(|call| call.zone == zone);
        last.map_or(at_start as u32, |call| call.desired)
    };
    in_zone(ZONE, RESERVED_WORKERS) + in_zone(OTHER_ZONE, 0)
}

/// Starts a site that has to bear the loss of a zone, in which all spot workers are in one zone.
async fn site_with_spot_workers_in_one_zone() -> (Site, Vec<Worker>) {
    let site = Site::start_with_tolerated_zones(&[APPLICATION; RESERVED_WORKERS], 1, 1).await;
    let spot_workers: Vec<_> = (0..WITHDRAWN_WORKERS)
        .map(|_| site.start_spot_worker("app", OTHER_ZONE))
        .collect();
    let workers = (RESERVED_WORKERS + WITHDRAWN_WORKERS) as f64;
    eventually("all workers are announced", || async {
        let announced = site.gateways[0]
            .metric("gateway_workers{service=\"app\",state=\"ready\"}")
            .await?;
        (announced >= workers).then_some(())
    })
    .await;
    (site, spot_workers)
}

/// Guards against orders that count on spot workers which were withdrawn or cannot be had.
#[actix_rt::test]
async fn a_withdrawal_is_made_up_for_by_reserved_workers_where_no_spot_worker_is_available() {
    let (site, spot_workers) = site_with_spot_workers_in_one_zone().await;
    site.configure_scaling(&scaling_of_two_zones());
    eventually("spot workers are ordered in both zones", || async {
        let calls = site.operations.scale_calls();
        let mut of_zone = calls.iter().filter(|call| call.zone == ZONE);
        of_zone.any(|call| call.spot).then_some(())
    })
    .await;
    site.operations.set_fault(OperationsFault::NoSpot);
    for worker in &spot_workers {
        worker.write_entry("draining");
    }
    eventually("reserved workers are ordered for the need", || async {
        (reserved_in_force(&site) >= NEEDED_WORKERS).then_some(())
    })
    .await;
}

/// Guards against another size of a site at its start, before its demand is known.
#[actix_rt::test]
async fn before_the_demand_is_known_a_tolerated_zone_changes_no_order() {
    let site = Site::start_with_tolerated_zones(&[RESERVED; WORKERS], 1, 1).await;
    site.configure_scaling(&scaling());
    eventually("spot workers are ordered", || async {
        (desired_counts(&site, true).last() == Some(&SPOT_WORKERS)).then_some(())
    })
    .await;
    assert!(desired_counts(&site, false).is_empty());
}

/// Guards against orders that are lost or contradicted while the operations API does not answer.
#[actix_rt::test]
async fn unanswered_orders_for_the_loss_of_a_zone_are_repeated_and_not_contradicted() {
    let (site, _spot_workers) = site_with_spot_workers_in_one_zone().await;
    site.operations
        .set_fault(OperationsFault::Late { after_ms: LATE_MS });
    site.configure_scaling(&scaling_of_two_zones());
    eventually("two orders are unanswered", || async {
        (site.operations.pending_orders() > 1).then_some(())
    })
    .await;
    site.operations.set_fault(OperationsFault::None);
    eventually("spot workers are ordered in the other zone", || async {
        let calls = site.operations.scale_calls();
        let mut of_zone = calls.iter().filter(|call| call.zone == ZONE);
        let is_ordered = of_zone.any(|call| call.spot);
        (is_ordered && site.operations.pending_orders() == 0).then_some(())
    })
    .await;
    let calls = site.operations.scale_calls();
    for zone in [ZONE, OTHER_ZONE] {
        let of_zone: Vec<ScaleCall> = calls
            .iter()
            .filter(|call| call.zone == zone)
            .cloned()
            .collect();
        assert!(contradictions(&of_zone).is_empty(), "{of_zone:#?}");
    }
}
