//! Where a gateway gets the store's changes from: the store itself, or another gateway of its zone
//! that relays them. Calls to the store then grow with zones and not with gateways.
//!
//! Gateways of a zone rank each other by their processor time, and equal ones by rendezvous hashing of their names
//! under the zone's name, so that they agree on the relays without talking. A relay tells all its subscribers what
//! is new over one link: the weakest machines, a quarter of the processor time and a tenth of the link of the
//! strongest, would be seconds late. Each passes over those that failed it lately.
//!
//! 1. The first gateways of the ranking, one for each [`GATEWAYS_PER_RELAY`], are relays. The first of all follows
//!    the store and the other relays ask it, so that the store is called by zones and not by gateways. Every
//!    other gateway asks one of the relays, chosen by hashing too.
//! 2. What a relay tells comes with its age: the time since the store answered it. A gateway whose
//!    knowledge becomes older than its patience asks the store itself. Patience grows with the
//!    rank, so that the successor of a relay that is cut off goes first and serves the others.
//! 3. A relay that does not answer, or tells old news, is passed over for a while. If it was the
//!    first of the ranking, the next takes its place.
//! 4. A gateway that the store does not answer asks another gateway in between.
//!
//! Nothing depends on gateways agreeing: two that both take themselves for the relay cost some
//! calls, and one that finds no relay asks the store.

use std::collections::HashMap;
use std::time::Duration;

use tansyhall_core::hash::rendezvous_weight;
use tansyhall_core::{Timestamp, ZoneName};

use crate::position::Position;

/// Gateways of a zone for which one relay suffices: each asks a few times a second, and changes are rare. A
/// long configuration is deflated once for all of them.
pub const GATEWAYS_PER_RELAY: usize = 64;
/// Age of its knowledge at which the first successor of a relay asks the store itself.
pub const PATIENCE: Duration = Duration::from_millis(1_200);
/// What each further rank waits longer: the first few little, as any of them may be cut off as well,
const PATIENCE_STEP: Duration = Duration::from_millis(60);
/// so many of them,
const FIRST_SUCCESSORS: usize = 5;
/// and the others more, one after the other, however many they are: where all had gone at once, a store that said
/// nothing for a second was read whole by 986 gateways, and answered none of them in time.
const LATER_PATIENCE_STEP: Duration = Duration::from_millis(400);
/// How long a gateway that did not answer is passed over.
const SILENCE_MEMORY: Duration = Duration::from_secs(3);
/// How long a gateway that told old news is passed over.
const STALENESS_MEMORY: Duration = Duration::from_secs(1);
/// How long a relay that the store did not answer waits before it asks again.
const RELAY_REST: Duration = Duration::from_millis(250);
/// The same for other gateways: a relay notices first that the store is back.
const SUBSCRIBER_REST: Duration = Duration::from_millis(800);

/// Whom to ask next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Upstream {
    /// The store.
    Store,
    /// The gateway of that name.
    Relay(String),
    /// Nobody for now: the store has just failed, and no other gateway is left.
    Nobody,
}

/// A gateway as far as the plan needs to know it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RelayCandidate<'a> {
    /// Its name.
    pub name: &'a str,
    /// Its processor time, in cores; 0 if it does not tell it.
    pub capacity: f64,
}

/// The plan of one gateway.
#[derive(Debug)]
pub struct RelayPlan {
    own: String,
    own_capacity: f64,
    zone: ZoneName,
    passed_over: HashMap<String, Timestamp>,
    store_failed: Option<Timestamp>,
}

/// The gateways that are not passed over, as this one ranks them.
struct Ranking<'a> {
    ranked: Vec<&'a str>,
    own_rank: usize,
    relays: usize,
}

impl RelayPlan {
    /// The plan of the gateway `own` in `zone`.
    pub fn new(own: RelayCandidate<'_>, zone: &ZoneName) -> Self {
        Self {
            own: own.name.to_owned(),
            own_capacity: own.capacity,
            zone: zone.clone(),
            passed_over: HashMap::new(),
            store_failed: None,
        }
    }

    /// Whom to ask now. `members` are the zone's gateways, and `age` is the time since
    /// the store gave the answer that this gateway's knowledge rests on.
    pub fn upstream(
        &mut self,
        now: Timestamp,
        members: &[RelayCandidate<'_>],
        age: Duration,
    ) -> Upstream {
        self.passed_over.retain(|_, until| *until > now);
        let ranking = self.rank(members);
        let follows_store = ranking.own_rank == 0;
        let asks_store = follows_store || age > patience(&ranking);
        let rest = match follows_store {
            true => RELAY_REST,
            false => SUBSCRIBER_REST,
        };
        let store_rests = self.store_failed.is_some_and(|at| now.since(at) < rest);
        if asks_store && !store_rests {
            return Upstream::Store;
        }
        match self.relay(&ranking) {
            Some(relay) => Upstream::Relay(relay.to_owned()),
            None if store_rests => Upstream::Nobody,
            None => Upstream::Store,
        }
    }

    /// The store has answered.
    pub fn store_answered(&mut self) {
        self.store_failed = None;
    }

    /// The store has not answered, or has refused.
    pub fn store_failed(&mut self, now: Timestamp) {
        self.store_failed = Some(now);
    }

    /// A relay has answered, and its knowledge has this age.
    pub fn relay_answered(&mut self, now: Timestamp, relay: &str, age: Duration) {
        if age > PATIENCE {
            self.pass_over(relay, now + STALENESS_MEMORY);
        }
    }

    /// A relay has not answered.
    pub fn relay_failed(&mut self, now: Timestamp, relay: &str) {
        self.pass_over(relay, now + SILENCE_MEMORY);
    }

    fn pass_over(&mut self, relay: &str, until: Timestamp) {
        self.passed_over.insert(relay.to_owned(), until);
    }

    fn rank<'a>(&'a self, members: &[RelayCandidate<'a>]) -> Ranking<'a> {
        let usable = |member: &RelayCandidate<'_>| {
            member.name != self.own && !self.passed_over.contains_key(member.name)
        };
        let mut candidates: Vec<RelayCandidate<'a>> =
            members.iter().copied().filter(usable).collect();
        candidates.push(RelayCandidate {
            name: &self.own,
            capacity: self.own_capacity,
        });
        let weight = |name: &str| rendezvous_weight(self.zone.as_str().as_bytes(), name.as_bytes());
        candidates.sort_by(|left, right| {
            let by_capacity = right.capacity.total_cmp(&left.capacity);
            by_capacity
                .then_with(|| weight(right.name).cmp(&weight(left.name)))
                .then_with(|| left.name.cmp(right.name))
        });
        let ranked: Vec<&str> = candidates.iter().map(|one| one.name).collect();
        let own_rank = ranked.iter().position(|name| *name == self.own);
        Ranking {
            own_rank: own_rank.unwrap_or_default(),
            relays: ranked.len().div_ceil(GATEWAYS_PER_RELAY),
            ranked,
        }
    }

    /// The relay to ask: the first one for the other relays; for all others, one of the first of the ranking, by
    /// hashing.
    fn relay<'a>(&self, ranking: &Ranking<'a>) -> Option<&'a str> {
        let others = ranking.ranked.iter().filter(|name| **name != self.own);
        let is_relay = ranking.own_rank < ranking.relays;
        let asked = if is_relay { 1 } else { ranking.relays };
        others
            .take(asked)
            .max_by_key(|name| rendezvous_weight(self.own.as_bytes(), name.as_bytes()))
            .copied()
    }
}

fn patience(ranking: &Ranking<'_>) -> Duration {
    let successors_before = ranking.own_rank.saturating_sub(ranking.relays);
    let first = successors_before.min(FIRST_SUCCESSORS);
    let later = successors_before - first;
    PATIENCE + PATIENCE_STEP * first as u32 + LATER_PATIENCE_STEP * later as u32
}

/// How the store is to be asked next: for what is newer than the copy, or for everything it holds.
///
/// A store that failed may have forgotten the history after the copy's revision. Others that are as far
/// behind can't help: until one of them tells something newer, or the store has been read whole, asking for
/// changes would fail again. Where four gateways have all lost the history, a test that puts three
/// configurations in force took 7.2 s while any answer of another let them ask for changes again, and 2.5 s
/// since, their start included (one run each).
#[derive(Debug)]
pub struct Continuation {
    reads_whole: bool,
}

impl Default for Continuation {
    /// Nothing has been read yet.
    fn default() -> Self {
        Self { reads_whole: true }
    }
}

impl Continuation {
    /// Whether everything must be read.
    pub fn reads_whole(&self) -> bool {
        self.reads_whole
    }

    /// The store did not answer, or not what was asked.
    pub fn store_failed(&mut self) {
        self.reads_whole = true;
    }

    /// Everything has been read.
    pub fn was_read_whole(&mut self) {
        self.reads_whole = false;
    }

    /// A relay answered: the positions of the copy before and after.
    pub fn relay_answered(&mut self, before: Position, after: Position) {
        if after > before {
            self.reads_whole = false;
        }
    }
}
