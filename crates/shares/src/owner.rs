//! An owner's side of one group: what was lent to it, and what it has granted.
//!
//! Invariant: at any time, the grants that are still usable add up to no more than the loans that
//! outlive them. A grant is given only out of loans that end after it; older grants end earlier.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use tansyhall_core::{NodeId, Timestamp};

use crate::division::Division;
use crate::key::{Amount, LimitKey};
use crate::message::{Ask, Grant, KeyAmount, MAX_KEYS};
use crate::settings::ShareSettings;

/// Most grants of one limit to one node that are told apart; more are counted as their largest
/// until the last one's end.
const MAX_OUTSTANDING: usize = 4;

/// How often ended loans and grants of limits that nobody asks for are forgotten.
const SWEEP_PERIOD: Duration = Duration::from_secs(1);

#[derive(Debug, Clone)]
struct Loan {
    division: Arc<Division>,
    ends: Timestamp,
}

#[derive(Debug, Clone, Copy)]
struct Outstanding {
    amount: Amount,
    ends: Timestamp,
}

/// What one node wants and holds of one limit.
#[derive(Debug, Clone, Default)]
struct Borrower {
    want: Amount,
    outstanding: Vec<Outstanding>,
}

impl Borrower {
    /// Forgets grants that have ended; whether one is left.
    fn is_live(&mut self, now: Timestamp) -> bool {
        self.outstanding.retain(|grant| grant.ends > now);
        !self.outstanding.is_empty()
    }

    fn held(&self) -> Amount {
        let amounts = self.outstanding.iter().map(|grant| grant.amount);
        amounts.max().unwrap_or(0)
    }

    /// Notes a grant. An earlier and larger one counts until its end, since the new one's message
    /// may be lost.
    fn note(&mut self, grant: Outstanding) {
        self.outstanding.retain(|old| old.amount > grant.amount);
        self.outstanding.push(grant);
        if self.outstanding.len() > MAX_OUTSTANDING {
            let amount = self.held();
            let ends = grant.ends;
            self.outstanding = vec![Outstanding { amount, ends }];
        }
    }
}

/// An owner's side of one group.
#[derive(Debug, Clone)]
pub struct OwnedGroup {
    settings: ShareSettings,
    division: Arc<Division>,
    loans: BTreeMap<NodeId, Loan>,
    borrowers: BTreeMap<LimitKey, BTreeMap<NodeId, Borrower>>,
    swept_at: Timestamp,
}

impl OwnedGroup {
    /// A group of which nothing is lent or granted yet.
    pub fn new(settings: ShareSettings, division: Arc<Division>) -> Self {
        Self {
            settings,
            division,
            loans: BTreeMap::new(),
            borrowers: BTreeMap::new(),
            swept_at: Timestamp::default(),
        }
    }

    /// Takes loans by this division from now on; earlier loans keep theirs.
    pub fn set_division(&mut self, division: Arc<Division>) {
        self.division = division;
    }

    /// Answers an ask.
    pub fn answer(&mut self, now: Timestamp, incarnation: u64, from: &NodeId, ask: &Ask) -> Grant {
        if now >= self.swept_at + SWEEP_PERIOD {
            self.swept_at = now;
            self.forget_ended(now);
        }
        if ask.owner_incarnation == incarnation && ask.lent_division == self.division.digest() {
            self.take_loan(now, from, Timestamp(ask.owner_time));
        }
        let wants = ask.wants.iter().take(MAX_KEYS);
        let shares = wants.map(|want| KeyAmount {
            key: want.key,
            amount: self.grant(now, from, LimitKey(want.key), want.amount),
        });
        let shares = shares.filter(|share| share.amount > 0).collect();
        Grant {
            group: ask.group,
            asker_incarnation: ask.incarnation,
            asked_at: ask.sent_at,
            owner_incarnation: incarnation,
            owner_time: now.0,
            shares,
        }
    }

    fn take_loan(&mut self, now: Timestamp, from: &NodeId, counted_from: Timestamp) {
        let ends = counted_from + self.settings.loan;
        let known = self.loans.get(from).map_or(now, |loan| loan.ends);
        if ends > known {
            let division = Arc::clone(&self.division);
            self.loans.insert(from.clone(), Loan { division, ends });
        }
    }

    fn grant(&mut self, now: Timestamp, to: &NodeId, key: LimitKey, want: Amount) -> Amount {
        let ends = now + self.settings.grant;
        let backing = self.backing(key, ends);
        if backing == 0 {
            return 0;
        }
        let borrowers = self.borrowers.entry(key).or_default();
        borrowers.entry(to.clone()).or_default().want = want;
        borrowers.retain(|node, borrower| borrower.is_live(now) || node == to);
        let others = borrowers.iter().filter(|(node, _)| *node != to);
        let held_by_others: Amount = others.map(|(_, borrower)| borrower.held()).sum();
        let free = backing.saturating_sub(held_by_others);
        let wants: Vec<Amount> = borrowers.values().map(|borrower| borrower.want).collect();
        let amount = want.min(free).min(fair_part(backing, &wants));
        if let Some(borrower) = borrowers.get_mut(to) {
            borrower.note(Outstanding { amount, ends });
        }
        amount
    }

    /// Loans of a limit that outlive a grant.
    fn backing(&self, key: LimitKey, grant_ends: Timestamp) -> Amount {
        let lasting = self.loans.values().filter(|loan| loan.ends >= grant_ends);
        lasting.map(|loan| loan.division.lendable(key)).sum()
    }

    fn forget_ended(&mut self, now: Timestamp) {
        self.loans.retain(|_, loan| loan.ends > now);
        self.borrowers.retain(|_, borrowers| {
            borrowers.retain(|_, borrower| borrower.is_live(now));
            !borrowers.is_empty()
        });
    }
}

/// The most that one node may hold when `whole` is divided by max-min fairness: every node gets
/// what it wants, or else as much as any other.
pub fn fair_part(whole: Amount, wants: &[Amount]) -> Amount {
    let mut wants = wants.to_vec();
    wants.sort_unstable();
    let mut left = whole;
    let mut nodes = wants.len() as Amount;
    for want in wants {
        let part = left / nodes;
        if want > part {
            return part;
        }
        left -= want;
        nodes -= 1;
    }
    Amount::MAX
}
