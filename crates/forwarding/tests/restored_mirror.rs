//! Mirrors of a store that is restored from backups.

use std::collections::BTreeMap;

use proptest::prelude::*;
use tansyhall_fixed_cases::config_with_seed;
use tansyhall_forwarding::{Item, Mirror, MirrorChange, MirrorUpdate, Position, Snapshot};

/// Seed of the property test.
const SEED: u64 = 20_261_206;
/// The number of gateways that mirror the store and update each other.
const GATEWAYS: usize = 3;

/// A store and the backup that it may be restored from.
#[derive(Debug, Clone, Default)]
struct Store {
    epoch: u64,
    revision: u64,
    items: BTreeMap<u8, (Vec<u8>, u64, u64)>,
    backup: Option<Box<Store>>,
}

impl Store {
    fn write(&mut self, key: u8, value: u8) {
        self.revision += 1;
        let created = self.items.get(&key).map_or(self.revision, |item| item.2);
        let item = (vec![value], self.revision, created);
        self.items.insert(key, item);
    }

    fn remove(&mut self, key: u8) {
        self.revision += 1;
        self.items.remove(&key);
    }

    fn back_up(&mut self) {
        self.backup = None;
        self.backup = Some(Box::new(self.clone()));
    }

    fn restore(&mut self) {
        if let Some(backup) = self.backup.take() {
            let epoch = self.epoch + 1;
            *self = Store { epoch, ..*backup };
        }
    }

    fn snapshot(&self) -> Snapshot {
        let item = |(key, (value, revision, created)): (&u8, &(Vec<u8>, u64, u64))| Item {
            key: format!("key-{key}"),
            value: value.clone(),
            written: Position::new(self.epoch, *revision),
            created: *created,
        };
        Snapshot {
            items: self.items.iter().map(item).collect(),
            position: Position::new(self.epoch, self.revision),
        }
    }
}

/// Returns the items of a mirror without the epochs in which they were seen.
fn contents(mirror: &Mirror) -> Vec<(String, Vec<u8>, u64, u64)> {
    let items = mirror.snapshot().items.into_iter();
    let contents = items.map(|item| (item.key, item.value, item.written.revision, item.created));
    contents.collect()
}

#[derive(Debug, Clone)]
enum Step {
    Write(u8, u8),
    Remove(u8),
    BackUp,
    Restore,
    /// A gateway reads the store.
    Read(usize),
    /// The first gateway requests an update from the second one.
    Request(usize, usize),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let gateway = 0..GATEWAYS;
    let step = prop_oneof![
        6 => (0_u8..6, 0_u8..2).prop_map(|(key, value)| Step::Write(key, value)),
        2 => (0_u8..6).prop_map(Step::Remove),
        1 => Just(Step::BackUp),
        1 => Just(Step::Restore),
        3 => gateway.clone().prop_map(Step::Read),
        4 => (gateway.clone(), gateway).prop_map(|(follower, relay)| Step::Request(follower, relay)),
    ];
    prop::collection::vec(step, 1..200)
}

proptest! {
    #![proptest_config(config_with_seed(SEED))]

    #[test]
    fn gateways_that_read_the_store_and_update_each_other_converge_to_the_store(steps in steps()) {
        let mut store = Store::default();
        store.write(0, 0);
        let mut mirrors: Vec<Mirror> = (0..GATEWAYS).map(|_| Mirror::default()).collect();
        for step in steps {
            match step {
                Step::Write(key, value) => store.write(key, value),
                Step::Remove(key) => store.remove(key),
                Step::BackUp => store.back_up(),
                Step::Restore => store.restore(),
                Step::Read(gateway) => {
                    mirrors[gateway].replace(store.snapshot());
                }
                Step::Request(follower, relay) => {
                    let update = mirrors[relay].update_after(mirrors[follower].position());
                    if let Some(update) = update {
                        mirrors[follower].apply_update(update);
                        prop_assert_eq!(contents(&mirrors[follower]), contents(&mirrors[relay]));
                    }
                }
            }
            for mirror in &mirrors {
                if mirror.position() == store.snapshot().position {
                    let mut read = Mirror::default();
                    read.replace(store.snapshot());
                    prop_assert_eq!(contents(mirror), contents(&read));
                }
            }
        }
    }
}

fn item(number: usize, position: Position) -> Item {
    Item {
        key: format!("key-{number:05}"),
        value: vec![7; 20],
        written: position,
        created: 1,
    }
}

/// Guards against a restore after which every follower receives a snapshot: the size of an update must depend on the
/// number of lost changes, not on the size of the store.
#[test]
fn after_a_restore_followers_receive_only_the_lost_changes_at_any_size() {
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
        let MirrorUpdate::Changes { changes, .. } = &update else {
            panic!("got a snapshot of {entries} entries");
        };
        assert_eq!(changes.len(), LOST);
        follower.apply_update(update);
        assert_eq!(follower.snapshot(), relay.snapshot());
    }
}

/// Guards against a follower that keeps items which the store lost in a restore, because the follower had seen more
/// changes than its relay before the restore.
#[test]
fn a_follower_that_had_seen_more_than_its_relay_receives_a_snapshot() {
    let read = |items: Vec<Item>, position| Snapshot { items, position };
    let old = Position::new(0, 10);
    let mut relay = Mirror::default();
    relay.replace(read(vec![item(1, old)], old));
    let mut follower = Mirror::default();
    let lost = Position::new(0, 11);
    follower.replace(read(vec![item(1, old), item(2, lost)], lost));
    relay.replace(read(vec![item(1, old)], Position::new(1, 10)));
    let update = relay.update_after(follower.position()).expect("something");
    assert!(matches!(update, MirrorUpdate::Snapshot(_)));
    follower.apply_update(update);
    assert_eq!(follower.get("key-00002"), None);
}

/// Guards against gateways that remain in an old epoch because the restore lost no changes.
#[test]
fn a_restore_without_lost_changes_is_reported_too() {
    let read = |epoch| Snapshot {
        items: vec![item(1, Position::new(epoch, 10))],
        position: Position::new(epoch, 10),
    };
    let mut relay = Mirror::default();
    relay.replace(read(0));
    let mut follower = Mirror::default();
    follower.replace(read(0));
    assert!(relay.replace(read(1)).has_changes());
    let update = relay.update_after(follower.position()).expect("something");
    assert!(follower.apply_update(update).has_changes());
    assert_eq!(follower.position(), Position::new(1, 10));
}
