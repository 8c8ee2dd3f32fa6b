//! Simulates several zones in virtual time: digests reach every member, and the traffic of each
//! node stays within its limit.

mod support;

use support::{address, Network};
use tansyhall_core::{Duration, Timestamp};
use tansyhall_membership::{ConfigurationStatus, KnownMachine};

const ZONES: [(&str, usize); 5] = [
    ("cluj-a", 64),
    ("cluj-b", 64),
    ("brasov-c", 64),
    ("kalimati", 64),
    ("thimi", 64),
];
const TIME_LIMIT: Duration = Duration::from_secs(60);
/// The limit on a node's control traffic, in bytes sent and received per second.
const MAX_CONTROL_BYTES_PER_SECOND: u64 = 3_000;

fn machine(index: usize, zone: &str) -> KnownMachine {
    KnownMachine {
        name: format!("node-{index:03}").as_str().into(),
        zone: zone.into(),
        peers: address(index),
        is_leaving: false,
    }
}

/// Creates all zones. The machine list of each member contains one node per zone.
fn network() -> Network {
    let mut network = Network::new(&ZONES, 1);
    let listed: Vec<KnownMachine> = ZONES
        .iter()
        .enumerate()
        .map(|(zone, (name, size))| machine(zone * size, name))
        .collect();
    for host in &mut network.hosts {
        let actions = host.membership.observe_machines(Timestamp(0), &listed);
        assert!(actions.is_empty());
    }
    network
}

fn all_know_every_zone(network: &Network) -> bool {
    let others = ZONES.len() - 1;
    let mut hosts = network.hosts.iter();
    hosts.all(|host| host.membership.zone_digests().count() == others)
}

#[test]
fn every_member_receives_the_digest_and_newest_revision_of_every_zone() {
    let mut network = network();
    network.run_until(TIME_LIMIT, all_know_every_zone);
    let now = network.now;
    let status = ConfigurationStatus {
        revision: 42,
        confirmation_age: Duration::ZERO,
    };
    for host in network.hosts.iter_mut().take(64) {
        host.membership.set_configuration(now, status);
    }
    network.run_until(TIME_LIMIT, |network| {
        network.hosts.iter().skip(64).all(|host| {
            let mut digests = host.membership.zone_digests();
            digests.any(|it| it.zone.as_str() == "cluj-a" && it.configuration_revision == 42)
        })
    });
}

#[test]
fn zones_discover_each_other_through_one_contact() {
    let mut network = Network::new(&ZONES, 2);
    let took = network.run_until(TIME_LIMIT, all_know_every_zone);
    println!("every member knows every zone after {took:?}");
}

#[test]
fn control_traffic_of_relays_stays_within_the_limit() {
    let mut network = network();
    network.run_until(TIME_LIMIT, all_know_every_zone);
    network.run(Duration::from_secs(60));
    network.reset_byte_counts();
    network.run(Duration::from_secs(60));
    let bytes = network.bytes_per_second(60);
    let maximum = bytes.iter().max().copied().unwrap_or_default();
    let mean = bytes.iter().sum::<u64>() / bytes.len() as u64;
    println!("320 members in 5 zones: {mean} B/s on average, maximum {maximum} B/s");
    assert!(maximum < MAX_CONTROL_BYTES_PER_SECOND);
}
