//! Tests the bound on the delay with which a gateway learns of a change of the store.

use std::time::Duration;

use tansyhall_core::Timestamp;
use tansyhall_gateway::store_contact::StoreContact;

const EPOCH: u64 = 1;

/// Guards against an old entry that counts as new, because the gateway learns of it when the store is
/// reachable again or when the gateway itself runs again.
#[test]
fn a_change_may_be_as_old_as_the_answer_before_the_last_one() {
    let contact = StoreContact::default();
    let at = Timestamp::from_millis;
    contact.record_answer(at(10_000), Duration::ZERO, EPOCH, None);
    contact.record_answer(at(10_100), Duration::ZERO, EPOCH, None);
    assert_eq!(
        contact.longest_delay(at(10_100)),
        Duration::from_millis(100)
    );
    contact.record_answer(at(14_000), Duration::ZERO, EPOCH, None);
    assert_eq!(
        contact.longest_delay(at(14_000)),
        Duration::from_millis(3_900)
    );
}

/// Guards against a relay whose information is old: the change may be older than the relay's answer.
#[test]
fn a_change_from_a_relay_may_be_as_old_as_what_the_relay_knew_before() {
    let contact = StoreContact::default();
    let at = Timestamp::from_millis;
    contact.record_answer(at(10_000), Duration::from_millis(700), EPOCH, None);
    contact.record_answer(at(10_100), Duration::from_millis(50), EPOCH, None);
    assert_eq!(
        contact.longest_delay(at(10_100)),
        Duration::from_millis(800)
    );
}
