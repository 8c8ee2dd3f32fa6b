//! A worker as the service discovery announces it.

use std::net::SocketAddr;
use std::sync::Arc;

use tansyhall_core::{Role, ServiceName, ZoneName};

/// Stands between a worker's name and its birth. No name holds it: names travel in headers, which may not.
const BIRTH_SEPARATOR: char = '\u{1f}';

/// Names one life of a worker. A worker that starts again may keep its name; it then holds and knows nothing of
/// before, so that nothing that is known of one life counts for another.
#[derive(Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct WorkerId {
    /// The name, and the birth if the worker tells it.
    life: Arc<str>,
}

impl WorkerId {
    /// The life of the worker `name` that began at `born`, in milliseconds since 1970. Without a birth, the name
    /// itself stands for one life.
    pub fn of_life(name: &str, born: Option<u64>) -> Self {
        match born {
            None => Self::from(name),
            Some(born) => Self::from(format!("{name}{BIRTH_SEPARATOR}{born}").as_str()),
        }
    }

    /// The name, as the worker knows itself: for what is sent to it and for logs.
    pub fn as_str(&self) -> &str {
        self.parts().0
    }

    /// Name and birth as one text, for messages between gateways; [`WorkerId::from`] reads it.
    pub fn life(&self) -> &str {
        &self.life
    }

    /// Whether this is an earlier life of the worker whose other life that is.
    pub fn is_before(&self, other: &Self) -> bool {
        let (name, born) = self.parts();
        let (other_name, other_born) = other.parts();
        name == other_name && born < other_born
    }

    fn parts(&self) -> (&str, Option<u64>) {
        match self.life.split_once(BIRTH_SEPARATOR) {
            None => (&self.life, None),
            Some((name, born)) => (name, born.parse().ok()),
        }
    }
}

impl From<&str> for WorkerId {
    fn from(life: &str) -> Self {
        Self {
            life: Arc::from(life),
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
        match self.parts() {
            (name, None) => formatter.write_str(name),
            (name, Some(born)) => write!(formatter, "{name} born {born}"),
        }
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

/// One life of a worker.
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
