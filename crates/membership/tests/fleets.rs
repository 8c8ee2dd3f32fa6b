//! Several fleets on one network, on which addresses are eventually reassigned to other machines.

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

fn fleet_named(name: &str) -> FleetId {
    FleetId::of_name(&FleetName::from(name))
}

fn member(index: usize, fleet: FleetId) -> Membership {
    let settings = MembershipSettings {
        fleet,
        ..MembershipSettings::default()
    };
    let seed = u64::try_from(index).expect("index fits into u64");
    Membership::new(settings, record(index, ZONE, 1_000), seed)
}

/// Lets members exchange messages for a number of rounds. Returns how many messages were ignored.
fn exchange_messages(members: &mut [Membership]) -> usize {
    let mut ignored = 0;
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
                        let message = message.expect("datagram decodes");
                        let to = (0..members.len()).find(|index| address(*index) == to);
                        let to = to.expect("message is sent to the address of a member");
                        pending.push((to, members[to].receive(now, address(from), message)));
                    }
                    Action::ForeignSender { .. } => ignored += 1,
                    _ => {}
                }
            }
        }
    }
    ignored
}

fn known_members(member: &Membership) -> usize {
    member.members().count()
}

// Guards against two fleets that merge because a node of one has an address of the other as a
// contact.
#[test]
fn fleets_with_different_names_do_not_merge() {
    let mut members = vec![
        member(0, fleet_named("valley")),
        member(1, fleet_named("valley")),
        member(2, fleet_named("hills")),
    ];
    members[0].add_contact(address(1));
    members[0].add_contact(address(2));
    members[2].add_contact(address(0));
    let ignored = exchange_messages(&mut members);
    assert!(ignored > 0);
    assert_eq!(
        members.iter().map(known_members).collect::<Vec<_>>(),
        [2, 2, 1]
    );
}

// Guards against a fleet that splits while its nodes are configured with its name one after the
// other.
#[test]
fn nodes_without_a_fleet_name_stay_in_the_fleet_while_it_is_being_named() {
    let mut members = vec![
        member(0, fleet_named("valley")),
        member(1, FleetId::UNNAMED),
        member(2, fleet_named("valley")),
    ];
    members[0].add_contact(address(1));
    members[2].add_contact(address(1));
    let ignored = exchange_messages(&mut members);
    assert_eq!(ignored, 0);
    assert!(members.iter().all(|it| known_members(it) == 3));
}

#[test]
fn the_fleet_field_adds_a_fixed_size_to_each_datagram_in_zones_of_any_size() {
    for size in [3, 30] {
        let lengths = [FleetId::UNNAMED, fleet_named("valley")].map(|fleet| {
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
