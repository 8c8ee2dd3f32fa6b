//! The owner's side of one group: the loans that it has received and the grants that it has given.
//!
//! Invariant: at any time, the grants that are still usable add up to no more than the loans that
//! last at least as long. A new grant is backed only by loans that do not end before it, and all
//! older grants end no later than the new one.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use tansyhall_core::{NodeId, Timestamp};

use crate::division::Division;
use crate::key::{Amount, LimitKey};
use crate::message::{Grant, KeyAmount, ShareRequest, MAX_KEYS_PER_MESSAGE};
use crate::settings::ShareSettings;

/// Maximum number of grants of one limit to one node that are tracked separately. If there are more,
/// they are replaced by one grant with the largest amount and the latest end.
const MAX_TRACKED_GRANTS: usize = 4;

/// Interval at which expired loans are removed, and expired grants of limits that are no longer
/// requested.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// The base shares that one node has lent to this owner.
#[derive(Debug, Clone)]
struct Loan {
    division: Arc<Division>,
    ends_at: Timestamp,
}

/// A grant that may still be usable.
#[derive(Debug, Clone, Copy)]
struct OutstandingGrant {
    amount: Amount,
    ends_at: Timestamp,
}

/// The demand of one node for one limit, and the grants of the limit to it.
#[derive(Debug, Clone, Default)]
struct Borrower {
    demand: Amount,
    outstanding: Vec<OutstandingGrant>,
}

impl Borrower {
    /// Removes expired grants, and returns whether any grant is left.
    fn has_live_grants(&mut self, now: Timestamp) -> bool {
        self.outstanding.retain(|grant| grant.ends_at > now);
        !self.outstanding.is_empty()
    }

    /// Returns the largest amount that the node may be using.
    fn max_usable(&self) -> Amount {
        let amounts = self.outstanding.iter().map(|grant| grant.amount);
        amounts.max().unwrap_or(0)
    }

    /// Records a grant. An earlier, larger grant still counts until its end, because the message with
    /// the new grant may be lost.
    fn record(&mut self, grant: OutstandingGrant) {
        self.outstanding.retain(|old| old.amount > grant.amount);
        self.outstanding.push(grant);
        if self.outstanding.len() > MAX_TRACKED_GRANTS {
            let amount = self.max_usable();
            let ends_at = grant.ends_at;
            self.outstanding = vec![OutstandingGrant { amount, ends_at }];
        }
    }
}

/// The owner's side of one group.
#[derive(Debug, Clone)]
pub struct OwnedGroup {
    settings: ShareSettings,
    division: Arc<Division>,
    loans: BTreeMap<NodeId, Loan>,
    borrowers: BTreeMap<LimitKey, BTreeMap<NodeId, Borrower>>,
    swept_at: Timestamp,
}

impl OwnedGroup {
    /// Creates a group without loans and grants.
    pub fn new(settings: ShareSettings, division: Arc<Division>) -> Self {
        Self {
            settings,
            division,
            loans: BTreeMap::new(),
            borrowers: BTreeMap::new(),
            swept_at: Timestamp::default(),
        }
    }

    /// Accepts only loans of this division from now on. Earlier loans keep the division that they were
    /// made with.
    pub fn set_division(&mut self, division: Arc<Division>) {
        self.division = division;
    }

    /// Processes a request, and returns the answer to it.
    pub fn answer(
        &mut self,
        now: Timestamp,
        incarnation: u64,
        from: &NodeId,
        request: &ShareRequest,
    ) -> Grant {
        if now >= self.swept_at + SWEEP_INTERVAL {
            self.swept_at = now;
            self.remove_expired(now);
        }
        if request.owner_incarnation == incarnation
            && request.lent_division == self.division.digest()
        {
            self.record_loan(now, from, Timestamp(request.owner_time));
        }
        let wants = request.wants.iter().take(MAX_KEYS_PER_MESSAGE);
        let shares = wants.map(|want| KeyAmount {
            key: want.key,
            amount: self.grant(now, from, LimitKey(want.key), want.amount),
        });
        let shares = shares.filter(|share| share.amount > 0).collect();
        Grant {
            group: request.group,
            asker_incarnation: request.incarnation,
            asked_at: request.sent_at,
            owner_incarnation: incarnation,
            owner_time: now.0,
            shares,
        }
    }

    fn record_loan(&mut self, now: Timestamp, from: &NodeId, counted_from: Timestamp) {
        let ends_at = counted_from + self.settings.loan_ttl;
        let known_end = self.loans.get(from).map_or(now, |loan| loan.ends_at);
        if ends_at > known_end {
            let division = Arc::clone(&self.division);
            self.loans.insert(from.clone(), Loan { division, ends_at });
        }
    }

    fn grant(&mut self, now: Timestamp, to: &NodeId, key: LimitKey, demand: Amount) -> Amount {
        let ends_at = now + self.settings.grant_ttl;
        let backing = self.backing(key, ends_at);
        if backing == 0 {
            return 0;
        }
        let borrowers = self.borrowers.entry(key).or_default();
        borrowers.entry(to.clone()).or_default().demand = demand;
        borrowers.retain(|node, borrower| borrower.has_live_grants(now) || node == to);
        let others = borrowers.iter().filter(|(node, _)| *node != to);
        let held_by_others: Amount = others.map(|(_, borrower)| borrower.max_usable()).sum();
        let free = backing.saturating_sub(held_by_others);
        let demands: Vec<Amount> = borrowers.values().map(|borrower| borrower.demand).collect();
        let amount = demand.min(free).min(max_min_fair_share(backing, &demands));
        if let Some(borrower) = borrowers.get_mut(to) {
            borrower.record(OutstandingGrant { amount, ends_at });
        }
        amount
    }

    /// Returns the lent amount of a limit, counting only loans that do not end before the grant.
    fn backing(&self, key: LimitKey, grant_ends: Timestamp) -> Amount {
        let lasting = self
            .loans
            .values()
            .filter(|loan| loan.ends_at >= grant_ends);
        lasting.map(|loan| loan.division.lendable(key)).sum()
    }

    fn remove_expired(&mut self, now: Timestamp) {
        self.loans.retain(|_, loan| loan.ends_at > now);
        self.borrowers.retain(|_, borrowers| {
            borrowers.retain(|_, borrower| borrower.has_live_grants(now));
            !borrowers.is_empty()
        });
    }
}

/// Returns the maximum amount for any one node when `total` is divided by max-min fairness: every node
/// gets either its full demand or as much as any other node. Returns [`Amount::MAX`] if `total` covers
/// all demands.
pub fn max_min_fair_share(total: Amount, demands: &[Amount]) -> Amount {
    let mut demands = demands.to_vec();
    demands.sort_unstable();
    let mut left = total;
    let mut nodes = demands.len() as Amount;
    for demand in demands {
        let equal_share = left / nodes;
        if demand > equal_share {
            return equal_share;
        }
        left -= demand;
        nodes -= 1;
    }
    Amount::MAX
}
