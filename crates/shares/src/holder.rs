//! A node's side of one group: its home shares, lent to at most one owner at a time, and the
//! shares that were granted to it.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::sync::Arc;

use tansyhall_core::{NodeId, Timestamp};

use crate::division::Division;
use crate::key::{Amount, GroupId, LimitKey};
use crate::message::{Ask, Grant, KeyAmount, MAX_KEYS};
use crate::settings::ShareSettings;

/// Demand that has grown by more than this part since the last ask is asked for early.
const GROWTH_DIVISOR: Amount = 4;

/// The run of an owner that the home shares are lent to. A restarted owner is another one: what
/// its earlier run granted may still be in use.
#[derive(Debug, Clone)]
struct Lent {
    to: NodeId,
    incarnation: u64,
    until: Timestamp,
}

/// An owner as last heard.
#[derive(Debug, Clone)]
struct Heard {
    owner: NodeId,
    incarnation: u64,
    time: u64,
}

#[derive(Debug, Clone, Copy)]
struct Granted {
    amount: Amount,
    until: Timestamp,
}

/// A node's side of one group.
#[derive(Debug, Clone)]
pub struct HeldGroup {
    settings: ShareSettings,
    group: GroupId,
    division: Arc<Division>,
    /// Until then an earlier run of this node may have lent the home shares.
    home_from: Timestamp,
    lent: Option<Lent>,
    heard: Option<Heard>,
    granted: BTreeMap<LimitKey, Granted>,
    wants: BTreeMap<LimitKey, Amount>,
    asked: BTreeMap<LimitKey, Amount>,
    asked_at: Option<Timestamp>,
    answered: bool,
    urgent: bool,
}

impl HeldGroup {
    /// A group at a node that may use and lend its home shares from `home_from`.
    pub fn new(settings: ShareSettings, group: GroupId, home_from: Timestamp) -> Self {
        Self {
            settings,
            group,
            division: Arc::default(),
            home_from,
            lent: None,
            heard: None,
            granted: BTreeMap::new(),
            wants: BTreeMap::new(),
            asked: BTreeMap::new(),
            asked_at: None,
            answered: true,
            urgent: false,
        }
    }

    /// Replaces the home shares.
    pub fn set_division(&mut self, division: Arc<Division>) {
        self.division = division;
    }

    /// Takes back what is lent, and forgets what was granted: no other node is left.
    pub fn reclaim(&mut self) {
        self.lent = None;
        self.granted.clear();
    }

    /// The share of a limit that this node may use now.
    pub fn usable(&self, now: Timestamp, key: LimitKey) -> Amount {
        self.own(now, key) + self.borrowed(now, key)
    }

    /// Notes what this node could use of a limit. The largest one since the last ask counts.
    pub fn want(&mut self, now: Timestamp, key: LimitKey, amount: Amount) {
        let want = self.wants.entry(key).or_default();
        *want = amount.max(*want);
        let asked = self.asked.get(&key).copied().unwrap_or(0);
        if amount > asked + asked / GROWTH_DIVISOR && amount > self.usable(now, key) {
            self.urgent = true;
        }
    }

    /// The next ask to an owner, once it is due.
    pub fn ask(&mut self, now: Timestamp, incarnation: u64, owner: &NodeId) -> Option<Ask> {
        if self.division.is_empty() || !self.is_due(now) {
            return None;
        }
        self.asked_at = Some(now);
        self.asked = self.wants.clone();
        self.answered = false;
        self.urgent = false;
        let heard = self.heard.as_ref().filter(|heard| heard.owner == *owner);
        let (owner_incarnation, owner_time) =
            heard.map_or((0, 0), |heard| (heard.incarnation, heard.time));
        let lends = heard.is_some() && self.may_lend(now, owner, owner_incarnation);
        if lends {
            self.lent = Some(Lent {
                to: owner.clone(),
                incarnation: owner_incarnation,
                until: now + self.settings.loan + self.settings.margin,
            });
        }
        Some(Ask {
            group: self.group.0,
            incarnation,
            sent_at: now.0,
            lent_division: if lends { self.division.digest() } else { 0 },
            owner_incarnation,
            owner_time,
            wants: self.take_wants(now),
        })
    }

    /// Takes an owner's answer; it is counted from the time of its ask.
    pub fn take_grant(&mut self, now: Timestamp, owner: &NodeId, grant: &Grant) {
        self.answered |= self.asked_at == Some(Timestamp(grant.asked_at));
        self.hear(owner, grant);
        let until = Timestamp(grant.asked_at) + self.settings.grant - self.settings.margin;
        if until <= now {
            return;
        }
        for share in grant.shares.iter().take(MAX_KEYS) {
            self.take_share(LimitKey(share.key), share.amount, until);
        }
    }

    /// Notes an owner's time. An answer of an earlier run, or an older one, says nothing new.
    fn hear(&mut self, owner: &NodeId, grant: &Grant) {
        let known = self.heard.as_ref().filter(|heard| heard.owner == *owner);
        let known = known.map(|heard| (heard.incarnation, heard.time));
        if known.is_some_and(|known| known >= (grant.owner_incarnation, grant.owner_time)) {
            return;
        }
        // Nothing is granted before something is lent: lend soon to a run heard for the first time.
        self.urgent |= known.is_none_or(|(incarnation, _)| incarnation < grant.owner_incarnation);
        self.heard = Some(Heard {
            owner: owner.clone(),
            incarnation: grant.owner_incarnation,
            time: grant.owner_time,
        });
    }

    fn take_share(&mut self, key: LimitKey, amount: Amount, until: Timestamp) {
        let newer = |old: &Granted| until > old.until;
        if self.granted.get(&key).is_none_or(newer) {
            self.granted.insert(key, Granted { amount, until });
        }
    }

    fn own(&self, now: Timestamp, key: LimitKey) -> Amount {
        if now < self.home_from {
            return 0;
        }
        let retained = self.division.retained(key);
        match &self.lent {
            Some(lent) if now < lent.until => retained,
            _ => retained + self.division.lendable(key),
        }
    }

    fn borrowed(&self, now: Timestamp, key: LimitKey) -> Amount {
        let granted = self.granted.get(&key);
        let live = granted.filter(|granted| now < granted.until);
        live.map_or(0, |granted| granted.amount)
    }

    fn is_due(&self, now: Timestamp) -> bool {
        let wait = if self.urgent {
            self.settings.urgent
        } else if self.answered {
            self.settings.renewal
        } else {
            self.settings.repeat
        };
        self.asked_at.is_none_or(|asked| now >= asked + wait)
    }

    fn may_lend(&self, now: Timestamp, owner: &NodeId, incarnation: u64) -> bool {
        let same = |lent: &Lent| lent.to == *owner && lent.incarnation == incarnation;
        let free = |lent: &Lent| same(lent) || now >= lent.until;
        now >= self.home_from && self.lent.as_ref().is_none_or(free)
    }

    /// The largest wants, without what this node keeps anyhow.
    fn take_wants(&mut self, now: Timestamp) -> Vec<KeyAmount> {
        self.granted.retain(|_, granted| now < granted.until);
        let wants = std::mem::take(&mut self.wants);
        let beyond_retained = |(key, want): (LimitKey, Amount)| KeyAmount {
            key: key.0,
            amount: want.saturating_sub(self.division.retained(key)),
        };
        let wants = wants.into_iter().map(beyond_retained);
        let mut wants: Vec<KeyAmount> = wants.filter(|want| want.amount > 0).collect();
        wants.sort_by_key(|want| Reverse(want.amount));
        wants.truncate(MAX_KEYS);
        wants
    }
}
