//! Which versions a gateway names in the store, so that they are known after the loss of all gateways.

use std::time::Duration;

use tansyhall_core::{ServiceName, Timestamp};
use tansyhall_forwarding::{
    Position, ServedVersion, ServedVersions, SoftwareVersion, LATEST_RETURN, RECORD_LIFETIME,
};

const NOW: Duration = Duration::ZERO;
/// Longer than a write takes to become visible.
const RETRY: u64 = 3;

fn second(seconds: u64) -> Timestamp {
    Timestamp(seconds * 1_000_000)
}

fn served(version: &str) -> ServedVersion {
    ServedVersion {
        service: ServiceName::new("llm"),
        version: SoftwareVersion::from(version),
    }
}

/// Returns whether a gateway that writes after this delay has to write the version, which was last seen this long ago.
fn is_due(versions: &mut ServedVersions, now: u64, (age, delay): (Duration, u64)) -> bool {
    let delay = Duration::from_secs(delay);
    let due = versions.take_due(second(now), [(served("v1"), age)], |_| Some(delay));
    due == [served("v1")]
}

fn set_recorded(versions: &mut ServedVersions, now: u64, at: Position) {
    versions.set_recorded(second(now), at, [(served("v1"), at)]);
}

/// Guards against a version that is unknown after the loss of all gateways because its first write came late or failed.
#[test]
fn a_version_that_is_not_in_the_store_is_written_at_once_and_until_it_is_visible() {
    let mut versions = ServedVersions::default();
    versions.set_recorded(second(0), Position::new(0, 1), []);
    assert!(is_due(&mut versions, 0, (NOW, 0)));
    assert!(!is_due(&mut versions, RETRY - 1, (NOW, 0)));
    assert!(is_due(&mut versions, RETRY, (NOW, 0)));
    set_recorded(&mut versions, RETRY, Position::new(0, 7));
    assert!(!is_due(&mut versions, 3 * RETRY, (NOW, 0)));
}

#[test]
fn other_recorders_write_only_what_the_first_has_not() {
    let mut versions = ServedVersions::default();
    assert!(!is_due(&mut versions, 0, (NOW, 3)));
    assert!(is_due(&mut versions, 3, (NOW, 3)));
    let nobody = versions.take_due(second(60), [(served("v1"), NOW)], |_| None);
    assert!(nobody.is_empty());
}

/// Guards against an item that ends while callers of its version may still return.
#[test]
fn the_item_of_a_version_that_serves_outlives_it_by_the_latest_return() {
    let mut versions = ServedVersions::default();
    versions.set_recorded(second(0), Position::new(0, 1), []);
    set_recorded(&mut versions, 1, Position::new(0, 2));
    let ends = 1 + RECORD_LIFETIME.as_secs();
    let latest_write = ends - LATEST_RETURN.as_secs();
    let rewritten = (2..latest_write).find(|now| is_due(&mut versions, *now, (NOW, 0)));
    assert!(rewritten.is_some_and(|now| now + RECORD_LIFETIME.as_secs() / 20 < latest_write));
    set_recorded(&mut versions, latest_write, Position::new(0, 3));
    assert!(!is_due(&mut versions, latest_write + RETRY, (NOW, 0)));
}

/// Guards against items that never end after their version has left, so that nothing can be concluded any more.
#[test]
fn the_item_of_a_version_that_has_left_is_not_written_again() {
    let mut versions = ServedVersions::default();
    set_recorded(&mut versions, 0, Position::new(0, 1));
    let left = Duration::from_secs(10);
    assert!(!is_due(&mut versions, 1, (left, 0)));
    assert!(!is_due(&mut versions, RECORD_LIFETIME.as_secs(), (left, 0)));
}

/// Guards against a version that a restored store has lost, or whose item ends sooner there.
#[test]
fn what_a_restored_store_has_lost_is_written_again() {
    let mut versions = ServedVersions::default();
    versions.set_recorded(second(0), Position::new(1, 1), []);
    set_recorded(&mut versions, 1, Position::new(1, 8));
    assert!(!is_due(&mut versions, 2, (NOW, 0)));
    set_recorded(&mut versions, 2, Position::new(2, 5));
    assert!(is_due(&mut versions, 2, (NOW, 0)));
    versions.set_recorded(second(2), Position::new(3, 2), []);
    assert!(is_due(&mut versions, 2 + RETRY, (LATEST_RETURN, 0)));
    let too_late = LATEST_RETURN + Duration::from_secs(1);
    assert!(!is_due(&mut versions, 2 + 2 * RETRY, (too_late, 0)));
}

#[test]
fn the_number_and_length_of_names_is_bounded() {
    let mut versions = ServedVersions::default();
    let position = Position::new(0, 1);
    let many = (0..40).map(|number| (served(&number.to_string()), position));
    versions.set_recorded(second(0), position, many);
    assert!(!is_due(&mut versions, 1, (NOW, 0)));
    let long = "v".repeat(257);
    let mut versions = ServedVersions::default();
    let due = versions.take_due(second(0), [(served(&long), NOW)], |_| Some(NOW));
    assert!(due.is_empty());
}
