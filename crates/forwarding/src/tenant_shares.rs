//! Who is refused when more is asked of a service than it can do: tenants that have taken more than their
//! share before those that have not.
//!
//! - A tenant's share is what max-min fairness gives it of the work that is taken: a tenant that asks for
//!   less than an equal part gets all of it and leaves the rest to the others.
//! - A large tenant is entitled to [`LEAST_SERVED_PART`] of the part that the service takes of what all
//!   ask, however small that leaves the parts of others: it is refused more often than they are, but not
//!   starved for them.
//! - A tenant above what it is entitled to may wait for a part only of the time for which others may
//!   ([`TenantShares::patience_part`]). So the queue in which it is refused is one in which others still find
//!   time, and engines have work all the same. Nothing is held back for anybody.
//!
//! As long as all that is asked is taken, each share is all that its tenant asks for, and nothing changes.
//! What was refused for a tenant's share alone does not count as asked for when shares are worked out: shares
//! hold for as long as requests are refused for overload beside them, and do not keep themselves in force.
//!
//! What was asked and taken is kept as rates that forget, by each gateway for the requests on whose
//! admission it decides. Requests of no tenant are not counted.

use std::collections::HashMap;
use std::time::Duration;

use tansyhall_core::{TenantName, Timestamp};
use tansyhall_shares::max_min_fair_share;
use xxhash_rust::xxh3::xxh3_64;

use crate::rate::Rate;

/// The part of the mean served part down to which a tenant that asks for more than others may be refused.
/// One that is served at less than a quarter of the mean counts as starved.
pub const LEAST_SERVED_PART: f64 = 0.5;
/// The least part of the usual wait for which any tenant may wait: engines whose queue is held to it are busy
/// still (`tenant_overload.rs`).
const LEAST_PATIENCE_PART: f64 = 0.25;
/// How often shares are worked out anew, a small part of the time in which rates forget.
const WEIGHING_PACE: Duration = Duration::from_millis(100);
/// Tenants that are counted for one service; more are not held to shares.
const MOST_TENANTS: usize = 1_024;
/// Work in microseconds a second below which a tenant is forgotten.
const FORGOTTEN_WORK: u64 = 1;
const MICROS_PER_SECOND: f64 = 1e6;

/// Names a tenant in tables and messages.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct TenantKey(pub u64);

impl TenantKey {
    /// The key of a tenant.
    pub fn of(tenant: &TenantName) -> Self {
        Self(xxh3_64(tenant.as_str().as_bytes()))
    }
}

/// What became of work that was asked for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WorkOutcome {
    /// It is taken.
    Taken,
    /// It would have waited too long, whoever asked for it.
    RefusedForOverload,
    /// It would have been taken, had its tenant not taken more than its share.
    RefusedForShare,
}

/// What one tenant has asked for and got, in seconds of engines.
#[derive(Debug, Clone, Copy, Default)]
struct TenantWork {
    asked: Rate,
    /// What was asked less what was refused for the tenant's share.
    contending: Rate,
    taken: Rate,
}

/// What was asked and taken of one service, and what follows for each tenant.
#[derive(Debug, Default)]
pub struct TenantShares {
    tenants: HashMap<TenantKey, TenantWork>,
    weighed: Weighed,
    weighed_at: Option<Timestamp>,
}

/// What holds for all tenants until shares are worked out anew.
#[derive(Debug, Clone, Copy)]
struct Weighed {
    /// The most that max-min fairness gives one tenant, in microseconds a second.
    fair_part: f64,
    /// The part of all that is asked which is taken.
    taken_part: f64,
}

impl Default for Weighed {
    fn default() -> Self {
        Self {
            fair_part: f64::INFINITY,
            taken_part: 1.0,
        }
    }
}

impl TenantShares {
    /// A tenant has asked for work; none is counted for tenants beyond the bound of the table.
    pub fn record(
        &mut self,
        now: Timestamp,
        tenant: TenantKey,
        seconds: f64,
        outcome: WorkOutcome,
    ) {
        let Some(work) = self.work(tenant) else {
            return;
        };
        work.asked.record(now, seconds);
        if outcome != WorkOutcome::RefusedForShare {
            work.contending.record(now, seconds);
        }
        if outcome == WorkOutcome::Taken {
            work.taken.record(now, seconds);
        }
    }

    /// The part of the usual wait for which requests of a tenant may wait.
    pub fn patience_part(&mut self, now: Timestamp, tenant: TenantKey) -> f64 {
        self.weigh_if_due(now);
        let Some(work) = self.tenants.get(&tenant) else {
            return 1.0;
        };
        let taken = micros(work.taken, now) as f64;
        if taken <= 0.0 {
            return 1.0;
        }
        let asked = micros(work.asked, now) as f64;
        let least = asked * self.weighed.taken_part * LEAST_SERVED_PART;
        let entitled = self.weighed.fair_part.max(least);
        let part = entitled / taken;
        part.clamp(LEAST_PATIENCE_PART, 1.0)
    }

    /// Tenants that are counted now.
    pub fn counted_tenants(&self) -> usize {
        self.tenants.len()
    }

    /// The counts of a tenant; none if there is no room for one more.
    fn work(&mut self, tenant: TenantKey) -> Option<&mut TenantWork> {
        let has_room = self.tenants.len() < MOST_TENANTS;
        if !has_room && !self.tenants.contains_key(&tenant) {
            return None;
        }
        Some(self.tenants.entry(tenant).or_default())
    }

    fn weigh_if_due(&mut self, now: Timestamp) {
        let is_due = |at: Timestamp| now.since(at) >= WEIGHING_PACE;
        if self.weighed_at.is_none_or(is_due) {
            self.weighed_at = Some(now);
            self.weigh(now);
        }
    }

    fn weigh(&mut self, now: Timestamp) {
        self.tenants
            .retain(|_, work| micros(work.asked, now) >= FORGOTTEN_WORK);
        let each = |rate: fn(&TenantWork) -> Rate| {
            let works = self.tenants.values();
            works.map(move |work| micros(rate(work), now))
        };
        let asked: u64 = each(|work| work.asked).sum();
        let contending: Vec<u64> = each(|work| work.contending).collect();
        let taken: u64 = each(|work| work.taken).sum();
        self.weighed = match taken < contending.iter().sum() {
            true => Weighed {
                fair_part: max_min_fair_share(taken, &contending) as f64,
                taken_part: taken as f64 / asked as f64,
            },
            false => Weighed::default(),
        };
    }
}

/// A rate of seconds in whole microseconds a second.
fn micros(rate: Rate, now: Timestamp) -> u64 {
    (rate.a_second(now) * MICROS_PER_SECOND) as u64
}
