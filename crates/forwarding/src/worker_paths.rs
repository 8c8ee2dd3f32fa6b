//! Whether this gateway connects to workers directly or through another gateway, its relay.
//!
//! A failed direct connection proves nothing: the worker may be gone, or the network between it and this gateway may be
//! down. If a relay reaches a worker that this gateway does not, the path is at fault. New connections to this worker
//! are then opened through relays. If the same holds for several workers and no direct connection has succeeded in the
//! meantime, this gateway is partitioned from its workers, and all new connections are opened through relays.
//!
//! While any worker is reached through relays, the direct path is probed. The first direct connection that succeeds ends
//! a partition.
//!
//! Several workers that have ended look like a path that fails, also to a relay, which connects to the same ones. So a
//! gateway that fails to reach several workers connects to a random sample of all of them, and refuses requests, or
//! calls itself partitioned, only if it reaches none of the sample.

use std::collections::{BTreeSet, HashMap};
use std::ops::Bound;
use std::time::Duration;

use tansyhall_core::{Timestamp, ZoneName};

use crate::worker::WorkerId;

/// Number of distinct workers that are unreachable before this gateway counts as partitioned, if it knows as many.
pub const PARTITION_WORKERS: usize = 2;
/// Maximum number of workers in a sample. A smaller fleet is sampled completely.
pub const MAX_SAMPLED_WORKERS: usize = 16;
/// Shortest time between two probes of the direct path.
pub const PROBE_INTERVAL: Duration = Duration::from_millis(500);
/// How long a peer is not asked after it was unavailable. Builds without relays refuse connections, and so does a gateway
/// that restarts, which must not be passed over for long.
pub const UNAVAILABLE_PAUSE: Duration = Duration::from_secs(1);
/// How long the peers of other zones are preferred after one of this zone was partitioned.
pub const ZONE_CUT_MEMORY: Duration = Duration::from_secs(5);
/// Age at which a failed direct connection no longer counts towards a partition.
pub const FAILURE_MEMORY: Duration = Duration::from_secs(10);
/// Maximum number of failed direct connections that are remembered, one for each worker.
pub const MAX_FAILURES: usize = 64;
/// Maximum number of workers for which a relay is recorded. Direct connections to further ones are tried first.
pub const MAX_RELAYED_WORKERS: usize = 16_384;
/// Maximum number of peers that are recorded as unavailable.
pub const MAX_PAUSED_PEERS: usize = 2_048;

/// The result of a direct connection attempt to a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DirectOutcome {
    /// The connection was established, and the worker was not cut off from it at once.
    Connected,
    /// The address refused the connection.
    Refused,
    /// The connection was established and ended before anything was received.
    Reset,
    /// The connection was not established in time, or another error occurred.
    Failed,
}

/// The result of a connection attempt through a relay.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RelayOutcome {
    /// The relay has connected to the worker.
    Connected,
    /// The worker's address refused the relay's connection.
    WorkerRefused,
    /// The relay did not reach the worker.
    WorkerUnreachable,
    /// The relay knows no such worker at this address.
    UnknownWorker,
    /// The relay is, or may be, partitioned from its workers itself.
    RelayPartitioned,
    /// The relay carries its maximum number of connections.
    AtLimit,
    /// The relay is stopping.
    Leaving,
    /// The relay did not answer.
    Unavailable,
    /// The relay's address refuses connections, or another protocol is spoken there.
    Unsupported,
}

impl RelayOutcome {
    /// Returns whether the relay itself has refused, without an attempt to reach the worker or to no avail.
    pub fn is_by_relay(self) -> bool {
        matches!(
            self,
            RelayOutcome::RelayPartitioned
                | RelayOutcome::AtLimit
                | RelayOutcome::Leaving
                | RelayOutcome::Unsupported
        )
    }

    /// Returns the name used in metrics.
    pub fn name(self) -> &'static str {
        match self {
            RelayOutcome::Connected => "connected",
            RelayOutcome::WorkerRefused => "worker_refused",
            RelayOutcome::WorkerUnreachable => "worker_unreachable",
            RelayOutcome::UnknownWorker => "unknown_worker",
            RelayOutcome::RelayPartitioned => "relay_partitioned",
            RelayOutcome::AtLimit => "at_limit",
            RelayOutcome::Leaving => "leaving",
            RelayOutcome::Unavailable => "unavailable",
            RelayOutcome::Unsupported => "unsupported",
        }
    }
}

/// How a new connection to a worker is opened.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WorkerPath {
    /// Directly; through a relay if that fails or takes long.
    DirectFirst,
    /// Through a relay; directly if that fails or takes long.
    RelayFirst,
    /// Only through a relay, because this gateway is partitioned.
    RelayOnly,
}

/// A change of what this gateway knows about its paths to workers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PathChange {
    /// This gateway is partitioned from its workers.
    Partitioned {
        /// When the first of the direct connections failed.
        since: Timestamp,
        /// Number of workers that direct connections did not reach.
        failed_workers: usize,
        /// Whether all of these connections were refused or reset.
        by_refusal: bool,
    },
    /// A direct connection has succeeded.
    Restored {
        /// When the first direct connection had failed.
        since: Timestamp,
    },
}

/// Why no connection to a worker was established.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectFailure {
    /// No process listens at the worker's address.
    WorkerRefused,
    /// The worker was not reached.
    WorkerUnreachable,
    /// This gateway is partitioned and no relay is usable. This says nothing about the worker.
    NoPath,
}

/// Which idle connections to a worker may still be used.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct IdleRule {
    /// Direct connections are closed if they have received nothing since this time.
    pub direct_alive_since: Timestamp,
    /// Whether relayed connections are kept.
    pub keeps_relayed: bool,
}

impl IdleRule {
    /// The rule of a gateway without relays.
    pub const ALL_DIRECT: Self = Self {
        direct_alive_since: Timestamp(0),
        keeps_relayed: false,
    };
}

/// What a probe of the direct path connects to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Probe {
    /// A worker that relays reach.
    RelayedWorker(WorkerId),
    /// A worker that was silent.
    SilentWorker(WorkerId),
    /// A random sample of up to [`MAX_SAMPLED_WORKERS`] workers.
    Sample,
}

/// A gateway that may be asked to relay connections.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RelayPeer {
    /// Its name.
    pub name: String,
    /// Its zone, if it is known.
    pub zone: Option<ZoneName>,
}

#[derive(Debug, Clone, Copy)]
struct Partition {
    since: Timestamp,
    detected_at: Timestamp,
    by_refusal: bool,
}

#[derive(Debug, Clone, Copy)]
struct DirectFailure {
    first_at: Timestamp,
    last_at: Timestamp,
    is_refusal: bool,
    /// Whether a relay has reached the worker.
    is_reached_by_relay: bool,
}

/// The paths from this gateway to its workers.
#[derive(Debug)]
pub struct WorkerPaths {
    zone: ZoneName,
    known_workers: usize,
    /// Workers that direct connections did not reach since the last one that succeeded.
    failures: HashMap<WorkerId, DirectFailure>,
    /// When the connections of the last sample that reached no worker began.
    unreached_sample_at: Timestamp,
    /// When the newest direct connection that has succeeded was opened.
    last_reached_at: Timestamp,
    partition: Option<Partition>,
    /// Workers that a relay reaches and this gateway does not.
    relayed: BTreeSet<WorkerId>,
    /// Peers that are not asked until the given time.
    paused_peers: HashMap<String, Timestamp>,
    zone_cut_until: Timestamp,
    /// Until when a peer that was partitioned is not asked again.
    peer_partitioned_until: Timestamp,
    last_probe_at: Option<Timestamp>,
    last_probed: Option<WorkerId>,
    wanted_probe: Option<WorkerId>,
}

impl WorkerPaths {
    /// Creates the paths of a gateway in this zone, all of them direct.
    pub fn new(zone: ZoneName) -> Self {
        Self {
            zone,
            known_workers: PARTITION_WORKERS,
            failures: HashMap::new(),
            unreached_sample_at: Timestamp::default(),
            last_reached_at: Timestamp::default(),
            partition: None,
            relayed: BTreeSet::new(),
            paused_peers: HashMap::new(),
            zone_cut_until: Timestamp::default(),
            peer_partitioned_until: Timestamp::default(),
            last_probe_at: None,
            last_probed: None,
            wanted_probe: None,
        }
    }

    /// Forgets everything about paths and peers, so that all paths are direct.
    pub fn reset(&mut self) {
        *self = Self::new(self.zone.clone());
    }

    /// Sets the number of workers that are announced.
    pub fn set_known_workers(&mut self, known_workers: usize) {
        self.known_workers = known_workers;
    }

    /// Forgets workers that are no longer announced, and peers whose pause has ended.
    pub fn prune(&mut self, now: Timestamp, is_known: impl Fn(&WorkerId) -> bool) {
        self.relayed.retain(&is_known);
        self.failures.retain(|worker, _| is_known(worker));
        self.paused_peers.retain(|_, until| *until > now);
    }

    /// Returns how a new connection to a worker is opened.
    pub fn path_to(&self, worker: &WorkerId) -> WorkerPath {
        match self.partition {
            Some(_) => WorkerPath::RelayOnly,
            None if self.relayed.contains(worker) => WorkerPath::RelayFirst,
            None => WorkerPath::DirectFirst,
        }
    }

    /// Returns whether this gateway is partitioned from its workers.
    pub fn is_partitioned(&self) -> bool {
        self.partition.is_some()
    }

    /// Returns whether this gateway is partitioned, or fails to reach several workers and does not know why.
    pub fn may_be_partitioned(&self, now: Timestamp) -> bool {
        self.is_partitioned() || self.recent_failures(now).count() >= PARTITION_WORKERS
    }

    /// Returns whether a direct connection may end at once after it was established, as others have failed.
    pub fn doubts_direct(&self, now: Timestamp, worker: &WorkerId) -> bool {
        self.path_to(worker) != WorkerPath::DirectFirst || self.recent_failures(now).count() > 0
    }

    /// Returns whether this gateway is partitioned, or has reached no worker of a sample and none since. Failures of
    /// connections for requests do not suffice: they are no random choice, and a worker that was not tried may be
    /// reachable.
    pub fn reaches_no_worker(&self, now: Timestamp) -> bool {
        let is_recent = now.since(self.unreached_sample_at) < FAILURE_MEMORY;
        let is_unreached = is_recent && self.unreached_sample_at > self.last_reached_at;
        self.is_partitioned() || is_unreached
    }

    /// Records that no direct connection to the workers of a sample has succeeded. The connections began at `began_at`.
    pub fn record_unreached_sample(&mut self, began_at: Timestamp, workers: usize) {
        if workers >= PARTITION_WORKERS {
            self.unreached_sample_at = began_at;
        }
    }

    /// Returns which idle connections to a worker may still be used.
    pub fn idle_rule(&self, worker: &WorkerId) -> IdleRule {
        let hanging = self.partition.filter(|partition| !partition.by_refusal);
        IdleRule {
            direct_alive_since: hanging.map(|partition| partition.since).unwrap_or_default(),
            keeps_relayed: self.path_to(worker) != WorkerPath::DirectFirst,
        }
    }

    /// Records the result of a direct connection attempt.
    pub fn record_direct(
        &mut self,
        now: Timestamp,
        worker: &WorkerId,
        outcome: DirectOutcome,
    ) -> Option<PathChange> {
        let is_refusal = match outcome {
            DirectOutcome::Connected => return self.record_answered(worker, now),
            DirectOutcome::Refused | DirectOutcome::Reset => true,
            DirectOutcome::Failed => false,
        };
        self.failures
            .retain(|_, failure| now.since(failure.last_at) < FAILURE_MEMORY);
        if self.failures.len() < MAX_FAILURES || self.failures.contains_key(worker) {
            let failure = self
                .failures
                .entry(worker.clone())
                .or_insert(DirectFailure {
                    first_at: now,
                    last_at: now,
                    is_refusal,
                    is_reached_by_relay: false,
                });
            failure.last_at = now;
            failure.is_refusal &= is_refusal;
        }
        self.detect_partition(now)
    }

    /// Records that the direct path to a worker worked on a connection that was opened at `opened_at`. This says nothing
    /// about connections that failed later.
    pub fn record_answered(
        &mut self,
        worker: &WorkerId,
        opened_at: Timestamp,
    ) -> Option<PathChange> {
        self.last_reached_at = self.last_reached_at.max(opened_at);
        self.failures
            .retain(|_, failure| failure.last_at > opened_at);
        let is_ended = |partition: &mut Partition| partition.detected_at <= opened_at;
        let ended = self.partition.take_if(is_ended);
        if ended.is_some() {
            self.zone_cut_until = Timestamp::default();
        }
        // Paths usually heal together. A path that has not healed fails again at its next connection.
        let is_healed = self.partition.is_none() && self.relayed.contains(worker);
        if ended.is_some() || is_healed {
            self.relayed.clear();
        }
        ended.map(|Partition { since, .. }| PathChange::Restored { since })
    }

    /// Records the result of a connection attempt through a peer.
    pub fn record_relayed(
        &mut self,
        now: Timestamp,
        peer: &RelayPeer,
        worker: &WorkerId,
        outcome: RelayOutcome,
    ) -> Option<PathChange> {
        match outcome {
            RelayOutcome::Connected => {
                self.paused_peers.remove(&peer.name);
                return self.record_relay_success(now, worker);
            }
            RelayOutcome::RelayPartitioned => {
                if peer.zone.as_ref() == Some(&self.zone) {
                    self.zone_cut_until = now + ZONE_CUT_MEMORY;
                }
                self.peer_partitioned_until = now + UNAVAILABLE_PAUSE;
                self.pause_peer(now, peer);
            }
            RelayOutcome::AtLimit
            | RelayOutcome::Leaving
            | RelayOutcome::Unavailable
            | RelayOutcome::Unsupported => self.pause_peer(now, peer),
            RelayOutcome::WorkerRefused => {
                self.relayed.remove(worker);
            }
            RelayOutcome::WorkerUnreachable | RelayOutcome::UnknownWorker => {}
        }
        None
    }

    fn record_relay_success(&mut self, now: Timestamp, worker: &WorkerId) -> Option<PathChange> {
        let failure = self.failures.get_mut(worker)?;
        failure.is_reached_by_relay = true;
        if self.relayed.len() < MAX_RELAYED_WORKERS {
            self.relayed.insert(worker.clone());
        }
        self.detect_partition(now)
    }

    fn pause_peer(&mut self, now: Timestamp, peer: &RelayPeer) {
        if self.paused_peers.len() >= MAX_PAUSED_PEERS {
            self.paused_peers.retain(|_, until| *until > now);
        }
        if self.paused_peers.len() < MAX_PAUSED_PEERS {
            let until = now + UNAVAILABLE_PAUSE;
            self.paused_peers.insert(peer.name.clone(), until);
        }
    }

    fn partition_threshold(&self) -> usize {
        self.known_workers.clamp(1, PARTITION_WORKERS)
    }

    fn recent_failures(&self, now: Timestamp) -> impl Iterator<Item = &DirectFailure> {
        let failures = self.failures.values();
        failures.filter(move |failure| now.since(failure.last_at) < FAILURE_MEMORY)
    }

    fn detect_partition(&mut self, now: Timestamp) -> Option<PathChange> {
        let failed_workers = self.recent_failures(now).count();
        let is_path_at_fault = self
            .recent_failures(now)
            .any(|failure| failure.is_reached_by_relay);
        let is_detected = is_path_at_fault && failed_workers >= self.partition_threshold();
        if !is_detected || self.partition.is_some() {
            return None;
        }
        let first = self
            .recent_failures(now)
            .map(|failure| failure.first_at)
            .min();
        let since = first.unwrap_or(now);
        let by_refusal = self.recent_failures(now).all(|failure| failure.is_refusal);
        self.partition = Some(Partition {
            since,
            detected_at: now,
            by_refusal,
        });
        Some(PathChange::Partitioned {
            since,
            failed_workers,
            by_refusal,
        })
    }

    /// Selects the peer to ask for a relayed connection, by a random draw among those that are usable. `tried` lists the
    /// peers that were asked already. Peers of this zone come first, unless one of them was partitioned or was tried
    /// without success: the fault may affect the whole zone.
    pub fn select_relay(
        &self,
        now: Timestamp,
        peers: &[RelayPeer],
        tried: &[usize],
        draw: u64,
    ) -> Option<usize> {
        let is_own = |index: usize| peers[index].zone.as_ref() == Some(&self.zone);
        let prefers_own = now >= self.zone_cut_until && !tried.iter().any(|tried| is_own(*tried));
        let is_usable =
            |index: &usize| !tried.contains(index) && !self.is_paused(now, &peers[*index]);
        let preferred =
            || (0..peers.len()).filter(|index| is_own(*index) == prefers_own && is_usable(index));
        let others =
            || (0..peers.len()).filter(|index| is_own(*index) != prefers_own && is_usable(index));
        match preferred().count() {
            0 => nth_drawn(others().count(), draw).and_then(|nth| others().nth(nth)),
            count => nth_drawn(count, draw).and_then(|nth| preferred().nth(nth)),
        }
    }

    /// Returns whether a peer of another zone should confirm that a worker refuses connections, as this peer says. A
    /// fault that affects the whole zone may refuse the connections of all of its gateways.
    pub fn needs_confirmation(&self, peer: &RelayPeer) -> bool {
        peer.zone.as_ref() == Some(&self.zone)
    }

    fn is_paused(&self, now: Timestamp, peer: &RelayPeer) -> bool {
        self.paused_peers
            .get(&peer.name)
            .is_some_and(|until| *until > now)
    }

    /// Returns why a connection failed, given the result of the direct attempt, if there was one, and those of the relayed
    /// attempts.
    pub fn classify_failure(
        &self,
        now: Timestamp,
        direct: Option<DirectOutcome>,
        relayed: &[RelayOutcome],
    ) -> ConnectFailure {
        let has = |outcome: RelayOutcome| relayed.contains(&outcome);
        if has(RelayOutcome::WorkerRefused) {
            return ConnectFailure::WorkerRefused;
        }
        let is_relay_usable =
            has(RelayOutcome::WorkerUnreachable) || has(RelayOutcome::UnknownWorker);
        let is_peer_partitioned = now < self.peer_partitioned_until;
        let has_no_path =
            self.is_partitioned() || (is_peer_partitioned && self.reaches_no_worker(now));
        if has_no_path && !is_relay_usable {
            return ConnectFailure::NoPath;
        }
        let is_unverified = !is_peer_partitioned && !has(RelayOutcome::WorkerUnreachable);
        match direct {
            Some(DirectOutcome::Refused) if is_unverified => ConnectFailure::WorkerRefused,
            _ => ConnectFailure::WorkerUnreachable,
        }
    }

    /// Asks for a probe of the direct path to a worker that was silent, so that a path that hangs is noticed while idle
    /// connections are still in use.
    pub fn want_probe(&mut self, worker: &WorkerId) {
        if self.partition.is_none() {
            self.wanted_probe.get_or_insert_with(|| worker.clone());
        }
    }

    /// Returns the probe that is due, if any.
    pub fn take_due_probe(&mut self, now: Timestamp) -> Option<Probe> {
        let is_early = |last: Timestamp| now.since(last) < PROBE_INTERVAL;
        if self.last_probe_at.is_some_and(is_early) {
            return None;
        }
        let probe = self.next_probe(now)?;
        self.last_probe_at = Some(now);
        Some(probe)
    }

    fn next_probe(&mut self, now: Timestamp) -> Option<Probe> {
        if self.may_be_partitioned(now) {
            return Some(Probe::Sample);
        }
        if let Some(worker) = self.wanted_probe.take() {
            return Some(Probe::SilentWorker(worker));
        }
        let after_last = match &self.last_probed {
            Some(last) => (Bound::Excluded(last), Bound::Unbounded),
            None => (Bound::Unbounded, Bound::Unbounded),
        };
        let next = self.relayed.range::<WorkerId, _>(after_last).next();
        let next = next.or_else(|| self.relayed.first()).cloned();
        self.last_probed.clone_from(&next);
        next.map(Probe::RelayedWorker)
    }
}

fn nth_drawn(count: usize, draw: u64) -> Option<usize> {
    usize::try_from(draw.checked_rem(count as u64)?).ok()
}
