//! Selection of the gateway that grants leases, the leader, by votes that expire.
//!
//! A vote states the time at which the leader sent the last report that the voter has received. It is valid for
//! [`VALIDITY`] after that time, on the leader's clock. A voter votes for another gateway only when its last vote has
//! expired, which it counts from the later time at which it sent the vote. Two gateways that know the same members,
//! or sets that differ by at most [`MAX_VIEW_DIFFERENCE`] members, therefore never have a majority at the same time.
//! A restarted gateway does not know its votes and waits for as long before it votes.

use std::collections::{BTreeMap, BTreeSet};

use tansyhall_core::Timestamp;

use super::{MemberKey, MARGIN, VALIDITY};
use crate::load_exchange::GatewayKey;

/// Largest difference between the numbers of members that two gateways know with which majorities still have a gateway
/// in common.
pub const MAX_VIEW_DIFFERENCE: u32 = 3;

/// A vote for a leader.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Vote {
    /// The incarnation of the gateway that the vote is for.
    pub leader: GatewayKey,
    /// When that gateway sent the last report that the voter has received, on that gateway's clock.
    pub seen: Timestamp,
}

/// The own vote, and the votes for this gateway.
#[derive(Debug)]
pub struct Leadership {
    voted_for: Option<MemberKey>,
    /// The own votes for `voted_for` are valid at most until then.
    bound_until: Timestamp,
    votes: BTreeMap<MemberKey, Timestamp>,
    led_since: Option<Timestamp>,
}

impl Leadership {
    /// Creates the state of a gateway that starts now and does not know how it has voted before.
    pub fn new(now: Timestamp) -> Self {
        Self {
            voted_for: None,
            bound_until: now + VALIDITY + MARGIN,
            votes: BTreeMap::new(),
            led_since: None,
        }
    }

    /// Votes for a gateway; returns whether that is allowed now.
    pub fn vote(&mut self, now: Timestamp, member: MemberKey) -> bool {
        if self.voted_for != Some(member) && now < self.bound_until {
            return false;
        }
        self.voted_for = Some(member);
        self.bound_until = now + VALIDITY + MARGIN;
        true
    }

    /// Counts a vote for this gateway that was caused by its report of the time `seen`.
    pub fn count(&mut self, now: Timestamp, voter: MemberKey, seen: Timestamp) {
        if seen <= now {
            let until = self.votes.entry(voter).or_default();
            *until = (*until).max(seen + VALIDITY);
        }
    }

    /// Updates whether this gateway has the votes of most of `members`.
    pub fn update(&mut self, now: Timestamp, members: &BTreeSet<MemberKey>) {
        self.votes
            .retain(|voter, until| *until > now && members.contains(voter));
        let has_majority = self.votes.len() * 2 > members.len();
        self.led_since = match has_majority {
            true => self.led_since.or(Some(now)),
            false => None,
        };
    }

    /// Returns whether this gateway is the leader.
    pub fn leads(&self) -> bool {
        self.led_since.is_some()
    }

    /// Returns whether this gateway is the leader and all leases of earlier leaders have expired.
    pub fn may_grant(&self, now: Timestamp) -> bool {
        let waited = |since: Timestamp| now >= since + VALIDITY + MARGIN;
        self.led_since.is_some_and(waited)
    }
}
