//! The state that the tasks of a gateway share. Each part has its own lock, which is held for a few
//! microseconds and never across an await point.

use std::collections::{BTreeSet, HashMap};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use parking_lot::{Mutex, RwLock};
use tansyhall_core::time::MonotonicClock;
use tansyhall_core::{ServiceName, TenantName, Timestamp, ZoneName};
use tansyhall_forwarding::{
    connection_limit, AnswerTimes, ApiKey, AuthenticatedTenant, CombinedRanks, Configuration,
    Directory, GrantedPlacements, KnownRequests, LapsedWorkers, Limits, Mirror, PartQuarantine,
    Position, Quarantine, RetryShares, Route, RouteTable, SendTracker, StopPlan, TenantTable,
    Urgency, Worker, WorkerEvidence,
};
use tansyhall_memory_budget::MemoryBudget;
use tokio::sync::watch;

use crate::connections::{Connections, Destination};
use crate::datagrams::Datagrams;
use crate::deflated_values::DeflatedValues;
use crate::events::EventLog;
use crate::fleet::Fleet;
use crate::metrics::Metrics;
use crate::placement::PlacementClient;
use crate::protocol::{Protocol, StoreSchema};
use crate::settings::GatewaySettings;
use crate::store_contact::StoreContact;
use crate::stream_versions::StreamVersionExchange;
use crate::update_cache::UpdateCache;
use crate::usage::Usage;
use crate::worker_entries::{LoggedWorkers, WorkerEntries};
use crate::worker_relay::WorkerRelays;

/// The shared state of a gateway.
pub struct Shared {
    /// The memory that may be held for callers.
    pub memory: MemoryBudget,
    /// Settings, replaced on reload.
    pub settings: RwLock<Arc<GatewaySettings>>,
    /// Clock for all timestamps of this process.
    pub clock: MonotonicClock,
    /// The protocol of callers and workers.
    pub protocol: Arc<dyn Protocol>,
    /// The keys and formats of the store's items.
    pub store_schema: Arc<dyn StoreSchema>,
    /// The mirror of the store.
    pub mirror: Mutex<Mirror>,
    /// The position of the mirror, for tasks that wait for a newer one.
    pub mirror_position: watch::Sender<Position>,
    /// Long values of the mirror, deflated for other gateways.
    pub deflated_values: Mutex<DeflatedValues>,
    /// Deflated updates for gateways that follow this mirror. Locked before `mirror`.
    pub update_cache: Mutex<UpdateCache>,
    /// Workers' entries as last decoded. Locked before `directory` where both are locked.
    pub worker_entries: Mutex<WorkerEntries>,
    /// Workers that accept requests, as last logged.
    pub logged_workers: Mutex<LoggedWorkers>,
    /// Workers that are still used although their entries lapsed while the store was unavailable.
    pub lapsed_workers: Mutex<LapsedWorkers>,
    /// The configuration in force and its routes.
    pub in_force: RwLock<Option<Arc<ConfigurationInForce>>>,
    /// Workers and their estimated load.
    pub directory: Arc<Mutex<Directory>>,
    /// Placements granted to other gateways. Locked before `directory` where both are locked.
    pub granted_placements: Mutex<GrantedPlacements>,
    /// Client for placements that schedulers make for this gateway.
    pub placements: PlacementClient,
    /// The gateways that are announced in the store.
    pub fleet: RwLock<Arc<Fleet>>,
    /// The socket for datagrams between gateways.
    pub datagrams: Datagrams,
    /// Whether the engines' cache contents from before this gateway's start have been recovered.
    pub caches_recovered: AtomicBool,
    /// How long recent requests took.
    pub answer_times: Mutex<AnswerTimes>,
    /// The retry budget of each service.
    pub retries: Mutex<RetryShares>,
    /// When the store last answered, directly or through a relay.
    pub store_contact: StoreContact,
    /// Whether this gateway requests changes from the store itself and not from a relay.
    pub follows_store: AtomicBool,
    /// Sent requests that workers may be running.
    pub sends: Mutex<SendTracker>,
    /// Evidence about workers whose addresses refuse connections. Locked before `directory` where both are locked.
    pub worker_evidence: Mutex<WorkerEvidence>,
    /// Requests that crash workers.
    pub quarantine: Mutex<Quarantine>,
    /// Prompt parts that crash workers.
    pub part_quarantine: Mutex<PartQuarantine>,
    /// The software versions at which streams began.
    pub stream_versions: StreamVersionExchange,
    /// Connections to workers.
    pub connections: Arc<Connections>,
    /// Connections to workers through other gateways.
    pub worker_relays: Arc<WorkerRelays>,
    /// Usage by tenant; `None` if it is not reported.
    pub usage: Option<Usage>,
    /// The event log.
    pub log: Arc<EventLog>,
    /// Metrics.
    pub metrics: Metrics,
    /// Whether this gateway has begun to announce itself.
    pub announced: AtomicBool,
    /// Number of gateways that share the fleet's budgets, including this one.
    pub gateways: AtomicU64,
    /// When SIGTERM was received.
    pub stopping_since: OnceLock<Timestamp>,
    /// Whether requests in progress end now because the process is about to exit.
    pub ends_requests: watch::Sender<bool>,
    /// Number of requests in progress.
    pub in_flight: AtomicU64,
}

/// A configuration in force, with its routes and tenants indexed.
pub struct ConfigurationInForce {
    /// The configuration.
    pub configuration: Configuration,
    /// The store position at which it was written.
    pub written: Position,
    routes: Mutex<RouteTable>,
    /// `None` if every caller may use every route.
    tenants: Option<TenantTable>,
    /// The longest time that a stream which may be resumed can take.
    pub stream_timeout: Duration,
    /// The rank of the most urgent requests for each service.
    most_urgent_ranks: HashMap<ServiceName, u8>,
    combined_ranks: CombinedRanks,
}

/// Why a request is not routed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RoutingError {
    /// No route matches its host and path.
    NoRoute,
    /// Its route is not public, and no tenant has its API key.
    UnknownKey,
}

/// The result of routing a request.
pub struct RoutedRequest {
    /// The route that matches the request.
    pub route: Arc<Route>,
    /// The service that the route selected for this request.
    pub service: ServiceName,
    /// The tenant that the caller's API key belongs to, if any.
    pub tenant: Option<TenantName>,
    /// The priority rank of the request; 0 is the most urgent.
    pub rank: u8,
    /// The urgency that follows from the ranks of both the tenant and the route.
    pub combined_urgency: Urgency,
    /// Whether the service may have more urgent requests, for which this one leaves slots free.
    pub yields: bool,
    /// The version of the configuration that was used.
    pub version: u64,
}

impl RoutedRequest {
    /// Replaces the urgency by the one that follows from the ranks of both the tenant and the route.
    pub fn use_combined_urgency(&mut self) {
        let Urgency { rank, yields } = self.combined_urgency;
        self.rank = rank;
        self.yields = yields;
    }
}

impl ConfigurationInForce {
    /// Indexes a configuration that was written to the store at `written`.
    pub fn new(configuration: Configuration, written: Position) -> Self {
        let routes = Mutex::new(RouteTable::new(&configuration));
        let tenants = configuration.tenants.as_deref().map(TenantTable::new);
        let most_urgent_ranks = configuration.most_urgent_ranks();
        let combined_ranks = CombinedRanks::new(&configuration);
        let stream_timeout = configuration.longest_resumable_stream();
        Self {
            configuration,
            written,
            routes,
            tenants,
            stream_timeout,
            most_urgent_ranks,
            combined_ranks,
        }
    }

    /// Routes a request from the caller with this API key.
    pub fn route(
        &self,
        host: &str,
        path: &str,
        key: Option<&ApiKey>,
    ) -> Result<RoutedRequest, RoutingError> {
        let mut routes = self.routes.lock();
        let matched = routes.find(host, path).ok_or(RoutingError::NoRoute)?;
        let tenant = self.tenant_of(key);
        if self.tenants.is_some() && tenant.is_none() && !matched.public {
            return Err(RoutingError::UnknownKey);
        }
        let routed = routes.route_request(host, path);
        drop(routes);
        let (route, service) = routed.ok_or(RoutingError::NoRoute)?;
        let tenant_rank = tenant.as_ref().and_then(|tenant| tenant.rank);
        let rank = tenant_rank.filter(|_| !route.public).unwrap_or(route.rank);
        let most_urgent = self.most_urgent_ranks.get(&service);
        Ok(RoutedRequest {
            yields: most_urgent.is_some_and(|most_urgent| *most_urgent < rank),
            rank,
            combined_urgency: self.combined_ranks.urgency(&service, tenant_rank, &route),
            tenant: tenant.map(|tenant| tenant.name.clone()),
            route,
            service,
            version: self.configuration.version,
        })
    }

    /// Returns whether another configuration contains the same services.
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

    /// Returns the limits on the requests of callers.
    pub fn limits(&self) -> Limits {
        self.configuration.limits
    }
}

impl Shared {
    /// Returns the current time.
    pub fn now(&self) -> Timestamp {
        self.clock.now()
    }

    /// Returns the zone of this gateway.
    pub fn zone(&self) -> ZoneName {
        self.settings.read().node.zone.clone()
    }

    /// Returns the configuration in force, if one has been received.
    pub fn in_force(&self) -> Option<Arc<ConfigurationInForce>> {
        self.in_force.read().clone()
    }

    /// Returns whether this gateway has a configuration and at least one ready worker.
    pub fn can_serve(&self) -> bool {
        self.in_force.read().is_some() && self.directory.lock().ready_workers() > 0
    }

    /// Returns whether this gateway receives the other gateways' reports of load and of cache contents. It does if it
    /// places requests, or is next in line to do so.
    pub fn receives_load_reports(&self) -> bool {
        let settings = self.settings.read();
        let fleet = self.fleet.read();
        !settings.decisions.schedulers || fleet.plan.is_listener(&settings.node.name)
    }

    /// Returns the milliseconds since the store last answered.
    pub fn store_age_ms(&self) -> u64 {
        saturating_millis(self.store_contact.age(self.now()))
    }

    /// Returns whether SIGTERM was received.
    pub fn is_stopping(&self) -> bool {
        self.stopping_since.get().is_some()
    }

    /// Returns the time since SIGTERM was received, or `None` if it was not.
    pub fn time_since_sigterm(&self) -> Option<Duration> {
        let since = self.stopping_since.get()?;
        Some(self.now().since(*since))
    }

    /// Returns the schedule of a shutdown.
    pub fn stop_plan(&self) -> StopPlan {
        StopPlan::new(self.settings.read().grace())
    }

    /// Returns whether a request that arrives now is accepted.
    pub fn accepts_requests(&self) -> bool {
        self.time_since_sigterm()
            .is_none_or(|elapsed| self.stop_plan().accepts(elapsed))
    }

    /// Returns whether a request that has been received is sent to a worker. `time_limit` is the longest time that it can
    /// take. A gateway without others serves any request that it accepts, since nobody else can.
    pub fn can_finish(&self, route: &str, time_limit: Duration) -> bool {
        let Some(elapsed) = self.time_since_sigterm() else {
            return true;
        };
        let usual = self.answer_times.lock().usual_maximum(route);
        let is_alone = self.fleet.read().len() <= 1;
        is_alone
            || usual.is_none_or(|usual| {
                let plan = self.stop_plan();
                plan.can_finish(elapsed, usual.min(time_limit))
            })
    }

    /// Waits until requests in progress end because the process is about to exit.
    pub async fn end_of_requests(&self) {
        let mut ends = self.ends_requests.subscribe();
        // The sender is a part of `self` and therefore not closed.
        let _ = ends.wait_for(|ends| *ends).await;
    }

    /// Returns the address of a worker, and how many connections to it this gateway may have open.
    pub fn destination(&self, worker: &Worker) -> Destination {
        let known = match self.hears_all_gateways() {
            true => KnownRequests::All(self.directory.lock().sends_of_others(&worker.id)),
            false => KnownRequests::None,
        };
        self.destination_with(worker, known)
    }

    /// Returns the destination of a request that a scheduler has placed at a worker.
    pub fn placed_destination(&self, worker: &Worker) -> Destination {
        self.destination_with(worker, KnownRequests::Placed)
    }

    fn destination_with(&self, worker: &Worker, known: KnownRequests) -> Destination {
        let worker_connections = self
            .in_force()
            .and_then(|in_force| {
                let service = in_force.configuration.service(&worker.service)?;
                Some(service.max_connections)
            })
            .unwrap_or(worker.slots);
        let gateways = self.gateways.load(Ordering::Relaxed);
        Destination {
            worker: worker.id.clone(),
            address: worker.address,
            max_connections: connection_limit(worker_connections, gateways, known),
        }
    }

    /// Returns whether all gateways place their own requests and report them to each other.
    fn hears_all_gateways(&self) -> bool {
        let fleet = self.fleet.read();
        let uses_schedulers = self.settings.read().decisions.schedulers;
        !uses_schedulers || fleet.plan.scheduler_count() == fleet.len()
    }
}

/// Counts a request as in progress until it is dropped.
pub struct InFlightGuard(Arc<Shared>);

impl InFlightGuard {
    /// Starts to count a request.
    pub fn begin(shared: &Arc<Shared>) -> Self {
        shared.in_flight.fetch_add(1, Ordering::Relaxed);
        Self(Arc::clone(shared))
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Returns a duration in whole milliseconds, as it is written to logs.
pub fn saturating_millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
