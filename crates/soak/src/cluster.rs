//! The cluster: a queue of events in virtual time, links with faults, and the faults planned.

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
use crate::nodes::{Call, Node, Request, Slot};
use crate::oracle::Oracle;
use crate::run::Rule;
use crate::store::{Store, StoreReply};

/// Nodes of the zone.
pub const NODES: usize = 4;
/// Engines of the pool.
pub const ENGINES: usize = 2;
const TICK: Duration = Duration::from_millis(200);
const ENGINE_WORK: Duration = Duration::from_millis(100);
const SLIP_EVERY: Duration = Duration::from_millis(400);
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(1);
/// Changes of the configuration that follow each other quickly.
const CHANGES_IN_ROW: u64 = 3;
/// Time between such changes.
const CHANGE_EVERY: Duration = Duration::from_secs(1);
/// Time after such changes in which the last of them must come into force everywhere, unless
/// something is in the way. Links that lose messages and delay them by up to 10 s are not.
const SETTLES_WITHIN: Duration = Duration::from_secs(15);
const LOSS: f64 = 0.03;
const DUPLICATION: f64 = 0.05;
const LONG_DELAY: f64 = 0.03;

#[derive(Clone)]
enum Event {
    Tick {
        node: usize,
        run: u64,
    },
    Call {
        node: usize,
        run: u64,
        call: Call,
    },
    StoreReply {
        node: usize,
        run: u64,
        slot: Slot,
        number: u64,
        reply: StoreReply,
    },
    EngineReply {
        node: usize,
        run: u64,
        engine: usize,
        number: u64,
        reply: EngineReply,
    },
    EngineWork(usize),
    Strike(Fault),
    Slip(u64),
    Try {
        slip: u64,
        node: usize,
    },
    Vote(VoteRequest),
    Voted {
        request: VoteRequest,
        member: Member,
        reply: VoteReply,
    },
    AttemptTimeout(usize),
    Maintain,
    Spread {
        node: usize,
        run: u64,
    },
    Configuration(Message),
    PullTimeout(Pull),
    ConfigurationChange(u64),
}

/// The cluster at one moment.
pub struct Cluster {
    now: Timestamp,
    random: ChaCha8Rng,
    spread_random: ChaCha8Rng,
    queue: BinaryHeap<Reverse<(Timestamp, u64)>>,
    events: BTreeMap<u64, Event>,
    scheduled: u64,
    nodes: Vec<Node>,
    engines: Vec<Engine>,
    store: Store,
    outage_until: Timestamp,
    lost_answers: u32,
    journal: Journal,
    configurations: Configurations,
    quiet_since: Timestamp,
    wanted: Vec<Role>,
    oracle: Oracle,
    steps: u64,
}

/// When a message arrives: never, once or twice.
fn deliveries(random: &mut ChaCha8Rng) -> Vec<Duration> {
    if random.random_bool(LOSS) {
        return Vec::new();
    }
    let copies = 1 + usize::from(random.random_bool(DUPLICATION));
    (0..copies).map(|_| delay(random)).collect()
}

fn delay(random: &mut ChaCha8Rng) -> Duration {
    let longest = match random.random_bool(LONG_DELAY) {
        true => 10_000,
        false => 20,
    };
    Duration::from_millis(random.random_range(1..=longest))
}

fn claim_delay(node: usize) -> Duration {
    Duration::from_millis(200 * node as u64)
}

impl Cluster {
    /// A cluster that has just started, with these faults to come.
    pub fn new(seed: u64, faults: &[PlannedFault], broken: Option<Rule>) -> Self {
        let mut cluster = Self {
            now: Timestamp::default(),
            random: ChaCha8Rng::seed_from_u64(seed),
            spread_random: ChaCha8Rng::seed_from_u64(!seed),
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            scheduled: 0,
            nodes: (0..NODES).map(|n| Node::new(1, claim_delay(n))).collect(),
            engines: (0..ENGINES).map(|e| Engine::new(e, broken)).collect(),
            store: Store::default(),
            outage_until: Timestamp::default(),
            lost_answers: 0,
            journal: Journal::new(broken),
            configurations: Configurations::new(broken),
            quiet_since: Timestamp::default(),
            wanted: vec![Role::Mixed; ENGINES],
            oracle: Oracle::default(),
            steps: 0,
        };
        for node in 0..NODES {
            cluster.at(Duration::ZERO, Event::Tick { node, run: 1 });
            cluster.at(Duration::ZERO, Event::Spread { node, run: 1 });
        }
        for engine in 0..ENGINES {
            cluster.at(Duration::ZERO, Event::EngineWork(engine));
        }
        cluster.at(Duration::ZERO, Event::Slip(0));
        cluster.at(Duration::ZERO, Event::Maintain);
        cluster.at(SETTLES_WITHIN, Event::ConfigurationChange(0));
        for planned in faults {
            let after = Duration::from_micros(planned.at_micros);
            cluster.at(after, Event::Strike(planned.fault));
        }
        cluster
    }

    /// Runs until `end` or the first violation; returns the events handled.
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

    /// The judge.
    pub fn oracle(&self) -> &Oracle {
        &self.oracle
    }

    fn at(&mut self, after: Duration, event: Event) {
        self.scheduled += 1;
        self.queue.push(Reverse((self.now + after, self.scheduled)));
        self.events.insert(self.scheduled, event);
    }

    /// Sends over a link that loses, repeats and delays, so that messages overtake each other.
    fn send(&mut self, event: Event) {
        for delay in deliveries(&mut self.random) {
            self.at(delay, event.clone());
        }
    }

    /// Sends a message of the configuration's spread. Its links have a random source of their own,
    /// so that what else happens in an episode does not depend on them.
    fn send_configuration(&mut self, message: Message) {
        for delay in deliveries(&mut self.spread_random) {
            self.at(delay, Event::Configuration(message));
        }
    }

    fn is_cut(&self, node: usize) -> bool {
        self.now < self.nodes[node].cut_until
    }

    /// Whether an event for a node is to be handled now; one for a paused node waits, one for an
    /// earlier run is dropped.
    fn receives(&mut self, node: usize, run: u64, event: &Event) -> bool {
        if self.nodes[node].run != run {
            return false;
        }
        let paused_until = self.nodes[node].paused_until;
        if self.now < paused_until {
            self.at(paused_until.since(self.now), event.clone());
            return false;
        }
        true
    }

    fn handle(&mut self, event: Event) {
        match event.clone() {
            Event::Tick { node, run } => {
                if self.receives(node, run, &event) {
                    self.tick(node, run);
                }
            }
            Event::Call { node, run, call } => self.serve(node, run, call),
            Event::StoreReply {
                node,
                run,
                slot,
                number,
                reply,
            } => {
                if self.receives(node, run, &event) && !self.is_cut(node) {
                    let call = self.nodes[node].store_replied(self.now, slot, number, reply);
                    self.send_calls(node, call);
                }
            }
            Event::EngineReply {
                node,
                run,
                engine,
                number,
                reply,
            } => {
                if self.receives(node, run, &event) && !self.is_cut(node) {
                    let call = self.nodes[node].engine_replied(self.now, engine, number, reply);
                    self.send_calls(node, call);
                }
            }
            Event::EngineWork(engine) => {
                self.engines[engine].work(self.now, &mut self.random, &mut self.oracle);
                self.at(ENGINE_WORK, event);
            }
            Event::Strike(fault) => self.strike(fault),
            Event::Slip(slip) => self.slip(slip),
            Event::Try { slip, node } => self.begin_try(slip, node),
            Event::Vote(request) => self.vote(request, &event),
            Event::Voted {
                request,
                member,
                reply,
            } => {
                let (node, run) = self.journal.owner(request.attempt);
                if self.receives(node, run, &event) && !self.is_cut(node) {
                    let (random, oracle) = (&mut self.random, &mut self.oracle);
                    self.journal.voted(request, &member, reply, random, oracle);
                }
            }
            Event::AttemptTimeout(attempt) => {
                let (node, run) = self.journal.owner(attempt);
                if self.receives(node, run, &event) {
                    self.journal.time_out(attempt, &mut self.oracle);
                }
            }
            Event::Maintain => {
                self.maintain();
                self.at(TICK, event);
            }
            Event::Spread { node, run } => {
                if self.receives(node, run, &event) {
                    self.spread(node, run);
                }
            }
            Event::Configuration(message) => self.configuration(message, &event),
            Event::PullTimeout(pull) => {
                if self.receives(pull.node, pull.run, &event) {
                    let oracle = &mut self.oracle;
                    let messages = self.configurations.time_out(self.now, pull, oracle);
                    self.send_messages(pull.node, messages);
                }
            }
            Event::ConfigurationChange(number) => self.change_configuration(number),
        }
    }

    fn up(&self) -> Vec<bool> {
        let is_up = |node: usize| !self.is_cut(node) && self.now >= self.nodes[node].paused_until;
        (0..NODES).map(is_up).collect()
    }

    fn spread(&mut self, node: usize, run: u64) {
        let up = self.up();
        let oracle = &mut self.oracle;
        let messages = self.configurations.tick(self.now, node, run, &up, oracle);
        self.send_messages(node, messages);
        self.at(TICK, Event::Spread { node, run });
    }

    fn send_messages(&mut self, from: usize, messages: Vec<Message>) {
        for message in messages {
            if let Message::Ask(pull) = message {
                let timeout = Configurations::pull_timeout();
                self.at(timeout, Event::PullTimeout(pull));
            }
            if !self.is_cut(from) {
                self.send_configuration(message);
            }
        }
    }

    fn configuration(&mut self, message: Message, event: &Event) {
        let (node, run) = match (message.receiver(), message) {
            (Receiver::Run(node, run), _) => (node, run),
            (Receiver::Node(node), _) => (node, self.nodes[node].run),
            (Receiver::Store, Message::ReadStore { node, run }) => {
                if self.now >= self.outage_until {
                    let answer = self.configurations.read_store(node, run);
                    self.send_configuration(answer);
                }
                return;
            }
            (Receiver::Store, _) => return,
        };
        if self.receives(node, run, event) && !self.is_cut(node) {
            let oracle = &mut self.oracle;
            let messages = self.configurations.deliver(self.now, message, run, oracle);
            self.send_messages(node, messages);
        }
    }

    fn change_configuration(&mut self, number: u64) {
        if number % CHANGES_IN_ROW == 0 {
            self.judge_configuration();
        }
        self.configurations.change();
        self.quiet_since = self.quiet_since.max(self.now);
        let is_last = (number + 1) % CHANGES_IN_ROW == 0;
        let wait = if is_last {
            SETTLES_WITHIN
        } else {
            CHANGE_EVERY
        };
        self.at(wait, Event::ConfigurationChange(number + 1));
    }

    /// Whatever was accepted must be in force everywhere by now, if nothing
    /// was in the way since.
    fn judge_configuration(&mut self) {
        let is_undisturbed = self.now.since(self.quiet_since) >= SETTLES_WITHIN;
        if !is_undisturbed || self.now < self.outage_until || self.up().contains(&false) {
            return;
        }
        let newest = self.configurations.store_revision();
        if (0..NODES).any(|node| self.configurations.in_force(node) < newest) {
            self.oracle.configuration_late();
        }
    }

    /// Carries a change of view on, unless the store is away.
    fn maintain(&mut self) {
        if self.now < self.outage_until {
            return;
        }
        let reachable = self.up();
        self.journal
            .maintain(self.now, &reachable, &mut self.random);
    }

    fn tick(&mut self, node: usize, run: u64) {
        let calls = self.nodes[node].tick(self.now, &self.wanted);
        self.send_calls(node, calls);
        self.at(TICK, Event::Tick { node, run });
    }

    fn send_calls(&mut self, node: usize, calls: impl IntoIterator<Item = Call>) {
        let run = self.nodes[node].run;
        for call in calls {
            if !self.is_cut(node) {
                self.send(Event::Call { node, run, call });
            }
        }
    }

    fn serve(&mut self, node: usize, run: u64, call: Call) {
        let Call {
            number,
            slot,
            request,
        } = call;
        match (slot, request) {
            (Slot::Engine(engine), Request::Engine(request, claim)) => {
                let served = &mut self.engines[engine];
                let reply = served.serve(self.now, claim, request, &mut self.oracle);
                self.send(Event::EngineReply {
                    node,
                    run,
                    engine,
                    number,
                    reply,
                });
            }
            (_, Request::Store(request)) if self.now >= self.outage_until => {
                let reply = self.store.serve(self.now, request);
                if self.lost_answers > 0 {
                    self.lost_answers -= 1;
                } else {
                    self.send(Event::StoreReply {
                        node,
                        run,
                        slot,
                        number,
                        reply,
                    });
                }
            }
            _ => {}
        }
    }

    fn strike(&mut self, fault: Fault) {
        let until = self.now + fault.lasts;
        if !matches!(
            fault.kind,
            FaultKind::OperatorChange | FaultKind::EngineCrash
        ) {
            self.quiet_since = self.quiet_since.max(until);
        }
        match fault.kind {
            FaultKind::Kill => {
                let run = self.nodes[fault.target].run + 1;
                self.nodes[fault.target] = Node::new(run, claim_delay(fault.target));
                self.journal.restart(self.now, fault.target, run);
                self.configurations.restart(fault.target, run);
                let node = fault.target;
                self.at(Duration::ZERO, Event::Tick { node, run });
                self.at(Duration::ZERO, Event::Spread { node, run });
            }
            FaultKind::Pause => self.nodes[fault.target].paused_until = until,
            FaultKind::Partition => self.nodes[fault.target].cut_until = until,
            FaultKind::Outage => self.outage_until = until,
            FaultKind::LostAnswers => self.lost_answers += 3,
            FaultKind::EngineCrash => self.engines[fault.target].crash(&mut self.oracle),
            FaultKind::OperatorChange => {
                let role = Role::ALL[self.random.random_range(0..Role::ALL.len())];
                self.wanted[fault.target] = role;
            }
        }
    }

    fn slip(&mut self, slip: u64) {
        let first = self.random.random_range(0..NODES);
        let again = (first + self.random.random_range(1..NODES)) % NODES;
        let later = Duration::from_millis(self.random.random_range(0..3_000));
        self.at(Duration::ZERO, Event::Try { slip, node: first });
        self.at(later, Event::Try { slip, node: again });
        self.at(SLIP_EVERY, Event::Slip(slip + 1));
    }

    fn begin_try(&mut self, slip: u64, node: usize) {
        let run = self.nodes[node].run;
        let requests = self.journal.begin(slip, node, run);
        let attempt = self.journal.attempts() - 1;
        for request in requests {
            if !self.is_cut(node) {
                self.send(Event::Vote(request));
            }
        }
        self.at(ATTEMPT_TIMEOUT, Event::AttemptTimeout(attempt));
    }

    fn vote(&mut self, request: VoteRequest, event: &Event) {
        let target = request.target;
        let run = self.nodes[target].run;
        if self.receives(target, run, event) && !self.is_cut(target) {
            let (member, reply) = self.journal.vote(self.now, request);
            self.send(Event::Voted {
                request,
                member,
                reply,
            });
        }
    }
}
