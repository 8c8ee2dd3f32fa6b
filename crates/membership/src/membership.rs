//! The membership state machine: its state, its timers and what it tells the node.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tansyhall_core::{Duration, EngineName, Incarnation, NodeId, Timestamp, ZoneName};

use crate::backends::{BackendMark, BackendMarks};
use crate::broadcast::BroadcastQueue;
use crate::digest::{LoadSummary, ZoneDigest, ZoneDigests};
use crate::member::{MemberRecord, MemberState};
use crate::message::{Body, ConfigurationMark, Message, Sender};
use crate::probe::Prober;
use crate::settings::MembershipSettings;
use crate::table::{MemberTable, Outcome};

/// What the caller must do or may want to know.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Send a message.
    Send {
        /// Where to.
        to: SocketAddr,
        /// The message.
        message: Message,
    },
    /// A member's state changed, or a new member or incarnation appeared.
    StateChanged {
        /// What is now known about it.
        record: MemberRecord,
        /// Its state before; absent for a new member.
        before: Option<MemberState>,
    },
    /// A node was heard of directly, so its configuration is known.
    Heard {
        /// Who.
        sender: Sender,
        /// Where it sent from.
        from: SocketAddr,
    },
    /// A message of a node of another fleet came, and was passed over.
    ForeignSender {
        /// Where it came from.
        from: SocketAddr,
    },
    /// A back end is leaving, or no longer is.
    BackendChanged(BackendMark),
    /// Others say that this node's machine is about to be taken away.
    AskedToLeave,
}

/// A node on the platform's list of machines.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KnownMachine {
    /// The node's name.
    pub name: NodeId,
    /// Its zone.
    pub zone: ZoneName,
    /// Where nodes reach it.
    pub peers: SocketAddr,
    /// Whether it is about to be taken away.
    pub leaving: bool,
}

/// Counts since the start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Statistics {
    /// Probes begun.
    pub probes: u64,
    /// Probes that failed, directly and through others.
    pub failed_probes: u64,
    /// Suspicions of this node that it refuted.
    pub refutations: u64,
    /// Members found dead by this node's own timers.
    pub deaths: u64,
    /// Records refused because the table is full.
    pub refused_records: u64,
    /// Times at which this process had not run for a while.
    pub pauses: u64,
}

/// A silence of the caller's timer longer than this many probe periods counts as a pause of this
/// process: what others failed to answer meanwhile says nothing about them.
const PAUSE_PERIODS: u32 = 2;

/// When each periodic task is due next.
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
    pub(crate) configuration: ConfigurationMark,
    pub(crate) configuration_at: Timestamp,
    pub(crate) load: LoadSummary,
    pub(crate) first_incarnation: Incarnation,
    pub(crate) started: Option<Timestamp>,
    pub(crate) last_tick: Timestamp,
    pub(crate) joined: bool,
    pub(crate) notice_due: bool,
    pub(crate) statistics: Statistics,
}

impl Membership {
    /// The membership of a node that knows only itself. Its incarnation must be larger than that
    /// of every earlier run of the same name, such as the wall clock at start in microseconds.
    pub fn new(settings: MembershipSettings, own: MemberRecord, seed: u64) -> Self {
        let mut table = MemberTable::default();
        table.offer(&own, None, settings.max_members);
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
            configuration: ConfigurationMark::default(),
            configuration_at: Timestamp::default(),
            load: LoadSummary::default(),
            first_incarnation: own.incarnation,
            started: None,
            last_tick: Timestamp::default(),
            joined: false,
            notice_due: false,
            statistics: Statistics::default(),
        }
    }

    /// Adds an address to contact while no member is known.
    pub fn add_contact(&mut self, address: SocketAddr) {
        let is_room = self.contacts.len() < self.settings.max_contacts;
        let is_own = address == self.own().addresses.peers;
        if is_room && !is_own && !self.contacts.contains(&address) {
            self.contacts.push(address);
        }
    }

    /// Runs what is due. The caller's timer should be a small fraction of the probe's timeout.
    pub fn tick(&mut self, now: Timestamp) -> Vec<Action> {
        self.start_or_resume(now);
        self.expire(now);
        self.advance_probe(now);
        self.begin_probe(now);
        self.send_notices(now);
        self.synchronise(now);
        self.reconnect(now);
        self.join(now);
        self.exchange_digests(now);
        std::mem::take(&mut self.actions)
    }

    /// Announces that this node is leaving: others give it no new work.
    pub fn leave(&mut self, now: Timestamp) -> Vec<Action> {
        let mut record = self.own().clone();
        record.state = MemberState::Leaving;
        self.apply(now, &record);
        self.timers.notice = now;
        self.send_notices(now);
        std::mem::take(&mut self.actions)
    }

    /// Says which configuration is in force here.
    pub fn set_configuration(&mut self, now: Timestamp, mark: ConfigurationMark) {
        self.configuration = mark;
        self.configuration_at = now;
        let name = self.name.clone();
        if let Some(own) = self.table.get_mut(&name) {
            own.configuration_revision = mark.revision;
        }
    }

    /// Says how loaded the zone's back ends are, as far as this node knows.
    pub fn set_load(&mut self, load: LoadSummary) {
        self.load = load;
    }

    /// A short message that carries pending changes and the configuration's revision.
    pub fn notice(&mut self, now: Timestamp) -> Message {
        self.message(now, Body::Notice, None)
    }

    /// This node's own record.
    pub fn own(&self) -> &MemberRecord {
        self.table
            .get(&self.name)
            .expect("a node is always in its own table")
    }

    /// Every member that is remembered, this node and the dead included, by name.
    pub fn members(&self) -> impl Iterator<Item = &MemberRecord> {
        self.table.records()
    }

    /// Members that answer as far as is known, this node included.
    pub fn reachable(&self) -> impl Iterator<Item = &MemberRecord> {
        self.table.reachable()
    }

    /// The newest digest of each other zone.
    pub fn zone_digests(&self) -> impl Iterator<Item = &ZoneDigest> {
        self.digests.iter()
    }

    /// Back ends that get no new work, because their machines are about to be taken away.
    pub fn leaving_backends(&self) -> impl Iterator<Item = &EngineName> {
        let leaving = self.backends.iter().filter(|mark| mark.is_leaving);
        leaving.map(|mark| &mark.name)
    }

    /// Whether a member has answered, or none is to be expected.
    pub fn is_settled(&self, now: Timestamp) -> bool {
        let grace = self.settings.join_grace;
        let waited = self.started.is_some_and(|started| now >= started + grace);
        self.joined || waited || (self.contacts.is_empty() && self.machines.is_empty())
    }

    /// Counts since the start.
    pub fn statistics(&self) -> Statistics {
        self.statistics
    }

    fn start_or_resume(&mut self, now: Timestamp) {
        if self.started.is_none() {
            self.started = Some(now);
            self.last_tick = now;
            self.stagger(now);
        }
        let pause = now.since(self.last_tick);
        self.last_tick = now;
        if pause > self.settings.probe_period * PAUSE_PERIODS {
            self.statistics.pauses += 1;
            self.prober.current = None;
            self.table.postpone_suspicions(pause);
        }
    }

    /// Spreads the periodic tasks of many nodes that start together.
    fn stagger(&mut self, now: Timestamp) {
        let mut within = |period: Duration| now + period.mul_f64(self.rng.random::<f64>());
        self.timers = Timers {
            probe: within(self.settings.probe_period),
            notice: now,
            sync: within(self.settings.sync_period),
            reconnect: within(self.settings.reconnect_period),
            join: now,
            digest: within(self.settings.digest_period),
        };
    }

    /// Takes a record about another member or about this node's own leaving, and passes it on.
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
        match self.table.offer(record, deadline, capacity) {
            Outcome::Ignored => {}
            Outcome::Full => self.statistics.refused_records += 1,
            Outcome::Taken(before) => {
                self.broadcasts.push(record.name.clone());
                self.notice_due = true;
                let record = record.clone();
                self.actions.push(Action::StateChanged { record, before });
            }
        }
    }

    /// Tells a few members of recent changes at once, instead of waiting for the next probes.
    fn send_notices(&mut self, now: Timestamp) {
        if !self.notice_due || now < self.timers.notice {
            return;
        }
        self.timers.notice = now + self.settings.notice_period;
        self.notice_due = false;
        let message = self.message(now, Body::Notice, None);
        let own = self.name.clone();
        for record in self.random_others(self.settings.notice_fanout, &own) {
            self.actions.push(Action::Send {
                to: record.addresses.peers,
                message: message.clone(),
            });
        }
    }
}
