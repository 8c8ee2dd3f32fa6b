//! The actor that runs membership and the spread of configurations: it hands them datagrams,
//! pulls and the time, and carries out what they decide.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use actix::{Actor, ActorFutureExt, AsyncContext, Context, WrapFuture};
use tansyhall_core::{Incarnation, Timestamp};
use tansyhall_dissemination::{
    self as dissemination, Dissemination, MembershipView, Peer, PullOutcome, RevisionStatus,
};
use tansyhall_membership::{
    self as membership, ConfigurationStatus, MemberAddresses, MemberRecord, MemberState,
    Membership, MembershipSettings,
};
use tansyhall_proto::{encode_datagram, PullAnswer};
use tansyhall_store::machines::MachineList;
use tokio::net::{TcpListener, UdpSocket};

use super::exchange;
use super::foreign;
use super::machines::{self, MachineSchedule};
use super::pull;
use super::transport::{self, PeerTransport};
use super::view::state_name;
use crate::configuration;
use crate::state::Node;

/// The timer runs this many times in a probe period.
const TICKS_PER_PROBE: u32 = 20;
/// A probe is tried through others after this fraction of its period.
const PROBE_TIMEOUT_FRACTION: f64 = 0.3;
/// Longest age of the snapshot and the gauges; a change of a member's state renews them at once.
const PUBLISH_PERIOD: Duration = Duration::from_millis(250);
/// Every state a member can be in, for the gauges.
const STATES: [MemberState; 4] = [
    MemberState::Alive,
    MemberState::Suspect,
    MemberState::Leaving,
    MemberState::Dead,
];

/// The actor.
pub struct PeersActor {
    pub(super) node: Arc<Node>,
    pub(super) membership: Membership,
    pub(super) spread: Dissemination,
    spread_settings: dissemination::DisseminationSettings,
    transport: Option<PeerTransport>,
    socket: Option<Rc<UdpSocket>>,
    list: MachineList,
    schedule: MachineSchedule,
    publish_at: Timestamp,
}

impl PeersActor {
    /// An actor that speaks for a node which is reached at these addresses.
    pub fn new(node: Arc<Node>, transport: PeerTransport, addresses: MemberAddresses) -> Self {
        let settings = &node.settings;
        let own = MemberRecord {
            name: settings.name.clone(),
            zone: settings.zone.clone(),
            addresses,
            incarnation: incarnation_of_this_process(),
            state: MemberState::Alive,
            configuration_revision: 0,
        };
        let mut membership = Membership::new(membership_settings(&node), own, rand::random());
        for seed in &settings.seeds {
            membership.add_contact(*seed);
        }
        let spread_settings = dissemination::DisseminationSettings::default();
        let schedule = MachineSchedule {
            period: settings.peer_limits.machines_period,
            next: Timestamp::default(),
            in_progress: false,
        };
        Self {
            membership,
            spread: Dissemination::new(spread_settings.clone(), rand::random()),
            spread_settings,
            transport: Some(transport),
            socket: None,
            list: MachineList::new(settings.platform, settings.limits.platform_timeout),
            schedule,
            publish_at: Timestamp::default(),
            node,
        }
    }

    fn tick(&mut self, context: &mut Context<Self>) {
        let now = self.node.clock.now();
        let actions = self.membership.tick(now);
        self.carry_out_membership(now, actions, context);
        self.hear_of_other_zones();
        let view = self.view(now);
        let actions = self.spread.tick(now, view);
        self.carry_out_spread(now, actions, context);
        self.read_machines(now, context);
        self.publish(now);
    }

    fn view(&self, now: Timestamp) -> MembershipView {
        let own = &self.node.settings.name;
        let neighbours = self.membership.reachable().filter(|it| it.name != *own);
        MembershipView {
            is_watcher: self.membership.is_watcher(now),
            is_settled: self.membership.is_settled(now),
            neighbours: neighbours.map(peer_of).collect(),
        }
    }

    /// The members that speak for the zone also pull from other zones, should those be ahead.
    fn hear_of_other_zones(&mut self) {
        if !self.membership.relays().contains(&self.node.settings.name) {
            return;
        }
        for digest in self.membership.zone_digests() {
            for contact in &digest.contacts {
                let peer = Peer {
                    name: contact.name.clone(),
                    address: contact.peers,
                };
                self.spread
                    .handle_remote_revision(&peer, contact.configuration_revision);
            }
        }
    }

    pub(super) fn carry_out_membership(
        &mut self,
        now: Timestamp,
        actions: Vec<membership::Action>,
        context: &mut Context<Self>,
    ) {
        for action in actions {
            match action {
                membership::Action::Send { to, message } => self.send(to, &message),
                membership::Action::StateChanged { record, before } => {
                    self.count_change(record.state);
                    log_change(&record, before);
                    self.publish_at = now;
                }
                membership::Action::MessageReceived { sender, from } => {
                    let peer = Peer {
                        name: sender.name,
                        address: from,
                    };
                    let mark = RevisionStatus {
                        revision: sender.configuration.revision,
                        confirmation_age: sender.configuration.confirmation_age,
                    };
                    let actions = self.spread.handle_status(now, &peer, mark);
                    self.carry_out_spread(now, actions, context);
                }
                membership::Action::ForeignSender { from } => foreign::note(&self.node, from),
                membership::Action::BackendChanged(mark) => {
                    log::info!("back end {}: leaving {}", mark.name, mark.is_leaving);
                    self.publish_at = now;
                }
                membership::Action::AskedToLeave => {
                    log::info!("this machine is listed as leaving; other nodes send no new work");
                }
            }
        }
    }

    pub(super) fn carry_out_spread(
        &mut self,
        now: Timestamp,
        actions: Vec<dissemination::Action>,
        context: &mut Context<Self>,
    ) {
        for action in actions {
            match action {
                dissemination::Action::Pull {
                    peer,
                    held_revision,
                } => self.pull(peer, held_revision, context),
                dissemination::Action::PutInForce => {
                    let revision = configuration::put_held_in_force(&self.node);
                    let actions = self.spread.handle_put_in_force(revision);
                    self.update_mark(now);
                    self.carry_out_spread(now, actions, context);
                }
                dissemination::Action::Announce { peers } => {
                    let message = self.membership.build_notice(now);
                    for peer in peers {
                        self.send(peer.address, &message);
                    }
                }
            }
        }
    }

    fn count_change(&self, state: MemberState) {
        let changes = &self.node.metrics.peers.member_changes;
        changes.with_label_values(&[state_name(state)]).inc();
    }

    fn send(&self, to: SocketAddr, message: &membership::Message) {
        let metrics = &self.node.metrics.peers;
        let bytes = encode_datagram(message);
        let sent = self.socket.as_ref().map(|it| it.try_send_to(&bytes, to));
        if matches!(sent, Some(Ok(_))) {
            let sent_bytes = metrics.datagram_bytes.with_label_values(&["sent"]);
            sent_bytes.inc_by(bytes.len() as u64);
        } else {
            metrics.unsent.inc();
        }
    }

    fn pull(&self, peer: Peer, held_revision: u64, context: &mut Context<Self>) {
        let timeout = self.spread_settings.pull_timeout;
        let node = Arc::clone(&self.node);
        let pull = pull::pull(node, peer.address, held_revision, timeout);
        let pull = pull.into_actor(self);
        context.spawn(pull.map(move |answer, actor, context| {
            actor.pull_ended(peer, answer, context);
        }));
    }

    fn pull_ended(
        &mut self,
        peer: Peer,
        answer: anyhow::Result<PullAnswer>,
        context: &mut Context<Self>,
    ) {
        let outcome = match answer {
            Ok(answer) => configuration::take_answer(&self.node, answer),
            Err(error) => {
                log::debug!("pull from {}: {error:#}", peer.name);
                PullOutcome::Failed
            }
        };
        let label = match outcome {
            PullOutcome::Held(_) => "held",
            PullOutcome::Refused { .. } => "refused",
            PullOutcome::Failed => "failed",
        };
        self.node
            .metrics
            .peers
            .pulls
            .with_label_values(&[label])
            .inc();
        let now = self.node.clock.now();
        let actions = self.spread.handle_pull_outcome(now, &peer, outcome);
        self.carry_out_spread(now, actions, context);
    }

    fn read_machines(&mut self, now: Timestamp, context: &mut Context<Self>) {
        let is_settled = self.membership.is_settled(now);
        let is_needed = !is_settled || self.membership.is_watcher(now);
        if self.schedule.in_progress || now < self.schedule.next || !is_needed {
            return;
        }
        self.schedule.in_progress = true;
        self.schedule.next = now + self.schedule.period;
        let zone = self.node.settings.zone.clone();
        let fetch = machines::fetch(self.list.clone(), zone).into_actor(self);
        context.spawn(fetch.map(|listed, actor, context| {
            actor.schedule.in_progress = false;
            let Some(listed) = listed else {
                actor.node.metrics.platform_errors.inc();
                return;
            };
            let now = actor.node.clock.now();
            let mut actions = actor.membership.observe_machines(now, &listed.nodes);
            actions.extend(actor.membership.observe_backends(now, &listed.backends));
            actor.carry_out_membership(now, actions, context);
        }));
    }

    /// Tells membership what is in force, so that every message says so.
    fn update_mark(&mut self, now: Timestamp) {
        let mark = self.spread.status(now);
        let mark = ConfigurationStatus {
            revision: mark.revision,
            confirmation_age: mark.confirmation_age,
        };
        self.membership.set_configuration(now, mark);
    }

    fn publish(&mut self, now: Timestamp) {
        self.update_mark(now);
        let follows_store = self.spread.follows_store();
        self.node.peers.set_follows_store(follows_store);
        if now < self.publish_at {
            return;
        }
        self.publish_at = now + PUBLISH_PERIOD;
        self.node.peers.publish(&self.membership);
        let metrics = &self.node.metrics.peers;
        metrics.follows_store.set(follows_store.into());
        let staleness = self.spread.staleness(now);
        let staleness = staleness.map_or(f64::INFINITY, |age| age.as_secs_f64());
        metrics.staleness_seconds.set(staleness);
        let leaving_backends = self.membership.leaving_backends().count();
        let leaving_backends = i64::try_from(leaving_backends).unwrap_or(i64::MAX);
        metrics.leaving_backends.set(leaving_backends);
        for state in STATES {
            let members = self.membership.members();
            let count = members.filter(|record| record.state == state).count();
            let gauge = metrics.members.with_label_values(&[state_name(state)]);
            gauge.set(i64::try_from(count).unwrap_or(i64::MAX));
        }
    }
}

impl Actor for PeersActor {
    type Context = Context<Self>;

    fn started(&mut self, context: &mut Self::Context) {
        let Some(transport) = self.transport.take() else {
            return;
        };
        // Both sockets are bound and non-blocking; registering them fails only without a reactor.
        let socket = UdpSocket::from_std(transport.datagrams).expect("a reactor runs");
        let listener = TcpListener::from_std(transport.pulls).expect("a reactor runs");
        let socket = Rc::new(socket);
        context.add_stream(transport::receive_all(Rc::clone(&socket)));
        self.socket = Some(socket);
        actix_rt::spawn(exchange::serve(Arc::clone(&self.node), listener));
        let period = self.node.settings.peer_limits.probe_period / TICKS_PER_PROBE;
        self.tick(context);
        context.run_interval(period, Self::tick);
    }
}

fn incarnation_of_this_process() -> Incarnation {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    let micros = since_epoch.unwrap_or(Duration::ZERO).as_micros();
    Incarnation(u64::try_from(micros).unwrap_or(u64::MAX))
}

fn membership_settings(node: &Node) -> MembershipSettings {
    let probe_period = node.settings.peer_limits.probe_period;
    MembershipSettings {
        fleet: node.fleet,
        probe_period,
        probe_timeout: probe_period.mul_f64(PROBE_TIMEOUT_FRACTION),
        ..MembershipSettings::default()
    }
}

fn peer_of(record: &MemberRecord) -> Peer {
    Peer {
        name: record.name.clone(),
        address: record.addresses.peers,
    }
}

fn log_change(record: &MemberRecord, before: Option<MemberState>) {
    let before = before.map_or("unknown", state_name);
    let state = state_name(record.state);
    let incarnation = record.incarnation.0;
    log::info!(
        "member {} ({incarnation}): {before} -> {state}",
        record.name
    );
}
