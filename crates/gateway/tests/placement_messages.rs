//! Messages between gateways and schedulers keep their content when they are encoded into a datagram and decoded.

use std::time::Duration;

use proptest::prelude::*;
use prost::Message;
use tansyhall_core::{ServiceName, Timestamp};
use tansyhall_fixed_cases::config_with_seed_and_cases;
use tansyhall_forwarding::demand_shares::division::Portion;
use tansyhall_forwarding::demand_shares::leadership::Vote;
use tansyhall_forwarding::demand_shares::{Grant, LimitDemand, MemberKey, ShareReport};
use tansyhall_forwarding::{
    prompt_tokens, GatewayKey, LimitStatement, LoadReport, Need, Objectives, Placement,
    PlacementAnswer, PlacementId, PlacementMessage, PlacementNeed, PlacementNotice,
    PlacementRequest, PromptPart, RateLimit, RefusalCause, SendResult, StatedLimit, TenantKey,
    WorkerId, WorkerKey, WorkerNotice, MAX_STREAM_PAUSE,
};
use tansyhall_gateway::datagrams::Datagram;
use tansyhall_gateway::load_messages::{decode, encode, LoadMessage, PartMessage, ReportMessage};
use tansyhall_gateway::placement::{
    MessageToScheduler, PromptPartMessage, RequestMessage, SchedulerAnswerMessage,
};
use tansyhall_gateway::share_messages;

/// Seed of the property tests.
const SEED: u64 = 20_261_203;

fn worker() -> impl Strategy<Value = WorkerId> {
    "[a-z0-9-]{1,12}".prop_map(|id| WorkerId::from(id.as_str()))
}

fn duration() -> impl Strategy<Value = Duration> {
    (0_u64..10_000_000).prop_map(Duration::from_micros)
}

fn need() -> impl Strategy<Value = PlacementNeed> {
    let with = |need| PlacementNeed::Worker { need };
    prop_oneof![
        Just(PlacementNeed::Admission),
        Just(PlacementNeed::AdmissionOrLeaving),
        Just(with(Need::Run)),
        Just(with(Need::ReadPrompt)),
        worker().prop_map(move |reader| with(Need::Continue { reader })),
    ]
}

fn result() -> impl Strategy<Value = SendResult> {
    prop_oneof![
        duration().prop_map(|latency| SendResult::Answered { latency }),
        Just(SendResult::Failed),
        Just(SendResult::Refused),
        Just(SendResult::Unreachable),
        Just(SendResult::Absent),
        any::<bool>().prop_map(|silent| SendResult::Abandoned { silent }),
    ]
}

fn worker_notice() -> impl Strategy<Value = WorkerNotice> {
    let backoff_time = prop::option::of((1_u64..10_000_000).prop_map(Duration::from_micros));
    (any::<bool>(), backoff_time).prop_map(|(leaving, backoff_time)| WorkerNotice {
        is_leaving: leaving,
        backoff: backoff_time,
        ..WorkerNotice::default()
    })
}

fn stated_limit() -> impl Strategy<Value = Option<StatedLimit>> {
    let limit = any::<u64>().prop_map(RateLimit::from_millirequests_per_second);
    let age = any::<u32>().prop_map(|age| Duration::from_millis(u64::from(age)));
    let stated_limit = (prop::option::of(limit), age);
    prop::option::of(stated_limit.prop_map(|(limit, age)| StatedLimit { limit, age }))
}

fn pause() -> impl Strategy<Value = Option<Duration>> {
    prop::option::of((1_u64..600_000_000).prop_map(Duration::from_micros))
}

fn notice() -> impl Strategy<Value = PlacementNotice> {
    let id = any::<u64>().prop_map(PlacementId);
    prop_oneof![
        (id.clone(), duration())
            .prop_map(|(id, latency)| PlacementNotice::PromptRead { id, latency }),
        (id, result(), worker_notice(), stated_limit(), pause()).prop_map(
            |(id, result, worker_notice, rate_limit, pause)| {
                PlacementNotice::Ended {
                    id,
                    result,
                    worker_notice,
                    rate_limit,
                    pause,
                }
            }
        ),
    ]
}

fn request() -> impl Strategy<Value = PlacementRequest> {
    let part = ("[a-f0-9]{8}", any::<u32>()).prop_map(|(id, tokens)| PromptPart {
        id,
        tokens: u64::from(tokens),
    });
    let objectives = (duration(), prop::option::of(duration()), duration()).prop_map(
        |(latency, pause, time_left)| Objectives {
            latency,
            pause,
            time_left,
        },
    );
    let prompt = prop::collection::vec(part, 0..4);
    let tenant = prop::option::of(any::<u64>().prop_map(TenantKey));
    (
        any::<[u64; 2]>(),
        prompt,
        objectives,
        need(),
        any::<bool>(),
        tenant,
        prop::collection::vec(worker(), 0..4),
    )
        .prop_map(
            |([id, draw], prompt, objectives, need, yields, tenant, avoid)| PlacementRequest {
                id: PlacementId(id),
                service: ServiceName::new("service"),
                route: "route".into(),
                prompt,
                tenant,
                yields,
                objectives,
                draw,
                need,
                avoid,
            },
        )
}

fn answer() -> impl Strategy<Value = PlacementAnswer> {
    let placement = (
        worker(),
        any::<[bool; 4]>(),
        any::<u32>(),
        duration(),
        stated_limit(),
    )
        .prop_map(
            |(
                worker,
                [read_apart, fetches, short_reading, has_rate_token],
                tokens,
                expected_latency,
                rate_limit,
            )| {
                Placement {
                    id: PlacementId(7),
                    worker,
                    read_apart,
                    fetch_from: fetches.then(|| "10.0.0.9:8080".parse().expect("a valid address")),
                    reading_tokens: u64::from(tokens),
                    short_reading,
                    expected_latency,
                    has_rate_token,
                    rate_limit,
                }
            },
        );
    let cause = prop_oneof![
        Just(RefusalCause::Overload),
        Just(RefusalCause::TenantShare),
        Just(RefusalCause::RateLimit),
    ];
    prop_oneof![
        placement.prop_map(PlacementAnswer::Placed),
        (cause, duration(), duration()).prop_map(|(cause, waiting, retry_after)| {
            PlacementAnswer::Refused {
                cause,
                waiting,
                retry_after,
            }
        }),
        Just(PlacementAnswer::NoWorker),
    ]
}

fn decoded(datagram: &Datagram) -> Datagram {
    Datagram::decode(datagram.encode_to_vec().as_slice()).expect("a valid datagram")
}

proptest! {
    #![proptest_config(config_with_seed_and_cases(SEED, 128))]

    #[test]
    fn placement_messages_keep_their_content(
        [sender, sequence] in any::<[u64; 2]>(),
        open in prop::collection::vec(any::<u64>(), 0..6),
        notices in prop::collection::vec(notice(), 0..4),
        request in prop::option::of(request()),
    ) {
        let message = PlacementMessage {
            sender: GatewayKey(sender),
            sequence,
            open: open.into_iter().map(PlacementId).collect(),
            notices,
            request,
        };
        let datagram = Datagram::question(MessageToScheduler::from(&message));
        let wire_message = decoded(&datagram)
            .question
            .expect("the datagram contains a placement message");
        let decoded_message =
            PlacementMessage::try_from(wire_message).expect("a valid placement message");
        prop_assert_eq!(decoded_message, message);
    }

    #[test]
    fn placement_answers_keep_their_content(answer in answer()) {
        let id = PlacementId(7);
        let datagram = Datagram::answer(SchedulerAnswerMessage::new(id, &answer));
        let decoded_message = decoded(&datagram).answer.expect("the datagram contains an answer");
        prop_assert_eq!(decoded_message.decode_answer().expect("a valid answer"), (id, answer));
    }
}

#[test]
fn invalid_placement_messages_and_answers_are_refused() {
    let valid = MessageToScheduler {
        notices: vec![Default::default()],
        ..MessageToScheduler::default()
    };
    assert!(PlacementMessage::try_from(valid.clone()).is_ok());
    let mut unknown_kind = valid;
    unknown_kind.notices[0].kind = 99;
    assert!(PlacementMessage::try_from(unknown_kind).is_err());
    let mut answer = SchedulerAnswerMessage {
        placed: Some(Default::default()),
        ..SchedulerAnswerMessage::default()
    };
    if let Some(placed) = &mut answer.placed {
        placed.fetch_from = "no address".into();
    }
    assert!(answer.decode_answer().is_err());
}

/// A scheduler must not take a worker for absent because the path of one gateway is faulty.
#[test]
fn a_scheduler_is_told_of_a_refused_connection_as_of_an_unreachable_worker() {
    let ended = |result| {
        MessageToScheduler::from(&PlacementMessage {
            sender: GatewayKey(1),
            sequence: 2,
            open: Vec::new(),
            notices: vec![PlacementNotice::Ended {
                id: PlacementId(7),
                result,
                worker_notice: WorkerNotice::default(),
                rate_limit: None,
                pause: None,
            }],
            request: None,
        })
    };
    let refused = ended(SendResult::ConnectionRefused);
    assert_eq!(refused, ended(SendResult::Unreachable));
}

/// Guards against a peer whose impossible pause is learned, or makes its whole message invalid.
#[test]
fn an_impossible_pause_is_ignored_and_the_rest_of_its_message_applies() {
    let decoded_pause = |pause_micros| {
        let latency = Duration::from_millis(20);
        let ended = PlacementNotice::Ended {
            id: PlacementId(7),
            result: SendResult::Answered { latency },
            worker_notice: WorkerNotice::default(),
            rate_limit: None,
            pause: None,
        };
        let mut message = MessageToScheduler::from(&PlacementMessage {
            sender: GatewayKey(1),
            sequence: 2,
            open: Vec::new(),
            notices: vec![ended],
            request: None,
        });
        message.notices[0].pause_micros = pause_micros;
        let message = PlacementMessage::try_from(message).expect("a valid message");
        match message.notices[0] {
            PlacementNotice::Ended { result, pause, .. } => {
                assert_eq!(result, SendResult::Answered { latency });
                pause
            }
            notice => panic!("not the end of a send: {notice:?}"),
        }
    };
    assert_eq!(decoded_pause(0), None);
    assert_eq!(decoded_pause(180_000), Some(Duration::from_millis(180)));
    assert_eq!(decoded_pause(u64::MAX), None);
    let longest = u64::try_from(MAX_STREAM_PAUSE.as_micros()).expect("a number of microseconds");
    assert_eq!(decoded_pause(longest), Some(MAX_STREAM_PAUSE));
    assert_eq!(decoded_pause(longest + 1), None);
}

// Guards against fields of the division of rate limits that are lost or exchanged on the wire, and against impossible
// values of another gateway that take effect.
#[test]
fn reported_shares_keep_their_content_and_impossible_ones_are_left_out() {
    let grant = |rate_ppm| Grant {
        worker: WorkerKey(7),
        holder: GatewayKey(8),
        seen: Timestamp(9),
        portion: Portion {
            rate_ppm,
            capacity_ppm: 10,
        },
    };
    let demand = |demand| LimitDemand {
        worker: WorkerKey(11),
        demand,
    };
    let shares = ShareReport {
        member: MemberKey(1),
        sent_at: Timestamp(2),
        view: 3,
        member_count: 4,
        leads: true,
        vote: Some(Vote {
            leader: GatewayKey(5),
            seen: Timestamp(6),
        }),
        demands: vec![demand(12)],
        grants: vec![grant(1_000_000)],
    };
    let decoded = |shares: &ShareReport| share_messages::decode(&share_messages::encode(shares));
    assert_eq!(decoded(&shares), shares);
    let mut impossible = shares.clone();
    impossible.demands.push(demand(u64::MAX));
    impossible.grants.push(grant(1_000_001));
    assert_eq!(decoded(&impossible), shares);
}

/// Guards against numbers whose sum overflows: the task that receives datagrams ended, or the sum was a small number.
#[test]
fn impossible_numbers_of_requests_and_tokens_are_bounded() {
    let load = LoadMessage {
        sends: u32::MAX,
        reading_tokens: u64::MAX,
        ..LoadMessage::default()
    };
    let part = PartMessage {
        tokens: u64::MAX,
        ..PartMessage::default()
    };
    let report = decode(ReportMessage {
        loads: vec![load],
        parts: vec![part],
        ..ReportMessage::default()
    });
    let load = report.loads[0].load;
    assert!(load.sends.checked_mul(1_000).is_some(), "{load:?}");
    let parts = [u64::MAX; 2].map(|tokens| PromptPartMessage {
        id: "p".into(),
        tokens,
    });
    let request = RequestMessage {
        prompt: parts.into(),
        ..RequestMessage::default()
    };
    let request = PlacementRequest::try_from(request).expect("a request");
    let summed = prompt_tokens(&request.prompt);
    for tokens in [load.reading_tokens, report.parts[0].tokens, summed] {
        assert!(tokens.checked_mul(1_000_000).is_some(), "{tokens}");
    }
}

#[test]
fn reported_rate_limits_keep_their_content() {
    let statement = |limit: Option<u64>| LimitStatement {
        worker: WorkerKey(7),
        stated: StatedLimit {
            limit: limit.map(RateLimit::from_millirequests_per_second),
            age: Duration::from_millis(1_500),
        },
    };
    let report = LoadReport {
        sender: GatewayKey(1),
        sequence: 2,
        loads: Vec::new(),
        parts: Vec::new(),
        absences: Vec::new(),
        demands: Vec::new(),
        rate_limits: vec![statement(Some(6_300)), statement(Some(0)), statement(None)],
        shares: None,
        tenants: Vec::new(),
    };
    let datagram = decoded(&Datagram::report(encode(&report)));
    let decoded_message = decode(datagram.report.expect("the datagram contains a report"));
    assert_eq!(decoded_message, report);
}
