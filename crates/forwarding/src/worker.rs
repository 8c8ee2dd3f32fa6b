//! Workers as announced by service discovery.

use std::net::SocketAddr;
use std::sync::Arc;

use tansyhall_core::{Role, ServiceName, ZoneName};

/// Separates a worker's name from the start time of its incarnation. No name contains it: names are sent in headers,
/// which must not contain control characters.
const START_SEPARATOR: char = '\u{1f}';

/// Identifies one incarnation of a worker. A worker that restarts may keep its name, but it has lost its state, so that
/// nothing that is known of one incarnation applies to another.
#[derive(Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct WorkerId {
    /// The name, followed by the start time if the worker reports one.
    qualified_name: Arc<str>,
}

impl WorkerId {
    /// Returns the incarnation of the worker `name` that started at `started_at`, in milliseconds since the Unix epoch.
    /// Without a start time, the name alone identifies the incarnation.
    pub fn of_incarnation(name: &str, started_at: Option<u64>) -> Self {
        match started_at {
            None => Self::from(name),
            Some(started_at) => Self::from(format!("{name}{START_SEPARATOR}{started_at}").as_str()),
        }
    }

    /// Returns the worker's own name, for requests to the worker and for logs.
    pub fn as_str(&self) -> &str {
        self.name_and_start().0
    }

    /// Returns the name and the start time as one string, for messages between gateways. [`WorkerId::from`] parses it.
    pub fn qualified_name(&self) -> &str {
        &self.qualified_name
    }

    /// Returns whether this is an earlier incarnation of the same worker as `other`.
    pub fn is_earlier_incarnation_of(&self, other: &Self) -> bool {
        let (name, started_at) = self.name_and_start();
        let (other_name, other_started_at) = other.name_and_start();
        name == other_name && started_at < other_started_at
    }

    /// Returns when the incarnation has started, in milliseconds since the Unix epoch, if the worker reports it.
    pub fn started_at(&self) -> Option<u64> {
        self.name_and_start().1
    }

    fn name_and_start(&self) -> (&str, Option<u64>) {
        match self.qualified_name.split_once(START_SEPARATOR) {
            None => (&self.qualified_name, None),
            Some((name, started_at)) => (name, started_at.parse().ok()),
        }
    }
}

impl From<&str> for WorkerId {
    fn from(qualified_name: &str) -> Self {
        Self {
            qualified_name: Arc::from(qualified_name),
        }
    }
}

impl std::fmt::Debug for WorkerId {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "WorkerId({self})")
    }
}

impl std::fmt::Display for WorkerId {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self.name_and_start() {
            (name, None) => formatter.write_str(name),
            (name, Some(started_at)) => write!(formatter, "{name} started at {started_at}"),
        }
    }
}

/// Whether a worker accepts new requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WorkerState {
    /// It accepts new requests.
    Ready,
    /// It finishes the requests that it has and then exits.
    Draining,
}

/// The pricing class of a worker, and whether the platform may withdraw it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Default)]
pub enum WorkerKind {
    /// Runs for as long as it is needed; the platform does not withdraw it.
    #[default]
    Reserved,
    /// Costs less, but the platform may withdraw all spot workers of a zone at once.
    Spot,
}

impl WorkerKind {
    /// Returns the name used in logs and metrics.
    pub const fn name(self) -> &'static str {
        match self {
            WorkerKind::Reserved => "reserved",
            WorkerKind::Spot => "spot",
        }
    }
}

/// The version of a worker's software. What workers of two versions write does not fit together.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct SoftwareVersion(Arc<str>);

impl SoftwareVersion {
    /// Returns the version as the worker states it.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl From<&str> for SoftwareVersion {
    fn from(version: &str) -> Self {
        Self(Arc::from(version))
    }
}

/// One incarnation of a worker.
#[derive(Debug, Clone, PartialEq)]
pub struct Worker {
    /// The incarnation.
    pub id: WorkerId,
    /// The service that it belongs to.
    pub service: ServiceName,
    /// The address that it listens on.
    pub address: SocketAddr,
    /// The zone that it runs in.
    pub zone: ZoneName,
    /// The number of requests that it processes concurrently.
    pub slots: u32,
    /// Whether it accepts new requests.
    pub state: WorkerState,
    /// The role of a model engine; `None` for other workers.
    pub role: Option<Role>,
    /// Its pricing class.
    pub kind: WorkerKind,
    /// The version of its software.
    pub version: SoftwareVersion,
}
