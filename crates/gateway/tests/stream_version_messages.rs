//! Messages about the software versions at which streams began.

use prost::Message;
use tansyhall_forwarding::{AttemptKey, SoftwareVersion, Testimony};
use tansyhall_gateway::datagrams::Datagram;
use tansyhall_gateway::stream_versions::message::{
    StreamMessage, StreamsMessage, VersionAnswerMessage, VersionQuestionMessage,
};

/// A datagram as earlier builds know it, without these messages.
#[derive(Clone, PartialEq, Message)]
struct EarlierDatagram {
    #[prost(bytes = "vec", optional, tag = "6")]
    quarantine: Option<Vec<u8>>,
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
        let answer = VersionAnswerMessage::new(7, &testimony);
        let received = sent(&Datagram::version_answer(answer)).version_answer;
        let received = received.expect("an answer");
        assert_eq!((received.number, received.testimony()), (7, testimony));
    }
}

#[test]
fn a_testimony_of_a_later_build_says_nothing() {
    let answer = VersionAnswerMessage {
        number: 7,
        kind: 9,
        version: "v1".into(),
    };
    assert_eq!(answer.testimony(), Testimony::Unsure);
}

#[test]
fn streams_survive_the_wire_and_are_ignored_by_earlier_builds() {
    let stream = (AttemptKey(5), SoftwareVersion::from("v1"));
    let streams = vec![StreamMessage::new(stream.0, &stream.1)];
    let question = VersionQuestionMessage {
        number: 7,
        service: "llm".into(),
        attempt: Some(5),
    };
    let told = Datagram::streams(StreamsMessage { streams });
    let received = sent(&told).streams.expect("streams");
    assert_eq!(received.streams[0].decode_stream(), stream);
    for datagram in [told, Datagram::version_question(question)] {
        let earlier = EarlierDatagram::decode(datagram.encode_to_vec().as_slice());
        assert_eq!(earlier, Ok(EarlierDatagram::default()));
    }
}
