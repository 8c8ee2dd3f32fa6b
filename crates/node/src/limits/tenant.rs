//! The tenant that a request belongs to.

use actix_web::http::header::HeaderMap;
use tansyhall_core::{ServiceName, TenantName};

use crate::configuration::ConfigurationInForce;

/// Header with the name of the caller's tenant.
pub const TENANT_HEADER: &str = "tansyhall-tenant";

/// The caller names a tenant that is not in the configuration.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("header {TENANT_HEADER}: no tenant has this name")]
pub struct UnknownTenant;

/// Returns the tenant that the caller names or, if it names none, the one that owns the service, if
/// any.
pub fn tenant_of(
    in_force: &ConfigurationInForce,
    service: &ServiceName,
    headers: &HeaderMap,
) -> Result<Option<TenantName>, UnknownTenant> {
    let configuration = &in_force.configuration;
    let Some(named) = headers.get(TENANT_HEADER) else {
        let service = configuration.services.get(service);
        return Ok(service.and_then(|service| service.tenant.clone()));
    };
    let named = named.to_str().map_err(|_| UnknownTenant)?.trim();
    let named = configuration
        .tenants
        .get_key_value(&TenantName::from(named));
    named
        .map(|(name, _)| Some(name.clone()))
        .ok_or(UnknownTenant)
}
