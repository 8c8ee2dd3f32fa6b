//! A peer that takes updates in holds the same copy as the one that gives them.

use proptest::prelude::*;
use tansyhall_fixed_cases::fixed_cases;
use tansyhall_forwarding::{Item, Mirror, MirrorChange, Position, Snapshot, Update};

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
    #![proptest_config(fixed_cases(SEED))]

    #[test]
    fn a_peer_that_asks_now_and_then_has_the_same_copy(
        steps in prop::collection::vec((0_u8..12, any::<bool>(), 0_u8..4), 1..900),
    ) {
        let mut source = read_mirror();
        let mut peer = Mirror::default();
        let mut revision = 1;
        for (key, is_written, asks) in steps {
            revision += 1;
            let change = match is_written {
                true => written(key, revision),
                false => removed(key, revision),
            };
            source.apply(vec![change], at(revision));
            if asks == 0 {
                let update = source.update_after(peer.position());
                peer.take_in(update.expect("something new"));
                prop_assert_eq!(peer.snapshot(), source.snapshot());
            }
        }
    }
}

#[test]
fn a_peer_that_is_up_to_date_lacks_nothing() {
    assert_eq!(read_mirror().update_after(at(1)), None);
}

#[test]
fn a_peer_that_has_nearly_all_gets_just_the_changes() {
    let mut source = read_mirror();
    source.apply(vec![written(1, 2), written(2, 3)], at(3));
    let update = Update::Changes {
        changes: vec![written(2, 3)],
        position: at(3),
        skips: false,
    };
    assert_eq!(source.update_after(at(2)), Some(update));
}

#[test]
fn a_peer_whose_changes_are_forgotten_gets_everything() {
    let mut source = read_mirror();
    for revision in 2..2_000 {
        source.apply(vec![written(1, revision)], at(revision));
    }
    assert!(matches!(source.update_after(at(1)), Some(Update::Whole(_))));
}

#[test]
fn large_changes_are_forgotten_sooner() {
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
    assert!(matches!(source.update_after(at(1)), Some(Update::Whole(_))));
    assert!(matches!(
        source.update_after(at(4)),
        Some(Update::Changes { .. })
    ));
}

/// A copy that was read whole again, as the store had forgotten its history, tells its followers the difference.
#[test]
fn a_copy_that_was_replaced_tells_its_followers_the_difference() {
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
    let Update::Changes { changes, .. } = &update else {
        panic!("the whole copy");
    };
    assert_eq!(changes.len(), 3);
    peer.take_in(update);
    assert_eq!(peer.snapshot(), source.snapshot());
    let mut fresh = Mirror::default();
    fresh.replace(after);
    assert_eq!(fresh.snapshot(), source.snapshot());
}
