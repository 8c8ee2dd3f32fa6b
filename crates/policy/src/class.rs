//! What a program decides: classes of requests, limits of tenants and bounds of pools.

use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tansyhall_core::{ModelName, Role, ZoneName};

use crate::ast::PriorityName;

/// Deadline of a class that sets none.
pub const DEFAULT_DEADLINE: Duration = Duration::from_secs(30);
/// Name of the class of requests that match no other.
pub const DEFAULT_CLASS: &str = "default";
/// Shares are percentages.
const WHOLE: u64 = 100;

/// A request class with every setting resolved; cheap to clone.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Class {
    /// The class's name.
    pub name: Arc<str>,
    /// Time from arrival to the whole answer.
    pub deadline: Duration,
    /// Queue order.
    pub priority: PriorityName,
    /// Whether the request may be attempted again after it may have run.
    pub repeatable: bool,
    /// Where its requests go.
    pub route: Arc<Route>,
    /// Model versions with their shares; empty if any version will do.
    pub versions: Arc<[Share]>,
    /// Adapters with their shares; empty if the caller chooses.
    pub adapters: Arc<[Share]>,
}

impl Class {
    /// A class that sets nothing.
    pub fn new(name: &str) -> Self {
        Self {
            name: name.into(),
            deadline: DEFAULT_DEADLINE,
            priority: PriorityName::Standard,
            repeatable: true,
            route: Arc::default(),
            versions: Arc::default(),
            adapters: Arc::default(),
        }
    }
}

/// Where the requests of a class go.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Route {
    /// Zones to use before others, the first one first; empty for the caller's own zone.
    pub prefer: Vec<ZoneName>,
    /// Zones to use when no preferred one can serve.
    pub fallback: Fallback,
}

/// Zones to use when no preferred one can serve.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub enum Fallback {
    /// Any zone, by the cost of the link.
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
    /// Percent of the requests.
    pub percent: u8,
}

impl Share {
    /// The share that a request falls into. `draw` is any evenly spread number, such as a hash of
    /// the caller, so that one caller stays with one version.
    pub fn pick(shares: &[Share], draw: u64) -> Option<&Share> {
        let mut point = draw % WHOLE;
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

/// Limits of one tenant over the whole fleet; no limit where absent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TenantLimits {
    /// Requests in a second.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub requests_per_second: Option<u64>,
    /// Prompt and output tokens in a second.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub tokens_per_second: Option<u64>,
    /// Requests in progress at once.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub concurrent: Option<u64>,
}

/// What a bound of a pool counts.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Bounded {
    /// Engines in a role.
    Role(Role),
    /// Engines that load a model.
    Model(ModelName),
}

/// How many engines of a pool may play a role or load a model.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineBound {
    /// What is counted.
    pub subject: Bounded,
    /// At least this many.
    pub least: u64,
    /// At most this many; no bound if absent.
    pub most: Option<u64>,
}

/// Most role and model changes of a pool in any window.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ChangeBudget {
    /// Most changes.
    pub changes: u64,
    /// The window's length.
    pub window: Duration,
}

/// Bounds on what the planner may do with a pool.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct PoolBounds {
    /// Bounds on roles and models.
    pub engines: Vec<EngineBound>,
    /// Most changes in any window; no bound if absent.
    pub budget: Option<ChangeBudget>,
    /// Least gain in goodput, in percent, for which an engine is taken out of service; the
    /// planner's own choice if absent.
    pub change_worth_percent: Option<u8>,
}
