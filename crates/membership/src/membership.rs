//! The membership state machine: its state, its timers, and the actions that it returns to the
//! node.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tansyhall_core::{Duration, EngineName, Incarnation, NodeId, Timestamp, ZoneName};

use crate::backends::{BackendMark, BackendMarks};
use crate::broadcast::BroadcastQueue;
use crate::digest::{LoadSummary, ZoneDigest, ZoneDigests};
use crate::member::{MemberRecord, MemberState};
use crate::message::{Body, ConfigurationStatus, Message, Sender};
use crate::probe::Prober;
use crate::settings::MembershipSettings;
use crate::table::{MemberTable, MergeOutcome};

/// An action that the caller must execute, or an event that it may react to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Send a message.
    Send {
        /// The address of the receiver.
        to: SocketAddr,
        /// The message.
        message: Message,
    },
    /// A member's state changed, or a new member or incarnation appeared.
    StateChanged {
        /// The new record of the member.
        record: MemberRecord,
        /// The previous state, or `None` for a new member.
        before: Option<MemberState>,
    },
    /// A message was received directly from a node. It states the configuration that the node has
    /// in force.
    MessageReceived {
        /// The sender.
        sender: Sender,
        /// The address of the sender.
        from: SocketAddr,
    },
    /// A message from a node of another fleet was received and ignored.
    ForeignSender {
        /// The address of the sender.
        from: SocketAddr,
    },
    /// A back end has been marked as leaving, or the mark has been revoked.
    BackendChanged(BackendMark),
    /// Other members report that this node's machine is about to be withdrawn.
    AskedToLeave,
}

/// A node on the platform's list of machines.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KnownMachine {
    /// The name of the node.
    pub name: NodeId,
    /// The zone of the node.
    pub zone: ZoneName,
    /// The address at which other nodes reach it.
    pub peers: SocketAddr,
    /// Whether the machine is about to be withdrawn.
    pub is_leaving: bool,
}

/// Counters since the start of the process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Statistics {
    /// Probes started.
    pub probes: u64,
    /// Probes that received neither a direct nor an indirect answer.
    pub failed_probes: u64,
    /// False statements about this node that it refuted.
    pub refutations: u64,
    /// Members that this node declared dead because its own suspicion timer expired.
    pub members_declared_dead: u64,
    /// Records of new members that were refused because the table was full.
    pub refused_records: u64,
    /// Pauses of this process, such as a suspended machine.
    pub pauses: u64,
}

/// If the time between two ticks exceeds this many probe periods, this process is assumed to have
/// been paused. Answers that are missing from the time of the pause then say nothing about the
/// other members.
const PAUSE_THRESHOLD_PERIODS: u32 = 2;

/// The time at which each periodic task is due next.
#[derive(Debug, Default)]
pub(crate) struct Timers {
    pub(crate) probe: Timestamp,
    pub(crate) notice: Timestamp,
    pub(crate) sync: Timestamp,
    pub(crate) reconnect: Timestamp,
    pub(crate) join: Timestamp,
    pub(crate) digest: Timestamp,
}

/// The membership of one node in its zone.
#[derive(Debug)]
pub struct Membership {
    pub(crate) settings: MembershipSettings,
    pub(crate) name: NodeId,
    pub(crate) zone: ZoneName,
    pub(crate) table: MemberTable,
    pub(crate) broadcasts: BroadcastQueue<NodeId>,
    pub(crate) digest_broadcasts: BroadcastQueue<ZoneName>,
    pub(crate) digests: ZoneDigests,
    pub(crate) backends: BackendMarks,
    pub(crate) backend_broadcasts: BroadcastQueue<EngineName>,
    pub(crate) prober: Prober,
    pub(crate) rng: ChaCha8Rng,
    pub(crate) timers: Timers,
    pub(crate) actions: Vec<Action>,
    pub(crate) contacts: Vec<SocketAddr>,
    pub(crate) machines: BTreeMap<NodeId, KnownMachine>,
    pub(crate) leaving_marks: BTreeMap<NodeId, Incarnation>,
    pub(crate) configuration: ConfigurationStatus,
    pub(crate) configuration_set_at: Timestamp,
    pub(crate) load: LoadSummary,
    pub(crate) first_incarnation: Incarnation,
    pub(crate) started_at: Option<Timestamp>,
    pub(crate) last_tick: Timestamp,
    pub(crate) has_joined: bool,
    pub(crate) is_notice_due: bool,
    pub(crate) statistics: Statistics,
}

impl Membership {
    /// Creates the membership of a node that knows only itself. The node's incarnation must be
    /// larger than that of every earlier process of the same name. The wall clock at the start, in
    /// microseconds, satisfies this.
    pub fn new(settings: MembershipSettings, own: MemberRecord, seed: u64) -> Self {
        let mut table = MemberTable::default();
        table.merge(&own, None, settings.max_members);
        let mut broadcasts = BroadcastQueue::default();
        broadcasts.push(own.name.clone());
        Self {
            settings,
            name: own.name,
            zone: own.zone,
            table,
            broadcasts,
            digest_broadcasts: BroadcastQueue::default(),
            digests: ZoneDigests::default(),
            backends: BackendMarks::default(),
            backend_broadcasts: BroadcastQueue::default(),
            prober: Prober::new(own.incarnation),
            rng: ChaCha8Rng::seed_from_u64(seed),
            timers: Timers::default(),
            actions: Vec::new(),
            contacts: Vec::new(),
            machines: BTreeMap::new(),
            leaving_marks: BTreeMap::new(),
            configuration: ConfigurationStatus::default(),
            configuration_set_at: Timestamp::default(),
            load: LoadSummary::default(),
            first_incarnation: own.incarnation,
            started_at: None,
            last_tick: Timestamp::default(),
            has_joined: false,
            is_notice_due: false,
            statistics: Statistics::default(),
        }
    }

    /// Adds an address to contact in order to join the zone or to find other zones. Does nothing if
    /// the limit on contacts is reached.
    pub fn add_contact(&mut self, address: SocketAddr) {
        let is_room = self.contacts.len() < self.settings.max_contacts;
        let is_own = address == self.own_record().addresses.peers;
        if is_room && !is_own && !self.contacts.contains(&address) {
            self.contacts.push(address);
        }
    }

    /// Runs all tasks that are due. The caller should call this at an interval that is a small
    /// fraction of the probe timeout.
    pub fn tick(&mut self, now: Timestamp) -> Vec<Action> {
        self.start_or_resume(now);
        self.expire_members(now);
        self.advance_probe(now);
        self.start_probe(now);
        self.send_notices(now);
        self.sync_with_random_member(now);
        self.reconnect(now);
        self.join(now);
        self.send_digests(now);
        std::mem::take(&mut self.actions)
    }

    /// Announces that this node is leaving, so that other nodes send it no new work.
    pub fn leave(&mut self, now: Timestamp) -> Vec<Action> {
        let mut record = self.own_record().clone();
        record.state = MemberState::Leaving;
        self.apply(now, &record);
        self.timers.notice = now;
        self.send_notices(now);
        std::mem::take(&mut self.actions)
    }

    /// Sets the configuration that this node has in force.
    pub fn set_configuration(&mut self, now: Timestamp, status: ConfigurationStatus) {
        self.configuration = status;
        self.configuration_set_at = now;
        let name = self.name.clone();
        if let Some(own) = self.table.get_mut(&name) {
            own.configuration_revision = status.revision;
        }
    }

    /// Sets the load of the zone's back ends as known to this node.
    pub fn set_load(&mut self, load: LoadSummary) {
        self.load = load;
    }

    /// Returns a message that carries only pending changes and the revision of the configuration in
    /// force.
    pub fn build_notice(&mut self, now: Timestamp) -> Message {
        self.build_message(now, Body::Notice, None)
    }

    /// Returns this node's own record.
    pub fn own_record(&self) -> &MemberRecord {
        self.table
            .get(&self.name)
            .expect("the member table always contains this node")
    }

    /// Returns all members in the table, ordered by name, including this node and dead members.
    pub fn members(&self) -> impl Iterator<Item = &MemberRecord> {
        self.table.records()
    }

    /// Returns the members that are not considered dead, including this node.
    pub fn reachable(&self) -> impl Iterator<Item = &MemberRecord> {
        self.table.reachable()
    }

    /// Returns the newest digest of each other zone.
    pub fn zone_digests(&self) -> impl Iterator<Item = &ZoneDigest> {
        self.digests.iter()
    }

    /// Returns the back ends that receive no new work because their machines are about to be
    /// withdrawn.
    pub fn leaving_backends(&self) -> impl Iterator<Item = &EngineName> {
        let leaving = self.backends.iter().filter(|mark| mark.is_leaving);
        leaving.map(|mark| &mark.name)
    }

    /// Returns whether this node has joined its zone, or no answer to its join requests is to
    /// be expected: it has nobody to contact, or the grace period has passed.
    pub fn is_settled(&self, now: Timestamp) -> bool {
        let grace = self.settings.join_grace;
        let waited = self
            .started_at
            .is_some_and(|started_at| now >= started_at + grace);
        self.has_joined || waited || (self.contacts.is_empty() && self.machines.is_empty())
    }

    /// Returns the counters since the start of the process.
    pub fn statistics(&self) -> Statistics {
        self.statistics
    }

    fn start_or_resume(&mut self, now: Timestamp) {
        if self.started_at.is_none() {
            self.started_at = Some(now);
            self.last_tick = now;
            self.stagger_timers(now);
        }
        let pause = now.since(self.last_tick);
        self.last_tick = now;
        if pause > self.settings.probe_period * PAUSE_THRESHOLD_PERIODS {
            self.statistics.pauses += 1;
            self.prober.current = None;
            self.table.postpone_suspicions(pause);
        }
    }

    /// Sets the first due times at random, so that nodes that start together do not run their
    /// periodic tasks in step.
    fn stagger_timers(&mut self, now: Timestamp) {
        let mut random_time_within =
            |period: Duration| now + period.mul_f64(self.rng.random::<f64>());
        self.timers = Timers {
            probe: random_time_within(self.settings.probe_period),
            notice: now,
            sync: random_time_within(self.settings.sync_period),
            reconnect: random_time_within(self.settings.reconnect_period),
            join: now,
            digest: random_time_within(self.settings.digest_period),
        };
    }

    /// Merges a record of another member, or this node's own new record, into the table and queues
    /// it for propagation if it changed the table.
    pub(crate) fn apply(&mut self, now: Timestamp, record: &MemberRecord) {
        let deadline = match record.state {
            MemberState::Alive | MemberState::Leaving => None,
            MemberState::Suspect => {
                let members = self.table.reachable().count();
                Some(now + self.settings.suspicion_timeout(members))
            }
            MemberState::Dead => Some(now + self.settings.dead_retention),
        };
        let capacity = self.settings.max_members;
        match self.table.merge(record, deadline, capacity) {
            MergeOutcome::Ignored => {}
            MergeOutcome::Full => self.statistics.refused_records += 1,
            MergeOutcome::Updated(before) => {
                self.broadcasts.push(record.name.clone());
                self.is_notice_due = true;
                let record = record.clone();
                self.actions.push(Action::StateChanged { record, before });
            }
        }
    }

    /// Sends recent changes to a few members at once, instead of waiting for the next probes to
    /// carry them.
    fn send_notices(&mut self, now: Timestamp) {
        if !self.is_notice_due || now < self.timers.notice {
            return;
        }
        self.timers.notice = now + self.settings.notice_period;
        self.is_notice_due = false;
        let message = self.build_message(now, Body::Notice, None);
        let own = self.name.clone();
        for record in self.random_members(self.settings.notice_fanout, &own) {
            self.actions.push(Action::Send {
                to: record.addresses.peers,
                message: message.clone(),
            });
        }
    }
}
