//! What several gateways have counted.

use std::collections::{BTreeMap, BTreeSet};

use crate::counts::TenantCounts;
use crate::window::{UnixMillis, WindowNumber};

/// One incarnation of a gateway; its restart counts from zero under another.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Source {
    /// The gateway's name.
    pub gateway: String,
    /// Drawn at its start.
    pub incarnation: u64,
}

/// What one source has counted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SourceUsage {
    /// The source.
    pub source: Source,
    /// Everything that began to run until then is in the counts, but for what had no answer yet.
    pub counted_until: UnixMillis,
    /// Counts by window.
    pub windows: BTreeMap<WindowNumber, TenantCounts>,
}

#[derive(Debug, Clone, Default)]
struct Counted {
    until: UnixMillis,
    windows: BTreeMap<WindowNumber, TenantCounts>,
}

/// What several sources have counted. Taking in the same usage again changes nothing, in any order.
#[derive(Debug, Clone, Default)]
pub struct Collection {
    sources: BTreeMap<Source, Counted>,
}

impl Collection {
    /// Takes in what a source has counted.
    pub fn take_in(&mut self, usage: SourceUsage) {
        let counted = self.sources.entry(usage.source).or_default();
        counted.until = counted.until.max(usage.counted_until);
        for (window, counts) in usage.windows {
            let known = counted.windows.entry(window).or_default();
            known.raise_all_to(&counts);
        }
    }

    /// Forgets windows before `oldest`, and sources that have counted nothing since.
    pub fn forget_before(&mut self, oldest: WindowNumber, oldest_begins: UnixMillis) {
        for counted in self.sources.values_mut() {
            counted.windows.retain(|window, _| *window >= oldest);
        }
        self.sources
            .retain(|_, counted| !counted.windows.is_empty() || counted.until >= oldest_begins);
    }

    /// What each source has counted.
    pub fn sources(&self) -> impl Iterator<Item = SourceUsage> + '_ {
        self.sources.iter().map(|(source, counted)| SourceUsage {
            source: source.clone(),
            counted_until: counted.until,
            windows: counted.windows.clone(),
        })
    }

    /// Whether nothing was taken in.
    pub fn is_empty(&self) -> bool {
        self.sources.is_empty()
    }

    /// The last window that any source has counted in.
    pub fn last_window(&self) -> Option<WindowNumber> {
        let windows = self.sources.values().flat_map(|one| one.windows.keys());
        windows.max().copied()
    }

    /// What all sources have counted in a window.
    pub fn total(&self, window: WindowNumber) -> TenantCounts {
        let mut total = TenantCounts::default();
        for counted in self.sources.values() {
            if let Some(counts) = counted.windows.get(&window) {
                total.add_all(counts);
            }
        }
        total
    }

    /// Whether each of these gateways has counted until then.
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
