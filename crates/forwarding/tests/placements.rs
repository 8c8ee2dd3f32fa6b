//! Requests that a scheduler places for other gateways: what its directory counts, what lost messages and
//! lost gateways leave behind, and how evenly engines are loaded in a large fleet.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::time::Duration;

use tansyhall_core::{Role, ServiceName, Timestamp, ZoneName};
use tansyhall_forwarding::{
    Demand, Directory, EngineCapacity, GatewayKey, Need, Objectives, PlacementAnswer,
    PlacementBook, PlacementId, PlacementLedger, PlacementMessage, PlacementNeed, PlacementNotice,
    PlacementRequest, PromptPart, SchedulerCandidate, SchedulerPlan, SendResult, Worker, WorkerId,
    WorkerKind, WorkerNotice, WorkerState,
};

const NOW: Timestamp = Timestamp::from_millis(10_000);
const LATENCY: Duration = Duration::from_millis(40);
const TIME_LEFT: Duration = Duration::from_millis(3_000);
const SCHEDULER: &str = "scheduler";

fn service() -> ServiceName {
    ServiceName::new("s")
}

fn zone(number: usize) -> ZoneName {
    ZoneName::new(format!("z-{number}"))
}

fn engine(number: usize, zones: usize) -> Worker {
    Worker {
        id: WorkerId::from(format!("e-{number}").as_str()),
        service: service(),
        address: "10.0.0.1:80".parse().expect("an address"),
        zone: zone(number % zones),
        slots: 16,
        state: WorkerState::Ready,
        role: Some(Role::Decode),
        kind: WorkerKind::Reserved,
    }
}

fn directory(key: u64, engines: usize, zones: usize) -> Directory {
    let mut directory = Directory::new(GatewayKey(key));
    directory.announce((0..engines).map(|number| engine(number, zones)).collect());
    let capacity = EngineCapacity {
        slots: 16,
        cache_tokens: 400_000,
        token_bytes: 160_000.0,
        link_bytes_per_second: 200e9,
    };
    directory.set_engines(HashMap::from([(service(), capacity)]));
    directory
}

fn request(id: PlacementId, need: PlacementNeed) -> PlacementRequest {
    PlacementRequest {
        id,
        service: service(),
        route: "route".into(),
        prompt: vec![PromptPart {
            id: format!("own-{}", id.0),
            tokens: 300,
        }],
        tenant: None,
        yields: false,
        objectives: Objectives {
            latency: Duration::from_millis(500),
            pause: Some(Duration::from_millis(150)),
            time_left: TIME_LEFT,
        },
        draw: id.0.wrapping_mul(0x9E37_79B9_7F4A_7C15),
        need,
        avoid: Vec::new(),
    }
}

fn sends(directory: &Directory) -> u32 {
    directory.engine_loads().iter().map(|load| load.sends).sum()
}

/// A scheduler with one gateway that asks it.
struct Pair {
    directory: Directory,
    ledger: PlacementLedger,
    book: PlacementBook,
}

fn ended(id: PlacementId, result: SendResult) -> PlacementNotice {
    PlacementNotice::Ended {
        id,
        result,
        said: WorkerNotice::default(),
        rate_limit: None,
    }
}

impl Pair {
    fn new() -> Self {
        Self {
            directory: directory(1, 4, 1),
            ledger: PlacementLedger::default(),
            book: PlacementBook::new(GatewayKey(2)),
        }
    }

    fn question(&mut self) -> PlacementMessage {
        let id = self.book.next_id();
        self.book
            .ask(SCHEDULER, request(id, PlacementNeed::Admission))
    }

    fn take(&mut self, now: Timestamp, message: PlacementMessage) -> Option<PlacementAnswer> {
        self.ledger
            .take(now, &mut self.directory, &zone(0), message)
    }

    fn place(&mut self) -> PlacementId {
        let message = self.question();
        match self.take(NOW, message) {
            Some(PlacementAnswer::Placed(placement)) => placement.id,
            other => panic!("not placed: {other:?}"),
        }
    }

    fn end(&mut self, id: PlacementId, result: SendResult) {
        self.book.tell(SCHEDULER, ended(id, result));
    }

    fn deliver_notices(&mut self) {
        for (_, message) in self.book.flush() {
            assert_eq!(self.take(NOW, message), None);
        }
    }
}

#[test]
fn a_placement_counts_like_a_send_until_it_has_ended() {
    let mut pair = Pair::new();
    let id = pair.place();
    assert_eq!(sends(&pair.directory), 1);
    let latency = LATENCY;
    pair.book
        .tell(SCHEDULER, PlacementNotice::PromptRead { id, latency });
    pair.end(id, SendResult::Answered { latency });
    pair.deliver_notices();
    assert_eq!(sends(&pair.directory), 0);
}

#[test]
fn an_end_that_was_lost_is_made_good_by_the_next_message() {
    let mut pair = Pair::new();
    let first = pair.place();
    pair.end(first, SendResult::Answered { latency: LATENCY });
    let lost = pair.book.flush();
    assert_eq!(lost.len(), 1);
    assert_eq!(sends(&pair.directory), 1);
    pair.place();
    assert_eq!(sends(&pair.directory), 1);
}

#[test]
fn a_message_that_was_overtaken_closes_nothing() {
    let mut pair = Pair::new();
    let slow = pair.question();
    pair.place();
    assert!(pair.take(NOW, slow).is_some());
    assert_eq!(sends(&pair.directory), 2);
}

#[test]
fn what_a_lost_gateway_held_open_ends_with_its_requests_time() {
    let mut pair = Pair::new();
    pair.place();
    let before = NOW + TIME_LEFT;
    pair.ledger.expire(before, &mut pair.directory);
    assert_eq!(sends(&pair.directory), 1);
    let after = before + Duration::from_secs(2);
    pair.ledger.expire(after, &mut pair.directory);
    assert_eq!(sends(&pair.directory), 0);
    assert!(pair.ledger.is_asked());
    pair.ledger
        .expire(after + Duration::from_secs(60), &mut pair.directory);
    assert!(!pair.ledger.is_asked());
}

#[test]
fn a_worker_that_proved_absent_is_passed_over_for_all() {
    let mut pair = Pair::new();
    let message = pair.question();
    let Some(PlacementAnswer::Placed(first)) = pair.take(NOW, message) else {
        panic!("not placed");
    };
    pair.end(first.id, SendResult::Absent);
    pair.deliver_notices();
    for _ in 0..8 {
        let message = pair.question();
        let Some(PlacementAnswer::Placed(next)) = pair.take(NOW, message) else {
            panic!("not placed");
        };
        assert_ne!(next.worker, first.worker);
    }
}

#[test]
fn a_scheduler_that_knows_no_worker_says_so() {
    let mut pair = Pair::new();
    pair.directory = directory(1, 0, 1);
    let message = pair.question();
    assert_eq!(pair.take(NOW, message), Some(PlacementAnswer::NoWorker));
    assert_eq!(sends(&pair.directory), 0);
}

/// Questions that one life of a gateway may have open, or answers to which may still be under way.
const RECENT_QUESTIONS: usize = 10_000;

#[test]
fn an_answer_to_an_earlier_life_of_a_gateway_answers_no_question_of_the_next() {
    let ids_of = |life: u64| {
        let mut book = PlacementBook::new(GatewayKey::of("g-1", life));
        std::iter::repeat_with(move || book.next_id()).take(RECENT_QUESTIONS)
    };
    let earlier: BTreeSet<PlacementId> = ids_of(0x5eed_0001_77aa_90c3).collect();
    assert_eq!(earlier.len(), RECENT_QUESTIONS);
    let both = ids_of(0xd00d_1234_0bad_cafe).filter(|id| earlier.contains(id));
    assert_eq!(both.count(), 0);
}

#[test]
fn a_worker_that_was_tried_is_not_chosen_again() {
    let mut pair = Pair::new();
    let avoid: Vec<WorkerId> = (0..3).map(|number| engine(number, 1).id).collect();
    let id = pair.book.next_id();
    let need = PlacementNeed::Worker { need: Need::Run };
    let request = PlacementRequest {
        avoid,
        ..request(id, need)
    };
    let message = pair.book.ask(SCHEDULER, request);
    let Some(PlacementAnswer::Placed(placement)) = pair.take(NOW, message) else {
        panic!("not placed");
    };
    assert_eq!(placement.worker, engine(3, 1).id);
}

#[test]
fn a_silent_scheduler_is_passed_over_for_a_while() {
    let mut pair = Pair::new();
    let patience = pair.book.patience(SCHEDULER);
    let id = pair.place();
    pair.book.answered(SCHEDULER, Duration::from_millis(1));
    assert!(pair.book.patience(SCHEDULER) < patience);
    assert!(pair.book.is_usable(NOW, SCHEDULER));
    pair.book.silent(NOW, SCHEDULER, id);
    assert!(!pair.book.is_usable(NOW, SCHEDULER));
    assert!(pair.book.is_usable(NOW + Duration::from_secs(5), SCHEDULER));
    assert_eq!(pair.book.patience(SCHEDULER), patience);
}

const LARGE_FLEET: usize = 1_000;
const MANY_ENGINES: usize = 600;
const ZONES: usize = 6;
const REQUESTS: usize = 6_000;
/// Requests under way at once.
const UNDER_WAY: usize = 1_500;
/// Requests of all gateways between two reports of a scheduler.
const REQUESTS_BETWEEN_REPORTS: usize = 30;
/// Pause between two reports of a scheduler.
const REPORT_PAUSE: Duration = Duration::from_millis(20);
/// What the busiest engine gets over the mean.
const MOST_UNEVEN: f64 = 1.5;

fn busiest_over_mean(placed: &BTreeMap<WorkerId, u32>) -> f64 {
    let total: u32 = placed.values().sum();
    let busiest = placed.values().copied().max().unwrap_or_default();
    f64::from(busiest) / (f64::from(total) / MANY_ENGINES as f64)
}

/// A placement under way: at which scheduler, and for which gateway.
struct UnderWay {
    scheduler: String,
    sender: GatewayKey,
    id: PlacementId,
}

/// A large fleet whose schedulers report to each other.
struct LargeFleet {
    gateways: Vec<SchedulerCandidate>,
    plan: SchedulerPlan,
    schedulers: BTreeMap<String, (Directory, PlacementLedger)>,
    placed: BTreeMap<WorkerId, u32>,
    under_way: VecDeque<UnderWay>,
}

impl LargeFleet {
    fn new() -> Self {
        let gateways: Vec<SchedulerCandidate> = (0..LARGE_FLEET)
            .map(|number| SchedulerCandidate {
                name: format!("g-{number}"),
                zone: zone(number % ZONES),
                capacity: 0.1,
            })
            .collect();
        let plan = SchedulerPlan::new(gateways.clone());
        let schedulers = gateways.iter().filter(|one| plan.is_scheduler(&one.name));
        let schedulers = schedulers.enumerate().map(|(number, one)| {
            let mut directory = directory(number as u64, MANY_ENGINES, ZONES);
            directory.set_other_gateways(plan.schedulers() - 1, REPORT_PAUSE);
            (one.name.clone(), (directory, PlacementLedger::default()))
        });
        Self {
            schedulers: schedulers.collect(),
            gateways,
            plan,
            placed: BTreeMap::new(),
            under_way: VecDeque::new(),
        }
    }

    fn place(&mut self, now: Timestamp, number: usize) {
        let gateway = &self.gateways[number % LARGE_FLEET];
        let name = self
            .plan
            .scheduler_of(&gateway.name, &gateway.zone, |_| true);
        let name = name.expect("a scheduler").to_owned();
        let (directory, ledger) = self.schedulers.get_mut(&name).expect("a scheduler");
        let id = PlacementId(number as u64 + 1);
        let sender = GatewayKey(number as u64 + 1_000_000);
        let need = PlacementNeed::Worker { need: Need::Run };
        let message = PlacementMessage {
            sender,
            sequence: 1,
            open: vec![id],
            notices: Vec::new(),
            request: Some(request(id, need)),
        };
        let answer = ledger.take(now, directory, &gateway.zone, message);
        let Some(PlacementAnswer::Placed(placement)) = answer else {
            panic!("not placed: {answer:?}");
        };
        *self.placed.entry(placement.worker).or_default() += 1;
        self.under_way.push_back(UnderWay {
            scheduler: name,
            sender,
            id,
        });
    }

    fn end_oldest(&mut self, now: Timestamp) {
        let Some(oldest) = self.under_way.pop_front() else {
            return;
        };
        let (directory, ledger) = self
            .schedulers
            .get_mut(&oldest.scheduler)
            .expect("a scheduler");
        let result = SendResult::Abandoned { silent: false };
        let message = PlacementMessage {
            sender: oldest.sender,
            sequence: 2,
            open: Vec::new(),
            notices: vec![ended(oldest.id, result)],
            request: None,
        };
        ledger.take(now, directory, &zone(0), message);
    }

    fn exchange_reports(&mut self, now: Timestamp) {
        let directories = self.schedulers.values_mut();
        let reports: Vec<_> = directories
            .filter_map(|(directory, _)| directory.report_due(now))
            .collect();
        for (directory, _) in self.schedulers.values_mut() {
            for report in &reports {
                directory.receive_report(now, report);
            }
        }
    }
}

#[test]
fn a_thousand_gateways_load_six_hundred_engines_evenly_through_schedulers() {
    let mut fleet = LargeFleet::new();
    let mut now = NOW;
    for number in 0..REQUESTS {
        fleet.place(now, number);
        if fleet.under_way.len() > UNDER_WAY {
            fleet.end_oldest(now);
        }
        if number % REQUESTS_BETWEEN_REPORTS == 0 {
            now = now + REPORT_PAUSE;
            fleet.exchange_reports(now);
        }
    }
    let uneven = busiest_over_mean(&fleet.placed);
    assert!(uneven <= MOST_UNEVEN, "busiest over mean: {uneven}");
}

/// What the schedulers are for: gateways that place their own requests and know nothing of the others'
/// load are beyond the bound that the test above holds.
#[test]
fn a_thousand_gateways_by_themselves_load_engines_unevenly() {
    let mut placed: BTreeMap<WorkerId, u32> = BTreeMap::new();
    let directory = directory(1, MANY_ENGINES, ZONES);
    for number in 0..REQUESTS {
        let request = request(PlacementId(number as u64 + 1), PlacementNeed::Admission);
        let demand = Demand {
            service: &request.service,
            prompt: &request.prompt,
            route: "route",
            tenant: None,
            yields: false,
            zone: &zone(number % ZONES),
            avoid: &[],
            draw: request.draw,
        };
        let worker = directory.select(NOW, demand, &Need::Run);
        let worker = worker.expect("a worker").id.clone();
        *placed.entry(worker).or_default() += 1;
    }
    assert!(busiest_over_mean(&placed) > MOST_UNEVEN);
}
