//! Tests token buckets and fair slots against simple bounds and counts.

use std::time::Duration;

use proptest::prelude::*;
use tansyhall_admission::{BucketDecision, BucketEvent, FairSlots, SlotDecision, TokenBucket};
use tansyhall_core::Timestamp;

/// Ten units per second, in thousandths of a unit.
const RATE: u64 = 10_000;

proptest! {
    #[test]
    fn a_bucket_admits_at_most_its_rate_and_one_burst(
        events in prop::collection::vec((0_u64..300, 1_u64..4), 0..300),
    ) {
        let mut bucket = TokenBucket::default();
        let mut now = Timestamp::default();
        let mut taken = 0;
        for (millis, units) in events {
            now = now + Duration::from_millis(millis);
            if bucket.step(now, RATE, BucketEvent::Take(units)) == BucketDecision::Admitted {
                taken += units;
            }
            prop_assert!(taken * 1_000 <= 10 * now.as_millis() + 10_000);
        }
    }

    #[test]
    fn the_advised_time_is_the_first_at_which_the_request_is_admitted(
        rate in 1_u64..50_000, units in 1_u64..100,
    ) {
        let mut bucket = TokenBucket::default();
        let now = Timestamp::from_millis(5);
        bucket.step(now, rate, BucketEvent::Take(units));
        let refused = bucket.clone().step(now, rate, BucketEvent::Take(units));
        if let BucketDecision::Refused { retry_after } = refused {
            let just_before = now + retry_after - Duration::from_micros(1);
            let early = bucket.clone().step(just_before, rate, BucketEvent::Take(units));
            prop_assert_ne!(early, BucketDecision::Admitted);
            let on_time = bucket.step(now + retry_after, rate, BucketEvent::Take(units));
            prop_assert_eq!(on_time, BucketDecision::Admitted);
        }
    }

    #[test]
    fn slots_are_neither_lost_nor_duplicated(
        steps in prop::collection::vec((any::<bool>(), 0_u8..4), 0..200), slots in 1_usize..40,
    ) {
        let mut fair = FairSlots::new(slots);
        let mut held = [0_usize; 4];
        for (acquires, tenant) in steps {
            let count = &mut held[usize::from(tenant)];
            if acquires && fair.acquire(tenant) == SlotDecision::Admitted {
                *count += 1;
            }
            if !acquires && *count > 0 {
                *count -= 1;
                fair.release(&tenant);
            }
            prop_assert_eq!(fair.taken(), held.iter().sum::<usize>());
            prop_assert!(fair.taken() <= slots);
        }
    }
}

#[test]
fn excess_units_are_refunded_and_a_debt_delays_the_next_request() {
    let mut bucket = TokenBucket::default();
    let now = Timestamp::from_millis(1);
    let admitted = BucketDecision::Admitted;
    assert_eq!(bucket.step(now, RATE, BucketEvent::Take(10)), admitted);
    bucket.step(now, RATE, BucketEvent::Refund(10));
    assert_eq!(bucket.step(now, RATE, BucketEvent::Take(10)), admitted);
    bucket.step(now, RATE, BucketEvent::Charge(5));
    let retry_after = Duration::from_millis(600);
    let refused = BucketDecision::Refused { retry_after };
    assert_eq!(bucket.step(now, RATE, BucketEvent::Take(1)), refused);
}

#[test]
fn a_single_tenant_may_take_every_slot_and_two_tenants_get_equal_shares() {
    let mut fair = FairSlots::new(16);
    while fair.acquire("cooperative") == SlotDecision::Admitted {}
    assert_eq!(fair.held(&"cooperative"), 16);
    assert_eq!(fair.acquire("registry"), SlotDecision::Full);
    for _ in 0..2 {
        fair.release(&"cooperative");
    }
    assert_eq!(fair.acquire("registry"), SlotDecision::Admitted);
    assert_eq!(fair.acquire("cooperative"), SlotDecision::AboveFairShare);
    assert_eq!(fair.acquire("registry"), SlotDecision::Admitted);
}
