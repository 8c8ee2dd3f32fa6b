//! Fleets on one network, where addresses are given to other machines in time.

mod support;

use support::{address, record};
use tansyhall_core::{Duration, FleetId, FleetName, Timestamp};
use tansyhall_membership::{Action, Membership, MembershipSettings};
use tansyhall_proto::{decode_datagram, encode_datagram};

const ZONE: &str = "kalimati";
const NOW: Timestamp = Timestamp::from_millis(1_000);
const PERIOD: Duration = Duration::from_millis(100);
const ROUNDS: u32 = 200;
const FLEET_FIELD_BYTES: usize = 9;

fn named(name: &str) -> FleetId {
    FleetId::of_name(&FleetName::from(name))
}

fn member(index: usize, fleet: FleetId) -> Membership {
    let settings = MembershipSettings {
        fleet,
        ..MembershipSettings::default()
    };
    let seed = u64::try_from(index).expect("a small index");
    Membership::new(settings, record(index, ZONE, 1_000), seed)
}

/// Lets members exchange all their messages for a while; returns how many were passed over.
fn converse(members: &mut [Membership]) -> usize {
    let mut passed_over = 0;
    for round in 0..ROUNDS {
        let now = NOW + PERIOD * round;
        let ticked = members.iter_mut().enumerate();
        let mut pending: Vec<(usize, Vec<Action>)> =
            ticked.map(|(index, it)| (index, it.tick(now))).collect();
        while let Some((from, actions)) = pending.pop() {
            for action in actions {
                match action {
                    Action::Send { to, message } => {
                        let message = decode_datagram(&encode_datagram(&message));
                        let message = message.expect("a message");
                        let to = (0..members.len()).find(|index| address(*index) == to);
                        let to = to.expect("the address of a member");
                        pending.push((to, members[to].receive(now, address(from), message)));
                    }
                    Action::ForeignSender { .. } => passed_over += 1,
                    _ => {}
                }
            }
        }
    }
    passed_over
}

fn known(member: &Membership) -> usize {
    member.members().count()
}

// Guards against two fleets that become one where one has an address of the other.
#[test]
fn fleets_with_names_of_their_own_stay_apart() {
    let mut members = vec![
        member(0, named("valley")),
        member(1, named("valley")),
        member(2, named("hills")),
    ];
    members[0].add_contact(address(1));
    members[0].add_contact(address(2));
    members[2].add_contact(address(0));
    let passed_over = converse(&mut members);
    assert!(passed_over > 0);
    assert_eq!(members.iter().map(known).collect::<Vec<_>>(), [2, 2, 1]);
}

// Guards against a fleet that falls apart while its nodes are given its name one after the other.
#[test]
fn nodes_without_a_name_belong_to_the_fleet_that_is_being_named() {
    let mut members = vec![
        member(0, named("valley")),
        member(1, FleetId::UNNAMED),
        member(2, named("valley")),
    ];
    members[0].add_contact(address(1));
    members[2].add_contact(address(1));
    let passed_over = converse(&mut members);
    assert_eq!(passed_over, 0);
    assert!(members.iter().all(|it| known(it) == 3));
}

#[test]
fn the_fleet_costs_each_datagram_the_same_few_bytes_in_zones_of_any_size() {
    for size in [3, 30] {
        let lengths = [FleetId::UNNAMED, named("valley")].map(|fleet| {
            let mut first = member(0, fleet);
            for index in 1..size {
                first.add_contact(address(index));
            }
            let sent = first.tick(NOW);
            let lengths = sent.iter().filter_map(|action| match action {
                Action::Send { message, .. } => Some(encode_datagram(message).len()),
                _ => None,
            });
            lengths.collect::<Vec<_>>()
        });
        let [unnamed, named] = lengths;
        assert!(!unnamed.is_empty());
        let longer = unnamed.iter().map(|length| length + FLEET_FIELD_BYTES);
        assert_eq!(longer.collect::<Vec<_>>(), named);
    }
}
