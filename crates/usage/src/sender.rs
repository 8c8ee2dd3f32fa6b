//! What a gateway still has to tell its collector.
//!
//! Counts only grow, so that it is enough to repeat those that have changed since the last message that
//! was acknowledged: a few dozen bytes for a gateway of a dozen requests a second, where whole counts of
//! 74 tenants take a kilobyte and a half.

use std::collections::BTreeMap;

use crate::collection::SourceUsage;
use crate::counts::TenantCounts;
use crate::window::WindowNumber;

type Windows = BTreeMap<WindowNumber, TenantCounts>;

/// What one collector has acknowledged.
#[derive(Debug, Default)]
pub struct UsageSender {
    sequence: u64,
    /// The number of the last message to the collector before the present one.
    told_before: u64,
    /// The life of the collector that has acknowledged.
    collector: Option<u64>,
    sent: Windows,
    acknowledged: Windows,
}

impl UsageSender {
    /// The next message: its number, and what the collector may not have.
    pub fn next(&mut self, usage: SourceUsage) -> (u64, SourceUsage) {
        self.sequence += 1;
        self.acknowledged
            .retain(|window, _| usage.windows.contains_key(window));
        let nothing = TenantCounts::default();
        let windows = usage.windows.iter().map(|(window, counts)| {
            let known = self.acknowledged.get(window).unwrap_or(&nothing);
            (*window, counts.above(known))
        });
        let windows = windows.filter(|(_, counts)| !counts.is_empty()).collect();
        self.sent = usage.windows;
        let message = SourceUsage {
            source: usage.source,
            counted_until: usage.counted_until,
            windows,
        };
        (self.sequence, message)
    }

    /// A life of a collector has taken a message in; false if that was the collector before. Only the
    /// latest message says what it has by now, and nothing says that another life has it, too.
    pub fn acknowledge(&mut self, sequence: u64, collector: u64) -> bool {
        if sequence <= self.told_before {
            return false;
        }
        let known = self.collector.replace(collector);
        if known.is_some_and(|known| known != collector) {
            self.forget_acknowledged();
        } else if sequence == self.sequence {
            self.acknowledged = std::mem::take(&mut self.sent);
        }
        true
    }

    /// Another collector, which has nothing yet, is told from now on.
    pub fn restart(&mut self) {
        self.told_before = self.sequence;
        self.collector = None;
        self.forget_acknowledged();
    }

    fn forget_acknowledged(&mut self) {
        self.sent.clear();
        self.acknowledged.clear();
    }
}
