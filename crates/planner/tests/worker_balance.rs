//! Workers by zone and price: as many as are wanted, mostly cheap ones, and never all in one zone.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use tansyhall_core::ZoneName;
use tansyhall_planner::{balance_workers, WorkerLimits, WorkersWanted, ZoneGoal, ZoneWorkers};

const LIMITS: WorkerLimits = WorkerLimits {
    least: 1,
    most: 36,
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

fn all(wanted: u32) -> WorkersWanted {
    WorkersWanted {
        wanted,
        needed: wanted,
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
    let goals = balance_workers(&zones(18, 0), &LIMITS, all(72));
    assert_eq!(counts(&goals), [(18, 16); 4]);
    let goals = balance_workers(&zones(18, 10), &LIMITS, all(72));
    assert_eq!(counts(&goals), [(8, 16); 4]);
    let goals = balance_workers(&zones(8, 16), &LIMITS, all(72));
    assert_eq!(counts(&goals), [(2, 16); 4]);
}

#[test]
fn no_spot_worker_is_ordered_where_there_are_none_or_they_cost_as_much() {
    for spot_price in [None, Some(1.0), Some(1.3)] {
        let limits = WorkerLimits {
            spot_price,
            ..LIMITS
        };
        let goals = balance_workers(&zones(18, 0), &limits, all(72));
        assert_eq!(counts(&goals), [(18, 0); 4]);
    }
}

#[test]
fn what_a_zone_cannot_give_is_ordered_in_the_others() {
    let mut zones = zones(2, 16);
    zones[1].spot = 0;
    zones[1].has_spot = false;
    let goals = balance_workers(&zones, &LIMITS, all(72));
    assert_eq!(counts(&goals), [(2, 22), (2, 0), (2, 21), (2, 21)]);
    for zone in &mut zones {
        zone.spot = 0;
        zone.has_spot = false;
    }
    let goals = balance_workers(&zones, &LIMITS, all(72));
    assert_eq!(goals[1].reserved, 36, "the cheapest zone is filled first");
    assert_eq!(goals.iter().map(|goal| goal.reserved).sum::<u32>(), 72);
}

#[test]
fn spot_workers_elsewhere_stay_until_those_of_the_zone_serve_again() {
    let mut zones = zones(2, 22);
    zones[1].spot = 0;
    let goals = balance_workers(&zones, &LIMITS, all(72));
    assert_eq!(counts(&goals), [(2, 20), (2, 16), (2, 22), (2, 22)]);
    zones[1].spot = 10;
    let goals = balance_workers(&zones, &LIMITS, all(72));
    assert_eq!(counts(&goals), [(2, 16), (2, 16), (2, 16), (2, 22)]);
}

#[test]
fn reserved_workers_are_ordered_for_what_the_demand_needs_only() {
    let mut zones = zones(2, 0);
    for zone in &mut zones {
        zone.has_spot = false;
    }
    let workers = WorkersWanted {
        wanted: 72,
        needed: 20,
    };
    let goals = balance_workers(&zones, &LIMITS, workers);
    assert_eq!(counts(&goals), [(2, 0), (14, 0), (2, 0), (2, 0)]);
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
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn goals_keep_the_limits_and_the_wanted_number(
        zones in prop::collection::vec(any_zone(), 1..7),
        least in 0..4_u32,
        room in 0..40_u32,
        spot_price in prop::option::of(0.05..1.5_f64),
        wanted in 0..200_u32,
        needed in 0..200_u32,
    ) {
        let limits = WorkerLimits { least, most: least + room, spot_price };
        let goals = balance_workers(&zones, &limits, WorkersWanted { wanted, needed });
        prop_assert_eq!(goals.len(), zones.len());
        for (goal, zone) in goals.iter().zip(&zones) {
            let both = goal.reserved + goal.spot;
            prop_assert!(both <= limits.most.max(zone.reserved), "{goal:?}");
        }
        let all: u32 = goals.iter().map(|goal| goal.reserved + goal.spot).sum();
        let most = limits.most * zones.len() as u32;
        prop_assert!(all >= needed.min(wanted).min(most), "{goals:?}");
        let can_spot = zones.iter().all(|zone| zone.has_spot);
        prop_assert!(!can_spot || all >= wanted.min(most), "{goals:?}");
    }
}
