//! What a gateway has to tell others of requests under which workers end, when, and whom.
//!
//! Messages may be lost, so that each is sent again a few times; they bear all that is known, so that the
//! last one makes good all before it.

use std::collections::BTreeMap;
use std::time::Duration;

use tansyhall_core::Timestamp;

use super::{Fingerprint, QuarantineNews, Sighting};

/// Pauses before a message is sent again: each of four messages must be lost before nothing is heard, all
/// within half of the least time (3 s) in which gateways have to know of each other's changes.
const PAUSES: [Duration; 3] = [
    Duration::from_millis(100),
    Duration::from_millis(300),
    Duration::from_millis(1_000),
];
/// How often a message that matters is sent again.
pub(super) const MANY_REPEATS: usize = PAUSES.len();
/// The same for a first end, which bars nothing yet, and for a bar that others tell too.
pub(super) const FEW_REPEATS: usize = 1;
/// Requests in one message, so that it fits a packet.
const MAX_REQUESTS: usize = 14;

/// Who is told.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Audience {
    /// The gateways that hear reports of load: in a small fleet all, in a large one some of each zone,
    /// which put together what single gateways have seen.
    Listeners,
    /// All gateways.
    All,
}

/// What is told of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Topic {
    /// That workers ended under it.
    Sighting,
    /// That it was answered.
    Absolution,
}

/// A message to others.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Outgoing {
    /// Who gets it.
    pub audience: Audience,
    /// What it says.
    pub news: QuarantineNews,
}

#[derive(Debug)]
struct Waiting {
    topic: Topic,
    audience: Audience,
    due: Timestamp,
    pauses: &'static [Duration],
}

/// Messages that wait to be sent, or sent again.
#[derive(Debug, Default)]
pub(super) struct Outbox {
    waiting: BTreeMap<Fingerprint, Waiting>,
}

impl Outbox {
    /// Has something told of a request, in place of what was to be told of it before.
    pub(super) fn put(
        &mut self,
        now: Timestamp,
        fingerprint: Fingerprint,
        topic: Topic,
        audience: Audience,
        repeats: usize,
    ) {
        let before = self.waiting.get(&fingerprint);
        let wider = before.map_or(audience, |before| before.audience.max(audience));
        let waiting = Waiting {
            topic,
            audience: wider,
            due: now,
            pauses: &PAUSES[..repeats],
        };
        self.waiting.insert(fingerprint, waiting);
    }

    /// What is to be sent now; `sighting` tells what is known of a request.
    pub(super) fn due(
        &mut self,
        now: Timestamp,
        sighting: impl Fn(Fingerprint) -> Option<Sighting>,
    ) -> Vec<Outgoing> {
        let mut batches = [Batch::new(Audience::Listeners), Batch::new(Audience::All)];
        self.waiting.retain(|fingerprint, waiting| {
            if waiting.due > now {
                return true;
            }
            let batch = match waiting.audience {
                Audience::Listeners => &mut batches[0],
                Audience::All => &mut batches[1],
            };
            match waiting.topic {
                Topic::Absolution => batch.absolve(*fingerprint),
                Topic::Sighting => batch.tell(sighting(*fingerprint)),
            }
            let Some((pause, rest)) = waiting.pauses.split_first() else {
                return false;
            };
            waiting.due = now + *pause;
            waiting.pauses = rest;
            true
        });
        batches.into_iter().flat_map(Batch::finish).collect()
    }
}

/// Messages to one audience.
#[derive(Debug)]
struct Batch {
    audience: Audience,
    full: Vec<QuarantineNews>,
    news: QuarantineNews,
}

impl Batch {
    fn new(audience: Audience) -> Self {
        Self {
            audience,
            full: Vec::new(),
            news: QuarantineNews::default(),
        }
    }

    fn tell(&mut self, sighting: Option<Sighting>) {
        self.news.sightings.extend(sighting);
        self.close_if_full();
    }

    fn absolve(&mut self, fingerprint: Fingerprint) {
        self.news.absolved.push(fingerprint);
        self.close_if_full();
    }

    fn close_if_full(&mut self) {
        if self.news.sightings.len() + self.news.absolved.len() >= MAX_REQUESTS {
            self.full.push(std::mem::take(&mut self.news));
        }
    }

    fn finish(mut self) -> impl Iterator<Item = Outgoing> {
        if !self.news.is_empty() {
            self.full.push(self.news);
        }
        let audience = self.audience;
        let messages = self.full.into_iter();
        messages.map(move |news| Outgoing { audience, news })
    }
}
