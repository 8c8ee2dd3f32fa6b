//! Every encoded request between nodes and every answer decodes to itself, and no bytes cause a decoder to panic.

use bytes::Bytes;
use proptest::collection::vec;
use proptest::option;
use proptest::prelude::*;
use tansyhall_core::{FleetId, Incarnation, RequestId};
use tansyhall_fixed_cases::config_with_seed;
use tansyhall_journal::{
    AttemptId, Member, RecordKey, Records, SealReply, View, ViewDigest, ViewNumber, VoteReply,
};
use tansyhall_proto::{
    decode_journal_answer, decode_request, decode_status_answer, encode_journal_answer,
    encode_request, encode_status_answer, DecodeError, JournalAnswer, JournalCall, JournalRequest,
    PeerCall, PeerRequest, StatusAnswer, StatusQuery,
};

fn attempt() -> impl Strategy<Value = AttemptId> {
    any::<u128>().prop_map(|id| AttemptId(RequestId(id)))
}

fn key() -> impl Strategy<Value = RecordKey> {
    "[0-9a-f]{32}".prop_map(RecordKey)
}

fn records() -> impl Strategy<Value = Records> {
    vec(key(), 0..8).prop_map(Records)
}

fn member() -> impl Strategy<Value = Member> {
    ("[a-z][a-z0-9-]{0,20}", any::<u64>()).prop_map(|(node, incarnation)| Member {
        node: node.as_str().into(),
        incarnation: Incarnation(incarnation),
    })
}

fn view() -> impl Strategy<Value = View> {
    (any::<u64>(), [member(), member(), member()]).prop_map(|(number, members)| View {
        number: ViewNumber(number),
        members,
    })
}

fn journal_request() -> impl Strategy<Value = JournalRequest> {
    prop_oneof![
        Just(JournalRequest::Identify),
        (any::<u64>(), option::of(1..=u64::MAX), key(), attempt()).prop_map(
            |(view, digest, key, attempt)| JournalRequest::Vote {
                view: ViewNumber(view),
                digest: digest.map(ViewDigest),
                key,
                attempt,
            }
        ),
        (key(), attempt()).prop_map(|(key, attempt)| JournalRequest::Release { key, attempt }),
        (1..=u64::MAX, any::<u64>()).prop_map(|(active, next)| JournalRequest::Seal {
            active: ViewNumber(active),
            next: ViewNumber(next),
        }),
        (view(), records()).prop_map(|(view, records)| JournalRequest::Install { view, records }),
    ]
}

fn journal_call() -> impl Strategy<Value = JournalCall> {
    (option::of(member()), journal_request())
        .prop_map(|(addressee, request)| JournalCall { addressee, request })
}

fn request() -> impl Strategy<Value = PeerCall> {
    let request = prop_oneof![
        any::<u64>().prop_map(|held_revision| PeerRequest::Pull { held_revision }),
        journal_call().prop_map(PeerRequest::Journal),
        (any::<u128>(), any::<bool>()).prop_map(|(id, may_forward)| PeerRequest::Status(
            StatusQuery {
                request: RequestId(id),
                may_forward,
            }
        )),
    ];
    (any::<u64>(), request).prop_map(|(fleet, request)| PeerCall {
        fleet: FleetId(fleet),
        request,
    })
}

fn vote() -> impl Strategy<Value = VoteReply> {
    prop_oneof![
        Just(VoteReply::Granted),
        Just(VoteReply::Taken),
        Just(VoteReply::NotVoting),
        Just(VoteReply::Full),
    ]
}

fn journal_answer() -> impl Strategy<Value = JournalAnswer> {
    prop_oneof![
        (member(), any::<bool>()).prop_map(|(member, is_stopping)| JournalAnswer::Identity {
            member,
            is_stopping,
        }),
        (vote(), option::of(attempt()))
            .prop_map(|(reply, holder)| JournalAnswer::Voted { reply, holder }),
        Just(JournalAnswer::Released),
        records().prop_map(|records| JournalAnswer::Sealed(SealReply::Sealed(records))),
        Just(JournalAnswer::Sealed(SealReply::NotMember)),
        any::<bool>().prop_map(JournalAnswer::Installed),
        Just(JournalAnswer::NotAddressed),
    ]
}

fn status_answer() -> impl Strategy<Value = StatusAnswer> {
    prop_oneof![
        Just(StatusAnswer::Unknown),
        Just(StatusAnswer::Unreachable),
        vec(any::<u8>(), 0..64).prop_map(|resource| StatusAnswer::Known(Bytes::from(resource))),
    ]
}

proptest! {
    #![proptest_config(config_with_seed(1))]

    #[test]
    fn an_encoded_request_decodes_to_itself(request in request()) {
        prop_assert_eq!(decode_request(&encode_request(&request)), Ok(request));
    }

    #[test]
    fn an_encoded_answer_decodes_to_itself(journal in journal_answer(), status in status_answer()) {
        prop_assert_eq!(decode_journal_answer(&encode_journal_answer(&journal)), Ok(journal));
        prop_assert_eq!(decode_status_answer(&encode_status_answer(&status)), Ok(status));
    }

    #[test]
    fn arbitrary_bytes_do_not_cause_a_panic(bytes in vec(any::<u8>(), 0..300)) {
        let _ = decode_request(&bytes);
        let _ = decode_journal_answer(&bytes);
        let _ = decode_status_answer(&bytes);
    }

    #[test]
    fn a_corrupted_request_does_not_cause_a_panic(
        request in request(), position in any::<prop::sample::Index>(), byte in any::<u8>(),
    ) {
        let mut bytes = encode_request(&request);
        let position = position.index(bytes.len());
        bytes[position] = byte;
        let _ = decode_request(&bytes);
        let _ = decode_request(&bytes[..position]);
    }
}

#[test]
fn a_request_without_a_body_is_rejected() {
    assert_eq!(decode_request(&[]), Err(DecodeError::Missing("body")));
}
