//! Updates of copies of the store on their way between gateways.

use std::time::Duration;

use prost::Message;
use tansyhall_forwarding::{Item, MirrorChange, Snapshot, Update};
use tansyhall_gateway::copy_message::{Incomplete, Received, UpdateMessage};

const AGE: Duration = Duration::from_millis(420);

fn item(number: usize) -> Item {
    Item {
        key: format!("key-{number}"),
        value: vec![7; number],
        revision: number as u64 + 1,
        created: 1,
    }
}

fn whole(items: usize) -> Update {
    Update::Whole(Snapshot {
        items: (0..items).map(item).collect(),
        revision: 99,
    })
}

fn changes() -> Update {
    Update::Changes {
        changes: vec![
            MirrorChange::Written(item(3)),
            MirrorChange::Removed {
                key: "key-1".into(),
                revision: 8,
            },
        ],
        revision: 8,
    }
}

fn transported(update: Option<Update>) -> Result<Received, Incomplete> {
    let bytes = UpdateMessage::new(update, AGE).encode_to_vec();
    let message = UpdateMessage::decode(bytes.as_slice()).expect("a message");
    message.into_received()
}

#[test]
fn an_update_survives_its_way() {
    for update in [None, Some(whole(12)), Some(whole(0)), Some(changes())] {
        let received = Received {
            update: update.clone(),
            age: AGE,
        };
        assert_eq!(transported(update), Ok(received));
    }
}

/// A client may take a body that was cut short for a whole one, and a message that is cut between
/// two of its fields decodes: also an empty one, which would say that its sender is up to date.
#[test]
fn an_update_that_was_cut_short_is_refused() {
    for update in [None, Some(whole(12)), Some(changes())] {
        let bytes = UpdateMessage::new(update, AGE).encode_to_vec();
        for length in 0..bytes.len() {
            if let Ok(message) = UpdateMessage::decode(&bytes[..length]) {
                assert_eq!(message.into_received(), Err(Incomplete), "{length}");
            }
        }
    }
}
