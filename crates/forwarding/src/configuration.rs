//! The configuration of a gateway: routes, services, tenants, and limits on callers. It is applied or rejected as a
//! whole.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::Duration;

use tansyhall_core::{ServiceName, ZoneName};

use crate::tenants::{self, Tenant, TenantError};

/// One version of the configuration.
#[derive(Debug, Clone, PartialEq)]
pub struct Configuration {
    /// Increases with each accepted change.
    pub version: u64,
    /// Routes, in no particular order.
    pub routes: Vec<Route>,
    /// The services that routes refer to.
    pub services: Vec<Service>,
    /// The tenants that may call routes that are not public; `None` if every caller may.
    pub tenants: Option<Vec<Tenant>>,
    /// Bounds on what callers may send.
    pub limits: Limits,
}

/// Whether a request may run more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Repeatability {
    /// Running it twice does no harm.
    Repeatable,
    /// The request runs at most once.
    AtMostOnce,
    /// A stream of events that runs at most once; `resumable` streams may be continued by another
    /// worker after the last event that was delivered.
    Stream {
        /// Whether another worker may resume the stream.
        resumable: bool,
    },
}

impl Repeatability {
    /// Returns whether a second worker may run the request if the first one may have run it.
    pub const fn allows_second_run(self) -> bool {
        matches!(
            self,
            Repeatability::Repeatable | Repeatability::Stream { resumable: true }
        )
    }

    /// Returns whether the answer is a stream of events.
    pub const fn is_stream(self) -> bool {
        matches!(self, Repeatability::Stream { .. })
    }
}

/// A rule that assigns requests to services.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// The name, unique among routes.
    pub name: String,
    /// The host of the request, compared case-insensitively and without the port.
    pub host: String,
    /// The prefix of the request's path. Starts and ends with a slash.
    pub path_prefix: String,
    /// Whether requests may run more than once.
    pub repeatability: Repeatability,
    /// The maximum time for a request.
    pub timeout: Duration,
    /// The time within which an answer (for a stream: its first event) must arrive to earn its full value.
    pub latency_objective: Duration,
    /// The longest pause between two events of a stream for the answer to count as on time.
    pub pause_objective: Option<Duration>,
    /// The maximum number of workers that one request is sent to.
    pub max_attempts: u32,
    /// The rank of its requests; 0 is the most urgent.
    pub rank: u8,
    /// Whether callers need no API key even if tenants are configured.
    pub public: bool,
    /// The services that receive the requests, by weight.
    pub targets: Vec<Target>,
}

/// A service that receives a share of a route's requests.
#[derive(Debug, Clone, PartialEq)]
pub struct Target {
    /// The service.
    pub service: ServiceName,
    /// Its share, relative to the route's other targets.
    pub weight: u32,
}

/// A service that workers belong to.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// Its name.
    pub name: ServiceName,
    /// The number of connections that one worker accepts from all gateways together.
    pub max_connections: u32,
    /// The capacity of its workers if they are model engines.
    pub engine: Option<EngineCapacity>,
    /// The bounds on the number of its workers and their prices; `None` if the number is fixed.
    pub scaling: Option<WorkerScaling>,
}

/// Bounds on the number of a service's workers that may be ordered, and their prices.
#[derive(Debug, Clone, PartialEq)]
pub struct WorkerScaling {
    /// The minimum number of workers in a zone.
    pub min_workers: u32,
    /// The maximum number of workers in a zone.
    pub max_workers: u32,
    /// The time from an order until the worker serves requests.
    pub startup_time: Duration,
    /// The price of a spot worker as a fraction of the price of a reserved one; `None` if spot workers are not
    /// available.
    pub spot_price: Option<f64>,
    /// The price per second of a reserved worker in each zone.
    pub zone_prices: BTreeMap<ZoneName, f64>,
}

/// The capacity of a model engine.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EngineCapacity {
    /// The number of requests that decode concurrently.
    pub slots: u32,
    /// The size of the KV cache in tokens.
    pub cache_tokens: u64,
    /// The size of one token in the KV cache, in bytes.
    pub token_bytes: f64,
    /// The bandwidth between two engines in a zone, in bytes per second.
    pub link_bytes_per_second: f64,
}

/// Bounds on what callers may send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// The maximum size of a request's head in bytes.
    pub header_bytes: usize,
    /// The maximum size of a request's body in bytes.
    pub body_bytes: usize,
    /// The time within which a request's head must be complete.
    pub header_timeout: Duration,
    /// The time for which a connection may be idle between requests.
    pub idle_timeout: Duration,
}

/// The reason for which a configuration is rejected as a whole.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum ConfigurationError {
    /// Two routes have the same name.
    #[error("duplicate route name {0}")]
    DuplicateRoute(String),
    /// A path prefix does not start and end with a slash.
    #[error("route {route}: path prefix {prefix} must start and end with a slash")]
    Prefix {
        /// The route.
        route: String,
        /// Its path prefix.
        prefix: String,
    },
    /// A route has no target with a weight greater than 0.
    #[error("route {0}: no target has a weight greater than 0")]
    NoTarget(String),
    /// A route refers to a service that does not exist.
    #[error("route {route}: service {service} does not exist")]
    UnknownService {
        /// The route.
        route: String,
        /// The missing service.
        service: ServiceName,
    },
    /// A route allows no attempt.
    #[error("route {0}: the maximum number of attempts must be at least 1")]
    NoAttempt(String),
    /// Tenant names or API keys are not unique.
    #[error(transparent)]
    Tenants(#[from] TenantError),
}

impl Configuration {
    /// Checks constraints between fields, which a decoder of single fields cannot check.
    pub fn validate(&self) -> Result<(), ConfigurationError> {
        let services: HashSet<&ServiceName> = self.services.iter().map(|s| &s.name).collect();
        let mut names = HashSet::new();
        for route in &self.routes {
            if !names.insert(route.name.as_str()) {
                return Err(ConfigurationError::DuplicateRoute(route.name.clone()));
            }
            route.validate(&services)?;
        }
        tenants::validate(self.tenants.as_deref().unwrap_or_default())?;
        Ok(())
    }

    /// Returns the rank of the most urgent requests for each service.
    pub fn most_urgent_ranks(&self) -> HashMap<ServiceName, u8> {
        let mut ranks = HashMap::new();
        for route in &self.routes {
            let most_urgent = self.most_urgent_rank(route);
            for target in &route.targets {
                let rank = ranks.entry(target.service.clone()).or_insert(most_urgent);
                *rank = most_urgent.min(*rank);
            }
        }
        ranks
    }

    /// Returns the rank of the most urgent requests of a route. A tenant's rank overrides the route's.
    fn most_urgent_rank(&self, route: &Route) -> u8 {
        let tenants = self.tenants.as_deref().filter(|_| !route.public);
        let ranks = tenants
            .unwrap_or_default()
            .iter()
            .map(|tenant| tenant.rank.unwrap_or(route.rank));
        ranks.min().unwrap_or(route.rank)
    }

    /// Returns the longest timeout of a route whose streams may be resumed; zero without such a route.
    pub fn longest_resumable_stream(&self) -> Duration {
        let is_resumable =
            |route: &&Route| route.repeatability == Repeatability::Stream { resumable: true };
        let timeouts = self
            .routes
            .iter()
            .filter(is_resumable)
            .map(|route| route.timeout);
        timeouts.max().unwrap_or_default()
    }

    /// Returns the service with this name.
    pub fn service(&self, name: &ServiceName) -> Option<&Service> {
        self.services.iter().find(|service| service.name == *name)
    }
}

impl Route {
    fn validate(&self, services: &HashSet<&ServiceName>) -> Result<(), ConfigurationError> {
        if !self.path_prefix.starts_with('/') || !self.path_prefix.ends_with('/') {
            return Err(ConfigurationError::Prefix {
                route: self.name.clone(),
                prefix: self.path_prefix.clone(),
            });
        }
        if self.max_attempts == 0 {
            return Err(ConfigurationError::NoAttempt(self.name.clone()));
        }
        if self.targets.iter().all(|target| target.weight == 0) {
            return Err(ConfigurationError::NoTarget(self.name.clone()));
        }
        let missing = self
            .targets
            .iter()
            .find(|target| !services.contains(&target.service));
        match missing {
            Some(target) => Err(ConfigurationError::UnknownService {
                route: self.name.clone(),
                service: target.service.clone(),
            }),
            None => Ok(()),
        }
    }
}
