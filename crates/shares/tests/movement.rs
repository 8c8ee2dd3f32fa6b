//! Checks that shares move to the nodes with demand and become available again after a node crashes,
//! what a node may use while it reaches no owner, and the message load of the protocol in a large
//! fleet.

mod support;

use std::collections::BTreeMap;

use support::Fleet;
use tansyhall_core::TenantName;
use tansyhall_shares::{LimitKey, LimitKind};

const LIMIT: u64 = 100_000;
const KEY: LimitKey = LimitKey(5);
/// Longer than the loan TTL, the grant TTL and the renewal interval together.
const SETTLED_SECONDS: usize = 60;

fn fleet(nodes: usize) -> Fleet {
    Fleet::new(nodes, BTreeMap::from([(KEY, LIMIT)]))
}

#[test]
fn a_single_node_has_the_whole_limit_at_once() {
    assert_eq!(fleet(1).usable(0, KEY), LIMIT);
}

#[test]
fn a_share_follows_the_demand() {
    let mut fleet = fleet(4);
    fleet.run_seconds(SETTLED_SECONDS, &[(0, KEY, 2 * LIMIT)]);
    let retained_part = LIMIT / 16;
    assert_eq!(fleet.usable(0, KEY), LIMIT - 3 * retained_part);
    fleet.run_seconds(SETTLED_SECONDS, &[(1, KEY, 2 * LIMIT)]);
    assert_eq!(fleet.usable(0, KEY), retained_part);
    assert_eq!(fleet.usable(1, KEY), LIMIT - 3 * retained_part);
}

#[test]
fn nodes_with_excess_demand_get_equal_shares() {
    let mut fleet = fleet(4);
    let wants = [
        (0, KEY, 2 * LIMIT),
        (1, KEY, 2 * LIMIT),
        (2, KEY, LIMIT / 10),
    ];
    fleet.run_seconds(2 * SETTLED_SECONDS, &wants);
    assert_eq!(fleet.usable(0, KEY), fleet.usable(1, KEY));
    assert_eq!(fleet.usable(2, KEY), LIMIT / 10);
    assert_eq!(fleet.total_usable(KEY), LIMIT);
}

#[test]
fn shares_granted_to_a_crashed_node_become_available_again() {
    let mut fleet = fleet(4);
    fleet.run_seconds(SETTLED_SECONDS, &[(0, KEY, 2 * LIMIT)]);
    fleet.set_running(0, false);
    for survivor in 1..4 {
        fleet.set_view(survivor, &[1, 2, 3]);
    }
    fleet.run_seconds(2 * SETTLED_SECONDS, &[(1, KEY, 2 * LIMIT)]);
    let base_share = LIMIT / 4;
    let retained_part = LIMIT / 16;
    assert_eq!(fleet.usable(1, KEY), LIMIT - base_share - 2 * retained_part);
}

#[test]
fn a_node_that_reaches_no_owner_falls_back_to_its_base_share() {
    let mut fleet = fleet(4);
    fleet.run_seconds(SETTLED_SECONDS, &[(0, KEY, LIMIT / 2)]);
    for other in 1..4 {
        fleet.set_running(other, false);
    }
    fleet.run_seconds(SETTLED_SECONDS, &[(0, KEY, 2 * LIMIT)]);
    let usable = fleet.usable(0, KEY);
    assert!(usable >= LIMIT / 16, "less than the retained part");
    assert!(usable <= LIMIT / 4, "more than the base share");
}

#[test]
fn a_restarted_owner_receives_loans_again() {
    let mut fleet = fleet(4);
    fleet.run_seconds(SETTLED_SECONDS, &[(0, KEY, 2 * LIMIT)]);
    for index in 0..4 {
        fleet.restart(index);
        assert!(fleet.total_usable(KEY) <= LIMIT);
        fleet.run_seconds(2 * SETTLED_SECONDS, &[(0, KEY, 2 * LIMIT)]);
    }
    assert_eq!(fleet.usable(0, KEY), LIMIT - 3 * (LIMIT / 16));
}

#[test]
fn message_rate_and_size_are_bounded_in_a_large_fleet() {
    const NODES: usize = 320;
    const TENANTS: usize = 300;
    const NODES_PER_TENANT: usize = 20;
    const WINDOW_SECONDS: usize = 32;
    let kinds = [
        LimitKind::RequestsPerSecond,
        LimitKind::TokensPerSecond,
        LimitKind::Concurrent,
    ];
    let mut limits = BTreeMap::new();
    let mut wants = Vec::new();
    for tenant in 0..TENANTS {
        let name = TenantName::new(format!("tenant-{tenant}"));
        for kind in kinds {
            let key = LimitKey::new(&name, None, kind);
            limits.insert(key, 10 * LIMIT);
            let nodes = (0..NODES_PER_TENANT).map(|index| (tenant * 7 + index * 16) % NODES);
            wants.extend(nodes.map(|node| (node, key, LIMIT / 2)));
        }
    }
    let mut fleet = Fleet::new(NODES, limits);
    fleet.run_seconds(WINDOW_SECONDS, &wants);
    fleet.sent.clear();
    fleet.run_seconds(WINDOW_SECONDS, &wants);
    let messages = fleet.sent.len();
    let sizes = || fleet.sent.iter().map(|sent| sent.bytes);
    let bytes: usize = sizes().sum();
    let largest = sizes().max().unwrap_or(0);
    let bytes_from = |node: usize| {
        let sent_by_node = fleet.sent.iter().filter(|sent| sent.from == node);
        sent_by_node.map(|sent| sent.bytes).sum::<usize>()
    };
    let busiest = (0..NODES).map(bytes_from).max().unwrap_or(0);
    let node_seconds = (NODES * WINDOW_SECONDS) as f64;
    println!(
        "{:.2} messages and {:.0} bytes per second and node; largest message {largest} bytes; \
         busiest node sends {:.0} bytes per second",
        messages as f64 / node_seconds,
        bytes as f64 / node_seconds,
        busiest as f64 / WINDOW_SECONDS as f64,
    );
    assert!(
        messages < 5 * NODES * WINDOW_SECONDS,
        "five or more messages per second and node"
    );
    assert!(largest <= 1_200, "a message does not fit into one datagram");
}
