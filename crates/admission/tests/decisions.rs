//! Tests the retry budget, the circuit breaker, the backoff and the advised waits against simple bounds.

use std::time::Duration;

use proptest::prelude::*;
use tansyhall_admission::service_rate::DEFAULT_WAIT;
use tansyhall_admission::{
    Backoff, BreakerDecision, BreakerEvent, BreakerSettings, BudgetDecision, BudgetEvent,
    BudgetSettings, CircuitBreaker, RetryBudget, ServiceEvent, ServiceRate,
};
use tansyhall_core::Timestamp;

const BUDGET: BudgetSettings = BudgetSettings {
    retries_per_thousand: 200,
    reserve: 10,
    refill_interval: Duration::from_secs(1),
};
const BREAKER: BreakerSettings = BreakerSettings {
    failure_threshold: 3,
    open_backoff: Backoff {
        base: Duration::from_secs(1),
        max_delay: Duration::from_secs(8),
    },
    probe_timeout: Duration::from_secs(5),
};

fn time_until_probe(decision: BreakerDecision) -> Duration {
    match decision {
        BreakerDecision::Admit => Duration::ZERO,
        BreakerDecision::Refuse { probe_in } => probe_in,
    }
}

proptest! {
    #[test]
    fn retries_stay_within_the_fraction_plus_reserve_and_refill(
        events in prop::collection::vec((any::<bool>(), 0_u64..500), 0..400),
    ) {
        let mut budget = RetryBudget::new(BUDGET, Timestamp::default());
        let mut now = Timestamp::default();
        let (mut requests, mut retries) = (0_u64, 0_u64);
        for (is_retry, millis) in events {
            now = now + Duration::from_millis(millis);
            if !is_retry {
                budget.step(now, BudgetEvent::Request);
                requests += 1;
                continue;
            }
            if budget.step(now, BudgetEvent::Retry) == BudgetDecision::Allowed {
                retries += 1;
            }
            let seconds = now.as_millis() / 1_000 + 1;
            prop_assert!(retries <= requests / 5 + 1 + 10 + seconds);
        }
    }

    #[test]
    fn a_spent_budget_allows_a_retry_once_the_advised_time_has_passed(spends in 10_usize..30) {
        let mut budget = RetryBudget::new(BUDGET, Timestamp::default());
        let now = Timestamp::from_millis(1);
        let mut last = BudgetDecision::Allowed;
        for _ in 0..=spends {
            last = budget.step(now, BudgetEvent::Retry);
        }
        let BudgetDecision::Spent { refilled_in } = last else {
            return Err(TestCaseError::fail("the budget allowed more retries than its reserve"));
        };
        let later = now + refilled_in + Duration::from_millis(1);
        prop_assert_eq!(budget.step(later, BudgetEvent::Retry), BudgetDecision::Allowed);
    }

    #[test]
    fn a_backoff_stays_below_its_bound(retry in 0_u32..100, jitter in 0.0_f64..=1.0) {
        let wait = BREAKER.open_backoff.delay(retry, jitter);
        prop_assert!(wait <= BREAKER.open_backoff.max_delay);
    }

    #[test]
    fn an_open_breaker_admits_one_probe_at_the_advised_time(failed_probes in 0_u32..6) {
        let mut breaker = CircuitBreaker::new(BREAKER);
        let mut now = Timestamp::default();
        for _ in 0..BREAKER.failure_threshold {
            prop_assert_eq!(breaker.step(now, BreakerEvent::Attempt), BreakerDecision::Admit);
            breaker.step(now, BreakerEvent::Failure);
        }
        for probe in 0..failed_probes {
            let wait = time_until_probe(breaker.step(now, BreakerEvent::Attempt));
            prop_assert_eq!(wait, BREAKER.open_backoff.delay(probe, 1.0));
            now = now + wait;
            prop_assert_eq!(breaker.step(now, BreakerEvent::Attempt), BreakerDecision::Admit);
            prop_assert!(time_until_probe(breaker.step(now, BreakerEvent::Attempt)) > Duration::ZERO);
            breaker.step(now, BreakerEvent::Failure);
        }
        now = now + time_until_probe(breaker.peek(now));
        prop_assert_eq!(breaker.step(now, BreakerEvent::Attempt), BreakerDecision::Admit);
        breaker.step(now, BreakerEvent::Success);
        prop_assert!(breaker.is_closed());
    }
}

#[test]
fn a_probe_without_an_outcome_does_not_block_the_back_end_forever() {
    let mut breaker = CircuitBreaker::new(BREAKER);
    let mut now = Timestamp::default();
    for _ in 0..BREAKER.failure_threshold {
        breaker.step(now, BreakerEvent::Failure);
    }
    now = now + BREAKER.open_backoff.base;
    assert_eq!(
        breaker.step(now, BreakerEvent::Attempt),
        BreakerDecision::Admit
    );
    now = now + BREAKER.probe_timeout;
    assert_eq!(
        breaker.step(now, BreakerEvent::Attempt),
        BreakerDecision::Admit
    );
}

#[test]
fn the_advised_wait_follows_the_observed_rate_and_the_requests_in_progress() {
    let mut rate = ServiceRate::default();
    assert_eq!(rate.advised_wait(), DEFAULT_WAIT);
    let mut now = Timestamp::default();
    for _ in 0..10 {
        rate.step(now, ServiceEvent::Admitted);
    }
    for _ in 0..8 {
        now = now + Duration::from_millis(500);
        rate.step(now, ServiceEvent::Served);
    }
    let wait_with_two = rate.advised_wait();
    assert!(
        (wait_with_two.as_secs_f64() - 1.5).abs() < 0.5,
        "{wait_with_two:?}"
    );
    for _ in 0..20 {
        rate.step(now, ServiceEvent::Admitted);
    }
    assert!(rate.advised_wait() > wait_with_two * 5);
}

#[test]
fn idle_time_does_not_reduce_the_observed_rate() {
    let mut rate = ServiceRate::default();
    rate.step(Timestamp::default(), ServiceEvent::Admitted);
    let served = Timestamp::from_millis(100);
    let busy = rate.step(served, ServiceEvent::Served);
    rate.step(served + Duration::from_secs(600), ServiceEvent::Admitted);
    let after = rate.step(served + Duration::from_secs(600), ServiceEvent::Abandoned);
    assert_eq!(after, busy);
}
