//! Gateways whose announcements are gone remain known for a while, for questions about the store.

use std::time::Duration;

use tansyhall_core::{Timestamp, ZoneName};
use tansyhall_gateway::fleet::Fleet;
use tansyhall_gateway::presence::Member;

fn member(name: &str, port: u16) -> Member {
    Member {
        name: name.into(),
        peer_address: ([127, 0, 0, 1], port).into(),
        load_address: ([127, 0, 0, 1], port).into(),
        zone: Some(ZoneName::new("z")),
        capacity: 1.0,
    }
}

fn ports(fleet: &Fleet) -> Vec<u16> {
    let members = fleet.recent_members();
    let mut ports: Vec<u16> = members.map(|member| member.peer_address.port()).collect();
    ports.sort_unstable();
    ports
}

/// Guards against a gateway that can ask none of those that the store ignored before, because their announcements have
/// expired.
#[test]
fn a_gateway_whose_announcement_is_gone_is_remembered_for_a_while() {
    let start = Timestamp::from_millis(1_000);
    let fleet = Fleet::new(vec![member("a", 1), member("b", 2)]);
    let fleet = fleet.succeeded_by(start, vec![member("a", 1)]);
    assert_eq!(fleet.len(), 1);
    assert_eq!(ports(&fleet), [1, 2]);
    let returned = fleet.succeeded_by(start, vec![member("a", 1), member("b", 3)]);
    assert_eq!(ports(&returned), [1, 3]);
    let later = start + Duration::from_secs(120);
    assert_eq!(ports(&fleet.succeeded_by(later, vec![member("a", 1)])), [1]);
}
