//! A node's claim on one pool. The node creates the pool's key by compare-and-swap, attaches it to
//! its lease, and stores the lease identifier in the value. The key alone determines who holds the
//! pool. A node whose create call got no answer therefore learns the result by reading the key, and
//! a restarted node, which has a new lease, never mistakes the key of its previous incarnation for
//! its own.
//!
//! Implements `Holder` in `spec/authority.pml` from the label `claim` to the label `seal`.

use tansyhall_core::hash::rendezvous_weight;
use tansyhall_core::{Duration, NodeId, PoolName, Timestamp};

use crate::fence::Epoch;
use crate::lease::Lease;

/// The pool's key as read from the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClaimRecord {
    /// The lease identifier in the key's value.
    pub lease: Lease,
    /// The store revision at which the key was created.
    pub epoch: Epoch,
}

/// Input to [`PoolClaim::step`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClaimEvent {
    /// The key was read from the store.
    Observed {
        /// The key's content, or `None` if the key does not exist.
        record: Option<ClaimRecord>,
        /// The lease that the node held when the key was read, if any.
        lease: Option<Lease>,
    },
    /// The node's lease has lapsed, and the store has deleted the key with it.
    LeaseLost,
}

/// What the caller of [`PoolClaim::step`] must do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClaimAction {
    /// Do nothing until the key is read again.
    Wait,
    /// Create the key under this lease if it does not exist, then read it, whatever the answer to the
    /// create call was.
    Create(Lease),
    /// The node now holds the pool.
    Acquired(Epoch),
    /// The node no longer holds the pool.
    Lost,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    HeldByOther,
    FreeSince(Timestamp),
    Held(Epoch),
}

/// A node's claim on one pool.
#[derive(Debug, Clone)]
pub struct PoolClaim {
    delay: Duration,
    state: State,
}

impl PoolClaim {
    /// Creates a claim that waits for `delay` after it finds the pool free.
    pub fn new(delay: Duration) -> Self {
        Self {
            delay,
            state: State::HeldByOther,
        }
    }

    /// Returns the epoch in which the node holds the pool, or `None` if it does not hold it.
    pub fn held_epoch(&self) -> Option<Epoch> {
        match self.state {
            State::Held(epoch) => Some(epoch),
            State::HeldByOther | State::FreeSince(_) => None,
        }
    }

    /// Returns whether the node needs a lease: either to keep the pool, or to claim it because it is
    /// free and the delay has passed.
    pub fn needs_lease(&self, now: Timestamp) -> bool {
        match self.state {
            State::Held(_) => true,
            State::FreeSince(since) => now.since(since) >= self.delay,
            State::HeldByOther => false,
        }
    }

    /// Processes an event and returns the next action.
    pub fn step(&mut self, now: Timestamp, event: ClaimEvent) -> ClaimAction {
        match event {
            ClaimEvent::LeaseLost => self.set_not_held(State::HeldByOther),
            ClaimEvent::Observed {
                record: Some(record),
                lease,
            } if lease == Some(record.lease) => self.set_held(record.epoch),
            ClaimEvent::Observed {
                record: Some(_), ..
            } => self.set_not_held(State::HeldByOther),
            ClaimEvent::Observed {
                record: None,
                lease,
            } => self.step_while_free(now, lease),
        }
    }

    fn set_held(&mut self, epoch: Epoch) -> ClaimAction {
        if self.state == State::Held(epoch) {
            return ClaimAction::Wait;
        }
        self.state = State::Held(epoch);
        ClaimAction::Acquired(epoch)
    }

    fn set_not_held(&mut self, state: State) -> ClaimAction {
        let was_held = self.held_epoch().is_some();
        self.state = state;
        if was_held {
            return ClaimAction::Lost;
        }
        ClaimAction::Wait
    }

    fn step_while_free(&mut self, now: Timestamp, lease: Option<Lease>) -> ClaimAction {
        let since = match self.state {
            State::FreeSince(since) => since,
            State::HeldByOther | State::Held(_) => return self.set_not_held(State::FreeSince(now)),
        };
        match lease {
            Some(lease) if now.since(since) >= self.delay => ClaimAction::Create(lease),
            _ => ClaimAction::Wait,
        }
    }
}

/// Returns how long a node waits before it claims a free pool: at most `max_delay`, and less the
/// higher its rendezvous weight for the pool is. This distributes the pools over the running nodes
/// without communication between them.
pub fn claim_delay(pool: &PoolName, node: &NodeId, max_delay: Duration) -> Duration {
    let weight = rendezvous_weight(pool.as_ref(), node.as_ref());
    let relative_weight = weight as f64 / u64::MAX as f64;
    max_delay.mul_f64(1.0 - relative_weight)
}
