//! The fleet's retry budget while gateways do not know each other yet, and while they restart.

use std::time::{Duration, Instant};

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
const RETRY_WINDOW: Duration = Duration::from_secs(10);
/// How many times all gateways are killed and started again.
const RESTARTS: usize = 3;

async fn wait_until_ready(site: &Site) {
    for gateway in &site.gateways {
        eventually("the gateway is ready", || async {
            gateway.is_ready().await.then_some(())
        })
        .await;
    }
}

/// Sends all requests to all gateways. `prefix` distinguishes their ids from those of other calls.
async fn send_to_all(site: &Site, prefix: &str) {
    for round in 0..REQUESTS / CONCURRENT_REQUESTS {
        let numbers = 0..CONCURRENT_REQUESTS;
        let ids: Vec<String> = numbers
            .map(|number| format!("{prefix}-{round}-{number}"))
            .collect();
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
    send_to_all(&site, "first").await;
    assert_within_budget(&site, GATEWAYS * REQUESTS, 1);
}

// Guards against gateways that have their whole share of the retry budget again in each life within one window.
#[actix_rt::test]
async fn gateways_that_restart_several_times_stay_within_the_budget_together() {
    let mut site = Site::start(&[FAILING; WORKERS], GATEWAYS).await;
    site.wait_until_gateways_know_each_other().await;
    let began = Instant::now();
    send_to_all(&site, "first").await;
    for restart in 0..RESTARTS {
        site.restart_all_gateways();
        wait_until_ready(&site).await;
        send_to_all(&site, &format!("after-{restart}")).await;
    }
    let windows = began.elapsed().div_duration_f64(RETRY_WINDOW).ceil();
    let requests = GATEWAYS * REQUESTS * (1 + RESTARTS);
    assert_within_budget(&site, requests, windows as u32);
}

/// Asserts that workers have got each of these requests, and no more retries than the budget allows in this many windows.
fn assert_within_budget(site: &Site, requests: usize, windows: u32) {
    let workers = site.workers.iter();
    let arrivals: u64 = workers.map(|worker| worker.worker.arrivals()).sum();
    let requests = requests as f64;
    assert!(
        arrivals as f64 >= requests,
        "{arrivals} arrivals of {requests} requests"
    );
    let retries = arrivals as f64 - requests;
    let allowed = RETRY_RATIO * requests + RETRY_EXTRA * f64::from(windows);
    assert!(retries <= allowed, "{retries} retries, {allowed} allowed");
}
