//! The share of a number of retries that one gateway may use, if the number holds for the whole fleet and any window.
//!
//! Gateways keep nothing across restarts and do not ask each other. The number is therefore divided so that what all of
//! them use stays within it:
//!
//! - A gateway whose announcement is missing, as far as it knows, has no share: the others do not count it.
//! - A gateway whose earlier life may have used its share within a window, or whose announcement was missing, has a share
//!   that grows from nothing to its full size within a window from its announcement on. All lives of a gateway that begin
//!   within a window together get no more than one full share.
//! - Only half of the number is divided. The other half covers what a life used that ends at the start of a window,
//!   before the next ones begin.
//! - A gateway that is no longer announced is counted for one more window: it may not know yet, and what it has used is
//!   in the window.
//!
//! A gateway that is cut off from the store and from all others does not learn that its announcement has lapsed, and
//! keeps its share.

use std::collections::VecDeque;
use std::time::Duration;

use tansyhall_core::Timestamp;

/// Fraction of the number that is divided among gateways.
const DIVIDED_FRACTION: f64 = 0.5;

/// One gateway's share.
#[derive(Debug)]
pub struct FixedShare {
    window: Duration,
    /// The gateways that share; `None` while the others do not count this one.
    counted: Option<Counted>,
    /// Larger numbers of gateways that applied before, each with the time until which it did.
    earlier: VecDeque<(Timestamp, u64)>,
    /// Whether the others have counted this gateway before.
    was_counted: bool,
}

/// The gateways that share, as one of them knows them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SharingGateways {
    /// Their number.
    pub count: u64,
    /// Whether this gateway was announced before it started, so that an earlier life may have used its share.
    pub has_earlier_life: bool,
}

#[derive(Debug, Clone, Copy)]
struct Counted {
    gateways: u64,
    /// Since when the share grows; `None` if it has its full size.
    growing_since: Option<Timestamp>,
}

impl FixedShare {
    /// Creates the share of a gateway that is not announced yet.
    pub fn new(window: Duration) -> Self {
        Self {
            window,
            counted: None,
            earlier: VecDeque::new(),
            was_counted: false,
        }
    }

    /// Sets the length of the window.
    pub fn set_window(&mut self, window: Duration) {
        self.window = window;
    }

    /// Sets the gateways that share, or `None` while the others do not count this one.
    pub fn set_gateways(&mut self, now: Timestamp, sharing: Option<SharingGateways>) {
        let current = sharing.map_or(0, |sharing| sharing.count);
        let before = self.counted.map_or(0, |counted| counted.gateways);
        if before > current {
            self.earlier.push_back((now, before));
        }
        let window = self.window;
        self.earlier
            .retain(|(until, count)| *count > current && now.since(*until) < window);
        self.counted = sharing.map(|sharing| Counted {
            gateways: sharing.count,
            growing_since: match self.counted {
                Some(counted) => counted.growing_since,
                None => {
                    let may_have_used_it = self.was_counted || sharing.has_earlier_life;
                    may_have_used_it.then_some(now)
                }
            },
        });
        self.was_counted |= sharing.is_some();
    }

    /// Returns the fraction of the fleet's number that this gateway may use in the window that ends now.
    pub fn fraction(&self, now: Timestamp) -> f64 {
        let Some(counted) = self.counted else {
            return 0.0;
        };
        let recent = self.earlier.iter();
        let recent = recent.filter(|(until, _)| now.since(*until) < self.window);
        let sharing = recent
            .map(|(_, count)| *count)
            .fold(counted.gateways, u64::max);
        let grown = counted.growing_since.map_or(1.0, |since| {
            let age = now.since(since).min(self.window);
            age.as_secs_f64() / self.window.as_secs_f64()
        });
        DIVIDED_FRACTION * grown / sharing.max(1) as f64
    }
}
