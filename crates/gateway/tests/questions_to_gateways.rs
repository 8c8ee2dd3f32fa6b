//! A gateway that asks others takes no answer to another question.

use std::time::Duration;

use prost::Message;
use tansyhall_forwarding::{MirrorUpdate, Position, Snapshot};
use tansyhall_gateway::deflated_values::DeflatedValues;
use tansyhall_gateway::peers;
use tansyhall_gateway::update_message::UpdateMessage;
use tansyhall_twice_answering::{Answer, Second, TwiceAnswering, ARRIVAL};
use tokio::time::sleep;

/// Questions that are asked one after another.
const QUESTIONS: u64 = 4;

/// The value of a parameter of a question's target.
fn parameter(question: &str, name: &str) -> u64 {
    let parameters = question.split(['?', '&']);
    let mut values = parameters.filter_map(|one| one.strip_prefix(name)?.strip_prefix('='));
    let value = values.next().and_then(|text| text.parse().ok());
    value.unwrap_or(0)
}

/// The answer of a gateway that is one revision ahead of whoever asks.
fn answer(question: &str, number: u64) -> Answer {
    let snapshot = Snapshot {
        items: Vec::new(),
        position: Position::new(0, parameter(question, "after") + 1),
    };
    let update = Some(MirrorUpdate::Snapshot(snapshot));
    let mut message = UpdateMessage::new(update, Duration::ZERO, &mut DeflatedValues::default());
    message.question = number;
    (200, message.encode_to_vec())
}

async fn revision(client: &mut awc::Client, gateway: &TwiceAnswering, after: u64) -> Option<u64> {
    let after = Position::new(0, after);
    let asked = peers::fetch(client, gateway.address, after, Duration::ZERO).await;
    match asked.ok()?.update? {
        MirrorUpdate::Snapshot(snapshot) => Some(snapshot.position.revision),
        MirrorUpdate::Changes { position, .. } => Some(position.revision),
    }
}

#[actix_rt::test]
async fn a_late_second_answer_is_not_taken_for_news() {
    for second in Second::ALL {
        let numbered = |question: &str| answer(question, parameter(question, "number"));
        let gateway = TwiceAnswering::answering(second, numbered);
        let mut client = peers::client();
        let mut answered = 0;
        for after in 1..=QUESTIONS {
            let revision = revision(&mut client, &gateway, after).await;
            assert!(
                revision.is_none_or(|one| one == after + 1),
                "{second:?}: {revision:?}"
            );
            answered += u64::from(revision.is_some());
            sleep(ARRIVAL).await;
        }
        assert!(answered >= QUESTIONS / 2, "{second:?}: {answered} answers");
    }
}

#[actix_rt::test]
async fn an_older_gateway_that_names_no_question_is_understood() {
    let gateway = TwiceAnswering::answering(
        Second::Never {
            after: Duration::ZERO,
        },
        |question| answer(question, 0),
    );
    assert_eq!(revision(&mut peers::client(), &gateway, 7).await, Some(8));
}

#[actix_rt::test]
async fn an_older_gateway_that_names_no_epoch_counts_as_of_that_of_the_question() {
    const EPOCH: u64 = 4;
    let gateway = TwiceAnswering::answering(
        Second::Never {
            after: Duration::ZERO,
        },
        |question| answer(question, 0),
    );
    let after = Position::new(EPOCH, 7);
    let mut client = peers::client();
    let asked = peers::fetch(&mut client, gateway.address, after, Duration::ZERO).await;
    let received = asked.expect("an answer");
    assert_eq!(received.epoch, EPOCH);
    let Some(MirrorUpdate::Snapshot(snapshot)) = received.update else {
        panic!("no copy");
    };
    assert_eq!(snapshot.position, Position::new(EPOCH, 8));
}
