//! The software version at which each stream began.
//!
//! A stream that breaks off may only go on at the version of the worker that began it. Its caller may take it up at any
//! gateway, so gateways tell each other of the streams that they began, unless they can testify that one version alone
//! has served for as long as a caller may return. See `docs/design/stream-versions.md`.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::time::Duration;

use tansyhall_core::{ServiceName, Timestamp};
use xxhash_rust::xxh3::Xxh3Default;

use crate::position::Position;
use crate::served_versions::{ServedVersion, ServedVersions, LATEST_RETURN};
use crate::stream_records::StreamRecord;
use crate::tenant_shares::TenantKey;
use crate::worker::SoftwareVersion;

/// How long the version of a stream is kept after it was recorded or asked for.
pub const RETENTION: Duration = Duration::from_secs(120);
/// Maximum number of streams whose version is kept; the oldest give way.
const MAX_STREAMS: usize = 65_536;
/// Number of timeouts of a stream for which its version is recorded: a caller that makes three retries, each with the whole
/// timeout, begins the last one after three timeouts and three pauses.
const RECORDED_TIMEOUTS: u32 = 4;

/// Identifies a caller's attempt that brought the first event of a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct AttemptKey(pub u64);

impl AttemptKey {
    /// Returns the key of an attempt. Ids are chosen by callers, so those of two services or tenants may be equal.
    pub fn of(service: &ServiceName, tenant: Option<TenantKey>, attempt: &str) -> Self {
        let mut hash = Xxh3Default::new();
        hash.update(service.as_str().as_bytes());
        hash.update(&[0]);
        hash.update(&tenant.map_or(0, |tenant| tenant.0).to_le_bytes());
        hash.update(attempt.as_bytes());
        Self(hash.digest())
    }
}

/// What a gateway can say about the version of a stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Testimony {
    /// The stream began at this version.
    Known(SoftwareVersion),
    /// The stream is not known, and this version alone has served for as long as a caller may return: the gateway has
    /// watched the service, and the store names no other version.
    Only(SoftwareVersion),
    /// The stream is not known, and several versions have served in this time.
    Several,
    /// The stream is not known, and the gateway has not watched the service for long enough, or not lately, or the store
    /// does not name the version yet.
    Unsure,
}

impl Testimony {
    /// Returns the name of its kind in logs.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Known(_) => "known",
            Self::Only(_) => "only",
            Self::Several => "several",
            Self::Unsure => "unsure",
        }
    }
}

/// The streams whose version a gateway knows, and the versions that it has seen.
#[derive(Debug, Default)]
pub struct StreamVersions {
    streams: HashMap<AttemptKey, RecordedStream>,
    /// When streams were recorded or asked for, in this order.
    uses: VecDeque<(Timestamp, AttemptKey)>,
    /// Streams that no other gateway has been told of, by service, in the order of their beginning.
    untold: BTreeMap<ServiceName, VecDeque<AttemptKey>>,
    services: BTreeMap<ServiceName, VersionHistory>,
    /// The versions that the store names, also those from before this gateway's start.
    served: ServedVersions,
}

#[derive(Debug)]
struct RecordedStream {
    version: SoftwareVersion,
    used_at: Timestamp,
}

/// The versions of a service that a gateway has seen.
#[derive(Debug)]
struct VersionHistory {
    watched_since: Timestamp,
    /// Time before `watched_since` that another gateway has watched for this one.
    watched_by_other: Duration,
    last_seen: BTreeMap<SoftwareVersion, Timestamp>,
}

impl VersionHistory {
    /// Returns for how long the service has been watched.
    fn watched(&self, now: Timestamp) -> Duration {
        now.since(self.watched_since) + self.watched_by_other
    }
}

/// What a gateway has seen of a service, for a gateway that has not watched it for as long.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceHistory {
    /// The service.
    pub service: ServiceName,
    /// How long the gateway has watched it.
    pub watched: Duration,
    /// The versions that it has seen, with the time since then.
    pub versions: Vec<(SoftwareVersion, Duration)>,
}

impl StreamVersions {
    /// Records that a worker of this version is announced.
    pub fn observe(&mut self, now: Timestamp, service: &ServiceName, version: &SoftwareVersion) {
        let history = match self.services.get_mut(service) {
            Some(history) => history,
            None => self
                .services
                .entry(service.clone())
                .or_insert(VersionHistory {
                    watched_since: now,
                    watched_by_other: Duration::ZERO,
                    last_seen: BTreeMap::new(),
                }),
        };
        match history.last_seen.get_mut(version) {
            Some(last_seen) => *last_seen = now,
            None => {
                history.last_seen.insert(version.clone(), now);
            }
        }
    }

    /// Records that the gateway does not learn of new workers now: it may have missed a version.
    pub fn interrupt_watch(&mut self, now: Timestamp) {
        for history in self.services.values_mut() {
            history.watched_since = now;
            history.watched_by_other = Duration::ZERO;
        }
    }

    /// Returns what this gateway has seen of each service.
    pub fn histories(&self, now: Timestamp) -> Vec<ServiceHistory> {
        let histories = self.services.iter().map(|(service, history)| {
            let seen = history.last_seen.iter();
            ServiceHistory {
                service: service.clone(),
                watched: history.watched(now),
                versions: seen
                    .map(|(version, last_seen)| (version.clone(), now.since(*last_seen)))
                    .collect(),
            }
        });
        histories.collect()
    }

    /// Adopts what another gateway has seen of the services that this one watches. The other gateway must have watched
    /// them until this one began to.
    pub fn adopt(&mut self, now: Timestamp, histories: &[ServiceHistory]) {
        for adopted in histories {
            let Some(own) = self.services.get_mut(&adopted.service) else {
                continue;
            };
            let own_watch = now.since(own.watched_since);
            let watched_by_other = adopted.watched.saturating_sub(own_watch);
            own.watched_by_other = own.watched_by_other.max(watched_by_other);
            for (version, age) in &adopted.versions {
                let age = u64::try_from(age.as_micros()).unwrap_or(u64::MAX);
                let seen = Timestamp(now.0.saturating_sub(age));
                let last_seen = own.last_seen.entry(version.clone()).or_insert(seen);
                *last_seen = seen.max(*last_seen);
            }
        }
    }

    /// Sets the versions that the store names at a position, with the positions at which they were written.
    pub fn set_recorded(
        &mut self,
        now: Timestamp,
        position: Position,
        items: impl IntoIterator<Item = (ServedVersion, Position)>,
    ) {
        self.served.set_recorded(now, position, items);
    }

    /// Returns the versions that this gateway has to write to the store now, see [`ServedVersions::take_due`].
    pub fn take_due_versions(
        &mut self,
        now: Timestamp,
        delay: impl Fn(&ServedVersion) -> Option<Duration>,
    ) -> Vec<ServedVersion> {
        let services = self.services.iter();
        let seen = services.flat_map(|(service, history)| {
            let versions = history.last_seen.iter();
            versions.map(move |(version, last_seen)| {
                let (service, version) = (service.clone(), version.clone());
                (ServedVersion { service, version }, now.since(*last_seen))
            })
        });
        self.served.take_due(now, seen, delay)
    }

    /// Returns whether this gateway knows services and has watched each of them for as long as a caller may return.
    pub fn is_watch_complete(&self, now: Timestamp, watch: Watch) -> bool {
        let is_watched = |history: &VersionHistory| history.watched(now) >= watch.window;
        watch.is_current && !self.services.is_empty() && self.services.values().all(is_watched)
    }

    /// Records that a stream of this gateway begins at this version. Returns whether other gateways must be told at once,
    /// because this one cannot testify that no other version serves. Otherwise they are told later, if it no longer can
    /// (see [`Self::take_untold`]).
    pub fn begin(
        &mut self,
        now: Timestamp,
        (service, attempt): (&ServiceName, AttemptKey),
        version: &SoftwareVersion,
        watch: Watch,
    ) -> bool {
        let version = version.clone();
        self.record(now, StreamRecord { attempt, version });
        let can_testify = matches!(self.testimony_on(now, service, watch), Testimony::Only(_));
        if can_testify {
            let untold = self.untold.entry(service.clone()).or_default();
            untold.push_back(attempt);
        }
        !can_testify
    }

    /// Records the version of a stream, of which another gateway has told.
    pub fn record(&mut self, now: Timestamp, record: StreamRecord) {
        let StreamRecord { attempt, version } = record;
        let used_at = now;
        self.streams
            .insert(attempt, RecordedStream { version, used_at });
        self.uses.push_back((now, attempt));
        self.expire(now);
    }

    /// Returns what this gateway can say about a stream, or about any stream of the service if the attempt is not named.
    pub fn testimony(
        &mut self,
        now: Timestamp,
        (service, attempt): (&ServiceName, Option<AttemptKey>),
        watch: Watch,
    ) -> Testimony {
        self.expire(now);
        let recorded = attempt.and_then(|attempt| Some((attempt, self.streams.get_mut(&attempt)?)));
        match recorded {
            Some((attempt, stream)) => {
                stream.used_at = now;
                self.uses.push_back((now, attempt));
                Testimony::Known(stream.version.clone())
            }
            None => self.testimony_on(now, service, watch),
        }
    }

    /// Returns the streams that other gateways must be told of, because this one can no longer testify that one version
    /// alone serves.
    pub fn take_untold(&mut self, now: Timestamp, watch: Watch) -> Vec<StreamRecord> {
        self.expire(now);
        let mut due = Vec::new();
        for (service, mut attempts) in std::mem::take(&mut self.untold) {
            match self.testimony_on(now, &service, watch) {
                Testimony::Only(_) => {
                    let is_kept = |attempt: &AttemptKey| self.streams.contains_key(attempt);
                    let first_kept = attempts.iter().position(is_kept);
                    attempts.drain(..first_kept.unwrap_or(attempts.len()));
                    self.untold.insert(service, attempts);
                }
                _ => due.extend(attempts),
            }
        }
        let version_of = |attempt: AttemptKey| {
            let version = self.streams.get(&attempt)?.version.clone();
            Some(StreamRecord { attempt, version })
        };
        due.into_iter().filter_map(version_of).collect()
    }

    /// Returns the number of streams whose version is kept.
    pub fn len(&self) -> usize {
        self.streams.len()
    }

    /// Returns whether no stream is kept.
    pub fn is_empty(&self) -> bool {
        self.streams.is_empty()
    }

    /// Returns the versions of a service that this gateway has seen lately or that the store names.
    pub fn served(&self, now: Timestamp, service: &ServiceName) -> BTreeSet<SoftwareVersion> {
        let recorded = self.served.recorded(service);
        let served = self.seen(now, service).chain(recorded);
        served.cloned().collect()
    }

    /// Returns the versions of a service that have been seen since a caller of their streams can still return.
    fn seen(
        &self,
        now: Timestamp,
        service: &ServiceName,
    ) -> impl Iterator<Item = &SoftwareVersion> {
        let history = self.services.get(service).into_iter();
        let seen = history.flat_map(|history| &history.last_seen);
        let seen = seen.filter(move |(_, last_seen)| now.since(**last_seen) <= LATEST_RETURN);
        seen.map(|(version, _)| version)
    }

    fn testimony_on(&self, now: Timestamp, service: &ServiceName, watch: Watch) -> Testimony {
        let Some(history) = self.services.get(service) else {
            return Testimony::Unsure;
        };
        if self.served(now, service).len() > 1 {
            return Testimony::Several;
        }
        let is_watched = watch.is_current && history.watched(now) >= watch.window;
        let recorded: BTreeSet<&SoftwareVersion> = self.served.recorded(service).collect();
        let mut named = self
            .seen(now, service)
            .filter(|version| recorded.contains(version));
        match named.next() {
            Some(version) if is_watched => Testimony::Only(version.clone()),
            _ => Testimony::Unsure,
        }
    }

    fn expire(&mut self, now: Timestamp) {
        while let Some((used_at, attempt)) = self.uses.front().copied() {
            let is_old = now.since(used_at) > RETENTION;
            if !is_old && self.uses.len() <= MAX_STREAMS {
                break;
            }
            self.uses.pop_front();
            let stream = self.streams.get(&attempt);
            if stream.is_some_and(|stream| stream.used_at == used_at) {
                self.streams.remove(&attempt);
            }
        }
        for history in self.services.values_mut() {
            history
                .last_seen
                .retain(|_, last_seen| now.since(*last_seen) <= LATEST_RETURN);
        }
        self.services
            .retain(|_, history| !history.last_seen.is_empty());
    }
}

/// How a gateway watches a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Watch {
    /// How long a gateway must have watched a service itself, or learned from others, before it concludes anything.
    pub window: Duration,
    /// How long after its beginning the version of a stream is recorded for its caller.
    pub record_retention: Duration,
    /// Whether the gateway learns of new workers now: the store has answered lately.
    pub is_current: bool,
}

impl Watch {
    /// Returns the watch for streams that last no longer than `timeout`. Most of their callers return within as long
    /// again; for the others, the store names the versions that have served.
    pub fn new(timeout: Duration, is_current: bool) -> Self {
        Self {
            window: timeout.saturating_mul(2).min(RETENTION),
            record_retention: timeout.saturating_mul(RECORDED_TIMEOUTS).min(RETENTION),
            is_current,
        }
    }
}

/// What several gateways say about the version of one stream.
///
/// That one version alone serves is concluded only after a gateway has read the store since the caller took the stream up.
/// What was heard before that, however lately, does not exclude that another version has begun the stream since then. What
/// has been concluded holds however late it is used, because it is a fact of the past.
#[derive(Debug, Default)]
pub struct VersionEvidence {
    known: BTreeSet<SoftwareVersion>,
    only: BTreeSet<SoftwareVersion>,
    has_several: bool,
    only_count: usize,
    /// The versions that have served before the stream was taken up, by gateways that have read the store since then;
    /// `None` if none has.
    confirmed: Option<BTreeSet<SoftwareVersion>>,
}

impl VersionEvidence {
    /// Adds what a gateway says.
    pub fn add(&mut self, testimony: Testimony) {
        match testimony {
            Testimony::Known(version) => {
                self.known.insert(version);
            }
            Testimony::Only(version) => {
                self.only_count += 1;
                self.only.insert(version);
            }
            Testimony::Several => self.has_several = true,
            Testimony::Unsure => {}
        }
    }

    /// Adds the versions that have served according to a gateway that has read the store since the stream was taken up.
    pub fn confirm(&mut self, served: impl IntoIterator<Item = SoftwareVersion>) {
        self.confirmed.get_or_insert_default().extend(served);
    }

    /// Returns whether a gateway knows the stream.
    pub fn is_known(&self) -> bool {
        !self.known.is_empty()
    }

    /// Returns whether a gateway has read the store since the stream was taken up.
    pub fn is_confirmed(&self) -> bool {
        self.confirmed.is_some()
    }

    /// Returns whether the version follows as soon as a gateway confirms it.
    pub fn lacks_confirmation(&self) -> bool {
        !self.is_known() && !self.has_several && self.only.len() == 1 && !self.is_confirmed()
    }

    /// Returns the name of the kind of testimony that the version follows from, `known` or `only`; empty without a version.
    pub fn ground(&self) -> &'static str {
        match (self.version(), self.is_known()) {
            (None, _) => "",
            (Some(_), true) => "known",
            (Some(_), false) => "only",
        }
    }

    /// Returns how many gateways testify that one version alone serves.
    pub fn only_count(&self) -> usize {
        self.only_count
    }

    /// Returns the version at which the stream began, or `None` if that does not follow from what was said.
    pub fn version(&self) -> Option<&SoftwareVersion> {
        if self.is_known() {
            return single(&self.known);
        }
        let only = single(&self.only).filter(|_| !self.has_several)?;
        let served = self.confirmed.as_ref()?;
        served.iter().all(|version| version == only).then_some(only)
    }
}

fn single(versions: &BTreeSet<SoftwareVersion>) -> Option<&SoftwareVersion> {
    versions.first().filter(|_| versions.len() == 1)
}
