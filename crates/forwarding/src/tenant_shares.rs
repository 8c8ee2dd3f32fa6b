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
//!
//! What was asked and taken is kept as rates that forget, by each gateway for the requests on whose
//! admission it decides. Requests of no tenant are not counted.

use std::collections::HashMap;
use std::time::Duration;

use tansyhall_core::{TenantName, Timestamp};
use tansyhall_shares::fair_part;
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

/// What one tenant has asked for and got, in seconds of engines.
#[derive(Debug, Clone, Copy, Default)]
struct TenantWork {
    asked: Rate,
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
    /// A tenant asks for work.
    pub fn record_asked(&mut self, now: Timestamp, tenant: TenantKey, seconds: f64) {
        if let Some(work) = self.work(tenant) {
            work.asked.record(now, seconds);
        }
    }

    /// Work that a tenant asked for is taken.
    pub fn record_taken(&mut self, now: Timestamp, tenant: TenantKey, seconds: f64) {
        if let Some(work) = self.work(tenant) {
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
        let works = self.tenants.values();
        let asked: Vec<u64> = works.map(|work| micros(work.asked, now)).collect();
        let works = self.tenants.values();
        let taken: u64 = works.map(|work| micros(work.taken, now)).sum();
        let all_asked: u64 = asked.iter().sum();
        self.weighed = match taken < all_asked {
            true => Weighed {
                fair_part: fair_part(taken, &asked) as f64,
                taken_part: taken as f64 / all_asked as f64,
            },
            false => Weighed::default(),
        };
    }
}

/// A rate of seconds in whole microseconds a second.
fn micros(rate: Rate, now: Timestamp) -> u64 {
    (rate.a_second(now) * MICROS_PER_SECOND) as u64
}
