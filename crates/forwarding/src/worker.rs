//! A worker as the service discovery announces it.

use std::net::SocketAddr;
use std::sync::Arc;

use tansyhall_core::{Role, ServiceName, ZoneName};

/// Names one incarnation of a worker; a restarted worker has another.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct WorkerId(pub Arc<str>);

impl WorkerId {
    /// The identity as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl From<&str> for WorkerId {
    fn from(text: &str) -> Self {
        Self(Arc::from(text))
    }
}

impl std::fmt::Display for WorkerId {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str(&self.0)
    }
}

/// Whether a worker takes new requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WorkerState {
    /// It does.
    Ready,
    /// It finishes what it has and leaves.
    Draining,
}

/// What a worker costs, and whether it may be withdrawn.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Default)]
pub enum WorkerKind {
    /// It stays for as long as it is wanted.
    #[default]
    Reserved,
    /// It costs less, and all of its kind may be withdrawn from a zone at once.
    Spot,
}

impl WorkerKind {
    /// Its name in logs and metrics.
    pub const fn name(self) -> &'static str {
        match self {
            WorkerKind::Reserved => "reserved",
            WorkerKind::Spot => "spot",
        }
    }
}

/// One incarnation of a worker.
#[derive(Debug, Clone, PartialEq)]
pub struct Worker {
    /// Its identity.
    pub id: WorkerId,
    /// The service it works for.
    pub service: ServiceName,
    /// Where it listens.
    pub address: SocketAddr,
    /// The zone it runs in.
    pub zone: ZoneName,
    /// Requests it works on at once.
    pub slots: u32,
    /// Whether it takes new requests.
    pub state: WorkerState,
    /// The role of a model engine; none for other workers.
    pub role: Option<Role>,
    /// What it costs.
    pub kind: WorkerKind,
}
