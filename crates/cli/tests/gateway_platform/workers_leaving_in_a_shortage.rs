//! Workers whose entries in the store state that they are leaving, and when: in a shortage they still get requests that
//! may be repeated.

use std::time::Duration;

use serde_json::{json, Value};
use tansyhall_platform_standin::Behaviour;
use tansyhall_testing::eventually;
use tokio::time::sleep;

use crate::schedulers::{find_gateway_with_scheduler, GATEWAYS, PLACED_REQUESTS};
use crate::support::{send_request, Site, SiteWorker, AT_MOST_ONCE, NON_RESUMABLE, REPEATABLE};

const ECHO: Behaviour = Behaviour::Serve { events: 0 };
/// The drain time in these tests: long enough for a slow machine.
const DRAIN: Duration = Duration::from_secs(20);
/// Time for a gateway to apply settings that it reads again.
const RELOAD_TIME: Duration = Duration::from_millis(300);

/// Makes the gateways tolerate the loss of a zone, and sets the drain time.
async fn tolerate_zone_loss(site: &Site, drain: Duration) {
    for gateway in &site.gateways {
        let settings = std::fs::read_to_string(&gateway.settings).expect("the settings file");
        let tolerant = settings.replace("zones = 0", "zones = 1").replace(
            "drain_seconds = 0.0",
            &format!("drain_seconds = {}", drain.as_secs_f64()),
        );
        assert_ne!(tolerant, settings);
        std::fs::write(&gateway.settings, tolerant).expect("the file is written");
        gateway.process.signal("HUP");
    }
    sleep(RELOAD_TIME).await;
}

/// Writes that the worker is leaving after this time, and waits until the gateways know it.
async fn announce_departure(site: &Site, worker: &SiteWorker, remaining: Option<Duration>) {
    let key = format!("servers/{}", worker.worker.id);
    let (entry, _) = site.store.get(&key).expect("the worker's entry");
    let mut entry: Value = serde_json::from_slice(&entry).expect("JSON");
    entry["state"] = json!("draining");
    if let Some(remaining) = remaining {
        entry["leaves_ms"] = json!(remaining.as_millis() as u64);
    }
    site.store.put(&key, &entry);
    for index in 0..site.gateways.len() {
        site.wait_for_ready_workers(index, 0.0).await;
    }
}

/// Guards against a departure that is not passed from the store to the choice of a worker, and against requests that run
/// at most once on a worker that may leave under them.
#[actix_rt::test]
async fn in_a_shortage_a_leaving_worker_gets_repeatable_requests_and_streams() {
    let site = Site::start(&[("app", None, ECHO)], 1).await;
    tolerate_zone_loss(&site, DRAIN).await;
    announce_departure(&site, &site.workers[0], Some(DRAIN)).await;
    let gateway = &site.gateways[0];
    for (id, path, status) in [
        ("repeatable", REPEATABLE, 200),
        ("stream", NON_RESUMABLE, 200),
        ("once", AT_MOST_ONCE, 503),
    ] {
        assert_eq!(send_request(gateway, id, path, b"x").await.status, status);
    }
    assert_eq!(site.workers[0].worker.runs().len(), 2);
    eventually("the sends are counted", || async {
        let name = "gateway_leaving_worker_sends_total{service=\"app\"}";
        (gateway.metric(name).await? == 2.0).then_some(())
    })
    .await;
}

/// Guards against a requesting gateway that does not accept a leaving worker from its scheduler, and against a scheduler
/// that places requests there which run at most once.
#[actix_rt::test]
async fn a_scheduler_places_requests_of_other_gateways_on_a_leaving_worker() {
    let site = Site::start(&[("app", None, ECHO)], GATEWAYS).await;
    site.wait_until_gateways_know_each_other().await;
    tolerate_zone_loss(&site, DRAIN).await;
    let gateway = &site.gateways[find_gateway_with_scheduler(&site).await];
    announce_departure(&site, &site.workers[0], Some(DRAIN)).await;
    let placed = async || gateway.metric(PLACED_REQUESTS).await.expect("a metric");
    let before = placed().await;
    let answer = send_request(gateway, "repeatable", REPEATABLE, b"x").await;
    assert_eq!(answer.status, 200);
    assert_eq!(placed().await, before + 1.0);
    let answer = send_request(gateway, "once", AT_MOST_ONCE, b"x").await;
    assert_eq!(answer.status, 503);
    assert_eq!(placed().await, before + 1.0);
}

/// Guards against requests that reach a worker after half of its drain time.
#[actix_rt::test]
async fn a_leaving_worker_gets_nothing_after_half_of_the_drain_time() {
    let site = Site::start(&[("app", None, ECHO)], 1).await;
    tolerate_zone_loss(&site, Duration::from_secs(3)).await;
    announce_departure(&site, &site.workers[0], Some(DRAIN)).await;
    sleep(Duration::from_millis(1_600)).await;
    let answer = send_request(&site.gateways[0], "late", REPEATABLE, b"x").await;
    assert_eq!(answer.status, 503);
    assert!(site.workers[0].worker.runs().is_empty());
}

/// Guards against requests to a worker that states no remaining time, and with settings that tolerate no loss.
#[actix_rt::test]
async fn a_leaving_worker_gets_nothing_without_a_remaining_time_or_with_the_mechanism_off() {
    for (tolerates, remaining) in [(true, None), (false, Some(DRAIN))] {
        let site = Site::start(&[("app", None, ECHO)], 1).await;
        if tolerates {
            tolerate_zone_loss(&site, DRAIN).await;
        }
        announce_departure(&site, &site.workers[0], remaining).await;
        let answer = send_request(&site.gateways[0], "r", REPEATABLE, b"x").await;
        assert_eq!(answer.status, 503);
        assert!(site.workers[0].worker.runs().is_empty());
    }
}
