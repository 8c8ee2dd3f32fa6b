//! What the directory reports about its tenants, and what it knows of those of other gateways.

use tansyhall_core::{ServiceName, Timestamp};

use super::choice::Demand;
use super::Directory;
use crate::fleet_tenants::{
    OwnTenants, ReportedTenants, ServiceTenants, TenantRotation, REPORTED_AFTER_REFUSAL,
    TENANT_REPORT_INTERVAL,
};
use crate::load_exchange::{GatewayKey, ServiceKey};
use crate::tenant_shares::{TenantKey, TenantShares};

/// The tenants of the whole fleet.
#[derive(Debug, Default)]
pub(super) struct FleetTenants {
    others: ReportedTenants,
    rotation: TenantRotation,
    reported_at: Option<Timestamp>,
}

impl Directory {
    /// Returns the number of tenants of which other gateways have reported rates.
    pub fn tenants_of_others(&self) -> usize {
        self.fleet_tenants.others.known_tenants()
    }

    /// Returns the fraction of the usual wait for which a request of a tenant may wait, considering the work of the
    /// whole fleet.
    pub(super) fn fleet_wait_fraction(
        &mut self,
        now: Timestamp,
        demand: Demand<'_>,
        tenant: TenantKey,
    ) -> f64 {
        let others = &self.fleet_tenants.others;
        let others = others.sums(ServiceKey::of(demand.service));
        let shares = self.tenant_shares.entry(demand.service.clone());
        shares
            .or_default()
            .fleet_wait_fraction(now, tenant, others.unwrap_or(&Default::default()))
    }

    /// Returns whether the shares of tenants follow from the work of the whole fleet.
    pub(super) fn uses_fleet_tenants(&self) -> bool {
        self.decisions.tenant_shares && self.decisions.fleet_tenant_shares
    }

    /// Drops rates that other gateways have not repeated in time.
    pub(super) fn drop_stale_tenants(&mut self, now: Timestamp) {
        self.fleet_tenants.others.drop_stale(now);
    }

    /// Returns the report of this gateway's tenants if one is due.
    pub(super) fn tenants_due(&mut self, now: Timestamp) -> Vec<ServiceTenants> {
        let is_due = |at: Timestamp| now.since(at) >= TENANT_REPORT_INTERVAL;
        if !self.uses_fleet_tenants() || !self.fleet_tenants.reported_at.is_none_or(is_due) {
            return Vec::new();
        }
        let own: Vec<OwnTenants> = self
            .tenant_shares
            .iter()
            .filter_map(|(service, shares)| self.reported_tenants(now, service, shares))
            .collect();
        if own.is_empty() {
            return Vec::new();
        }
        self.fleet_tenants.reported_at = Some(now);
        self.fleet_tenants.rotation.next_report(&own)
    }

    /// Returns the tenants of a service while its requests are refused anywhere.
    fn reported_tenants(
        &self,
        now: Timestamp,
        service: &ServiceName,
        shares: &TenantShares,
    ) -> Option<OwnTenants> {
        let service = ServiceKey::of(service);
        let refuses = shares.has_refused_within(now, REPORTED_AFTER_REFUSAL);
        let others = &self.fleet_tenants.others;
        (refuses || others.is_refused_elsewhere(now, service)).then(|| OwnTenants {
            service,
            refuses,
            tenants: shares.rates(now),
        })
    }

    /// Records what another gateway has reported about its tenants.
    pub(super) fn receive_tenants(
        &mut self,
        now: Timestamp,
        sender: GatewayKey,
        reports: &[ServiceTenants],
    ) {
        let uses_reports = self.uses_fleet_tenants();
        for report in reports.iter().filter(|_| uses_reports) {
            self.fleet_tenants.others.receive(now, sender, report);
        }
    }
}
