//! Sizes of the updates that a relay sends to its subscribers, and reuse of its compression work, as the store grows.

use std::collections::BTreeSet;
use std::time::Duration;

use prost::Message;
use tansyhall_forwarding::{Item, Mirror, MirrorChange, MirrorUpdate, Position, Snapshot};
use tansyhall_gateway::deflated_values::DeflatedValues;
use tansyhall_gateway::update_cache::{DeflatedUpdate, UpdateAnswer, UpdateCache};
use tansyhall_gateway::update_message::{Incomplete, UpdateHead, UpdateMessage};

const AGE: Duration = Duration::from_millis(420);
/// Number of subscribers of the relay.
const SUBSCRIBERS: usize = 64;
/// Maximum size of an entry in a deflated update, in bytes: a fifth of its size in the store.
const MAX_DEFLATED_ENTRY_BYTES: usize = 50;

/// Returns a position in the first epoch.
fn at(revision: u64) -> Position {
    Position::new(0, revision)
}

/// Returns an entry as workers write it. Entries differ only in addresses, zones, names and start times.
fn entry(number: usize, revision: u64) -> Item {
    let (high, low) = (number >> 8, number & 0xff);
    let name = format!(
        "i-{:010x}",
        (number as u64 + 1).wrapping_mul(0x009E_3779_B97F)
    );
    let value = format!(
        r#"{{"service":"huvo11a","address":"10.{}.{high}.{low}:8045","zone":"zone-{}","version":"v1","slots":12,"state":"ready","cold_left_ms":0,"stage":"decode","models":[{{"name":"m","version":1,"adapters":[]}}],"seq":4,"born":17649{number:08}}}"#,
        number % 6,
        number % 6,
    );
    Item {
        key: format!("servers/{name}"),
        value: value.into_bytes(),
        written: at(revision),
        created: 1,
    }
}

fn mirror_with(entries: usize) -> Mirror {
    let mut mirror = Mirror::default();
    mirror.replace(Snapshot {
        items: (0..entries).map(|number| entry(number, 1)).collect(),
        position: at(1),
    });
    mirror
}

fn change_entry(mirror: &mut Mirror, number: usize) {
    let revision = mirror.position().revision + 1;
    let changed = MirrorChange::Written(entry(number, revision));
    mirror.apply(vec![changed], at(revision));
}

fn expect_deflated(answer: UpdateAnswer) -> DeflatedUpdate {
    match answer {
        UpdateAnswer::Deflated(update) => update,
        other => panic!("{other:?}"),
    }
}

#[test]
fn a_deflated_snapshot_takes_at_most_a_fifth_of_its_size_in_the_store() {
    for entries in [300, 3_000] {
        let mirror = mirror_with(entries);
        let answer = expect_deflated(UpdateCache::default().update_after(&mirror, at(0)));
        let bytes = UpdateMessage::deflated(answer, AGE).encode_to_vec();
        assert!(
            bytes.len() <= entries * MAX_DEFLATED_ENTRY_BYTES,
            "{} bytes for {entries} entries",
            bytes.len()
        );
        let message = UpdateMessage::decode(bytes.as_slice()).expect("valid message");
        let received = message
            .into_update(UpdateHead::default())
            .expect("complete message");
        let snapshot = MirrorUpdate::Snapshot(mirror.snapshot());
        assert_eq!((received.update, received.age), (Some(snapshot), AGE));
    }
}

#[test]
fn one_deflated_snapshot_serves_all_new_subscribers_of_a_changing_mirror() {
    let mut mirror = mirror_with(1_000);
    let mut cache = UpdateCache::default();
    let mut snapshot_positions = BTreeSet::new();
    for subscriber in 0..SUBSCRIBERS {
        change_entry(&mut mirror, subscriber);
        let snapshot = expect_deflated(cache.update_after(&mirror, at(0)));
        snapshot_positions.insert(snapshot.position);
        let mut subscriber_mirror = Mirror::default();
        let message = UpdateMessage::deflated(snapshot, AGE);
        subscriber_mirror.apply_update(
            message
                .into_update(UpdateHead::default())
                .expect("complete message")
                .update
                .expect("update"),
        );
        let remaining = mirror.update_after(subscriber_mirror.position());
        assert!(
            !matches!(remaining, Some(MirrorUpdate::Snapshot(_))),
            "remaining changes are sent as another snapshot"
        );
        if let Some(remaining) = remaining {
            subscriber_mirror.apply_update(remaining);
        }
        assert_eq!(subscriber_mirror.snapshot(), mirror.snapshot());
    }
    assert_eq!(
        snapshot_positions.len(),
        1,
        "snapshot was deflated more than once"
    );
}

#[test]
fn a_subscriber_that_lacks_fewer_changes_than_there_are_items_receives_only_the_changes() {
    let mut mirror = mirror_with(2_000);
    (0..1_900).for_each(|number| change_entry(&mut mirror, number));
    let update = expect_deflated(UpdateCache::default().update_after(&mirror, at(1)));
    assert!(!update.is_snapshot);
    assert!(update.items.len() <= 1_900 * MAX_DEFLATED_ENTRY_BYTES);
}

#[test]
fn subscribers_that_lack_the_same_changes_share_one_buffer() {
    let mut mirror = mirror_with(100);
    (0..20).for_each(|number| change_entry(&mut mirror, number));
    let mut cache = UpdateCache::default();
    let first = expect_deflated(cache.update_after(&mirror, at(1)));
    let second = expect_deflated(cache.update_after(&mirror, at(1)));
    assert_eq!(first.items.as_ptr(), second.items.as_ptr());
    change_entry(&mut mirror, 50);
    let third = expect_deflated(cache.update_after(&mirror, at(1)));
    assert_eq!(third.position, mirror.position());
}

#[test]
fn truncated_deflated_items_are_rejected() {
    let answer = expect_deflated(UpdateCache::default().update_after(&mirror_with(20), at(0)));
    let bytes = UpdateMessage::deflated(answer, AGE).encode_to_vec();
    for length in 0..bytes.len() {
        if let Ok(message) = UpdateMessage::decode(&bytes[..length]) {
            assert_eq!(
                message.into_update(UpdateHead::default()),
                Err(Incomplete),
                "{length}"
            );
        }
    }
    let nothing = UpdateMessage::new(None, AGE, &mut DeflatedValues::default());
    assert_eq!(
        nothing
            .into_update(UpdateHead::default())
            .expect("complete message")
            .update,
        None
    );
}

/// Guards against a subscriber that receives the same outdated snapshot again and again, because its mirror is at a
/// position that the relay's mirror never had.
#[test]
fn a_snapshot_that_does_not_help_the_subscriber_is_not_sent_again() {
    for (new_position, subscriber_position) in [(at(5), at(3)), (Position::new(1, 1), at(3))] {
        let mut mirror = mirror_with(1_000);
        let mut cache = UpdateCache::default();
        let first = expect_deflated(cache.update_after(&mirror, at(0)));
        assert_eq!(first.position, at(1));
        mirror.replace(Snapshot {
            items: (1..1_000).map(|number| entry(number, 1)).collect(),
            position: new_position,
        });
        let second = expect_deflated(cache.update_after(&mirror, subscriber_position));
        assert!(second.is_snapshot);
        assert_eq!(second.position, new_position);
        let fresh = expect_deflated(cache.update_after(&mirror, at(0)));
        assert_eq!(fresh.position, new_position);
    }
}
