//! Request counts by tenant.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use tansyhall_core::TenantName;

/// The number of requests of each tenant.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(transparent)]
pub struct TenantCounts(BTreeMap<TenantName, u64>);

impl TenantCounts {
    /// Adds `requests` to the count of a tenant.
    pub fn add(&mut self, tenant: &TenantName, requests: u64) {
        let count = self.0.entry(tenant.clone()).or_default();
        *count = count.saturating_add(requests);
    }

    /// Adds the counts of other requests.
    pub fn add_all(&mut self, other: &TenantCounts) {
        for (tenant, requests) in &other.0 {
            self.add(tenant, *requests);
        }
    }

    /// Merges another count of the same requests, older or newer: keeps the larger one.
    pub fn raise_to(&mut self, tenant: &TenantName, requests: u64) {
        let count = self.0.entry(tenant.clone()).or_default();
        *count = requests.max(*count);
    }

    /// Merges other counts of the same requests, older or newer: keeps the larger count of each tenant.
    pub fn raise_all_to(&mut self, other: &TenantCounts) {
        for (tenant, requests) in &other.0 {
            self.raise_to(tenant, *requests);
        }
    }

    /// Returns the counts in the order of the tenants' names.
    pub fn iter(&self) -> impl Iterator<Item = (&TenantName, u64)> {
        self.0.iter().map(|(tenant, count)| (tenant, *count))
    }

    /// Returns the counts that are higher than in `earlier`, which counts the same requests.
    pub fn higher_than(&self, earlier: &TenantCounts) -> TenantCounts {
        let earlier_count = |tenant| earlier.0.get(tenant).copied().unwrap_or_default();
        let higher = self
            .0
            .iter()
            .filter(|(tenant, count)| **count > earlier_count(tenant));
        Self(
            higher
                .map(|(tenant, count)| (tenant.clone(), *count))
                .collect(),
        )
    }

    /// Whether no tenant has a count.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Returns the number of requests of all tenants.
    pub fn total(&self) -> u64 {
        let counts = self.0.values();
        counts.fold(0, |total, count| total.saturating_add(*count))
    }
}
