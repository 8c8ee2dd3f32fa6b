//! Counts by tenant.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use tansyhall_core::TenantName;

/// How many requests of each tenant.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(transparent)]
pub struct TenantCounts(BTreeMap<TenantName, u64>);

impl TenantCounts {
    /// Adds requests of a tenant.
    pub fn add(&mut self, tenant: &TenantName, requests: u64) {
        let count = self.0.entry(tenant.clone()).or_default();
        *count = count.saturating_add(requests);
    }

    /// Adds other requests.
    pub fn add_all(&mut self, other: &TenantCounts) {
        for (tenant, requests) in &other.0 {
            self.add(tenant, *requests);
        }
    }

    /// Takes in a later, or earlier, count of the same requests.
    pub fn raise_to(&mut self, tenant: &TenantName, requests: u64) {
        let count = self.0.entry(tenant.clone()).or_default();
        *count = requests.max(*count);
    }

    /// Takes in later, or earlier, counts of the same requests.
    pub fn raise_all_to(&mut self, other: &TenantCounts) {
        for (tenant, requests) in &other.0 {
            self.raise_to(tenant, *requests);
        }
    }

    /// Counts in the order of tenants' names.
    pub fn iter(&self) -> impl Iterator<Item = (&TenantName, u64)> {
        self.0.iter().map(|(tenant, count)| (tenant, *count))
    }

    /// The counts that are higher than in an earlier count of the same requests.
    pub fn above(&self, earlier: &TenantCounts) -> TenantCounts {
        let known = |tenant| earlier.0.get(tenant).copied().unwrap_or_default();
        let higher = self
            .0
            .iter()
            .filter(|(tenant, count)| **count > known(tenant));
        Self(
            higher
                .map(|(tenant, count)| (tenant.clone(), *count))
                .collect(),
        )
    }

    /// Whether nothing is counted.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Requests of all tenants.
    pub fn total(&self) -> u64 {
        self.0.values().sum()
    }
}
