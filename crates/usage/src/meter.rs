//! What begins to run through one gateway.

use std::collections::BTreeMap;

use tansyhall_core::TenantName;

use crate::collection::{Source, SourceUsage};
use crate::counts::TenantCounts;
use crate::window::{UnixMillis, WindowNumber, WindowTiming};

/// Counts the requests of one gateway.
#[derive(Debug)]
pub struct UsageMeter {
    source: Source,
    timing: WindowTiming,
    windows: BTreeMap<WindowNumber, TenantCounts>,
}

impl UsageMeter {
    /// A gateway that has counted nothing.
    pub fn new(source: Source, timing: WindowTiming) -> Self {
        Self {
            source,
            timing,
            windows: BTreeMap::new(),
        }
    }

    /// A request began to run.
    pub fn count(&mut self, tenant: &TenantName, at: UnixMillis) {
        let window = self.timing.window_of(at);
        self.windows.entry(window).or_default().add(tenant, 1);
    }

    /// What was counted in windows that may still be reported.
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
