//! The simulated cluster: a queue of events in virtual time, links that lose, duplicate and delay messages, and the
//! planned faults.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tansyhall_core::{Duration, Role, Timestamp};
use tansyhall_journal::{Member, VoteReply};

use crate::configuration::{Configurations, Message, Pull, Receiver};
use crate::engines::{Engine, EngineReply};
use crate::faults::{Fault, FaultKind, PlannedFault};
use crate::journal::{Journal, VoteRequest};
use crate::nodes::{Call, CallKind, Node, Request};
use crate::oracle::Oracle;
use crate::run::Rule;
use crate::store::{Store, StoreReply};

/// Number of nodes in the zone.
pub const NODE_COUNT: usize = 4;
/// Number of engines in the pool.
pub const ENGINE_COUNT: usize = 2;
const TICK_INTERVAL: Duration = Duration::from_millis(200);
const ENGINE_WORK_INTERVAL: Duration = Duration::from_millis(100);
const CALLER_REQUEST_INTERVAL: Duration = Duration::from_millis(400);
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(1);
/// Number of configuration changes in a burst.
const CHANGES_PER_BURST: u64 = 3;
/// Time between two changes of a burst.
const CHANGE_INTERVAL: Duration = Duration::from_secs(1);
/// Time after a burst within which its last change must be in force at every node, unless a fault prevents it. Links
/// that lose messages and delay them by up to 10 s do not count as such a fault.
const CONVERGENCE_TIMEOUT: Duration = Duration::from_secs(15);
const LOSS_PROBABILITY: f64 = 0.03;
const DUPLICATION_PROBABILITY: f64 = 0.05;
const LONG_DELAY_PROBABILITY: f64 = 0.03;

#[derive(Clone)]
enum Event {
    Tick {
        node: usize,
        incarnation: u64,
    },
    Call {
        node: usize,
        incarnation: u64,
        call: Call,
    },
    StoreReply {
        node: usize,
        incarnation: u64,
        kind: CallKind,
        number: u64,
        reply: StoreReply,
    },
    EngineReply {
        node: usize,
        incarnation: u64,
        engine: usize,
        number: u64,
        reply: EngineReply,
    },
    EngineWork(usize),
    InjectFault(Fault),
    CallerRequest(u64),
    BeginAttempt {
        request: u64,
        node: usize,
    },
    Vote(VoteRequest),
    VoteReply {
        request: VoteRequest,
        member: Member,
        reply: VoteReply,
    },
    AttemptTimeout(usize),
    AdvanceViewChange,
    DisseminationTick {
        node: usize,
        incarnation: u64,
    },
    ConfigurationMessage(Message),
    PullTimeout(Pull),
    ConfigurationChange(u64),
}

/// The state of the simulated cluster.
pub struct Cluster {
    now: Timestamp,
    random: ChaCha8Rng,
    dissemination_random: ChaCha8Rng,
    queue: BinaryHeap<Reverse<(Timestamp, u64)>>,
    events: BTreeMap<u64, Event>,
    scheduled: u64,
    nodes: Vec<Node>,
    engines: Vec<Engine>,
    store: Store,
    store_outage_until: Timestamp,
    answers_to_lose: u32,
    journal: Journal,
    configurations: Configurations,
    undisturbed_since: Timestamp,
    requested_roles: Vec<Role>,
    oracle: Oracle,
    steps: u64,
}

/// Returns the delays after which the copies of a message arrive: none if it is lost, two if it is duplicated.
fn delivery_delays(random: &mut ChaCha8Rng) -> Vec<Duration> {
    if random.random_bool(LOSS_PROBABILITY) {
        return Vec::new();
    }
    let copies = 1 + usize::from(random.random_bool(DUPLICATION_PROBABILITY));
    (0..copies).map(|_| random_delay(random)).collect()
}

fn random_delay(random: &mut ChaCha8Rng) -> Duration {
    let max_millis = match random.random_bool(LONG_DELAY_PROBABILITY) {
        true => 10_000,
        false => 20,
    };
    Duration::from_millis(random.random_range(1..=max_millis))
}

fn claim_delay(node: usize) -> Duration {
    Duration::from_millis(200 * node as u64)
}

impl Cluster {
    /// Creates a cluster that has just started and in which `faults` will occur.
    pub fn new(seed: u64, faults: &[PlannedFault], disabled_rule: Option<Rule>) -> Self {
        let mut cluster = Self {
            now: Timestamp::default(),
            random: ChaCha8Rng::seed_from_u64(seed),
            dissemination_random: ChaCha8Rng::seed_from_u64(!seed),
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            scheduled: 0,
            nodes: (0..NODE_COUNT)
                .map(|n| Node::new(1, claim_delay(n)))
                .collect(),
            engines: (0..ENGINE_COUNT)
                .map(|e| Engine::new(e, disabled_rule))
                .collect(),
            store: Store::default(),
            store_outage_until: Timestamp::default(),
            answers_to_lose: 0,
            journal: Journal::new(disabled_rule),
            configurations: Configurations::new(disabled_rule),
            undisturbed_since: Timestamp::default(),
            requested_roles: vec![Role::Mixed; ENGINE_COUNT],
            oracle: Oracle::default(),
            steps: 0,
        };
        for node in 0..NODE_COUNT {
            cluster.schedule(
                Duration::ZERO,
                Event::Tick {
                    node,
                    incarnation: 1,
                },
            );
            cluster.schedule(
                Duration::ZERO,
                Event::DisseminationTick {
                    node,
                    incarnation: 1,
                },
            );
        }
        for engine in 0..ENGINE_COUNT {
            cluster.schedule(Duration::ZERO, Event::EngineWork(engine));
        }
        cluster.schedule(Duration::ZERO, Event::CallerRequest(0));
        cluster.schedule(Duration::ZERO, Event::AdvanceViewChange);
        cluster.schedule(CONVERGENCE_TIMEOUT, Event::ConfigurationChange(0));
        for planned in faults {
            let after = Duration::from_micros(planned.at_micros);
            cluster.schedule(after, Event::InjectFault(planned.fault));
        }
        cluster
    }

    /// Runs until `end` or the first violation. Returns the number of events handled.
    pub fn run(&mut self, end: Timestamp) -> u64 {
        while let Some(Reverse((at, key))) = self.queue.pop() {
            if at >= end || !self.oracle.violations().is_empty() {
                break;
            }
            self.now = at;
            if let Some(event) = self.events.remove(&key) {
                self.steps += 1;
                self.handle(event);
            }
        }
        self.steps
    }

    /// Returns the oracle, which records violations.
    pub fn oracle(&self) -> &Oracle {
        &self.oracle
    }

    fn schedule(&mut self, after: Duration, event: Event) {
        self.scheduled += 1;
        self.queue.push(Reverse((self.now + after, self.scheduled)));
        self.events.insert(self.scheduled, event);
    }

    /// Sends an event over a link that loses, duplicates, delays and reorders messages.
    fn send(&mut self, event: Event) {
        for delay in delivery_delays(&mut self.random) {
            self.schedule(delay, event.clone());
        }
    }

    /// Sends a message that disseminates the configuration. These messages use a separate random number generator, so
    /// that the other events of an episode do not depend on them.
    fn send_configuration(&mut self, message: Message) {
        for delay in delivery_delays(&mut self.dissemination_random) {
            self.schedule(delay, Event::ConfigurationMessage(message));
        }
    }

    fn is_partitioned(&self, node: usize) -> bool {
        self.now < self.nodes[node].partitioned_until
    }

    /// Returns whether an event for a node must be handled now. An event for a paused node is scheduled again for the
    /// end of the pause, and an event for an earlier incarnation is dropped.
    fn accepts_now(&mut self, node: usize, incarnation: u64, event: &Event) -> bool {
        if self.nodes[node].incarnation != incarnation {
            return false;
        }
        let paused_until = self.nodes[node].paused_until;
        if self.now < paused_until {
            self.schedule(paused_until.since(self.now), event.clone());
            return false;
        }
        true
    }

    fn handle(&mut self, event: Event) {
        match event.clone() {
            Event::Tick { node, incarnation } => {
                if self.accepts_now(node, incarnation, &event) {
                    self.tick(node, incarnation);
                }
            }
            Event::Call {
                node,
                incarnation,
                call,
            } => self.serve(node, incarnation, call),
            Event::StoreReply {
                node,
                incarnation,
                kind,
                number,
                reply,
            } => {
                if self.accepts_now(node, incarnation, &event) && !self.is_partitioned(node) {
                    let call = self.nodes[node].handle_store_reply(self.now, kind, number, reply);
                    self.send_calls(node, call);
                }
            }
            Event::EngineReply {
                node,
                incarnation,
                engine,
                number,
                reply,
            } => {
                if self.accepts_now(node, incarnation, &event) && !self.is_partitioned(node) {
                    let call =
                        self.nodes[node].handle_engine_reply(self.now, engine, number, reply);
                    self.send_calls(node, call);
                }
            }
            Event::EngineWork(engine) => {
                self.engines[engine].work(self.now, &mut self.random, &mut self.oracle);
                self.schedule(ENGINE_WORK_INTERVAL, event);
            }
            Event::InjectFault(fault) => self.inject_fault(fault),
            Event::CallerRequest(request) => self.handle_caller_request(request),
            Event::BeginAttempt { request, node } => self.begin_attempt(request, node),
            Event::Vote(request) => self.vote(request, &event),
            Event::VoteReply {
                request,
                member,
                reply,
            } => {
                let (node, incarnation) = self.journal.owner(request.attempt);
                if self.accepts_now(node, incarnation, &event) && !self.is_partitioned(node) {
                    let (random, oracle) = (&mut self.random, &mut self.oracle);
                    self.journal
                        .handle_vote_reply(request, &member, reply, random, oracle);
                }
            }
            Event::AttemptTimeout(attempt) => {
                let (node, incarnation) = self.journal.owner(attempt);
                if self.accepts_now(node, incarnation, &event) {
                    self.journal.time_out(attempt, &mut self.oracle);
                }
            }
            Event::AdvanceViewChange => {
                self.advance_view_change();
                self.schedule(TICK_INTERVAL, event);
            }
            Event::DisseminationTick { node, incarnation } => {
                if self.accepts_now(node, incarnation, &event) {
                    self.tick_dissemination(node, incarnation);
                }
            }
            Event::ConfigurationMessage(message) => {
                self.handle_configuration_message(message, &event)
            }
            Event::PullTimeout(pull) => {
                if self.accepts_now(pull.node, pull.incarnation, &event) {
                    let oracle = &mut self.oracle;
                    let messages = self.configurations.time_out(self.now, pull, oracle);
                    self.send_messages(pull.node, messages);
                }
            }
            Event::ConfigurationChange(number) => self.change_configuration(number),
        }
    }

    fn reachable_nodes(&self) -> Vec<bool> {
        let is_reachable =
            |node: usize| !self.is_partitioned(node) && self.now >= self.nodes[node].paused_until;
        (0..NODE_COUNT).map(is_reachable).collect()
    }

    fn tick_dissemination(&mut self, node: usize, incarnation: u64) {
        let reachable = self.reachable_nodes();
        let oracle = &mut self.oracle;
        let messages = self
            .configurations
            .tick(self.now, node, incarnation, &reachable, oracle);
        self.send_messages(node, messages);
        self.schedule(
            TICK_INTERVAL,
            Event::DisseminationTick { node, incarnation },
        );
    }

    fn send_messages(&mut self, from: usize, messages: Vec<Message>) {
        for message in messages {
            if let Message::PullRequest(pull) = message {
                let timeout = Configurations::pull_timeout();
                self.schedule(timeout, Event::PullTimeout(pull));
            }
            if !self.is_partitioned(from) {
                self.send_configuration(message);
            }
        }
    }

    fn handle_configuration_message(&mut self, message: Message, event: &Event) {
        let (node, incarnation) = match (message.receiver(), message) {
            (Receiver::NodeIncarnation(node, incarnation), _) => (node, incarnation),
            (Receiver::Node(node), _) => (node, self.nodes[node].incarnation),
            (Receiver::Store, Message::ReadStore { node, incarnation }) => {
                if self.now >= self.store_outage_until {
                    let answer = self.configurations.read_store(node, incarnation);
                    self.send_configuration(answer);
                }
                return;
            }
            (Receiver::Store, _) => return,
        };
        if self.accepts_now(node, incarnation, event) && !self.is_partitioned(node) {
            let oracle = &mut self.oracle;
            let messages =
                self.configurations
                    .handle_message(self.now, message, incarnation, oracle);
            self.send_messages(node, messages);
        }
    }

    fn change_configuration(&mut self, number: u64) {
        if number % CHANGES_PER_BURST == 0 {
            self.check_convergence();
        }
        self.configurations.change_in_store();
        self.undisturbed_since = self.undisturbed_since.max(self.now);
        let is_last = (number + 1) % CHANGES_PER_BURST == 0;
        let wait = if is_last {
            CONVERGENCE_TIMEOUT
        } else {
            CHANGE_INTERVAL
        };
        self.schedule(wait, Event::ConfigurationChange(number + 1));
    }

    /// Reports a violation if the newest revision in the store is not in force at every node by now, although no fault
    /// prevented it.
    fn check_convergence(&mut self) {
        let is_undisturbed = self.now.since(self.undisturbed_since) >= CONVERGENCE_TIMEOUT;
        if !is_undisturbed
            || self.now < self.store_outage_until
            || self.reachable_nodes().contains(&false)
        {
            return;
        }
        let newest = self.configurations.store_revision();
        if (0..NODE_COUNT).any(|node| self.configurations.revision_in_force(node) < newest) {
            self.oracle.record_late_configuration();
        }
    }

    /// Performs the next step of a view change, unless the store is unavailable.
    fn advance_view_change(&mut self) {
        if self.now < self.store_outage_until {
            return;
        }
        let reachable = self.reachable_nodes();
        self.journal
            .advance_view_change(self.now, &reachable, &mut self.random);
    }

    fn tick(&mut self, node: usize, incarnation: u64) {
        let calls = self.nodes[node].tick(self.now, &self.requested_roles);
        self.send_calls(node, calls);
        self.schedule(TICK_INTERVAL, Event::Tick { node, incarnation });
    }

    fn send_calls(&mut self, node: usize, calls: impl IntoIterator<Item = Call>) {
        let incarnation = self.nodes[node].incarnation;
        for call in calls {
            if !self.is_partitioned(node) {
                self.send(Event::Call {
                    node,
                    incarnation,
                    call,
                });
            }
        }
    }

    fn serve(&mut self, node: usize, incarnation: u64, call: Call) {
        let Call {
            number,
            kind,
            request,
        } = call;
        match (kind, request) {
            (CallKind::Engine(engine), Request::Engine(request, claim)) => {
                let served = &mut self.engines[engine];
                let reply = served.serve(self.now, claim, request, &mut self.oracle);
                self.send(Event::EngineReply {
                    node,
                    incarnation,
                    engine,
                    number,
                    reply,
                });
            }
            (_, Request::Store(request)) if self.now >= self.store_outage_until => {
                let reply = self.store.serve(self.now, request);
                if self.answers_to_lose > 0 {
                    self.answers_to_lose -= 1;
                } else {
                    self.send(Event::StoreReply {
                        node,
                        incarnation,
                        kind,
                        number,
                        reply,
                    });
                }
            }
            _ => {}
        }
    }

    fn inject_fault(&mut self, fault: Fault) {
        let until = self.now + fault.lasts;
        if !matches!(
            fault.kind,
            FaultKind::OperatorChange | FaultKind::EngineCrash
        ) {
            self.undisturbed_since = self.undisturbed_since.max(until);
        }
        match fault.kind {
            FaultKind::Kill => {
                let incarnation = self.nodes[fault.target].incarnation + 1;
                self.nodes[fault.target] = Node::new(incarnation, claim_delay(fault.target));
                self.journal.restart(self.now, fault.target, incarnation);
                self.configurations.restart(fault.target, incarnation);
                let node = fault.target;
                self.schedule(Duration::ZERO, Event::Tick { node, incarnation });
                self.schedule(
                    Duration::ZERO,
                    Event::DisseminationTick { node, incarnation },
                );
            }
            FaultKind::Pause => self.nodes[fault.target].paused_until = until,
            FaultKind::Partition => self.nodes[fault.target].partitioned_until = until,
            FaultKind::Outage => self.store_outage_until = until,
            FaultKind::LostAnswers => self.answers_to_lose += 3,
            FaultKind::EngineCrash => self.engines[fault.target].crash(&mut self.oracle),
            FaultKind::OperatorChange => {
                let role = Role::ALL[self.random.random_range(0..Role::ALL.len())];
                self.requested_roles[fault.target] = role;
            }
        }
    }

    fn handle_caller_request(&mut self, request: u64) {
        let first = self.random.random_range(0..NODE_COUNT);
        let second = (first + self.random.random_range(1..NODE_COUNT)) % NODE_COUNT;
        let second_delay = Duration::from_millis(self.random.random_range(0..3_000));
        self.schedule(
            Duration::ZERO,
            Event::BeginAttempt {
                request,
                node: first,
            },
        );
        self.schedule(
            second_delay,
            Event::BeginAttempt {
                request,
                node: second,
            },
        );
        self.schedule(CALLER_REQUEST_INTERVAL, Event::CallerRequest(request + 1));
    }

    fn begin_attempt(&mut self, request: u64, node: usize) {
        let incarnation = self.nodes[node].incarnation;
        let requests = self.journal.begin_attempt(request, node, incarnation);
        let attempt = self.journal.attempt_count() - 1;
        for request in requests {
            if !self.is_partitioned(node) {
                self.send(Event::Vote(request));
            }
        }
        self.schedule(ATTEMPT_TIMEOUT, Event::AttemptTimeout(attempt));
    }

    fn vote(&mut self, request: VoteRequest, event: &Event) {
        let target = request.target;
        let incarnation = self.nodes[target].incarnation;
        if self.accepts_now(target, incarnation, event) && !self.is_partitioned(target) {
            let (member, reply) = self.journal.vote(self.now, request);
            self.send(Event::VoteReply {
                request,
                member,
                reply,
            });
        }
    }
}
