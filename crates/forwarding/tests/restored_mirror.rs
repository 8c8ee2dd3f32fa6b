//! Copies of a store that is restored from earlier copies of itself.

use tansyhall_forwarding::{Item, Mirror, MirrorChange, Position, Snapshot, Update};

fn item(number: usize, position: Position) -> Item {
    Item {
        key: format!("key-{number:05}"),
        value: vec![7; 20],
        written: position,
        created: 1,
    }
}

/// Guards against a restore that costs every follower the whole copy: what they are told grows with what was lost.
#[test]
fn after_a_restore_followers_are_told_as_much_as_was_lost_at_any_size() {
    const LOST: usize = 5;
    for entries in [300, 3_000] {
        let before = Position::new(0, 10);
        let items: Vec<Item> = (0..entries).map(|number| item(number, before)).collect();
        let read = Snapshot {
            items: items.clone(),
            position: before,
        };
        let mut relay = Mirror::default();
        relay.replace(read.clone());
        let mut follower = Mirror::default();
        follower.replace(read);
        let lost: Vec<MirrorChange> = (0..LOST)
            .map(|number| MirrorChange::Written(item(number, Position::new(0, 11))))
            .collect();
        for mirror in [&mut relay, &mut follower] {
            mirror.apply(lost.clone(), Position::new(0, 11));
        }
        let restored = items.into_iter().map(|one| Item {
            written: Position::new(1, one.written.revision),
            ..one
        });
        relay.replace(Snapshot {
            items: restored.collect(),
            position: Position::new(1, 10),
        });
        let update = relay.update_after(follower.position()).expect("something");
        let Update::Changes { changes, .. } = &update else {
            panic!("the whole copy of {entries} entries");
        };
        assert_eq!(changes.len(), LOST);
        follower.take_in(update);
        assert_eq!(follower.snapshot(), relay.snapshot());
    }
}

/// Guards against a follower that keeps what the store has lost, as it had seen more of it than its relay.
#[test]
fn a_follower_that_had_seen_more_than_its_relay_is_told_everything() {
    let read = |items: Vec<Item>, position| Snapshot { items, position };
    let old = Position::new(0, 10);
    let mut relay = Mirror::default();
    relay.replace(read(vec![item(1, old)], old));
    let mut follower = Mirror::default();
    let lost = Position::new(0, 11);
    follower.replace(read(vec![item(1, old), item(2, lost)], lost));
    relay.replace(read(vec![item(1, old)], Position::new(1, 10)));
    let update = relay.update_after(follower.position()).expect("something");
    assert!(matches!(update, Update::Whole(_)));
    follower.take_in(update);
    assert_eq!(follower.get("key-00002"), None);
}
