//! News of requests under which workers end, on the wire.

use prost::Message;
use tansyhall_forwarding::{Fingerprint, QuarantineUpdate, WorkerEnds, WorkerKey};

/// What a gateway tells others.
#[derive(Clone, PartialEq, Message)]
pub struct NewsMessage {
    /// Workers that ended under requests.
    #[prost(message, repeated, tag = "1")]
    pub sightings: Vec<SightingMessage>,
    /// Fingerprints of requests that workers have answered whole.
    #[prost(fixed64, repeated, tag = "2")]
    pub absolved: Vec<u64>,
}

/// Workers that ended under a request.
#[derive(Clone, PartialEq, Message)]
pub struct SightingMessage {
    /// The request's fingerprint.
    #[prost(fixed64, tag = "1")]
    pub fingerprint: u64,
    /// The workers' keys.
    #[prost(fixed64, repeated, tag = "2")]
    pub workers: Vec<u64>,
}

impl From<&QuarantineUpdate> for NewsMessage {
    fn from(news: &QuarantineUpdate) -> Self {
        let sightings = news.worker_ends.iter().map(|sighting| SightingMessage {
            fingerprint: sighting.fingerprint.0,
            workers: sighting.workers.iter().map(|worker| worker.0).collect(),
        });
        Self {
            sightings: sightings.collect(),
            absolved: news.cleared.iter().map(|one| one.0).collect(),
        }
    }
}

impl From<NewsMessage> for QuarantineUpdate {
    fn from(message: NewsMessage) -> Self {
        let sightings = message.sightings.into_iter().map(|sighting| WorkerEnds {
            fingerprint: Fingerprint(sighting.fingerprint),
            workers: sighting.workers.into_iter().map(WorkerKey).collect(),
        });
        Self {
            worker_ends: sightings.collect(),
            cleared: message.absolved.into_iter().map(Fingerprint).collect(),
        }
    }
}
