//! The order in which members are probed, and the probes in progress.

use std::collections::HashMap;
use std::net::SocketAddr;

use rand::seq::SliceRandom;
use rand_chacha::ChaCha8Rng;
use tansyhall_core::{Incarnation, NodeId, Timestamp};

/// A probe that has not been answered yet.
#[derive(Debug, Clone)]
pub(crate) struct Probe {
    /// The probed member.
    pub(crate) target: NodeId,
    /// The sequence number, which the answer repeats.
    pub(crate) sequence: u32,
    /// The time at which other members are requested to probe the target. `None` once they have
    /// been requested.
    pub(crate) indirect_at: Option<Timestamp>,
    /// The time at which the probe fails if it has not been answered.
    pub(crate) fails_at: Timestamp,
}

/// A probe sent on behalf of another member.
#[derive(Debug, Clone, Copy)]
struct RelayedProbe {
    requester: SocketAddr,
    sequence: u32,
    expires_at: Timestamp,
}

/// Selects the members to probe, and holds the probes in progress.
#[derive(Debug, Default)]
pub(crate) struct Prober {
    /// The probe of this period.
    pub(crate) current: Option<Probe>,
    remaining_targets: Vec<NodeId>,
    last_sequence: u32,
    relayed_probes: HashMap<u32, RelayedProbe>,
}

impl Prober {
    /// Creates a prober without a probe in progress. The sequence numbers start at a different
    /// value in each incarnation, so that a late answer to an earlier incarnation is not accepted.
    /// They differ because an incarnation is a start time in microseconds.
    pub(crate) fn new(incarnation: Incarnation) -> Self {
        Self {
            last_sequence: incarnation.0 as u32,
            ..Self::default()
        }
    }

    /// Returns a sequence number that has not been used recently.
    pub(crate) fn take_sequence(&mut self) -> u32 {
        self.last_sequence = self.last_sequence.wrapping_add(1);
        self.last_sequence
    }

    /// Returns the next member to probe. Every member is probed once per round, in a new random
    /// order each round. This bounds the time until a dead member is probed.
    pub(crate) fn next_target(
        &mut self,
        rng: &mut ChaCha8Rng,
        list_candidates: impl Fn() -> Vec<NodeId>,
        is_candidate: impl Fn(&NodeId) -> bool,
    ) -> Option<NodeId> {
        while let Some(name) = self.remaining_targets.pop() {
            if is_candidate(&name) {
                return Some(name);
            }
        }
        self.remaining_targets = list_candidates();
        self.remaining_targets.shuffle(rng);
        self.remaining_targets.pop()
    }

    /// Registers a probe on behalf of another member and returns its sequence number, or `None` if
    /// `capacity` such probes are in progress.
    pub(crate) fn register_relayed(
        &mut self,
        now: Timestamp,
        requester: SocketAddr,
        sequence: u32,
        expires_at: Timestamp,
        capacity: usize,
    ) -> Option<u32> {
        self.relayed_probes
            .retain(|_, relayed| relayed.expires_at > now);
        if self.relayed_probes.len() >= capacity {
            return None;
        }
        let own_sequence = self.take_sequence();
        let probe = RelayedProbe {
            requester,
            sequence,
            expires_at,
        };
        self.relayed_probes.insert(own_sequence, probe);
        Some(own_sequence)
    }

    /// Removes a probe on behalf of another member, and returns that member's address and its
    /// sequence number.
    pub(crate) fn take_relayed(&mut self, sequence: u32) -> Option<(SocketAddr, u32)> {
        let relayed = self.relayed_probes.remove(&sequence)?;
        Some((relayed.requester, relayed.sequence))
    }

    /// Returns whether an answer from `name` with this sequence number answers the current probe.
    pub(crate) fn is_answered_by(&self, name: &NodeId, sequence: u32) -> bool {
        let current = self.current.as_ref();
        current.is_some_and(|probe| probe.sequence == sequence && probe.target == *name)
    }

    /// Ends the current probe if it has this sequence number.
    pub(crate) fn complete(&mut self, sequence: u32) {
        if self
            .current
            .as_ref()
            .is_some_and(|probe| probe.sequence == sequence)
        {
            self.current = None;
        }
    }
}
