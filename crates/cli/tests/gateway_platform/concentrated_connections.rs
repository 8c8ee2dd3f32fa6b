//! Most new connections of callers reach one gateway.
//!
//! The failure: a gateway that got most requests of the fleet refused two of three of them, although workers had free
//! slots. The connections that a worker accepts were divided by the number of gateways, whether they used them or not.

use std::time::Duration;

use futures_util::future::join_all;
use tansyhall_platform_standin::Behaviour;
use tokio::time::sleep;

use crate::support::{send_request, Site, WorkerSpec, REPEATABLE};

/// Each request occupies a slot for a second.
const SLOW: WorkerSpec = ("app", None, Behaviour::Delayed { delay_ms: 1_000 });
const WORKERS: usize = 4;
const GATEWAYS: usize = 6;
/// Requests in one burst. Bursts come every tenth of a second, so that 0.6 of all slots are occupied.
const BURST: usize = 15;
const BURST_INTERVAL: Duration = Duration::from_millis(100);
const BURSTS: usize = 25;

/// Sends bursts of requests, each request to the gateway that `gateway_of` returns for its number. Returns the fraction
/// that was answered at the first attempt.
async fn answered_fraction(site: &Site, name: &str, gateway_of: impl Fn(usize) -> usize) -> f64 {
    let bursts = (0..BURSTS).map(|burst| {
        let numbers: Vec<usize> = (burst * BURST..(burst + 1) * BURST).collect();
        let gateway_of = &gateway_of;
        async move {
            sleep(BURST_INTERVAL * burst as u32).await;
            let answers = numbers.into_iter().map(|number| async move {
                let gateway = &site.gateways[gateway_of(number)];
                send_request(gateway, &format!("{name}-{number}"), REPEATABLE, b"x").await
            });
            let answers = join_all(answers).await;
            answers.iter().filter(|answer| answer.status == 200).count()
        }
    });
    let answered: usize = join_all(bursts).await.into_iter().sum();
    answered as f64 / (BURSTS * BURST) as f64
}

// Guards against gateways that refuse requests, while workers have free slots, because other gateways could use them.
#[actix_rt::test]
async fn a_gateway_that_gets_most_connections_serves_what_it_reads() {
    let site = Site::start(&[SLOW; WORKERS], GATEWAYS).await;
    site.wait_until_gateways_know_each_other().await;
    let spread = answered_fraction(&site, "spread", |number| number % GATEWAYS).await;
    let at_one = answered_fraction(&site, "one", |_| 0).await;
    let at_another = answered_fraction(&site, "another", |_| 1).await;
    assert!(spread > 0.9, "{spread} of spread requests were answered");
    for concentrated in [at_one, at_another] {
        assert!(
            concentrated >= 0.75 * spread,
            "{concentrated} of the requests at one gateway were answered, {spread} before"
        );
    }
}
