//! State shared by the threads of a node.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{SystemTime, UNIX_EPOCH};

use arc_swap::ArcSwap;
use parking_lot::Mutex;
use tansyhall_config::NodeSettings;
use tansyhall_core::time::MonotonicClock;
use tansyhall_core::{EngineName, FleetId};
use tansyhall_engine::protocol::EngineState;

use crate::at_most_once::Journal;
use crate::callers::CallersState;
use crate::configuration::{ConfigurationInForce, HeldConfiguration};
use crate::dispatch::{DispatchState, InFlight};
use crate::limits::TenantLimiter;
use crate::metrics::Metrics;
use crate::peers::{ForeignLogLimiter, PeersView};

/// The state of one engine as this node knows it.
#[derive(Debug, Clone, Default)]
pub struct EngineStatus {
    /// The state that the engine last reported; `None` if the last read got no answer.
    pub state: Option<EngineState>,
}

/// State shared by all threads of a node.
pub struct Node {
    /// The node's settings.
    pub settings: NodeSettings,
    /// The node's fleet.
    pub fleet: FleetId,
    /// The monotonic clock.
    pub clock: MonotonicClock,
    /// The configuration in force.
    pub in_force: ArcSwap<ConfigurationInForce>,
    /// The newest configuration that the node holds, which peers pull from it.
    pub held_configuration: Mutex<HeldConfiguration>,
    /// The view of other nodes.
    pub peers: PeersView,
    /// Limits the rate of log lines about messages from other fleets.
    pub foreign_log_limiter: ForeignLogLimiter,
    /// This node's part of the at-most-once records.
    pub journal: Journal,
    /// Counters and gauges.
    pub metrics: Metrics,
    /// State of the code that serves callers.
    pub callers: CallersState,
    /// State of dispatch to engines.
    pub dispatch: DispatchState,
    /// Limits of tenants.
    pub limits: TenantLimiter,
    engines: Mutex<HashMap<EngineName, EngineStatus>>,
    stopping: AtomicBool,
}

impl Node {
    /// Creates the state of a node that has no configuration and knows no other node.
    pub fn new(settings: NodeSettings) -> anyhow::Result<Arc<Self>> {
        let clock = MonotonicClock::start();
        let name = settings.name.clone();
        let incarnation = new_incarnation();
        Ok(Arc::new(Self {
            limits: TenantLimiter::new(name, incarnation, &settings.limits, clock.now()),
            callers: CallersState::new(&settings.limits),
            dispatch: DispatchState::new(&settings.routing),
            journal: Journal::new(&settings),
            fleet: settings.fleet_id(),
            settings,
            clock,
            in_force: ArcSwap::from_pointee(ConfigurationInForce::default()),
            held_configuration: Mutex::new(HeldConfiguration::default()),
            peers: PeersView::default(),
            foreign_log_limiter: ForeignLogLimiter::default(),
            metrics: Metrics::new()?,
            engines: Mutex::new(HashMap::new()),
            stopping: AtomicBool::new(false),
        }))
    }

    /// Returns whether a planned stop has begun.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Acquire)
    }

    /// Begins a planned stop; new requests are refused from then on.
    pub fn begin_stop(&self) {
        self.stopping.store(true, Ordering::Release);
    }

    /// Runs `access` on the known states of the engines.
    pub fn with_engines<R>(
        &self,
        access: impl FnOnce(&mut HashMap<EngineName, EngineStatus>) -> R,
    ) -> R {
        access(&mut self.engines.lock())
    }

    /// Counts a request of this node as in flight at an engine until the guard is dropped.
    pub fn track_in_flight(self: &Arc<Self>, engine: &EngineName) -> InFlight {
        InFlight::begin(self, engine, 0.0, &[])
    }
}

/// Returns the incarnation of this run of the process: the wall clock in microseconds, so that later
/// runs have larger numbers.
fn new_incarnation() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    let micros = since_epoch.map_or(0, |elapsed| elapsed.as_micros());
    u64::try_from(micros).unwrap_or(u64::MAX)
}
