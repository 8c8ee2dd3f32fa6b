//! Which gateways are told at which software version a stream began, and which of them record it in the store.
//!
//! A gateway that is lost takes its memory with it, so the version of a stream is known in two places: at other gateways,
//! which are told before the caller receives the first event, and in the store, where it is recorded a moment later and
//! outlives all gateways. Each write wakes everyone who watches the store, so a few gateways, the recorders, write for
//! all:
//!
//! 1. In a fleet of up to [`GATEWAYS_PER_SHARD`] gateways, the same gateways record all streams. In a larger one, the
//!    streams are divided into [`SHARDS`] shards by their attempts, and each shard has its own recorders.
//! 2. The recorders of a shard are ranked by rendezvous hashing among the gateways with the most processor time, with
//!    different zones first, so gateways agree without messages. The first one writes, the others replace it.
//! 3. In a fleet of up to [`MAX_FULL_RATE_REPORTERS`] gateways, all are told of each stream. A recorder that is not the
//!    first waits [`RECORDER_DELAY`] for each one before it, and writes what none of them has confirmed.
//! 4. In a larger fleet, two gateways are told: the first recorder, and the first other gateway in the ranking of the
//!    attempt, so that the loss of a few recorders takes few streams along. The gateway that began the stream hands it to the next
//!    recorder if the first does not confirm it (see [`crate::stream_handover`]).

use std::collections::BTreeSet;
use std::time::Duration;

use tansyhall_core::hash::rendezvous_weight;

use crate::scheduler_plan::{SchedulerCandidate, MAX_FULL_RATE_REPORTERS};
use crate::stream_versions::AttemptKey;

/// Maximum number of gateways whose streams the same recorders record. At nine streams a second of each, a recorder
/// receives 1,152 messages of some 50 bytes a second, about as much as a scheduler.
pub const GATEWAYS_PER_SHARD: usize = 128;
/// Number of shards in a larger fleet; a power of two.
pub const SHARDS: u8 = 8;
/// Maximum number of recorders of a shard.
const RECORDERS_PER_SHARD: usize = 4;
/// Number of gateways with the most processor time from which the recorders of each shard are chosen.
const CANDIDATES_PER_SHARD: usize = 2 * RECORDERS_PER_SHARD;
/// Time that a recorder of a small fleet waits for each recorder before it.
pub const RECORDER_DELAY: Duration = Duration::from_secs(1);
/// Time that a recorder waits for each recorder before it with the name of a version that serves. A write is visible to
/// all gateways within it, also through relays.
const VERSION_RECORDER_DELAY: Duration = Duration::from_secs(3);
/// Minimum interval of a recorder's writes. A shorter one wakes those who watch the store more often than their watches
/// end anyway.
const MIN_WRITE_INTERVAL: Duration = Duration::from_millis(300);
/// Interval of the writes of all first recorders together: 20 a second, a twentieth of the writes that a store allows.
const FLEET_WRITE_INTERVAL: Duration = Duration::from_millis(50);
/// Key with which the candidates are ranked.
const CANDIDATE_HASH_KEY: &[u8] = b"recording";

/// A part of all streams. Its records have a common key prefix in the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum StreamShard {
    /// All streams.
    Whole,
    /// The streams with these highest bits of their attempts' keys.
    Part(u8),
}

impl StreamShard {
    /// Returns the shard of a large fleet that a stream belongs to.
    pub fn part_of(attempt: AttemptKey) -> Self {
        let highest_bits = attempt.0 >> (u64::BITS - SHARDS.ilog2());
        Self::Part(highest_bits as u8)
    }

    /// Returns the name of the shard in the keys of its records.
    pub fn name(self) -> String {
        match self {
            Self::Whole => "all".to_owned(),
            Self::Part(number) => format!("{number:x}"),
        }
    }
}

/// The recorders of a fleet.
#[derive(Debug, Default)]
pub struct RecorderPlan {
    /// The recorders of each shard; of one shard in a small fleet.
    shards: Vec<Vec<String>>,
    tells_all: bool,
}

impl RecorderPlan {
    /// Creates the plan for a fleet.
    pub fn new(candidates: &[SchedulerCandidate]) -> Self {
        let shards = match candidates.len() {
            0..=GATEWAYS_PER_SHARD => vec![StreamShard::Whole],
            _ => (0..SHARDS).map(StreamShard::Part).collect(),
        };
        let strongest = strongest(candidates, shards.len() * CANDIDATES_PER_SHARD);
        let mut first_recorders = BTreeSet::new();
        let recorders = shards.iter().map(|shard| {
            let recorders = recorders(*shard, &strongest, &first_recorders);
            first_recorders.extend(recorders.first().cloned());
            recorders
        });
        Self {
            shards: recorders.collect(),
            tells_all: candidates.len() <= MAX_FULL_RATE_REPORTERS,
        }
    }

    /// Returns the shard that a stream belongs to.
    pub fn shard(&self, attempt: AttemptKey) -> StreamShard {
        match self.is_divided() {
            true => StreamShard::part_of(attempt),
            false => StreamShard::Whole,
        }
    }

    /// Returns whether the streams are divided into shards.
    pub fn is_divided(&self) -> bool {
        self.shards.len() > 1
    }

    /// Returns whether every gateway is told of each stream.
    pub fn tells_all(&self) -> bool {
        self.tells_all
    }

    /// Returns the recorders of a shard by rank.
    pub fn recorders(&self, shard: StreamShard) -> &[String] {
        let index = match shard {
            StreamShard::Whole => 0,
            StreamShard::Part(number) => usize::from(number),
        };
        self.shards.get(index).map_or(&[], Vec::as_slice)
    }

    /// Returns the recorder of a stream that takes the place of the first one after this number of others.
    pub fn recorder(&self, attempt: AttemptKey, skipped: usize) -> Option<&str> {
        let recorders = self.recorders(self.shard(attempt));
        let index = skipped.checked_rem(recorders.len())?;
        recorders.get(index).map(String::as_str)
    }

    /// Returns how long a gateway that was told of a stream waits before it writes it, or `None` if it is not one of its
    /// recorders.
    pub fn write_delay(&self, attempt: AttemptKey, gateway: &str) -> Option<Duration> {
        let recorders = self.recorders(self.shard(attempt));
        let rank = recorders.iter().position(|name| name == gateway)?;
        let delays = if self.tells_all { rank } else { 0 };
        Some(RECORDER_DELAY * u32::try_from(delays).unwrap_or(u32::MAX))
    }

    /// Returns how long a gateway waits before it writes the name of a version that serves, or `None` if it is not one of
    /// its recorders.
    pub fn version_write_delay(&self, key: AttemptKey, gateway: &str) -> Option<Duration> {
        let recorders = self.recorders(self.shard(key));
        let rank = recorders.iter().position(|name| name == gateway)?;
        Some(VERSION_RECORDER_DELAY * u32::try_from(rank).unwrap_or(u32::MAX))
    }

    /// Returns the interval of a recorder's writes.
    pub fn write_interval(&self) -> Duration {
        let shards = u32::try_from(self.shards.len()).unwrap_or(u32::MAX);
        MIN_WRITE_INTERVAL.max(FLEET_WRITE_INTERVAL.saturating_mul(shards))
    }
}

/// Returns the `count` gateways with the most processor time, by rendezvous hashing if that is equal.
fn strongest(candidates: &[SchedulerCandidate], count: usize) -> Vec<&SchedulerCandidate> {
    let weight = |gateway: &SchedulerCandidate| {
        rendezvous_weight(CANDIDATE_HASH_KEY, gateway.name.as_bytes())
    };
    let mut strongest: Vec<&SchedulerCandidate> = candidates.iter().collect();
    strongest.sort_by(|left, right| {
        let by_capacity = right.capacity.total_cmp(&left.capacity);
        by_capacity
            .then_with(|| weight(right).cmp(&weight(left)))
            .then_with(|| left.name.cmp(&right.name))
    });
    strongest.truncate(count);
    strongest
}

/// Returns the recorders of a shard: the first of each zone, in the order of their weights, and then all others. The first
/// recorders of other shards come last.
fn recorders(
    shard: StreamShard,
    candidates: &[&SchedulerCandidate],
    first_recorders: &BTreeSet<String>,
) -> Vec<String> {
    let key = shard.name();
    let weight =
        |gateway: &SchedulerCandidate| rendezvous_weight(key.as_bytes(), gateway.name.as_bytes());
    let mut ranked = candidates.to_vec();
    ranked.sort_by_key(|gateway| {
        let is_occupied = first_recorders.contains(&gateway.name);
        (is_occupied, std::cmp::Reverse(weight(gateway)))
    });
    let mut zones = Vec::new();
    let (firsts, others): (Vec<_>, Vec<_>) = ranked.into_iter().partition(|gateway| {
        let is_first = !zones.contains(&&gateway.zone);
        zones.push(&gateway.zone);
        is_first
    });
    let recorders = firsts.into_iter().chain(others).take(RECORDERS_PER_SHARD);
    recorders.map(|gateway| gateway.name.clone()).collect()
}
