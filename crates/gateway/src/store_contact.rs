//! When the store was last heard of, and in which epoch.

use std::time::Duration;

use parking_lot::Mutex;
use tansyhall_core::Timestamp;

/// Age of knowledge from which the store counts as having been away: a little more than a relay that follows
/// it lets pass between two of its answers.
const AWAY: Duration = Duration::from_millis(1_500);

/// When the store gave the answer that this gateway's knowledge rests on.
#[derive(Debug, Default)]
pub struct StoreContact(Mutex<Contact>);

#[derive(Debug, Default)]
struct Contact {
    answered: Timestamp,
    /// When it answered again after it had been away or was restored.
    returned: Option<Timestamp>,
    /// When it was first heard of in a later epoch than before.
    restored: Option<Timestamp>,
    epoch: Option<u64>,
}

impl StoreContact {
    /// The store gave an answer of this epoch `age` ago, to this gateway or to one that told it. Returns whether the
    /// epoch is the present one, as far as is known: what is told of an earlier one is no contact.
    pub fn mark(&self, now: Timestamp, age: Duration, epoch: u64) -> bool {
        let mut contact = self.0.lock();
        let before = contact.epoch.unwrap_or(epoch);
        if epoch < before {
            return false;
        }
        contact.epoch = Some(epoch);
        let age = u64::try_from(age.as_micros()).unwrap_or(u64::MAX);
        let answered = Timestamp(now.0.saturating_sub(age));
        let is_restored = epoch > before;
        if is_restored || answered.since(contact.answered) > AWAY {
            contact.returned = Some(answered);
        }
        if is_restored {
            contact.restored = Some(now);
        }
        contact.answered = contact.answered.max(answered);
        true
    }

    /// When the store last answered again after it had been away, if it ever was.
    pub fn returned(&self) -> Option<Timestamp> {
        self.0.lock().returned
    }

    /// Whether the store was restored no longer than `time` ago, as far as is known.
    pub fn was_restored_within(&self, now: Timestamp, time: Duration) -> bool {
        let restored = self.0.lock().restored;
        restored.is_some_and(|restored| now.since(restored) < time)
    }

    /// Time since that answer, or since the clock's start.
    pub fn age(&self, now: Timestamp) -> Duration {
        now.since(self.0.lock().answered)
    }
}
