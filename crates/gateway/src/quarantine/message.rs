//! Wire format of the updates about requests, or prompt parts, that crash workers.

use prost::Message;
use tansyhall_forwarding::{Fingerprint, QuarantineUpdate, WorkerEnds, WorkerKey};

/// An update that a gateway sends to others.
#[derive(Clone, PartialEq, Message)]
pub struct QuarantineUpdateMessage {
    /// Workers that ended while running requests.
    #[prost(message, repeated, tag = "1")]
    pub sightings: Vec<WorkerEndsMessage>,
    /// Fingerprints of requests that workers have answered completely.
    #[prost(fixed64, repeated, tag = "2")]
    pub absolved: Vec<u64>,
}

/// Workers that ended while running a request, or requests with a prompt part.
#[derive(Clone, PartialEq, Message)]
pub struct WorkerEndsMessage {
    /// Fingerprint of the request or the part.
    #[prost(fixed64, tag = "1")]
    pub fingerprint: u64,
    /// Keys of the workers.
    #[prost(fixed64, repeated, tag = "2")]
    pub workers: Vec<u64>,
    /// Whether the sender bars the prompt part.
    #[prost(bool, tag = "3")]
    pub is_barred: bool,
    /// Whether a gateway has begun a trial of the prompt part.
    #[prost(bool, tag = "4")]
    pub is_tried: bool,
    /// Whether a trial of the prompt part has ended its worker.
    #[prost(bool, tag = "5")]
    pub is_confirmed: bool,
}

impl From<&QuarantineUpdate> for QuarantineUpdateMessage {
    fn from(update: &QuarantineUpdate) -> Self {
        let worker_ends = update.worker_ends.iter().map(|ends| WorkerEndsMessage {
            fingerprint: ends.fingerprint.0,
            workers: ends.workers.iter().map(|worker| worker.0).collect(),
            is_barred: ends.is_barred,
            is_tried: ends.is_tried,
            is_confirmed: ends.is_confirmed,
        });
        Self {
            sightings: worker_ends.collect(),
            absolved: update
                .cleared
                .iter()
                .map(|fingerprint| fingerprint.0)
                .collect(),
        }
    }
}

impl From<QuarantineUpdateMessage> for QuarantineUpdate {
    fn from(message: QuarantineUpdateMessage) -> Self {
        let worker_ends = message.sightings.into_iter().map(|ends| WorkerEnds {
            fingerprint: Fingerprint(ends.fingerprint),
            workers: ends.workers.into_iter().map(WorkerKey).collect(),
            is_barred: ends.is_barred,
            is_tried: ends.is_tried,
            is_confirmed: ends.is_confirmed,
        });
        Self {
            worker_ends: worker_ends.collect(),
            cleared: message.absolved.into_iter().map(Fingerprint).collect(),
        }
    }
}
