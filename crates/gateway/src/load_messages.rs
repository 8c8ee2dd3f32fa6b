//! Wire format of load reports.

use std::time::Duration;

use crate::urgent_part;
use prost::Message;
use tansyhall_forwarding::{
    Absence, EngineDemand, GatewayKey, LimitStatement, Load, LoadEntry, LoadReport, PartKey,
    PartRead, RateLimit, ServiceKey, StatedLimit, WorkerKey, MAX_PART_TOKENS,
};

use crate::share_messages::{self, SharesMessage};
use crate::tenant_messages::{decode_tenants, encode_tenants, ServiceTenantsMessage};

/// Upper bound for the requests of one gateway at one worker. No gateway has this many, and sums of such numbers do not
/// overflow.
const MAX_SENDS: u32 = 1_000_000;

/// A load report on the wire.
#[derive(Clone, PartialEq, Message)]
pub struct ReportMessage {
    /// The sender's key.
    #[prost(fixed64, tag = "1")]
    pub sender: u64,
    /// Sequence number; increases with each report.
    #[prost(uint64, tag = "2")]
    pub sequence: u64,
    /// Loads of workers.
    #[prost(message, repeated, tag = "3")]
    pub loads: Vec<LoadMessage>,
    /// Prompt parts that workers have read or are reading.
    #[prost(message, repeated, tag = "4")]
    pub parts: Vec<PartMessage>,
    /// Keys of workers that were found to be absent.
    #[prost(fixed64, repeated, tag = "5")]
    pub absences: Vec<u64>,
    /// Demand for the engines of services.
    #[prost(message, repeated, tag = "6")]
    pub demands: Vec<DemandMessage>,
    /// Rate limits that workers have stated. Gateways of earlier versions do not send them.
    #[prost(message, repeated, tag = "7")]
    pub rate_limits: Vec<LimitMessage>,
    /// Division of rate limits by demand; at most one entry. Gateways of earlier versions do not send it.
    #[prost(message, repeated, tag = "8")]
    pub shares: Vec<SharesMessage>,
    /// Rates of tenants' work. Gateways of earlier versions do not send them.
    #[prost(message, repeated, tag = "9")]
    pub tenants: Vec<ServiceTenantsMessage>,
}

/// The rate limit of one worker, on the wire.
#[derive(Clone, PartialEq, Message)]
pub struct LimitMessage {
    /// The worker's key.
    #[prost(fixed64, tag = "1")]
    pub worker: u64,
    /// The statement. A message without it is ignored.
    #[prost(message, optional, tag = "2")]
    pub stated: Option<StatedLimitMessage>,
}

/// A worker's statement about its rate limit, on the wire.
#[derive(Clone, PartialEq, Message)]
pub struct StatedLimitMessage {
    /// The limit in thousandths of a request per second; `None` if the worker has ended the limit.
    #[prost(uint64, optional, tag = "1")]
    pub limit_milli: Option<u64>,
    /// Milliseconds since the worker stated it.
    #[prost(uint64, tag = "2")]
    pub age_ms: u64,
}

impl From<StatedLimit> for StatedLimitMessage {
    fn from(stated: StatedLimit) -> Self {
        Self {
            limit_milli: stated.limit.map(RateLimit::millirequests_per_second),
            age_ms: u64::try_from(stated.age.as_millis()).unwrap_or(u64::MAX),
        }
    }
}

impl From<&StatedLimitMessage> for StatedLimit {
    fn from(message: &StatedLimitMessage) -> Self {
        let limit = message.limit_milli;
        Self {
            limit: limit.map(RateLimit::from_millirequests_per_second),
            age: Duration::from_millis(message.age_ms),
        }
    }
}

/// Demand for the engines of a service, on the wire.
#[derive(Clone, PartialEq, Message)]
pub struct DemandMessage {
    /// The service's key.
    #[prost(fixed64, tag = "1")]
    pub service: u64,
    /// Number of prefill-only engines that the service's long prompts would keep busy.
    #[prost(float, tag = "2")]
    pub readers: f32,
    /// Number of slots of decoding engines that its streams would occupy.
    #[prost(float, tag = "3")]
    pub places: f32,
    /// Number of decoding engines that reading its short prompts would keep busy.
    #[prost(float, tag = "4")]
    pub decoders: f32,
    /// The part of `readers` that the urgent group needs. Absent if it is the whole, and in reports of earlier builds.
    #[prost(float, optional, tag = "5")]
    pub urgent_readers: Option<f32>,
    /// The part of `places` that the urgent group needs; absent as above.
    #[prost(float, optional, tag = "6")]
    pub urgent_places: Option<f32>,
    /// The part of `decoders` that the urgent group needs; absent as above.
    #[prost(float, optional, tag = "7")]
    pub urgent_decoders: Option<f32>,
}

/// The load of one worker, on the wire.
#[derive(Clone, PartialEq, Message)]
pub struct LoadMessage {
    /// The worker's key.
    #[prost(fixed64, tag = "1")]
    pub worker: u64,
    /// Number of sent requests in progress.
    #[prost(uint32, tag = "2")]
    pub sends: u32,
    /// Prompt tokens that the worker has yet to read.
    #[prost(uint64, tag = "3")]
    pub reading_tokens: u64,
    /// The part of `sends` that belongs to the urgent group. Absent if it is the whole, and in reports of earlier builds.
    #[prost(uint32, optional, tag = "4")]
    pub urgent_sends: Option<u32>,
    /// The part of `reading_tokens` that belongs to the urgent group; absent as above.
    #[prost(uint64, optional, tag = "5")]
    pub urgent_reading_tokens: Option<u64>,
}

/// A prompt part that a worker has read or is reading, on the wire.
#[derive(Clone, PartialEq, Message)]
pub struct PartMessage {
    /// The worker's key.
    #[prost(fixed64, tag = "1")]
    pub worker: u64,
    /// The part's key.
    #[prost(fixed64, tag = "2")]
    pub part: u64,
    /// The length of the part in tokens.
    #[prost(uint64, tag = "3")]
    pub tokens: u64,
    /// Whether the worker has finished reading it.
    #[prost(bool, tag = "4")]
    pub ready: bool,
}

/// Encodes a report.
pub fn encode(report: &LoadReport) -> ReportMessage {
    let loads = report.loads.iter().map(encode_load);
    ReportMessage {
        sender: report.sender.0,
        sequence: report.sequence,
        loads: loads.collect(),
        parts: report.parts.iter().map(encode_part).collect(),
        absences: report
            .absences
            .iter()
            .map(|absence| absence.worker.0)
            .collect(),
        demands: report.demands.iter().map(encode_demand).collect(),
        rate_limits: report.rate_limits.iter().map(encode_limit).collect(),
        shares: report.shares.iter().map(share_messages::encode).collect(),
        tenants: encode_tenants(&report.tenants),
    }
}

fn encode_load(entry: &LoadEntry) -> LoadMessage {
    let load = entry.load;
    LoadMessage {
        worker: entry.worker.0,
        sends: load.sends,
        reading_tokens: load.reading_tokens,
        urgent_sends: urgent_part::encode(load.urgent_sends, load.sends),
        urgent_reading_tokens: urgent_part::encode(load.urgent_reading_tokens, load.reading_tokens),
    }
}

fn decode_load(message: &LoadMessage) -> LoadEntry {
    let sends = message.sends.min(MAX_SENDS);
    let reading_tokens = message.reading_tokens.min(MAX_PART_TOKENS);
    LoadEntry {
        worker: WorkerKey(message.worker),
        load: Load {
            sends,
            reading_tokens,
            urgent_sends: urgent_part::decode(message.urgent_sends, sends),
            urgent_reading_tokens: urgent_part::decode(
                message.urgent_reading_tokens,
                reading_tokens,
            ),
        },
    }
}

fn encode_demand(demand: &EngineDemand) -> DemandMessage {
    let readers = demand.prefill_engines as f32;
    let places = demand.decode_slots as f32;
    let decoders = demand.decode_engines as f32;
    DemandMessage {
        service: demand.service.0,
        readers,
        places,
        decoders,
        urgent_readers: urgent_part::encode(demand.urgent_prefill_engines as f32, readers),
        urgent_places: urgent_part::encode(demand.urgent_decode_slots as f32, places),
        urgent_decoders: urgent_part::encode(demand.urgent_decode_engines as f32, decoders),
    }
}

fn encode_limit(statement: &LimitStatement) -> LimitMessage {
    LimitMessage {
        worker: statement.worker.0,
        stated: Some(statement.stated.into()),
    }
}

fn decode_limit(message: &LimitMessage) -> Option<LimitStatement> {
    Some(LimitStatement {
        worker: WorkerKey(message.worker),
        stated: message.stated.as_ref()?.into(),
    })
}

/// Returns the value as `f64`, or 0 if it is negative or not finite.
fn non_negative_or_zero(value: f32) -> f64 {
    match value.is_finite() && value >= 0.0 {
        true => f64::from(value),
        false => 0.0,
    }
}

/// Decodes the demand of one service.
fn decode_demand(message: &DemandMessage) -> EngineDemand {
    let urgent = |part, whole| non_negative_or_zero(urgent_part::decode(part, whole));
    EngineDemand {
        service: ServiceKey(message.service),
        prefill_engines: non_negative_or_zero(message.readers),
        decode_slots: non_negative_or_zero(message.places),
        decode_engines: non_negative_or_zero(message.decoders),
        urgent_prefill_engines: urgent(message.urgent_readers, message.readers),
        urgent_decode_slots: urgent(message.urgent_places, message.places),
        urgent_decode_engines: urgent(message.urgent_decoders, message.decoders),
    }
}

/// Encodes a prompt part.
pub fn encode_part(read: &PartRead) -> PartMessage {
    PartMessage {
        worker: read.worker.0,
        part: read.part.0,
        tokens: read.tokens,
        ready: read.ready,
    }
}

/// Decodes a prompt part.
pub fn decode_part(message: PartMessage) -> PartRead {
    PartRead {
        worker: WorkerKey(message.worker),
        part: PartKey(message.part),
        tokens: message.tokens.min(MAX_PART_TOKENS),
        ready: message.ready,
    }
}

/// Decodes a report.
pub fn decode(message: ReportMessage) -> LoadReport {
    let loads = message.loads.iter().map(decode_load);
    let absences = message.absences.into_iter().map(|key| Absence {
        worker: WorkerKey(key),
    });
    LoadReport {
        sender: GatewayKey(message.sender),
        sequence: message.sequence,
        loads: loads.collect(),
        parts: message.parts.into_iter().map(decode_part).collect(),
        absences: absences.collect(),
        demands: message.demands.iter().map(decode_demand).collect(),
        rate_limits: message
            .rate_limits
            .iter()
            .filter_map(decode_limit)
            .collect(),
        shares: message.shares.first().map(share_messages::decode),
        tenants: decode_tenants(&message.tenants),
    }
}
