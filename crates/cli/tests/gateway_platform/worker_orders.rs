//! Workers ordered by kind and zone, by separate processes: cheap ones take the place of reserved ones,
//! which leave only when the others serve.

use tansyhall_platform_standin::{Behaviour, OperationsFault, ScaleCall, ScalingPlan};
use tansyhall_testing::eventually;

use crate::support::{Site, WorkerSpec};

const RESERVED: WorkerSpec = ("llm", Some("decode"), Behaviour::Serve { events: 0 });
const WORKERS: usize = 10;
/// What 0.44 of the price of ten workers buys at a quarter of their price, less the one that is reserved.
const SPOT: u32 = 17;
const ZONE: &str = "kalimati";

fn scaling() -> ScalingPlan {
    scaling_up_to(40)
}

fn scaling_up_to(most: u32) -> ScalingPlan {
    ScalingPlan {
        service: "llm",
        limits: (1, most),
        zone_prices: vec![(ZONE, 1.0)],
    }
}

fn desired(site: &Site, spot: bool) -> Vec<u32> {
    let calls = site.operations.scale_calls();
    let of_kind = calls.iter().filter(|call| call.spot == spot);
    of_kind.map(|call| call.desired).collect()
}

#[actix_rt::test]
async fn reserved_workers_leave_when_the_cheap_ones_serve() {
    let site = Site::start(&[RESERVED; WORKERS], 2).await;
    site.configure_scaling(&scaling());
    eventually("cheap workers are ordered", || async {
        (desired(&site, true).last() == Some(&SPOT)).then_some(())
    })
    .await;
    assert!(desired(&site, false).is_empty(), "none has left yet");
    let started: Vec<_> = (0..SPOT)
        .map(|_| site.start_spot_worker("llm", ZONE))
        .collect();
    // A third of the planned workers stays, as there is no other zone for a withdrawal to leave.
    eventually("most reserved workers leave", || async {
        (desired(&site, false).last() == Some(&4)).then_some(())
    })
    .await;
    drop(started);
    let calls = site.operations.scale_calls();
    let is_right = |call: &ScaleCall| call.service == "llm" && call.zone == ZONE;
    assert!(calls.iter().all(is_right), "{calls:?}");
}

#[actix_rt::test]
async fn nobody_leaves_where_no_cheap_worker_is_to_be_had() {
    let site = Site::start(&[RESERVED; WORKERS], 1).await;
    site.operations.set_fault(OperationsFault::NoSpot);
    site.configure_scaling(&scaling());
    eventually("cheap workers are asked for and refused", || async {
        let refused = site.gateways[0]
            .metric("gateway_worker_orders_total{kind=\"spot\",outcome=\"refused\"}")
            .await?;
        (refused >= 2.0).then_some(())
    })
    .await;
    assert!(desired(&site, false).is_empty());
}

#[actix_rt::test]
async fn a_fixed_number_of_workers_is_left_alone() {
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

/// Milliseconds after which an order that was left unanswered is carried out.
const LATE_MS: u64 = 3_000;
/// The most workers of a zone by the later configuration.
const FEWER: u32 = 14;

/// Orders of one holder and kind that were carried out after a newer one with another number.
fn contradictions(calls: &[ScaleCall]) -> Vec<(&ScaleCall, &ScaleCall)> {
    let pairs = calls.iter().enumerate().flat_map(|(index, first)| {
        let later = calls[index + 1..].iter();
        later.map(move |second| (first, second))
    });
    let contradicts = |(first, second): &(&ScaleCall, &ScaleCall)| {
        let same = first.holder == second.holder && first.spot == second.spot;
        same && first.received > second.received && first.desired != second.desired
    };
    pairs.filter(contradicts).collect()
}

/// A site one of whose orders will be carried out late; later ones are answered at once.
async fn site_with_an_unanswered_order() -> Site {
    let site = Site::start(&[RESERVED; WORKERS], 2).await;
    site.operations
        .set_fault(OperationsFault::Late { after_ms: LATE_MS });
    site.configure_scaling(&scaling());
    eventually("an order is left unanswered", || async {
        (site.operations.pending_orders() > 0).then_some(())
    })
    .await;
    site.operations.set_fault(OperationsFault::None);
    site
}

#[actix_rt::test]
async fn an_order_that_is_carried_out_late_never_contradicts_a_newer_one() {
    let site = site_with_an_unanswered_order().await;
    site.configure_scaling(&scaling_up_to(FEWER));
    eventually("the newer order is carried out", || async {
        let last = desired(&site, true).last().copied()?;
        (site.operations.pending_orders() == 0 && last < FEWER).then_some(())
    })
    .await;
    let calls = site.operations.scale_calls();
    assert!(contradictions(&calls).is_empty(), "{calls:#?}");
    let late = calls.iter().filter(|call| call.desired == SPOT);
    assert!(late.count() > 0, "no order was carried out late");
}

#[actix_rt::test]
async fn an_order_that_is_carried_out_late_is_told_again_until_it_is_answered() {
    let site = site_with_an_unanswered_order().await;
    eventually("all are carried out", || async {
        let ordered = desired(&site, true);
        (site.operations.pending_orders() == 0 && ordered.len() > 1).then_some(())
    })
    .await;
    let ordered = desired(&site, true);
    assert!(
        ordered.iter().all(|desired| *desired == SPOT),
        "{ordered:?}"
    );
}
