//! What follows for each tenant from what was asked and taken.

use std::time::Duration;

use proptest::prelude::*;
use tansyhall_core::Timestamp;
use tansyhall_fixed_cases::fixed_cases;
use tansyhall_forwarding::{TenantKey, TenantShares, WorkOutcome};

const SEED: u64 = 20_261_202;
const NOW: Timestamp = Timestamp::from_millis(10_000);
/// Tenants that the table has to hold.
const MANY_TENANTS: u64 = 300;
/// Work is counted in whole microseconds a second: parts are off by less than this.
const ROUNDING: f64 = 0.001;

/// Seconds of work that tenants asked for, and the part of it that was taken.
fn works() -> impl Strategy<Value = Vec<(f64, f64)>> {
    prop::collection::vec((0.01_f64..10.0, 0.0_f64..=1.0), 1..80)
}

fn shares_after(works: &[(f64, f64)], refused: WorkOutcome) -> TenantShares {
    let mut shares = TenantShares::default();
    for (number, (asked, part)) in works.iter().enumerate() {
        let tenant = TenantKey(number as u64);
        let taken = asked * part;
        shares.record(NOW, tenant, taken, WorkOutcome::Taken);
        shares.record(NOW, tenant, asked - taken, refused);
    }
    shares
}

/// What follows if all that is not taken is refused for overload.
fn overloaded(works: &[(f64, f64)]) -> TenantShares {
    shares_after(works, WorkOutcome::RefusedForOverload)
}

fn parts(shares: &mut TenantShares, tenants: usize) -> Vec<f64> {
    let keys = (0..tenants as u64).map(TenantKey);
    keys.map(|tenant| shares.patience_part(NOW, tenant))
        .collect()
}

proptest! {
    #![proptest_config(fixed_cases(SEED))]

    /// Else the queue would grow shorter than it has to be.
    #[test]
    fn some_tenant_may_always_wait_as_long_as_usual(works in works()) {
        let parts = parts(&mut overloaded(&works), works.len());
        let longest = parts.iter().copied().fold(0.0, f64::max);
        prop_assert!(longest >= 1.0 - ROUNDING, "{parts:?}");
        prop_assert!(parts.iter().all(|part| *part > 0.0 && *part <= 1.0));
    }

    #[test]
    fn all_may_wait_as_long_as_usual_while_all_is_taken(asked in prop::collection::vec(0.01_f64..10.0, 1..80)) {
        let works: Vec<(f64, f64)> = asked.iter().map(|asked| (*asked, 1.0)).collect();
        let parts = parts(&mut overloaded(&works), works.len());
        prop_assert!(parts.iter().all(|part| *part == 1.0));
    }

    /// Else shares would stay in force by their own refusals when the overload is over.
    #[test]
    fn all_may_wait_as_long_as_usual_while_refusals_are_for_shares_alone(works in works()) {
        let mut shares = shares_after(&works, WorkOutcome::RefusedForShare);
        let parts = parts(&mut shares, works.len());
        prop_assert!(parts.iter().all(|part| *part == 1.0));
    }

    #[test]
    fn of_two_that_ask_alike_the_one_that_got_more_waits_no_longer(works in works(), asked in 0.01_f64..10.0, got in any::<(u8, u8)>()) {
        let part = |got: u8| f64::from(got) / 255.0;
        let mut works = works;
        works.push((asked, part(got.0.max(got.1))));
        works.push((asked, part(got.0.min(got.1))));
        let parts = parts(&mut overloaded(&works), works.len());
        let [more, less] = parts[works.len() - 2..] else {
            panic!("two were added");
        };
        prop_assert!(more <= less);
    }

    #[test]
    fn one_that_asks_for_less_than_an_equal_part_waits_as_long_as_usual(works in works()) {
        let mut works = works;
        let taken: f64 = works.iter().map(|(asked, part)| asked * part).sum();
        let equal = taken / (works.len() + 1) as f64;
        works.push((equal.max(0.001) * 0.9, 1.0));
        let parts = parts(&mut overloaded(&works), works.len());
        prop_assert!(parts[works.len() - 1] >= 1.0 - ROUNDING || equal < 0.001);
    }
}

#[test]
fn the_table_holds_many_tenants_and_is_bounded() {
    let mut shares = TenantShares::default();
    for tenant in 0..MANY_TENANTS {
        shares.record(NOW, TenantKey(tenant), 1.0, WorkOutcome::RefusedForOverload);
    }
    assert_eq!(shares.counted_tenants() as u64, MANY_TENANTS);
    for tenant in 0..100_000 {
        shares.record(NOW, TenantKey(tenant), 1.0, WorkOutcome::Taken);
    }
    assert!(shares.counted_tenants() < 2_000);
    assert_eq!(shares.patience_part(NOW, TenantKey(99_999)), 1.0);
}

#[test]
fn tenants_that_ask_no_more_are_forgotten() {
    let mut shares = TenantShares::default();
    for tenant in 0..MANY_TENANTS {
        shares.record(NOW, TenantKey(tenant), 1.0, WorkOutcome::RefusedForOverload);
    }
    let later = NOW + Duration::from_secs(120);
    shares.record(later, TenantKey(0), 1.0, WorkOutcome::Taken);
    shares.patience_part(later, TenantKey(0));
    assert_eq!(shares.counted_tenants(), 1);
}

#[test]
fn what_was_taken_in_overload_is_forgotten() {
    let mut shares = overloaded(&[(10.0, 0.5), (0.1, 0.0)]);
    assert!(shares.patience_part(NOW, TenantKey(0)) < 1.0);
    let later = NOW + Duration::from_secs(30);
    for tenant in [0, 1] {
        shares.record(later, TenantKey(tenant), 1.0, WorkOutcome::Taken);
    }
    assert!(shares.patience_part(later, TenantKey(0)) > 1.0 - ROUNDING);
}
