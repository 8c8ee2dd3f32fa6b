//! What a program decides: classes of requests, limits of tenants and bounds of pools.

use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tansyhall_core::{ModelName, Role, ZoneName};

use crate::ast::ClassPriority;

/// Deadline of a class that does not set one.
pub const DEFAULT_DEADLINE: Duration = Duration::from_secs(30);
/// Name of the class of requests that match no other class.
pub const DEFAULT_CLASS: &str = "default";
/// Sum of the shares in one list, in percent.
const TOTAL_PERCENT: u64 = 100;

/// A request class with every setting resolved; cheap to clone.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Class {
    /// The class's name.
    pub name: Arc<str>,
    /// Maximum time from the request's arrival to the complete answer.
    pub deadline: Duration,
    /// Priority in the queue.
    pub priority: ClassPriority,
    /// Whether a request may be retried although an earlier attempt may have run.
    pub repeatable: bool,
    /// Where requests are routed.
    pub route: Arc<Route>,
    /// Model versions with their shares; empty if any version may serve.
    pub versions: Arc<[Share]>,
    /// Adapters with their shares; empty if the caller chooses.
    pub adapters: Arc<[Share]>,
}

impl Class {
    /// Creates a class with default settings.
    pub fn new(name: &str) -> Self {
        Self {
            name: name.into(),
            deadline: DEFAULT_DEADLINE,
            priority: ClassPriority::Standard,
            repeatable: true,
            route: Arc::default(),
            versions: Arc::default(),
            adapters: Arc::default(),
        }
    }
}

/// Where the requests of a class are routed.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Route {
    /// Preferred zones in order of preference; empty to prefer the caller's zone.
    pub prefer: Vec<ZoneName>,
    /// Zones to use when no preferred zone can serve the request.
    pub fallback: Fallback,
}

/// Zones to use when no preferred zone can serve the request.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub enum Fallback {
    /// Any zone, chosen by the cost of the link.
    #[default]
    Any,
    /// No other zone.
    None,
    /// These zones, in this order.
    Zones(Vec<ZoneName>),
}

/// A version or adapter with its share of the requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Share {
    /// The version or adapter.
    pub name: Arc<str>,
    /// Share of the requests in percent.
    pub percent: u8,
}

impl Share {
    /// Returns the share that a request falls into. `draw` is a uniformly distributed number, such
    /// as a hash of the caller, so that the same caller always gets the same version.
    pub fn pick(shares: &[Share], draw: u64) -> Option<&Share> {
        let mut point = draw % TOTAL_PERCENT;
        for share in shares {
            let percent = u64::from(share.percent);
            if point < percent {
                return Some(share);
            }
            point -= percent;
        }
        None
    }
}

/// Limits of one tenant over the whole fleet; an absent value means no limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TenantLimits {
    /// Maximum requests per second.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub requests_per_second: Option<u64>,
    /// Maximum prompt and output tokens per second.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub tokens_per_second: Option<u64>,
    /// Maximum number of concurrent requests.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub concurrent: Option<u64>,
}

/// The engines of a pool that a bound counts.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EngineSelector {
    /// Engines with this role.
    Role(Role),
    /// Engines that load this model.
    Model(ModelName),
}

/// Bounds on the number of engines of a pool that have a role or load a model.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineBound {
    /// The engines that are counted.
    pub selector: EngineSelector,
    /// At least this many.
    pub least: u64,
    /// At most this many; no bound if absent.
    pub most: Option<u64>,
}

/// Maximum number of role and model changes of a pool in any window of a given length.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ChangeBudget {
    /// Maximum number of changes.
    pub changes: u64,
    /// The window's length.
    pub window: Duration,
}

/// Bounds on what the planner may do with a pool.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct PoolBounds {
    /// Bounds on roles and models.
    pub engines: Vec<EngineBound>,
    /// Maximum number of changes in any window; no bound if absent.
    pub budget: Option<ChangeBudget>,
    /// Minimum gain in goodput, in percent, that justifies taking an engine out of service for a
    /// change; the planner chooses it if absent.
    pub change_worth_percent: Option<u8>,
}
