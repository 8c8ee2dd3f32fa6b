//! Exchange of cache contents between gateways.

use prost::Message;
use tansyhall_gateway::cache_recovery::CachesMessage;
use tansyhall_gateway::load_messages::PartMessage;

fn transported_message(recovered: bool) -> CachesMessage {
    let part = PartMessage {
        worker: 1,
        part: 2,
        tokens: 13_300,
        ready: true,
    };
    let sent = CachesMessage {
        parts: vec![part],
        recovered,
    };
    CachesMessage::decode(sent.encode_to_vec().as_slice()).expect("valid message")
}

/// Guards against incomplete recovery after the loss of all gateways. The first gateways to restart knew only the few
/// prompts that had been read for their own requests; gateways that started a moment later mistook these for the
/// complete cache contents, and the engines were not queried.
#[test]
fn cache_contents_of_a_gateway_that_has_not_recovered_are_not_sufficient() {
    assert!(!transported_message(false).is_sufficient());
    assert!(transported_message(true).is_sufficient());
}
