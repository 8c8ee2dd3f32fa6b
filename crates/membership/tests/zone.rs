//! One zone in virtual time: joining, failure detection, restarts, pauses, partitions, leaving and
//! the bytes that all of this costs.

mod support;

use std::collections::BTreeSet;

use support::{record, Network};
use tansyhall_core::{Duration, NodeId};
use tansyhall_membership::{Action, Body, KnownBackend, KnownMachine, MemberState};

const ZONE: &str = "kalimati";
const SIZE: usize = 120;
const LIMIT: Duration = Duration::from_secs(60);
/// What a node may spend on control, in bytes sent and received a second.
const CONTROL_BYTES_PER_SECOND: u64 = 3_000;

fn converged(size: usize, seed: u64) -> Network {
    let mut network = Network::new(&[(ZONE, size)], seed);
    let took = network.run_until(LIMIT, |network| network.has_converged(size));
    println!("{size} members know each other after {took:?}");
    network
}

#[test]
fn a_killed_member_is_declared_dead_by_all() {
    let mut network = converged(SIZE, 1);
    network.hosts[7].is_running = false;
    let took = network.run_until(LIMIT, |network| network.all_see(7, &[MemberState::Dead]));
    println!("a killed member is dead for all after {took:?}");
    assert_eq!(network.false_deaths, 0);
}

#[test]
fn no_running_member_is_declared_dead_when_a_tenth_of_the_datagrams_is_lost() {
    let mut network = converged(SIZE, 2);
    network.loss = 0.1;
    network.run(Duration::from_secs(300));
    assert_eq!(network.false_deaths, 0);
    network.hosts[9].is_running = false;
    let took = network.run_until(LIMIT, |network| network.all_see(9, &[MemberState::Dead]));
    println!("with loss, a killed member is dead for all after {took:?}");
    assert_eq!(network.false_deaths, 0);
}

#[test]
fn a_member_spends_less_than_its_budget() {
    for size in [16, 64, SIZE] {
        let mut network = converged(size, 3);
        // The members all started at once; let the news of that die down.
        network.run(Duration::from_secs(150));
        network.reset_byte_counts();
        network.run(Duration::from_secs(60));
        let bytes = network.bytes_per_second(60);
        let most = bytes.iter().max().copied().unwrap_or_default();
        let mean = bytes.iter().sum::<u64>() / bytes.len() as u64;
        println!("{size} members: {mean} B/s on average, {most} B/s at most");
        assert!(most < CONTROL_BYTES_PER_SECOND);
    }
}

#[test]
fn a_restarted_member_is_a_new_incarnation() {
    let mut network = converged(SIZE, 4);
    network.hosts[5].is_running = false;
    network.run(Duration::from_secs(1));
    network.restart(5, ZONE, 2_000_000, 0);
    network.run_until(LIMIT, |network| {
        network.hosts.iter().all(|host| {
            let mut members = host.membership.members();
            members.any(|it| it.name.as_str() == "node-005" && it.incarnation.0 >= 2_000_000)
        })
    });
    network.run_until(LIMIT, |network| network.has_converged(SIZE));
}

#[test]
fn a_dead_member_is_not_kept_alive_by_whoever_got_its_address() {
    let mut network = converged(SIZE, 12);
    network.take_over(5, "node-new", ZONE, 2_000_000);
    let is_known = |network: &Network, name: &str, states: &[MemberState]| {
        let mut others = network.hosts.iter().filter(|host| {
            let mut members = host.membership.members();
            let record = members.find(|record| record.name.as_str() == name);
            !record.is_some_and(|record| states.contains(&record.state))
        });
        others.next().is_none()
    };
    network.run_until(LIMIT, |network| {
        is_known(network, "node-new", &[MemberState::Alive])
    });
    network.run_until(LIMIT, |network| {
        !network.hosts.iter().any(|host| {
            let mut members = host.membership.members();
            members.any(|it| it.name.as_str() == "node-005" && it.is_reachable())
        })
    });
    assert!(is_known(&network, "node-new", &[MemberState::Alive]));
}

#[test]
fn probes_of_one_life_are_not_numbered_like_those_of_the_next() {
    let numbers = |incarnation| {
        let mut network = converged(2, 13);
        network.restart(1, ZONE, incarnation, 0);
        let mut numbers = BTreeSet::new();
        while numbers.len() < 20 {
            network.run(Duration::from_millis(50));
            let actions = network.hosts[1].membership.tick(network.now);
            numbers.extend(actions.iter().filter_map(|action| match action {
                Action::Send { message, .. } => match message.body {
                    Body::Ping { sequence } => Some(sequence),
                    _ => None,
                },
                _ => None,
            }));
            network.carry_out(1, actions);
        }
        numbers
    };
    let (earlier, later) = (numbers(2_000_000), numbers(9_000_000));
    assert!(earlier.is_disjoint(&later), "{earlier:?} {later:?}");
}

#[test]
fn a_paused_member_rejoins_without_harm() {
    let mut network = converged(SIZE, 5);
    network.hosts[3].is_running = false;
    network.run_until(LIMIT, |network| network.all_see(3, &[MemberState::Dead]));
    network.hosts[3].is_running = true;
    network.run_until(LIMIT, |network| network.has_converged(SIZE));
    network.run(Duration::from_secs(30));
    assert_eq!(network.false_deaths, 0, "the one that woke accused nobody");
    assert!(network.hosts[3].membership.statistics().pauses > 0);
    assert!(network.hosts[3].membership.statistics().refutations > 0);
}

#[test]
fn a_member_that_was_paused_with_a_suspicion_lets_it_be_refuted() {
    let mut network = converged(16, 10);
    network.hosts[2].is_running = false;
    network.run_until(LIMIT, |network| {
        network.state(1, 2) == Some(MemberState::Suspect)
    });
    network.hosts[1].is_running = false;
    network.hosts[2].is_running = true;
    network.run(Duration::from_secs(60));
    network.hosts[1].is_running = true;
    network.run_until(LIMIT, |network| network.has_converged(16));
    assert_eq!(network.false_deaths, 0);
}

#[test]
fn a_zone_that_was_cut_in_two_finds_together() {
    let mut network = converged(SIZE, 6);
    network.isolated = (0..SIZE / 3).collect();
    network.run(Duration::from_secs(120));
    assert_eq!(network.state(0, SIZE - 1), Some(MemberState::Dead));
    network.isolated.clear();
    let took = network.run_until(LIMIT, |network| network.has_converged(SIZE));
    println!("a healed zone is whole after {took:?}");
}

#[test]
fn leaving_is_known_to_all_within_three_seconds() {
    let mut network = converged(SIZE, 7);
    network.loss = 0.1;
    let now = network.now;
    let actions = network.hosts[11].membership.leave(now);
    network.carry_out(11, actions);
    let limit = Duration::from_secs(3);
    let took = network.run_until(limit, |network| {
        network.all_see(11, &[MemberState::Leaving, MemberState::Dead])
    });
    println!("a leaving member is known to all after {took:?}");
    network.hosts[11].is_running = false;
    network.run_until(LIMIT, |network| network.all_see(11, &[MemberState::Dead]));
}

#[test]
fn a_leaving_mark_of_the_machine_list_spreads_and_spares_a_later_incarnation() {
    let mut network = converged(10, 8);
    let listed = record(4, ZONE, 0);
    let machine = KnownMachine {
        name: listed.name,
        zone: listed.zone,
        peers: listed.addresses.peers,
        leaving: true,
    };
    let observe = |network: &mut Network| {
        let now = network.now;
        let membership = &mut network.hosts[0].membership;
        let actions = membership.observe_machines(now, std::slice::from_ref(&machine));
        network.carry_out(0, actions);
    };
    observe(&mut network);
    network.run_until(Duration::from_secs(3), |network| {
        network.all_see(4, &[MemberState::Leaving]) && network.hosts[4].asked_to_leave
    });
    network.restart(4, ZONE, 2_000_000, 0);
    network.run_until(LIMIT, |network| network.has_converged(10));
    observe(&mut network);
    network.run(Duration::from_secs(5));
    assert!(network.all_see(4, &[MemberState::Alive]));
}

#[test]
fn a_leaving_back_end_is_known_to_all_within_three_seconds() {
    let mut network = converged(60, 11);
    network.loss = 0.1;
    let list = |leaving| KnownBackend {
        name: "engine-0".into(),
        leaving,
    };
    let knowing = |network: &Network| {
        let hosts = network.hosts.iter();
        let knows = hosts.filter(|host| host.membership.leaving_backends().count() == 1);
        knows.count()
    };
    let observe = |network: &mut Network, leaving| {
        for index in 0..60 {
            let now = network.now;
            let membership = &mut network.hosts[index].membership;
            let actions = membership.observe_backends(now, &[list(leaving)]);
            network.carry_out(index, actions);
        }
    };
    observe(&mut network, true);
    assert_eq!(knowing(&network), 1, "only the first relay makes marks");
    let limit = Duration::from_secs(3);
    let took = network.run_until(limit, |network| knowing(network) == 60);
    println!("a leaving back end is known to all after {took:?}");
    network.restart(7, ZONE, 2_000_000, 0);
    network.run_until(LIMIT, |network| knowing(network) == 60);
    observe(&mut network, false);
    network.run_until(LIMIT, |network| knowing(network) == 0);
}

#[test]
fn members_agree_on_the_relays_and_replace_a_dead_one() {
    let mut network = converged(30, 9);
    let relays = |network: &Network| -> Vec<Vec<NodeId>> {
        let running = network.hosts.iter().filter(|host| host.is_running);
        running.map(|host| host.membership.relays()).collect()
    };
    let before = relays(&network);
    assert!(before.iter().all(|names| *names == before[0]));
    let watcher = (0..30)
        .find(|index| network.hosts[*index].membership.own().name == before[0][0])
        .expect("the watcher is a member");
    network.hosts[watcher].is_running = false;
    network.run_until(LIMIT, |network| {
        relays(network).iter().all(|names| names[0] == before[0][1])
    });
}
