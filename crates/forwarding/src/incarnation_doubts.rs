//! Workers that may have restarted since their entries were written. A worker that restarts loses its connections, and may
//! run other software under the same name and address before its new entry is known.

use std::collections::HashMap;

use crate::worker::WorkerId;

/// Why a worker may not be the incarnation that its entry describes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Doubt {
    /// A connection to it was lost or is its first one, or it goes on with a stream that another worker may have begun. The
    /// causes are numbered, so that an answer about one does not settle a later one.
    Open(u64),
    /// Another incarnation has answered at its address.
    Ended,
}

/// Doubts about the incarnations of workers. No doubt is kept of workers without a start time: their incarnations differ in
/// their names.
#[derive(Debug, Default)]
pub struct IncarnationDoubts {
    doubts: HashMap<WorkerId, Doubt>,
    causes: u64,
}

impl IncarnationDoubts {
    /// Records that a connection to a worker was lost, or that its address refused one.
    pub fn record_loss(&mut self, worker: &WorkerId) {
        self.record_cause(worker);
    }

    /// Records that a worker has begun to go on with a stream. It may have restarted before without the loss of a connection
    /// to this gateway, which then knows only its earlier entry.
    pub fn record_continuation(&mut self, worker: &WorkerId) {
        self.record_cause(worker);
    }

    /// Records that a connection to a worker is about to be opened, that there is none, and that its entry may be out of date.
    pub fn record_first_connection(&mut self, worker: &WorkerId) {
        self.record_cause(worker);
    }

    fn record_cause(&mut self, worker: &WorkerId) {
        if worker.started_at().is_none() || self.doubt(worker) == Some(Doubt::Ended) {
            return;
        }
        self.causes += 1;
        let doubt = Doubt::Open(self.causes);
        self.doubts.insert(worker.clone(), doubt);
    }

    /// Returns the doubt about a worker, if there is one.
    pub fn doubt(&self, worker: &WorkerId) -> Option<Doubt> {
        self.doubts.get(worker).copied()
    }

    /// Records when the incarnation at the worker's address has started, as asked for because of this doubt. A worker that
    /// does not say it is not asked again before another loss.
    pub fn settle(&mut self, worker: &WorkerId, doubt: Doubt, started_at: Option<u64>) {
        if started_at.is_some() && started_at != worker.started_at() {
            self.doubts.insert(worker.clone(), Doubt::Ended);
        } else if self.doubt(worker) == Some(doubt) {
            self.doubts.remove(worker);
        }
    }

    /// Forgets all workers except those that are needed: the announced ones, and those with open connections.
    pub fn prune(&mut self, is_needed: impl Fn(&WorkerId) -> bool) {
        self.doubts.retain(|worker, _| is_needed(worker));
    }
}
