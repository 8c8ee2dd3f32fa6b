//! Workers whose entries were removed from the store. A store that was restored from a backup may announce them as ready
//! again.

use std::collections::HashMap;
use std::time::Duration;

use tansyhall_core::Timestamp;
use tansyhall_forwarding::{Position, WorkerId};

/// How long the removal of a worker's entry is kept. This is longer than the age of the backups from which stores are
/// restored.
const DEPARTURE_TTL: Duration = Duration::from_secs(60);
/// Time after which the entry of a departed worker is trusted again if a restored store still contains it. By then, the
/// entry of a worker that no longer refreshes it has expired.
const DISTRUST_WINDOW: Duration = Duration::from_secs(8);

/// Workers whose entries were removed recently, and entries that are distrusted for this reason.
#[derive(Debug, Default)]
pub struct DepartedWorkers {
    departures: HashMap<WorkerId, Departure>,
    /// Names of entries in a restored store whose workers had departed, each with the time until which it is distrusted.
    distrusted: HashMap<String, Timestamp>,
}

/// The removal of a worker's entry.
#[derive(Debug)]
struct Departure {
    /// The epoch of the store in which it was removed.
    epoch: u64,
    at: Timestamp,
}

impl DepartedWorkers {
    /// Records that a worker's entry was removed in this epoch of the store.
    pub fn record(&mut self, worker: &WorkerId, epoch: u64, at: Timestamp) {
        self.departures
            .insert(worker.clone(), Departure { epoch, at });
    }

    /// Forgets the departure of a worker that has returned.
    pub fn remove(&mut self, worker: &WorkerId) {
        self.departures.remove(worker);
    }

    /// Returns whether a worker whose entry is in the store now had departed before the store was restored.
    pub fn had_departed(&self, worker: &WorkerId, written: Position) -> bool {
        let departure = self.departures.get(worker);
        departure.is_some_and(|departure| departure.epoch < written.epoch)
    }

    /// Distrusts the entry with this name for a while.
    pub fn distrust(&mut self, name: &str, now: Timestamp) {
        let until = now + DISTRUST_WINDOW;
        self.distrusted.entry(name.to_owned()).or_insert(until);
    }

    /// Forgets old departures, and returns the names of entries that are trusted again from now on.
    pub fn expire(&mut self, now: Timestamp) -> Vec<String> {
        self.departures
            .retain(|_, departure| now.since(departure.at) < DEPARTURE_TTL);
        let trusted_again = self.distrusted.iter().filter(|(_, until)| **until <= now);
        let trusted_again: Vec<String> = trusted_again.map(|(name, _)| name.clone()).collect();
        trusted_again.iter().for_each(|name| {
            self.distrusted.remove(name);
        });
        trusted_again
    }
}
