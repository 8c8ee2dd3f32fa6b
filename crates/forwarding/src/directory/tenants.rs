//! How long requests of each tenant may wait, given what the tenant has taken of a service.

use tansyhall_core::{ServiceName, Timestamp};

use super::admission::{Admission, RefusalCause};
use super::choice::Demand;
use super::demand::AskedSeconds;
use super::Directory;
use crate::tenant_shares::{TenantKey, TenantShares, WorkOutcome};

impl Directory {
    /// The part of the usual wait for which a request may wait.
    pub(super) fn tenant_patience(&mut self, now: Timestamp, demand: Demand<'_>) -> f64 {
        let shares = self.shares_of(demand);
        shares.map_or(1.0, |(shares, tenant)| shares.wait_fraction(now, tenant))
    }

    /// Counts what a request asked for, and what became of it.
    pub(super) fn record_tenant_work(
        &mut self,
        now: Timestamp,
        demand: Demand<'_>,
        asked: AskedSeconds,
        admission: &Admission,
    ) {
        let seconds = self.engine_seconds(demand.service, asked);
        if let Some((shares, tenant)) = self.shares_of(demand) {
            shares.record(now, tenant, seconds, outcome(admission));
        }
    }

    /// The shares of the demand's service; none if the demand is no tenant's, or shares don't count.
    fn shares_of(&mut self, demand: Demand<'_>) -> Option<(&mut TenantShares, TenantKey)> {
        let tenant = demand.tenant.filter(|_| self.decisions.tenant_shares)?;
        let shares = self.tenant_shares.entry(demand.service.clone());
        Some((shares.or_default(), tenant))
    }

    /// What is asked of a service in seconds of whole engines.
    fn engine_seconds(&self, service: &ServiceName, asked: AskedSeconds) -> f64 {
        let slots = self.engines.get(service).map_or(1, |engine| engine.slots);
        asked.of_engines(slots)
    }
}

fn outcome(admission: &Admission) -> WorkOutcome {
    match admission {
        Admission::Taken { .. } => WorkOutcome::Accepted,
        Admission::Refused { cause, .. } => match cause {
            RefusalCause::Overload | RefusalCause::RateLimit => WorkOutcome::RefusedForOverload,
            RefusalCause::TenantShare => WorkOutcome::RefusedForShare,
        },
    }
}
