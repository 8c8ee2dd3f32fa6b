//! Tests the urgent parts of the figures in load reports.

use prost::Message;
use tansyhall_forwarding::{
    EngineDemand, GatewayKey, Load, LoadEntry, LoadReport, ServiceKey, WorkerKey,
};
use tansyhall_gateway::load_messages::{decode, encode, DemandMessage, LoadMessage, ReportMessage};

/// The urgent part of 3 sends with 400 tokens.
const LOAD: Load = Load {
    sends: 3,
    reading_tokens: 400,
    urgent_sends: 1,
    urgent_reading_tokens: 0,
};
const DEMAND: EngineDemand = EngineDemand {
    service: ServiceKey(20),
    prefill_engines: 1.5,
    decode_engines: 3.5,
    decode_slots: 2.5,
    urgent_prefill_engines: 0.5,
    urgent_decode_engines: 0.0,
    urgent_decode_slots: 2.5,
};

fn report(load: Load, demand: EngineDemand) -> LoadReport {
    LoadReport {
        sender: GatewayKey(11),
        sequence: 12,
        loads: vec![LoadEntry {
            worker: WorkerKey(13),
            load,
        }],
        parts: Vec::new(),
        absences: Vec::new(),
        demands: vec![demand],
        rate_limits: Vec::new(),
        shares: None,
        tenants: Vec::new(),
    }
}

fn message(load: LoadMessage, demand: DemandMessage) -> ReportMessage {
    ReportMessage {
        sender: 11,
        sequence: 12,
        loads: vec![load],
        demands: vec![demand],
        ..ReportMessage::default()
    }
}

fn all_urgent() -> LoadReport {
    let demand = EngineDemand {
        urgent_prefill_engines: 1.5,
        urgent_decode_engines: 3.5,
        urgent_decode_slots: 2.5,
        ..DEMAND
    };
    report(Load::all_urgent(3, 400), demand)
}

/// Guards against a part that is lost on the wire, for example because it is zero.
#[test]
fn urgent_parts_are_decoded_as_they_were_encoded() {
    let report = report(LOAD, DEMAND);
    let bytes = encode(&report).encode_to_vec();
    let message = ReportMessage::decode(bytes.as_slice()).expect("valid message");
    assert_eq!(decode(message), report);
}

/// Guards against reports of an earlier build that count as less urgent. It omits the parts, as this
/// build does if all is urgent.
#[test]
fn a_report_without_urgent_parts_counts_all_as_urgent() {
    let encoded = encode(&all_urgent());
    let load = LoadMessage {
        worker: 13,
        sends: 3,
        reading_tokens: 400,
        ..LoadMessage::default()
    };
    let demand = DemandMessage {
        service: 20,
        readers: 1.5,
        places: 2.5,
        decoders: 3.5,
        ..DemandMessage::default()
    };
    assert_eq!(encoded, message(load, demand));
    assert_eq!(decode(encoded), all_urgent());
}

/// Guards against parts greater than their whole, negative ones, and values that are no numbers: such
/// a part would let urgent requests wait for nothing, or forever.
#[test]
fn impossible_urgent_parts_change_nothing() {
    for part in [-1.0, 100.0, f32::NAN, f32::INFINITY, f32::NEG_INFINITY] {
        let load = LoadMessage {
            worker: 13,
            sends: 3,
            reading_tokens: 400,
            urgent_sends: Some(4),
            urgent_reading_tokens: Some(u64::MAX),
        };
        let demand = DemandMessage {
            service: 20,
            readers: 1.5,
            places: 2.5,
            decoders: 3.5,
            urgent_readers: Some(part),
            urgent_places: Some(part),
            urgent_decoders: Some(part),
        };
        assert_eq!(decode(message(load, demand)), all_urgent());
    }
}

/// A load as earlier builds define it.
#[derive(Clone, PartialEq, Message)]
struct EarlierLoad {
    #[prost(fixed64, tag = "1")]
    worker: u64,
    #[prost(uint32, tag = "2")]
    sends: u32,
    #[prost(uint64, tag = "3")]
    reading_tokens: u64,
}

/// Guards against new tags that change what an earlier build reads.
#[test]
fn an_earlier_build_ignores_urgent_parts() {
    let load = &encode(&report(LOAD, DEMAND)).loads[0];
    let bytes = load.encode_to_vec();
    let read = EarlierLoad::decode(bytes.as_slice()).expect("valid message");
    let expected = EarlierLoad {
        worker: 13,
        sends: 3,
        reading_tokens: 400,
    };
    assert_eq!(read, expected);
}
