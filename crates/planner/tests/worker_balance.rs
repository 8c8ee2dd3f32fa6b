//! The workers of each zone: as many as are wanted in total, mostly spot workers, and never all in one zone.

use proptest::prelude::*;
use tansyhall_core::ZoneName;
use tansyhall_fixed_cases::config_with_seed;
use tansyhall_planner::{
    affordable_workers, balance_workers, WorkerLimits, WorkerTargets, ZoneGoal, ZoneWorkers,
};

const LIMITS: WorkerLimits = WorkerLimits {
    min_workers: 1,
    max_workers: 36,
    spot_price: Some(0.22),
};
const PRICES: [f64; 4] = [1.0, 0.8, 1.25, 0.9];

fn zones(reserved: u32, spot: u32) -> Vec<ZoneWorkers> {
    let zone = |(number, price): (usize, &f64)| ZoneWorkers {
        zone: ZoneName::new(format!("z-{number}")),
        price: *price,
        reserved,
        spot,
        has_spot: true,
    };
    PRICES.iter().enumerate().map(zone).collect()
}

fn wanted(wanted: u32, needed: u32) -> WorkerTargets {
    WorkerTargets {
        planned: wanted,
        wanted,
        needed,
    }
}

fn counts(goals: &[ZoneGoal]) -> Vec<(u32, u32)> {
    goals
        .iter()
        .map(|goal| (goal.reserved, goal.spot))
        .collect()
}

#[test]
fn reserved_workers_stay_until_spot_workers_serve() {
    let goals = balance_workers(&zones(18, 0), &LIMITS, wanted(72, 0));
    assert_eq!(counts(&goals), [(18, 17); 4]);
    let goals = balance_workers(&zones(18, 10), &LIMITS, wanted(72, 0));
    assert_eq!(counts(&goals), [(8, 17); 4]);
    let goals = balance_workers(&zones(8, 17), &LIMITS, wanted(72, 0));
    assert_eq!(counts(&goals), [(1, 17); 4]);
}

#[test]
fn spot_workers_that_exceed_the_zone_maximum_are_added_in_two_steps() {
    let twice_the_planned = WorkerTargets {
        planned: 72,
        wanted: 144,
        needed: 0,
    };
    let goals = balance_workers(&zones(18, 0), &LIMITS, twice_the_planned);
    assert_eq!(counts(&goals), [(18, 18); 4]);
    let goals = balance_workers(&zones(18, 18), &LIMITS, twice_the_planned);
    assert_eq!(
        counts(&goals),
        [(1, 18); 4],
        "spot workers were added before the reserved ones had left"
    );
    let goals = balance_workers(&zones(1, 18), &LIMITS, twice_the_planned);
    assert_eq!(counts(&goals), [(1, 35); 4]);
}

#[test]
fn no_spot_worker_is_ordered_if_there_are_none_or_they_are_not_cheaper() {
    for spot_price in [None, Some(1.0), Some(1.3)] {
        let limits = WorkerLimits {
            spot_price,
            ..LIMITS
        };
        let goals = balance_workers(&zones(18, 0), &limits, wanted(72, 50));
        assert_eq!(counts(&goals), [(18, 0); 4]);
        assert_eq!(affordable_workers(72, 4, &limits), 72);
    }
}

#[test]
fn spot_workers_that_a_zone_cannot_provide_are_ordered_in_the_others() {
    let mut zones = zones(1, 17);
    zones[1].spot = 0;
    zones[1].has_spot = false;
    let goals = balance_workers(&zones, &LIMITS, wanted(72, 0));
    assert_eq!(counts(&goals), [(1, 23), (1, 0), (1, 23), (1, 22)]);
}

#[test]
fn spot_workers_in_other_zones_stay_until_those_of_the_zone_serve_again() {
    let mut zones = zones(1, 23);
    zones[1].spot = 0;
    let goals = balance_workers(&zones, &LIMITS, wanted(72, 0));
    assert_eq!(counts(&goals), [(1, 22), (1, 17), (1, 23), (1, 23)]);
    zones[1].spot = 10;
    let goals = balance_workers(&zones, &LIMITS, wanted(72, 0));
    assert_eq!(counts(&goals), [(1, 17), (1, 17), (1, 18), (1, 23)]);
}

#[test]
fn workers_that_the_demand_needs_are_reserved_if_a_withdrawal_would_take_them() {
    let goals = balance_workers(&zones(1, 23), &LIMITS, wanted(96, 72));
    assert_eq!(counts(&goals), [(1, 23); 4]);
    let goals = balance_workers(&zones(1, 23), &LIMITS, wanted(96, 80));
    assert_eq!(counts(&goals), [(1, 23), (8, 23), (1, 23), (1, 23)]);
    let one_zone = &zones(1, 35)[..1];
    let goals = balance_workers(one_zone, &LIMITS, wanted(20, 12));
    assert_eq!(counts(&goals)[0].0, 12);
    let mut without_spot = zones(2, 0);
    for zone in &mut without_spot {
        zone.has_spot = false;
    }
    let goals = balance_workers(&without_spot, &LIMITS, wanted(72, 20));
    assert_eq!(counts(&goals), [(2, 0), (17, 0), (2, 0), (2, 0)]);
}

#[test]
fn cheaper_spot_workers_allow_more_workers_at_no_higher_cost() {
    let priced = |price| WorkerLimits {
        spot_price: Some(price),
        ..LIMITS
    };
    assert_eq!(affordable_workers(100, 4, &priced(0.22)), 200);
    assert_eq!(
        affordable_workers(71, 2, &priced(0.5)),
        142,
        "the planned number must remain after the loss of one zone"
    );
    assert_eq!(
        affordable_workers(100, 4, &priced(0.5)),
        134,
        "the planned number must remain after the loss of one zone"
    );
    assert_eq!(
        affordable_workers(90, 4, &priced(0.9)),
        100,
        "the workers must not cost more than planned"
    );
}

/// Seed of the property tests.
const SEED: u64 = 20_261_202;

fn any_zone() -> impl Strategy<Value = ZoneWorkers> {
    (0.1..3.0_f64, 0..40_u32, 0..40_u32, any::<bool>()).prop_map(
        |(price, reserved, spot, has_spot)| ZoneWorkers {
            zone: ZoneName::new("z"),
            price,
            reserved,
            spot,
            has_spot,
        },
    )
}

proptest! {
    #![proptest_config(config_with_seed(SEED))]

    #[test]
    fn goals_respect_the_limits_and_reach_the_wanted_number(
        zones in prop::collection::vec(any_zone(), 1..7),
        min_workers in 0..4_u32,
        room in 0..40_u32,
        spot_price in prop::option::of(0.05..1.5_f64),
        wanted in 0..200_u32,
        needed in 0..200_u32,
    ) {
        let limits = WorkerLimits { min_workers, max_workers: min_workers + room, spot_price };
        let goals = balance_workers(&zones, &limits, WorkerTargets { planned: wanted, wanted, needed });
        prop_assert_eq!(goals.len(), zones.len());
        for (goal, zone) in goals.iter().zip(&zones) {
            let zone_total = goal.reserved + goal.spot;
            prop_assert!(zone_total <= limits.max_workers.max(zone.reserved), "{goal:?}");
        }
        let ordered: u32 = goals.iter().map(|goal| goal.reserved + goal.spot).sum();
        let max_workers = limits.max_workers * zones.len() as u32;
        let all_have_spot = zones.iter().all(|zone| zone.has_spot);
        // Reserved workers that are leaving count towards the maximum until they have left.
        let leaving = goals
            .iter()
            .zip(&zones)
            .map(|(goal, zone)| zone.reserved.saturating_sub(goal.reserved));
        let serving = ordered + leaving.sum::<u32>();
        prop_assert!(serving >= needed.min(wanted).min(max_workers), "{goals:?}");
        prop_assert!(!all_have_spot || serving >= wanted.min(max_workers), "{goals:?}");
    }
}
