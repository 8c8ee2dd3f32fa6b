//! A mirror that applies a peer's updates has the same contents as the peer's mirror.

use proptest::prelude::*;
use tansyhall_fixed_cases::config_with_seed;
use tansyhall_forwarding::{Item, Mirror, MirrorChange, MirrorUpdate, Position, Snapshot, Touched};

/// Seed of the property test.
const SEED: u64 = 20_261_204;

/// A position in the first epoch.
fn at(revision: u64) -> Position {
    Position::new(0, revision)
}

fn written(key: u8, revision: u64) -> MirrorChange {
    MirrorChange::Written(Item {
        key: format!("key-{key}"),
        value: vec![key; 3],
        written: at(revision),
        created: 1,
    })
}

fn removed(key: u8, revision: u64) -> MirrorChange {
    MirrorChange::Removed {
        key: format!("key-{key}"),
        at: at(revision),
    }
}

/// A mirror that was read once, at revision 1.
fn read_mirror() -> Mirror {
    let mut mirror = Mirror::default();
    mirror.replace(Snapshot {
        items: Vec::new(),
        position: at(1),
    });
    mirror
}

proptest! {
    #![proptest_config(config_with_seed(SEED))]

    #[test]
    fn a_peer_that_updates_occasionally_has_the_same_contents(
        steps in prop::collection::vec((0_u8..12, any::<bool>(), 0_u8..4), 1..900),
    ) {
        let mut source = read_mirror();
        let mut peer = Mirror::default();
        let mut revision = 1;
        for (key, is_written, draw) in steps {
            revision += 1;
            let change = match is_written {
                true => written(key, revision),
                false => removed(key, revision),
            };
            source.apply(vec![change], at(revision));
            if draw == 0 {
                let update = source.update_after(peer.position());
                peer.apply_update(update.expect("something new"));
                prop_assert_eq!(peer.snapshot(), source.snapshot());
            }
        }
    }
}

#[test]
fn a_peer_that_is_up_to_date_gets_no_update() {
    assert_eq!(read_mirror().update_after(at(1)), None);
}

#[test]
fn a_peer_that_lacks_few_changes_gets_only_those() {
    let mut source = read_mirror();
    source.apply(vec![written(1, 2), written(2, 3)], at(3));
    let update = MirrorUpdate::Changes {
        changes: vec![written(2, 3)],
        position: at(3),
        spans_gap: false,
    };
    assert_eq!(source.update_after(at(2)), Some(update));
}

#[test]
fn a_peer_beyond_the_history_gets_a_snapshot() {
    let mut source = read_mirror();
    for revision in 2..2_000 {
        source.apply(vec![written(1, revision)], at(revision));
    }
    assert!(matches!(
        source.update_after(at(1)),
        Some(MirrorUpdate::Snapshot(_))
    ));
}

#[test]
fn large_changes_are_dropped_from_the_history_sooner() {
    let mut source = read_mirror();
    for revision in 2..6 {
        let item = Item {
            key: "large".into(),
            value: vec![0; 400_000],
            written: at(revision),
            created: 1,
        };
        source.apply(vec![MirrorChange::Written(item)], at(revision));
    }
    assert!(matches!(
        source.update_after(at(1)),
        Some(MirrorUpdate::Snapshot(_))
    ));
    assert!(matches!(
        source.update_after(at(4)),
        Some(MirrorUpdate::Changes { .. })
    ));
}

/// A mirror that was filled from a snapshot again, because the store had compacted its history, sends its followers the
/// difference.
#[test]
fn a_mirror_that_was_replaced_sends_its_followers_the_difference() {
    const ITEMS: usize = 1_000;
    let item = |number: usize, revision: u64| Item {
        key: format!("key-{number}"),
        value: vec![7; 20],
        written: at(revision),
        created: 1,
    };
    let before = Snapshot {
        items: (0..ITEMS).map(|number| item(number, 1)).collect(),
        position: at(10),
    };
    let mut source = Mirror::default();
    source.replace(before.clone());
    let mut peer = Mirror::default();
    peer.replace(before);
    let mut items: Vec<Item> = (1..ITEMS).map(|number| item(number, 1)).collect();
    items[5] = item(6, 15);
    items.push(item(ITEMS, 12));
    let after = Snapshot {
        items,
        position: at(20),
    };
    let touched = source.replace(after.clone());
    assert!(touched.covers("key-0") && touched.covers("key-6") && !touched.covers("key-1"));
    let update = source.update_after(peer.position()).expect("something new");
    let MirrorUpdate::Changes { changes, .. } = &update else {
        panic!("got a snapshot");
    };
    assert_eq!(changes.len(), 3);
    peer.apply_update(update);
    assert_eq!(peer.snapshot(), source.snapshot());
    let mut fresh = Mirror::default();
    fresh.replace(after);
    assert_eq!(fresh.snapshot(), source.snapshot());
}

/// Guards against the loss of an announcement, such as that of a departure, which another change of the same update
/// replaces.
#[test]
fn the_states_between_two_changes_of_one_update_are_reported_in_order() {
    let mut mirror = read_mirror();
    mirror.apply(vec![written(1, 2), written(2, 3)], at(3));
    let update = vec![written(1, 4), written(1, 5), removed(1, 6), removed(2, 7)];
    let Touched::Changes { keys, intermediate } = mirror.apply(update, at(7)) else {
        panic!("nothing was touched");
    };
    assert_eq!(keys.len(), 2);
    let states = intermediate.iter();
    let states: Vec<_> = states.map(|item| (&*item.key, item.written)).collect();
    assert_eq!(states, [("key-1", at(4)), ("key-1", at(5))]);
}
