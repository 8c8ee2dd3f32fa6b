//! In a large fleet, schedulers place the requests of most gateways. No request may fail because schedulers are killed.

use tansyhall_platform_standin::Behaviour;
use tansyhall_testing::eventually;

use crate::support::{send_request, Site, WorkerSpec, REPEATABLE};

const APP: WorkerSpec = ("app", None, Behaviour::Serve { events: 0 });
/// Two more gateways than the maximum number that place their own requests.
pub const GATEWAYS: usize = 14;
const KILLED_GATEWAYS: usize = 6;
const REQUESTS: usize = 24;
const SILENT_PLACEMENTS: &str = "gateway_placements_total{outcome=\"silent\"}";
/// Requests of a gateway that a scheduler has placed.
pub const PLACED_REQUESTS: &str = "gateway_placements_total{outcome=\"placed\"}";

/// Returns whether a scheduler has placed requests of this gateway.
async fn uses_scheduler(site: &Site, index: usize) -> bool {
    let placed = site.gateways[index].metric(PLACED_REQUESTS).await;
    placed.is_some_and(|placed| placed > 0.0)
}

/// Sends a request to each gateway in turn, and returns the first gateway whose requests a scheduler places.
pub async fn find_gateway_with_scheduler(site: &Site) -> usize {
    for index in 0..site.gateways.len() {
        let id = format!("first-{index}");
        let answer = send_request(&site.gateways[index], &id, REPEATABLE, b"x").await;
        assert_eq!(answer.status, 200);
        if uses_scheduler(site, index).await {
            return index;
        }
    }
    panic!("no gateway uses a scheduler");
}

#[actix_rt::test]
async fn schedulers_place_requests_and_no_request_fails_when_they_are_killed() {
    let mut site = Site::start(&[APP, APP], GATEWAYS).await;
    site.wait_until_gateways_know_each_other().await;
    let index = find_gateway_with_scheduler(&site).await;
    let gateway = site.gateways.remove(index);
    drop(site.gateways.drain(..KILLED_GATEWAYS));
    for number in 0..REQUESTS {
        let id = format!("later-{number}");
        let answer = send_request(&gateway, &id, REPEATABLE, b"x").await;
        assert_eq!(answer.status, 200);
        assert_eq!(site.runs_of(&id), 1);
    }
    let silent = gateway.metric(SILENT_PLACEMENTS).await;
    assert!(
        silent > Some(0.0),
        "the scheduler of the gateway was not among the killed gateways"
    );
    eventually(
        "a scheduler that is still running places requests",
        || async {
            let before = gateway.metric(PLACED_REQUESTS).await?;
            let answer = send_request(&gateway, &format!("last-{before}"), REPEATABLE, b"x").await;
            assert_eq!(answer.status, 200);
            (gateway.metric(PLACED_REQUESTS).await? > before).then_some(())
        },
    )
    .await;
}
