//! The rates of tenants' work that gateways report to each other, so that shares follow from the work of the whole
//! fleet.
//!
//! - A gateway reports the rates of a service while requests for the service are refused, at this gateway or at
//!   another one that says so. Otherwise no share is limited and nothing needs to be known.
//! - A report contains at most [`MAX_REPORTED_TENANTS`] tenants ([`TenantRotation`]): those with the most demand in
//!   each report, the others in rotation.
//! - A receiver adds up what all others have last reported ([`ReportedTenants`]). Rates that are not repeated within
//!   [`STALE_AFTER`] times the number of rounds in a full rotation are dropped, and all rates of a gateway
//!   that has not reported any for [`SILENT_AFTER`].
//!
//! Rates are whole microseconds of engine time per second, so that sums stay exact when rates are replaced.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use tansyhall_core::Timestamp;

use crate::load_exchange::{GatewayKey, ServiceKey, STALE_AFTER};
use crate::tenant_shares::TenantKey;

/// The maximum number of tenants in one report. They take at most 2.3 KB, so that a report still fits into a datagram.
pub const MAX_REPORTED_TENANTS: usize = 64;
/// The number of tenants with the most demand that are in every report. The other places are for the rotation, which
/// takes nine rounds (4.5 s) with 300 tenants.
const ALWAYS_REPORTED: usize = 32;
const ROTATING_PLACES: usize = MAX_REPORTED_TENANTS - ALWAYS_REPORTED;
/// Interval between two reports of tenants. It is short compared with the half-life of the rates (2 s).
pub const TENANT_REPORT_INTERVAL: Duration = Duration::from_millis(500);
/// Time after the last refusal for which rates are reported: five half-lives, after which 3% of the refused work counts.
pub const REPORTED_AFTER_REFUSAL: Duration = Duration::from_secs(10);
/// Time without any reported rates after which a gateway is considered to be gone: six lost reports in a row.
pub const SILENT_AFTER: Duration = Duration::from_millis(3_200);
/// The highest plausible rate in microseconds per second: a million engines.
pub const MAX_RATE: u64 = 1_000_000_000_000;
/// The highest plausible number of rounds: a gateway tracks at most 1,024 tenants of each of 256 services.
pub const MAX_ROUNDS: u32 = 8_192;
/// The maximum number of rates kept from all gateways: some 4 MB. 18 schedulers with 300 tenants report 5,400.
const MAX_KEPT_RATES: usize = 65_536;

/// The work of one tenant of one service in microseconds of engine time per second.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct WorkRates {
    /// The requested work.
    pub demand: u64,
    /// The requested work without the work that was refused because of the tenant's share.
    pub contending: u64,
    /// The accepted work.
    pub accepted: u64,
}

impl WorkRates {
    /// Returns whether a gateway can have measured these rates.
    pub fn is_plausible(&self) -> bool {
        self.demand <= MAX_RATE
            && self.contending <= self.demand
            && self.accepted <= self.contending
    }

    /// Adds other rates to these.
    pub fn add(&mut self, other: Self) {
        self.demand += other.demand;
        self.contending += other.contending;
        self.accepted += other.accepted;
    }

    fn subtract(&mut self, other: Self) {
        self.demand -= other.demand;
        self.contending -= other.contending;
        self.accepted -= other.accepted;
    }
}

/// The rates of one tenant.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TenantRates {
    /// The tenant.
    pub tenant: TenantKey,
    /// The rates.
    pub rates: WorkRates,
}

/// The reported rates of the tenants of one service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceTenants {
    /// The service.
    pub service: ServiceKey,
    /// The number of reports in which each tenant of the sender is contained at least once.
    pub rounds: u32,
    /// Whether the sender itself has refused requests for the service within [`REPORTED_AFTER_REFUSAL`].
    pub refuses: bool,
    /// The rates of some tenants.
    pub tenants: Vec<TenantRates>,
}

/// The tenants of one service at the reporting gateway.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OwnTenants {
    /// The service.
    pub service: ServiceKey,
    /// Whether this gateway has refused requests for the service within [`REPORTED_AFTER_REFUSAL`].
    pub refuses: bool,
    /// The rates of all its tenants.
    pub tenants: Vec<TenantRates>,
}

/// Selects the tenants of each report.
#[derive(Debug, Default)]
pub struct TenantRotation {
    /// The last tenant that was reported in rotation.
    last: Option<(ServiceKey, TenantKey)>,
}

impl TenantRotation {
    /// Returns the next report of these tenants.
    pub fn next_report(&mut self, own: &[OwnTenants]) -> Vec<ServiceTenants> {
        let all = own.iter().flat_map(|service| {
            let tenants = service.tenants.iter();
            tenants.map(|tenant| (service.service, *tenant))
        });
        let mut all: Vec<(ServiceKey, TenantRates)> = all.collect();
        all.sort_by_key(|(service, tenant)| {
            (Reverse(tenant.rates.demand), *service, tenant.tenant)
        });
        let rotating = match all.len() > MAX_REPORTED_TENANTS {
            true => all.split_off(ALWAYS_REPORTED),
            false => Vec::new(),
        };
        let rounds = rotating.len().div_ceil(ROTATING_PLACES).max(1);
        all.extend(self.next_in_rotation(rotating));
        let mut by_service: BTreeMap<ServiceKey, Vec<TenantRates>> = BTreeMap::new();
        for (service, tenant) in all {
            by_service.entry(service).or_default().push(tenant);
        }
        let services = own.iter().filter_map(|service| {
            Some(ServiceTenants {
                service: service.service,
                rounds: u32::try_from(rounds).unwrap_or(MAX_ROUNDS),
                refuses: service.refuses,
                tenants: by_service.remove(&service.service)?,
            })
        });
        services.collect()
    }

    /// Returns the tenants that follow the last reported one in the order of their keys.
    fn next_in_rotation(
        &mut self,
        mut rotating: Vec<(ServiceKey, TenantRates)>,
    ) -> Vec<(ServiceKey, TenantRates)> {
        let key_of = |entry: &(ServiceKey, TenantRates)| (entry.0, entry.1.tenant);
        rotating.sort_by_key(key_of);
        let reported = rotating.partition_point(|entry| Some(key_of(entry)) <= self.last);
        rotating.rotate_left(reported);
        rotating.truncate(ROTATING_PLACES);
        if let Some(last) = rotating.last() {
            self.last = Some(key_of(last));
        }
        rotating
    }
}

#[derive(Debug, Clone, Copy)]
struct KeptRates {
    rates: WorkRates,
    expires_at: Timestamp,
}

/// What one gateway has reported about the tenants of one service.
#[derive(Debug, Default)]
struct SenderRates {
    received_at: Timestamp,
    tenants: HashMap<TenantKey, KeptRates>,
}

/// What all other gateways have reported about the tenants of one service.
#[derive(Debug, Default)]
struct ServiceRates {
    senders: HashMap<GatewayKey, SenderRates>,
    sums: HashMap<TenantKey, WorkRates>,
    refusal_reported_at: Option<Timestamp>,
}

impl ServiceRates {
    fn replace(&mut self, sender: GatewayKey, tenant: TenantRates, expires_at: Timestamp) {
        let kept = KeptRates {
            rates: tenant.rates,
            expires_at,
        };
        let tenants = &mut self.senders.entry(sender).or_default().tenants;
        let before = tenants.insert(tenant.tenant, kept);
        self.sums
            .entry(tenant.tenant)
            .or_default()
            .add(tenant.rates);
        if let Some(before) = before {
            subtract(&mut self.sums, tenant.tenant, before.rates);
        }
    }

    fn drop_stale(&mut self, now: Timestamp) {
        let sums = &mut self.sums;
        self.senders.retain(|_, sender| {
            let is_silent = now.since(sender.received_at) >= SILENT_AFTER;
            sender.tenants.retain(|tenant, kept| {
                let is_kept = !is_silent && now < kept.expires_at;
                if !is_kept {
                    subtract(sums, *tenant, kept.rates);
                }
                is_kept
            });
            !sender.tenants.is_empty()
        });
    }

    fn kept_rates(&self) -> usize {
        let senders = self.senders.values();
        senders.map(|sender| sender.tenants.len()).sum()
    }
}

/// Subtracts the rates from a tenant's sum. Reported demand is never 0, so that a sum of 0 has no more parts.
fn subtract(sums: &mut HashMap<TenantKey, WorkRates>, tenant: TenantKey, rates: WorkRates) {
    if let Some(sum) = sums.get_mut(&tenant) {
        sum.subtract(rates);
        if sum.demand == 0 {
            sums.remove(&tenant);
        }
    }
}

/// What all other gateways have reported about their tenants.
#[derive(Debug, Default)]
pub struct ReportedTenants {
    services: HashMap<ServiceKey, ServiceRates>,
    kept_rates: usize,
}

impl ReportedTenants {
    /// Records a gateway's report about one service. Implausible rates are ignored, and so are those beyond the maximum
    /// number of kept rates.
    pub fn receive(&mut self, now: Timestamp, sender: GatewayKey, report: &ServiceTenants) {
        if report.rounds == 0 || report.rounds > MAX_ROUNDS {
            return;
        }
        let expires_at = now + STALE_AFTER * report.rounds;
        let is_valid =
            |tenant: &&TenantRates| tenant.rates.is_plausible() && tenant.rates.demand > 0;
        let tenants = report.tenants.iter().filter(is_valid);
        for tenant in tenants.take(MAX_REPORTED_TENANTS) {
            let service = self.services.get(&report.service);
            let from_sender = service.and_then(|service| service.senders.get(&sender));
            let is_new =
                !from_sender.is_some_and(|sender| sender.tenants.contains_key(&tenant.tenant));
            if is_new && self.kept_rates >= MAX_KEPT_RATES {
                continue;
            }
            self.kept_rates += usize::from(is_new);
            let service = self.services.entry(report.service).or_default();
            service.replace(sender, *tenant, expires_at);
        }
        let Some(service) = self.services.get_mut(&report.service) else {
            return;
        };
        if let Some(sender) = service.senders.get_mut(&sender) {
            sender.received_at = now;
        }
        if report.refuses {
            service.refusal_reported_at = Some(now);
        }
    }

    /// Drops rates that were not repeated in time.
    pub fn drop_stale(&mut self, now: Timestamp) {
        self.services.retain(|_, service| {
            service.drop_stale(now);
            !service.senders.is_empty()
        });
        self.kept_rates = self.services.values().map(ServiceRates::kept_rates).sum();
    }

    /// Returns the sums of the rates of all other gateways for each tenant of a service.
    pub fn sums(&self, service: ServiceKey) -> Option<&HashMap<TenantKey, WorkRates>> {
        self.services.get(&service).map(|service| &service.sums)
    }

    /// Returns whether another gateway has reported refused requests for a service within [`STALE_AFTER`].
    pub fn is_refused_elsewhere(&self, now: Timestamp, service: ServiceKey) -> bool {
        let service = self.services.get(&service);
        let reported_at = service.and_then(|service| service.refusal_reported_at);
        reported_at.is_some_and(|at| now.since(at) < STALE_AFTER)
    }

    /// Returns the number of tenants of which others have reported rates.
    pub fn known_tenants(&self) -> usize {
        let services = self.services.values();
        let tenants: BTreeSet<TenantKey> = services
            .flat_map(|service| service.sums.keys().copied())
            .collect();
        tenants.len()
    }

    /// Returns the number of kept rates.
    pub fn kept_rates(&self) -> usize {
        self.kept_rates
    }
}
