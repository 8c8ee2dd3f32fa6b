//! What this node has observed of its back ends: circuit breakers, the retry budget and the rates
//! at which services end requests.

use std::net::SocketAddr;
use std::time::Duration;

use parking_lot::Mutex;
use tansyhall_admission::{
    Backoff, BreakerDecision, BreakerEvent, BreakerSettings, BudgetDecision, BudgetEvent,
    BudgetSettings, CircuitBreaker, RetryBudget, ServiceEvent, ServiceRate,
};
use tansyhall_config::settings::Limits;
use tansyhall_core::{ServiceName, Sharded, Timestamp};

use crate::metrics::Metrics;

/// Most back ends and services followed; more are served without a breaker or an estimate.
const MAX_FOLLOWED: usize = 8_192;
/// Wait between attempts of one request.
const RETRY_BACKOFF: Backoff = Backoff {
    base: Duration::from_millis(10),
    max_delay: Duration::from_millis(500),
};
/// Sizes of the breakers.
const BREAKER: BreakerSettings = BreakerSettings {
    failure_threshold: 3,
    open_backoff: Backoff {
        base: Duration::from_millis(500),
        max_delay: Duration::from_secs(10),
    },
    probe_timeout: Duration::from_secs(5),
};
/// How long an engine that accepts no work is left alone before it is asked again.
const UNAVAILABLE_PAUSE: Duration = Duration::from_millis(200);
/// Time in which the budget's reserve gains one retry.
const BUDGET_REFILL: Duration = Duration::from_secs(1);

/// The observations, shared by every thread.
pub struct BackendHealth {
    breakers: Sharded<SocketAddr, CircuitBreaker>,
    paused_until: Sharded<SocketAddr, Timestamp>,
    rates: Sharded<ServiceName, ServiceRate>,
    budget: Mutex<RetryBudget>,
}

impl BackendHealth {
    /// Nothing observed yet.
    pub fn new(limits: &Limits) -> Self {
        let budget = BudgetSettings {
            retries_per_thousand: limits.retries_per_thousand,
            reserve: limits.retry_reserve,
            refill_interval: BUDGET_REFILL,
        };
        Self {
            breakers: Sharded::with_capacity_limit(MAX_FOLLOWED),
            paused_until: Sharded::with_capacity_limit(MAX_FOLLOWED),
            rates: Sharded::with_capacity_limit(MAX_FOLLOWED),
            budget: Mutex::new(RetryBudget::new(budget, Timestamp::default())),
        }
    }

    /// Whether a back end may be used now, without taking the probe's place.
    pub fn peek(&self, address: SocketAddr, now: Timestamp) -> BreakerDecision {
        self.breakers.with(&address, |shard| {
            let breaker = shard.get(&address);
            breaker.map_or(BreakerDecision::Admit, |breaker| breaker.peek(now))
        })
    }

    /// Tells a back end's breaker of an event.
    pub fn observe(
        &self,
        metrics: &Metrics,
        address: SocketAddr,
        now: Timestamp,
        event: BreakerEvent,
    ) -> BreakerDecision {
        let known = self.breakers.with(&address, |shard| {
            let breaker = shard.get_mut(&address)?;
            let was_closed = breaker.is_closed();
            let decision = breaker.step(now, event);
            Some((decision, was_closed, breaker.is_closed()))
        });
        if let Some((decision, was_closed, is_closed)) = known {
            note_change(metrics, address, was_closed, is_closed);
            return decision;
        }
        // Back ends that have never failed need no breaker.
        if event == BreakerEvent::Failure {
            let mut breaker = CircuitBreaker::new(BREAKER);
            breaker.step(now, event);
            let _ = self.breakers.insert(address, breaker);
        }
        BreakerDecision::Admit
    }

    /// Leaves an engine alone for a moment that said it accepts no work now.
    pub fn pause(&self, address: SocketAddr, now: Timestamp) {
        let _ = self.paused_until.insert(address, now + UNAVAILABLE_PAUSE);
    }

    /// Whether an engine said a moment ago that it accepts no work.
    pub fn is_paused(&self, address: SocketAddr, now: Timestamp) -> bool {
        self.paused_until.with(&address, |shard| {
            shard.get(&address).is_some_and(|until| now < *until)
        })
    }

    /// Counts a request for the retry budget.
    pub fn request_arrived(&self, now: Timestamp) {
        self.budget.lock().step(now, BudgetEvent::Request);
    }

    /// Asks the budget for a retry; returns the wait before it, or `None` if the budget is spent.
    pub fn retry(&self, metrics: &Metrics, now: Timestamp, retry: u32) -> Option<Duration> {
        let decision = self.budget.lock().step(now, BudgetEvent::Retry);
        let allowed = decision == BudgetDecision::Allowed;
        let label = if allowed { "allowed" } else { "budget-spent" };
        metrics.retries.with_label_values(&[label]).inc();
        allowed.then(|| RETRY_BACKOFF.delay(retry, rand::random()))
    }

    /// Tells a service's rate of an event, and returns the wait to advise.
    pub fn service(&self, service: &ServiceName, now: Timestamp, event: ServiceEvent) -> Duration {
        let known = self.rates.with(service, |shard| {
            shard.get_mut(service).map(|rate| rate.step(now, event))
        });
        known.unwrap_or_else(|| {
            let mut rate = ServiceRate::default();
            let wait = rate.step(now, event);
            let _ = self.rates.insert(service.clone(), rate);
            wait
        })
    }

    /// The wait to advise to a caller of a service that is refused.
    pub fn advised_wait(&self, service: &ServiceName) -> Duration {
        self.rates.with(service, |shard| {
            let rate = shard.get(service);
            rate.map_or_else(
                || ServiceRate::default().advised_wait(),
                ServiceRate::advised_wait,
            )
        })
    }

    /// Forgets pauses that are over, and breakers of back ends whose last attempt succeeded.
    pub fn sweep(&self, now: Timestamp) {
        self.paused_until.retain(|_, until| now < *until);
        self.breakers
            .retain(|_, breaker| !breaker.has_no_failures());
    }
}

fn note_change(metrics: &Metrics, address: SocketAddr, was_closed: bool, is_closed: bool) {
    match (was_closed, is_closed) {
        (true, false) => {
            metrics.breakers_opened.inc();
            log::warn!("back end {address}: circuit breaker opened");
        }
        (false, true) => log::info!("back end {address}: circuit breaker closed"),
        _ => {}
    }
}
