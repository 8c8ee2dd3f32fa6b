//! Records when the store last answered, and in which epoch.

use std::net::SocketAddr;
use std::time::Duration;

use parking_lot::Mutex;
use tansyhall_core::Timestamp;

use crate::events::{Event, Priority};
use crate::state::{saturating_millis, Shared};

/// Time without an answer after which the store counts as having been unavailable. Slightly longer than the time
/// between two answers of the store to a relay that follows it.
const OUTAGE_THRESHOLD: Duration = Duration::from_millis(1_500);

/// What the record of an answer has shown.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RecordedAnswer {
    /// Whether the answer belongs to the latest epoch known. An answer of an earlier epoch is not recorded.
    pub is_current_epoch: bool,
    /// The time without an answer that this one ends, if it counts as an outage of the store.
    pub gap: Option<Duration>,
}

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
    /// The gateway that passed the last answer on; `None` for the store itself.
    heard_from: Option<SocketAddr>,
}

impl StoreContact {
    /// Records that the store gave an answer in this epoch `age` ago, to this gateway or to the one at `heard_from` that
    /// passed it on.
    pub fn record_answer(
        &self,
        now: Timestamp,
        age: Duration,
        epoch: u64,
        heard_from: Option<SocketAddr>,
    ) -> RecordedAnswer {
        let mut contact = self.0.lock();
        let known_epoch = contact.epoch.unwrap_or(epoch);
        if epoch < known_epoch {
            return RecordedAnswer {
                is_current_epoch: false,
                gap: None,
            };
        }
        contact.epoch = Some(epoch);
        let age = u64::try_from(age.as_micros()).unwrap_or(u64::MAX);
        let answered = Timestamp(now.0.saturating_sub(age));
        let is_restored = epoch > known_epoch;
        let gap = answered.since(contact.last_answer);
        let gap = (gap > OUTAGE_THRESHOLD).then_some(gap);
        if is_restored || gap.is_some() {
            contact.last_return = Some(answered);
        }
        if is_restored {
            contact.last_restore = Some(now);
        }
        // A relay may answer with older information than the answer before.
        contact.previous_answer = contact.last_answer.min(answered);
        contact.last_answer = contact.last_answer.max(answered);
        contact.heard_from = heard_from;
        RecordedAnswer {
            is_current_epoch: true,
            gap,
        }
    }

    /// Returns the gateway that passed the last answer on, or `None` if it came from the store itself.
    pub fn heard_from(&self) -> Option<SocketAddr> {
        self.0.lock().heard_from
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

/// Logs that the store's answers have reached this gateway again after a gap.
pub fn log_regained_contact(
    shared: &Shared,
    recorded: RecordedAnswer,
    heard_from: Option<SocketAddr>,
) {
    let Some(gap) = recorded.gap else { return };
    let event = Event::StoreContactRegained {
        heard_from: &name_of_source(heard_from),
        gap_ms: saturating_millis(gap),
    };
    shared.log.record(Priority::Important, &event);
}

/// Returns the name of a source of the store's answers in logs.
pub fn name_of_source(heard_from: Option<SocketAddr>) -> String {
    heard_from.map_or_else(String::new, |gateway| gateway.to_string())
}
