//! The fleet's retry budget while gateways do not know each other yet.

use futures_util::future::join_all;
use tansyhall_platform_standin::{Behaviour, StoreFault};
use tansyhall_testing::eventually;

use crate::support::{send_request, Site, WorkerSpec, REPEATABLE};

const FAILING: WorkerSpec = ("app", None, Behaviour::Fail);
const WORKERS: usize = 4;
const GATEWAYS: usize = 3;
/// Requests to each gateway.
const REQUESTS: usize = 40;
/// Concurrent requests to each gateway.
const CONCURRENT_REQUESTS: usize = 10;
/// The retry budget of the settings: retries per request, and additional retries.
const RETRY_RATIO: f64 = 0.2;
const RETRY_EXTRA: f64 = 54.0;

async fn wait_until_ready(site: &Site) {
    for gateway in &site.gateways {
        eventually("the gateway is ready", || async {
            gateway.is_ready().await.then_some(())
        })
        .await;
    }
}

/// Sends all requests to all gateways.
async fn send_to_all(site: &Site) {
    for round in 0..REQUESTS / CONCURRENT_REQUESTS {
        let numbers = 0..CONCURRENT_REQUESTS;
        let ids: Vec<String> = numbers.map(|number| format!("{round}-{number}")).collect();
        let gateways = site.gateways.iter().enumerate();
        let answers = gateways.flat_map(|(index, gateway)| {
            ids.iter().map(move |id| async move {
                send_request(gateway, &format!("{index}-{id}"), REPEATABLE, b"x").await
            })
        });
        join_all(answers).await;
    }
}

// Guards against gateways that start together and each use the whole retry budget of the fleet.
#[actix_rt::test]
async fn gateways_that_do_not_know_each_other_yet_stay_within_the_budget_together() {
    let mut site = Site::start(&[FAILING; WORKERS], 0).await;
    for _ in 0..GATEWAYS {
        site.add_gateway_with_fault(StoreFault::RefuseLeases);
    }
    wait_until_ready(&site).await;
    send_to_all(&site).await;
    let arrivals: u64 = site
        .workers
        .iter()
        .map(|worker| worker.worker.arrivals())
        .sum();
    let requests = (GATEWAYS * REQUESTS) as f64;
    assert!(
        arrivals as f64 >= requests,
        "{arrivals} arrivals of {requests} requests"
    );
    let retries = arrivals as f64 - requests;
    let allowed = RETRY_RATIO * requests + RETRY_EXTRA;
    assert!(retries <= allowed, "{retries} retries, {allowed} allowed");
}
