//! Copies of the store on their way between gateways.

use prost::Message;
use tansyhall_forwarding::{Item, Snapshot};
use tansyhall_gateway::peers::{CopyMessage, Incomplete};

fn snapshot(items: usize) -> Snapshot {
    let item = |number: usize| Item {
        key: format!("key-{number}"),
        value: vec![7; number],
        revision: number as u64 + 1,
        created: 1,
    };
    Snapshot {
        items: (0..items).map(item).collect(),
        revision: 99,
    }
}

#[test]
fn a_copy_survives_its_way() {
    let bytes = CopyMessage::from(snapshot(12)).encode_to_vec();
    let message = CopyMessage::decode(bytes.as_slice()).expect("a message");
    assert_eq!(Snapshot::try_from(message), Ok(snapshot(12)));
}

/// A client may take a body that was cut short for a whole one, and a message that is cut between
/// two of its items decodes.
#[test]
fn a_copy_that_was_cut_short_is_refused() {
    let bytes = CopyMessage::from(snapshot(12)).encode_to_vec();
    for length in 0..bytes.len() {
        if let Ok(message) = CopyMessage::decode(&bytes[..length]) {
            let taken = Snapshot::try_from(message);
            let is_empty = taken
                .as_ref()
                .is_ok_and(|snapshot| snapshot.items.is_empty());
            assert!(
                is_empty || matches!(taken, Err(Incomplete { .. })),
                "{length}"
            );
        }
    }
}
