//! Records when the store last answered, and in which epoch.

use std::time::Duration;

use parking_lot::Mutex;
use tansyhall_core::Timestamp;

/// Time without an answer after which the store counts as having been unavailable. Slightly longer than the time
/// between two answers of the store to a relay that follows it.
const OUTAGE_THRESHOLD: Duration = Duration::from_millis(1_500);

/// When the store gave the answer that this gateway's information is based on.
#[derive(Debug, Default)]
pub struct StoreContact(Mutex<Contact>);

#[derive(Debug, Default)]
struct Contact {
    last_answer: Timestamp,
    /// When the store gave the answer before the last one.
    previous_answer: Timestamp,
    /// When the store answered again after it was unavailable or restored.
    last_return: Option<Timestamp>,
    /// When a later epoch than before was first seen.
    last_restore: Option<Timestamp>,
    epoch: Option<u64>,
}

impl StoreContact {
    /// Records that the store gave an answer in this epoch `age` ago, to this gateway or to one that passed it on.
    /// Returns whether the epoch is the latest one known. An answer of an earlier epoch is not recorded.
    pub fn record_answer(&self, now: Timestamp, age: Duration, epoch: u64) -> bool {
        let mut contact = self.0.lock();
        let known_epoch = contact.epoch.unwrap_or(epoch);
        if epoch < known_epoch {
            return false;
        }
        contact.epoch = Some(epoch);
        let age = u64::try_from(age.as_micros()).unwrap_or(u64::MAX);
        let answered = Timestamp(now.0.saturating_sub(age));
        let is_restored = epoch > known_epoch;
        if is_restored || answered.since(contact.last_answer) > OUTAGE_THRESHOLD {
            contact.last_return = Some(answered);
        }
        if is_restored {
            contact.last_restore = Some(now);
        }
        // A relay may answer with older information than the answer before.
        contact.previous_answer = contact.last_answer.min(answered);
        contact.last_answer = contact.last_answer.max(answered);
        true
    }

    /// Returns when the store last answered again after it was unavailable or restored, or `None` if it never was.
    pub fn last_return(&self) -> Option<Timestamp> {
        self.0.lock().last_return
    }

    /// Returns whether the store is known to have been restored less than `time` ago.
    pub fn was_restored_within(&self, now: Timestamp, time: Duration) -> bool {
        let restored = self.0.lock().last_restore;
        restored.is_some_and(|restored| now.since(restored) < time)
    }

    /// Returns how long ago the store may have accepted a change that its last answer contains: the answer before did not
    /// contain it.
    pub fn longest_delay(&self, now: Timestamp) -> Duration {
        now.since(self.0.lock().previous_answer)
    }

    /// Returns the time since the store's last answer, or since the start of the clock if there was none.
    pub fn age(&self, now: Timestamp) -> Duration {
        now.since(self.0.lock().last_answer)
    }
}
