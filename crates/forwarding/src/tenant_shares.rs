//! Fair shares of an overloaded service between tenants: tenants that have used more than their share are
//! refused before the others.
//!
//! - A tenant's share follows from max-min fairness over the work that the service accepts: a tenant that
//!   demands less than an equal share gets all that it demands, and the remainder goes to the others.
//! - A tenant with a large demand is entitled to at least [`MIN_SERVED_FRACTION`] of the mean accepted fraction
//!   of its demand, however small that makes the shares of others. It is refused more often than the others,
//!   but it is not starved.
//! - A tenant that exceeds its entitlement may wait in the queue for only a fraction of the time for which
//!   others may wait ([`TenantShares::wait_fraction`]). The queue in which its requests are refused therefore
//!   still has room for other tenants, and the engines still have work. No capacity is reserved for any
//!   tenant.
//!
//! While the service accepts all demand, each tenant's share is its whole demand, and the shares have no
//! effect. Requests that were refused only because of a tenant's share do not count as demand when the
//! shares are calculated. Shares therefore apply only as long as other requests are refused for overload, and
//! do not keep themselves in force.
//!
//! Each gateway keeps demand and accepted work as decaying rates, for the requests whose admission it
//! decides. Requests without a tenant are not counted.
//!
//! If gateways report these rates to each other (`fleet_tenants`), the shares follow from the work of the whole fleet
//! ([`TenantShares::fleet_wait_fraction`]). The limits are then tighter, since each tenant has to be served close to
//! its share: a tenant that demands more than its share waits for a fraction of the usual time even before it has taken
//! its share (at least `MIN_FRACTION_AT_SHARE`), and the fraction falls with the power `FLEET_GAIN` of what it has
//! taken beyond its share.

use std::collections::HashMap;
use std::time::Duration;

use tansyhall_core::{TenantName, Timestamp};
use tansyhall_shares::max_min_fair_share;
use xxhash_rust::xxh3::xxh3_64;

use crate::fleet_tenants::{TenantRates, WorkRates};
use crate::rate::Rate;

/// The fraction of the mean accepted fraction of demand that a tenant with a large demand is entitled to. A
/// tenant that is served at less than a quarter of the mean counts as starved.
pub const MIN_SERVED_FRACTION: f64 = 0.5;
/// The minimum of the fraction of the usual wait for which a tenant may wait. Engines whose queue is limited to
/// this fraction are still busy (`tenant_overload.rs`).
const MIN_WAIT_FRACTION: f64 = 0.25;
/// The power to which the ratio of a tenant's share to its accepted work is raised if shares follow from the whole fleet.
/// With 1, a tenant at twelve gateways got up to 14% more than its share, because none of them knows what the others
/// have just accepted (`fleet_tenants_overload.rs`).
const FLEET_GAIN: i32 = 6;
/// The power to which the ratio of a tenant's share to its demand is raised if shares follow from the whole fleet. With 1,
/// a small tenant was served 13% less than it demanded in a burst of three-fold demand, because large tenants still filled
/// the queue in the first second. With 2, engines did 2.5% less work at a demand equal to their capacity.
const DEMAND_GAIN: f64 = 1.5;
/// The minimum fraction of the usual wait for a tenant that demands more than its share and has taken no more than that,
/// if shares follow from the whole fleet. The remainder is left to tenants that demand less: with 0.8, some of them were
/// served 15% less than they demanded, as the queue was long when their requests arrived. It does not apply to a tenant
/// that is entitled to more than its share by [`MIN_SERVED_FRACTION`].
const MIN_FRACTION_AT_SHARE: f64 = 0.5;
/// Interval between calculations of the shares. It is short compared with the half-life of the rates.
const SHARE_UPDATE_INTERVAL: Duration = Duration::from_millis(100);
/// The maximum number of tenants that are tracked for one service. Further tenants are not limited to shares.
const MAX_TENANTS: usize = 1_024;
/// The lowest demand, in microseconds per second, at which a tenant is still tracked.
const MIN_TRACKED_DEMAND: u64 = 1;
const MICROS_PER_SECOND: f64 = 1e6;

/// Identifies a tenant in tables and messages.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct TenantKey(pub u64);

impl TenantKey {
    /// Returns the key of a tenant.
    pub fn of(tenant: &TenantName) -> Self {
        Self(xxh3_64(tenant.as_str().as_bytes()))
    }
}

/// The admission result of requested work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WorkOutcome {
    /// The work was accepted.
    Accepted,
    /// The work was refused because it would have waited too long, whichever tenant requested it.
    RefusedForOverload,
    /// The work was refused only because its tenant has used more than its share.
    RefusedForShare,
}

/// The demand and accepted work of one tenant, in engine seconds.
#[derive(Debug, Clone, Copy, Default)]
struct TenantWork {
    demand: Rate,
    /// The demand without the work that was refused because of the tenant's share.
    contending: Rate,
    accepted: Rate,
}

impl TenantWork {
    fn rates(&self, now: Timestamp) -> WorkRates {
        let demand = micros_per_second(self.demand, now);
        let contending = micros_per_second(self.contending, now).min(demand);
        WorkRates {
            demand,
            contending,
            accepted: micros_per_second(self.accepted, now).min(contending),
        }
    }
}

/// The demand and accepted work of each tenant of one service, and the shares that follow from them.
#[derive(Debug, Default)]
pub struct TenantShares {
    tenants: HashMap<TenantKey, TenantWork>,
    fairness: Fairness,
    calculated_at: Option<Timestamp>,
    refused_at: Option<Timestamp>,
}

/// The values that apply to all tenants until the next calculation.
#[derive(Debug, Clone, Copy)]
struct Fairness {
    /// The maximum share of one tenant under max-min fairness, in microseconds per second.
    max_share: f64,
    /// The accepted fraction of the whole demand.
    accepted_fraction: f64,
}

impl Default for Fairness {
    fn default() -> Self {
        Self {
            max_share: f64::INFINITY,
            accepted_fraction: 1.0,
        }
    }
}

impl TenantShares {
    /// Records work that a tenant requested. Has no effect for a tenant beyond the maximum number of tracked tenants.
    pub fn record(
        &mut self,
        now: Timestamp,
        tenant: TenantKey,
        seconds: f64,
        outcome: WorkOutcome,
    ) {
        if outcome != WorkOutcome::Accepted {
            self.refused_at = Some(now);
        }
        let Some(work) = self.work_of(tenant) else {
            return;
        };
        work.demand.record(now, seconds);
        if outcome != WorkOutcome::RefusedForShare {
            work.contending.record(now, seconds);
        }
        if outcome == WorkOutcome::Accepted {
            work.accepted.record(now, seconds);
        }
    }

    /// Returns the fraction of the usual wait for which requests of a tenant may wait.
    pub fn wait_fraction(&mut self, now: Timestamp, tenant: TenantKey) -> f64 {
        self.calculate_if_due(now);
        let Some(work) = self.tenants.get(&tenant) else {
            return 1.0;
        };
        let accepted = micros_per_second(work.accepted, now) as f64;
        if accepted <= 0.0 {
            return 1.0;
        }
        let demand = micros_per_second(work.demand, now) as f64;
        let min_entitled = demand * self.fairness.accepted_fraction * MIN_SERVED_FRACTION;
        let entitled = self.fairness.max_share.max(min_entitled);
        let fraction = entitled / accepted;
        fraction.clamp(MIN_WAIT_FRACTION, 1.0)
    }

    /// Returns the fraction of the usual wait for which requests of a tenant may wait if the other gateways have reported
    /// the rates `others`.
    pub fn fleet_wait_fraction(
        &mut self,
        now: Timestamp,
        tenant: TenantKey,
        others: &HashMap<TenantKey, WorkRates>,
    ) -> f64 {
        let is_due = |at: Timestamp| now.since(at) >= SHARE_UPDATE_INTERVAL;
        if self.calculated_at.is_none_or(is_due) {
            self.calculated_at = Some(now);
            self.calculate_for_fleet(now, others);
        }
        let own = self.tenants.get(&tenant).map(|work| work.rates(now));
        let mut rates = own.unwrap_or_default();
        rates.add(others.get(&tenant).copied().unwrap_or_default());
        self.fairness.fleet_fraction(rates)
    }

    /// Returns whether requested work was refused within the last `time`.
    pub fn has_refused_within(&self, now: Timestamp, time: Duration) -> bool {
        self.refused_at.is_some_and(|at| now.since(at) < time)
    }

    /// Returns the rates of all tenants that have demand.
    pub fn rates(&self, now: Timestamp) -> Vec<TenantRates> {
        let all = self.tenants.iter().map(|(tenant, work)| TenantRates {
            tenant: *tenant,
            rates: work.rates(now),
        });
        all.filter(|tenant| tenant.rates.demand >= MIN_TRACKED_DEMAND)
            .collect()
    }

    /// Returns the number of tracked tenants.
    pub fn tracked_tenants(&self) -> usize {
        self.tenants.len()
    }

    /// Returns the rates of a tenant, or `None` if no further tenant can be tracked.
    fn work_of(&mut self, tenant: TenantKey) -> Option<&mut TenantWork> {
        let has_room = self.tenants.len() < MAX_TENANTS;
        if !has_room && !self.tenants.contains_key(&tenant) {
            return None;
        }
        Some(self.tenants.entry(tenant).or_default())
    }

    fn calculate_if_due(&mut self, now: Timestamp) {
        let is_due = |at: Timestamp| now.since(at) >= SHARE_UPDATE_INTERVAL;
        if self.calculated_at.is_none_or(is_due) {
            self.calculated_at = Some(now);
            self.calculate(now);
        }
    }

    fn calculate(&mut self, now: Timestamp) {
        self.tenants
            .retain(|_, work| micros_per_second(work.demand, now) >= MIN_TRACKED_DEMAND);
        let each = |rate: fn(&TenantWork) -> Rate| {
            let works = self.tenants.values();
            works.map(move |work| micros_per_second(rate(work), now))
        };
        let demand: u64 = each(|work| work.demand).sum();
        let contending: Vec<u64> = each(|work| work.contending).collect();
        let accepted: u64 = each(|work| work.accepted).sum();
        self.fairness = match accepted < contending.iter().sum() {
            true => Fairness {
                max_share: max_min_fair_share(accepted, &contending) as f64,
                accepted_fraction: accepted as f64 / demand as f64,
            },
            false => Fairness::default(),
        };
    }
}

impl TenantShares {
    /// Calculates the shares over this gateway's own work and the work that other gateways have reported.
    fn calculate_for_fleet(&mut self, now: Timestamp, others: &HashMap<TenantKey, WorkRates>) {
        self.tenants
            .retain(|_, work| micros_per_second(work.demand, now) >= MIN_TRACKED_DEMAND);
        let mut all = others.clone();
        for (tenant, work) in &self.tenants {
            all.entry(*tenant).or_default().add(work.rates(now));
        }
        self.fairness = Fairness::of(all.values());
    }
}

impl Fairness {
    fn of<'a>(all: impl Iterator<Item = &'a WorkRates>) -> Self {
        let mut total = WorkRates::default();
        let mut contending = Vec::new();
        for rates in all {
            total.add(*rates);
            contending.push(rates.contending);
        }
        match total.accepted < total.contending {
            true => Self {
                max_share: max_min_fair_share(total.accepted, &contending) as f64,
                accepted_fraction: total.accepted as f64 / total.demand as f64,
            },
            false => Self::default(),
        }
    }

    /// Returns the fraction of the usual wait for a tenant with these rates at all gateways together.
    fn fleet_fraction(&self, rates: WorkRates) -> f64 {
        let min_entitled = rates.demand as f64 * self.accepted_fraction * MIN_SERVED_FRACTION;
        let entitled = self.max_share.max(min_entitled);
        if rates.accepted == 0 || entitled.is_infinite() {
            return 1.0;
        }
        let at_share = match min_entitled < self.max_share {
            true => (self.max_share / rates.demand as f64)
                .powf(DEMAND_GAIN)
                .clamp(MIN_FRACTION_AT_SHARE, 1.0),
            false => 1.0,
        };
        let fraction = at_share * (entitled / rates.accepted as f64).powi(FLEET_GAIN);
        fraction.clamp(MIN_WAIT_FRACTION, 1.0)
    }
}

/// Converts a rate of seconds to whole microseconds per second.
fn micros_per_second(rate: Rate, now: Timestamp) -> u64 {
    (rate.per_second(now) * MICROS_PER_SECOND) as u64
}
