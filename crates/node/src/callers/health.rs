//! What this node has observed of its back ends and services: circuit breakers, the retry budget
//! and the rates at which services end requests.

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

/// Maximum number of back ends, and of services, that are tracked. Others are served without a
/// circuit breaker or an estimate.
const MAX_TRACKED: usize = 8_192;
/// Back-off between attempts of one request.
const RETRY_BACKOFF: Backoff = Backoff {
    base: Duration::from_millis(10),
    max_delay: Duration::from_millis(500),
};
/// Settings of the circuit breakers.
const BREAKER_SETTINGS: BreakerSettings = BreakerSettings {
    failure_threshold: 3,
    open_backoff: Backoff {
        base: Duration::from_millis(500),
        max_delay: Duration::from_secs(10),
    },
    probe_timeout: Duration::from_secs(5),
};
/// Back-off before an engine that accepts no work is tried again.
const UNAVAILABLE_BACKOFF: Duration = Duration::from_millis(200);
/// Interval at which the reserve of the retry budget gains one retry.
const RETRY_BUDGET_REFILL_INTERVAL: Duration = Duration::from_secs(1);

/// The observations, shared by all threads.
pub struct BackendHealth {
    breakers: Sharded<SocketAddr, CircuitBreaker>,
    backoff_until: Sharded<SocketAddr, Timestamp>,
    rates: Sharded<ServiceName, ServiceRate>,
    budget: Mutex<RetryBudget>,
}

impl BackendHealth {
    /// Returns a state without observations.
    pub fn new(limits: &Limits) -> Self {
        let budget = BudgetSettings {
            retries_per_thousand: limits.retries_per_thousand,
            reserve: limits.retry_reserve,
            refill_interval: RETRY_BUDGET_REFILL_INTERVAL,
        };
        Self {
            breakers: Sharded::with_capacity_limit(MAX_TRACKED),
            backoff_until: Sharded::with_capacity_limit(MAX_TRACKED),
            rates: Sharded::with_capacity_limit(MAX_TRACKED),
            budget: Mutex::new(RetryBudget::new(budget, Timestamp::default())),
        }
    }

    /// Returns whether a back end may be used now, without claiming the probe of its circuit
    /// breaker.
    pub fn peek(&self, address: SocketAddr, now: Timestamp) -> BreakerDecision {
        self.breakers.with(&address, |shard| {
            let breaker = shard.get(&address);
            breaker.map_or(BreakerDecision::Admit, |breaker| breaker.peek(now))
        })
    }

    /// Passes an event to a back end's circuit breaker and returns its decision.
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
            report_breaker_change(metrics, address, was_closed, is_closed);
            return decision;
        }
        // A back end that has never failed needs no breaker.
        if event == BreakerEvent::Failure {
            let mut breaker = CircuitBreaker::new(BREAKER_SETTINGS);
            breaker.step(now, event);
            let _ = self.breakers.insert(address, breaker);
        }
        BreakerDecision::Admit
    }

    /// Starts the back-off of an engine that answered that it accepts no work now.
    pub fn start_backoff(&self, address: SocketAddr, now: Timestamp) {
        let _ = self
            .backoff_until
            .insert(address, now + UNAVAILABLE_BACKOFF);
    }

    /// Returns whether an engine is backing off because it recently answered that it accepts no
    /// work.
    pub fn is_backing_off(&self, address: SocketAddr, now: Timestamp) -> bool {
        self.backoff_until.with(&address, |shard| {
            shard.get(&address).is_some_and(|until| now < *until)
        })
    }

    /// Counts a request for the retry budget.
    pub fn count_request(&self, now: Timestamp) {
        self.budget.lock().step(now, BudgetEvent::Request);
    }

    /// Requests a retry from the budget. Returns the wait before it, or `None` if the budget is
    /// spent.
    pub fn request_retry(&self, metrics: &Metrics, now: Timestamp, retry: u32) -> Option<Duration> {
        let decision = self.budget.lock().step(now, BudgetEvent::Retry);
        let allowed = decision == BudgetDecision::Allowed;
        let label = if allowed { "allowed" } else { "budget-spent" };
        metrics.retries.with_label_values(&[label]).inc();
        allowed.then(|| RETRY_BACKOFF.delay(retry, rand::random()))
    }

    /// Passes an event to a service's rate and returns the wait to advise.
    pub fn record_service_event(
        &self,
        service: &ServiceName,
        now: Timestamp,
        event: ServiceEvent,
    ) -> Duration {
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

    /// Returns the wait to advise to a refused caller of a service.
    pub fn advised_wait(&self, service: &ServiceName) -> Duration {
        self.rates.with(service, |shard| {
            let rate = shard.get(service);
            rate.map_or_else(
                || ServiceRate::default().advised_wait(),
                ServiceRate::advised_wait,
            )
        })
    }

    /// Removes back-offs that are over, and breakers of back ends whose last attempt succeeded.
    pub fn sweep(&self, now: Timestamp) {
        self.backoff_until.retain(|_, until| now < *until);
        self.breakers
            .retain(|_, breaker| !breaker.has_no_failures());
    }
}

fn report_breaker_change(
    metrics: &Metrics,
    address: SocketAddr,
    was_closed: bool,
    is_closed: bool,
) {
    match (was_closed, is_closed) {
        (true, false) => {
            metrics.breakers_opened.inc();
            log::warn!("back end {address}: circuit breaker opened");
        }
        (false, true) => log::info!("back end {address}: circuit breaker closed"),
        _ => {}
    }
}
