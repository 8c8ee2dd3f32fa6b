//! What the tasks of a gateway share. Each part stands under its own lock, held for a few
//! microseconds and never across a wait.

use std::collections::{BTreeSet, HashMap};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use parking_lot::{Mutex, RwLock};
use tansyhall_core::time::MonotonicClock;
use tansyhall_core::{ServiceName, TenantName, Timestamp, ZoneName};
use tansyhall_forwarding::{
    ApiKey, AuthenticatedTenant, Configuration, Directory, GrantedPlacements, LapsedWorkers,
    Limits, Mirror, Position, Quarantine, RetryShares, Route, RouteTable, SendTracker, StopPlan,
    TenantTable, Worker,
};
use tokio::sync::watch;

use crate::connections::{Connections, Destination};
use crate::datagrams::Datagrams;
use crate::deflated_values::DeflatedValues;
use crate::events::EventLog;
use crate::fleet::Fleet;
use crate::metrics::Metrics;
use crate::placement::PlacementClient;
use crate::protocol::{Catalogue, Protocol};
use crate::settings::GatewaySettings;
use crate::store_contact::StoreContact;
use crate::update_cache::CopyAnswers;
use crate::usage::Usage;
use crate::worker_entries::{LoggedWorkers, WorkerEntries};

/// The part of a worker's connections that gateways use together; the rest is for health checks
/// and gateways that are not known yet.
const CONNECTION_PART: f64 = 0.8;
/// The least connections to one worker that a gateway may have.
const MIN_CONNECTIONS: u32 = 4;

/// Shared state.
pub struct Shared {
    /// Settings, replaced at a reload.
    pub settings: RwLock<Arc<GatewaySettings>>,
    /// Time.
    pub clock: MonotonicClock,
    /// How callers and workers speak.
    pub protocol: Arc<dyn Protocol>,
    /// How the store's items read.
    pub catalogue: Arc<dyn Catalogue>,
    /// The copy of the store.
    pub mirror: Mutex<Mirror>,
    /// The position of the copy, for those who wait for a newer one.
    pub mirror_position: watch::Sender<Position>,
    /// Long values of the copy, deflated for other gateways.
    pub deflated_values: Mutex<DeflatedValues>,
    /// Answers to gateways that ask for what is new; locked before the copy.
    pub copy_answers: Mutex<CopyAnswers>,
    /// Workers' entries as they were decoded last; locked before the directory where both are.
    pub worker_entries: Mutex<WorkerEntries>,
    /// Workers that take requests, as logged last.
    pub logged_workers: Mutex<LoggedWorkers>,
    /// Workers that count though their entries ran out while the store was away.
    pub lapsed_workers: Mutex<LapsedWorkers>,
    /// The configuration in force and its routes.
    pub in_force: RwLock<Option<Arc<InForce>>>,
    /// Workers.
    pub directory: Arc<Mutex<Directory>>,
    /// Placements for other gateways; locked before the directory where both are.
    pub ledger: Mutex<GrantedPlacements>,
    /// Placements that other gateways make for this one.
    pub placements: PlacementClient,
    /// The gateways that are announced.
    pub fleet: RwLock<Arc<Fleet>>,
    /// The socket for datagrams between gateways.
    pub datagrams: Datagrams,
    /// Whether what caches held before this gateway's start has been recovered.
    pub caches_recovered: AtomicBool,
    /// Retries.
    pub retries: Mutex<RetryShares>,
    /// When the store last answered, itself or through a relay.
    pub store_contact: StoreContact,
    /// Sends whose requests workers may be running.
    pub sends: Mutex<SendTracker>,
    /// Requests under which workers end.
    pub quarantine: Mutex<Quarantine>,
    /// Connections to workers.
    pub connections: Arc<Connections>,
    /// Usage by tenant, if it is reported.
    pub usage: Option<Usage>,
    /// Log.
    pub log: Arc<EventLog>,
    /// Counters.
    pub metrics: Metrics,
    /// Gateways that share the fleet's budgets, this one included.
    pub gateways: AtomicU64,
    /// When SIGTERM came.
    pub stopping_since: OnceLock<Timestamp>,
    /// Requests under way.
    pub in_flight: AtomicU64,
}

/// A configuration in force.
pub struct InForce {
    /// The configuration.
    pub configuration: Configuration,
    /// Where it was written in the store.
    pub written: Position,
    routes: Mutex<RouteTable>,
    /// None if every caller may call every route.
    tenants: Option<TenantTable>,
    most_urgent_ranks: HashMap<ServiceName, u8>,
}

/// Why a request goes nowhere.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NotRouted {
    /// No route has its host and path.
    NoRoute,
    /// Its route is not public, and no tenant has its key.
    UnknownKey,
}

/// Where a request goes.
pub struct Routed {
    /// Its route.
    pub route: Arc<Route>,
    /// The service whose turn it is.
    pub service: ServiceName,
    /// The tenant that the caller's key belongs to, if it has one.
    pub tenant: Option<TenantName>,
    /// Its rank; 0 is the most urgent.
    pub rank: u8,
    /// Whether the service has more urgent requests.
    pub yields: bool,
    /// The version of the configuration.
    pub version: u64,
}

impl InForce {
    /// Indexes a configuration.
    pub fn new(configuration: Configuration, written: Position) -> Self {
        let routes = Mutex::new(RouteTable::new(&configuration));
        let tenants = configuration.tenants.as_deref().map(TenantTable::new);
        let most_urgent_ranks = configuration.most_urgent_ranks();
        Self {
            configuration,
            written,
            routes,
            tenants,
            most_urgent_ranks,
        }
    }

    /// Where a request of the caller with this key goes.
    pub fn route(&self, host: &str, path: &str, key: Option<&ApiKey>) -> Result<Routed, NotRouted> {
        let mut routes = self.routes.lock();
        let found = routes.find(host, path).ok_or(NotRouted::NoRoute)?;
        let tenant = self.tenant_of(key);
        if self.tenants.is_some() && tenant.is_none() && !found.public {
            return Err(NotRouted::UnknownKey);
        }
        let taken = routes.route_request(host, path);
        drop(routes);
        let (route, service) = taken.ok_or(NotRouted::NoRoute)?;
        let own_rank = tenant.as_ref().and_then(|tenant| tenant.rank);
        let rank = own_rank.filter(|_| !route.public).unwrap_or(route.rank);
        let most_urgent = self.most_urgent_ranks.get(&service);
        Ok(Routed {
            yields: most_urgent.is_some_and(|most_urgent| *most_urgent < rank),
            rank,
            tenant: tenant.map(|tenant| tenant.name.clone()),
            route,
            service,
            version: self.configuration.version,
        })
    }

    /// Whether another configuration names the same services.
    pub fn names_same_services(&self, other: &Self) -> bool {
        let names = |in_force: &Self| -> BTreeSet<ServiceName> {
            let services = in_force.configuration.services.iter();
            services.map(|service| service.name.clone()).collect()
        };
        names(self) == names(other)
    }

    fn tenant_of(&self, key: Option<&ApiKey>) -> Option<Arc<AuthenticatedTenant>> {
        self.tenants.as_ref()?.tenant_of(key?)
    }

    /// Bounds on what callers may send.
    pub fn limits(&self) -> Limits {
        self.configuration.limits
    }
}

impl Shared {
    /// Now.
    pub fn now(&self) -> Timestamp {
        self.clock.now()
    }

    /// The zone of this gateway.
    pub fn zone(&self) -> ZoneName {
        self.settings.read().node.zone.clone()
    }

    /// The configuration in force, if any has been seen.
    pub fn in_force(&self) -> Option<Arc<InForce>> {
        self.in_force.read().clone()
    }

    /// Whether this gateway can serve.
    pub fn can_serve(&self) -> bool {
        self.in_force.read().is_some() && self.directory.lock().ready_workers() > 0
    }

    /// Whether this gateway hears of the load that all others place, and of what caches hold: it places
    /// requests, or is the next to do so.
    pub fn hears_reports(&self) -> bool {
        let settings = self.settings.read();
        let fleet = self.fleet.read();
        !settings.decisions.schedulers || fleet.plan.is_listener(&settings.node.name)
    }

    /// Milliseconds since the store last answered.
    pub fn store_age_ms(&self) -> u64 {
        whole_millis(self.store_contact.age(self.now()))
    }

    /// Whether SIGTERM has come.
    pub fn is_stopping(&self) -> bool {
        self.stopping_since.get().is_some()
    }

    /// Time since SIGTERM came, if it has.
    pub fn stopping_for(&self) -> Option<Duration> {
        let since = self.stopping_since.get()?;
        Some(self.now().since(*since))
    }

    /// The plan of a stop.
    pub fn stop_plan(&self) -> StopPlan {
        StopPlan::new(self.settings.read().grace())
    }

    /// Whether a request that arrives now is served.
    pub fn accepts(&self) -> bool {
        self.stopping_for()
            .is_none_or(|elapsed| self.stop_plan().accepts(elapsed))
    }

    /// How a worker is reached, within this gateway's part of its connections.
    pub fn destination(&self, worker: &Worker) -> Destination {
        let announced = self
            .in_force()
            .and_then(|in_force| {
                let service = in_force.configuration.service(&worker.service)?;
                Some(service.max_connections)
            })
            .unwrap_or(worker.slots);
        let gateways = self.gateways.load(Ordering::Relaxed).max(1) as f64;
        let part = (f64::from(announced) * CONNECTION_PART / gateways) as u32;
        Destination {
            worker: worker.id.clone(),
            address: worker.address,
            max_connections: part.max(MIN_CONNECTIONS),
        }
    }
}

/// Counts a request as under way for as long as it lives.
pub struct InFlight(Arc<Shared>);

impl InFlight {
    /// Begins to count.
    pub fn begin(shared: &Arc<Shared>) -> Self {
        shared.in_flight.fetch_add(1, Ordering::Relaxed);
        Self(Arc::clone(shared))
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Milliseconds of a duration, as logs show them.
pub fn whole_millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
