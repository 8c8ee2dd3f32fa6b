//! Encoding and decoding of mirror updates between gateways.

use std::time::Duration;

use prost::Message;
use tansyhall_forwarding::{Item, MirrorChange, MirrorUpdate, Position, Snapshot};
use tansyhall_gateway::deflated_values::DeflatedValues;
use tansyhall_gateway::store_contact::Testimony;
use tansyhall_gateway::update_message::{Incomplete, ReceivedUpdate, UpdateHead, UpdateMessage};

const AGE: Duration = Duration::from_millis(420);
/// The epoch of the updates.
const EPOCH: u64 = 3;
const TESTIMONY: Testimony = Testimony {
    available_for: Duration::from_secs(90),
    returned_before: None,
};
const HEAD: UpdateHead = UpdateHead {
    epoch: EPOCH,
    spans_gap: true,
    testimony: Some(TESTIMONY),
    waited: Some(Duration::from_millis(210)),
};

fn at(revision: u64) -> Position {
    Position::new(EPOCH, revision)
}

fn item(number: usize) -> Item {
    Item {
        key: format!("key-{number}"),
        value: vec![7; number],
        // Some items were first seen in this state before the store was restored, in the previous epoch.
        written: Position::new(EPOCH - number as u64 % 2, number as u64 + 1),
        created: 1,
    }
}

fn snapshot(items: usize) -> MirrorUpdate {
    MirrorUpdate::Snapshot(Snapshot {
        items: (0..items).map(item).collect(),
        position: at(99),
    })
}

fn changes() -> MirrorUpdate {
    MirrorUpdate::Changes {
        changes: vec![
            MirrorChange::Written(item(3)),
            MirrorChange::Removed {
                key: "key-1".into(),
                at: at(8),
            },
        ],
        position: at(8),
        spans_gap: true,
    }
}

fn transported(update: Option<MirrorUpdate>) -> Result<ReceivedUpdate, Incomplete> {
    let bytes = UpdateMessage::new(update, AGE, &mut DeflatedValues::default()).encode_to_vec();
    let message = UpdateMessage::decode(bytes.as_slice()).expect("valid message");
    message.into_update(HEAD)
}

#[test]
fn an_update_is_unchanged_after_encoding_and_decoding() {
    for update in [None, Some(snapshot(12)), Some(snapshot(0)), Some(changes())] {
        let received = ReceivedUpdate {
            update: update.clone(),
            epoch: EPOCH,
            age: AGE,
            waited: HEAD.waited,
            testimony: HEAD.testimony,
        };
        assert_eq!(transported(update), Ok(received));
    }
}

/// Guards against late updates behind a long configuration: one of 1,965 routes occupied the 10 Mbit/s link of a relay
/// for seconds, and its subscribers learned three seconds late which workers were leaving.
#[test]
fn a_long_configuration_is_compressed_and_unchanged_after_decoding() {
    let route = |number: usize| {
        format!(
            "{{\"name\":\"route-{}\",\"host\":\"host-{}.example\",\"kind\":\"streaming\"}}",
            number * 7919,
            number % 40
        )
    };
    let routes: Vec<String> = (0..2_000).map(route).collect();
    let long = Item {
        key: "configuration".into(),
        value: routes.join(",").into_bytes(),
        written: at(5),
        created: 1,
    };
    let update = MirrorUpdate::Changes {
        changes: vec![MirrorChange::Written(long.clone())],
        position: at(5),
        spans_gap: true,
    };
    let mut deflated = DeflatedValues::default();
    for _ in 0..2 {
        let bytes = UpdateMessage::new(Some(update.clone()), AGE, &mut deflated).encode_to_vec();
        assert!(bytes.len() * 4 < long.value.len(), "{}", bytes.len());
        let message = UpdateMessage::decode(bytes.as_slice()).expect("valid message");
        let received = message.into_update(HEAD).expect("complete message");
        assert_eq!(received.update, Some(update.clone()));
    }
}

#[test]
fn a_corrupted_value_is_rejected() {
    let mut long = item(1);
    long.value = (0..9_000).map(|byte| (byte % 13) as u8).collect();
    let update = MirrorUpdate::Snapshot(Snapshot {
        items: vec![long],
        position: at(9),
    });
    let mut message = UpdateMessage::new(Some(update), AGE, &mut DeflatedValues::default());
    assert!(message.items[0].deflated);
    message.items[0].value.truncate(20);
    assert_eq!(message.into_update(HEAD), Err(Incomplete));
}

/// Guards against truncated updates that pass for complete ones. An HTTP client may treat a truncated body as complete,
/// and a message that is truncated between two fields still decodes. Even an empty message does, and would mean that
/// there are no changes and that its sender is up to date.
#[test]
fn a_truncated_update_is_rejected() {
    for update in [None, Some(snapshot(12)), Some(changes())] {
        let bytes = UpdateMessage::new(update, AGE, &mut DeflatedValues::default()).encode_to_vec();
        for length in 0..bytes.len() {
            if let Ok(message) = UpdateMessage::decode(&bytes[..length]) {
                assert_eq!(message.into_update(HEAD), Err(Incomplete), "{length}");
            }
        }
    }
}
