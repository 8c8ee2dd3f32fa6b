//! One gateway's shares of the fleet's retry budgets. Each service has its own budget.
//!
//! A budget bounds the retries to a service in any window, which are all sends after the first one of each request. The
//! bound is a fixed number for the whole fleet plus a ratio of the requests for that service, in the window or in the one
//! before it.
//!
//! Each gateway stays within its [share of the fixed number](crate::fixed_share) plus half of the ratio of its own
//! requests in both windows together, at any time for every window that ends then. Requests are counted by one gateway and
//! by one life of it each, so the sum over all gateways and lives is within half of the ratio of the fleet's requests in
//! both windows, and therefore within the budget. This holds without messages between gateways, when they restart, and
//! when callers move from one gateway to another. With the whole ratio of the requests in one window that follows the
//! time, a gateway could use it for the requests before a window, and its next life or another gateway for those in it.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use tansyhall_core::{ServiceName, Timestamp};

use crate::fixed_share::{FixedShare, SharingGateways};

/// Time that one bucket covers.
const BUCKET_WIDTH: Duration = Duration::from_millis(500);
/// The longest time between the permission for a retry and its arrival at a worker, in buckets.
const MAX_ARRIVAL_DELAY: u64 = 1;
/// Fraction of the ratio that is used. The remainder covers requests that gateways and callers attribute to different
/// services while the configuration changes.
const USED_RATIO_FRACTION: f64 = 0.9;

/// Returns the number of gateways that a gateway must assume to share the fleet's budgets, when it knew of `known`
/// gateways before and `announced` are announced now. A gateway that stops is no longer announced, but still serves the
/// requests that it has and spends retries, so it keeps its share. Otherwise, several gateways that stop at once would
/// each take the shares of the others and spend the fixed number several times over. The same would happen to all
/// gateways while announcements `may_be_missing`: a restored store has lost some of them, and gateways that start
/// together have not made theirs yet.
pub fn sharing_gateways(announced: u64, known: u64, may_be_missing: bool) -> u64 {
    match may_be_missing {
        true => announced.max(known),
        false => announced.max(1),
    }
}

/// Settings of the fleet's retry budget.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryShareSettings {
    /// Allowed retries per request.
    pub ratio: f64,
    /// Allowed retries beyond the ratio, for the whole fleet in one window.
    pub fleet_extra: f64,
    /// Length of the window.
    pub window: Duration,
}

/// One gateway's shares of the budgets of all services.
#[derive(Debug)]
pub struct RetryShares {
    settings: RetryShareSettings,
    fixed: FixedShare,
    services: HashMap<ServiceName, RetryCounts>,
}

impl RetryShares {
    /// Creates the shares of a gateway that is not announced yet.
    pub fn new(settings: RetryShareSettings) -> Self {
        Self {
            settings,
            fixed: FixedShare::new(settings.window),
            services: HashMap::new(),
        }
    }

    /// Changes the settings of the budgets. Retries already spent in the window still count.
    pub fn set_settings(&mut self, settings: RetryShareSettings) {
        self.settings = settings;
        self.fixed.set_window(settings.window);
    }

    /// Sets the gateways that share the budgets, or `None` while the others do not count this one.
    pub fn set_gateways(&mut self, now: Timestamp, sharing: Option<SharingGateways>) {
        self.fixed.set_gateways(now, sharing);
    }

    /// Counts a request for a service.
    pub fn record_request(&mut self, now: Timestamp, service: &ServiceName) {
        self.counts_mut(service).current_bucket(now).requests += 1;
    }

    /// Returns whether one more send to a service is allowed, and counts it if so.
    pub fn try_retry(&mut self, now: Timestamp, service: &ServiceName) -> bool {
        let allowed = self.remaining(now, service) >= 1.0;
        if allowed {
            self.counts_mut(service).current_bucket(now).retries += 1;
        }
        allowed
    }

    /// Returns the number of retries to a service that are allowed now.
    pub fn remaining(&mut self, now: Timestamp, service: &ServiceName) -> f64 {
        let settings = self.settings;
        let fixed = settings.fleet_extra * self.fixed.fraction(now);
        self.counts_mut(service).remaining(now, settings, fixed)
    }

    /// Returns the number of retries that are allowed now, for each service.
    pub fn remaining_by_service(&mut self, now: Timestamp) -> Vec<(ServiceName, f64)> {
        let settings = self.settings;
        let fixed = settings.fleet_extra * self.fixed.fraction(now);
        let services = self.services.iter_mut();
        services
            .map(|(service, counts)| (service.clone(), counts.remaining(now, settings, fixed)))
            .collect()
    }

    fn counts_mut(&mut self, service: &ServiceName) -> &mut RetryCounts {
        self.services.entry(service.clone()).or_default()
    }
}

/// Recent requests for a service and their retries.
#[derive(Debug, Default)]
struct RetryCounts {
    buckets: VecDeque<Bucket>,
}

#[derive(Debug, Clone, Copy)]
struct Bucket {
    /// Number of the bucket since time zero.
    number: u64,
    requests: u32,
    retries: u32,
}

impl RetryCounts {
    /// Returns the number of retries that are allowed now, of which `fixed` do not depend on the number of requests.
    fn remaining(&mut self, now: Timestamp, settings: RetryShareSettings, fixed: f64) -> f64 {
        let current = self.current_bucket(now).number;
        let window = buckets_in(settings.window);
        let earliest_start = current.saturating_sub(window + MAX_ARRIVAL_DELAY);
        let ratio = settings.ratio * USED_RATIO_FRACTION / 2.0;
        let mut retries = 0;
        let mut remaining = f64::INFINITY;
        for start in self.buckets.iter().rev() {
            if start.number < earliest_start {
                break;
            }
            retries += start.retries;
            let requests = self.requests_for_window(start.number, window);
            remaining = remaining.min(ratio * f64::from(requests) - f64::from(retries));
        }
        self.remove_older_than(earliest_start.saturating_sub(window));
        remaining + fixed
    }

    /// Returns the number of requests in the window before any that starts in the bucket `start`, and since then.
    fn requests_for_window(&self, start: u64, window: u64) -> u32 {
        let first = (start + 1 + MAX_ARRIVAL_DELAY).saturating_sub(window);
        let buckets = self.buckets.iter().rev();
        let counted = buckets.take_while(|bucket| bucket.number >= first);
        counted.map(|bucket| bucket.requests).sum()
    }

    fn remove_older_than(&mut self, number: u64) {
        let is_older = |bucket: &Bucket| bucket.number < number;
        while self.buckets.front().is_some_and(is_older) {
            self.buckets.pop_front();
        }
    }

    fn current_bucket(&mut self, now: Timestamp) -> &mut Bucket {
        let elapsed = now.since(Timestamp::default());
        let number = (elapsed.as_micros() / BUCKET_WIDTH.as_micros()) as u64;
        if self.buckets.back().is_none_or(|last| last.number < number) {
            self.buckets.push_back(Bucket {
                number,
                requests: 0,
                retries: 0,
            });
        }
        let last = self.buckets.len() - 1;
        &mut self.buckets[last]
    }
}

/// Returns the number of buckets that cover a window.
fn buckets_in(window: Duration) -> u64 {
    window.as_micros().div_ceil(BUCKET_WIDTH.as_micros()) as u64
}
