//! Placement of requests by a scheduler for other gateways: counts in its directory, recovery after lost messages and
//! crashed gateways, and even load of engines in a large fleet.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::time::Duration;

use tansyhall_core::{Role, ServiceName, Timestamp, ZoneName};
use tansyhall_forwarding::{
    Demand, Directory, EngineCapacity, GatewayKey, GrantedPlacements, Need, Objectives,
    PlacementAnswer, PlacementId, PlacementMessage, PlacementNeed, PlacementNotice,
    PlacementRequest, PromptPart, RequestedPlacements, SchedulerCandidate, SchedulerPlan,
    SendResult, Worker, WorkerId, WorkerKind, WorkerNotice, WorkerState,
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
        version: "v1".into(),
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

/// A scheduler and one gateway that requests placements from it.
struct SchedulerAndGateway {
    directory: Directory,
    granted: GrantedPlacements,
    requested: RequestedPlacements,
}

fn ended(id: PlacementId, result: SendResult) -> PlacementNotice {
    PlacementNotice::Ended {
        id,
        result,
        worker_notice: WorkerNotice::default(),
        rate_limit: None,
        pause: None,
    }
}

impl SchedulerAndGateway {
    fn new() -> Self {
        Self {
            directory: directory(1, 4, 1),
            granted: GrantedPlacements::default(),
            requested: RequestedPlacements::new(GatewayKey(2)),
        }
    }

    fn request_message(&mut self) -> PlacementMessage {
        let id = self.requested.next_id();
        self.requested
            .request_message(SCHEDULER, request(id, PlacementNeed::Admission))
    }

    fn deliver(&mut self, now: Timestamp, message: PlacementMessage) -> Option<PlacementAnswer> {
        self.granted
            .handle_message(now, &mut self.directory, &zone(0), message)
    }

    fn place(&mut self) -> PlacementId {
        let message = self.request_message();
        match self.deliver(NOW, message) {
            Some(PlacementAnswer::Placed(placement)) => placement.id,
            other => panic!("the request was not placed: {other:?}"),
        }
    }

    fn end(&mut self, id: PlacementId, result: SendResult) {
        self.requested.queue_notice(SCHEDULER, ended(id, result));
    }

    fn deliver_notices(&mut self) {
        for (_, message) in self.requested.take_notice_messages() {
            assert_eq!(self.deliver(NOW, message), None);
        }
    }
}

#[test]
fn a_placement_counts_like_a_send_until_it_has_ended() {
    let mut fleet = SchedulerAndGateway::new();
    let id = fleet.place();
    assert_eq!(sends(&fleet.directory), 1);
    let latency = LATENCY;
    fleet
        .requested
        .queue_notice(SCHEDULER, PlacementNotice::PromptRead { id, latency });
    fleet.end(id, SendResult::Answered { latency });
    fleet.deliver_notices();
    assert_eq!(sends(&fleet.directory), 0);
}

#[test]
fn a_placement_whose_end_notice_was_lost_is_closed_by_the_next_message() {
    let mut fleet = SchedulerAndGateway::new();
    let first = fleet.place();
    fleet.end(first, SendResult::Answered { latency: LATENCY });
    let lost_messages = fleet.requested.take_notice_messages();
    assert_eq!(lost_messages.len(), 1);
    assert_eq!(sends(&fleet.directory), 1);
    fleet.place();
    assert_eq!(sends(&fleet.directory), 1);
}

#[test]
fn a_delayed_message_closes_no_newer_placement() {
    let mut fleet = SchedulerAndGateway::new();
    let delayed = fleet.request_message();
    fleet.place();
    assert!(fleet.deliver(NOW, delayed).is_some());
    assert_eq!(sends(&fleet.directory), 2);
}

#[test]
fn placements_of_a_crashed_gateway_are_closed_after_the_deadlines_of_their_requests() {
    let mut fleet = SchedulerAndGateway::new();
    fleet.place();
    let before = NOW + TIME_LEFT;
    fleet.granted.expire(before, &mut fleet.directory);
    assert_eq!(sends(&fleet.directory), 1);
    let after = before + Duration::from_secs(2);
    fleet.granted.expire(after, &mut fleet.directory);
    assert_eq!(sends(&fleet.directory), 0);
    assert!(fleet.granted.has_requesting_gateways());
    fleet
        .granted
        .expire(after + Duration::from_secs(60), &mut fleet.directory);
    assert!(!fleet.granted.has_requesting_gateways());
}

#[test]
fn an_absent_worker_is_skipped_for_all_gateways() {
    let mut fleet = SchedulerAndGateway::new();
    let message = fleet.request_message();
    let Some(PlacementAnswer::Placed(first)) = fleet.deliver(NOW, message) else {
        panic!("the request was not placed");
    };
    fleet.end(first.id, SendResult::Absent);
    fleet.deliver_notices();
    for _ in 0..8 {
        let message = fleet.request_message();
        let Some(PlacementAnswer::Placed(next)) = fleet.deliver(NOW, message) else {
            panic!("the request was not placed");
        };
        assert_ne!(next.worker, first.worker);
    }
}

#[test]
fn a_scheduler_that_knows_no_worker_answers_so() {
    let mut fleet = SchedulerAndGateway::new();
    fleet.directory = directory(1, 0, 1);
    let message = fleet.request_message();
    assert_eq!(fleet.deliver(NOW, message), Some(PlacementAnswer::NoWorker));
    assert_eq!(sends(&fleet.directory), 0);
}

/// Maximum number of requests of one gateway incarnation that may be open, or whose answers may still arrive.
const MAX_RECENT_REQUESTS: usize = 10_000;

#[test]
fn placement_ids_of_two_incarnations_of_a_gateway_do_not_overlap() {
    let first_ids = |incarnation: u64| {
        let mut requested = RequestedPlacements::new(GatewayKey::of("g-1", incarnation));
        std::iter::repeat_with(move || requested.next_id()).take(MAX_RECENT_REQUESTS)
    };
    let earlier: BTreeSet<PlacementId> = first_ids(0x5eed_0001_77aa_90c3).collect();
    assert_eq!(earlier.len(), MAX_RECENT_REQUESTS);
    let both = first_ids(0xd00d_1234_0bad_cafe).filter(|id| earlier.contains(id));
    assert_eq!(both.count(), 0);
}

#[test]
fn a_worker_that_was_tried_is_not_selected_again() {
    let mut fleet = SchedulerAndGateway::new();
    let avoid: Vec<WorkerId> = (0..3).map(|number| engine(number, 1).id).collect();
    let id = fleet.requested.next_id();
    let need = PlacementNeed::Worker { need: Need::Run };
    let request = PlacementRequest {
        avoid,
        ..request(id, need)
    };
    let message = fleet.requested.request_message(SCHEDULER, request);
    let Some(PlacementAnswer::Placed(placement)) = fleet.deliver(NOW, message) else {
        panic!("the request was not placed");
    };
    assert_eq!(placement.worker, engine(3, 1).id);
}

#[test]
fn an_unresponsive_scheduler_is_skipped_for_a_while() {
    let mut fleet = SchedulerAndGateway::new();
    let timeout = fleet.requested.answer_timeout(SCHEDULER);
    let id = fleet.place();
    fleet
        .requested
        .record_answer(SCHEDULER, Duration::from_millis(1));
    assert!(fleet.requested.answer_timeout(SCHEDULER) < timeout);
    assert!(fleet.requested.is_usable(NOW, SCHEDULER));
    fleet.requested.record_timeout(NOW, SCHEDULER, id);
    assert!(!fleet.requested.is_usable(NOW, SCHEDULER));
    assert!(fleet
        .requested
        .is_usable(NOW + Duration::from_secs(5), SCHEDULER));
    assert_eq!(fleet.requested.answer_timeout(SCHEDULER), timeout);
}

const LARGE_FLEET: usize = 1_000;
const MANY_ENGINES: usize = 600;
const ZONES: usize = 6;
const REQUESTS: usize = 6_000;
/// Maximum number of requests in progress.
const MAX_IN_PROGRESS: usize = 1_500;
/// Number of requests of all gateways between two load reports of a scheduler.
const REQUESTS_BETWEEN_REPORTS: usize = 30;
/// Interval between two load reports of a scheduler.
const REPORT_INTERVAL: Duration = Duration::from_millis(20);
/// Maximum ratio between the requests of the busiest engine and the mean.
const MAX_BUSIEST_OVER_MEAN: f64 = 1.5;

fn busiest_over_mean(placed: &BTreeMap<WorkerId, u32>) -> f64 {
    let total: u32 = placed.values().sum();
    let busiest = placed.values().copied().max().unwrap_or_default();
    f64::from(busiest) / (f64::from(total) / MANY_ENGINES as f64)
}

/// An open placement, with its scheduler and its gateway.
struct OpenPlacement {
    scheduler: String,
    sender: GatewayKey,
    id: PlacementId,
}

/// A large fleet whose schedulers send each other load reports.
struct LargeFleet {
    gateways: Vec<SchedulerCandidate>,
    plan: SchedulerPlan,
    schedulers: BTreeMap<String, (Directory, GrantedPlacements)>,
    placed: BTreeMap<WorkerId, u32>,
    open: VecDeque<OpenPlacement>,
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
        let schedulers = gateways
            .iter()
            .filter(|candidate| plan.is_scheduler(&candidate.name));
        let schedulers = schedulers.enumerate().map(|(number, candidate)| {
            let mut directory = directory(number as u64, MANY_ENGINES, ZONES);
            directory.set_other_gateways(plan.scheduler_count() - 1, REPORT_INTERVAL);
            (
                candidate.name.clone(),
                (directory, GrantedPlacements::default()),
            )
        });
        Self {
            schedulers: schedulers.collect(),
            gateways,
            plan,
            placed: BTreeMap::new(),
            open: VecDeque::new(),
        }
    }

    fn place(&mut self, now: Timestamp, number: usize) {
        let gateway = &self.gateways[number % LARGE_FLEET];
        let name = self
            .plan
            .scheduler_of(&gateway.name, &gateway.zone, |_| true);
        let name = name.expect("a scheduler").to_owned();
        let (directory, granted) = self.schedulers.get_mut(&name).expect("a scheduler");
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
        let answer = granted.handle_message(now, directory, &gateway.zone, message);
        let Some(PlacementAnswer::Placed(placement)) = answer else {
            panic!("the request was not placed: {answer:?}");
        };
        *self.placed.entry(placement.worker).or_default() += 1;
        self.open.push_back(OpenPlacement {
            scheduler: name,
            sender,
            id,
        });
    }

    fn end_oldest(&mut self, now: Timestamp) {
        let Some(oldest) = self.open.pop_front() else {
            return;
        };
        let (directory, granted) = self
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
        granted.handle_message(now, directory, &zone(0), message);
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
        if fleet.open.len() > MAX_IN_PROGRESS {
            fleet.end_oldest(now);
        }
        if number % REQUESTS_BETWEEN_REPORTS == 0 {
            now = now + REPORT_INTERVAL;
            fleet.exchange_reports(now);
        }
    }
    let busiest_over_mean = busiest_over_mean(&fleet.placed);
    assert!(
        busiest_over_mean <= MAX_BUSIEST_OVER_MEAN,
        "busiest over mean: {busiest_over_mean}"
    );
}

/// Shows why schedulers are needed: gateways that place their own requests and do not know the load of the others
/// exceed the bound of the test above.
#[test]
fn a_thousand_gateways_without_schedulers_load_engines_unevenly() {
    let mut placed: BTreeMap<WorkerId, u32> = BTreeMap::new();
    let directory = directory(1, MANY_ENGINES, ZONES);
    for number in 0..REQUESTS {
        let request = request(PlacementId(number as u64 + 1), PlacementNeed::Admission);
        let demand = Demand {
            version: None,
            service: &request.service,
            prompt: &request.prompt,
            route: "route",
            tenant: None,
            yields: false,
            pause: None,
            zone: &zone(number % ZONES),
            avoid: &[],
            draw: request.draw,
        };
        let worker = directory.select(NOW, demand, &Need::Run);
        let worker = worker.expect("a worker").id.clone();
        *placed.entry(worker).or_default() += 1;
    }
    assert!(busiest_over_mean(&placed) > MAX_BUSIEST_OVER_MEAN);
}
