//! Quarantine of prompt parts: requests whose prompt holds a part that crashes workers are sent to none.
//!
//! A part may crash each worker that starts to answer a request which holds it, whatever else the request holds. The
//! requests have nothing else in common, so the [quarantine of whole requests](crate::quarantine) does not recognize them.
//!
//! 1. The [`SendTracker`](crate::SendTracker) knows which requests a worker may have been running when it ended. The parts
//!    of all of them are suspected, except the last part of each, which is the request's own.
//! 2. [`blame`] selects the parts that are barred: those with enough worker ends that no other part explains.
//! 3. A complete successful answer to a request clears its parts, at all gateways.
//! 4. Requests without barred parts clear the innocent ones among the suspected parts. A barred part gets no answer any
//!    more, so one request with it is sent as a [`trial`].
//! 5. Everything is removed [`SUSPECT_TTL`](crate::quarantine::SUSPECT_TTL) after the last end.
//!
//! Gateways tell each other like for whole requests, and the store lists barred parts for gateways that start.

mod blame;
mod suspect;
mod trial;

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};

use tansyhall_core::{ServiceName, TenantName, Timestamp};
use xxhash_rust::xxh3::Xxh3Default;

use crate::load_exchange::WorkerKey;
use crate::quarantine::answers::RecentAnswers;
use crate::quarantine::outbox::{Outbox, Topic, FEW_REPEATS, MANY_REPEATS};
use crate::quarantine::{
    AppliedUpdate, Audience, Fingerprint, OutgoingUpdate, QuarantineUpdate, UnlistedRequest,
    WorkerEnds, WORKER_ENDS_TO_BAR,
};
use crate::selection::PromptPart;

use suspect::Suspect;
use trial::Trial;

pub use trial::{PartVerdict, TrialTurns, TRIAL_DELAY, TRIAL_TTL};

/// Maximum number of stored parts with worker ends. Barred parts are evicted last.
const MAX_SUSPECTS: usize = 2_048;
/// Maximum number of requests whose parts are stored.
const MAX_REQUESTS: usize = 2_048;
/// Separator between fields that are hashed one after another. No service, tenant or part contains it.
const SEPARATOR: &[u8] = &[0];

/// Returns the fingerprints of the parts of a prompt that other requests may share. `service` runs the request, and
/// `tenant` is its caller's: a caller can only make suspects of its own tenant's parts.
pub fn shared_parts(
    service: &ServiceName,
    tenant: Option<&TenantName>,
    prompt: &[PromptPart],
) -> Vec<Fingerprint> {
    let Some((_own, shared)) = prompt.split_last() else {
        return Vec::new();
    };
    let tenant = tenant.map_or("", |tenant| tenant.as_str());
    let fingerprint = |part: &PromptPart| {
        let mut hasher = Xxh3Default::new();
        for field in [service.as_str(), tenant, part.id.as_str()] {
            hasher.update(field.as_bytes());
            hasher.update(SEPARATOR);
        }
        Fingerprint(hasher.digest())
    };
    let parts: BTreeSet<Fingerprint> = shared.iter().map(fingerprint).collect();
    parts.into_iter().collect()
}

/// The knowledge of one gateway about prompt parts that crash workers.
#[derive(Debug, Default)]
pub struct PartQuarantine {
    suspects: HashMap<Fingerprint, Suspect>,
    answers: RecentAnswers,
    outbox: Outbox,
    /// Shared parts of requests under which workers ended.
    parts_by_request: BTreeMap<Fingerprint, BTreeSet<Fingerprint>>,
}

impl PartQuarantine {
    /// Returns whether a part is barred.
    pub fn is_barred(&self, part: Fingerprint) -> bool {
        let suspect = self.suspects.get(&part);
        suspect.is_some_and(Suspect::is_barred)
    }

    /// Records which shared parts the prompt of a request had when its worker ended.
    pub fn record_parts_of_request(
        &mut self,
        request: Fingerprint,
        parts: impl IntoIterator<Item = Fingerprint>,
    ) {
        let is_new = !self.parts_by_request.contains_key(&request);
        if is_new && self.parts_by_request.len() >= MAX_REQUESTS {
            self.parts_by_request.pop_first();
        }
        let known = self.parts_by_request.entry(request).or_default();
        known.extend(parts);
    }

    /// Returns whether barred parts explain so many worker ends of a request that the others do not bar it. Only parts
    /// that another prompt of a request with the same fingerprint held count, and that this one (`held`) does not.
    pub fn explains(&self, request: Fingerprint, held: &[Fingerprint], ends: &[WorkerKey]) -> bool {
        let parts = self.parts_by_request.get(&request).into_iter().flatten();
        let elsewhere = parts.filter(|part| !held.contains(part));
        let suspects = elsewhere.filter_map(|part| self.suspects.get(part));
        let barred = suspects.filter(|suspect| suspect.is_barred());
        let explained: HashSet<WorkerKey> = barred.flat_map(Suspect::counted_workers).collect();
        let unexplained = ends.iter().filter(|worker| !explained.contains(worker));
        !ends.is_empty() && unexplained.count() < WORKER_ENDS_TO_BAR
    }

    /// Returns the number of barred parts.
    pub fn barred_count(&self) -> usize {
        let suspects = self.suspects.values();
        suspects.filter(|suspect| suspect.is_barred()).count()
    }

    /// Records that a worker ended while running requests of this gateway with these parts. Returns the parts that are
    /// newly barred.
    pub fn record_worker_end(
        &mut self,
        now: Timestamp,
        worker: WorkerKey,
        parts: impl IntoIterator<Item = Fingerprint>,
    ) -> Vec<Fingerprint> {
        for part in parts {
            let suspect = self.get_or_insert_suspect(now, part);
            suspect.record_end(now, worker);
            let repeats = match suspect.counted_ends() {
                0 | 1 => FEW_REPEATS,
                _ => MANY_REPEATS,
            };
            self.outbox
                .enqueue(now, part, Topic::WorkerEnds, Audience::Listeners, repeats);
        }
        let barred = self.settle(now);
        for part in &barred {
            self.tell_all(now, *part, MANY_REPEATS);
        }
        barred
    }

    /// Records that a worker has answered a request with these parts completely and successfully.
    pub fn record_answer(&mut self, now: Timestamp, parts: &[Fingerprint]) {
        for part in parts {
            self.answers.record(now, *part);
            self.clear(now, *part);
        }
    }

    /// Applies an update from another gateway. If `relays` is set, this gateway hears of all ends, and passes new bars on to
    /// all gateways. Otherwise it adopts what the others have decided.
    pub fn apply_update(
        &mut self,
        now: Timestamp,
        update: &QuarantineUpdate,
        relays: bool,
    ) -> AppliedUpdate {
        let mut applied = AppliedUpdate::default();
        for worker_ends in &update.worker_ends {
            self.apply_worker_ends(now, worker_ends, &mut applied);
            if let Some(suspect) = self.suspects.get_mut(&worker_ends.fingerprint) {
                suspect.set_barred_by_others(!relays && worker_ends.is_barred);
            }
        }
        for part in &update.cleared {
            if let Some(suspect) = self.suspects.get_mut(part) {
                suspect.clear();
            }
        }
        applied.barred.extend(self.settle(now));
        if relays {
            for part in &applied.barred {
                self.tell_all(now, *part, FEW_REPEATS);
            }
        }
        applied
    }

    fn apply_worker_ends(
        &mut self,
        now: Timestamp,
        worker_ends: &WorkerEnds,
        applied: &mut AppliedUpdate,
    ) {
        let part = worker_ends.fingerprint;
        let suspect = self.get_or_insert_suspect(now, part);
        for worker in &worker_ends.workers {
            suspect.record_end(now, *worker);
        }
        // Each answer clears a part only once: one that starts to crash workers must not be considered harmless because of
        // an earlier answer.
        if self.answers.take(now, part) {
            self.clear(now, part);
            return;
        }
        let suspect = self.get_or_insert_suspect(now, part);
        if worker_ends.is_confirmed {
            suspect.set_trial(Trial::Failed);
        } else if worker_ends.is_tried {
            suspect.record_trial_elsewhere(now);
        }
        if worker_ends.is_barred && suspect.bar(now) {
            applied.barred.push(part);
        }
        if suspect.barred_since().is_some() && !worker_ends.is_barred {
            let known = suspect.worker_ends(part);
            applied.reply.worker_ends.push(known);
        }
    }

    /// Sets the parts that the store lists as barred. Returns those that were not barred before.
    pub fn set_listed(
        &mut self,
        now: Timestamp,
        listed: &BTreeSet<Fingerprint>,
    ) -> Vec<Fingerprint> {
        for (part, suspect) in &mut self.suspects {
            if !listed.contains(part) {
                suspect.set_listed(false);
            }
        }
        let mut barred = Vec::new();
        for part in listed {
            let suspect = self.get_or_insert_suspect(now, *part);
            let was_barred = suspect.is_barred();
            suspect.set_listed(true);
            if suspect.is_barred() && !was_barred {
                barred.push(*part);
            }
        }
        barred
    }

    /// Returns barred parts that are missing from the list in the store.
    pub fn unlisted(&self) -> impl Iterator<Item = UnlistedRequest> + '_ {
        let suspects = self.suspects.iter();
        suspects.filter_map(|(part, suspect)| suspect.unlisted(*part))
    }

    /// Returns parts that the store still lists although their bar has been lifted.
    pub fn stale_listings(&self) -> impl Iterator<Item = Fingerprint> + '_ {
        let suspects = self.suspects.iter();
        let stale = suspects.filter(|(_, suspect)| suspect.is_listing_stale());
        stale.map(|(part, _)| *part)
    }

    /// Returns the messages to send now.
    pub fn take_due_updates(&mut self, now: Timestamp) -> Vec<OutgoingUpdate> {
        let suspects = &self.suspects;
        self.outbox.take_due(now, |part| {
            let suspect = suspects.get(&part)?;
            Some(suspect.worker_ends(part))
        })
    }

    /// Removes parts and answers that are too old.
    pub fn expire(&mut self, now: Timestamp) {
        self.suspects.retain(|_, suspect| !suspect.is_expired(now));
        self.answers.expire(now);
    }

    /// Determines which parts are barred, and returns those that are newly barred.
    fn settle(&mut self, now: Timestamp) -> Vec<Fingerprint> {
        let blamed = blame::blamed_parts(now, &self.suspects);
        let (mut barred, mut lifted) = (Vec::new(), Vec::new());
        for (part, suspect) in &mut self.suspects {
            match blamed.get(part) {
                Some(last_end) => {
                    if suspect.bar(now) {
                        barred.push(*part);
                    }
                    suspect.record_end_of_trial(*last_end);
                }
                None if suspect.lift_bar() => lifted.push(*part),
                None => {}
            }
        }
        for part in lifted {
            self.tell_all(now, part, MANY_REPEATS);
        }
        barred.sort_unstable();
        barred
    }

    /// Clears the worker ends of a part, and notifies other gateways if any of them counted.
    fn clear(&mut self, now: Timestamp, part: Fingerprint) {
        let Some(suspect) = self.suspects.get_mut(&part) else {
            return;
        };
        let may_be_barred_elsewhere =
            suspect.is_barred() || suspect.counted_ends() >= WORKER_ENDS_TO_BAR;
        let audience = match may_be_barred_elsewhere {
            true => Audience::All,
            false => Audience::Listeners,
        };
        if suspect.clear() {
            self.outbox
                .enqueue(now, part, Topic::Cleared, audience, MANY_REPEATS);
            self.settle(now);
        }
    }

    fn tell_all(&mut self, now: Timestamp, part: Fingerprint, repeats: usize) {
        self.outbox
            .enqueue(now, part, Topic::WorkerEnds, Audience::All, repeats);
    }

    fn get_or_insert_suspect(&mut self, now: Timestamp, part: Fingerprint) -> &mut Suspect {
        let is_new = !self.suspects.contains_key(&part);
        if is_new && self.suspects.len() >= MAX_SUSPECTS {
            self.evict_suspect();
        }
        let suspect = self.suspects.entry(part);
        suspect.or_insert_with(|| Suspect::new(now))
    }

    /// Evicts the part with the oldest last worker end. Barred parts are evicted only if all are barred.
    fn evict_suspect(&mut self) {
        let oldest = self
            .suspects
            .iter()
            .min_by_key(|(_, suspect)| (suspect.is_barred(), suspect.last_end()));
        if let Some(part) = oldest.map(|(part, _)| *part) {
            self.suspects.remove(&part);
        }
    }
}
