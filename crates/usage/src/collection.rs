//! Usage counts collected from several gateways.

use std::collections::{BTreeMap, BTreeSet};

use crate::counts::TenantCounts;
use crate::window::{UnixMillis, WindowNumber};

/// One incarnation of a gateway. After a restart, the gateway counts from zero under a new incarnation.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Source {
    /// Name of the gateway.
    pub gateway: String,
    /// Random number that the gateway draws at its start.
    pub incarnation: u64,
}

/// The usage that one source has counted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SourceUsage {
    /// The incarnation of a gateway that counted it.
    pub source: Source,
    /// Time up to which the counts are complete, except for requests that had no answer yet.
    pub counted_until: UnixMillis,
    /// Counts by time window.
    pub windows: BTreeMap<WindowNumber, TenantCounts>,
}

#[derive(Debug, Clone, Default)]
struct Counted {
    until: UnixMillis,
    windows: BTreeMap<WindowNumber, TenantCounts>,
}

/// The usage of several sources. Merging is idempotent and independent of the order.
#[derive(Debug, Clone, Default)]
pub struct Collection {
    sources: BTreeMap<Source, Counted>,
}

impl Collection {
    /// Merges the usage of a source: keeps the larger of two counts.
    pub fn merge(&mut self, usage: SourceUsage) {
        let counted = self.sources.entry(usage.source).or_default();
        counted.until = counted.until.max(usage.counted_until);
        for (window, counts) in usage.windows {
            let merged = counted.windows.entry(window).or_default();
            merged.raise_all_to(&counts);
        }
    }

    /// Removes windows before `oldest`, and sources that have no window left and have not reported since `oldest_begins`.
    pub fn remove_before(&mut self, oldest: WindowNumber, oldest_begins: UnixMillis) {
        for counted in self.sources.values_mut() {
            counted.windows.retain(|window, _| *window >= oldest);
        }
        self.sources
            .retain(|_, counted| !counted.windows.is_empty() || counted.until >= oldest_begins);
    }

    /// Returns the usage of each source.
    pub fn sources(&self) -> impl Iterator<Item = SourceUsage> + '_ {
        self.sources.iter().map(|(source, counted)| SourceUsage {
            source: source.clone(),
            counted_until: counted.until,
            windows: counted.windows.clone(),
        })
    }

    /// Whether the collection has no source.
    pub fn is_empty(&self) -> bool {
        self.sources.is_empty()
    }

    /// Returns the last window for which any source has counts.
    pub fn last_window(&self) -> Option<WindowNumber> {
        let windows = self
            .sources
            .values()
            .flat_map(|counted| counted.windows.keys());
        windows.max().copied()
    }

    /// Returns the sum of the counts of all sources in a window.
    pub fn total(&self, window: WindowNumber) -> TenantCounts {
        let mut total = TenantCounts::default();
        for counted in self.sources.values() {
            if let Some(counts) = counted.windows.get(&window) {
                total.add_all(counts);
            }
        }
        total
    }

    /// Whether the counts of each of these gateways are complete up to `until`.
    pub fn covers<'a>(
        &self,
        mut gateways: impl Iterator<Item = &'a str>,
        until: UnixMillis,
    ) -> bool {
        let counted: BTreeSet<&str> = self
            .sources
            .iter()
            .filter(|(_, counted)| counted.until >= until)
            .map(|(source, _)| source.gateway.as_str())
            .collect();
        gateways.all(|gateway| counted.contains(gateway))
    }
}
