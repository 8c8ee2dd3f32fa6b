//! The fleet's budget of repeats, while gateways do not know each other yet.

use futures_util::future::join_all;
use tansyhall_platform_standin::{Behaviour, StoreFault};
use tansyhall_testing::eventually;

use crate::support::{ask, Site, WorkerSpec, REPEATABLE};

const FAILING: WorkerSpec = ("app", None, Behaviour::Fail);
const WORKERS: usize = 4;
const GATEWAYS: usize = 3;
/// Requests to each gateway, and how many of them at a time.
const REQUESTS: usize = 40;
const AT_ONCE: usize = 10;
/// What the settings allow: repeats for each request, and beyond that.
const RATIO: f64 = 0.2;
const EXTRA: f64 = 54.0;

async fn until_ready(site: &Site) {
    for gateway in &site.gateways {
        eventually("the gateway is ready", || async {
            gateway.is_ready().await.then_some(())
        })
        .await;
    }
}

/// Asks each gateway for all its requests.
async fn ask_all(site: &Site) {
    for round in 0..REQUESTS / AT_ONCE {
        let numbers = 0..AT_ONCE;
        let ids: Vec<String> = numbers.map(|one| format!("{round}-{one}")).collect();
        let gateways = site.gateways.iter().enumerate();
        let asked = gateways.flat_map(|(index, gateway)| {
            ids.iter().map(move |id| async move {
                ask(gateway, &format!("{index}-{id}"), REPEATABLE, b"x").await
            })
        });
        join_all(asked).await;
    }
}

// Guards against gateways that start together and each take the fleet's whole budget of repeats.
#[actix_rt::test]
async fn gateways_that_do_not_know_each_other_yet_stay_within_the_budget_together() {
    let mut site = Site::start(&[FAILING; WORKERS], 0).await;
    for _ in 0..GATEWAYS {
        site.add_gateway_with(StoreFault::RefuseLeases);
    }
    until_ready(&site).await;
    ask_all(&site).await;
    let arrivals: u64 = site.workers.iter().map(|it| it.worker.arrivals()).sum();
    let requests = (GATEWAYS * REQUESTS) as f64;
    assert!(
        arrivals as f64 >= requests,
        "{arrivals} arrivals of {requests} requests"
    );
    let repeats = arrivals as f64 - requests;
    let allowed = RATIO * requests + EXTRA;
    assert!(repeats <= allowed, "{repeats} repeats, {allowed} allowed");
}
