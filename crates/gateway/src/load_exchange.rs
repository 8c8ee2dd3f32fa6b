//! Sends reports of the load that this gateway places to the others that place some, and takes
//! datagrams in. A lost report is made good by the next.

use std::sync::Arc;
use std::time::Duration;

use prost::Message;
use tansyhall_forwarding::scheduler_plan::FULL_EXCHANGE;
use tansyhall_forwarding::{
    Absence, EngineDemand, GatewayKey, Load, LoadEntry, LoadReport, PartKey, PartRead, ServiceKey,
    WorkerKey,
};
use tokio::time::sleep;

use crate::datagrams::{Datagram, MAX_DATAGRAM_BYTES};
use crate::fleet::Fleet;
use crate::placement;
use crate::role_authority;
use crate::state::Shared;

/// Pause between reports.
const PACE: Duration = Duration::from_millis(20);
/// Pause between two looks for placements whose time is over.
const EXPIRY_PACE: Duration = Duration::from_millis(200);

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

/// Sends and receives for ever.
pub async fn run(shared: Arc<Shared>) {
    tokio::join!(send(&shared), receive(&shared));
}

async fn send(shared: &Shared) {
    let mut expired = shared.now();
    loop {
        let fleet = shared.fleet.read().clone();
        sleep(pace(&fleet)).await;
        let now = shared.now();
        if now.since(expired) >= EXPIRY_PACE {
            expired = now;
            placement::expire(shared);
        }
        let due = {
            let mut directory = shared.directory.lock();
            directory.set_exchange(others(shared, &fleet), pace(&fleet));
            directory.report_due(now)
        };
        if let Some(report) = due.filter(|_| places_requests(shared, &fleet)) {
            tell(shared, &fleet, &report);
        }
    }
}

/// Other gateways that place requests.
fn others(shared: &Shared, fleet: &Fleet) -> usize {
    let all = match shared.settings.read().decisions.schedulers {
        true => fleet.plan.schedulers(),
        false => fleet.len(),
    };
    all.saturating_sub(1)
}

/// Whether what this gateway has under way is known to no scheduler.
fn places_requests(shared: &Shared, fleet: &Fleet) -> bool {
    let settings = shared.settings.read();
    let for_itself = !settings.decisions.schedulers || fleet.plan.is_scheduler(&settings.node.name);
    for_itself || shared.ledger.lock().is_asked()
}

/// Sends a report to those who place requests, and to the holder of the authority over roles.
fn tell(shared: &Shared, fleet: &Fleet, report: &LoadReport) {
    let settings = shared.settings.read().clone();
    let datagram = Datagram::report(encode(report)).encode_to_vec();
    let own = settings.node.name.as_str();
    let holder = role_authority::holder(&shared.mirror.lock());
    let holder = holder.filter(|name| !fleet.plan.is_listener(name));
    let listeners: Vec<&str> = match settings.decisions.schedulers {
        true => fleet.plan.listeners().chain(holder.as_deref()).collect(),
        false => fleet.names().collect(),
    };
    let others = listeners.into_iter().filter(|name| *name != own);
    for address in others.filter_map(|name| fleet.load_address(name)) {
        shared.datagrams.send_encoded(address, &datagram);
    }
}

/// The pause between reports: it grows with those that report, so that what each gets does not.
fn pace(fleet: &Fleet) -> Duration {
    let stretch = fleet.plan.schedulers().div_ceil(FULL_EXCHANGE).max(1);
    PACE * u32::try_from(stretch).unwrap_or(u32::MAX)
}

async fn receive(shared: &Shared) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let Some((datagram, sender)) = shared.datagrams.receive(&mut buffer).await else {
            continue;
        };
        if let Some(report) = datagram.report {
            let now = shared.now();
            shared.directory.lock().hear(now, &decode(report));
        }
        if let Some(question) = datagram.question {
            placement::answer(shared, sender, question);
        }
        if let Some(answer) = datagram.answer {
            match answer.decode_answer() {
                Ok((id, answer)) => shared.placements.take_answer(id, answer),
                Err(error) => log::warn!("an answer of {sender} is passed over: {error:#}"),
            }
        }
    }
}

fn encode(report: &LoadReport) -> ReportMessage {
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
    }
}

fn encode_demand(demand: &EngineDemand) -> DemandMessage {
    DemandMessage {
        service: demand.service.0,
        readers: demand.readers as f32,
        places: demand.places as f32,
        decoders: demand.decoders as f32,
    }
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
        readers: possible(message.readers),
        places: possible(message.places),
        decoders: possible(message.decoders),
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

fn decode(message: ReportMessage) -> LoadReport {
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
    }
}
