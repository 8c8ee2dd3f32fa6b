//! Shares move to where the demand is, come back from nodes that die, and what a node may use
//! while it is cut off; and what the protocol costs at the size of a large fleet.

mod support;

use std::collections::BTreeMap;

use support::Fleet;
use tansyhall_core::TenantName;
use tansyhall_shares::{LimitKey, LimitKind};

const LIMIT: u64 = 100_000;
const KEY: LimitKey = LimitKey(5);
/// Longer than a loan, a grant and a renewal together.
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
    fleet.seconds(SETTLED_SECONDS, &[(0, KEY, 2 * LIMIT)]);
    let idle_part = LIMIT / 16;
    assert_eq!(fleet.usable(0, KEY), LIMIT - 3 * idle_part);
    fleet.seconds(SETTLED_SECONDS, &[(1, KEY, 2 * LIMIT)]);
    assert_eq!(fleet.usable(0, KEY), idle_part);
    assert_eq!(fleet.usable(1, KEY), LIMIT - 3 * idle_part);
}

#[test]
fn nodes_that_want_too_much_are_held_to_the_same_share() {
    let mut fleet = fleet(4);
    let wants = [
        (0, KEY, 2 * LIMIT),
        (1, KEY, 2 * LIMIT),
        (2, KEY, LIMIT / 10),
    ];
    fleet.seconds(2 * SETTLED_SECONDS, &wants);
    assert_eq!(fleet.usable(0, KEY), fleet.usable(1, KEY));
    assert_eq!(fleet.usable(2, KEY), LIMIT / 10);
    assert_eq!(fleet.usable_in_all(KEY), LIMIT);
}

#[test]
fn what_was_granted_to_a_node_that_died_comes_back() {
    let mut fleet = fleet(4);
    fleet.seconds(SETTLED_SECONDS, &[(0, KEY, 2 * LIMIT)]);
    fleet.set_running(0, false);
    for survivor in 1..4 {
        fleet.view(survivor, &[1, 2, 3]);
    }
    fleet.seconds(2 * SETTLED_SECONDS, &[(1, KEY, 2 * LIMIT)]);
    let home = LIMIT / 4;
    let idle_part = LIMIT / 16;
    assert_eq!(fleet.usable(1, KEY), LIMIT - home - 2 * idle_part);
}

#[test]
fn a_node_that_reaches_no_owner_falls_back_to_its_home_share() {
    let mut fleet = fleet(4);
    fleet.seconds(SETTLED_SECONDS, &[(0, KEY, LIMIT / 2)]);
    for other in 1..4 {
        fleet.set_running(other, false);
    }
    fleet.seconds(SETTLED_SECONDS, &[(0, KEY, 2 * LIMIT)]);
    let own_part = fleet.usable(0, KEY);
    assert!(own_part >= LIMIT / 16, "its retained part at least");
    assert!(own_part <= LIMIT / 4, "its home share at most");
}

#[test]
fn a_restarted_owner_is_lent_to_again() {
    let mut fleet = fleet(4);
    fleet.seconds(SETTLED_SECONDS, &[(0, KEY, 2 * LIMIT)]);
    for index in 0..4 {
        fleet.restart(index);
        assert!(fleet.usable_in_all(KEY) <= LIMIT);
        fleet.seconds(2 * SETTLED_SECONDS, &[(0, KEY, 2 * LIMIT)]);
    }
    assert_eq!(fleet.usable(0, KEY), LIMIT - 3 * (LIMIT / 16));
}

#[test]
fn messages_of_a_large_fleet_stay_few_and_small() {
    const NODES: usize = 320;
    const TENANTS: usize = 300;
    const NODES_OF_A_TENANT: usize = 20;
    const WINDOW: usize = 32;
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
            let nodes = (0..NODES_OF_A_TENANT).map(|place| (tenant * 7 + place * 16) % NODES);
            wants.extend(nodes.map(|node| (node, key, LIMIT / 2)));
        }
    }
    let mut fleet = Fleet::new(NODES, limits);
    fleet.seconds(WINDOW, &wants);
    fleet.sent.clear();
    fleet.seconds(WINDOW, &wants);
    let messages = fleet.sent.len();
    let sizes = || fleet.sent.iter().map(|sent| sent.bytes);
    let bytes: usize = sizes().sum();
    let largest = sizes().max().unwrap_or(0);
    let bytes_from = |node: usize| {
        let own = fleet.sent.iter().filter(|sent| sent.from == node);
        own.map(|sent| sent.bytes).sum::<usize>()
    };
    let busiest = (0..NODES).map(bytes_from).max().unwrap_or(0);
    let node_seconds = (NODES * WINDOW) as f64;
    println!(
        "{:.2} messages and {:.0} bytes a second for each node; largest {largest} bytes; \
         the busiest node sends {:.0} bytes a second",
        messages as f64 / node_seconds,
        bytes as f64 / node_seconds,
        busiest as f64 / WINDOW as f64,
    );
    assert!(
        messages < 5 * NODES * WINDOW,
        "at most five a second for each node"
    );
    assert!(largest <= 1_200, "a message fits one datagram");
}
