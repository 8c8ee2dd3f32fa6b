//! A gateway that requests changes from another gateway ignores mismatched answers. The next answer on a connection
//! that is kept open may be a second or late one to an earlier request, and would make outdated knowledge look current.

use std::time::Duration;

use prost::Message;
use tansyhall_forwarding::{MirrorUpdate, Position, Snapshot};
use tansyhall_gateway::deflated_values::DeflatedValues;
use tansyhall_gateway::peers;
use tansyhall_gateway::update_message::UpdateMessage;
use tansyhall_twice_answering::{Answer, DuplicateAnswerServer, DuplicateTiming, DELIVERY_TIME};
use tokio::time::sleep;

/// Number of requests that are sent one after another.
const REQUESTS: u64 = 4;

/// Returns the value of a parameter in a request's target, or 0 if it is missing.
fn parameter(target: &str, name: &str) -> u64 {
    let parameters = target.split(['?', '&']);
    let mut values = parameters.filter_map(|pair| pair.strip_prefix(name)?.strip_prefix('='));
    let value = values.next().and_then(|text| text.parse().ok());
    value.unwrap_or(0)
}

/// Returns the answer of a gateway whose mirror is one revision ahead of the requesting gateway's.
fn answer(target: &str, number: u64) -> Answer {
    let snapshot = Snapshot {
        items: Vec::new(),
        position: Position::new(0, parameter(target, "after") + 1),
    };
    let update = Some(MirrorUpdate::Snapshot(snapshot));
    let mut message = UpdateMessage::new(update, Duration::ZERO, &mut DeflatedValues::default());
    message.question = number;
    (200, message.encode_to_vec())
}

async fn revision(
    client: &mut awc::Client,
    gateway: &DuplicateAnswerServer,
    after: u64,
) -> Option<u64> {
    let after = Position::new(0, after);
    let result = peers::fetch_update(client, gateway.address, after, Duration::ZERO).await;
    match result.ok()?.update? {
        MirrorUpdate::Snapshot(snapshot) => Some(snapshot.position.revision),
        MirrorUpdate::Changes { position, .. } => Some(position.revision),
    }
}

#[actix_rt::test]
async fn a_late_second_answer_is_not_taken_for_the_answer_to_the_next_request() {
    for second in DuplicateTiming::ALL {
        let numbered_answer = |target: &str| answer(target, parameter(target, "number"));
        let gateway = DuplicateAnswerServer::start_with_handler(second, numbered_answer);
        let mut client = peers::client();
        let mut answered = 0;
        for after in 1..=REQUESTS {
            let revision = revision(&mut client, &gateway, after).await;
            assert!(
                revision.is_none_or(|revision| revision == after + 1),
                "{second:?}: accepted revision {revision:?} of a mismatched answer"
            );
            answered += u64::from(revision.is_some());
            sleep(DELIVERY_TIME).await;
        }
        assert!(
            answered >= REQUESTS / 2,
            "{second:?}: only {answered} requests were answered"
        );
    }
}

#[actix_rt::test]
async fn an_answer_of_an_older_gateway_without_request_number_is_accepted() {
    let gateway = DuplicateAnswerServer::start_with_handler(
        DuplicateTiming::NoDuplicate {
            answer_delay: Duration::ZERO,
        },
        |target| answer(target, 0),
    );
    assert_eq!(revision(&mut peers::client(), &gateway, 7).await, Some(8));
}

#[actix_rt::test]
async fn an_answer_of_an_older_gateway_without_epoch_gets_the_epoch_of_the_request() {
    const EPOCH: u64 = 4;
    let gateway = DuplicateAnswerServer::start_with_handler(
        DuplicateTiming::NoDuplicate {
            answer_delay: Duration::ZERO,
        },
        |target| answer(target, 0),
    );
    let after = Position::new(EPOCH, 7);
    let mut client = peers::client();
    let result = peers::fetch_update(&mut client, gateway.address, after, Duration::ZERO).await;
    let received = result.expect("an accepted answer");
    assert_eq!(received.epoch, EPOCH);
    let Some(MirrorUpdate::Snapshot(snapshot)) = received.update else {
        panic!("the answer contains no snapshot");
    };
    assert_eq!(snapshot.position, Position::new(EPOCH, 8));
}
