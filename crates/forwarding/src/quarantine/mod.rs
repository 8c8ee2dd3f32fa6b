//! Requests under which workers end, and which therefore no worker gets any more.
//!
//! A request may end each worker that begins to run it, and it comes again: sent on by a gateway, repeated
//! by its caller, at any gateway. Its tries have nothing in common but what they ask for, the
//! [`Fingerprint`]. So gateways count by it, together:
//!
//! 1. The [`SendLedger`] tells which requests a worker may have been running when it ended. One of them
//!    may be the cause; the others were beside it.
//! 2. Gateways tell each other the pairs of request and ended worker. Each incarnation of a worker ends
//!    once, so that what two gateways know is joined as sets, in any order and as often as it is told.
//! 3. A request under which [`ENDS_TO_BAR`] workers have ended is barred, everywhere.
//! 4. A request that a worker has answered whole, be it with a failure, did not end that worker: the ends
//!    that count against it are forgiven, and a bar is lifted. That is what protects requests that many
//!    callers send alike, and those that were only beside the cause.
//! 5. All is forgotten [`MEMORY`] after the last end, so that a worker that was mended gets the request
//!    again.
//!
//! What is barred also lies in the store, for gateways that start. Nothing depends on it or on gateways
//! agreeing: each bars by what it knows.

mod answers;
mod fingerprint;
mod outbox;
mod send_ledger;
mod suspect;

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use tansyhall_core::Timestamp;

use crate::load_exchange::WorkerKey;

pub use fingerprint::{Fingerprint, RequestContent};
pub use outbox::{Audience, Outgoing};
pub use send_ledger::{SendLedger, SendNumber};

use answers::RecentAnswers;
use outbox::{Outbox, Topic, FEW_REPEATS, MANY_REPEATS};
use suspect::Suspect;

/// Ends of workers that bar a request. With two, a request whose first and second try met two crashes of
/// other causes would be barred.
pub const ENDS_TO_BAR: usize = 3;
/// How long ends are remembered: an operator has noticed and acted by then, and a request that still ends
/// workers costs three of them in each such time.
pub const MEMORY: Duration = Duration::from_secs(600);
/// Requests with ends that are remembered, some 0.5 MB: callers who vary their bodies push each other out,
/// those that are barred last.
const MAX_SUSPECTS: usize = 4_096;

/// Workers that ended under a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Sighting {
    /// The request.
    pub fingerprint: Fingerprint,
    /// The workers.
    pub workers: Vec<WorkerKey>,
}

/// What a gateway tells others.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct QuarantineNews {
    /// Workers that ended under requests.
    pub sightings: Vec<Sighting>,
    /// Requests that workers have answered whole.
    pub absolved: Vec<Fingerprint>,
}

impl QuarantineNews {
    /// Whether there is nothing to tell.
    pub fn is_empty(&self) -> bool {
        self.sightings.is_empty() && self.absolved.is_empty()
    }
}

/// What came of another gateway's news.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Heard {
    /// Requests that are barred from now on.
    pub barred: Vec<Fingerprint>,
    /// What the other gateway does not know yet of requests that are barred.
    pub reply: QuarantineNews,
}

/// A barred request that the store does not list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Unlisted {
    /// The request.
    pub fingerprint: Fingerprint,
    /// Since when it is barred.
    pub since: Timestamp,
    /// Workers that ended under it.
    pub ends: usize,
}

/// What one gateway knows of requests under which workers end.
#[derive(Debug, Default)]
pub struct Quarantine {
    suspects: HashMap<Fingerprint, Suspect>,
    answers: RecentAnswers,
    outbox: Outbox,
}

impl Quarantine {
    /// Whether workers may get the request no more.
    pub fn is_barred(&self, fingerprint: Fingerprint) -> bool {
        let suspect = self.suspects.get(&fingerprint);
        suspect.is_some_and(Suspect::is_barred)
    }

    /// How many requests are barred.
    pub fn barred(&self) -> usize {
        let suspects = self.suspects.values();
        suspects.filter(|suspect| suspect.is_barred()).count()
    }

    /// A worker ended while this gateway had it run these requests. Returns those that are barred by it.
    pub fn worker_ended(
        &mut self,
        now: Timestamp,
        worker: WorkerKey,
        requests: impl IntoIterator<Item = Fingerprint>,
    ) -> Vec<Fingerprint> {
        let mut barred = Vec::new();
        for fingerprint in requests {
            let suspect = self.suspect(now, fingerprint);
            let is_barred_now = suspect.add(now, [worker]);
            let audience = match suspect.is_barred() {
                true => Audience::All,
                false => Audience::Listeners,
            };
            let repeats = match suspect.counted() {
                0 | 1 => FEW_REPEATS,
                _ => MANY_REPEATS,
            };
            self.outbox
                .put(now, fingerprint, Topic::Sighting, audience, repeats);
            if is_barred_now {
                barred.push(fingerprint);
            }
        }
        barred
    }

    /// A worker has answered a request whole.
    pub fn answered(&mut self, now: Timestamp, fingerprint: Fingerprint) {
        self.answers.note(now, fingerprint);
        self.absolve(now, fingerprint);
    }

    /// Takes in what another gateway tells. A gateway that `relays` passes new bars on to all.
    pub fn hear(&mut self, now: Timestamp, news: &QuarantineNews, relays: bool) -> Heard {
        let mut heard = Heard::default();
        for sighting in &news.sightings {
            self.hear_sighting(now, sighting, relays, &mut heard);
        }
        for fingerprint in &news.absolved {
            if let Some(suspect) = self.suspects.get_mut(fingerprint) {
                suspect.forgive();
            }
        }
        heard
    }

    fn hear_sighting(
        &mut self,
        now: Timestamp,
        sighting: &Sighting,
        relays: bool,
        heard: &mut Heard,
    ) {
        let fingerprint = sighting.fingerprint;
        let suspect = self.suspect(now, fingerprint);
        let is_barred_now = suspect.add(now, sighting.workers.iter().copied());
        // Each answer absolves once: a request that begins to end workers is not held to be harmless for
        // an answer of before.
        if self.answers.take(now, fingerprint) {
            self.absolve(now, fingerprint);
            return;
        }
        let suspect = self.suspect(now, fingerprint);
        let sender_bars = sighting.workers.len() >= ENDS_TO_BAR;
        if suspect.counted() >= ENDS_TO_BAR && !sender_bars {
            heard.reply.sightings.push(suspect.sighting(fingerprint));
        }
        if !is_barred_now {
            return;
        }
        heard.barred.push(fingerprint);
        if relays {
            self.outbox.put(
                now,
                fingerprint,
                Topic::Sighting,
                Audience::All,
                FEW_REPEATS,
            );
        }
    }

    /// Takes in which requests the store lists as barred. Returns those that were not barred before.
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
            let suspect = self.suspect(now, *fingerprint);
            let was_barred = suspect.is_barred();
            suspect.set_listed(true);
            if suspect.is_barred() && !was_barred {
                barred.push(*fingerprint);
            }
        }
        barred
    }

    /// Barred requests that the store should list, and does not.
    pub fn unlisted(&self) -> impl Iterator<Item = Unlisted> + '_ {
        let suspects = self.suspects.iter();
        suspects.filter_map(|(fingerprint, suspect)| suspect.unlisted(*fingerprint))
    }

    /// Requests that the store lists, and should not.
    pub fn listed_in_vain(&self) -> impl Iterator<Item = Fingerprint> + '_ {
        let suspects = self.suspects.iter();
        let in_vain = suspects.filter(|(_, suspect)| suspect.is_listed_in_vain());
        in_vain.map(|(fingerprint, _)| *fingerprint)
    }

    /// What is to be told now.
    pub fn due(&mut self, now: Timestamp) -> Vec<Outgoing> {
        let suspects = &self.suspects;
        self.outbox.due(now, |fingerprint| {
            let suspect = suspects.get(&fingerprint)?;
            Some(suspect.sighting(fingerprint))
        })
    }

    /// Forgets what is too old.
    pub fn expire(&mut self, now: Timestamp) {
        self.suspects.retain(|_, suspect| !suspect.is_over(now));
        self.answers.expire(now);
    }

    /// Forgives what counts against a request, and tells others if anything did.
    fn absolve(&mut self, now: Timestamp, fingerprint: Fingerprint) {
        let Some(suspect) = self.suspects.get_mut(&fingerprint) else {
            return;
        };
        let audience = match suspect.is_barred() {
            true => Audience::All,
            false => Audience::Listeners,
        };
        if suspect.forgive() {
            self.outbox
                .put(now, fingerprint, Topic::Absolution, audience, MANY_REPEATS);
        }
    }

    fn suspect(&mut self, now: Timestamp, fingerprint: Fingerprint) -> &mut Suspect {
        let is_new = !self.suspects.contains_key(&fingerprint);
        if is_new && self.suspects.len() >= MAX_SUSPECTS {
            self.make_room();
        }
        let suspect = self.suspects.entry(fingerprint);
        suspect.or_insert_with(|| Suspect::new(now))
    }

    /// Forgets the request whose last end is the oldest, of those that are not barred if there are any.
    fn make_room(&mut self) {
        let oldest = self
            .suspects
            .iter()
            .min_by_key(|(_, suspect)| (suspect.is_barred(), suspect.last_end()));
        if let Some(fingerprint) = oldest.map(|(fingerprint, _)| *fingerprint) {
            self.suspects.remove(&fingerprint);
        }
    }
}
