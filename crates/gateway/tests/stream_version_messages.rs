//! Messages about the software versions at which streams began.

use std::time::Duration;

use prost::Message;
use tansyhall_core::ServiceName;
use tansyhall_forwarding::{
    AttemptKey, Position, ServiceHistory, SoftwareVersion, StreamRecord, Testimony,
};
use tansyhall_gateway::datagrams::Datagram;
use tansyhall_gateway::stream_versions::message::{
    HistoryAnswerMessage, HistoryQuestionMessage, RecordedStreamsMessage, StoredStreamsMessage,
    StreamMessage, StreamsMessage, VersionAnswerMessage, VersionQuestionMessage,
};

/// A datagram as earlier builds know it, without these messages.
#[derive(Clone, PartialEq, Message)]
struct EarlierDatagram {
    #[prost(bytes = "vec", optional, tag = "6")]
    quarantine: Option<Vec<u8>>,
}

fn record(attempt: u64, version: &str) -> StreamRecord {
    StreamRecord {
        attempt: AttemptKey(attempt),
        version: SoftwareVersion::from(version),
    }
}

fn sent(datagram: &Datagram) -> Datagram {
    Datagram::decode(datagram.encode_to_vec().as_slice()).expect("a datagram")
}

#[test]
fn testimonies_survive_the_wire() {
    let version = SoftwareVersion::from("v1.1");
    let testimonies = [
        Testimony::Known(version.clone()),
        Testimony::Only(version),
        Testimony::Several,
        Testimony::Unsure,
    ];
    for testimony in testimonies {
        for confirmed in [false, true] {
            let answer = VersionAnswerMessage::new(7, &testimony, confirmed);
            let received = sent(&Datagram::version_answer(answer)).version_answer;
            let received = received.expect("an answer");
            assert_eq!((received.number, received.confirmed), (7, confirmed));
            assert_eq!(received.testimony(), testimony);
        }
    }
}

#[test]
fn a_testimony_of_a_later_build_says_nothing() {
    let answer = VersionAnswerMessage {
        number: 7,
        kind: 9,
        version: "v1".into(),
        confirmed: false,
    };
    assert_eq!(answer.testimony(), Testimony::Unsure);
}

#[test]
fn streams_survive_the_wire_and_are_ignored_by_earlier_builds() {
    let stream = record(5, "v1");
    let streams = vec![StreamMessage::new(&stream)];
    let question = VersionQuestionMessage {
        number: 7,
        service: "llm".into(),
        attempt: Some(5),
        confirms: false,
    };
    let told = Datagram::streams(StreamsMessage { streams });
    let received = sent(&told).streams.expect("streams");
    assert_eq!(received.streams[0].record(), stream);
    let recorded = Datagram::recorded_streams(RecordedStreamsMessage::new(&[stream.attempt]));
    let received = sent(&recorded).recorded_streams.expect("streams");
    assert!(received.attempts().eq([stream.attempt]));
    let history_question = Datagram::history_question(HistoryQuestionMessage { number: 7 });
    let later = [
        told,
        recorded,
        Datagram::version_question(question),
        history_question,
    ];
    for datagram in later {
        let earlier = EarlierDatagram::decode(datagram.encode_to_vec().as_slice());
        assert_eq!(earlier, Ok(EarlierDatagram::default()));
    }
}

#[test]
fn stored_streams_survive_the_store_and_take_eight_bytes_each() {
    let records: Vec<StreamRecord> = (0..1_000)
        .map(|attempt| record(attempt, if attempt % 2 == 0 { "v1" } else { "v2" }))
        .collect();
    let all: Vec<&StreamRecord> = records.iter().collect();
    let item = StoredStreamsMessage::new(&all).encode_to_vec();
    assert!(item.len() < 8 * records.len() + 50);
    let message = StoredStreamsMessage::decode(item.as_slice()).expect("streams");
    let mut stored: Vec<StreamRecord> = message.records().collect();
    stored.sort_by_key(|record| record.attempt);
    assert_eq!(stored, records);
}

#[test]
fn histories_survive_the_wire() {
    let history = ServiceHistory {
        service: ServiceName::new("llm"),
        watched: Duration::from_millis(12_345),
        versions: vec![(SoftwareVersion::from("v1"), Duration::from_millis(678))],
    };
    let answer =
        HistoryAnswerMessage::new(7, Position::new(2, 345), std::slice::from_ref(&history));
    let received = sent(&Datagram::history_answer(answer)).history_answer;
    let received = received.expect("an answer");
    assert_eq!(
        (received.number, received.position()),
        (7, Position::new(2, 345))
    );
    assert_eq!(received.histories(), [history]);
}
