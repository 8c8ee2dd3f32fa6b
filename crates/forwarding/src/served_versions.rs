//! Which software versions of a service the store names as having served lately.
//!
//! What gateways have seen is lost if all of them are lost, so that the ones that start afterwards cannot know that another
//! version has served before. The store therefore has an item for each version that serves. It is written as soon as the
//! version is seen, and again while it serves, so that it outlives the version by at least [`LATEST_RETURN`], and it is
//! never deleted. The recorders write for all gateways (see [`crate::stream_recorders`]).

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use tansyhall_core::{ServiceName, Timestamp};
use xxhash_rust::xxh3::Xxh3Default;

use crate::position::Position;
use crate::stream_versions::AttemptKey;
use crate::worker::SoftwareVersion;

/// How long after a version has served a stream of it may still be taken up. Nothing bounds a caller's return, so this is
/// far longer than any timeout of a route; it is half of the longest lease of the store.
pub const LATEST_RETURN: Duration = Duration::from_secs(300);
/// How long the store keeps an item after it was written: the longest lease of the store.
pub const RECORD_LIFETIME: Duration = Duration::from_secs(600);
/// Age at which the item of a version that serves is written again. The store or the recorders may be away for a minute
/// without an item that ends less than [`LATEST_RETURN`] after its version.
const REWRITE_AGE: Duration = Duration::from_secs(240);
/// Time since a version was last seen within which it counts as serving. Gateways review their workers every 2 s.
const SERVING_AGE: Duration = Duration::from_secs(5);
/// Time after which a write is repeated that has not become visible.
const RETRY_INTERVAL: Duration = Duration::from_secs(3);
/// Maximum number of versions of a service that the store names. Nothing is concluded while there are several.
const MAX_VERSIONS: usize = 32;
/// Maximum length of a name of a service or version that is written, in bytes.
const MAX_NAME_BYTES: usize = 256;

/// A software version of a service.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServedVersion {
    /// The service.
    pub service: ServiceName,
    /// The version of its workers.
    pub version: SoftwareVersion,
}

impl ServedVersion {
    /// Returns the key that identifies the version in the store, and by which its recorders are chosen.
    pub fn key(&self) -> AttemptKey {
        let mut hash = Xxh3Default::new();
        hash.update(self.service.as_str().as_bytes());
        hash.update(&[0]);
        hash.update(self.version.as_str().as_bytes());
        AttemptKey(hash.digest())
    }

    fn is_writable(&self) -> bool {
        let names = [self.service.as_str(), self.version.as_str()];
        names.iter().all(|name| name.len() <= MAX_NAME_BYTES)
    }
}

/// The versions that the store names, and those that have to be written.
#[derive(Debug, Default)]
pub struct ServedVersions {
    /// The position at which the store's items were read last.
    position: Option<Position>,
    recorded: BTreeMap<ServiceName, BTreeMap<SoftwareVersion, RecordedVersion>>,
    /// When the versions became due that have to be written.
    due_since: BTreeMap<ServedVersion, Timestamp>,
    attempted: BTreeMap<ServedVersion, Timestamp>,
}

/// An item of the store.
#[derive(Debug, Clone, Copy)]
struct RecordedVersion {
    written: Position,
    /// When this gateway saw that it was written. `None` if it may have been written long before.
    seen_written: Option<Timestamp>,
}

impl ServedVersions {
    /// Sets the versions that the store names at a position, with the positions at which they were written.
    pub fn set_recorded(
        &mut self,
        now: Timestamp,
        position: Position,
        items: impl IntoIterator<Item = (ServedVersion, Position)>,
    ) {
        let earlier = std::mem::take(&mut self.recorded);
        let is_continued = self
            .position
            .is_some_and(|earlier| earlier.epoch == position.epoch);
        self.position = Some(position);
        for (ServedVersion { service, version }, written) in items {
            let known = earlier.get(&service).and_then(|known| known.get(&version));
            let unchanged = known.filter(|known| known.written == written);
            let recorded = unchanged.copied().unwrap_or(RecordedVersion {
                written,
                seen_written: is_continued.then_some(now),
            });
            let versions = self.recorded.entry(service).or_default();
            versions.insert(version, recorded);
        }
    }

    /// Returns the versions of a service that the store names.
    pub fn recorded(&self, service: &ServiceName) -> impl Iterator<Item = &SoftwareVersion> {
        self.recorded
            .get(service)
            .into_iter()
            .flat_map(BTreeMap::keys)
    }

    /// Returns the versions that this gateway has to write now, and takes them as written until it is time to try again.
    /// `seen` are the versions that were seen, with the time since then; `delay` is how long this gateway lets others
    /// write a version first, or `None` if it is not one of its recorders.
    pub fn take_due(
        &mut self,
        now: Timestamp,
        seen: impl IntoIterator<Item = (ServedVersion, Duration)>,
        delay: impl Fn(&ServedVersion) -> Option<Duration>,
    ) -> Vec<ServedVersion> {
        let seen = seen.into_iter();
        let missing: BTreeSet<ServedVersion> = seen
            .filter(|(served, age)| self.must_be_written(now, served, *age))
            .map(|(served, _)| served)
            .collect();
        self.due_since.retain(|served, _| missing.contains(served));
        self.attempted
            .retain(|_, attempted| now.since(*attempted) < RETRY_INTERVAL);
        let mut due = Vec::new();
        for served in missing {
            let since = *self.due_since.entry(served.clone()).or_insert(now);
            let is_due = delay(&served).is_some_and(|delay| now.since(since) >= delay);
            if is_due && !self.attempted.contains_key(&served) {
                self.attempted.insert(served.clone(), now);
                due.push(served);
            }
        }
        due
    }

    fn must_be_written(&self, now: Timestamp, served: &ServedVersion, age: Duration) -> bool {
        let recorded = self.recorded.get(&served.service);
        match recorded.and_then(|versions| versions.get(&served.version)) {
            Some(recorded) => {
                let is_old = |seen_written| now.since(seen_written) >= REWRITE_AGE;
                age <= SERVING_AGE && recorded.seen_written.is_none_or(is_old)
            }
            None => {
                let has_room = recorded.map_or(0, BTreeMap::len) < MAX_VERSIONS;
                age <= LATEST_RETURN && has_room && served.is_writable()
            }
        }
    }
}
