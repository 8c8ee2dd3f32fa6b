//! Selection of the gateways that place requests, and of the gateways that they serve.

use std::collections::{BTreeMap, BTreeSet};

use proptest::prelude::*;
use tansyhall_core::ZoneName;
use tansyhall_fixed_cases::config_with_seed_and_cases;
use tansyhall_forwarding::scheduler_plan::{GATEWAYS_PER_SCHEDULER, MAX_FULL_RATE_REPORTERS};
use tansyhall_forwarding::{SchedulerCandidate, SchedulerPlan};

/// Seed of the property tests.
const SEED: u64 = 20_261_203;

fn zone(number: usize) -> ZoneName {
    ZoneName::new(format!("z-{number}"))
}

/// Returns a fleet with this number of gateways, distributed evenly over the zones. Every tenth gateway of a zone has
/// four times the processor time of the others.
fn fleet(gateways: usize, zones: usize) -> Vec<SchedulerCandidate> {
    let candidate = |number: usize| SchedulerCandidate {
        name: format!("g-{number}"),
        zone: zone(number % zones),
        capacity: if (number / zones) % 10 == 0 {
            0.5
        } else {
            0.125
        },
    };
    (0..gateways).map(candidate).collect()
}

fn scheduler<'a>(plan: &'a SchedulerPlan, asker: &SchedulerCandidate) -> Option<&'a str> {
    plan.scheduler_of(&asker.name, &asker.zone, |_| true)
}

proptest! {
    #![proptest_config(config_with_seed_and_cases(SEED, 64))]

    #[test]
    fn every_gateway_asks_a_scheduler_of_its_zone(gateways in 1_usize..1_200, zones in 1_usize..8) {
        let fleet = fleet(gateways, zones);
        let plan = SchedulerPlan::new(fleet.clone());
        let zone_of: BTreeMap<&str, &ZoneName> =
            fleet.iter().map(|gateway| (gateway.name.as_str(), &gateway.zone)).collect();
        let mut asked: BTreeMap<&str, usize> = BTreeMap::new();
        for gateway in &fleet {
            let name = scheduler(&plan, gateway).expect("a scheduler");
            prop_assert_eq!(zone_of[name], &gateway.zone);
            prop_assert!(plan.is_scheduler(name));
            prop_assert!(plan.is_listener(name));
            *asked.entry(name).or_default() += 1;
        }
        if gateways <= MAX_FULL_RATE_REPORTERS {
            prop_assert_eq!(plan.scheduler_count(), gateways);
        }
        let max_schedulers = MAX_FULL_RATE_REPORTERS.max(zones) + gateways / GATEWAYS_PER_SCHEDULER + zones;
        prop_assert!(plan.scheduler_count() <= max_schedulers);
    }

    #[test]
    fn a_skipped_scheduler_is_replaced_and_the_others_stay(gateways in 13_usize..600) {
        let fleet = fleet(gateways, 4);
        let plan = SchedulerPlan::new(fleet.clone());
        let skipped = scheduler(&plan, &fleet[gateways - 1]).expect("a scheduler").to_owned();
        for gateway in fleet.iter().filter(|gateway| gateway.name != skipped) {
            let before = scheduler(&plan, gateway);
            let after = plan.scheduler_of(&gateway.name, &gateway.zone, |name| name != skipped);
            match before == Some(skipped.as_str()) {
                true => prop_assert!(after.is_some_and(|name| plan.is_listener(name))),
                false if before == Some(gateway.name.as_str()) => prop_assert_eq!(after, before),
                false => prop_assert!(after.is_some()),
            }
        }
    }
}

#[test]
fn gateways_with_the_most_processor_time_become_schedulers_first() {
    let fleet = fleet(300, 6);
    let plan = SchedulerPlan::new(fleet.clone());
    let weak: BTreeSet<&str> = fleet
        .iter()
        .filter(|gateway| gateway.capacity < 0.5)
        .map(|gateway| gateway.name.as_str())
        .collect();
    assert_eq!(plan.scheduler_count(), MAX_FULL_RATE_REPORTERS);
    assert!(plan.listeners().all(|name| !weak.contains(name)));
}

#[test]
fn a_zone_without_a_usable_gateway_has_no_scheduler() {
    let fleet = fleet(60, 4);
    let plan = SchedulerPlan::new(fleet.clone());
    let scheduler = plan.scheduler_of("g-new", &zone(1), |_| false);
    assert_eq!(scheduler, None);
    assert_eq!(plan.scheduler_of("g-new", &zone(9), |_| true), None);
}

#[test]
fn a_fleet_has_one_collector_for_several_dozen_gateways_and_replaces_an_unusable_one() {
    let plan = SchedulerPlan::new(fleet(40, 4));
    let collector = |own: &str| plan.collector_of(own, |_| true).expect("a collector");
    let first = collector("g-0").to_owned();
    assert!((0..40).all(|number| collector(&format!("g-{number}")) == first));
    let next = plan.collector_of("g-0", |name| name != first);
    assert_ne!(next, Some(first.as_str()));
    let alone = plan.collector_of("g-0", |_| false);
    assert_eq!(alone, Some("g-0"));
    let large = SchedulerPlan::new(fleet(200, 4));
    let names = (0..200).map(|number| format!("g-{number}"));
    let chosen: BTreeSet<String> = names
        .filter_map(|name| large.collector_of(&name, |_| true).map(str::to_owned))
        .collect();
    assert!(chosen.len() > 1 && chosen.len() <= 4, "{chosen:?}");
}
