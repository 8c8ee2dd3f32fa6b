//! Tenants and the keys by which their callers are known.
//!
//! A key is found by a hash that is keyed at random in each process and compared in constant time, so
//! that the time of an answer tells a caller nothing about keys that it does not have. A key is never
//! shown: its debug form is redacted, and it has no other text form.

use std::collections::{HashMap, HashSet};
use std::fmt;
use std::hash::{Hash, Hasher};
use std::sync::Arc;

use subtle::ConstantTimeEq;
use tansyhall_core::TenantName;

/// A secret that makes a caller known as one of a tenant's.
#[derive(Clone)]
pub struct ApiKey(Arc<str>);

impl ApiKey {
    /// A key as a caller sends it or an operator gives it.
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

/// A tenant and its keys.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Tenant {
    /// Its name, unique among tenants.
    pub name: TenantName,
    /// Any of these makes a caller known.
    pub keys: Vec<ApiKey>,
    /// The rank of its requests in place of their route's; 0 is the most urgent.
    pub rank: Option<u8>,
}

/// Why tenants are refused.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum TenantError {
    /// Two tenants have one name.
    #[error("two tenants are called {0}")]
    Duplicate(TenantName),
    /// One key belongs to two tenants.
    #[error("tenants {0} and {1} share a key")]
    SharedKey(TenantName, TenantName),
}

/// Checks that each name and each key belongs to one tenant.
pub fn validate(tenants: &[Tenant]) -> Result<(), TenantError> {
    let mut names = HashSet::new();
    let mut holders: HashMap<&ApiKey, &TenantName> = HashMap::new();
    for tenant in tenants {
        if !names.insert(&tenant.name) {
            return Err(TenantError::Duplicate(tenant.name.clone()));
        }
        for key in &tenant.keys {
            let other = holders.insert(key, &tenant.name);
            if let Some(other) = other.filter(|other| **other != tenant.name) {
                let shared = TenantError::SharedKey(other.clone(), tenant.name.clone());
                return Err(shared);
            }
        }
    }
    Ok(())
}

/// A tenant as far as a request needs to know it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KnownTenant {
    /// Its name.
    pub name: TenantName,
    /// The rank of its requests in place of their route's.
    pub rank: Option<u8>,
}

/// Finds the tenant of a key, in a time that does not grow with the number of keys.
#[derive(Debug, Default)]
pub struct TenantTable {
    by_key: HashMap<ApiKey, Arc<KnownTenant>>,
}

impl TenantTable {
    /// Indexes tenants by their keys.
    pub fn new(tenants: &[Tenant]) -> Self {
        let mut by_key = HashMap::new();
        for tenant in tenants {
            let known = Arc::new(KnownTenant {
                name: tenant.name.clone(),
                rank: tenant.rank,
            });
            for key in &tenant.keys {
                by_key.insert(key.clone(), Arc::clone(&known));
            }
        }
        Self { by_key }
    }

    /// The tenant that holds a key.
    pub fn holder(&self, key: &ApiKey) -> Option<Arc<KnownTenant>> {
        self.by_key.get(key).cloned()
    }
}
