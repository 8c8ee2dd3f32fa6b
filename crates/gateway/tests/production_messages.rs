//! Compatibility with messages between gateways as written by the build in production. This build reads them and,
//! unless it has additional fields to send, writes the same bytes, so that the production build can read its messages.
//! `production/` holds one file for each message.

use std::time::Duration;

use proptest::prelude::*;
use prost::Message;
use tansyhall_core::Role;
use tansyhall_fixed_cases::config_with_seed_and_cases;
use tansyhall_forwarding::{
    Item, Mirror, Need, PlacementAnswer, PlacementMessage, PlacementNeed, PlacementNotice,
    Position, SendResult, Snapshot, StatedLimit, WorkerId, WorkerNotice,
};
use tansyhall_gateway::authority_claim::AuthorityClaim;
use tansyhall_gateway::cache_recovery::CachesMessage;
use tansyhall_gateway::datagrams::Datagram;
use tansyhall_gateway::desired_roles::{self, DesiredRoles};
use tansyhall_gateway::load_messages::{
    DemandMessage, LoadMessage, PartMessage, ReportMessage, StatedLimitMessage,
};
use tansyhall_gateway::placement::MessageToScheduler;
use tansyhall_gateway::presence;
use tansyhall_gateway::update_message::{ItemMessage, UpdateMessage};

/// Seed of the property tests.
const SEED: u64 = 20_261_203;
/// An encoded field that no build knows: number 500, with a string value.
const UNKNOWN_FIELD: &[u8] = &[0xa2, 0x1f, 0x03, b'n', b'e', b'w'];

macro_rules! production {
    ($name:literal) => {
        include_bytes!(concat!("production/", $name)).as_slice()
    };
}

const DATAGRAMS: [(&str, &[u8]); 12] = [
    ("report", production!("report.bin")),
    ("question", production!("question.bin")),
    ("notices", production!("notices.bin")),
    ("placed", production!("placed.bin")),
    ("refused", production!("refused.bin")),
    ("report_limits", production!("report_limits.bin")),
    ("notices_limits", production!("notices_limits.bin")),
    ("placed_limits", production!("placed_limits.bin")),
    ("refused_limits", production!("refused_limits.bin")),
    ("usage", production!("usage.bin")),
    ("usage_acknowledged", production!("usage_acknowledged.bin")),
    ("quarantine", production!("quarantine.bin")),
];
const UPDATES: [&[u8]; 2] = [production!("changes.bin"), production!("whole.bin")];
const CACHES: &[u8] = production!("caches.bin");
const CLAIM: &[u8] = production!("claim.txt");
const PRESENCE: &[u8] = production!("presence.txt");
const ROLES: &[u8] = production!("roles.json");

fn datagram(name: &str) -> Datagram {
    let (_, bytes) = DATAGRAMS
        .iter()
        .find(|(known, _)| *known == name)
        .expect("known file name");
    Datagram::decode(*bytes).expect("valid datagram")
}

/// Checks that a message is encoded to the same bytes again, and that an unknown field after it is ignored.
fn check_round_trip<M: Message + Default + PartialEq>(bytes: &[u8]) {
    assert!(!bytes.is_empty());
    let message = M::decode(bytes).expect("valid message");
    assert_eq!(message.encode_to_vec(), bytes);
    let with_unknown_field = [bytes, UNKNOWN_FIELD].concat();
    let read =
        M::decode(with_unknown_field.as_slice()).expect("valid message with an unknown field");
    assert!(read == message);
}

#[test]
fn messages_of_the_build_in_production_are_decoded_and_encoded_again() {
    for (_, bytes) in DATAGRAMS {
        check_round_trip::<Datagram>(bytes);
    }
    for bytes in UPDATES {
        check_round_trip::<UpdateMessage>(bytes);
    }
    check_round_trip::<CachesMessage>(CACHES);
}

#[test]
fn a_load_report_of_the_build_in_production_is_decoded() {
    let report = datagram("report").report.expect("load report");
    let expected = ReportMessage {
        sender: 11,
        sequence: 12,
        loads: vec![LoadMessage {
            worker: 13,
            sends: 14,
            reading_tokens: 15,
            urgent_sends: None,
            urgent_reading_tokens: None,
        }],
        parts: vec![PartMessage {
            worker: 16,
            part: 17,
            tokens: 18,
            ready: true,
        }],
        absences: vec![19],
        demands: vec![DemandMessage {
            service: 20,
            readers: 1.5,
            places: 2.5,
            decoders: 3.5,
            urgent_readers: None,
            urgent_places: None,
            urgent_decoders: None,
        }],
        rate_limits: Vec::new(),
        shares: Vec::new(),
        tenants: Vec::new(),
    };
    assert_eq!(report, expected);
}

#[test]
fn a_placement_request_of_the_build_in_production_is_decoded() {
    let question = datagram("question").question.expect("placement message");
    let message = PlacementMessage::try_from(question).expect("valid message");
    let request = message.request.expect("placement request");
    let need = Need::Continue {
        reader: WorkerId::from("i-1"),
    };
    assert_eq!(request.need, PlacementNeed::Worker { need });
    assert_eq!(request.avoid, [WorkerId::from("i-2")]);
}

#[test]
fn placement_ends_of_the_build_in_production_keep_their_worker_notices() {
    let question = datagram("notices").question.expect("placement message");
    let message = PlacementMessage::try_from(question).expect("valid message");
    let ends = message.notices.iter().filter_map(|notice| match notice {
        PlacementNotice::Ended {
            result,
            worker_notice,
            rate_limit,
            pause: None,
            ..
        } => Some((*result, *worker_notice, *rate_limit)),
        PlacementNotice::Ended { pause, .. } => panic!("a pause that was not sent: {pause:?}"),
        PlacementNotice::PromptRead { .. } => None,
    });
    let ends: Vec<(SendResult, WorkerNotice, Option<StatedLimit>)> = ends.collect();
    let leaving = WorkerNotice {
        is_leaving: true,
        ..WorkerNotice::default()
    };
    let backing_off = WorkerNotice {
        backoff: Some(Duration::from_secs(3)),
        ..WorkerNotice::default()
    };
    let notices = [WorkerNotice::default(), leaving, backing_off];
    let expected = notices.map(|notice| (SendResult::Refused, notice, None));
    assert_eq!(ends, expected);
}

/// The end of a placement as defined in the build in production.
#[derive(Clone, PartialEq, Message)]
struct ProductionNotice {
    #[prost(uint64, tag = "1")]
    id: u64,
    #[prost(int32, tag = "2")]
    kind: i32,
    #[prost(uint64, tag = "3")]
    latency_micros: u64,
    #[prost(bool, tag = "4")]
    worker_leaves: bool,
    #[prost(uint64, tag = "5")]
    rest_micros: u64,
}

/// A refusal as defined in the build in production.
#[derive(Clone, PartialEq, Message)]
struct ProductionRefusal {
    #[prost(uint64, tag = "1")]
    waiting_micros: u64,
    #[prost(uint64, tag = "2")]
    retry_after_micros: u64,
    #[prost(bool, tag = "3")]
    tenant_share: bool,
}

/// Returns whether the build in production decodes both to the same message.
fn decode_to_same<M: Message + Default + PartialEq>(before: &[u8], extended: &[u8]) -> bool {
    assert_ne!(before, extended);
    let decode = |bytes: &[u8]| M::decode(bytes).expect("valid message");
    decode(before) == decode(extended)
}

#[test]
fn the_build_in_production_ignores_rate_limits() {
    let mut notice = datagram("notices")
        .question
        .expect("placement message")
        .notices[2]
        .clone();
    let before = notice.encode_to_vec();
    notice.rate_limit = Some(StatedLimitMessage {
        limit_milli: Some(6_300),
        age_ms: 20,
    });
    let extended = notice.encode_to_vec();
    assert!(decode_to_same::<ProductionNotice>(&before, &extended));

    let answer = datagram("refused").answer.expect("placement answer");
    let mut refused = answer.refused.expect("refusal");
    let before = refused.encode_to_vec();
    refused.rate_limit = true;
    let extended = refused.encode_to_vec();
    assert!(decode_to_same::<ProductionRefusal>(&before, &extended));
}

/// Guards against an upgrade in which gateways of the build in production reject the notices of newer ones.
#[test]
fn the_build_in_production_ignores_pauses_of_streams() {
    let mut notice = datagram("notices")
        .question
        .expect("placement message")
        .notices[0]
        .clone();
    let before = notice.encode_to_vec();
    notice.pause_micros = 180_000;
    let extended = notice.encode_to_vec();
    assert!(decode_to_same::<ProductionNotice>(&before, &extended));
}

#[test]
fn a_placement_of_the_build_in_production_has_no_rate_token() {
    let answer = datagram("placed").answer.expect("placement answer");
    let (_, answer) = answer.decode_answer().expect("placement");
    let PlacementAnswer::Placed(placement) = answer else {
        panic!("not placed: {answer:?}");
    };
    assert!(!placement.has_rate_token);
}

#[test]
fn stored_values_of_the_build_in_production_are_decoded() {
    let claim = AuthorityClaim::decode(CLAIM).expect("valid claim");
    assert_eq!(claim.holder.as_deref(), Some("gateway-1"));
    assert_eq!(claim.encode(), CLAIM);
    let member = presence::decode_member("tansyhall/gateways/gateway-1", PRESENCE);
    let member = member.expect("valid announcement");
    assert_eq!(member.name, "gateway-1");
    assert_eq!(member.capacity, 0.25);
    let mut mirror = Mirror::default();
    mirror.replace(Snapshot {
        position: Position::new(0, 1),
        items: vec![Item {
            key: desired_roles::KEY.into(),
            value: ROLES.to_vec(),
            written: Position::new(0, 1),
            created: 1,
        }],
    });
    let roles = DesiredRoles::read(&mirror);
    assert_eq!(roles.get(&WorkerId::from("i-1")), Some(Role::Prefill));
    assert_eq!(roles.encode(), ROLES);
}

#[test]
fn rate_limits_in_messages_are_decoded() {
    let stated = Some(StatedLimitMessage {
        limit_milli: Some(6_300),
        age_ms: 20,
    });
    let report = datagram("report_limits").report.expect("load report");
    assert_eq!(report.rate_limits[0].worker, 21);
    assert_eq!(report.rate_limits[0].stated, stated);
    let question = datagram("notices_limits")
        .question
        .expect("placement message");
    assert_eq!(question.notices[2].rate_limit, stated);
    let answer = datagram("placed_limits").answer.expect("placement answer");
    let placed = answer.placed.expect("placement");
    assert!(placed.has_rate_token);
    assert_eq!(placed.rate_limit, stated);
    let answer = datagram("refused_limits").answer.expect("placement answer");
    assert!(answer.refused.expect("refusal").rate_limit);
}

/// An item of a mirror update as defined in the build in production.
#[derive(Clone, PartialEq, Message)]
struct ProductionItem {
    #[prost(string, tag = "1")]
    key: String,
    #[prost(bytes = "vec", tag = "2")]
    value: Vec<u8>,
    #[prost(uint64, tag = "3")]
    revision: u64,
    #[prost(uint64, tag = "4")]
    created: u64,
}

#[test]
fn the_build_in_production_ignores_the_epoch_of_an_item() {
    let changes = UpdateMessage::decode(UPDATES[0]).expect("valid message");
    let mut item = changes.items[0].clone();
    let before = item.encode_to_vec();
    item.epoch = Some(4);
    let extended = item.encode_to_vec();
    assert!(decode_to_same::<ProductionItem>(&before, &extended));
}

proptest! {
    #![proptest_config(config_with_seed_and_cases(SEED, 512))]

    #[test]
    fn corrupted_messages_are_rejected_or_decoded_without_a_panic(
        which in 0..DATAGRAMS.len(),
        length in any::<prop::sample::Index>(),
        place in any::<prop::sample::Index>(),
        byte in any::<u8>(),
    ) {
        let (_, bytes) = DATAGRAMS[which];
        let mut damaged = bytes[..=length.index(bytes.len())].to_vec();
        let place = place.index(damaged.len());
        damaged[place] = byte;
        if let Ok(read) = Datagram::decode(damaged.as_slice()) {
            if let Some(question) = read.question {
                let _ = PlacementMessage::try_from(question);
            }
            if let Some(answer) = read.answer {
                let _ = answer.decode_answer();
            }
        }
        let _ = UpdateMessage::decode(damaged.as_slice());
        let _ = CachesMessage::decode(damaged.as_slice());
        let _ = MessageToScheduler::decode(damaged.as_slice());
        let _ = ItemMessage::decode(damaged.as_slice());
    }
}
