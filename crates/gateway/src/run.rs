//! Assembles a gateway and runs it until it receives a signal to stop.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use actix_web::dev::Server;
use actix_web::{web, App, HttpServer};
use anyhow::{Context, Result};
use parking_lot::{Mutex, RwLock};
use tansyhall_core::time::MonotonicClock;
use tansyhall_forwarding::{Directory, GatewayKey, GrantedPlacements, Mirror, RetryShares};
use tansyhall_memory_budget::MemoryBudget;
use tansyhall_store::KeyValueStore;
use tansyhall_usage::Source;
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::watch;
use tokio::time::sleep;

use crate::authority::Authority;
use crate::authority_claim;
use crate::caller_server;
use crate::connections::Connections;
use crate::correlation::Correlation;
use crate::datagrams::Datagrams;
use crate::duties::DutyService;
use crate::duty_calls::DutyCalls;
use crate::events::{Event, EventLog, Priority};
use crate::fleet::Fleet;
use crate::follower;
use crate::lease::{self, NodeLease};
use crate::metrics::Metrics;
use crate::mirror_refresh;
use crate::placement::{self, PlacementClient};
use crate::protocol::{Protocol, StoreSchema};
use crate::settings::GatewaySettings;
use crate::state::Shared;
use crate::store_contact::StoreContact;
use crate::stream_versions::{self, StreamVersionExchange};
use crate::usage::Usage;
use crate::worker_connect::TcpConnector;
use crate::worker_notices::WorkerNotices;
use crate::worker_relay::WorkerRelays;
use crate::{
    cache_recovery, load_exchange, peers, presence, quarantine, readiness, role_orders, usage,
    worker_ends, worker_entries, worker_orders, worker_relay,
};

/// Interval at which a stopping gateway checks whether requests are in progress.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Interval at which idle connections and other expired state are removed.
const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(1_000);
/// Number of gateways that are assumed to share the fleet's budgets until the store has been read.
const ASSUMED_GATEWAY_COUNT: u32 = 16;

/// Prefixes of the store's items that are not part of the mirror.
const UNMIRRORED_PREFIXES: [&str; 2] = [usage::ROWS_PREFIX, stream_versions::RECORDS_PREFIX];

/// The protocols and services that a gateway is connected to.
pub struct Adapter {
    /// The protocol of callers and workers.
    pub protocol: Arc<dyn Protocol>,
    /// The format of the items in the store.
    pub store_schema: Arc<dyn StoreSchema>,
    /// The store.
    pub store: Rc<dyn KeyValueStore>,
    /// The operations that the platform offers, if any.
    pub duties: Option<Rc<dyn DutyService>>,
}

/// Version and commit of the running program. During an upgrade of a fleet, two builds run at the same time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Build {
    /// The version.
    pub version: &'static str,
    /// The commit of the sources, or `unknown`.
    pub commit: &'static str,
}

/// Runs a gateway until SIGTERM or SIGINT. SIGHUP reloads the settings.
pub async fn run(
    build: Build,
    file: &Path,
    settings: GatewaySettings,
    adapter: Adapter,
) -> Result<()> {
    let log = Arc::new(EventLog::new(
        &settings.node.name,
        settings.log.queue_lines,
        settings.log.routine_per_second,
    ));
    log.start_writer()
        .context("cannot start the log writer thread")?;
    let shared = create_shared_state(settings, &adapter, log)?;
    let settings = shared.settings.read().clone();
    spawn_server(caller_server::start(&shared, &settings)?);
    serve_peers(&shared, settings.listen.peers)?;
    serve_readiness_and_metrics(&shared, settings.listen.ready, settings.listen.metrics)?;
    actix_rt::spawn(follower::follow(
        Arc::clone(&shared),
        Rc::clone(&adapter.store),
    ));
    actix_rt::spawn(peers::poll_while_stale(Arc::clone(&shared)));
    shared.datagrams.bind(settings.listen.load).await?;
    worker_relay::server::serve(&shared.worker_relays, settings.listen.load).await;
    actix_rt::spawn(worker_relay::probes::run(Arc::clone(&shared.worker_relays)));
    actix_rt::spawn(load_exchange::run(Arc::clone(&shared)));
    actix_rt::spawn(placement::send_notices(Arc::clone(&shared)));
    actix_rt::spawn(cache_recovery::run(Arc::clone(&shared)));
    actix_rt::spawn(stream_versions::maintain(Arc::clone(&shared)));
    actix_rt::spawn(stream_versions::write_records(
        Arc::clone(&shared),
        Rc::clone(&adapter.store),
    ));
    actix_rt::spawn(stream_versions::write_served_versions(
        Arc::clone(&shared),
        Rc::clone(&adapter.store),
    ));
    actix_rt::spawn(stream_versions::read_records(
        Arc::clone(&shared),
        Rc::clone(&adapter.store),
    ));
    actix_rt::spawn(worker_ends::watch(Arc::clone(&shared)));
    actix_rt::spawn(quarantine::maintain_store_list(
        Arc::clone(&shared),
        Rc::clone(&adapter.store),
    ));
    actix_rt::spawn(run_maintenance(Arc::clone(&shared)));
    actix_rt::spawn(worker_entries::withdraw_overdue_workers(Arc::clone(
        &shared,
    )));
    actix_rt::spawn(worker_entries::log_worker_changes(Arc::clone(&shared)));
    actix_rt::spawn(usage::send_to_collector(Arc::clone(&shared)));
    actix_rt::spawn(usage::write_collected(
        Arc::clone(&shared),
        Rc::clone(&adapter.store),
    ));
    spawn_lease_tasks(&shared, &adapter);
    let event = Event::Started {
        node: &settings.node.name,
        zone: settings.node.zone.as_str(),
        version: build.version,
        commit: build.commit,
    };
    shared.log.record(Priority::Important, &event);
    wait_for_stop_signal(&shared, file).await?;
    stop(&shared).await;
    Ok(())
}

/// Starts the tasks that depend on a lease. Each ends when the gateway stops.
fn spawn_lease_tasks(shared: &Arc<Shared>, adapter: &Adapter) {
    let store = &adapter.store;
    let own_key = presence::key(&shared.settings.read().node.name);
    let presence = NodeLease::new(&own_key, lease::PRESENCE_TIMING, true).lapsing_at_stop();
    let authority = NodeLease::new(authority_claim::KEY, lease::AUTHORITY_TIMING, false);
    for lease in [&presence, &authority] {
        let renewal = lease.clone().maintain(Arc::clone(shared), Rc::clone(store));
        actix_rt::spawn(renewal);
    }
    let announcement = presence::announce(Arc::clone(shared), Rc::clone(store), presence);
    actix_rt::spawn(announcement);
    let authority = Authority::new(authority);
    let acquisition = authority
        .clone()
        .claim_and_hold(Arc::clone(shared), Rc::clone(store));
    actix_rt::spawn(acquisition);
    spawn_duties(shared, adapter, &authority);
}

/// Starts the tasks that the holder of the authority performs for the site.
fn spawn_duties(shared: &Arc<Shared>, adapter: &Adapter, authority: &Authority) {
    let store = || Rc::clone(&adapter.store);
    let roles = role_orders::run(Arc::clone(shared), store(), authority.clone());
    actix_rt::spawn(roles);
    let Some(service) = &adapter.duties else {
        return;
    };
    let calls = || DutyCalls::new(shared, Rc::clone(service), authority.clone());
    let reports = usage::report(Arc::clone(shared), store(), calls());
    actix_rt::spawn(reports);
    let workers = worker_orders::run(Arc::clone(shared), store(), calls());
    actix_rt::spawn(workers);
}

/// Creates the state that the tasks of a gateway share, as it is before the store has been read.
pub fn create_shared_state(
    settings: GatewaySettings,
    adapter: &Adapter,
    log: Arc<EventLog>,
) -> Result<Arc<Shared>> {
    let clock = MonotonicClock::start();
    let gateway = GatewayKey::of(&settings.node.name, rand::random());
    let mut directory = Directory::new(gateway);
    directory.set_decisions(settings.decisions);
    directory.set_drain_time(settings.drain_time());
    let fleet = Fleet::new(vec![presence::own_member(&settings)]);
    let usage = settings.usage_timing().map(|timing| {
        let source = Source {
            gateway: settings.node.name.clone(),
            incarnation: gateway.0,
        };
        Usage::new(source, timing)
    });
    let retries = RetryShares::new(settings.retry_share());
    let metrics = Metrics::new()?;
    let correlation = Correlation::new(
        Arc::clone(&adapter.protocol),
        Arc::clone(&log),
        metrics.mismatched_answers.clone(),
    );
    let directory = Arc::new(Mutex::new(directory));
    let notices = WorkerNotices::new(
        clock,
        Arc::clone(&adapter.protocol),
        Arc::clone(&directory),
        Arc::clone(&log),
        metrics.worker_notices.clone(),
    );
    let source_address = settings.workers.source_address;
    let worker_relays = WorkerRelays::new(
        clock,
        settings.node.zone.clone(),
        Arc::clone(&directory),
        Arc::clone(&log),
        &metrics,
    );
    let connector = Arc::new(TcpConnector::from_address(source_address));
    let worker_relays = Arc::new(worker_relays.with_connector(connector));
    worker_relays.set_enabled(settings.decisions.worker_relays);
    let connections = Connections::new(clock, correlation, notices, source_address)
        .with_relays(Arc::clone(&worker_relays));
    let memory = MemoryBudget::for_machine(settings.memory_bytes());
    Ok(Arc::new(Shared {
        memory,
        settings: RwLock::new(Arc::new(settings)),
        clock,
        protocol: Arc::clone(&adapter.protocol),
        store_schema: Arc::clone(&adapter.store_schema),
        mirror: Mutex::new(Mirror::excluding_prefixes(&UNMIRRORED_PREFIXES)),
        mirror_position: watch::Sender::default(),
        deflated_values: Mutex::default(),
        update_cache: Mutex::default(),
        worker_entries: Mutex::default(),
        logged_workers: Mutex::default(),
        lapsed_workers: Mutex::default(),
        in_force: RwLock::new(None),
        directory,
        granted_placements: Mutex::new(GrantedPlacements::default()),
        placements: PlacementClient::new(gateway),
        fleet: RwLock::new(Arc::new(fleet)),
        datagrams: Datagrams::default(),
        caches_recovered: AtomicBool::new(false),
        answer_times: Mutex::default(),
        retries: Mutex::new(retries),
        store_contact: StoreContact::default(),
        follows_store: AtomicBool::new(false),
        sends: Mutex::default(),
        worker_evidence: Mutex::default(),
        quarantine: Mutex::default(),
        part_quarantine: Mutex::default(),
        stream_versions: StreamVersionExchange::default(),
        connections: Arc::new(connections),
        worker_relays,
        usage,
        log,
        metrics,
        announced: AtomicBool::new(false),
        gateways: AtomicU64::new(u64::from(ASSUMED_GATEWAY_COUNT)),
        stopping_since: OnceLock::new(),
        ends_requests: watch::Sender::default(),
        in_flight: AtomicU64::new(0),
    }))
}

fn serve_peers(shared: &Arc<Shared>, address: SocketAddr) -> Result<()> {
    let data = web::Data::new(Arc::clone(shared));
    let server = HttpServer::new(move || {
        App::new()
            .app_data(data.clone())
            .route("/changes", web::get().to(peers::serve_changes))
            .route("/caches", web::get().to(cache_recovery::serve_caches))
    })
    .workers(1)
    .disable_signals()
    .bind(address)
    .with_context(|| format!("listen.peers = {address}"))?;
    spawn_server(server.run());
    Ok(())
}

fn serve_readiness_and_metrics(
    shared: &Arc<Shared>,
    ready: SocketAddr,
    metrics: SocketAddr,
) -> Result<()> {
    let data = web::Data::new(Arc::clone(shared));
    let server = HttpServer::new(move || {
        App::new()
            .app_data(data.clone())
            .route("/metrics", web::get().to(readiness::metrics))
            .default_service(web::to(readiness::check))
    })
    .workers(1)
    .disable_signals()
    .bind(ready)
    .with_context(|| format!("listen.ready = {ready}"))?;
    // If the port for metrics is in use, the gateway logs a warning and runs without metrics on that port.
    let server = match std::net::TcpListener::bind(metrics) {
        Ok(listener) => server.listen(listener)?,
        Err(error) => {
            log::warn!("listen.metrics = {metrics}: {error}");
            server
        }
    };
    spawn_server(server.run());
    Ok(())
}

fn spawn_server(server: Server) {
    actix_rt::spawn(async move {
        if let Err(error) = server.await {
            log::error!("an HTTP server stopped: {error}");
        }
    });
}

async fn run_maintenance(shared: Arc<Shared>) {
    loop {
        sleep(MAINTENANCE_INTERVAL).await;
        shared
            .connections
            .prune(|worker| shared.directory.lock().get(worker).is_some());
        shared.worker_relays.prune();
        mirror_refresh::update_budget_shares(&shared);
        let now = shared.now();
        shared.directory.lock().expire_notices(now);
        shared.sends.lock().expire(now);
        shared.quarantine.lock().expire(now);
        shared.part_quarantine.lock().expire(now);
    }
}

async fn wait_for_stop_signal(shared: &Shared, file: &Path) -> Result<()> {
    let mut terminate =
        signal(SignalKind::terminate()).context("cannot install a signal handler")?;
    let mut interrupt =
        signal(SignalKind::interrupt()).context("cannot install a signal handler")?;
    let mut hangup = signal(SignalKind::hangup()).context("cannot install a signal handler")?;
    let file: PathBuf = file.to_owned();
    loop {
        tokio::select! {
            _ = terminate.recv() => return Ok(()),
            _ = interrupt.recv() => return Ok(()),
            _ = hangup.recv() => reload(shared, &file),
        }
    }
}

/// Reloads the settings. If they are invalid, the current ones remain in force. Changed addresses and thread counts take
/// effect at the next start.
fn reload(shared: &Shared, file: &Path) {
    let name = file.display().to_string();
    let outcome = std::fs::read_to_string(file)
        .map_err(anyhow::Error::from)
        .and_then(|text| Ok(GatewaySettings::parse(&name, &text)?));
    let outcome = match outcome {
        Ok(settings) => {
            let routine = settings.log.routine_per_second;
            shared.log.set_routine_per_second(routine);
            shared.retries.lock().set_settings(settings.retry_share());
            let mut directory = shared.directory.lock();
            directory.set_decisions(settings.decisions);
            directory.set_drain_time(settings.drain_time());
            drop(directory);
            shared
                .worker_relays
                .set_enabled(settings.decisions.worker_relays);
            *shared.settings.write() = Arc::new(settings);
            "applied".to_owned()
        }
        Err(error) => format!("{error:#}"),
    };
    let event = Event::Reloaded { outcome: &outcome };
    shared.log.record(Priority::Important, &event);
}

/// Waits for requests in progress, and ends them shortly before the exit. New callers are served until the load balancer
/// has noticed that this gateway is stopping.
async fn stop(shared: &Shared) {
    let relayed = || shared.worker_relays.server.relayed() as u64;
    let in_flight = || shared.in_flight.load(Ordering::Relaxed) + relayed();
    let since = *shared.stopping_since.get_or_init(|| shared.now());
    let event = Event::Stopping {
        in_flight: in_flight(),
    };
    shared.log.record(Priority::Important, &event);
    shared.worker_relays.server.leave();
    let plan = shared.stop_plan();
    let elapsed = || shared.now().since(since);
    while !plan.may_exit(elapsed(), in_flight()) {
        if elapsed() >= plan.end_of_requests() {
            shared.ends_requests.send_replace(true);
        }
        sleep(STOP_CHECK_INTERVAL).await;
    }
    let event = Event::Stopped {
        in_flight: in_flight(),
    };
    shared.log.record(Priority::Important, &event);
    sleep(plan.flush_time_left(elapsed()).max(STOP_CHECK_INTERVAL)).await;
}
