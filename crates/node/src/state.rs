//! State that the threads of one node share.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{SystemTime, UNIX_EPOCH};

use arc_swap::ArcSwap;
use parking_lot::Mutex;
use tansyhall_config::{Backend, NodeSettings};
use tansyhall_core::time::MonotonicClock;
use tansyhall_core::{EngineName, Timestamp};
use tansyhall_engine::protocol::EngineState;

use crate::admin::status::MemberStatus;
use crate::callers::CallersState;
use crate::configuration::InForce;
use crate::limits::LimitKeeper;
use crate::metrics::Metrics;

/// What a node knows about one engine.
#[derive(Debug, Clone, Default)]
pub struct EngineStatus {
    /// The control state as last read.
    pub state: Option<EngineState>,
    /// Requests of this node in progress there.
    pub in_flight: u32,
}

/// State shared by every thread.
pub struct Node {
    /// Settings.
    pub settings: NodeSettings,
    /// The monotonic clock.
    pub clock: MonotonicClock,
    /// The configuration in force.
    pub in_force: ArcSwap<InForce>,
    /// Other nodes, as far as this one knows them.
    pub members: ArcSwap<Vec<MemberStatus>>,
    /// Counters.
    pub metrics: Metrics,
    /// What the callers' side keeps.
    pub callers: CallersState,
    /// Limits of tenants.
    pub limits: LimitKeeper,
    /// When the configuration was last seen in the store, in microseconds of the clock; zero
    /// before the first time.
    configuration_seen: AtomicU64,
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
            limits: LimitKeeper::new(name, incarnation, &settings.limits, clock.now()),
            callers: CallersState::new(&settings.limits),
            settings,
            clock,
            in_force: ArcSwap::from_pointee(InForce::default()),
            members: ArcSwap::default(),
            metrics: Metrics::new()?,
            configuration_seen: AtomicU64::new(0),
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

    /// Notes that the configuration was just seen in the store.
    pub fn note_configuration_seen(&self) {
        self.configuration_seen
            .store(self.clock.now().0, Ordering::Release);
    }

    /// Milliseconds since the configuration was last seen in the store.
    pub fn configuration_age_millis(&self) -> Option<u64> {
        let seen = self.configuration_seen.load(Ordering::Acquire);
        let age = self.clock.now().since(Timestamp(seen));
        (seen > 0).then(|| u64::try_from(age.as_millis()).unwrap_or(u64::MAX))
    }

    /// Reads or changes what is known about engines.
    pub fn with_engines<R>(
        &self,
        access: impl FnOnce(&mut HashMap<EngineName, EngineStatus>) -> R,
    ) -> R {
        access(&mut self.engines.lock())
    }

    /// Chooses an engine and counts a request there, with no other choice in between.
    pub fn choose_in_flight(
        self: &Arc<Self>,
        choose: impl FnOnce(&HashMap<EngineName, EngineStatus>) -> Option<Backend>,
    ) -> Option<(Backend, InFlight)> {
        let engine = self.with_engines(|engines| {
            let engine = choose(engines)?;
            engines.entry(engine.name.clone()).or_default().in_flight += 1;
            Some(engine)
        })?;
        let in_flight = InFlight {
            node: Arc::clone(self),
            engine: engine.name.clone(),
        };
        Some((engine, in_flight))
    }

    /// Counts a request of this node at an engine until the guard is dropped.
    pub fn track_in_flight(self: &Arc<Self>, engine: &EngineName) -> InFlight {
        self.with_engines(|engines| engines.entry(engine.clone()).or_default().in_flight += 1);
        InFlight {
            node: Arc::clone(self),
            engine: engine.clone(),
        }
    }
}

/// Tells this run of the node apart from earlier ones: microseconds of the wall clock, so that
/// later runs have larger numbers.
fn incarnation() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    let micros = since_epoch.map_or(0, |elapsed| elapsed.as_micros());
    u64::try_from(micros).unwrap_or(u64::MAX)
}

/// A request of this node in progress at an engine.
pub struct InFlight {
    node: Arc<Node>,
    engine: EngineName,
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.node.with_engines(|engines| {
            if let Some(status) = engines.get_mut(&self.engine) {
                status.in_flight = status.in_flight.saturating_sub(1);
            }
        });
    }
}
