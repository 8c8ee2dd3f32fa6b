//! Tests requests of two ranks at engines that serve the more urgent ones first.

mod urgency;

use std::time::Duration;

use tansyhall_core::{Role, ServiceName, Timestamp, ZoneName};
use tansyhall_forwarding::{
    Admission, Decisions, Demand, Directory, GatewayKey, Load, LoadEntry, LoadReport, Need,
    Objectives, PromptPart, SendResult, Worker, WorkerId, WorkerKey, WorkerKind, WorkerState,
};
use urgency::{Outcome, RouteLoad, UrgencySimulation, ENGINES, SENDING_MILLIS, SLOTS};

const SEEDS: [u64; 3] = [1, 2, 3];
/// Greatest refused fraction, from the targets of `docs/lost-capacity.md`.
const MAX_REFUSED: f64 = 0.06;
/// Least fraction of the capacity left by the urgent route that must serve the other.
const MIN_USED_OF_REST: f64 = 0.8;
/// Engines that only read prompts, of all engines.
const PREFILL_ENGINES: usize = 4;
/// Long prompts of the most urgent route. They need a quarter of the engines' prefill time.
const LONG_PROMPTS: RouteLoad = RouteLoad {
    name: "long",
    yields: false,
    requests_per_second: 5.0,
    begins_at_millis: 1_000,
    prompt_tokens: 17_000,
    prefill_millis: 300,
    decode_millis: 200,
    objective_millis: 500,
};
/// Short requests, twice as many as the slots of all engines can serve.
const SHORT_REQUESTS: RouteLoad = RouteLoad {
    name: "short",
    yields: true,
    requests_per_second: 240.0,
    begins_at_millis: 0,
    prompt_tokens: 380,
    prefill_millis: 8,
    decode_millis: 592,
    objective_millis: 1_200,
};

fn decisions(urgent_first: bool) -> Decisions {
    Decisions {
        urgent_first,
        ..Decisions::default().with_tolerated_zones(0)
    }
}

fn simulate(routes: &[RouteLoad], urgent_first: bool, seed: u64) -> Vec<Outcome> {
    UrgencySimulation::new(routes.to_vec(), decisions(urgent_first), seed).run()
}

/// Returns how many requests of the less urgent route the slots can serve that the urgent one leaves.
fn served_by_rest(urgent: RouteLoad, less_urgent: RouteLoad) -> f64 {
    let hold_seconds =
        |route: RouteLoad| (route.prefill_millis + route.decode_millis) as f64 / 1_000.0;
    let slots = ENGINES as f64 * f64::from(SLOTS);
    let rest = slots - urgent.requests_per_second * hold_seconds(urgent);
    rest / hold_seconds(less_urgent) * SENDING_MILLIS as f64 / 1_000.0
}

/// Guards against urgent prompts that are refused because short requests of another route occupy the
/// slots, although engines preempt these.
#[test]
fn urgent_long_prompts_are_admitted_in_a_burst_of_short_requests_that_fills_all_slots() {
    for seed in SEEDS {
        let outcomes = simulate(&[LONG_PROMPTS, SHORT_REQUESTS], true, seed);
        let (long, short) = (outcomes[0], outcomes[1]);
        assert!(
            long.refused_fraction() <= MAX_REFUSED,
            "seed {seed}: {long:?}"
        );
        let rest = served_by_rest(LONG_PROMPTS, SHORT_REQUESTS);
        assert!(
            f64::from(short.answered) >= rest * MIN_USED_OF_REST,
            "seed {seed}: {short:?} of {rest}"
        );
    }
}

/// The counterpart of the test above: with the switch off, its bound for urgent prompts is violated.
#[test]
fn without_urgency_long_prompts_are_refused_in_a_burst_of_short_requests() {
    for seed in SEEDS {
        let long = simulate(&[LONG_PROMPTS, SHORT_REQUESTS], false, seed)[0];
        assert!(
            long.refused_fraction() > MAX_REFUSED,
            "seed {seed}: {long:?}"
        );
    }
}

/// Guards against engines whose streams are preempted while other engines have free slots.
#[test]
fn short_requests_are_served_beside_urgent_long_prompts_while_there_is_capacity_for_both() {
    let short = RouteLoad {
        requests_per_second: 60.0,
        ..SHORT_REQUESTS
    };
    for seed in SEEDS {
        for outcome in simulate(&[LONG_PROMPTS, short], true, seed) {
            assert!(
                outcome.refused_fraction() <= MAX_REFUSED,
                "seed {seed}: {outcome:?}"
            );
        }
    }
}

/// Guards against an urgent group that is admitted without limit.
#[test]
fn urgent_long_prompts_that_overload_the_engines_alone_are_refused_as_without_urgency() {
    let overload = RouteLoad {
        requests_per_second: 40.0,
        ..LONG_PROMPTS
    };
    for seed in SEEDS {
        let with = simulate(&[overload], true, seed);
        assert_eq!(with, simulate(&[overload], false, seed));
        assert!(with[0].refused > 0);
    }
}

/// Guards against urgent prompts that are admitted behind their own group because another route is
/// present, and against a less urgent route that takes capacity from the urgent one.
#[test]
fn urgent_long_prompts_that_overload_the_engines_are_served_as_well_beside_short_requests() {
    let overload = RouteLoad {
        requests_per_second: 40.0,
        ..LONG_PROMPTS
    };
    for seed in SEEDS {
        let alone = simulate(&[overload], true, seed)[0];
        let beside = simulate(&[overload, SHORT_REQUESTS], true, seed)[0];
        assert!(
            f64::from(beside.in_time) >= f64::from(alone.in_time) * MIN_USED_OF_REST,
            "seed {seed}: {alone:?}, {beside:?}"
        );
    }
}

/// Guards against urgent prompts on prefill engines that are refused for less urgent streams on the
/// decode engines which continue them.
#[test]
fn urgent_long_prompts_read_apart_are_served_beside_short_requests_as_without_them() {
    let simulate = |routes: &[RouteLoad], urgent_first, seed| {
        let decisions = decisions(urgent_first);
        UrgencySimulation::with_prefill_engines(PREFILL_ENGINES, routes.to_vec(), decisions, seed)
            .run()[0]
    };
    for seed in SEEDS {
        let alone = simulate(&[LONG_PROMPTS], true, seed);
        let max_refused = alone.refused_fraction() + MAX_REFUSED;
        let both = [LONG_PROMPTS, SHORT_REQUESTS];
        let beside = simulate(&both, true, seed);
        assert!(
            beside.refused_fraction() <= max_refused,
            "seed {seed}: {alone:?}, {beside:?}"
        );
        // The counterpart: with the switch off, the bound is violated.
        assert!(simulate(&both, false, seed).refused_fraction() > max_refused);
    }
}

const NOW: Timestamp = Timestamp::from_millis(10_000);

fn engine(id: &str) -> Worker {
    Worker {
        version: "v1".into(),
        id: WorkerId::from(id),
        service: ServiceName::new("s"),
        address: "10.0.0.1:80".parse().expect("an address"),
        zone: ZoneName::new("z"),
        slots: SLOTS,
        state: WorkerState::Ready,
        role: Some(Role::Decode),
        kind: WorkerKind::Reserved,
    }
}

fn report_of(load: Load) -> LoadReport {
    LoadReport {
        sender: GatewayKey(2),
        sequence: 1,
        loads: vec![LoadEntry {
            worker: WorkerKey::of(&WorkerId::from("e")),
            load,
        }],
        parts: Vec::new(),
        absences: Vec::new(),
        demands: Vec::new(),
        rate_limits: Vec::new(),
        shares: None,
        tenants: Vec::new(),
    }
}

/// Returns whether a long prompt is admitted at an engine where another gateway reports this load.
fn admits_behind(load: Load, urgent_first: bool, yields: bool) -> bool {
    let mut directory = Directory::new(GatewayKey(1));
    directory.set_decisions(decisions(urgent_first));
    directory.announce(vec![engine("e")]);
    directory.receive_report(NOW, &report_of(load));
    let prompt = [PromptPart {
        id: "p".into(),
        tokens: 4_000,
    }];
    let (service, zone) = (ServiceName::new("s"), ZoneName::new("z"));
    let demand = Demand {
        version: None,
        service: &service,
        prompt: &prompt,
        route: "r",
        tenant: None,
        yields,
        pause: None,
        zone: &zone,
        avoid: &[],
        draw: 7,
    };
    let objectives = Objectives {
        latency: Duration::from_millis(500),
        pause: None,
        time_left: Duration::from_secs(5),
    };
    let admission = directory.admit(NOW, demand, objectives);
    matches!(admission, Admission::Admitted { .. })
}

/// Guards against a load of an earlier build that counts as less urgent: it states only totals, which
/// must all count as urgent.
#[test]
fn a_load_reported_without_its_urgent_part_delays_all_requests() {
    let unknown = Load::all_urgent(8, 40_000);
    let less_urgent = Load {
        urgent_sends: 0,
        urgent_reading_tokens: 0,
        ..unknown
    };
    assert!(!admits_behind(unknown, true, false));
    assert!(!admits_behind(unknown, true, true));
    assert!(admits_behind(less_urgent, true, false));
    assert!(!admits_behind(less_urgent, true, true));
    assert!(!admits_behind(less_urgent, false, false));
}

/// Guards against reports of this gateway's load that count a less urgent request as urgent, or keep
/// an urgent part after its requests have ended.
#[test]
fn reported_loads_state_their_urgent_part_until_the_sends_end() {
    for (urgent_first, yields, urgent_sends) in
        [(true, false, 1), (true, true, 0), (false, true, 1)]
    {
        let mut directory = Directory::new(GatewayKey(1));
        directory.set_decisions(decisions(urgent_first));
        directory.announce(vec![engine("e")]);
        let prompt = [PromptPart {
            id: "p".into(),
            tokens: 4_000,
        }];
        let (service, zone) = (ServiceName::new("s"), ZoneName::new("z"));
        let demand = Demand {
            version: None,
            service: &service,
            prompt: &prompt,
            route: "r",
            tenant: None,
            yields,
            pause: None,
            zone: &zone,
            avoid: &[],
            draw: 7,
        };
        let worker = WorkerId::from("e");
        let mut ticket = directory.begin_send(NOW, &worker, demand, &Need::Run);
        let load = directory.report_due(NOW).expect("a report").loads[0].load;
        assert_eq!((load.sends, load.urgent_sends), (1, urgent_sends));
        assert_eq!(load.reading_tokens, 4_000);
        assert_eq!(load.urgent_reading_tokens, u64::from(urgent_sends) * 4_000);
        let latency = Duration::from_millis(200);
        directory.record_prompt_read(NOW, &mut ticket, &prompt, latency);
        let answered = SendResult::Answered { latency };
        // A switch that changes while a send is in progress must not leave a part of it counted.
        directory.set_decisions(decisions(!urgent_first));
        directory.end_send(NOW, &ticket, &prompt, answered);
        let later = NOW + Duration::from_secs(1);
        let load = directory.report_due(later).expect("a report").loads[0].load;
        assert_eq!(load, Load::default());
    }
}
