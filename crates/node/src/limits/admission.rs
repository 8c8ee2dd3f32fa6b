//! Admission of one request by its tenant's limits and the node's places. What it holds is given
//! back when it is dropped, however the request ends.

use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::Arc;
use std::time::Duration;

use tansyhall_admission::{BucketDecision, BucketEvent, SlotDecision};
use tansyhall_core::TenantName;
use tansyhall_shares::LimitKey;

use super::keys::LimitKeys;
use super::LimitKeeper;
use crate::callers::admit::Terms;
use crate::state::Node;

/// Why a request was not admitted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// The tenant's requests in a second are spent.
    Requests {
        /// When one more would be admitted.
        retry_after: Duration,
    },
    /// The tenant's tokens in a second are spent.
    Tokens {
        /// When as many would be admitted.
        retry_after: Duration,
    },
    /// The tenant has as many requests in progress as it may.
    Concurrent,
    /// The node has no places left.
    Full,
    /// The node's last places are for tenants that hold fewer.
    Unfair,
}

impl Refusal {
    /// The refusal's name in metrics.
    pub const fn name(self) -> &'static str {
        match self {
            Refusal::Requests { .. } => "requests-limit",
            Refusal::Tokens { .. } => "tokens-limit",
            Refusal::Concurrent => "concurrent-limit",
            Refusal::Full => "full",
            Refusal::Unfair => "fair-part",
        }
    }

    /// Whether the tenant's own limit was reached, rather than the node's places.
    pub const fn is_limit(self) -> bool {
        !matches!(self, Refusal::Full | Refusal::Unfair)
    }

    /// When to come back, if a rate says so.
    pub const fn retry_after(self) -> Option<Duration> {
        match self {
            Refusal::Requests { retry_after } | Refusal::Tokens { retry_after } => {
                Some(retry_after)
            }
            Refusal::Concurrent | Refusal::Full | Refusal::Unfair => None,
        }
    }
}

/// An admitted request's hold on its tenant's limits and on a place of the node.
pub struct Admission {
    node: Arc<Node>,
    tenant: Option<TenantName>,
    has_place: bool,
    concurrent: Option<LimitKey>,
    tokens: Option<LimitKey>,
    estimated_tokens: u32,
    prompt_tokens: u32,
    generated: AtomicU32,
}

impl Admission {
    /// Admits a request, or says which limit stands against it. What a request that is refused
    /// had taken of other limits is given back.
    pub fn ask(node: &Arc<Node>, terms: &Terms) -> Result<Self, Refusal> {
        let in_force = node.in_force.load_full();
        node.limits.divide(node.clock.now(), &in_force);
        let keys = match &terms.tenant {
            Some(tenant) => LimitKeys::of(&in_force, &terms.service, tenant),
            None => LimitKeys::default(),
        };
        let mut admission = Self {
            node: Arc::clone(node),
            tenant: terms.tenant.clone(),
            has_place: false,
            concurrent: None,
            tokens: None,
            estimated_tokens: terms.prompt_tokens.saturating_add(terms.output_tokens),
            prompt_tokens: terms.prompt_tokens,
            generated: AtomicU32::new(0),
        };
        admission.take_place()?;
        admission.take_limits(&keys)?;
        Ok(admission)
    }

    /// Notes how many tokens have been generated.
    pub fn note_generated(&self, tokens: u32) {
        self.generated.fetch_max(tokens, Ordering::Relaxed);
    }

    fn keeper(&self) -> &LimitKeeper {
        &self.node.limits
    }

    fn take_place(&mut self) -> Result<(), Refusal> {
        let decision = self.keeper().places.lock().acquire(self.tenant.clone());
        match decision {
            SlotDecision::Admitted => {
                self.has_place = true;
                Ok(())
            }
            SlotDecision::Full => Err(Refusal::Full),
            SlotDecision::AboveFairShare => Err(Refusal::Unfair),
        }
    }

    /// Takes the concurrent limit first and the requests' last, since a request counts as soon as
    /// it is taken, while the others are given back.
    fn take_limits(&mut self, keys: &LimitKeys) -> Result<(), Refusal> {
        let now = self.node.clock.now();
        if let Some(key) = keys.concurrent {
            if !self.keeper().enter(now, key) {
                return Err(Refusal::Concurrent);
            }
            self.concurrent = Some(key);
        }
        if let Some(key) = keys.tokens {
            let units = u64::from(self.estimated_tokens);
            if let BucketDecision::Refused { retry_after } = self.keeper().take(now, key, units) {
                return Err(Refusal::Tokens { retry_after });
            }
            self.tokens = Some(key);
        }
        if let Some(key) = keys.requests {
            if let BucketDecision::Refused { retry_after } = self.keeper().take(now, key, 1) {
                return Err(Refusal::Requests { retry_after });
            }
        }
        Ok(())
    }

    /// Tokens that the request used: none if nothing was generated.
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
        self.keeper().correct(self.node.clock.now(), key, event);
    }
}

impl Drop for Admission {
    fn drop(&mut self) {
        if let Some(key) = self.tokens {
            self.correct_tokens(key);
        }
        if let Some(key) = self.concurrent {
            self.keeper().leave(key);
        }
        if self.has_place {
            self.keeper().places.lock().release(&self.tenant);
        }
    }
}
