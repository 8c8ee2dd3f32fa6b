//! Records when the store last answered, and in which epoch.

use std::net::SocketAddr;
use std::time::Duration;

use parking_lot::Mutex;
use tansyhall_core::Timestamp;

use crate::events::{Event, Priority};
use crate::state::{saturating_millis, Shared};

/// Time without an answer after which the store may have been unavailable. Slightly longer than the time between two
/// answers of the store to a relay that follows it.
pub const OUTAGE_THRESHOLD: Duration = Duration::from_millis(1_500);
/// Time without an answer, although no call failed, after which this gateway no longer testifies that the store was
/// available: the gateway may have stood still. Workers whose heartbeats are missing for a shorter time keep their entries.
const MAX_UNASKED_GAP: Duration = Duration::from_millis(2_500);

/// An answer of the store that has reached this gateway.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StoreAnswer {
    /// Time since the store gave it, without `transit`.
    pub age: Duration,
    /// The longest time for which it may have been on its way, or have lain unread.
    pub transit: Duration,
    /// The epoch of the store.
    pub epoch: u64,
    /// The gateway that passed it on; `None` for the store itself.
    pub heard_from: Option<SocketAddr>,
    /// What the gateway that passed it on says of the time before; `None` if it says nothing.
    pub testimony: Option<Testimony>,
}

/// What a gateway says of the store's availability before an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Testimony {
    /// For how long before the answer the store had been available, as answers prove.
    pub available_for: Duration,
    /// The longest time before the answer at which the store may have been available again after its last outage, if
    /// there was one recently.
    pub returned_before: Option<Duration>,
}

impl StoreAnswer {
    /// Returns an answer that this gateway got from the store itself, and read `age` ago.
    pub fn direct(age: Duration, transit: Duration, epoch: u64) -> Self {
        Self {
            age,
            transit,
            epoch,
            heard_from: None,
            testimony: None,
        }
    }
}

/// What the record of an answer has shown.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RecordedAnswer {
    /// Whether the answer belongs to the latest epoch known. An answer of an earlier epoch is not recorded.
    pub is_current_epoch: bool,
    /// The time without an answer that this one ends, if it is longer than usual.
    pub gap: Option<Gap>,
}

/// A time without an answer of the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Gap {
    /// Its length.
    pub length: Duration,
    /// Whether the store was unavailable. Otherwise only its answers did not reach this gateway.
    pub is_outage: bool,
}

/// When the store gave the answer that this gateway's information is based on.
///
/// A time without answers is not necessarily an outage of the store, which may serve all others meanwhile. It counts as
/// one if a call of this gateway has failed in it, unless another gateway testifies that the store was available to it: by
/// the answer that ends this time, or later.
#[derive(Debug, Default)]
pub struct StoreContact(Mutex<Contact>);

#[derive(Debug, Default)]
struct Contact {
    /// The earliest time at which the store may have given the last answer.
    last_answer: Timestamp,
    /// The same of the answer before the last one.
    previous_answer: Timestamp,
    /// The latest time at which the store may have given the last answer, as far as known: it was available then.
    last_proof: Timestamp,
    /// Since when the store has been available, as far as proven; `None` before the first answer.
    available_since: Option<Timestamp>,
    /// When the call began that is in progress.
    pending_call: Option<Timestamp>,
    /// When the last call that failed began.
    last_failure: Option<Timestamp>,
    last_return: Option<Return>,
    /// When a later epoch than before was first seen.
    last_restore: Option<Timestamp>,
    epoch: Option<u64>,
    /// The gateway that passed the last answer on; `None` for the store itself.
    heard_from: Option<SocketAddr>,
}

/// The end of an outage of the store, or a restore.
#[derive(Debug, Clone, Copy)]
struct Return {
    /// The earliest time at which the store may have been available again.
    at: Timestamp,
    /// The last answer before the outage; `None` for a restore.
    last_answer_before: Option<Timestamp>,
}

impl Contact {
    /// Records an answer that the store gave at `answered` at the latest. Returns the gap that it ends.
    fn record(&mut self, answered: Timestamp, answer: &StoreAnswer) -> Option<Gap> {
        let testimony = answer.testimony;
        let proven_since = testimony.map(|given| before(answered, given.available_for));
        if let Some(proven_since) = proven_since {
            self.learn_availability(proven_since);
        }
        let length = answered.since(self.last_proof);
        if self.available_since.is_none() || length <= OUTAGE_THRESHOLD {
            self.available_since
                .get_or_insert(proven_since.unwrap_or(answered));
            return None;
        }
        let is_available_throughout = proven_since.is_some_and(|since| since <= self.last_proof);
        if is_available_throughout {
            return Some(Gap {
                length,
                is_outage: false,
            });
        }
        // The earliest of the times at which the store may have returned, as far as known.
        let is_in_gap = |at: &Timestamp| *at > self.last_proof;
        let unanswered = self.pending_call.max(self.last_failure).filter(is_in_gap);
        let stated = testimony.and_then(|given| given.returned_before);
        let stated = stated.map(|time| before(answered, time)).filter(is_in_gap);
        // A gateway of an earlier version testifies nothing: its answer itself is the first proof.
        let is_relayed = answer.heard_from.is_some();
        let first_proof = is_relayed.then_some(proven_since.unwrap_or(answered));
        let returned = [unanswered, stated, first_proof]
            .into_iter()
            .flatten()
            .min();
        if returned.is_some() || length > MAX_UNASKED_GAP {
            self.available_since = Some(proven_since.unwrap_or(answered));
        }
        if let Some(at) = returned {
            self.last_return = Some(Return {
                at,
                last_answer_before: Some(self.last_proof),
            });
        }
        Some(Gap {
            length,
            is_outage: returned.is_some(),
        })
    }

    /// Corrects the end of the last outage: another gateway testifies that the store has been available since `since`.
    fn learn_availability(&mut self, since: Timestamp) {
        let Some(Return {
            at,
            last_answer_before: Some(last_answer_before),
        }) = &mut self.last_return
        else {
            return;
        };
        *at = since.min(*at);
        if since <= *last_answer_before {
            self.last_return = None;
        }
    }

    fn record_restore(&mut self, now: Timestamp, answered: Timestamp) {
        self.last_restore = Some(now);
        self.available_since = Some(answered);
        self.last_return = Some(Return {
            at: answered,
            last_answer_before: None,
        });
    }
}

impl StoreContact {
    /// Records an answer of the store.
    pub fn record_answer(&self, now: Timestamp, answer: StoreAnswer) -> RecordedAnswer {
        let mut contact = self.0.lock();
        let known_epoch = contact.epoch.unwrap_or(answer.epoch);
        if answer.epoch < known_epoch {
            return RecordedAnswer {
                is_current_epoch: false,
                gap: None,
            };
        }
        contact.epoch = Some(answer.epoch);
        let answered = before(now, answer.age);
        let gap = contact.record(answered, &answer);
        if answer.epoch > known_epoch {
            contact.record_restore(now, answered);
        }
        // A relay may answer with older information than the answer before.
        contact.last_proof = contact.last_proof.max(answered);
        let answered = before(answered, answer.transit);
        contact.previous_answer = contact.last_answer.min(answered);
        contact.last_answer = contact.last_answer.max(answered);
        contact.heard_from = answer.heard_from;
        RecordedAnswer {
            is_current_epoch: true,
            gap,
        }
    }

    /// Records that this gateway begins a call of the store.
    pub fn begin_call(&self, now: Timestamp) {
        self.0.lock().pending_call = Some(now);
    }

    /// Records that the call in progress is over, and whether the store has answered it.
    pub fn end_call(&self, is_answered: bool) {
        let mut contact = self.0.lock();
        let began = contact.pending_call.take();
        if !is_answered {
            contact.last_failure = began.or(contact.last_failure);
        }
    }

    /// Returns the testimony for gateways that this one passes the last answer on to.
    pub fn testimony(&self) -> Testimony {
        let contact = self.0.lock();
        let since = contact.available_since.unwrap_or(contact.last_answer);
        let returned = contact.last_return;
        let returned = returned.filter(|returned| returned.last_answer_before.is_some());
        Testimony {
            available_for: contact.last_answer.since(since),
            returned_before: returned.map(|returned| contact.last_answer.since(returned.at)),
        }
    }

    /// Returns the gateway that passed the last answer on, or `None` if it came from the store itself.
    pub fn heard_from(&self) -> Option<SocketAddr> {
        self.0.lock().heard_from
    }

    /// Returns the earliest time at which the store may have been available again after it was unavailable or restored, or
    /// `None` if it never was.
    pub fn last_return(&self) -> Option<Timestamp> {
        let last_return = self.0.lock().last_return;
        last_return.map(|last_return| last_return.at)
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
        gap_ms: saturating_millis(gap.length),
        outage: gap.is_outage,
    };
    shared.log.record(Priority::Important, &event);
}

fn before(at: Timestamp, time: Duration) -> Timestamp {
    let time = u64::try_from(time.as_micros()).unwrap_or(u64::MAX);
    Timestamp(at.0.saturating_sub(time))
}

/// Returns the name in logs of a gateway that has passed answers of the store on; it is empty for the store itself.
pub fn name_of_source(heard_from: Option<SocketAddr>) -> String {
    heard_from.map_or_else(String::new, |gateway| gateway.to_string())
}
