//! The order in which members are probed, and the probes in progress.

use std::collections::HashMap;
use std::net::SocketAddr;

use rand::seq::SliceRandom;
use rand_chacha::ChaCha8Rng;
use tansyhall_core::{Incarnation, NodeId, Timestamp};

/// A probe without an answer so far.
#[derive(Debug, Clone)]
pub(crate) struct Probe {
    /// Whom it is about.
    pub(crate) target: NodeId,
    /// The sequence that the answer repeats.
    pub(crate) sequence: u32,
    /// When to ask others to probe on one's behalf; absent once they were asked.
    pub(crate) indirect_at: Option<Timestamp>,
    /// When the probe has failed.
    pub(crate) fails_at: Timestamp,
}

/// A probe carried out for someone else.
#[derive(Debug, Clone, Copy)]
struct RelayedProbe {
    requester: SocketAddr,
    sequence: u32,
    expires_at: Timestamp,
}

/// Whom to probe next, and what is in progress.
#[derive(Debug, Default)]
pub(crate) struct Prober {
    /// The probe of this period.
    pub(crate) current: Option<Probe>,
    round: Vec<NodeId>,
    next_sequence: u32,
    relayed: HashMap<u32, RelayedProbe>,
}

impl Prober {
    /// No probe yet. Numbers begin elsewhere in each life, so that a late answer to one is none to the
    /// next: incarnations are microseconds.
    pub(crate) fn new(incarnation: Incarnation) -> Self {
        Self {
            next_sequence: incarnation.0 as u32,
            ..Self::default()
        }
    }

    /// A sequence not used lately.
    pub(crate) fn sequence(&mut self) -> u32 {
        self.next_sequence = self.next_sequence.wrapping_add(1);
        self.next_sequence
    }

    /// The next member to probe. Every member has its turn once a round, in an order that is drawn
    /// anew each round, which bounds the time until a dead one is probed.
    pub(crate) fn next_target(
        &mut self,
        rng: &mut ChaCha8Rng,
        candidates: impl Fn() -> Vec<NodeId>,
        is_candidate: impl Fn(&NodeId) -> bool,
    ) -> Option<NodeId> {
        while let Some(name) = self.round.pop() {
            if is_candidate(&name) {
                return Some(name);
            }
        }
        self.round = candidates();
        self.round.shuffle(rng);
        self.round.pop()
    }

    /// Remembers a probe made for someone else; refuses when too many are in progress.
    pub(crate) fn relay(
        &mut self,
        now: Timestamp,
        requester: SocketAddr,
        sequence: u32,
        expires_at: Timestamp,
        capacity: usize,
    ) -> Option<u32> {
        self.relayed.retain(|_, relayed| relayed.expires_at > now);
        if self.relayed.len() >= capacity {
            return None;
        }
        let own = self.sequence();
        let probe = RelayedProbe {
            requester,
            sequence,
            expires_at,
        };
        self.relayed.insert(own, probe);
        Some(own)
    }

    /// Whom to pass an answer on to, and the sequence it was asked with.
    pub(crate) fn relayed(&mut self, sequence: u32) -> Option<(SocketAddr, u32)> {
        let relayed = self.relayed.remove(&sequence)?;
        Some((relayed.requester, relayed.sequence))
    }

    /// Whether the current probe is about `name` and has this sequence.
    pub(crate) fn is_answered_by(&self, name: &NodeId, sequence: u32) -> bool {
        let current = self.current.as_ref();
        current.is_some_and(|probe| probe.sequence == sequence && probe.target == *name)
    }

    /// Ends the current probe if `sequence` answers it.
    pub(crate) fn answer(&mut self, sequence: u32) {
        if self
            .current
            .as_ref()
            .is_some_and(|probe| probe.sequence == sequence)
        {
            self.current = None;
        }
    }
}
