//! The fraction of the usual wait that each tenant gets, given its demand and its accepted work.

use std::time::Duration;

use proptest::prelude::*;
use tansyhall_core::Timestamp;
use tansyhall_fixed_cases::config_with_seed;
use tansyhall_forwarding::{TenantKey, TenantShares, WorkOutcome};

const SEED: u64 = 20_261_202;
const NOW: Timestamp = Timestamp::from_millis(10_000);
/// The number of tenants that must be tracked.
const MANY_TENANTS: u64 = 300;
/// Work is counted in whole microseconds per second; the error of fractions due to rounding is less than this.
const ROUNDING: f64 = 0.001;

/// For each tenant, the seconds of work that it requested and the fraction that was accepted.
fn demands() -> impl Strategy<Value = Vec<(f64, f64)>> {
    prop::collection::vec((0.01_f64..10.0, 0.0_f64..=1.0), 1..80)
}

fn shares_after(demands: &[(f64, f64)], refused: WorkOutcome) -> TenantShares {
    let mut shares = TenantShares::default();
    for (number, (demand, fraction)) in demands.iter().enumerate() {
        let tenant = TenantKey(number as u64);
        let accepted = demand * fraction;
        shares.record(NOW, tenant, accepted, WorkOutcome::Accepted);
        shares.record(NOW, tenant, demand - accepted, refused);
    }
    shares
}

/// The shares if all work that is not accepted is refused for overload.
fn overloaded(demands: &[(f64, f64)]) -> TenantShares {
    shares_after(demands, WorkOutcome::RefusedForOverload)
}

fn fractions(shares: &mut TenantShares, tenants: usize) -> Vec<f64> {
    let keys = (0..tenants as u64).map(TenantKey);
    keys.map(|tenant| shares.wait_fraction(NOW, tenant))
        .collect()
}

proptest! {
    #![proptest_config(config_with_seed(SEED))]

    /// Otherwise the queue would become shorter than necessary.
    #[test]
    fn some_tenant_may_always_wait_as_long_as_usual(demands in demands()) {
        let fractions = fractions(&mut overloaded(&demands), demands.len());
        let longest = fractions.iter().copied().fold(0.0, f64::max);
        prop_assert!(longest >= 1.0 - ROUNDING, "{fractions:?}");
        prop_assert!(fractions.iter().all(|fraction| *fraction > 0.0 && *fraction <= 1.0));
    }

    #[test]
    fn all_may_wait_as_long_as_usual_while_all_work_is_accepted(requested in prop::collection::vec(0.01_f64..10.0, 1..80)) {
        let demands: Vec<(f64, f64)> = requested.iter().map(|seconds| (*seconds, 1.0)).collect();
        let fractions = fractions(&mut overloaded(&demands), demands.len());
        prop_assert!(fractions.iter().all(|fraction| *fraction == 1.0));
    }

    /// Otherwise the refusals for shares would keep the shares in force after the overload has ended.
    #[test]
    fn all_may_wait_as_long_as_usual_while_refusals_are_only_for_shares(demands in demands()) {
        let mut shares = shares_after(&demands, WorkOutcome::RefusedForShare);
        let fractions = fractions(&mut shares, demands.len());
        prop_assert!(fractions.iter().all(|fraction| *fraction == 1.0));
    }

    #[test]
    fn of_two_tenants_with_equal_demand_the_one_that_got_more_waits_no_longer(demands in demands(), demand in 0.01_f64..10.0, got in any::<(u8, u8)>()) {
        let fraction = |got: u8| f64::from(got) / 255.0;
        let mut demands = demands;
        demands.push((demand, fraction(got.0.max(got.1))));
        demands.push((demand, fraction(got.0.min(got.1))));
        let fractions = fractions(&mut overloaded(&demands), demands.len());
        let [more, less] = fractions[demands.len() - 2..] else {
            panic!("two were added");
        };
        prop_assert!(more <= less);
    }

    #[test]
    fn a_tenant_that_demands_less_than_an_equal_share_waits_as_long_as_usual(demands in demands()) {
        let mut demands = demands;
        let accepted: f64 = demands.iter().map(|(demand, fraction)| demand * fraction).sum();
        let equal = accepted / (demands.len() + 1) as f64;
        demands.push((equal.max(0.001) * 0.9, 1.0));
        let fractions = fractions(&mut overloaded(&demands), demands.len());
        prop_assert!(fractions[demands.len() - 1] >= 1.0 - ROUNDING || equal < 0.001);
    }
}

#[test]
fn many_tenants_are_tracked_up_to_a_bound() {
    let mut shares = TenantShares::default();
    for tenant in 0..MANY_TENANTS {
        shares.record(NOW, TenantKey(tenant), 1.0, WorkOutcome::RefusedForOverload);
    }
    assert_eq!(shares.tracked_tenants() as u64, MANY_TENANTS);
    for tenant in 0..100_000 {
        shares.record(NOW, TenantKey(tenant), 1.0, WorkOutcome::Accepted);
    }
    assert!(shares.tracked_tenants() < 2_000);
    assert_eq!(shares.wait_fraction(NOW, TenantKey(99_999)), 1.0);
}

#[test]
fn idle_tenants_are_forgotten() {
    let mut shares = TenantShares::default();
    for tenant in 0..MANY_TENANTS {
        shares.record(NOW, TenantKey(tenant), 1.0, WorkOutcome::RefusedForOverload);
    }
    let later = NOW + Duration::from_secs(120);
    shares.record(later, TenantKey(0), 1.0, WorkOutcome::Accepted);
    shares.wait_fraction(later, TenantKey(0));
    assert_eq!(shares.tracked_tenants(), 1);
}

#[test]
fn work_accepted_during_overload_is_forgotten() {
    let mut shares = overloaded(&[(10.0, 0.5), (0.1, 0.0)]);
    assert!(shares.wait_fraction(NOW, TenantKey(0)) < 1.0);
    let later = NOW + Duration::from_secs(30);
    for tenant in [0, 1] {
        shares.record(later, TenantKey(tenant), 1.0, WorkOutcome::Accepted);
    }
    assert!(shares.wait_fraction(later, TenantKey(0)) > 1.0 - ROUNDING);
}
