//! Usage by tenant, by separate processes: every request is reported once, whatever dies meanwhile.

use std::collections::BTreeMap;

use tansyhall_platform_standin::{Behaviour, OperationsFault, TenantPlan, UsageCall};
use tansyhall_testing::eventually;

use crate::support::{ask_with_key, Site};

const ECHO: Behaviour = Behaviour::Serve { events: 0 };

fn tenants() -> [TenantPlan; 2] {
    let tenant = |name, key| TenantPlan {
        name,
        keys: vec![key],
    };
    [tenant("depot", "k-1"), tenant("desk", "k-2")]
}

/// What was reported of each window. A repeat must say the same.
fn reported(calls: &[UsageCall]) -> BTreeMap<u64, BTreeMap<String, u64>> {
    let mut windows = BTreeMap::new();
    for call in calls {
        let known = windows.entry(call.window).or_insert(call.counts.clone());
        assert_eq!(*known, call.counts, "window {} is told twice", call.window);
    }
    windows
}

fn total(calls: &[UsageCall], tenant: &str) -> u64 {
    let windows = reported(calls);
    let counts = windows.values().filter_map(|counts| counts.get(tenant));
    counts.sum()
}

async fn until_reported(site: &Site, depot: u64, desk: u64) {
    eventually("every request is reported", || async {
        let calls = site.operations.usage();
        let all = (total(&calls, "depot"), total(&calls, "desk"));
        (all == (depot, desk)).then_some(())
    })
    .await;
}

async fn ask_often(site: &Site, round: &str, times: usize) {
    for number in 0..times {
        for (index, gateway) in site.gateways.iter().enumerate() {
            let id = format!("{round}-{number}-{index}");
            assert_eq!(ask_with_key(gateway, &id, "k-1").await.status, 200);
        }
        let id = format!("{round}-{number}-desk");
        let answer = ask_with_key(&site.gateways[0], &id, "k-2").await;
        assert_eq!(answer.status, 200);
    }
}

#[actix_rt::test]
async fn every_request_is_reported_once_though_answers_are_lost() {
    let site = Site::start(&[("app", None, ECHO)], 2).await;
    site.configure_tenants(&tenants()).await;
    site.operations.set_fault(OperationsFault::LoseAnswers);
    ask_often(&site, "first", 10).await;
    until_reported(&site, 20, 10).await;
    site.operations.set_fault(OperationsFault::None);
    ask_often(&site, "second", 5).await;
    until_reported(&site, 30, 15).await;
}

#[actix_rt::test]
async fn the_next_holder_reports_what_a_killed_one_left() {
    let mut site = Site::start(&[("app", None, ECHO)], 3).await;
    site.configure_tenants(&tenants()).await;
    ask_often(&site, "first", 4).await;
    until_reported(&site, 12, 4).await;
    let holder = site.operations.usage()[0].holder.clone();
    let index = holder.trim_start_matches("gateway-").parse::<usize>();
    let killed = site.gateways.remove(index.expect("a gateway's number"));
    drop(killed);
    ask_often(&site, "second", 4).await;
    until_reported(&site, 20, 8).await;
    let calls = site.operations.usage();
    let fences: Vec<u64> = calls.iter().map(|call| call.fence).collect();
    assert!(fences.is_sorted(), "{fences:?}");
    assert!(calls.iter().any(|call| call.holder != holder));
}

#[actix_rt::test]
async fn what_was_counted_outlives_every_gateway() {
    let mut site = Site::start(&[("app", None, ECHO)], 2).await;
    site.configure_tenants(&tenants()).await;
    site.operations.set_fault(OperationsFault::Refuse);
    ask_often(&site, "first", 4).await;
    site.until_collected(12).await;
    site.restart_all_gateways();
    site.operations.set_fault(OperationsFault::None);
    until_reported(&site, 8, 4).await;
}
