//! Tenants and the API keys that authenticate their callers.
//!
//! A key is looked up by a hash that is keyed randomly in each process, and it is compared in constant
//! time, so that the duration of a request reveals nothing about keys that the caller does not have. A
//! key is never printed: its `Debug` output is redacted, and it does not implement `Display`.

use std::collections::{HashMap, HashSet};
use std::fmt;
use std::hash::{Hash, Hasher};
use std::sync::Arc;

use subtle::ConstantTimeEq;
use tansyhall_core::TenantName;

/// A secret that authenticates a caller as belonging to a tenant.
#[derive(Clone)]
pub struct ApiKey(Arc<str>);

impl ApiKey {
    /// Creates a key from the text that a caller sends or an operator configures.
    pub fn new(text: &str) -> Self {
        Self(Arc::from(text))
    }
}

impl PartialEq for ApiKey {
    fn eq(&self, other: &Self) -> bool {
        self.0.as_bytes().ct_eq(other.0.as_bytes()).into()
    }
}

impl Eq for ApiKey {}

impl Hash for ApiKey {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.0.hash(state);
    }
}

impl fmt::Debug for ApiKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("ApiKey(redacted)")
    }
}

/// A tenant and its API keys.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Tenant {
    /// The name, unique among tenants.
    pub name: TenantName,
    /// The keys, any of which authenticates a caller.
    pub keys: Vec<ApiKey>,
    /// The rank of its requests, which overrides the rank of the route; 0 is the most urgent.
    pub rank: Option<u8>,
}

/// The reason for which a set of tenants is invalid.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum TenantError {
    /// Two tenants have the same name.
    #[error("duplicate tenant name {0}")]
    Duplicate(TenantName),
    /// Two tenants have the same key.
    #[error("tenants {0} and {1} have the same API key")]
    SharedKey(TenantName, TenantName),
}

/// Checks that each name and each key belongs to only one tenant.
pub fn validate(tenants: &[Tenant]) -> Result<(), TenantError> {
    let mut names = HashSet::new();
    let mut owners: HashMap<&ApiKey, &TenantName> = HashMap::new();
    for tenant in tenants {
        if !names.insert(&tenant.name) {
            return Err(TenantError::Duplicate(tenant.name.clone()));
        }
        for key in &tenant.keys {
            let other = owners.insert(key, &tenant.name);
            if let Some(other) = other.filter(|other| **other != tenant.name) {
                let shared = TenantError::SharedKey(other.clone(), tenant.name.clone());
                return Err(shared);
            }
        }
    }
    Ok(())
}

/// The tenant of an authenticated caller, with the properties that its requests depend on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AuthenticatedTenant {
    /// The name.
    pub name: TenantName,
    /// The rank of its requests, which overrides the rank of the route.
    pub rank: Option<u8>,
}

/// Tenants by API key. The time of a lookup does not depend on the number of keys.
#[derive(Debug, Default)]
pub struct TenantTable {
    by_key: HashMap<ApiKey, Arc<AuthenticatedTenant>>,
}

impl TenantTable {
    /// Creates the table of tenants.
    pub fn new(tenants: &[Tenant]) -> Self {
        let mut by_key = HashMap::new();
        for tenant in tenants {
            let tenant_of_keys = Arc::new(AuthenticatedTenant {
                name: tenant.name.clone(),
                rank: tenant.rank,
            });
            for key in &tenant.keys {
                by_key.insert(key.clone(), Arc::clone(&tenant_of_keys));
            }
        }
        Self { by_key }
    }

    /// Returns the tenant that a key belongs to.
    pub fn tenant_of(&self, key: &ApiKey) -> Option<Arc<AuthenticatedTenant>> {
        self.by_key.get(key).cloned()
    }
}
