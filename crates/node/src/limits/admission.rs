//! Admission of one request by its tenant's limits and the node's slots. What the request holds is
//! released when the admission is dropped, however the request ends.

use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::Arc;
use std::time::Duration;

use tansyhall_admission::{BucketDecision, BucketEvent, SlotDecision};
use tansyhall_core::TenantName;
use tansyhall_shares::LimitKey;

use super::keys::LimitKeys;
use super::TenantLimiter;
use crate::callers::admit::RequestParams;
use crate::state::Node;

/// Why a request was not admitted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// The tenant's requests per second are used up.
    Requests {
        /// Time until one more would be admitted.
        retry_after: Duration,
    },
    /// The tenant's tokens per second are used up.
    Tokens {
        /// Time until the same number of tokens would be admitted.
        retry_after: Duration,
    },
    /// The tenant has its maximum number of requests in progress.
    Concurrent,
    /// The node has no free slots.
    Full,
    /// The remaining slots of the node are reserved for tenants below their fair share.
    AboveFairShare,
}

impl Refusal {
    /// Returns the refusal's name in metrics.
    pub const fn name(self) -> &'static str {
        match self {
            Refusal::Requests { .. } => "requests-limit",
            Refusal::Tokens { .. } => "tokens-limit",
            Refusal::Concurrent => "concurrent-limit",
            Refusal::Full => "full",
            Refusal::AboveFairShare => "fair-part",
        }
    }

    /// Returns whether the tenant's own limit was reached, rather than the node's number of slots.
    pub const fn is_limit(self) -> bool {
        !matches!(self, Refusal::Full | Refusal::AboveFairShare)
    }

    /// Returns the time after which to retry, if a rate determines it.
    pub const fn retry_after(self) -> Option<Duration> {
        match self {
            Refusal::Requests { retry_after } | Refusal::Tokens { retry_after } => {
                Some(retry_after)
            }
            Refusal::Concurrent | Refusal::Full | Refusal::AboveFairShare => None,
        }
    }
}

/// What an admitted request holds of its tenant's limits and of the node's slots.
pub struct Admission {
    node: Arc<Node>,
    tenant: Option<TenantName>,
    has_slot: bool,
    concurrent: Option<LimitKey>,
    tokens: Option<LimitKey>,
    estimated_tokens: u32,
    prompt_tokens: u32,
    generated: AtomicU32,
}

impl Admission {
    /// Admits a request, or returns the limit that refuses it. What a refused request had taken of
    /// other limits is released.
    pub fn acquire(node: &Arc<Node>, params: &RequestParams) -> Result<Self, Refusal> {
        let in_force = node.in_force.load_full();
        node.limits.apply_limits(node.clock.now(), &in_force);
        let keys = match &params.tenant {
            Some(tenant) => LimitKeys::of(&in_force, &params.service, tenant),
            None => LimitKeys::default(),
        };
        let mut admission = Self {
            node: Arc::clone(node),
            tenant: params.tenant.clone(),
            has_slot: false,
            concurrent: None,
            tokens: None,
            estimated_tokens: params.prompt_tokens.saturating_add(params.output_tokens),
            prompt_tokens: params.prompt_tokens,
            generated: AtomicU32::new(0),
        };
        admission.take_slot()?;
        admission.take_limits(&keys)?;
        Ok(admission)
    }

    /// Records how many tokens have been generated.
    pub fn record_generated(&self, tokens: u32) {
        self.generated.fetch_max(tokens, Ordering::Relaxed);
    }

    fn limiter(&self) -> &TenantLimiter {
        &self.node.limits
    }

    fn take_slot(&mut self) -> Result<(), Refusal> {
        let decision = self.limiter().slots.lock().acquire(self.tenant.clone());
        match decision {
            SlotDecision::Admitted => {
                self.has_slot = true;
                Ok(())
            }
            SlotDecision::Full => Err(Refusal::Full),
            SlotDecision::AboveFairShare => Err(Refusal::AboveFairShare),
        }
    }

    /// Takes from the concurrency limit first and from the request rate last: a request counts
    /// against the rate as soon as it is taken, while the other two are given back.
    fn take_limits(&mut self, keys: &LimitKeys) -> Result<(), Refusal> {
        let now = self.node.clock.now();
        if let Some(key) = keys.concurrent {
            if !self.limiter().start_request(now, key) {
                return Err(Refusal::Concurrent);
            }
            self.concurrent = Some(key);
        }
        if let Some(key) = keys.tokens {
            let units = u64::from(self.estimated_tokens);
            if let BucketDecision::Refused { retry_after } = self.limiter().take(now, key, units) {
                return Err(Refusal::Tokens { retry_after });
            }
            self.tokens = Some(key);
        }
        if let Some(key) = keys.requests {
            if let BucketDecision::Refused { retry_after } = self.limiter().take(now, key, 1) {
                return Err(Refusal::Requests { retry_after });
            }
        }
        Ok(())
    }

    /// Returns the number of tokens that the request used; zero if nothing was generated.
    fn used_tokens(&self) -> u32 {
        match self.generated.load(Ordering::Relaxed) {
            0 => 0,
            generated => self.prompt_tokens.saturating_add(generated),
        }
    }

    fn correct_tokens(&self, key: LimitKey) {
        let used = self.used_tokens();
        let event = if used > self.estimated_tokens {
            BucketEvent::Charge(u64::from(used - self.estimated_tokens))
        } else {
            BucketEvent::Refund(u64::from(self.estimated_tokens - used))
        };
        self.limiter().correct(self.node.clock.now(), key, event);
    }
}

impl Drop for Admission {
    fn drop(&mut self) {
        if let Some(key) = self.tokens {
            self.correct_tokens(key);
        }
        if let Some(key) = self.concurrent {
            self.limiter().finish_request(key);
        }
        if self.has_slot {
            self.limiter().slots.lock().release(&self.tenant);
        }
    }
}
