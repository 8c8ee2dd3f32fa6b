//! What operators see of gateways that reach their workers through other gateways.

use serde_json::Value;
use tansyhall_platform_standin::Behaviour;
use tansyhall_testing::{eventually, Partition};

use crate::support::{send_request, source_address, Site, SiteGateway, WorkerSpec, RESUMABLE};

const GATEWAYS: usize = 3;
const APP: WorkerSpec = ("app", None, Behaviour::Serve { events: 3 });

/// Sends a request to the first gateway and returns whether it was served.
async fn is_served(site: &Site, id: &str) -> bool {
    let answer = send_request(&site.gateways[0], id, RESUMABLE, b"x").await;
    answer.status == 200 && answer.is_complete
}

/// Sends requests to the first gateway until the condition holds.
async fn send_until(site: &Site, prefix: &str, description: &str, metric: (&str, f64)) {
    let sent = std::cell::Cell::new(0);
    eventually(description, || async {
        sent.set(sent.get() + 1);
        is_served(site, &format!("{prefix}-{}", sent.get())).await;
        let (name, expected) = metric;
        let value = site.gateways[0].metric(name).await?;
        (value == expected).then_some(())
    })
    .await;
}

async fn sum_of_relayed(gateways: &[SiteGateway]) -> f64 {
    let mut sum = 0.0;
    for gateway in gateways {
        sum += gateway.metric("gateway_relaying").await.unwrap_or_default();
    }
    sum
}

fn has_line(lines: &[Value], is_expected: impl Fn(&Value) -> bool) -> bool {
    lines.iter().any(is_expected)
}

#[actix_rt::test]
async fn a_partition_and_its_relays_are_logged_and_counted() {
    let mut site = Site::start_with_source_addresses(&[APP; 3], GATEWAYS).await;
    let links = site.link_workers().await;
    site.wait_until_gateways_know_each_other().await;
    let set_partition = |partition: Option<Partition>| {
        for link in &links {
            link.set_partition(source_address(0), partition);
        }
    };
    assert!(is_served(&site, "before").await);
    set_partition(Some(Partition::Reset));
    let partitioned = ("gateway_partitioned", 1.0);
    send_until(&site, "cut", "the gateway is partitioned", partitioned).await;
    assert!(is_served(&site, "relayed").await);
    // An idle relayed connection is kept for a moment after the answer.
    eventually("a connection is relayed", || async {
        is_served(&site, "relayed-again").await;
        (sum_of_relayed(&site.gateways[1..]).await > 0.0).then_some(())
    })
    .await;
    set_partition(None);
    let restored = ("gateway_partitioned", 0.0);
    send_until(&site, "healed", "the gateway is restored", restored).await;
    eventually("no connection is relayed", || async {
        (sum_of_relayed(&site.gateways[1..]).await == 0.0).then_some(())
    })
    .await;
    assert!(is_served(&site, "after").await);
    let lines = site.gateways.remove(0).stop_and_read();
    for state in ["partitioned", "restored"] {
        let is_expected = |line: &Value| line["event"] == "worker_paths" && line["state"] == state;
        assert!(has_line(&lines, is_expected), "{state}: {lines:#?}");
    }
    for (request, is_relayed) in [("before", false), ("relayed", true), ("after", false)] {
        let is_expected = |line: &Value| {
            let is_send = line["event"] == "send" && line["request"] == request;
            let relay = line["relay"].as_str();
            is_send && relay.is_some_and(|relay| relay.is_empty() != is_relayed)
        };
        assert!(has_line(&lines, is_expected), "{request}: {lines:#?}");
    }
}
