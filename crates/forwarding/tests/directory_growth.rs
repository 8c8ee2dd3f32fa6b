//! Tests what decisions on requests and load reports cost with many workers: the cost must not grow
//! with the fleet.

use std::collections::HashMap;
use std::time::Duration;

use tansyhall_core::{Role, ServiceName, Timestamp, ZoneName};
use tansyhall_forwarding::{
    Admission, Demand, Directory, EngineCapacity, GatewayKey, Need, Objectives, PromptPart, Worker,
    WorkerId, WorkerKind, WorkerState,
};

const NOW: Timestamp = Timestamp::from_millis(10_000);
/// Number of other gateways that place requests, and the interval of their reports.
const OTHER_GATEWAYS: (usize, Duration) = (17, Duration::from_millis(40));
/// One second of requests at one scheduler.
const REQUESTS: u64 = 60;
const REQUEST_INTERVAL: Duration = Duration::from_millis(16);

fn service() -> ServiceName {
    ServiceName::new("s")
}

fn engine(number: usize) -> Worker {
    let role = match number % 5 {
        0 | 1 => Role::Prefill,
        _ => Role::Decode,
    };
    Worker {
        version: "v1".into(),
        id: WorkerId::from(format!("e-{number}").as_str()),
        service: service(),
        address: ([10, 0, (number >> 8) as u8, number as u8], 80).into(),
        zone: ZoneName::new(format!("z-{}", number % 6)),
        slots: 12,
        state: WorkerState::Ready,
        role: Some(role),
        kind: WorkerKind::Reserved,
    }
}

fn directory(engines: usize) -> Directory {
    let mut directory = Directory::new(GatewayKey(1));
    directory.announce((0..engines).map(engine).collect());
    let capacity = EngineCapacity {
        slots: 12,
        cache_tokens: 400_000,
        token_bytes: 160_000.0,
        link_bytes_per_second: 200e9,
    };
    directory.set_engines(HashMap::from([(service(), capacity)]));
    directory.set_other_gateways(OTHER_GATEWAYS.0, OTHER_GATEWAYS.1);
    directory
}

fn part(id: &str, tokens: u64) -> PromptPart {
    PromptPart {
        id: id.to_owned(),
        tokens,
    }
}

/// Returns a short question that begins like nearly all others, or a long prompt.
fn prompt(number: u64) -> Vec<PromptPart> {
    let own = format!("own-{number}");
    match number % 5 {
        0 => vec![
            part(&format!("long-{}", number % 7), 13_000),
            part(&own, 3_000),
        ],
        _ => vec![part("greeting", 55), part(&own, 300)],
    }
}

/// Returns the mean number of workers that one request examines during a second of requests, all of
/// which begin to be answered at once.
fn examined_workers_per_request(engines: usize) -> u64 {
    let mut directory = directory(engines);
    let objectives = Objectives {
        latency: Duration::from_millis(600),
        pause: None,
        time_left: Duration::from_secs(5),
    };
    for number in 0..REQUESTS {
        let now = NOW + REQUEST_INTERVAL * number as u32;
        let prompt = prompt(number);
        let zone = ZoneName::new("z-0");
        let demand = Demand {
            version: None,
            service: &service(),
            prompt: &prompt,
            route: "r",
            yields: false,
            pause: None,
            tenant: None,
            zone: &zone,
            avoid: &[],
            draw: number.wrapping_mul(0x9E37_79B9_7F4A_7C15),
        };
        let admission = directory.admit(now, demand, objectives);
        let Admission::Admitted { read_apart, draw } = admission else {
            panic!("an idle fleet refuses a request");
        };
        let demand = Demand { draw, ..demand };
        let need = match read_apart {
            true => Need::ReadPrompt,
            false => Need::Run,
        };
        let worker = directory.select(now, demand, &need).expect("a worker");
        let worker = worker.id.clone();
        let mut ticket = directory.begin_send(now, &worker, demand, &need);
        directory.record_prompt_read(now, &mut ticket, &prompt, Duration::from_millis(30));
    }
    directory.examined_workers() / REQUESTS
}

#[test]
fn a_request_examines_at_most_three_times_as_many_workers_in_a_sixteenfold_fleet() {
    let few = examined_workers_per_request(600);
    let many = examined_workers_per_request(9_600);
    assert!(
        many <= few * 3,
        "{few} workers are looked at of 600, {many} of 9,600"
    );
}

#[test]
fn single_workers_can_be_announced_changed_and_withdrawn() {
    let mut directory = directory(20);
    assert_eq!(directory.ready_workers(), 20);
    let changed = Worker {
        state: WorkerState::Draining,
        ..engine(3)
    };
    directory.announce_one(changed);
    assert_eq!(directory.ready_workers(), 19);
    assert!(directory.is_announced_at(engine(3).address));
    directory.withdraw(&engine(3).id);
    assert!(!directory.is_announced_at(engine(3).address));
    assert_eq!(directory.ready_workers(), 19);
    assert!(directory.get(&engine(3).id).is_none());
    let moved = Worker {
        address: ([10, 9, 9, 9], 80).into(),
        ..engine(4)
    };
    directory.announce_one(moved);
    assert!(!directory.is_announced_at(engine(4).address));
    assert!(directory.is_announced_at(([10, 9, 9, 9], 80).into()));
    directory.set_desired_roles(HashMap::from([("e-5".to_owned(), Role::Decode)]));
    assert_eq!(directory.ready_workers(), 18);
    directory.announce_one(Worker {
        role: Some(Role::Decode),
        ..engine(5)
    });
    assert_eq!(directory.ready_workers(), 19);
}
