//! Which tenants gateways report to each other, and what they keep of the reports.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use tansyhall_core::Timestamp;
use tansyhall_forwarding::fleet_tenants::{
    MAX_RATE, MAX_REPORTED_TENANTS, MAX_ROUNDS, SILENT_AFTER, TENANT_REPORT_INTERVAL,
};
use tansyhall_forwarding::load_exchange::STALE_AFTER;
use tansyhall_forwarding::{
    Decisions, Directory, GatewayKey, LoadReport, OwnTenants, ReportedTenants, ServiceKey,
    ServiceTenants, TenantKey, TenantRates, TenantRotation, TenantShares, WorkOutcome, WorkRates,
};

const NOW: Timestamp = Timestamp::from_millis(10_000);
const SERVICE: ServiceKey = ServiceKey(7);
const SENDER: GatewayKey = GatewayKey(1);
const OTHER_SENDER: GatewayKey = GatewayKey(2);
const MANY_TENANTS: u64 = 300;
/// The number of tenants with the most demand that every report contains.
const FIRST_TENANTS: u64 = 32;
/// Time within which each of many tenants must have been reported.
const MAX_ROTATION: Duration = Duration::from_secs(5);
/// More rates than a gateway may keep.
const TOO_MANY_RATES: u64 = 100_000;

fn tenant(key: u64, demand: u64) -> TenantRates {
    let rates = WorkRates {
        demand,
        contending: demand,
        accepted: demand / 2,
    };
    TenantRates {
        tenant: TenantKey(key),
        rates,
    }
}

fn report(rounds: u32, tenants: Vec<TenantRates>) -> ServiceTenants {
    ServiceTenants {
        service: SERVICE,
        rounds,
        refuses: true,
        tenants,
    }
}

fn own(service: u64, tenants: impl Iterator<Item = TenantRates>) -> OwnTenants {
    OwnTenants {
        service: ServiceKey(service),
        refuses: true,
        tenants: tenants.collect(),
    }
}

fn demand_of(reported: &ReportedTenants, key: u64) -> Option<u64> {
    let sums = reported.sums(SERVICE)?;
    sums.get(&TenantKey(key)).map(|rates| rates.demand)
}

// Guards against tenants that are never reported, and against large ones that are reported seldom.
#[test]
fn all_of_300_tenants_are_reported_in_rotation_and_the_largest_always() {
    let mut rotation = TenantRotation::default();
    // Two services, with the demand of each tenant in the order of its key.
    let services = [0, 1].map(|service| {
        let keys = (0..MANY_TENANTS).filter(move |key| key % 2 == service);
        own(service, keys.map(|key| tenant(key, 1_000 + key)))
    });
    let rounds = rotation.next_report(&services)[0].rounds;
    assert!(TENANT_REPORT_INTERVAL * rounds <= MAX_ROTATION);
    let mut reported = HashSet::new();
    for _ in 0..rounds {
        let reports = rotation.next_report(&services);
        assert!(reports.iter().all(|report| report.rounds == rounds));
        let tenants = reports.iter().flat_map(|report| &report.tenants);
        let keys: HashSet<u64> = tenants.map(|tenant| tenant.tenant.0).collect();
        assert!(keys.len() <= MAX_REPORTED_TENANTS);
        assert!((MANY_TENANTS - FIRST_TENANTS..MANY_TENANTS).all(|key| keys.contains(&key)));
        reported.extend(keys);
    }
    assert_eq!(reported.len() as u64, MANY_TENANTS);
}

#[test]
fn tenants_that_fit_into_one_report_are_all_in_each() {
    let mut rotation = TenantRotation::default();
    let services = [own(0, (0..64).map(|key| tenant(key, 1_000)))];
    for _ in 0..3 {
        let reports = rotation.next_report(&services);
        assert_eq!(reports[0].rounds, 1);
        assert_eq!(reports[0].tenants.len(), MAX_REPORTED_TENANTS);
    }
    assert!(rotation
        .next_report(&[own(0, std::iter::empty())])
        .is_empty());
}

// Guards against sums that drift when rates are replaced.
#[test]
fn the_last_report_of_each_gateway_counts_once() {
    let mut reported = ReportedTenants::default();
    for demand in [50, 10, 70, 20] {
        reported.receive(NOW, SENDER, &report(1, vec![tenant(1, demand)]));
        reported.receive(NOW, OTHER_SENDER, &report(1, vec![tenant(1, demand * 2)]));
        assert_eq!(demand_of(&reported, 1), Some(demand * 3));
    }
    assert_eq!(reported.known_tenants(), 1);
    assert_eq!(reported.kept_rates(), 2);
}

// Guards against rates of tenants and gateways that are gone.
#[test]
fn rates_that_are_not_repeated_are_dropped() {
    let mut reported = ReportedTenants::default();
    reported.receive(NOW, SENDER, &report(1, vec![tenant(1, 10)]));
    reported.receive(
        NOW,
        OTHER_SENDER,
        &report(9, vec![tenant(1, 5), tenant(2, 5)]),
    );
    reported.drop_stale(NOW + STALE_AFTER);
    assert_eq!(demand_of(&reported, 1), Some(5));
    // Rates in a rotation of nine rounds are kept while their gateway reports others.
    let mut now = NOW;
    while now < NOW + STALE_AFTER * 9 - TENANT_REPORT_INTERVAL {
        now = now + TENANT_REPORT_INTERVAL;
        reported.receive(now, OTHER_SENDER, &report(9, vec![tenant(2, 5)]));
        reported.drop_stale(now);
        assert_eq!(demand_of(&reported, 1), Some(5));
    }
    reported.receive(now, OTHER_SENDER, &report(9, vec![tenant(2, 5)]));
    reported.drop_stale(NOW + STALE_AFTER * 9);
    assert_eq!(demand_of(&reported, 1), None);
    assert_eq!(demand_of(&reported, 2), Some(5));
    reported.drop_stale(now + SILENT_AFTER);
    assert_eq!(reported.known_tenants(), 0);
    assert_eq!(reported.kept_rates(), 0);
}

// Guards against a faulty peer that distorts shares or fills the memory.
#[test]
fn implausible_rates_are_ignored_and_the_table_is_bounded() {
    let mut reported = ReportedTenants::default();
    let mut more_accepted = tenant(1, 10);
    more_accepted.rates.accepted = 11;
    let mut more_contending = tenant(2, 10);
    more_contending.rates.contending = 11;
    let implausible = vec![
        more_accepted,
        more_contending,
        tenant(3, 0),
        tenant(4, MAX_RATE + 1),
    ];
    reported.receive(NOW, SENDER, &report(1, implausible));
    for rounds in [0, MAX_ROUNDS + 1] {
        reported.receive(NOW, SENDER, &report(rounds, vec![tenant(5, 10)]));
    }
    assert_eq!(reported.known_tenants(), 0);
    for number in 0..TOO_MANY_RATES / 50 {
        let tenants = (0..50).map(|key| tenant(number * 50 + key, MAX_RATE));
        reported.receive(NOW, GatewayKey(number), &report(1, tenants.collect()));
    }
    assert!(reported.kept_rates() < TOO_MANY_RATES as usize);
    assert_eq!(reported.kept_rates(), reported.known_tenants());
    // A known tenant is still updated.
    reported.receive(NOW, GatewayKey(0), &report(1, vec![tenant(0, 10)]));
    assert_eq!(demand_of(&reported, 0), Some(10));
}

// Guards against shares that one gateway computes from its own part of the work.
#[test]
fn what_a_tenant_has_taken_elsewhere_counts() {
    let mut shares = TenantShares::default();
    for key in [1, 2] {
        shares.record(NOW, TenantKey(key), 1.0, WorkOutcome::Accepted);
        shares.record(NOW, TenantKey(key), 1.0, WorkOutcome::RefusedForOverload);
    }
    let none = HashMap::new();
    let alone = shares.fleet_wait_fraction(NOW, TenantKey(1), &none);
    let other = shares.fleet_wait_fraction(NOW, TenantKey(2), &none);
    assert_eq!(alone, other);
    let elsewhere = HashMap::from([(TenantKey(1), tenant(1, 4_000_000).rates)]);
    let later = NOW + Duration::from_millis(100);
    let first = shares.fleet_wait_fraction(later, TenantKey(1), &elsewhere);
    let second = shares.fleet_wait_fraction(later, TenantKey(2), &elsewhere);
    assert!(first < second, "{first}, {second}");
}

// Guards against effects of reports at a gateway whose switch is off.
#[test]
fn reported_tenants_are_ignored_while_the_switch_is_off() {
    let report = LoadReport {
        sender: SENDER,
        sequence: 1,
        loads: Vec::new(),
        parts: Vec::new(),
        absences: Vec::new(),
        demands: Vec::new(),
        rate_limits: Vec::new(),
        tenants: vec![report(1, vec![tenant(1, 10)])],
    };
    let mut directory = Directory::new(OTHER_SENDER);
    directory.receive_report(NOW, &report);
    assert_eq!(directory.tenants_of_others(), 0);
    let mut directory = Directory::new(OTHER_SENDER);
    directory.set_decisions(Decisions::default().with_tolerated_zones(1));
    directory.receive_report(NOW, &report);
    assert_eq!(directory.tenants_of_others(), 1);
}
