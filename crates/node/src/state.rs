//! State that the threads of one node share.

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
use crate::configuration::{Held, InForce};
use crate::dispatch::{DispatchState, InFlight};
use crate::limits::TenantLimiter;
use crate::metrics::Metrics;
use crate::peers::{ForeignLog, PeersView};

/// What a node knows about one engine.
#[derive(Debug, Clone, Default)]
pub struct EngineStatus {
    /// The control state as last read.
    pub state: Option<EngineState>,
}

/// State shared by every thread.
pub struct Node {
    /// Settings.
    pub settings: NodeSettings,
    /// The node's fleet.
    pub fleet: FleetId,
    /// The monotonic clock.
    pub clock: MonotonicClock,
    /// The configuration in force.
    pub in_force: ArcSwap<InForce>,
    /// The newest configuration held, which peers pull from this node.
    pub held: Mutex<Held>,
    /// Other nodes as this one sees them.
    pub peers: PeersView,
    /// Log lines about nodes of other fleets.
    pub foreign_log: ForeignLog,
    /// This node's part of the at-most-once records.
    pub journal: Journal,
    /// Counters.
    pub metrics: Metrics,
    /// What the callers' side keeps.
    pub callers: CallersState,
    /// What dispatch to engines keeps.
    pub dispatch: DispatchState,
    /// Limits of tenants.
    pub limits: TenantLimiter,
    engines: Mutex<HashMap<EngineName, EngineStatus>>,
    stopping: AtomicBool,
}

impl Node {
    /// The state of a node that knows nothing yet.
    pub fn new(settings: NodeSettings) -> anyhow::Result<Arc<Self>> {
        let clock = MonotonicClock::start();
        let name = settings.name.clone();
        let incarnation = incarnation();
        Ok(Arc::new(Self {
            limits: TenantLimiter::new(name, incarnation, &settings.limits, clock.now()),
            callers: CallersState::new(&settings.limits),
            dispatch: DispatchState::new(&settings.routing),
            journal: Journal::new(&settings),
            fleet: settings.fleet_id(),
            settings,
            clock,
            in_force: ArcSwap::from_pointee(InForce::default()),
            held: Mutex::new(Held::default()),
            peers: PeersView::default(),
            foreign_log: ForeignLog::default(),
            metrics: Metrics::new()?,
            engines: Mutex::new(HashMap::new()),
            stopping: AtomicBool::new(false),
        }))
    }

    /// Whether a planned stop has begun.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Acquire)
    }

    /// Begins a planned stop: new requests are refused from now on.
    pub fn begin_stop(&self) {
        self.stopping.store(true, Ordering::Release);
    }

    /// Reads or changes what is known about engines.
    pub fn with_engines<R>(
        &self,
        access: impl FnOnce(&mut HashMap<EngineName, EngineStatus>) -> R,
    ) -> R {
        access(&mut self.engines.lock())
    }

    /// Counts a request of this node at an engine until the guard is dropped.
    pub fn track_in_flight(self: &Arc<Self>, engine: &EngineName) -> InFlight {
        InFlight::begin(self, engine, 0.0, &[])
    }
}

/// Tells this run of the node apart from earlier ones: microseconds of the wall clock, so that
/// later runs have larger numbers.
fn incarnation() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    let micros = since_epoch.map_or(0, |elapsed| elapsed.as_micros());
    u64::try_from(micros).unwrap_or(u64::MAX)
}
