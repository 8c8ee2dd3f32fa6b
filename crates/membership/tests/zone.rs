//! Simulates one zone in virtual time: joining, failure detection, restarts, pauses, partitions,
//! leaving, and the control traffic that these cause.

mod support;

use std::collections::BTreeSet;

use support::{record, Network};
use tansyhall_core::{Duration, NodeId};
use tansyhall_membership::{Action, Body, KnownBackend, KnownMachine, MemberState};

const ZONE: &str = "kalimati";
const SIZE: usize = 120;
const TIME_LIMIT: Duration = Duration::from_secs(60);
/// The limit on a node's control traffic, in bytes sent and received per second.
const MAX_CONTROL_BYTES_PER_SECOND: u64 = 3_000;

fn converged(size: usize, seed: u64) -> Network {
    let mut network = Network::new(&[(ZONE, size)], seed);
    let took = network.run_until(TIME_LIMIT, |network| network.has_converged(size));
    println!("{size} members have each other in their tables after {took:?}");
    network
}

#[test]
fn a_killed_member_is_declared_dead_by_all() {
    let mut network = converged(SIZE, 1);
    network.hosts[7].is_running = false;
    let took = network.run_until(TIME_LIMIT, |network| {
        network.all_have_state(7, &[MemberState::Dead])
    });
    println!("all members have declared the killed member dead after {took:?}");
    assert_eq!(network.false_dead_declarations, 0);
}

#[test]
fn no_running_member_is_declared_dead_when_a_tenth_of_the_datagrams_is_lost() {
    let mut network = converged(SIZE, 2);
    network.loss = 0.1;
    network.run(Duration::from_secs(300));
    assert_eq!(network.false_dead_declarations, 0);
    network.hosts[9].is_running = false;
    let took = network.run_until(TIME_LIMIT, |network| {
        network.all_have_state(9, &[MemberState::Dead])
    });
    println!("with loss, all members have declared the killed member dead after {took:?}");
    assert_eq!(network.false_dead_declarations, 0);
}

#[test]
fn control_traffic_of_members_stays_within_the_limit() {
    for size in [16, 64, SIZE] {
        let mut network = converged(size, 3);
        // All members started at once. Waits until the resulting changes are no longer propagated.
        network.run(Duration::from_secs(150));
        network.reset_byte_counts();
        network.run(Duration::from_secs(60));
        let bytes = network.bytes_per_second(60);
        let maximum = bytes.iter().max().copied().unwrap_or_default();
        let mean = bytes.iter().sum::<u64>() / bytes.len() as u64;
        println!("{size} members: {mean} B/s on average, maximum {maximum} B/s");
        assert!(maximum < MAX_CONTROL_BYTES_PER_SECOND);
    }
}

#[test]
fn a_restarted_member_is_a_new_incarnation() {
    let mut network = converged(SIZE, 4);
    network.hosts[5].is_running = false;
    network.run(Duration::from_secs(1));
    network.restart(5, ZONE, 2_000_000, 0);
    network.run_until(TIME_LIMIT, |network| {
        network.hosts.iter().all(|host| {
            let mut members = host.membership.members();
            members.any(|it| it.name.as_str() == "node-005" && it.incarnation.0 >= 2_000_000)
        })
    });
    network.run_until(TIME_LIMIT, |network| network.has_converged(SIZE));
}

#[test]
fn a_dead_member_is_not_kept_alive_by_a_new_member_at_its_address() {
    let mut network = converged(SIZE, 12);
    network.replace_with_other_name(5, "node-new", ZONE, 2_000_000);
    let all_others_have_state = |network: &Network, name: &str, states: &[MemberState]| {
        let mut others = network.hosts.iter().filter(|host| {
            let mut members = host.membership.members();
            let record = members.find(|record| record.name.as_str() == name);
            !record.is_some_and(|record| states.contains(&record.state))
        });
        others.next().is_none()
    };
    network.run_until(TIME_LIMIT, |network| {
        all_others_have_state(network, "node-new", &[MemberState::Alive])
    });
    network.run_until(TIME_LIMIT, |network| {
        !network.hosts.iter().any(|host| {
            let mut members = host.membership.members();
            members.any(|it| it.name.as_str() == "node-005" && it.is_reachable())
        })
    });
    assert!(all_others_have_state(
        &network,
        "node-new",
        &[MemberState::Alive]
    ));
}

#[test]
fn probes_of_different_incarnations_have_different_sequence_numbers() {
    let sequence_numbers = |incarnation| {
        let mut network = converged(2, 13);
        network.restart(1, ZONE, incarnation, 0);
        let mut sequence_numbers = BTreeSet::new();
        while sequence_numbers.len() < 20 {
            network.run(Duration::from_millis(50));
            let actions = network.hosts[1].membership.tick(network.now);
            sequence_numbers.extend(actions.iter().filter_map(|action| match action {
                Action::Send { message, .. } => match message.body {
                    Body::Ping { sequence } => Some(sequence),
                    _ => None,
                },
                _ => None,
            }));
            network.execute(1, actions);
        }
        sequence_numbers
    };
    let (earlier, later) = (sequence_numbers(2_000_000), sequence_numbers(9_000_000));
    assert!(earlier.is_disjoint(&later), "{earlier:?} {later:?}");
}

#[test]
fn a_paused_member_rejoins_without_declaring_others_dead() {
    let mut network = converged(SIZE, 5);
    network.hosts[3].is_running = false;
    network.run_until(TIME_LIMIT, |network| {
        network.all_have_state(3, &[MemberState::Dead])
    });
    network.hosts[3].is_running = true;
    network.run_until(TIME_LIMIT, |network| network.has_converged(SIZE));
    network.run(Duration::from_secs(30));
    assert_eq!(
        network.false_dead_declarations, 0,
        "the resumed member declared a running member dead"
    );
    assert!(network.hosts[3].membership.statistics().pauses > 0);
    assert!(network.hosts[3].membership.statistics().refutations > 0);
}

#[test]
fn a_suspicion_held_by_a_paused_member_can_be_refuted_after_the_pause() {
    let mut network = converged(16, 10);
    network.hosts[2].is_running = false;
    network.run_until(TIME_LIMIT, |network| {
        network.state(1, 2) == Some(MemberState::Suspect)
    });
    network.hosts[1].is_running = false;
    network.hosts[2].is_running = true;
    network.run(Duration::from_secs(60));
    network.hosts[1].is_running = true;
    network.run_until(TIME_LIMIT, |network| network.has_converged(16));
    assert_eq!(network.false_dead_declarations, 0);
}

#[test]
fn a_zone_converges_after_a_network_partition() {
    let mut network = converged(SIZE, 6);
    network.isolated = (0..SIZE / 3).collect();
    network.run(Duration::from_secs(120));
    assert_eq!(network.state(0, SIZE - 1), Some(MemberState::Dead));
    network.isolated.clear();
    let took = network.run_until(TIME_LIMIT, |network| network.has_converged(SIZE));
    println!("the zone has converged after the partition in {took:?}");
}

#[test]
fn leaving_is_known_to_all_within_three_seconds() {
    let mut network = converged(SIZE, 7);
    network.loss = 0.1;
    let now = network.now;
    let actions = network.hosts[11].membership.leave(now);
    network.execute(11, actions);
    let limit = Duration::from_secs(3);
    let took = network.run_until(limit, |network| {
        network.all_have_state(11, &[MemberState::Leaving, MemberState::Dead])
    });
    println!("all members have the leaving member as leaving after {took:?}");
    network.hosts[11].is_running = false;
    network.run_until(TIME_LIMIT, |network| {
        network.all_have_state(11, &[MemberState::Dead])
    });
}

#[test]
fn a_leaving_mark_of_the_machine_list_is_propagated_and_does_not_apply_to_a_later_incarnation() {
    let mut network = converged(10, 8);
    let listed = record(4, ZONE, 0);
    let machine = KnownMachine {
        name: listed.name,
        zone: listed.zone,
        peers: listed.addresses.peers,
        is_leaving: true,
    };
    let observe = |network: &mut Network| {
        let now = network.now;
        let membership = &mut network.hosts[0].membership;
        let actions = membership.observe_machines(now, std::slice::from_ref(&machine));
        network.execute(0, actions);
    };
    observe(&mut network);
    network.run_until(Duration::from_secs(3), |network| {
        network.all_have_state(4, &[MemberState::Leaving]) && network.hosts[4].was_asked_to_leave
    });
    network.restart(4, ZONE, 2_000_000, 0);
    network.run_until(TIME_LIMIT, |network| network.has_converged(10));
    observe(&mut network);
    network.run(Duration::from_secs(5));
    assert!(network.all_have_state(4, &[MemberState::Alive]));
}

#[test]
fn a_leaving_back_end_is_known_to_all_within_three_seconds() {
    let mut network = converged(60, 11);
    network.loss = 0.1;
    let list = |leaving| KnownBackend {
        name: "engine-0".into(),
        is_leaving: leaving,
    };
    let hosts_with_mark = |network: &Network| {
        let hosts = network.hosts.iter();
        let knows = hosts.filter(|host| host.membership.leaving_backends().count() == 1);
        knows.count()
    };
    let observe = |network: &mut Network, leaving| {
        for index in 0..60 {
            let now = network.now;
            let membership = &mut network.hosts[index].membership;
            let actions = membership.observe_backends(now, &[list(leaving)]);
            network.execute(index, actions);
        }
    };
    observe(&mut network, true);
    assert_eq!(
        hosts_with_mark(&network),
        1,
        "only the first relay creates marks"
    );
    let limit = Duration::from_secs(3);
    let took = network.run_until(limit, |network| hosts_with_mark(network) == 60);
    println!("all members have the leaving back end as leaving after {took:?}");
    network.restart(7, ZONE, 2_000_000, 0);
    network.run_until(TIME_LIMIT, |network| hosts_with_mark(network) == 60);
    observe(&mut network, false);
    network.run_until(TIME_LIMIT, |network| hosts_with_mark(network) == 0);
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
        .find(|index| network.hosts[*index].membership.own_record().name == before[0][0])
        .expect("the first relay is a member");
    network.hosts[watcher].is_running = false;
    network.run_until(TIME_LIMIT, |network| {
        relays(network).iter().all(|names| names[0] == before[0][1])
    });
}
