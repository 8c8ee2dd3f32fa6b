//! Tests of the token bucket and the retry policy in virtual time.

use proptest::collection::vec;
use proptest::prelude::*;
use tansyhall_core::{Duration, Timestamp};
use tansyhall_fixed_cases::config_with_seed;
use tansyhall_store::{Admission, NextStep, Repeatability, RetryPolicy, StoreError, TokenBucket};

proptest! {
    #![proptest_config(config_with_seed(1))]

    /// From the start up to any time, no more calls are admitted than the burst and the rate allow. A call that waits
    /// as long as the bucket requires is admitted.
    #[test]
    fn no_more_calls_are_admitted_than_the_rate_allows(
        rate in 1_u32..200, burst in 1_u32..20, gaps in vec(0_u64..100_000, 1..200),
    ) {
        let mut bucket = TokenBucket::new(rate, burst, Timestamp(0));
        let mut now = Timestamp(0);
        let mut admitted = 0_u64;
        for gap in gaps {
            now = now + Duration::from_micros(gap);
            match bucket.take(now) {
                Admission::Now => admitted += 1,
                Admission::After(wait) => {
                    now = now + wait;
                    prop_assert_eq!(bucket.take(now), Admission::Now);
                    admitted += 1;
                }
                Admission::Never => prop_assert!(false, "the rate is not zero"),
            }
            let added = now.0 * u64::from(rate) / 1_000_000;
            prop_assert!(admitted <= u64::from(burst) + added);
        }
    }

    #[test]
    fn waits_do_not_exceed_their_bounds(attempts in 1_u32..100, jitter in 0.0..1.0) {
        let policy = RetryPolicy { max_attempts: 1_000, ..RetryPolicy::default() };
        let error = StoreError::NotApplied("limited".into());
        let step = policy.after_failure(&error, Repeatability::Once, attempts, jitter);
        let NextStep::Retry(wait) = step else {
            panic!("{step:?}");
        };
        prop_assert!(wait <= policy.max_backoff);
        prop_assert!(wait <= policy.initial_backoff.saturating_mul(1 << (attempts - 1).min(31)));
    }
}

#[test]
fn a_clock_that_stops_or_steps_back_adds_no_tokens() {
    let start = Timestamp::from_millis(1_000);
    let mut bucket = TokenBucket::new(10, 1, start);
    assert_eq!(bucket.take(start), Admission::Now);
    let wait = Duration::from_millis(100);
    assert_eq!(bucket.take(start), Admission::After(wait));
    assert_eq!(bucket.take(Timestamp(0)), Admission::After(wait));
    assert_eq!(bucket.take(start), Admission::After(wait));
    assert_eq!(bucket.take(start + wait), Admission::Now);
}

#[test]
fn a_rate_of_zero_admits_nothing() {
    let mut bucket = TokenBucket::new(0, 5, Timestamp(0));
    assert_eq!(bucket.take(Timestamp(1)), Admission::Never);
}

#[test]
fn a_call_that_may_have_taken_effect_is_read_back_unless_it_is_repeatable() {
    let policy = RetryPolicy::default();
    let lost = StoreError::Unknown("the answer is lost".into());
    let once = policy.after_failure(&lost, Repeatability::Once, 1, 0.5);
    assert_eq!(once, NextStep::ReadBack);
    let read = policy.after_failure(&lost, Repeatability::Repeatable, 1, 0.5);
    assert_eq!(read, NextStep::Retry(Duration::from_millis(50)));
}

#[test]
fn the_last_attempt_and_a_lapsed_lease_are_not_retried() {
    let policy = RetryPolicy::default();
    let refused = StoreError::NotApplied("limited".into());
    let step = policy.after_failure(&refused, Repeatability::Once, policy.max_attempts, 0.5);
    assert_eq!(step, NextStep::GiveUp);
    let lapsed = policy.after_failure(&StoreError::LeaseLapsed, Repeatability::Once, 1, 0.5);
    assert_eq!(lapsed, NextStep::GiveUp);
}
