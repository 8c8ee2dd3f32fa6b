//! Workers whose entries went from the store. A restored store may say again that they are ready.

use std::collections::HashMap;
use std::time::Duration;

use tansyhall_core::Timestamp;
use tansyhall_forwarding::{Position, WorkerId};

/// How long it is remembered that a worker's entry went: longer than the copies are old from which stores are restored.
const MEMORY: Duration = Duration::from_secs(60);
/// Time after which a worker that had left counts again if a restored store still has its entry: by then the entry of
/// one that does not write any more is gone.
const DOUBT: Duration = Duration::from_secs(8);

/// Workers whose entries went lately, and entries that are not believed because of it.
#[derive(Debug, Default)]
pub struct LeftWorkers {
    left: HashMap<WorkerId, Left>,
    /// Names of entries of a restored store whose workers had left, and until when that counts.
    doubted: HashMap<String, Timestamp>,
}

/// That a worker's entry went.
#[derive(Debug)]
struct Left {
    /// The epoch of the store in which it went.
    epoch: u64,
    at: Timestamp,
}

impl LeftWorkers {
    /// A worker's entry went in this epoch of the store.
    pub fn remember(&mut self, worker: &WorkerId, epoch: u64, at: Timestamp) {
        self.left.insert(worker.clone(), Left { epoch, at });
    }

    /// A worker is here again.
    pub fn forget(&mut self, worker: &WorkerId) {
        self.left.remove(worker);
    }

    /// Whether a worker, whose entry is in the store now, had left before the store was restored.
    pub fn had_left(&self, worker: &WorkerId, written: Position) -> bool {
        let left = self.left.get(worker);
        left.is_some_and(|left| left.epoch < written.epoch)
    }

    /// The entry of that name is not believed for a while.
    pub fn doubt(&mut self, name: &str, now: Timestamp) {
        let until = now + DOUBT;
        self.doubted.entry(name.to_owned()).or_insert(until);
    }

    /// Forgets what was long ago, and returns the names of entries that are believed from now on.
    pub fn expire(&mut self, now: Timestamp) -> Vec<String> {
        self.left.retain(|_, left| now.since(left.at) < MEMORY);
        let over = self.doubted.iter().filter(|(_, until)| **until <= now);
        let over: Vec<String> = over.map(|(name, _)| name.clone()).collect();
        over.iter().for_each(|name| {
            self.doubted.remove(name);
        });
        over
    }
}
