//! Properties of the predictive planner and of role bounds.

use proptest::prelude::*;
use tansyhall_core::{Duration, EngineName, Role, Timestamp};
use tansyhall_planner::predictive::{
    served, Demand, DemandRate, Planner, PlannerSettings, PoolState, RoleCount, Step,
};
use tansyhall_planner::{plan_bounds, EngineView, RoleLimit};
use tansyhall_routing::ServiceRates;

const RATES: ServiceRates = ServiceRates {
    iteration: 0.02,
    prefill_token: 4e-5,
    decode_sequence: 2e-4,
    mixed_chunk: 256.0,
    prefill_chunk: 8_192.0,
    transfer_token: 1e-6,
};

fn planner_after(seconds: u64, per_second: u64, demand: Demand) -> (Planner, Timestamp) {
    let mut planner = Planner::new(PlannerSettings::default());
    let mut now = Timestamp::default();
    for _ in 0..seconds * per_second {
        now = now + Duration::from_micros(1_000_000 / per_second);
        planner.observe(now, demand);
    }
    (planner, now)
}

fn plan(planner: &Planner, now: Timestamp, roles: RoleCount) -> Option<Step> {
    planner.plan(
        &RATES,
        &PoolState {
            now,
            roles,
            changing: false,
        },
    )
}

const MIXED: RoleCount = RoleCount {
    mixed: 8,
    prefill: 0,
    decode: 0,
};

#[test]
fn a_lasting_overload_of_prompts_takes_an_engine_from_the_mixed() {
    let demand = Demand {
        prompt_tokens: 8_000.0,
        output_tokens: 40.0,
    };
    let (planner, now) = planner_after(20, 20, demand);
    let step = plan(&planner, now, MIXED).expect("a change is worth it");
    assert_eq!(step.from, Role::Mixed);
}

#[test]
fn a_short_burst_changes_nothing() {
    let demand = Demand {
        prompt_tokens: 8_000.0,
        output_tokens: 40.0,
    };
    let (planner, now) = planner_after(1, 60, demand);
    assert_eq!(plan(&planner, now, MIXED), None);
}

#[test]
fn a_comfortable_pool_changes_nothing() {
    let demand = Demand {
        prompt_tokens: 500.0,
        output_tokens: 40.0,
    };
    let (planner, now) = planner_after(20, 10, demand);
    assert_eq!(plan(&planner, now, MIXED), None);
}

#[test]
fn nothing_changes_while_an_engine_is_away() {
    let demand = Demand {
        prompt_tokens: 8_000.0,
        output_tokens: 40.0,
    };
    let (planner, now) = planner_after(20, 20, demand);
    let state = PoolState {
        now,
        roles: MIXED,
        changing: true,
    };
    assert_eq!(planner.plan(&RATES, &state), None);
}

proptest! {
    #[test]
    fn the_served_part_never_falls_when_mixed_engines_are_added(
        mixed in 1_usize..20, prompt in 0.0..1e6, output in 0.0..1e5,
    ) {
        let settings = PlannerSettings::default();
        let demand = DemandRate { prompt, output };
        let roles = |mixed| RoleCount { mixed, prefill: 0, decode: 0 };
        let fewer = served(&RATES, &settings, &demand, &roles(mixed));
        let more = served(&RATES, &settings, &demand, &roles(mixed + 1));
        prop_assert!((0.0..=1.0).contains(&fewer));
        prop_assert!(more >= fewer);
    }

    #[test]
    fn a_step_takes_from_a_role_that_has_engines(
        mixed in 0_usize..10, prefill in 0_usize..10, decode in 0_usize..10,
        prompt in 1.0..2e4, output in 1.0..1e3,
    ) {
        let roles = RoleCount { mixed, prefill, decode };
        let demand = Demand { prompt_tokens: prompt, output_tokens: output };
        let (planner, now) = planner_after(15, 20, demand);
        if let Some(step) = plan(&planner, now, roles) {
            let count = match step.from {
                Role::Mixed => mixed,
                Role::Prefill => prefill,
                Role::Decode => decode,
            };
            prop_assert!(count > 0);
            prop_assert!(step.from != step.to);
        }
    }

    #[test]
    fn changes_for_bounds_end_and_meet_them(
        least_prefill in 0_u32..4, least_decode in 0_u32..4, engines in 8_usize..16,
    ) {
        let limits = [
            RoleLimit { role: Role::Prefill, least: least_prefill, most: u32::MAX },
            RoleLimit { role: Role::Decode, least: least_decode, most: u32::MAX },
        ];
        let mut views: Vec<EngineView> = (0..engines)
            .map(|index| EngineView {
                name: EngineName::new(format!("engine-{index}")),
                role: Role::Mixed,
                requests: index as u32,
            })
            .collect();
        let mut changes = 0;
        while let Some(change) = plan_bounds(&views, &limits) {
            let view = views.iter_mut().find(|view| view.name == change.engine);
            view.expect("the engine is one of the pool's").role = change.role;
            changes += 1;
            prop_assert!(changes <= least_prefill + least_decode);
        }
        for limit in limits {
            let count = views.iter().filter(|view| view.role == limit.role).count() as u32;
            prop_assert_eq!(count, limit.least);
        }
    }
}
