//! A scheduler that places requests of several gateways enforces tenant shares across all of them.

use std::collections::HashMap;
use std::time::Duration;

use tansyhall_core::{Role, ServiceName, Timestamp, ZoneName};
use tansyhall_forwarding::{
    Directory, EngineCapacity, GatewayKey, GrantedPlacements, Objectives, PlacementAnswer,
    PlacementId, PlacementNeed, PlacementNotice, PlacementRequest, PromptPart, RefusalCause,
    RequestedPlacements, SendResult, TenantKey, Worker, WorkerId, WorkerKind, WorkerNotice,
    WorkerState,
};

const START: Timestamp = Timestamp::from_millis(10_000);
const SCHEDULER: &str = "scheduler";
const SLOTS: u32 = 16;
const LARGE: Option<TenantKey> = Some(TenantKey(1));
const SMALL: Option<TenantKey> = Some(TenantKey(2));
/// Interval between two requests.
const REQUEST_INTERVAL: Duration = Duration::from_millis(10);

fn engine() -> Worker {
    Worker {
        version: "v1".into(),
        id: WorkerId::from("engine"),
        service: ServiceName::new("s"),
        address: "10.0.0.1:80".parse().expect("an address"),
        zone: ZoneName::new("z"),
        slots: SLOTS,
        state: WorkerState::Ready,
        role: Some(Role::Decode),
        kind: WorkerKind::Reserved,
    }
}

/// A scheduler and two gateways that request placements from it.
struct Fleet {
    now: Timestamp,
    directory: Directory,
    granted: GrantedPlacements,
    gateways: [RequestedPlacements; 2],
}

impl Fleet {
    fn new() -> Self {
        let mut directory = Directory::new(GatewayKey(1));
        directory.announce(vec![engine()]);
        let capacity = EngineCapacity {
            slots: SLOTS,
            cache_tokens: 400_000,
            token_bytes: 160_000.0,
            link_bytes_per_second: 200e9,
        };
        directory.set_engines(HashMap::from([(ServiceName::new("s"), capacity)]));
        Self {
            now: START,
            directory,
            granted: GrantedPlacements::default(),
            gateways: [2, 3].map(|key| RequestedPlacements::new(GatewayKey(key))),
        }
    }

    /// Lets a gateway request a placement for a request of a tenant.
    fn request_placement(&mut self, gateway: usize, tenant: Option<TenantKey>) -> PlacementAnswer {
        self.now = self.now + REQUEST_INTERVAL;
        let requested = &mut self.gateways[gateway];
        let request = request(gateway, requested.next_id(), tenant);
        let message = requested.request_message(SCHEDULER, request);
        let zone = ZoneName::new("z");
        let answer = self
            .granted
            .handle_message(self.now, &mut self.directory, &zone, message);
        answer.expect("an answer")
    }

    /// Requests a placement. Returns why it was refused, or `None` if it was placed.
    fn refusal(&mut self, gateway: usize, tenant: Option<TenantKey>) -> Option<RefusalCause> {
        match self.request_placement(gateway, tenant) {
            PlacementAnswer::Refused { cause, .. } => Some(cause),
            PlacementAnswer::Placed(_) => None,
            PlacementAnswer::NoWorker => {
                panic!("the scheduler knows no worker, although there is an engine")
            }
        }
    }

    fn end(&mut self, gateway: usize, id: PlacementId) {
        let result = SendResult::Abandoned { silent: false };
        let requested = &mut self.gateways[gateway];
        let ended = PlacementNotice::Ended {
            id,
            result,
            worker_notice: WorkerNotice::default(),
            rate_limit: None,
            pause: None,
        };
        requested.queue_notice(SCHEDULER, ended);
        let zone = ZoneName::new("z");
        for (_, message) in requested.take_notice_messages() {
            self.granted
                .handle_message(self.now, &mut self.directory, &zone, message);
        }
    }
}

fn request(gateway: usize, id: PlacementId, tenant: Option<TenantKey>) -> PlacementRequest {
    PlacementRequest {
        id,
        service: ServiceName::new("s"),
        route: "route".into(),
        prompt: vec![PromptPart {
            id: format!("own-{gateway}-{}", id.0),
            tokens: 2_000,
        }],
        tenant,
        yields: false,
        objectives: Objectives {
            latency: Duration::from_millis(500),
            pause: Some(Duration::from_millis(150)),
            time_left: Duration::from_secs(5),
        },
        draw: id.0,
        need: PlacementNeed::Admission,
        avoid: Vec::new(),
    }
}

/// Returns a fleet in which a large tenant has filled the engine's queue through one gateway, and a request of a small
/// tenant was refused at the other gateway. Also returns the placements of the large tenant.
fn overloaded_fleet() -> (Fleet, Vec<PlacementId>) {
    let mut fleet = Fleet::new();
    let mut placed = Vec::new();
    for _ in 0..20 {
        if let PlacementAnswer::Placed(placement) = fleet.request_placement(0, LARGE) {
            placed.push(placement.id);
        }
    }
    assert_eq!(fleet.refusal(1, SMALL), Some(RefusalCause::Overload));
    fleet.now = fleet.now + Duration::from_millis(200);
    (fleet, placed)
}

#[test]
fn in_overload_a_free_slot_goes_to_the_tenant_below_its_share() {
    let (mut fleet, placed) = overloaded_fleet();
    let last = placed.last().expect("something was placed");
    fleet.end(0, *last);
    assert_eq!(fleet.refusal(0, LARGE), Some(RefusalCause::TenantShare));
    assert_eq!(fleet.refusal(1, LARGE), Some(RefusalCause::TenantShare));
    assert_eq!(fleet.refusal(1, SMALL), None);
}

#[test]
fn requests_of_gateways_that_send_no_tenant_are_placed_regardless_of_shares() {
    let (mut fleet, placed) = overloaded_fleet();
    let last = placed.last().expect("something was placed");
    fleet.end(0, *last);
    assert_eq!(fleet.refusal(0, None), None);
}

#[test]
fn an_idle_service_accepts_requests_of_any_tenant() {
    let (mut fleet, placed) = overloaded_fleet();
    for id in placed {
        fleet.end(0, id);
    }
    assert_eq!(fleet.refusal(0, LARGE), None);
}
