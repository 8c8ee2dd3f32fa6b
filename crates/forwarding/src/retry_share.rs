//! One gateway's shares of the fleet's retry budgets. Each service has its own budget.
//!
//! A budget bounds the retries to a service in any window, which are all sends after the first one of each request.
//! The bound is a fixed number for the whole fleet plus a ratio of the requests for that service. Each gateway stays
//! within the ratio of its own requests plus its share of the fixed number, so the bound holds for the fleet without
//! messages between gateways, even while they are partitioned from each other. Only half of the fixed number is
//! divided among gateways: the other half covers gateways that restart with an empty window or join unnoticed.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use tansyhall_core::{ServiceName, Timestamp};

/// Number of buckets that a window is divided into.
const BUCKETS_PER_WINDOW: u32 = 10;
/// Fraction of the fixed number that is divided among gateways.
const DIVIDED_FRACTION: f64 = 0.5;
/// Fraction of the ratio that is used. The remainder covers windows that start in the middle of a bucket.
const USED_RATIO_FRACTION: f64 = 0.8;

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
    gateways: u32,
    services: HashMap<ServiceName, RetryShare>,
}

impl RetryShares {
    /// Creates shares with empty windows. Initially, `gateways` gateways share the fixed number.
    pub fn new(settings: RetryShareSettings, gateways: u32) -> Self {
        Self {
            settings,
            gateways,
            services: HashMap::new(),
        }
    }

    /// Changes the settings of the budgets. Retries already spent in the window still count.
    pub fn set_settings(&mut self, settings: RetryShareSettings) {
        self.settings = settings;
        for share in self.services.values_mut() {
            share.settings = settings;
        }
    }

    /// Sets the number of gateways that share the budgets.
    pub fn set_gateways(&mut self, gateways: u32) {
        self.gateways = gateways;
        for share in self.services.values_mut() {
            share.set_gateways(gateways);
        }
    }

    /// Counts a request for a service.
    pub fn record_request(&mut self, now: Timestamp, service: &ServiceName) {
        self.share_mut(service).record_request(now);
    }

    /// Returns whether one more send to a service is allowed, and counts it if so.
    pub fn try_retry(&mut self, now: Timestamp, service: &ServiceName) -> bool {
        self.share_mut(service).try_retry(now)
    }

    /// Returns the number of retries to a service that are still allowed in the current window.
    pub fn remaining(&mut self, now: Timestamp, service: &ServiceName) -> f64 {
        self.share_mut(service).remaining(now)
    }

    /// Returns the number of retries that are still allowed, for each service.
    pub fn remaining_by_service(&mut self, now: Timestamp) -> Vec<(ServiceName, f64)> {
        let services = self.services.iter_mut();
        services
            .map(|(service, share)| (service.clone(), share.remaining(now)))
            .collect()
    }

    fn share_mut(&mut self, service: &ServiceName) -> &mut RetryShare {
        let (settings, gateways) = (self.settings, self.gateways);
        self.services
            .entry(service.clone())
            .or_insert_with(|| RetryShare::new(settings, gateways))
    }
}

/// Sliding-window counts of requests and retries, and the share that follows from them.
#[derive(Debug)]
pub struct RetryShare {
    settings: RetryShareSettings,
    gateways: u32,
    buckets: VecDeque<Bucket>,
}

#[derive(Debug, Clone, Copy)]
struct Bucket {
    start: Timestamp,
    requests: u32,
    retries: u32,
}

impl RetryShare {
    /// Creates a share with an empty window. Initially, `gateways` gateways share the fixed number.
    pub fn new(settings: RetryShareSettings, gateways: u32) -> Self {
        Self {
            settings,
            gateways: gateways.max(1),
            buckets: VecDeque::new(),
        }
    }

    /// Sets the number of gateways that share the budget.
    pub fn set_gateways(&mut self, gateways: u32) {
        self.gateways = gateways.max(1);
    }

    /// Counts a request.
    pub fn record_request(&mut self, now: Timestamp) {
        self.current_bucket(now).requests += 1;
    }

    /// Returns whether one more send is allowed, and counts it if so.
    pub fn try_retry(&mut self, now: Timestamp) -> bool {
        let allowed = self.remaining(now) >= 1.0;
        if allowed {
            self.current_bucket(now).retries += 1;
        }
        allowed
    }

    /// Returns the number of retries that are still allowed in the current window.
    pub fn remaining(&mut self, now: Timestamp) -> f64 {
        self.current_bucket(now);
        let requests: u32 = self.buckets.iter().map(|bucket| bucket.requests).sum();
        let retries: u32 = self.buckets.iter().map(|bucket| bucket.retries).sum();
        let from_requests = self.settings.ratio * USED_RATIO_FRACTION * f64::from(requests);
        let from_fleet_extra =
            self.settings.fleet_extra * DIVIDED_FRACTION / f64::from(self.gateways);
        from_requests + from_fleet_extra - f64::from(retries)
    }

    fn current_bucket(&mut self, now: Timestamp) -> &mut Bucket {
        let width = self.settings.window / BUCKETS_PER_WINDOW;
        let expired = |bucket: &Bucket| now.since(bucket.start) > self.settings.window + width;
        while self.buckets.front().is_some_and(expired) {
            self.buckets.pop_front();
        }
        let is_current = self
            .buckets
            .back()
            .is_some_and(|bucket| now.since(bucket.start) < width);
        if !is_current {
            self.buckets.push_back(Bucket {
                start: now,
                requests: 0,
                retries: 0,
            });
        }
        let last = self.buckets.len() - 1;
        &mut self.buckets[last]
    }
}
