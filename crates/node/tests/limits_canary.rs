//! Versions and adapters are selected in the stated proportions, and always the same ones for the
//! same caller.

use actix_web::http::header::{HeaderMap, HeaderName, HeaderValue};
use proptest::prelude::*;
use tansyhall_core::RequestId;
use tansyhall_fixed_cases::config_with_seed_and_cases;
use tansyhall_node::limits::{Variant, AFFINITY_HEADER};
use tansyhall_policy::{compile, Class};

/// Number of requests drawn in one case.
const REQUESTS: u32 = 4_000;
/// Maximum difference from the stated proportion: six standard deviations of an even split.
const TOLERANCE: u32 = 190;

fn class(versions_percent: u8, adapters_percent: u8) -> Class {
    let shares = |first: &str, second: &str, percent: u8| {
        let rest = 100 - percent;
        format!("\"{first}\" {percent}%, \"{second}\" {rest}%")
    };
    let source = format!(
        "class counter {{ versions {}; adapters {}; }}",
        shares("old", "new", versions_percent),
        shares("plain", "tuned", adapters_percent),
    );
    let program = compile(&source).expect("it compiles");
    program.classify(&Default::default()).clone()
}

fn affinity(value: &str) -> HeaderMap {
    let mut headers = HeaderMap::new();
    let value = HeaderValue::from_str(value).expect("a value");
    headers.insert(HeaderName::from_static(AFFINITY_HEADER), value);
    headers
}

proptest! {
    #![proptest_config(config_with_seed_and_cases(24, 64))]

    #[test]
    fn shares_are_met_and_versions_and_adapters_are_independent(
        versions in 1_u8..100, adapters in 1_u8..100, seed in any::<u128>(),
    ) {
        let class = class(versions, adapters);
        let (mut old, mut plain, mut both) = (0, 0, 0);
        for index in 0..REQUESTS {
            let id = RequestId(seed.wrapping_add(u128::from(index)));
            let variant = Variant::pick(&class, &HeaderMap::new(), id);
            let is_old = variant.version.is_some_and(|version| version.as_str() == "old");
            let is_plain = variant.adapter.is_some_and(|adapter| adapter.as_str() == "plain");
            old += u32::from(is_old);
            plain += u32::from(is_plain);
            both += u32::from(is_old && is_plain);
        }
        let (versions, adapters) = (u32::from(versions), u32::from(adapters));
        prop_assert!(old.abs_diff(REQUESTS * versions / 100) <= TOLERANCE);
        prop_assert!(plain.abs_diff(REQUESTS * adapters / 100) <= TOLERANCE);
        prop_assert!(both.abs_diff(REQUESTS * versions * adapters / 10_000) <= TOLERANCE);
    }

    #[test]
    fn a_caller_with_affinity_stays_with_its_variant(
        caller in "[a-z]{1,20}", first in any::<u128>(), second in any::<u128>(),
    ) {
        let class = class(50, 50);
        let headers = affinity(&caller);
        let one = Variant::pick(&class, &headers, RequestId(first));
        prop_assert_eq!(&one, &Variant::pick(&class, &headers, RequestId(second)));
    }

    #[test]
    fn a_larger_share_keeps_the_callers_that_it_had(
        id in any::<u128>(), percent in 1_u8..99, more in 1_u8..50,
    ) {
        let larger = percent.saturating_add(more).min(99);
        let pick = |percent| Variant::pick(&class(percent, 50), &HeaderMap::new(), RequestId(id));
        let version_of = |percent| pick(percent).version.expect("a version");
        let (before, after) = (version_of(percent), version_of(larger));
        prop_assert!(before.as_str() == "new" || after.as_str() == "old");
    }
}

#[test]
fn a_class_without_shares_picks_nothing() {
    let class = Class::new("any");
    let variant = Variant::pick(&class, &HeaderMap::new(), RequestId(1));
    assert_eq!(variant, Variant::default());
}
