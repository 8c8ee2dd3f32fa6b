//! Decides whether a request may be attempted, retried, or should be sent again later.
//! Each decision is made by a deterministic state machine: the caller passes the time with each event, and
//! nothing in this crate reads a clock or a random source.

#![forbid(unsafe_code)]

pub mod backoff;
pub mod circuit_breaker;
pub mod fairness;
pub mod retry_budget;
pub mod service_rate;
pub mod token_bucket;

pub use backoff::Backoff;
pub use circuit_breaker::{BreakerDecision, BreakerEvent, BreakerSettings, CircuitBreaker};
pub use fairness::{FairSlots, SlotDecision};
pub use retry_budget::{BudgetDecision, BudgetEvent, BudgetSettings, RetryBudget};
pub use service_rate::{ServiceEvent, ServiceRate};
pub use token_bucket::{BucketDecision, BucketEvent, TokenBucket};
