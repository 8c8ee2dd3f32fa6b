//! How long requests of each tenant may wait, given what the tenant has taken of a service.

use tansyhall_core::{ServiceName, Timestamp};

use super::choice::Demand;
use super::demand::AskedSeconds;
use super::Directory;
use crate::tenant_shares::{TenantKey, TenantShares};

impl Directory {
    /// A request asks for work: the part of the usual wait for which it may wait.
    pub(super) fn tenant_patience(
        &mut self,
        now: Timestamp,
        demand: Demand<'_>,
        asked: AskedSeconds,
    ) -> f64 {
        let seconds = self.engine_seconds(demand.service, asked);
        let Some((shares, tenant)) = self.shares_of(demand) else {
            return 1.0;
        };
        // What was asked before is decided on: this request would count as not taken.
        let part = shares.patience_part(now, tenant);
        shares.record_asked(now, tenant, seconds);
        part
    }

    /// What a request asked for is taken.
    pub(super) fn record_tenant_work(
        &mut self,
        now: Timestamp,
        demand: Demand<'_>,
        asked: AskedSeconds,
    ) {
        let seconds = self.engine_seconds(demand.service, asked);
        if let Some((shares, tenant)) = self.shares_of(demand) {
            shares.record_taken(now, tenant, seconds);
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
