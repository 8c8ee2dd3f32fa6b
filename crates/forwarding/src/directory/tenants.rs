//! How long requests of each tenant may wait, depending on what the tenant has taken of a service.

use tansyhall_core::{ServiceName, Timestamp};

use super::admission::{Admission, RefusalCause};
use super::choice::Demand;
use super::demand::RequiredSeconds;
use super::Directory;
use crate::tenant_shares::{TenantKey, TenantShares, WorkOutcome};

impl Directory {
    /// Returns the fraction of the usual wait for which a request may wait.
    pub(super) fn tenant_wait_fraction(&mut self, now: Timestamp, demand: Demand<'_>) -> f64 {
        if let Some(tenant) = demand.tenant.filter(|_| self.uses_fleet_tenants()) {
            return self.fleet_wait_fraction(now, demand, tenant);
        }
        let shares = self.shares_of(demand);
        shares.map_or(1.0, |(shares, tenant)| shares.wait_fraction(now, tenant))
    }

    /// Records the engine time that a request required, and whether it was admitted.
    pub(super) fn record_tenant_work(
        &mut self,
        now: Timestamp,
        demand: Demand<'_>,
        required: RequiredSeconds,
        admission: &Admission,
    ) {
        let seconds = self.engine_seconds(demand.service, required);
        if let Some((shares, tenant)) = self.shares_of(demand) {
            shares.record(now, tenant, seconds, work_outcome(admission));
        }
    }

    /// Returns the shares of the demand's service; `None` if the demand belongs to no tenant or
    /// shares are switched off.
    fn shares_of(&mut self, demand: Demand<'_>) -> Option<(&mut TenantShares, TenantKey)> {
        let tenant = demand.tenant.filter(|_| self.decisions.tenant_shares)?;
        let shares = self.tenant_shares.entry(demand.service.clone());
        Some((shares.or_default(), tenant))
    }

    /// Converts required engine time into seconds of complete engines.
    fn engine_seconds(&self, service: &ServiceName, required: RequiredSeconds) -> f64 {
        let slots = self.engines.get(service).map_or(1, |engine| engine.slots);
        required.whole_engine_seconds(slots)
    }
}

fn work_outcome(admission: &Admission) -> WorkOutcome {
    match admission {
        Admission::Admitted { .. } => WorkOutcome::Accepted,
        Admission::Refused { cause, .. } => match cause {
            RefusalCause::Overload | RefusalCause::RateLimit => WorkOutcome::RefusedForOverload,
            RefusalCause::TenantShare => WorkOutcome::RefusedForShare,
        },
    }
}
