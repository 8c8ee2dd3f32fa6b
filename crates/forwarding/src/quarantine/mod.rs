//! Quarantine: requests that crash workers are barred, which means that no worker gets them any more.
//!
//! A request may crash each worker that starts to run it, and may arrive again: sent to another worker by a
//! gateway, or repeated by its caller at any gateway. Its attempts have nothing in common except their content,
//! which is identified by the [`Fingerprint`]. Gateways therefore count worker ends by fingerprint, together:
//!
//! 1. The [`SendTracker`] knows which requests a worker may have been running when it ended. One of them may be
//!    the cause; the others only ran at the same time.
//! 2. Gateways send each other the pairs of request and ended worker. Each incarnation of a worker ends once,
//!    so the knowledge of two gateways is merged as sets, in any order and with any number of repeats.
//! 3. A request is barred on all gateways after [`WORKER_ENDS_TO_BAR`] workers have ended while running it.
//! 4. A request that a worker has answered completely, even with an error, did not crash that worker: the ends
//!    counted against the request are cleared, and its bar is lifted. This protects requests that many callers
//!    send identically, and requests that only ran at the same time as the cause.
//! 5. Everything is removed [`SUSPECT_TTL`] after the last end, so that a repaired worker gets the request again.
//!
//! The store also lists barred requests, for gateways that start. Nothing depends on that list or on agreement
//! between gateways: each gateway bars requests by what it knows.

pub(crate) mod answers;
mod fingerprint;
pub(crate) mod outbox;
mod send_tracker;
mod suspect;

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use tansyhall_core::Timestamp;

use crate::load_exchange::WorkerKey;

pub use fingerprint::{Fingerprint, RequestContent};
pub use outbox::{Audience, OutgoingUpdate};
pub use send_tracker::{EndedRequests, SendId, SendTracker};

use answers::RecentAnswers;
use outbox::{Outbox, Topic, FEW_REPEATS, MANY_REPEATS};
use suspect::Suspect;

/// Number of worker ends that bar a request. With two, a request would be barred if its first and second attempt
/// met two crashes with other causes.
pub const WORKER_ENDS_TO_BAR: usize = 3;
/// How long worker ends are kept after the last one. By then an operator has noticed the crashes and acted, and a
/// request that still crashes workers costs three of them in each such period.
pub const SUSPECT_TTL: Duration = Duration::from_secs(600);
/// Maximum number of stored requests with worker ends, about 0.5 MB. Callers that vary their request bodies evict
/// each other's requests; barred requests are evicted last.
const MAX_SUSPECTS: usize = 4_096;

/// Workers that ended while running a request, or requests with a prompt part.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WorkerEnds {
    /// The request or the part.
    pub fingerprint: Fingerprint,
    /// The ended workers.
    pub workers: Vec<WorkerKey>,
    /// Whether the sender bars the part. It is not set for requests.
    pub is_barred: bool,
    /// Whether a gateway has begun a trial of the part. It is not set for requests.
    pub is_tried: bool,
    /// Whether a trial of the part has ended its worker. It is not set for requests.
    pub is_confirmed: bool,
}

/// An update that gateways send each other.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct QuarantineUpdate {
    /// Workers that ended while running requests.
    pub worker_ends: Vec<WorkerEnds>,
    /// Requests that workers have answered completely.
    pub cleared: Vec<Fingerprint>,
}

impl QuarantineUpdate {
    /// Returns whether the update has no content.
    pub fn is_empty(&self) -> bool {
        self.worker_ends.is_empty() && self.cleared.is_empty()
    }
}

/// Result of applying an update from another gateway.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct AppliedUpdate {
    /// Requests that are newly barred.
    pub barred: Vec<Fingerprint>,
    /// Worker ends of barred requests that the other gateway does not know yet.
    pub reply: QuarantineUpdate,
}

/// A barred request or prompt part that the store does not list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UnlistedRequest {
    /// The request or the part.
    pub fingerprint: Fingerprint,
    /// When it was barred.
    pub since: Timestamp,
    /// Number of worker ends that count against it.
    pub ends: usize,
}

/// The knowledge of one gateway about requests that crash workers.
#[derive(Debug, Default)]
pub struct Quarantine {
    suspects: HashMap<Fingerprint, Suspect>,
    answers: RecentAnswers,
    outbox: Outbox,
}

impl Quarantine {
    /// Returns whether the request must not be sent to any worker.
    pub fn is_barred(&self, fingerprint: Fingerprint) -> bool {
        let suspect = self.suspects.get(&fingerprint);
        suspect.is_some_and(Suspect::is_barred)
    }

    /// Returns the workers whose ends count against a request.
    pub fn counted_ends(&self, fingerprint: Fingerprint) -> Vec<WorkerKey> {
        let suspect = self.suspects.get(&fingerprint);
        let ends = suspect.map(|suspect| suspect.worker_ends(fingerprint).workers);
        ends.unwrap_or_default()
    }

    /// Returns the number of barred requests.
    pub fn barred_count(&self) -> usize {
        let suspects = self.suspects.values();
        suspects.filter(|suspect| suspect.is_barred()).count()
    }

    /// Records that a worker ended while running these requests of this gateway. Returns those that are newly barred.
    pub fn record_worker_end(
        &mut self,
        now: Timestamp,
        worker: WorkerKey,
        requests: impl IntoIterator<Item = Fingerprint>,
    ) -> Vec<Fingerprint> {
        let mut barred = Vec::new();
        for fingerprint in requests {
            let suspect = self.get_or_insert_suspect(now, fingerprint);
            let is_barred_now = suspect.record_ends(now, [worker]);
            let audience = match suspect.is_barred() {
                true => Audience::All,
                false => Audience::Listeners,
            };
            let repeats = match suspect.counted_ends() {
                0 | 1 => FEW_REPEATS,
                _ => MANY_REPEATS,
            };
            self.outbox
                .enqueue(now, fingerprint, Topic::WorkerEnds, audience, repeats);
            if is_barred_now {
                barred.push(fingerprint);
            }
        }
        barred
    }

    /// Records that a worker has answered a request completely.
    pub fn record_answer(&mut self, now: Timestamp, fingerprint: Fingerprint) {
        self.answers.record(now, fingerprint);
        self.clear(now, fingerprint);
    }

    /// Applies an update from another gateway. If `relays` is set, new bars are passed on to all gateways.
    pub fn apply_update(
        &mut self,
        now: Timestamp,
        update: &QuarantineUpdate,
        relays: bool,
    ) -> AppliedUpdate {
        let mut applied = AppliedUpdate::default();
        for worker_ends in &update.worker_ends {
            self.apply_worker_ends(now, worker_ends, relays, &mut applied);
        }
        for fingerprint in &update.cleared {
            if let Some(suspect) = self.suspects.get_mut(fingerprint) {
                suspect.clear();
            }
        }
        applied
    }

    fn apply_worker_ends(
        &mut self,
        now: Timestamp,
        worker_ends: &WorkerEnds,
        relays: bool,
        applied: &mut AppliedUpdate,
    ) {
        let fingerprint = worker_ends.fingerprint;
        let suspect = self.get_or_insert_suspect(now, fingerprint);
        let is_barred_now = suspect.record_ends(now, worker_ends.workers.iter().copied());
        // Each answer clears a request only once: a request that starts to crash workers must not be considered
        // harmless because of an earlier answer.
        if self.answers.take(now, fingerprint) {
            self.clear(now, fingerprint);
            return;
        }
        let suspect = self.get_or_insert_suspect(now, fingerprint);
        let is_barred_at_sender = worker_ends.workers.len() >= WORKER_ENDS_TO_BAR;
        if suspect.counted_ends() >= WORKER_ENDS_TO_BAR && !is_barred_at_sender {
            applied
                .reply
                .worker_ends
                .push(suspect.worker_ends(fingerprint));
        }
        if !is_barred_now {
            return;
        }
        applied.barred.push(fingerprint);
        if relays {
            self.outbox.enqueue(
                now,
                fingerprint,
                Topic::WorkerEnds,
                Audience::All,
                FEW_REPEATS,
            );
        }
    }

    /// Sets the requests that the store lists as barred. Returns those that were not barred before.
    pub fn set_listed(
        &mut self,
        now: Timestamp,
        listed: &BTreeSet<Fingerprint>,
    ) -> Vec<Fingerprint> {
        for (fingerprint, suspect) in &mut self.suspects {
            if !listed.contains(fingerprint) {
                suspect.set_listed(false);
            }
        }
        let mut barred = Vec::new();
        for fingerprint in listed {
            let suspect = self.get_or_insert_suspect(now, *fingerprint);
            let was_barred = suspect.is_barred();
            suspect.set_listed(true);
            if suspect.is_barred() && !was_barred {
                barred.push(*fingerprint);
            }
        }
        barred
    }

    /// Returns barred requests that are missing from the list in the store.
    pub fn unlisted(&self) -> impl Iterator<Item = UnlistedRequest> + '_ {
        let suspects = self.suspects.iter();
        suspects.filter_map(|(fingerprint, suspect)| suspect.unlisted(*fingerprint))
    }

    /// Returns requests that the store still lists although their bar has been lifted.
    pub fn stale_listings(&self) -> impl Iterator<Item = Fingerprint> + '_ {
        let suspects = self.suspects.iter();
        let stale = suspects.filter(|(_, suspect)| suspect.is_listing_stale());
        stale.map(|(fingerprint, _)| *fingerprint)
    }

    /// Returns the messages to send now.
    pub fn take_due_updates(&mut self, now: Timestamp) -> Vec<OutgoingUpdate> {
        let suspects = &self.suspects;
        self.outbox.take_due(now, |fingerprint| {
            let suspect = suspects.get(&fingerprint)?;
            Some(suspect.worker_ends(fingerprint))
        })
    }

    /// Removes requests and answers that are too old.
    pub fn expire(&mut self, now: Timestamp) {
        self.suspects.retain(|_, suspect| !suspect.is_expired(now));
        self.answers.expire(now);
    }

    /// Clears the worker ends of a request, and notifies other gateways if any of them counted.
    fn clear(&mut self, now: Timestamp, fingerprint: Fingerprint) {
        let Some(suspect) = self.suspects.get_mut(&fingerprint) else {
            return;
        };
        let audience = match suspect.is_barred() {
            true => Audience::All,
            false => Audience::Listeners,
        };
        if suspect.clear() {
            self.outbox
                .enqueue(now, fingerprint, Topic::Cleared, audience, MANY_REPEATS);
        }
    }

    fn get_or_insert_suspect(&mut self, now: Timestamp, fingerprint: Fingerprint) -> &mut Suspect {
        let is_new = !self.suspects.contains_key(&fingerprint);
        if is_new && self.suspects.len() >= MAX_SUSPECTS {
            self.evict_suspect();
        }
        let suspect = self.suspects.entry(fingerprint);
        suspect.or_insert_with(|| Suspect::new(now))
    }

    /// Evicts the request with the oldest last worker end. Barred requests are evicted only if all are barred.
    fn evict_suspect(&mut self) {
        let oldest = self
            .suspects
            .iter()
            .min_by_key(|(_, suspect)| (suspect.is_barred(), suspect.last_end()));
        if let Some(fingerprint) = oldest.map(|(fingerprint, _)| *fingerprint) {
            self.suspects.remove(&fingerprint);
        }
    }
}
