//! Limits of a configuration and their keys.

use std::collections::BTreeMap;

use tansyhall_core::{ServiceName, TenantName};
use tansyhall_policy::TenantLimits;
use tansyhall_shares::key::UNIT;
use tansyhall_shares::{Amount, LimitKey, LimitKind};

use crate::configuration::ConfigurationInForce;

/// Keys of the limits that apply to one tenant at one service; absent if there is no limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct LimitKeys {
    /// Requests per second.
    pub requests: Option<LimitKey>,
    /// Tokens per second.
    pub tokens: Option<LimitKey>,
    /// Requests in progress.
    pub concurrent: Option<LimitKey>,
}

impl LimitKeys {
    /// Returns the keys of the limits of a tenant at a service. A limit in the service's policy
    /// replaces that in the tenant's resource.
    pub fn of(in_force: &ConfigurationInForce, service: &ServiceName, tenant: &TenantName) -> Self {
        let own = in_force.configuration.tenants.get(tenant);
        let own = own.map(|tenant| tenant.limits).unwrap_or_default();
        let program = in_force.program(service);
        let policy = program.tenants().get(tenant).copied().unwrap_or_default();
        let key = |kind| {
            let of_service = limit_of(&policy, kind).map(|_| service);
            let applies = of_service.is_some() || limit_of(&own, kind).is_some();
            applies.then(|| LimitKey::new(tenant, of_service, kind))
        };
        Self {
            requests: key(LimitKind::RequestsPerSecond),
            tokens: key(LimitKind::TokensPerSecond),
            concurrent: key(LimitKind::Concurrent),
        }
    }
}

/// Returns all limits in force.
pub fn limits_in_force(in_force: &ConfigurationInForce) -> BTreeMap<LimitKey, Amount> {
    let mut limits = BTreeMap::new();
    for tenant in in_force.configuration.tenants.values() {
        insert(&mut limits, &tenant.name, None, &tenant.limits);
    }
    for service in in_force.configuration.services.keys() {
        for (tenant, of_policy) in in_force.program(service).tenants() {
            insert(&mut limits, tenant, Some(service), of_policy);
        }
    }
    limits
}

fn insert(
    limits: &mut BTreeMap<LimitKey, Amount>,
    tenant: &TenantName,
    service: Option<&ServiceName>,
    set: &TenantLimits,
) {
    let kinds = [
        LimitKind::RequestsPerSecond,
        LimitKind::TokensPerSecond,
        LimitKind::Concurrent,
    ];
    for kind in kinds {
        if let Some(limit) = limit_of(set, kind) {
            let key = LimitKey::new(tenant, service, kind);
            limits.insert(key, limit.saturating_mul(UNIT));
        }
    }
}

const fn limit_of(limits: &TenantLimits, kind: LimitKind) -> Option<u64> {
    match kind {
        LimitKind::RequestsPerSecond => limits.requests_per_second,
        LimitKind::TokensPerSecond => limits.tokens_per_second,
        LimitKind::Concurrent => limits.concurrent,
    }
}
