//! The actor that runs membership and the distribution of configurations: it passes datagrams,
//! answers to pulls and the time to them, and carries out the actions that they return.

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

/// Ticks of the actor's timer in one probe period.
const TICKS_PER_PROBE_PERIOD: u32 = 20;
/// Fraction of the probe period after which an unanswered probe is sent through other members.
const PROBE_TIMEOUT_FRACTION: f64 = 0.3;
/// Interval at which the snapshot and the gauges are updated; a change of a member's state updates
/// them at the next tick.
const PUBLISH_INTERVAL: Duration = Duration::from_millis(250);
/// Every state of a member, for the gauges.
const ALL_STATES: [MemberState; 4] = [
    MemberState::Alive,
    MemberState::Suspect,
    MemberState::Leaving,
    MemberState::Dead,
];

/// The actor that runs membership and the distribution of configurations.
pub struct PeersActor {
    pub(super) node: Arc<Node>,
    pub(super) membership: Membership,
    pub(super) dissemination: Dissemination,
    dissemination_settings: dissemination::DisseminationSettings,
    transport: Option<PeerTransport>,
    socket: Option<Rc<UdpSocket>>,
    machine_list: MachineList,
    machine_schedule: MachineSchedule,
    next_publish_at: Timestamp,
}

impl PeersActor {
    /// Creates the actor of a node that other nodes reach at `addresses`.
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
        let dissemination_settings = dissemination::DisseminationSettings::default();
        let machine_schedule = MachineSchedule {
            interval: settings.peer_limits.machines_period,
            next_read_at: Timestamp::default(),
            in_progress: false,
        };
        Self {
            membership,
            dissemination: Dissemination::new(dissemination_settings.clone(), rand::random()),
            dissemination_settings,
            transport: Some(transport),
            socket: None,
            machine_list: MachineList::new(settings.platform, settings.limits.platform_timeout),
            machine_schedule,
            next_publish_at: Timestamp::default(),
            node,
        }
    }

    fn tick(&mut self, context: &mut Context<Self>) {
        let now = self.node.clock.now();
        let actions = self.membership.tick(now);
        self.carry_out_membership(now, actions, context);
        self.record_revisions_of_other_zones();
        let view = self.membership_view(now);
        let actions = self.dissemination.tick(now, view);
        self.carry_out_dissemination(now, actions, context);
        self.read_machines(now, context);
        self.publish(now);
    }

    fn membership_view(&self, now: Timestamp) -> MembershipView {
        let own = &self.node.settings.name;
        let neighbours = self
            .membership
            .reachable()
            .filter(|record| record.name != *own);
        MembershipView {
            is_watcher: self.membership.is_watcher(now),
            is_settled: self.membership.is_settled(now),
            neighbours: neighbours.map(peer_of).collect(),
        }
    }

    /// On a relay of the zone, records which revisions other zones have, so that newer ones are
    /// pulled from there.
    fn record_revisions_of_other_zones(&mut self) {
        if !self.membership.relays().contains(&self.node.settings.name) {
            return;
        }
        for digest in self.membership.zone_digests() {
            for contact in &digest.contacts {
                let peer = Peer {
                    name: contact.name.clone(),
                    address: contact.peers,
                };
                self.dissemination
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
                membership::Action::Send { to, message } => self.send_message(to, &message),
                membership::Action::StateChanged { record, before } => {
                    self.count_member_change(record.state);
                    log_member_change(&record, before);
                    self.next_publish_at = now;
                }
                membership::Action::MessageReceived { sender, from } => {
                    let peer = Peer {
                        name: sender.name,
                        address: from,
                    };
                    let status = RevisionStatus {
                        revision: sender.configuration.revision,
                        confirmation_age: sender.configuration.confirmation_age,
                    };
                    let actions = self.dissemination.handle_status(now, &peer, status);
                    self.carry_out_dissemination(now, actions, context);
                }
                membership::Action::ForeignSender { from } => {
                    foreign::record_foreign_message(&self.node, from)
                }
                membership::Action::BackendChanged(backend) => {
                    log::info!(
                        "back end {}: leaving = {}",
                        backend.name,
                        backend.is_leaving
                    );
                    self.next_publish_at = now;
                }
                membership::Action::AskedToLeave => {
                    log::info!("the platform lists this machine as leaving; other nodes send it no new work");
                }
            }
        }
    }

    pub(super) fn carry_out_dissemination(
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
                } => self.start_pull(peer, held_revision, context),
                dissemination::Action::PutInForce => {
                    let revision = configuration::put_held_in_force(&self.node);
                    let actions = self.dissemination.handle_put_in_force(revision);
                    self.update_configuration_status(now);
                    self.carry_out_dissemination(now, actions, context);
                }
                dissemination::Action::Announce { peers } => {
                    let message = self.membership.build_notice(now);
                    for peer in peers {
                        self.send_message(peer.address, &message);
                    }
                }
            }
        }
    }

    fn count_member_change(&self, state: MemberState) {
        let changes = &self.node.metrics.peers.member_changes;
        changes.with_label_values(&[state_name(state)]).inc();
    }

    fn send_message(&self, to: SocketAddr, message: &membership::Message) {
        let metrics = &self.node.metrics.peers;
        let bytes = encode_datagram(message);
        let sent = self
            .socket
            .as_ref()
            .map(|socket| socket.try_send_to(&bytes, to));
        if matches!(sent, Some(Ok(_))) {
            let sent_bytes = metrics.datagram_bytes.with_label_values(&["sent"]);
            sent_bytes.inc_by(bytes.len() as u64);
        } else {
            metrics.unsent.inc();
        }
    }

    fn start_pull(&self, peer: Peer, held_revision: u64, context: &mut Context<Self>) {
        let timeout = self.dissemination_settings.pull_timeout;
        let node = Arc::clone(&self.node);
        let pull = pull::pull_configuration(node, peer.address, held_revision, timeout);
        let pull = pull.into_actor(self);
        context.spawn(pull.map(move |answer, actor, context| {
            actor.complete_pull(peer, answer, context);
        }));
    }

    fn complete_pull(
        &mut self,
        peer: Peer,
        answer: anyhow::Result<PullAnswer>,
        context: &mut Context<Self>,
    ) {
        let outcome = match answer {
            Ok(answer) => configuration::apply_pull_answer(&self.node, answer),
            Err(error) => {
                log::debug!("configuration pull from {} failed: {error:#}", peer.name);
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
        let actions = self.dissemination.handle_pull_outcome(now, &peer, outcome);
        self.carry_out_dissemination(now, actions, context);
    }

    fn read_machines(&mut self, now: Timestamp, context: &mut Context<Self>) {
        let is_settled = self.membership.is_settled(now);
        let is_needed = !is_settled || self.membership.is_watcher(now);
        if self.machine_schedule.in_progress
            || now < self.machine_schedule.next_read_at
            || !is_needed
        {
            return;
        }
        self.machine_schedule.in_progress = true;
        self.machine_schedule.next_read_at = now + self.machine_schedule.interval;
        let zone = self.node.settings.zone.clone();
        let fetch = machines::fetch_machines(self.machine_list.clone(), zone).into_actor(self);
        context.spawn(fetch.map(|listed, actor, context| {
            actor.machine_schedule.in_progress = false;
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

    /// Passes the revision in force to membership, which states it in every message.
    fn update_configuration_status(&mut self, now: Timestamp) {
        let status = self.dissemination.status(now);
        let status = ConfigurationStatus {
            revision: status.revision,
            confirmation_age: status.confirmation_age,
        };
        self.membership.set_configuration(now, status);
    }

    fn publish(&mut self, now: Timestamp) {
        self.update_configuration_status(now);
        let follows_store = self.dissemination.follows_store();
        self.node.peers.set_follows_store(follows_store);
        if now < self.next_publish_at {
            return;
        }
        self.next_publish_at = now + PUBLISH_INTERVAL;
        self.node.peers.publish(&self.membership);
        let metrics = &self.node.metrics.peers;
        metrics.follows_store.set(follows_store.into());
        let staleness = self.dissemination.staleness(now);
        let staleness = staleness.map_or(f64::INFINITY, |age| age.as_secs_f64());
        metrics.staleness_seconds.set(staleness);
        let leaving_backends = self.membership.leaving_backends().count();
        let leaving_backends = i64::try_from(leaving_backends).unwrap_or(i64::MAX);
        metrics.leaving_backends.set(leaving_backends);
        for state in ALL_STATES {
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
        // Both sockets are bound and non-blocking, so registering them fails only without a reactor.
        let socket =
            UdpSocket::from_std(transport.datagram_socket).expect("a Tokio reactor is running");
        let listener =
            TcpListener::from_std(transport.request_listener).expect("a Tokio reactor is running");
        let socket = Rc::new(socket);
        context.add_stream(transport::receive_all(Rc::clone(&socket)));
        self.socket = Some(socket);
        actix_rt::spawn(exchange::serve(Arc::clone(&self.node), listener));
        let tick_interval = self.node.settings.peer_limits.probe_period / TICKS_PER_PROBE_PERIOD;
        self.tick(context);
        context.run_interval(tick_interval, Self::tick);
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

fn log_member_change(record: &MemberRecord, before: Option<MemberState>) {
    let before = before.map_or("unknown", state_name);
    let state = state_name(record.state);
    let incarnation = record.incarnation.0;
    log::info!(
        "member {} ({incarnation}): {before} -> {state}",
        record.name
    );
}
