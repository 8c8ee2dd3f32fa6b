//! What gateways tell each other of engines' caches.

use prost::Message;
use tansyhall_gateway::cache_recovery::CachesMessage;
use tansyhall_gateway::load_messages::PartMessage;

fn message(recovered: bool) -> CachesMessage {
    let part = PartMessage {
        worker: 1,
        part: 2,
        tokens: 13_300,
        ready: true,
    };
    let message = CachesMessage {
        parts: vec![part],
        recovered,
    };
    CachesMessage::decode(message.encode_to_vec().as_slice()).expect("a message")
}

/// The fault: after the loss of all gateways, those that came back a moment later took the few prompts
/// that the first ones had read for all there was to know, and engines were not asked.
#[test]
fn a_gateway_that_knows_a_little_does_not_suffice() {
    assert!(!message(false).suffices());
    assert!(message(true).suffices());
}
