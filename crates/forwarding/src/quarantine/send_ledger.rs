//! Which requests workers may be running, as far as this gateway has sent them.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use tansyhall_core::Timestamp;

use super::Fingerprint;
use crate::worker::WorkerId;

/// How long a send whose answer did not come whole may still be the cause of its worker's end: longer than
/// gateways look after a worker that has lost a connection. Finding out that nothing listens takes
/// milliseconds; that a worker was replaced, until its entry has run out.
const LINGER: Duration = Duration::from_secs(6);

/// Names a send in the ledger.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SendNumber(u64);

#[derive(Debug)]
struct OpenSend {
    number: SendNumber,
    fingerprint: Fingerprint,
    given_up: Option<Timestamp>,
}

/// Sends that are under way or whose answer did not come whole.
#[derive(Debug, Default)]
pub struct SendLedger {
    last: u64,
    workers: HashMap<WorkerId, Vec<OpenSend>>,
}

impl SendLedger {
    /// Notes a send that begins.
    pub fn begin(&mut self, worker: &WorkerId, fingerprint: Fingerprint) -> SendNumber {
        self.last += 1;
        let number = SendNumber(self.last);
        let sends = self.workers.entry(worker.clone()).or_default();
        sends.push(OpenSend {
            number,
            fingerprint,
            given_up: None,
        });
        number
    }

    /// The worker does not run the request any more: it answered it whole, or refused it.
    pub fn settle(&mut self, worker: &WorkerId, number: SendNumber) {
        if let Some(sends) = self.workers.get_mut(worker) {
            sends.retain(|send| send.number != number);
        }
    }

    /// No whole answer came, and none is waited for any more.
    pub fn give_up(&mut self, now: Timestamp, worker: &WorkerId, number: SendNumber) {
        let sends = self.workers.get_mut(worker);
        let mut sends = sends.into_iter().flatten();
        if let Some(send) = sends.find(|send| send.number == number) {
            send.given_up = Some(now);
        }
    }

    /// The worker has ended: the requests that it may have been running, each once. The worker is forgotten.
    pub fn take_ended(&mut self, now: Timestamp, worker: &WorkerId) -> BTreeSet<Fingerprint> {
        let sends = self.workers.remove(worker).unwrap_or_default();
        let open = sends.iter().filter(|send| send.may_run(now));
        open.map(|send| send.fingerprint).collect()
    }

    /// Forgets sends that were given up long ago.
    pub fn expire(&mut self, now: Timestamp) {
        self.workers.retain(|_, sends| {
            sends.retain(|send| send.may_run(now));
            !sends.is_empty()
        });
    }
}

impl OpenSend {
    fn may_run(&self, now: Timestamp) -> bool {
        self.given_up.is_none_or(|at| now.since(at) <= LINGER)
    }
}
