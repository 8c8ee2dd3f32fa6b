//! Properties of the predictive planner and of the role limits.

use proptest::prelude::*;
use tansyhall_core::{Duration, EngineName, Role, Timestamp};
use tansyhall_planner::predictive::{
    served_fraction, Demand, DemandRate, Planner, PlannerSettings, PoolState, RoleCount,
    RoleTransition,
};
use tansyhall_planner::{plan_change_for_limits, EngineView, RoleLimit};
use tansyhall_routing::ServiceRates;

const RATES: ServiceRates = ServiceRates {
    iteration: 0.02,
    prefill_token: 4e-5,
    decode_sequence: 2e-4,
    mixed_chunk: 256.0,
    prefill_chunk: 8_192.0,
    transfer_token: 1e-6,
};

fn planner_after(seconds: u64, requests_per_second: u64, demand: Demand) -> (Planner, Timestamp) {
    let mut planner = Planner::new(PlannerSettings::default());
    let mut now = Timestamp::default();
    for _ in 0..seconds * requests_per_second {
        now = now + Duration::from_micros(1_000_000 / requests_per_second);
        planner.observe(now, demand);
    }
    (planner, now)
}

fn plan(planner: &Planner, now: Timestamp, roles: RoleCount) -> Option<RoleTransition> {
    planner.plan(
        &RATES,
        &PoolState {
            now,
            roles,
            changing: false,
        },
    )
}

const EIGHT_MIXED_ENGINES: RoleCount = RoleCount {
    mixed: 8,
    prefill: 0,
    decode: 0,
};

#[test]
fn a_lasting_overload_of_prompts_takes_a_mixed_engine() {
    let demand = Demand {
        prompt_tokens: 8_000.0,
        output_tokens: 40.0,
    };
    let (planner, now) = planner_after(20, 20, demand);
    let transition = plan(&planner, now, EIGHT_MIXED_ENGINES)
        .expect("no change was planned for a lasting overload");
    assert_eq!(transition.from, Role::Mixed);
}

#[test]
fn a_short_burst_changes_nothing() {
    let demand = Demand {
        prompt_tokens: 8_000.0,
        output_tokens: 40.0,
    };
    let (planner, now) = planner_after(1, 60, demand);
    assert_eq!(plan(&planner, now, EIGHT_MIXED_ENGINES), None);
}

#[test]
fn a_pool_with_low_utilisation_changes_nothing() {
    let demand = Demand {
        prompt_tokens: 500.0,
        output_tokens: 40.0,
    };
    let (planner, now) = planner_after(20, 10, demand);
    assert_eq!(plan(&planner, now, EIGHT_MIXED_ENGINES), None);
}

#[test]
fn nothing_changes_while_an_engine_is_changing() {
    let demand = Demand {
        prompt_tokens: 8_000.0,
        output_tokens: 40.0,
    };
    let (planner, now) = planner_after(20, 20, demand);
    let state = PoolState {
        now,
        roles: EIGHT_MIXED_ENGINES,
        changing: true,
    };
    assert_eq!(planner.plan(&RATES, &state), None);
}

proptest! {
    #[test]
    fn the_served_fraction_never_falls_when_mixed_engines_are_added(
        mixed in 1_usize..20, prompt in 0.0..1e6, output in 0.0..1e5,
    ) {
        let settings = PlannerSettings::default();
        let demand = DemandRate { prompt, output };
        let roles = |mixed| RoleCount { mixed, prefill: 0, decode: 0 };
        let fewer = served_fraction(&RATES, &settings, &demand, &roles(mixed));
        let more = served_fraction(&RATES, &settings, &demand, &roles(mixed + 1));
        prop_assert!((0.0..=1.0).contains(&fewer));
        prop_assert!(more >= fewer);
    }

    #[test]
    fn a_transition_takes_an_engine_from_a_role_that_has_engines(
        mixed in 0_usize..10, prefill in 0_usize..10, decode in 0_usize..10,
        prompt in 1.0..2e4, output in 1.0..1e3,
    ) {
        let roles = RoleCount { mixed, prefill, decode };
        let demand = Demand { prompt_tokens: prompt, output_tokens: output };
        let (planner, now) = planner_after(15, 20, demand);
        if let Some(transition) = plan(&planner, now, roles) {
            let count = match transition.from {
                Role::Mixed => mixed,
                Role::Prefill => prefill,
                Role::Decode => decode,
            };
            prop_assert!(count > 0);
            prop_assert!(transition.from != transition.to);
        }
    }

    #[test]
    fn changes_for_role_limits_end_and_meet_the_minimums(
        min_prefill in 0_u32..4, min_decode in 0_u32..4, engines in 8_usize..16,
    ) {
        let limits = [
            RoleLimit { role: Role::Prefill, min_engines: min_prefill, max_engines: u32::MAX },
            RoleLimit { role: Role::Decode, min_engines: min_decode, max_engines: u32::MAX },
        ];
        let mut views: Vec<EngineView> = (0..engines)
            .map(|index| EngineView {
                name: EngineName::new(format!("engine-{index}")),
                role: Role::Mixed,
                requests: index as u32,
            })
            .collect();
        let mut changes = 0;
        while let Some(change) = plan_change_for_limits(&views, &limits) {
            let view = views.iter_mut().find(|view| view.name == change.engine);
            view.expect("the plan names an engine outside the pool").role = change.role;
            changes += 1;
            prop_assert!(changes <= min_prefill + min_decode);
        }
        for limit in limits {
            let count = views.iter().filter(|view| view.role == limit.role).count() as u32;
            prop_assert_eq!(count, limit.min_engines);
        }
    }
}
