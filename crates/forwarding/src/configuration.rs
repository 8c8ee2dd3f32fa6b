//! The configuration that a gateway applies as a whole: routes, services and limits on callers.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::Duration;

use tansyhall_core::{ServiceName, ZoneName};

use crate::tenants::{self, Tenant, TenantError};

/// One version of the configuration.
#[derive(Debug, Clone, PartialEq)]
pub struct Configuration {
    /// Grows with each accepted change.
    pub version: u64,
    /// Routes, in no particular order.
    pub routes: Vec<Route>,
    /// Services that routes refer to.
    pub services: Vec<Service>,
    /// Who may call routes that are not public; none if every caller may.
    pub tenants: Option<Vec<Tenant>>,
    /// Bounds on what callers may send.
    pub limits: Limits,
}

/// Whether a request may run more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Repeatability {
    /// Running it twice does no harm.
    Repeatable,
    /// It runs at most once.
    AtMostOnce,
    /// A stream of events that runs at most once; `resumable` streams may be continued by another
    /// worker after the last event that was delivered.
    Stream {
        /// Whether another worker may go on with it.
        resumable: bool,
    },
}

impl Repeatability {
    /// Whether a second worker may run the request after the first may have run it.
    pub const fn allows_second_run(self) -> bool {
        matches!(
            self,
            Repeatability::Repeatable | Repeatability::Stream { resumable: true }
        )
    }

    /// Whether the answer is a stream of events.
    pub const fn is_stream(self) -> bool {
        matches!(self, Repeatability::Stream { .. })
    }
}

/// Which requests go to which services, and how.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Unique among routes.
    pub name: String,
    /// The host that callers name, compared without case and without a port.
    pub host: String,
    /// Starts and ends with a slash.
    pub path_prefix: String,
    /// Whether requests may run more than once.
    pub repeatability: Repeatability,
    /// The longest time a request is held.
    pub timeout: Duration,
    /// The time within which an answer (a stream's first event) is worth its full credit.
    pub latency_objective: Duration,
    /// The longest pause between two events of a stream with which its answer is in time.
    pub pause_objective: Option<Duration>,
    /// The most workers that may run one request.
    pub max_attempts: u32,
    /// Rank; 0 is the most urgent.
    pub rank: u8,
    /// Whether callers need no key though there are tenants.
    pub public: bool,
    /// Where requests go, by weight.
    pub targets: Vec<Target>,
}

/// A share of a route's requests.
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
    /// Connections that one worker accepts from all gateways together.
    pub max_connections: u32,
    /// What its engines can hold, if its workers are model engines.
    pub engine: Option<EngineCapacity>,
    /// What may be ordered of its workers; none if their number is fixed.
    pub scaling: Option<WorkerScaling>,
}

/// What may be ordered of a service's workers, and what they cost.
#[derive(Debug, Clone, PartialEq)]
pub struct WorkerScaling {
    /// The least workers in a zone.
    pub least: u32,
    /// The most workers in a zone.
    pub most: u32,
    /// Time from an order until a worker serves.
    pub start: Duration,
    /// The price of a spot worker as a part of a reserved one's; none if there are none.
    pub spot_price: Option<f64>,
    /// The price of a reserved worker for a second in each zone.
    pub zone_prices: BTreeMap<ZoneName, f64>,
}

/// What a model engine can hold.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EngineCapacity {
    /// Requests that decode at once.
    pub slots: u32,
    /// Tokens of KV cache.
    pub cache_tokens: u64,
    /// Bytes of KV cache that one token takes.
    pub token_bytes: f64,
    /// Bytes a second between two engines of a zone.
    pub link_bytes_per_second: f64,
}

/// Bounds on what callers may send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Bytes of a request's head.
    pub header_bytes: usize,
    /// Bytes of a request's body.
    pub body_bytes: usize,
    /// Time in which a request's head must be complete.
    pub header_timeout: Duration,
    /// Time a connection may rest between requests.
    pub idle_timeout: Duration,
}

/// Why a configuration is refused as a whole.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum ConfigurationError {
    /// Two routes have one name.
    #[error("two routes are called {0}")]
    DuplicateRoute(String),
    /// A prefix does not start and end with a slash.
    #[error("route {route}: prefix {prefix} must start and end with a slash")]
    Prefix {
        /// The route.
        route: String,
        /// Its prefix.
        prefix: String,
    },
    /// A route has no target with a weight.
    #[error("route {0}: no target has a weight above 0")]
    NoTarget(String),
    /// A route refers to a service that is not there.
    #[error("route {route}: there is no service {service}")]
    UnknownService {
        /// The route.
        route: String,
        /// The missing service.
        service: ServiceName,
    },
    /// A route may never be tried.
    #[error("route {0}: at least one attempt is needed")]
    NoAttempt(String),
    /// Tenants or their keys are not unique.
    #[error(transparent)]
    Tenants(#[from] TenantError),
}

impl Configuration {
    /// Checks what a decoder cannot see in one field alone.
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

    /// The rank of the most urgent requests to each service.
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

    /// The rank of the most urgent requests of a route: a tenant's goes before the route's.
    fn most_urgent_rank(&self, route: &Route) -> u8 {
        let tenants = self.tenants.as_deref().filter(|_| !route.public);
        let ranks = tenants
            .unwrap_or_default()
            .iter()
            .map(|tenant| tenant.rank.unwrap_or(route.rank));
        ranks.min().unwrap_or(route.rank)
    }

    /// The service of that name.
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
