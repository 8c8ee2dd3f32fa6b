//! Reports of load as they are sent.

use std::time::Duration;

use prost::Message;
use tansyhall_forwarding::{
    Absence, EngineDemand, GatewayKey, LimitStatement, Load, LoadEntry, LoadReport, PartKey,
    PartRead, RateLimit, ServiceKey, StatedLimit, WorkerKey,
};

/// A report on the wire.
#[derive(Clone, PartialEq, Message)]
pub struct ReportMessage {
    /// The sender's key.
    #[prost(fixed64, tag = "1")]
    pub sender: u64,
    /// Grows with each report.
    #[prost(uint64, tag = "2")]
    pub sequence: u64,
    /// Loads.
    #[prost(message, repeated, tag = "3")]
    pub loads: Vec<LoadMessage>,
    /// Parts read.
    #[prost(message, repeated, tag = "4")]
    pub parts: Vec<PartMessage>,
    /// Keys of workers that were found absent.
    #[prost(fixed64, repeated, tag = "5")]
    pub absences: Vec<u64>,
    /// What is asked of services.
    #[prost(message, repeated, tag = "6")]
    pub demands: Vec<DemandMessage>,
    /// What workers have stated of their rate limits; gateways of earlier versions don't tell it.
    #[prost(message, repeated, tag = "7")]
    pub rate_limits: Vec<LimitMessage>,
}

/// The rate limit of one worker, on the wire.
#[derive(Clone, PartialEq, Message)]
pub struct LimitMessage {
    /// The worker's key.
    #[prost(fixed64, tag = "1")]
    pub worker: u64,
    /// What it has stated; a message without it is passed over.
    #[prost(message, optional, tag = "2")]
    pub stated: Option<StatedLimitMessage>,
}

/// What a worker has stated of its rate limit, on the wire.
#[derive(Clone, PartialEq, Message)]
pub struct StatedLimitMessage {
    /// The limit in thousandths of a request a second; none if it has ended.
    #[prost(uint64, optional, tag = "1")]
    pub limit_milli: Option<u64>,
    /// How many milliseconds ago the worker stated it.
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

/// What is asked of a service, on the wire.
#[derive(Clone, PartialEq, Message)]
pub struct DemandMessage {
    /// The service's key.
    #[prost(fixed64, tag = "1")]
    pub service: u64,
    /// Engines that it would keep busy with reading.
    #[prost(float, tag = "2")]
    pub readers: f32,
    /// Places that its streams would hold.
    #[prost(float, tag = "3")]
    pub places: f32,
    /// Engines that decode which its short prompts would keep busy with reading.
    #[prost(float, tag = "4")]
    pub decoders: f32,
}

/// A load on the wire.
#[derive(Clone, PartialEq, Message)]
pub struct LoadMessage {
    /// The worker's key.
    #[prost(fixed64, tag = "1")]
    pub worker: u64,
    /// Sends under way.
    #[prost(uint32, tag = "2")]
    pub sends: u32,
    /// Prompt tokens still to be read.
    #[prost(uint64, tag = "3")]
    pub reading_tokens: u64,
}

/// A part read on the wire.
#[derive(Clone, PartialEq, Message)]
pub struct PartMessage {
    /// The worker's key.
    #[prost(fixed64, tag = "1")]
    pub worker: u64,
    /// The part's key.
    #[prost(fixed64, tag = "2")]
    pub part: u64,
    /// Its length.
    #[prost(uint64, tag = "3")]
    pub tokens: u64,
    /// Whether the reading has ended.
    #[prost(bool, tag = "4")]
    pub ready: bool,
}

/// A report for the wire.
pub fn encode(report: &LoadReport) -> ReportMessage {
    let loads = report.loads.iter().map(|entry| LoadMessage {
        worker: entry.worker.0,
        sends: entry.load.sends,
        reading_tokens: entry.load.reading_tokens,
    });
    ReportMessage {
        sender: report.sender.0,
        sequence: report.sequence,
        loads: loads.collect(),
        parts: report.parts.iter().map(encode_part).collect(),
        absences: report.absences.iter().map(|one| one.worker.0).collect(),
        demands: report.demands.iter().map(encode_demand).collect(),
        rate_limits: report.rate_limits.iter().map(encode_limit).collect(),
    }
}

fn encode_demand(demand: &EngineDemand) -> DemandMessage {
    DemandMessage {
        service: demand.service.0,
        readers: demand.prefill_engines as f32,
        places: demand.decode_slots as f32,
        decoders: demand.decode_engines as f32,
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

/// What is no possible figure counts as nothing.
fn possible(figure: f32) -> f64 {
    match figure.is_finite() && figure >= 0.0 {
        true => f64::from(figure),
        false => 0.0,
    }
}

/// A demand from the wire.
fn decode_demand(message: &DemandMessage) -> EngineDemand {
    EngineDemand {
        service: ServiceKey(message.service),
        prefill_engines: possible(message.readers),
        decode_slots: possible(message.places),
        decode_engines: possible(message.decoders),
    }
}

/// A part for the wire.
pub fn encode_part(read: &PartRead) -> PartMessage {
    PartMessage {
        worker: read.worker.0,
        part: read.part.0,
        tokens: read.tokens,
        ready: read.ready,
    }
}

/// A part from the wire.
pub fn decode_part(message: PartMessage) -> PartRead {
    PartRead {
        worker: WorkerKey(message.worker),
        part: PartKey(message.part),
        tokens: message.tokens,
        ready: message.ready,
    }
}

/// A report from the wire.
pub fn decode(message: ReportMessage) -> LoadReport {
    let loads = message.loads.into_iter().map(|entry| LoadEntry {
        worker: WorkerKey(entry.worker),
        load: Load {
            sends: entry.sends,
            reading_tokens: entry.reading_tokens,
        },
    });
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
    }
}
