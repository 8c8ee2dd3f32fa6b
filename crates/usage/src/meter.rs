//! Counts the requests that start through one gateway.

use std::collections::BTreeMap;

use tansyhall_core::TenantName;

use crate::collection::{Source, SourceUsage};
use crate::counts::TenantCounts;
use crate::window::{UnixMillis, WindowNumber, WindowTiming};

/// Counts the requests that one gateway starts, by tenant and time window.
#[derive(Debug)]
pub struct UsageMeter {
    source: Source,
    timing: WindowTiming,
    windows: BTreeMap<WindowNumber, TenantCounts>,
}

impl UsageMeter {
    /// Creates a meter without counts.
    pub fn new(source: Source, timing: WindowTiming) -> Self {
        Self {
            source,
            timing,
            windows: BTreeMap::new(),
        }
    }

    /// Counts one request that started at `at`.
    pub fn count(&mut self, tenant: &TenantName, at: UnixMillis) {
        let window = self.timing.window_of(at);
        self.windows.entry(window).or_default().add(tenant, 1);
    }

    /// Returns the counts of the windows that may still be reported, and drops older windows.
    pub fn usage(&mut self, now: UnixMillis) -> SourceUsage {
        let oldest = self.timing.oldest_open(now);
        self.windows.retain(|window, _| *window >= oldest);
        SourceUsage {
            source: self.source.clone(),
            counted_until: now,
            windows: self.windows.clone(),
        }
    }
}
