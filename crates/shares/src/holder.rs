//! The holder's side of one group: the node's base shares, which are lent to at most one owner at a
//! time, and the shares that were granted to the node.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::sync::Arc;

use tansyhall_core::{NodeId, Timestamp};

use crate::division::Division;
use crate::key::{Amount, GroupId, LimitKey};
use crate::message::{Grant, KeyAmount, ShareRequest, MAX_KEYS_PER_MESSAGE};
use crate::settings::ShareSettings;

/// Demand that has grown since the last request by more than one part in this is requested early.
const GROWTH_DIVISOR: Amount = 4;

/// The loan of the base shares to one incarnation of an owner. A restarted owner counts as another
/// owner, because shares that its previous incarnation granted may still be in use.
#[derive(Debug, Clone)]
struct LoanToOwner {
    owner: NodeId,
    incarnation: u64,
    until: Timestamp,
}

/// An owner, and its incarnation and time in the last answer received from it.
#[derive(Debug, Clone)]
struct KnownOwner {
    owner: NodeId,
    incarnation: u64,
    time: u64,
}

/// A share that an owner has granted.
#[derive(Debug, Clone, Copy)]
struct GrantedShare {
    amount: Amount,
    until: Timestamp,
}

/// The holder's side of one group.
#[derive(Debug, Clone)]
pub struct HeldGroup {
    settings: ShareSettings,
    group: GroupId,
    division: Arc<Division>,
    /// Before this time, the base shares may be on loan from a previous incarnation of this node.
    base_shares_from: Timestamp,
    loan: Option<LoanToOwner>,
    known_owner: Option<KnownOwner>,
    granted: BTreeMap<LimitKey, GrantedShare>,
    /// The largest demand since the last request.
    demand: BTreeMap<LimitKey, Amount>,
    /// The demand at the last request.
    requested: BTreeMap<LimitKey, Amount>,
    requested_at: Option<Timestamp>,
    answered: bool,
    urgent: bool,
}

impl HeldGroup {
    /// Creates the state of a group on a node that may use and lend its base shares from
    /// `base_shares_from` on.
    pub fn new(settings: ShareSettings, group: GroupId, base_shares_from: Timestamp) -> Self {
        Self {
            settings,
            group,
            division: Arc::default(),
            base_shares_from,
            loan: None,
            known_owner: None,
            granted: BTreeMap::new(),
            demand: BTreeMap::new(),
            requested: BTreeMap::new(),
            requested_at: None,
            answered: true,
            urgent: false,
        }
    }

    /// Replaces the base shares.
    pub fn set_division(&mut self, division: Arc<Division>) {
        self.division = division;
    }

    /// Ends the loan and removes all granted shares. Called only when no other node is left.
    pub fn reclaim(&mut self) {
        self.loan = None;
        self.granted.clear();
    }

    /// Returns the share of a limit that this node may use now.
    pub fn usable(&self, now: Timestamp, key: LimitKey) -> Amount {
        self.usable_base_share(now, key) + self.usable_grant(now, key)
    }

    /// Records the amount of a limit that this node could use. Of the amounts recorded since the last
    /// request, the largest counts.
    pub fn record_demand(&mut self, now: Timestamp, key: LimitKey, amount: Amount) {
        let demand = self.demand.entry(key).or_default();
        *demand = amount.max(*demand);
        let requested = self.requested.get(&key).copied().unwrap_or(0);
        if amount > requested + requested / GROWTH_DIVISOR && amount > self.usable(now, key) {
            self.urgent = true;
        }
    }

    /// Returns the next request to the owner, or `None` if no request is due.
    pub fn next_request(
        &mut self,
        now: Timestamp,
        incarnation: u64,
        owner: &NodeId,
    ) -> Option<ShareRequest> {
        if self.division.is_empty() || !self.is_request_due(now) {
            return None;
        }
        self.requested_at = Some(now);
        self.requested = self.demand.clone();
        self.answered = false;
        self.urgent = false;
        let known = self
            .known_owner
            .as_ref()
            .filter(|known| known.owner == *owner);
        let (owner_incarnation, owner_time) =
            known.map_or((0, 0), |known| (known.incarnation, known.time));
        let lends = known.is_some() && self.may_lend(now, owner, owner_incarnation);
        if lends {
            self.loan = Some(LoanToOwner {
                owner: owner.clone(),
                incarnation: owner_incarnation,
                until: now + self.settings.loan_ttl + self.settings.clock_drift_margin,
            });
        }
        Some(ShareRequest {
            group: self.group.0,
            incarnation,
            sent_at: now.0,
            lent_division: if lends { self.division.digest() } else { 0 },
            owner_incarnation,
            owner_time,
            wants: self.take_demand(now),
        })
    }

    /// Applies an owner's answer. The grant is counted from the time at which the request was sent.
    pub fn apply_grant(&mut self, now: Timestamp, owner: &NodeId, grant: &Grant) {
        self.answered |= self.requested_at == Some(Timestamp(grant.asked_at));
        self.record_owner(owner, grant);
        let until =
            Timestamp(grant.asked_at) + self.settings.grant_ttl - self.settings.clock_drift_margin;
        if until <= now {
            return;
        }
        for share in grant.shares.iter().take(MAX_KEYS_PER_MESSAGE) {
            self.apply_share(LimitKey(share.key), share.amount, until);
        }
    }

    /// Records an owner's incarnation and time. Ignores answers of earlier incarnations and answers that
    /// are not newer than the last.
    fn record_owner(&mut self, owner: &NodeId, grant: &Grant) {
        let known = self
            .known_owner
            .as_ref()
            .filter(|known| known.owner == *owner);
        let known = known.map(|known| (known.incarnation, known.time));
        if known.is_some_and(|known| known >= (grant.owner_incarnation, grant.owner_time)) {
            return;
        }
        // An owner grants nothing before shares are lent to it, so lend soon to a new incarnation.
        self.urgent |= known.is_none_or(|(incarnation, _)| incarnation < grant.owner_incarnation);
        self.known_owner = Some(KnownOwner {
            owner: owner.clone(),
            incarnation: grant.owner_incarnation,
            time: grant.owner_time,
        });
    }

    fn apply_share(&mut self, key: LimitKey, amount: Amount, until: Timestamp) {
        let is_newer = |old: &GrantedShare| until > old.until;
        if self.granted.get(&key).is_none_or(is_newer) {
            self.granted.insert(key, GrantedShare { amount, until });
        }
    }

    fn usable_base_share(&self, now: Timestamp, key: LimitKey) -> Amount {
        if now < self.base_shares_from {
            return 0;
        }
        let retained = self.division.retained(key);
        match &self.loan {
            Some(loan) if now < loan.until => retained,
            _ => retained + self.division.lendable(key),
        }
    }

    fn usable_grant(&self, now: Timestamp, key: LimitKey) -> Amount {
        let granted = self.granted.get(&key);
        let live = granted.filter(|granted| now < granted.until);
        live.map_or(0, |granted| granted.amount)
    }

    fn is_request_due(&self, now: Timestamp) -> bool {
        let wait = if self.urgent {
            self.settings.urgent_interval
        } else if self.answered {
            self.settings.renewal_interval
        } else {
            self.settings.retry_interval
        };
        self.requested_at
            .is_none_or(|requested_at| now >= requested_at + wait)
    }

    fn may_lend(&self, now: Timestamp, owner: &NodeId, incarnation: u64) -> bool {
        let is_same_owner =
            |loan: &LoanToOwner| loan.owner == *owner && loan.incarnation == incarnation;
        let is_lendable = |loan: &LoanToOwner| is_same_owner(loan) || now >= loan.until;
        now >= self.base_shares_from && self.loan.as_ref().is_none_or(is_lendable)
    }

    /// Returns and clears the demand, without the amounts that this node retains. Only the largest
    /// demands are returned if they do not all fit into a message.
    fn take_demand(&mut self, now: Timestamp) -> Vec<KeyAmount> {
        self.granted.retain(|_, granted| now < granted.until);
        let demand = std::mem::take(&mut self.demand);
        let beyond_retained = |(key, amount): (LimitKey, Amount)| KeyAmount {
            key: key.0,
            amount: amount.saturating_sub(self.division.retained(key)),
        };
        let wants = demand.into_iter().map(beyond_retained);
        let mut wants: Vec<KeyAmount> = wants.filter(|want| want.amount > 0).collect();
        wants.sort_by_key(|want| Reverse(want.amount));
        wants.truncate(MAX_KEYS_PER_MESSAGE);
        wants
    }
}
