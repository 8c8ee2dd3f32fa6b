//! A node's claim on one pool. The pool's key is created by compare-and-swap, attached to the
//! node's lease, with the lease's identifier in its value. Who holds the pool is only ever read
//! from the key: an answer that was lost is thereby read back, and a restarted node, which has
//! another lease, never takes the key of its earlier incarnation for its own.
//!
//! Implements the steps from `claim` to `seal` of `Holder` in `spec/authority.pml`.

use tansyhall_core::hash::rendezvous_weight;
use tansyhall_core::{Duration, NodeId, PoolName, Timestamp};

use crate::fence::Epoch;
use crate::lease::Lease;

/// The pool's key as read from the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClaimRecord {
    /// The lease named in the key's value.
    pub lease: Lease,
    /// The revision at which the key was created.
    pub epoch: Epoch,
}

/// What the owner tells the claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClaimEvent {
    /// The key was read while the node held this lease.
    Observed {
        /// The key, or `None` if it does not exist.
        record: Option<ClaimRecord>,
        /// The node's lease.
        lease: Option<Lease>,
    },
    /// The node's lease is gone, and the key with it.
    LeaseLost,
}

/// What the claim asks its owner to do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClaimAction {
    /// Nothing before the next reading of the key.
    Wait,
    /// Create the key under this lease if it does not exist, then read it, whatever the answer.
    Create(Lease),
    /// The pool is held from now on.
    Acquired(Epoch),
    /// The pool is no longer held.
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
    /// A claim that waits for `delay` after it finds the pool free.
    pub fn new(delay: Duration) -> Self {
        Self {
            delay,
            state: State::HeldByOther,
        }
    }

    /// The epoch under which the pool is held.
    pub fn held(&self) -> Option<Epoch> {
        match self.state {
            State::Held(epoch) => Some(epoch),
            State::HeldByOther | State::FreeSince(_) => None,
        }
    }

    /// Whether the node needs a lease: to keep the pool, or to claim it now that it is free and the
    /// delay is over.
    pub fn needs_lease(&self, now: Timestamp) -> bool {
        match self.state {
            State::Held(_) => true,
            State::FreeSince(since) => now.since(since) >= self.delay,
            State::HeldByOther => false,
        }
    }

    /// The next action after an event.
    pub fn step(&mut self, now: Timestamp, event: ClaimEvent) -> ClaimAction {
        match event {
            ClaimEvent::LeaseLost => self.leave(State::HeldByOther),
            ClaimEvent::Observed {
                record: Some(record),
                lease,
            } if lease == Some(record.lease) => self.acquire(record.epoch),
            ClaimEvent::Observed {
                record: Some(_), ..
            } => self.leave(State::HeldByOther),
            ClaimEvent::Observed {
                record: None,
                lease,
            } => self.free(now, lease),
        }
    }

    fn acquire(&mut self, epoch: Epoch) -> ClaimAction {
        if self.state == State::Held(epoch) {
            return ClaimAction::Wait;
        }
        self.state = State::Held(epoch);
        ClaimAction::Acquired(epoch)
    }

    fn leave(&mut self, state: State) -> ClaimAction {
        let held = self.held().is_some();
        self.state = state;
        if held {
            return ClaimAction::Lost;
        }
        ClaimAction::Wait
    }

    fn free(&mut self, now: Timestamp, lease: Option<Lease>) -> ClaimAction {
        let since = match self.state {
            State::FreeSince(since) => since,
            State::HeldByOther | State::Held(_) => return self.leave(State::FreeSince(now)),
        };
        match lease {
            Some(lease) if now.since(since) >= self.delay => ClaimAction::Create(lease),
            _ => ClaimAction::Wait,
        }
    }
}

/// How long a node waits before it claims a free pool: the higher its rendezvous weight for the
/// pool, the shorter, up to `spread`. Nodes that run spread the pools among themselves this way
/// without talking.
pub fn claim_delay(pool: &PoolName, node: &NodeId, spread: Duration) -> Duration {
    let weight = rendezvous_weight(pool.as_ref(), node.as_ref());
    let part = weight as f64 / u64::MAX as f64;
    spread.mul_f64(1.0 - part)
}
