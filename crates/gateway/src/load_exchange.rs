//! Sends reports of this gateway's load to the others and takes theirs in, as datagrams. A lost
//! one is made good by the next.

use std::future::Future;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

use anyhow::{Context, Result};
use prost::Message;
use tansyhall_forwarding::{
    Absence, EngineDemand, GatewayKey, Load, LoadEntry, LoadReport, PartKey, PartRead, ServiceKey,
    WorkerKey,
};
use tokio::net::UdpSocket;
use tokio::time::sleep;

use crate::presence;
use crate::state::Shared;

/// Gateways up to which reports are sent at the full pace.
const GATEWAYS_AT_FULL_PACE: u64 = 12;
/// Pause between reports.
const PACE: Duration = Duration::from_millis(20);
/// The longest datagram.
const MAX_DATAGRAM_BYTES: usize = 16 << 10;

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

/// Binds the socket; the returned task sends and receives for ever.
pub async fn run(shared: Arc<Shared>, address: SocketAddr) -> Result<impl Future<Output = ()>> {
    let socket = UdpSocket::bind(address)
        .await
        .with_context(|| format!("listen.load = {address}"))?;
    Ok(async move {
        tokio::join!(send(&shared, &socket), receive(&shared, &socket));
    })
}

async fn send(shared: &Shared, socket: &UdpSocket) {
    loop {
        sleep(pace(shared)).await;
        let due = shared.directory.lock().report_due(shared.now());
        let Some(report) = due else { continue };
        let datagram = encode(&report).encode_to_vec();
        let own = shared.settings.read().listen.load;
        let members = presence::members(&shared.mirror.lock());
        for member in members.iter().filter(|member| member.load != own) {
            let _ = socket.try_send_to(&datagram, member.load);
        }
    }
}

/// The pause between reports: it grows with the fleet, so that what a gateway sends does not.
fn pace(shared: &Shared) -> Duration {
    let gateways = shared.gateways.load(Ordering::Relaxed);
    let stretch = gateways.div_ceil(GATEWAYS_AT_FULL_PACE).max(1);
    PACE * u32::try_from(stretch).unwrap_or(u32::MAX)
}

async fn receive(shared: &Shared, socket: &UdpSocket) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let Ok((length, _)) = socket.recv_from(&mut buffer).await else {
            continue;
        };
        match ReportMessage::decode(&buffer[..length]) {
            Ok(message) => {
                let now = shared.now();
                shared.directory.lock().hear(now, &decode(message));
            }
            Err(error) => log::debug!("a datagram that is no report: {error}"),
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
