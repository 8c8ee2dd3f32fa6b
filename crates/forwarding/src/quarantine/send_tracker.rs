//! Requests that this gateway has sent to workers and that the workers may still be running.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

use tansyhall_core::Timestamp;

use super::Fingerprint;
use crate::worker::WorkerId;

/// How long a send without a complete answer is considered a possible cause of its worker's end. This is longer
/// than a gateway watches a worker after a lost connection. Detecting that nothing listens at the worker's
/// address takes milliseconds; detecting that a worker was replaced takes until its entry expires.
const ABANDONED_SEND_TTL: Duration = Duration::from_secs(6);

/// Identifies a recorded send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SendId(u64);

/// What an ended worker may have been running.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct EndedRequests {
    /// The requests, each with the shared parts of its prompt. Requests with the same body may have different parts.
    pub parts_by_request: BTreeMap<Fingerprint, BTreeSet<Fingerprint>>,
}

impl EndedRequests {
    /// Returns the requests.
    pub fn requests(&self) -> BTreeSet<Fingerprint> {
        self.parts_by_request.keys().copied().collect()
    }

    /// Returns the shared parts of their prompts.
    pub fn parts(&self) -> BTreeSet<Fingerprint> {
        self.parts_by_request.values().flatten().copied().collect()
    }
}

#[derive(Debug)]
struct OpenSend {
    id: SendId,
    fingerprint: Fingerprint,
    parts: Arc<[Fingerprint]>,
    abandoned_at: Option<Timestamp>,
}

/// Sends that are in progress or have not returned a complete answer.
#[derive(Debug, Default)]
pub struct SendTracker {
    last_id: u64,
    workers: HashMap<WorkerId, Vec<OpenSend>>,
}

impl SendTracker {
    /// Records the start of a send of a request whose prompt has these shared parts.
    pub fn begin(
        &mut self,
        worker: &WorkerId,
        fingerprint: Fingerprint,
        parts: Arc<[Fingerprint]>,
    ) -> SendId {
        self.last_id += 1;
        let id = SendId(self.last_id);
        let sends = self.workers.entry(worker.clone()).or_default();
        sends.push(OpenSend {
            id,
            fingerprint,
            parts,
            abandoned_at: None,
        });
        id
    }

    /// Removes a send that the worker no longer runs, because the worker has answered it completely or refused it.
    pub fn finish(&mut self, worker: &WorkerId, id: SendId) {
        if let Some(sends) = self.workers.get_mut(worker) {
            sends.retain(|send| send.id != id);
        }
    }

    /// Records that no complete answer has arrived and that the gateway no longer waits for one.
    pub fn abandon(&mut self, now: Timestamp, worker: &WorkerId, id: SendId) {
        let sends = self.workers.get_mut(worker);
        let mut sends = sends.into_iter().flatten();
        if let Some(send) = sends.find(|send| send.id == id) {
            send.abandoned_at = Some(now);
        }
    }

    /// Removes a worker that has ended, and returns the requests that it may have been running, each once.
    pub fn remove_ended_worker(&mut self, now: Timestamp, worker: &WorkerId) -> EndedRequests {
        let sends = self.workers.remove(worker).unwrap_or_default();
        let mut ended = EndedRequests::default();
        for send in sends.iter().filter(|send| send.may_run(now)) {
            let parts = ended.parts_by_request.entry(send.fingerprint);
            parts.or_default().extend(send.parts.iter().copied());
        }
        ended
    }

    /// Removes sends that were abandoned more than `ABANDONED_SEND_TTL` ago.
    pub fn expire(&mut self, now: Timestamp) {
        self.workers.retain(|_, sends| {
            sends.retain(|send| send.may_run(now));
            !sends.is_empty()
        });
    }
}

impl OpenSend {
    fn may_run(&self, now: Timestamp) -> bool {
        self.abandoned_at
            .is_none_or(|at| now.since(at) <= ABANDONED_SEND_TTL)
    }
}
