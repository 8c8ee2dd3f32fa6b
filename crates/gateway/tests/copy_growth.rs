//! What a relay sends to its subscribers, and how often it works for it, as the store grows.

use std::collections::BTreeSet;
use std::time::Duration;

use prost::Message;
use tansyhall_forwarding::{Item, Mirror, MirrorChange, MirrorUpdate, Position, Snapshot};
use tansyhall_gateway::deflated_values::DeflatedValues;
use tansyhall_gateway::update_cache::{CopyAnswer, CopyAnswers, DeflatedUpdate};
use tansyhall_gateway::update_message::{Incomplete, UpdateHead, UpdateMessage};

const AGE: Duration = Duration::from_millis(420);
/// Subscribers of a relay.
const SUBSCRIBERS: usize = 64;
/// The most that an entry may take on its way, in bytes: a fifth of what it takes in the store.
const MOST_ENTRY_BYTES: usize = 50;

/// A position in the first epoch.
fn at(revision: u64) -> Position {
    Position::new(0, revision)
}

/// An entry as workers write it; addresses, zones and names are all that differ.
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

fn copy(entries: usize) -> Mirror {
    let mut mirror = Mirror::default();
    mirror.replace(Snapshot {
        items: (0..entries).map(|number| entry(number, 1)).collect(),
        position: at(1),
    });
    mirror
}

fn change(mirror: &mut Mirror, number: usize) {
    let revision = mirror.position().revision + 1;
    let changed = MirrorChange::Written(entry(number, revision));
    mirror.apply(vec![changed], at(revision));
}

fn deflated(answer: CopyAnswer) -> DeflatedUpdate {
    match answer {
        CopyAnswer::Deflated(update) => update,
        other => panic!("{other:?}"),
    }
}

#[test]
fn a_whole_copy_takes_a_fifth_of_what_the_store_holds_at_any_size() {
    for entries in [300, 3_000] {
        let mirror = copy(entries);
        let answer = deflated(CopyAnswers::default().after(&mirror, at(0)));
        let bytes = UpdateMessage::deflated(answer, AGE).encode_to_vec();
        assert!(
            bytes.len() <= entries * MOST_ENTRY_BYTES,
            "{} bytes for {entries} entries",
            bytes.len()
        );
        let message = UpdateMessage::decode(bytes.as_slice()).expect("a message");
        let received = message
            .into_received(UpdateHead::default())
            .expect("complete");
        let whole = MirrorUpdate::Snapshot(mirror.snapshot());
        assert_eq!((received.update, received.age), (Some(whole), AGE));
    }
}

#[test]
fn a_copy_that_changes_is_deflated_whole_once_for_all_who_start() {
    let mut mirror = copy(1_000);
    let mut answers = CopyAnswers::default();
    let mut handed_over = BTreeSet::new();
    for subscriber in 0..SUBSCRIBERS {
        change(&mut mirror, subscriber);
        let whole = deflated(answers.after(&mirror, at(0)));
        handed_over.insert(whole.position);
        let mut own = Mirror::default();
        let message = UpdateMessage::deflated(whole, AGE);
        own.apply_update(
            message
                .into_received(UpdateHead::default())
                .expect("complete")
                .update
                .expect("one"),
        );
        let rest = mirror.update_after(own.position());
        assert!(
            !matches!(rest, Some(MirrorUpdate::Snapshot(_))),
            "the rest is handed over whole"
        );
        if let Some(rest) = rest {
            own.apply_update(rest);
        }
        assert_eq!(own.snapshot(), mirror.snapshot());
    }
    assert_eq!(handed_over.len(), 1, "deflated anew for some");
}

#[test]
fn a_gateway_that_lacks_fewer_changes_than_there_are_items_gets_just_those() {
    let mut mirror = copy(2_000);
    (0..1_900).for_each(|number| change(&mut mirror, number));
    let update = deflated(CopyAnswers::default().after(&mirror, at(1)));
    assert!(!update.whole);
    assert!(update.items.len() <= 1_900 * MOST_ENTRY_BYTES);
}

#[test]
fn subscribers_that_lack_the_same_get_the_same_bytes() {
    let mut mirror = copy(100);
    (0..20).for_each(|number| change(&mut mirror, number));
    let mut answers = CopyAnswers::default();
    let first = deflated(answers.after(&mirror, at(1)));
    let second = deflated(answers.after(&mirror, at(1)));
    assert_eq!(first.items.as_ptr(), second.items.as_ptr());
    change(&mut mirror, 50);
    let third = deflated(answers.after(&mirror, at(1)));
    assert_eq!(third.position, mirror.position());
}

#[test]
fn deflated_items_that_were_cut_short_are_refused() {
    let answer = deflated(CopyAnswers::default().after(&copy(20), at(0)));
    let bytes = UpdateMessage::deflated(answer, AGE).encode_to_vec();
    for length in 0..bytes.len() {
        if let Ok(message) = UpdateMessage::decode(&bytes[..length]) {
            assert_eq!(
                message.into_received(UpdateHead::default()),
                Err(Incomplete),
                "{length}"
            );
        }
    }
    let nothing = UpdateMessage::new(None, AGE, &mut DeflatedValues::default());
    assert_eq!(
        nothing
            .into_received(UpdateHead::default())
            .expect("complete")
            .update,
        None
    );
}

/// Guards against a follower that is handed the same older copy again and again, as it stands where its relay never was.
#[test]
fn a_whole_copy_that_does_not_lead_on_is_not_handed_out_again() {
    for (restored, stands) in [(at(5), at(3)), (Position::new(1, 1), at(3))] {
        let mut mirror = copy(1_000);
        let mut answers = CopyAnswers::default();
        let first = deflated(answers.after(&mirror, at(0)));
        assert_eq!(first.position, at(1));
        mirror.replace(Snapshot {
            items: (1..1_000).map(|number| entry(number, 1)).collect(),
            position: restored,
        });
        let second = deflated(answers.after(&mirror, stands));
        assert!(second.whole);
        assert_eq!(second.position, restored);
        let fresh = deflated(answers.after(&mirror, at(0)));
        assert_eq!(fresh.position, restored);
    }
}
