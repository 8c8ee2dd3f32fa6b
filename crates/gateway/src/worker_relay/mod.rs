//! Connections to workers through other gateways, for workers that this gateway cannot reach itself.
//!
//! [`tansyhall_forwarding::worker_paths`] decides when to use a relay. [`race`] opens a connection directly or through
//! relays, [`client`] is the gateway's end of a relayed connection, [`server`] and `tunnel` are the relay's, and [`probes`]
//! finds out when the direct path works again.

pub mod client;
pub mod message;
pub mod probes;
mod race;
pub mod server;
mod tunnel;

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

use parking_lot::{Mutex, RwLock};
use prometheus::{IntCounterVec, IntGauge};
use tansyhall_core::time::MonotonicClock;
use tansyhall_core::{Timestamp, ZoneName};
use tansyhall_forwarding::{
    ConnectFailure, DirectOutcome, Directory, IdleRule, PathChange, RelayOutcome, RelayPeer,
    WorkerId, WorkerPath, WorkerPaths,
};
use tokio::net::TcpStream;

use crate::events::{Event, EventLog, Priority};
use crate::metrics::Metrics;
use crate::presence::Member;
use crate::state::saturating_millis;
use crate::worker_connect::{check_alive, TcpConnector, WorkerConnector};
use client::RelayedStream;
use server::{RelayServer, MAX_RELAYED_CONNECTIONS};

/// Time in which a doubtful connection for a request may be reset before it is used.
const REQUEST_CHECK_TIME: Duration = Duration::from_millis(30);
/// Time in which the connection of a probe may be reset before it counts as established.
const PROBE_CHECK_TIME: Duration = Duration::from_millis(100);

/// A connection to a worker.
pub enum WorkerStream {
    /// From this gateway to the worker.
    Direct(TcpStream),
    /// Through the gateway with this name.
    Relayed(RelayedStream, Arc<str>),
}

/// Why no connection to a worker was established.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{detail}")]
pub struct ConnectError {
    /// The reason.
    pub failure: ConnectFailure,
    /// The last error.
    pub detail: String,
}

impl ConnectError {
    /// Creates the error of a direct attempt that no relay has followed.
    pub fn of_direct(outcome: DirectOutcome, error: &std::io::Error) -> Self {
        Self {
            failure: match outcome {
                DirectOutcome::Refused => ConnectFailure::WorkerRefused,
                _ => ConnectFailure::WorkerUnreachable,
            },
            detail: error.to_string(),
        }
    }
}

/// What relays say about a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RelayedCheck {
    /// A relay has connected to it.
    Connected,
    /// Its address refuses connections.
    Refused,
    /// No relay could be asked, or none reached it.
    Unknown,
}

/// The gateways that may be asked to relay connections, and their addresses in the same order.
#[derive(Debug, Default)]
struct Peers {
    peers: Vec<RelayPeer>,
    addresses: Vec<SocketAddr>,
}

/// The paths to workers, and the relays that are asked when the direct ones fail.
pub struct WorkerRelays {
    clock: MonotonicClock,
    log: Arc<EventLog>,
    attempts: IntCounterVec,
    partitioned: IntGauge,
    is_enabled: AtomicBool,
    paths: Mutex<WorkerPaths>,
    peers: RwLock<Arc<Peers>>,
    directory: Arc<Mutex<Directory>>,
    connector: Arc<dyn WorkerConnector>,
    /// The connections that this gateway relays for others.
    pub server: RelayServer,
}

impl std::fmt::Debug for WorkerRelays {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("WorkerRelays")
    }
}

impl WorkerRelays {
    /// Creates the paths of a gateway in this zone, without relays.
    pub fn new(
        clock: MonotonicClock,
        zone: ZoneName,
        directory: Arc<Mutex<Directory>>,
        log: Arc<EventLog>,
        metrics: &Metrics,
    ) -> Self {
        Self {
            clock,
            log,
            attempts: metrics.relayed_connections.clone(),
            partitioned: metrics.partitioned.clone(),
            is_enabled: AtomicBool::new(true),
            paths: Mutex::new(WorkerPaths::new(zone)),
            peers: RwLock::default(),
            directory,
            connector: Arc::new(TcpConnector::default()),
            server: RelayServer::new(MAX_RELAYED_CONNECTIONS),
        }
    }

    /// Replaces the way in which direct connections are opened.
    pub fn with_connector(mut self, connector: Arc<dyn WorkerConnector>) -> Self {
        self.connector = connector;
        self
    }

    /// Replaces the maximum number of connections that are relayed for others.
    pub fn with_max_relayed(mut self, max_relayed: usize) -> Self {
        self.server = RelayServer::new(max_relayed);
        self
    }

    /// Sets whether relays are asked. Connections of other gateways are relayed in any case.
    pub fn set_enabled(&self, is_enabled: bool) {
        self.is_enabled.store(is_enabled, Ordering::Relaxed);
        if !is_enabled {
            self.paths.lock().reset();
            self.partitioned.set(0);
        }
    }

    /// Sets the announced gateways; `own_name` is not asked.
    pub fn set_members(&self, own_name: &str, members: &[Member]) {
        let others = members.iter().filter(|member| member.name != own_name);
        let (peers, addresses) = others
            .map(|member| {
                let peer = RelayPeer {
                    name: member.name.clone(),
                    zone: member.zone.clone(),
                };
                (peer, member.load_address)
            })
            .unzip();
        *self.peers.write() = Arc::new(Peers { peers, addresses });
    }

    /// Updates the announced workers, and forgets what was known about others.
    pub fn prune(&self) {
        let mut paths = self.paths.lock();
        let directory = self.directory.lock();
        paths.set_known_workers(directory.ready_workers());
        paths.prune(self.clock.now(), |worker| directory.get(worker).is_some());
    }

    /// Returns whether this gateway is partitioned from its workers.
    pub fn is_partitioned(&self) -> bool {
        self.paths.lock().is_partitioned()
    }

    /// Returns whether this gateway is partitioned, or fails to reach several workers and does not know why.
    pub fn may_be_partitioned(&self) -> bool {
        self.paths.lock().may_be_partitioned(self.clock.now())
    }

    /// Returns which idle connections to a worker may still be used.
    pub fn idle_rule(&self, worker: &WorkerId) -> IdleRule {
        self.paths.lock().idle_rule(worker)
    }

    /// Asks for a probe of the direct path to a worker that was silent.
    pub fn want_probe(&self, worker: &WorkerId) {
        if self.is_enabled() {
            self.paths.lock().want_probe(worker);
        }
    }

    /// Records the result of a direct connection attempt.
    pub fn record_direct(&self, worker: &WorkerId, outcome: DirectOutcome) {
        if !self.is_enabled() {
            return;
        }
        let now = self.clock.now();
        let change = self.paths.lock().record_direct(now, worker, outcome);
        self.report(worker, change);
    }

    /// Records that something was received on a direct connection that was opened at `opened_at`.
    pub fn record_answered(&self, worker: &WorkerId, opened_at: Timestamp) {
        if !self.is_enabled() {
            return;
        }
        let change = self.paths.lock().record_answered(worker, opened_at);
        self.report(worker, change);
    }

    /// Returns the clock of the timestamps.
    pub fn clock(&self) -> MonotonicClock {
        self.clock
    }

    fn record_relayed(&self, peer: &RelayPeer, worker: &WorkerId, outcome: RelayOutcome) {
        self.attempts.with_label_values(&[outcome.name()]).inc();
        let now = self.clock.now();
        let change = self.paths.lock().record_relayed(now, peer, worker, outcome);
        self.report(worker, change);
    }

    fn report(&self, worker: &WorkerId, change: Option<PathChange>) {
        let Some(change) = change else {
            return;
        };
        let now = self.clock.now();
        let event = match change {
            PathChange::Partitioned {
                since,
                failed_workers,
                by_refusal,
            } => Event::WorkerPaths {
                state: "partitioned",
                worker: worker.as_str(),
                failed_workers,
                by_refusal,
                since_ms: saturating_millis(now.since(since)),
            },
            PathChange::Restored { since } => Event::WorkerPaths {
                state: "restored",
                worker: worker.as_str(),
                failed_workers: 0,
                by_refusal: false,
                since_ms: saturating_millis(now.since(since)),
            },
        };
        let is_partitioned = matches!(change, PathChange::Partitioned { .. });
        self.partitioned.set(i64::from(is_partitioned));
        self.log.record(Priority::Important, &event);
    }

    /// Opens a direct connection for a request. While other connections fail, it is checked whether it is reset at once.
    async fn open_direct(
        &self,
        worker: &WorkerId,
        address: SocketAddr,
    ) -> std::io::Result<TcpStream> {
        let stream = self.connector.connect(address).await?;
        if self.paths.lock().doubts_direct(self.clock.now(), worker) {
            check_alive(&stream, REQUEST_CHECK_TIME).await?;
        }
        Ok(stream)
    }

    /// Returns the address of an announced worker.
    fn address_of(&self, worker: &WorkerId) -> Option<SocketAddr> {
        let directory = self.directory.lock();
        directory.get(worker).map(|worker| worker.address)
    }

    fn is_enabled(&self) -> bool {
        self.is_enabled.load(Ordering::Relaxed)
    }

    fn path_to(&self, worker: &WorkerId) -> WorkerPath {
        match self.is_enabled() {
            true => self.paths.lock().path_to(worker),
            false => WorkerPath::DirectFirst,
        }
    }

    fn peers(&self) -> Arc<Peers> {
        match self.is_enabled() {
            true => self.peers.read().clone(),
            false => Arc::default(),
        }
    }
}
