//! One gateway's share of the fleet's retry budgets, one for each service.
//!
//! A budget bounds, over any window, the sends to a service past the first of each request: a fixed
//! number for the whole fleet plus a ratio of the requests for that service. Each gateway keeps within the ratio of its own
//! requests plus its part of the fixed number, so that the sum holds without any message between
//! gateways, also while they are cut off from each other. Only half of the fixed number is handed
//! out: the other half covers gateways that start again with an empty window or join unnoticed.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use tansyhall_core::{ServiceName, Timestamp};

/// Buckets that a window is counted in.
const BUCKETS: u32 = 10;
/// The part of the fixed number that is divided between gateways.
const DIVIDED_PART: f64 = 0.5;
/// The part of the ratio that is used; the rest absorbs windows that start between buckets.
const RATIO_PART: f64 = 0.8;

/// How many gateways share the fleet's budgets, as a gateway that knew of `known` has to believe when `announced` are
/// announced. One that stops is not announced any more, but serves on what it has, and spends: it keeps to its part.
/// Several that stop at once would each take the part of the others, and spend the fixed number several times over. So
/// would all of them where announcements `may_be_missing`: a restored store has lost some, and those of gateways that start
/// together are not made yet.
pub fn sharing_gateways(announced: u64, known: u64, may_be_missing: bool) -> u64 {
    match may_be_missing {
        true => announced.max(known),
        false => announced.max(1),
    }
}

/// The fleet's budget.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryShareSettings {
    /// Retries for each request.
    pub ratio: f64,
    /// Retries beyond the ratio, for the whole fleet in one window.
    pub fleet_extra: f64,
    /// The window.
    pub window: Duration,
}

/// One gateway's share for every service.
#[derive(Debug)]
pub struct RetryShares {
    settings: RetryShareSettings,
    gateways: u32,
    services: HashMap<ServiceName, RetryShare>,
}

impl RetryShares {
    /// Empty windows. Until told otherwise, `gateways` share the fixed number.
    pub fn new(settings: RetryShareSettings, gateways: u32) -> Self {
        Self {
            settings,
            gateways,
            services: HashMap::new(),
        }
    }

    /// Takes in budgets that were changed; what was spent in the window stays counted.
    pub fn set_settings(&mut self, settings: RetryShareSettings) {
        self.settings = settings;
        for share in self.services.values_mut() {
            share.settings = settings;
        }
    }

    /// Takes in how many gateways share the budgets.
    pub fn set_gateways(&mut self, gateways: u32) {
        self.gateways = gateways;
        for share in self.services.values_mut() {
            share.set_gateways(gateways);
        }
    }

    /// Counts a request for a service.
    pub fn record_request(&mut self, now: Timestamp, service: &ServiceName) {
        self.share(service).record_request(now);
    }

    /// Asks for one more send to a service; counts it if it is allowed.
    pub fn try_retry(&mut self, now: Timestamp, service: &ServiceName) -> bool {
        self.share(service).try_retry(now)
    }

    /// Sends past the first that are still allowed to a service in the current window.
    pub fn left(&mut self, now: Timestamp, service: &ServiceName) -> f64 {
        self.share(service).left(now)
    }

    /// Sends past the first that are still allowed to each service.
    pub fn all_left(&mut self, now: Timestamp) -> Vec<(ServiceName, f64)> {
        let services = self.services.iter_mut();
        services
            .map(|(service, share)| (service.clone(), share.left(now)))
            .collect()
    }

    fn share(&mut self, service: &ServiceName) -> &mut RetryShare {
        let (settings, gateways) = (self.settings, self.gateways);
        self.services
            .entry(service.clone())
            .or_insert_with(|| RetryShare::new(settings, gateways))
    }
}

/// A sliding count of requests and retries.
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
    /// An empty window. Until told otherwise, `gateways` share the fixed number.
    pub fn new(settings: RetryShareSettings, gateways: u32) -> Self {
        Self {
            settings,
            gateways: gateways.max(1),
            buckets: VecDeque::new(),
        }
    }

    /// Takes in how many gateways share the budget.
    pub fn set_gateways(&mut self, gateways: u32) {
        self.gateways = gateways.max(1);
    }

    /// Counts a request.
    pub fn record_request(&mut self, now: Timestamp) {
        self.bucket(now).requests += 1;
    }

    /// Asks for one more send; counts it if it is allowed.
    pub fn try_retry(&mut self, now: Timestamp) -> bool {
        let allowed = self.left(now) >= 1.0;
        if allowed {
            self.bucket(now).retries += 1;
        }
        allowed
    }

    /// Sends past the first that are still allowed in the current window.
    pub fn left(&mut self, now: Timestamp) -> f64 {
        self.bucket(now);
        let requests: u32 = self.buckets.iter().map(|bucket| bucket.requests).sum();
        let retries: u32 = self.buckets.iter().map(|bucket| bucket.retries).sum();
        let earned = self.settings.ratio * RATIO_PART * f64::from(requests);
        let own_extra = self.settings.fleet_extra * DIVIDED_PART / f64::from(self.gateways);
        earned + own_extra - f64::from(retries)
    }

    fn bucket(&mut self, now: Timestamp) -> &mut Bucket {
        let width = self.settings.window / BUCKETS;
        let expired = |bucket: &Bucket| now.since(bucket.start) > self.settings.window + width;
        while self.buckets.front().is_some_and(expired) {
            self.buckets.pop_front();
        }
        let fresh = self
            .buckets
            .back()
            .is_some_and(|bucket| now.since(bucket.start) < width);
        if !fresh {
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
