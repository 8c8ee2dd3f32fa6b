//! Wires a gateway and runs it until it is told to stop.

use std::any::Any;
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
use socket2::SockRef;
use tansyhall_core::time::MonotonicClock;
use tansyhall_forwarding::{Directory, GatewayKey, GrantedPlacements, Mirror, RetryShares};
use tansyhall_store::KeyValueStore;
use tansyhall_usage::Source;
use tokio::net::TcpStream;
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::watch;
use tokio::time::sleep;

use crate::authority::Authority;
use crate::authority_claim;
use crate::connections::Connections;
use crate::correlation::Correlation;
use crate::datagrams::Datagrams;
use crate::duties::DutyService;
use crate::duty_calls::DutyCalls;
use crate::events::{Event, EventLog, Weight};
use crate::fleet::Fleet;
use crate::follower;
use crate::lease::{self, NodeLease};
use crate::metrics::Metrics;
use crate::mirror_refresh;
use crate::placement::{self, PlacementClient};
use crate::protocol::{Catalogue, Protocol};
use crate::settings::GatewaySettings;
use crate::state::Shared;
use crate::store_contact::StoreContact;
use crate::usage::Usage;
use crate::worker_notices::WorkerNotices;
use crate::{
    cache_recovery, ingress, load_exchange, peers, presence, quarantine, readiness, role_orders,
    usage, worker_ends, worker_entries, worker_orders,
};

/// Time that callers' connections may rest.
const CALLER_IDLE: Duration = Duration::from_secs(75);
/// Time for a request's head.
const CALLER_HEAD: Duration = Duration::from_secs(10);
/// Time after which a caller that takes nothing of what it is sent has left without a word. Only this ends
/// its connection: while bytes wait to be taken, the server looks at nothing else. Callers wait 5 s at most
/// as a rule, and one that reads slowly takes something now and then.
const CALLER_TAKES_NOTHING: Duration = Duration::from_secs(10);
/// New connections that wait to be accepted.
const BACKLOG: u32 = 1024;
/// Pause between two looks at what is under way.
const STOP_PACE: Duration = Duration::from_millis(20);
/// Pause between two sweeps of kept connections.
const PRUNE_PACE: Duration = Duration::from_millis(1_000);
/// Gateways that share the fleet's budgets before the store has been read.
const ASSUMED_GATEWAYS: u32 = 16;

/// The world around a gateway.
pub struct Adapter {
    /// How callers and workers speak.
    pub protocol: Arc<dyn Protocol>,
    /// How the store's items read.
    pub catalogue: Arc<dyn Catalogue>,
    /// The store.
    pub store: Rc<dyn KeyValueStore>,
    /// The platform's operations, if it has any.
    pub duties: Option<Rc<dyn DutyService>>,
}

/// What the running program was built from. While a fleet is upgraded, two builds run side by side.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Build {
    /// Its version.
    pub version: &'static str,
    /// The commit of its sources, or `unknown`.
    pub commit: &'static str,
}

/// Runs a gateway until SIGTERM or SIGINT; SIGHUP reads the settings again.
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
    log.start_writer().context("no thread for the log")?;
    let shared = share(settings, &adapter, log)?;
    let settings = shared.settings.read().clone();
    serve_callers(&shared, &settings)?;
    serve_peers(&shared, settings.listen.peers)?;
    serve_checks(&shared, settings.listen.ready, settings.listen.metrics)?;
    actix_rt::spawn(follower::follow(
        Arc::clone(&shared),
        Rc::clone(&adapter.store),
    ));
    actix_rt::spawn(peers::follow(Arc::clone(&shared)));
    shared.datagrams.bind(settings.listen.load).await?;
    actix_rt::spawn(load_exchange::run(Arc::clone(&shared)));
    actix_rt::spawn(placement::send_notices(Arc::clone(&shared)));
    actix_rt::spawn(cache_recovery::run(Arc::clone(&shared)));
    actix_rt::spawn(worker_ends::watch(Arc::clone(&shared)));
    actix_rt::spawn(quarantine::maintain_store_list(
        Arc::clone(&shared),
        Rc::clone(&adapter.store),
    ));
    actix_rt::spawn(prune(Arc::clone(&shared)));
    actix_rt::spawn(worker_entries::end_lapses(Arc::clone(&shared)));
    actix_rt::spawn(worker_entries::log_worker_changes(Arc::clone(&shared)));
    actix_rt::spawn(usage::send_to_collector(Arc::clone(&shared)));
    actix_rt::spawn(usage::write_collected(
        Arc::clone(&shared),
        Rc::clone(&adapter.store),
    ));
    spawn_under_leases(&shared, &adapter);
    let event = Event::Started {
        node: &settings.node.name,
        zone: settings.node.zone.as_str(),
        version: build.version,
        commit: build.commit,
    };
    shared.log.record(Weight::Important, &event);
    until_told_to_stop(&shared, file).await?;
    stop(&shared).await;
    Ok(())
}

/// Starts what hangs on a lease; each task ends when the gateway stops.
fn spawn_under_leases(shared: &Arc<Shared>, adapter: &Adapter) {
    let store = &adapter.store;
    let own_key = presence::key(&shared.settings.read().node.name);
    let presence = NodeLease::new(&own_key, lease::PRESENCE, true);
    let authority = NodeLease::new(authority_claim::KEY, lease::AUTHORITY, false);
    for lease in [&presence, &authority] {
        let kept = lease.clone().keep(Arc::clone(shared), Rc::clone(store));
        actix_rt::spawn(kept);
    }
    let announced = presence::announce(Arc::clone(shared), Rc::clone(store), presence);
    actix_rt::spawn(announced);
    let authority = Authority::new(authority);
    let seeking = authority.clone().seek(Arc::clone(shared), Rc::clone(store));
    actix_rt::spawn(seeking);
    spawn_duties(shared, adapter, &authority);
}

/// Starts what the holder of the authority does for the site.
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

/// What the tasks of a gateway share, before the store was read.
pub fn share(
    settings: GatewaySettings,
    adapter: &Adapter,
    log: Arc<EventLog>,
) -> Result<Arc<Shared>> {
    let clock = MonotonicClock::start();
    let gateway = GatewayKey::of(&settings.node.name, rand::random());
    let mut directory = Directory::new(gateway);
    directory.set_decisions(settings.decisions);
    let fleet = Fleet::new(vec![presence::own_member(&settings)]);
    let usage = settings.usage_timing().map(|timing| {
        let source = Source {
            gateway: settings.node.name.clone(),
            incarnation: gateway.0,
        };
        Usage::new(source, timing)
    });
    let retries = RetryShares::new(settings.retry_share(), ASSUMED_GATEWAYS);
    let metrics = Metrics::new()?;
    let correlation = Correlation::new(
        Arc::clone(&adapter.protocol),
        Arc::clone(&log),
        metrics.foreign_answers.clone(),
    );
    let directory = Arc::new(Mutex::new(directory));
    let notices = WorkerNotices::new(
        clock,
        Arc::clone(&adapter.protocol),
        Arc::clone(&directory),
        Arc::clone(&log),
        metrics.worker_notices.clone(),
    );
    Ok(Arc::new(Shared {
        settings: RwLock::new(Arc::new(settings)),
        clock,
        protocol: Arc::clone(&adapter.protocol),
        catalogue: Arc::clone(&adapter.catalogue),
        mirror: Mutex::new(Mirror::excluding_prefix(usage::ROWS_PREFIX)),
        mirror_position: watch::Sender::default(),
        deflated_values: Mutex::default(),
        copy_answers: Mutex::default(),
        worker_entries: Mutex::default(),
        logged_workers: Mutex::default(),
        lapsed_workers: Mutex::default(),
        in_force: RwLock::new(None),
        directory,
        ledger: Mutex::new(GrantedPlacements::default()),
        placements: PlacementClient::new(gateway),
        fleet: RwLock::new(Arc::new(fleet)),
        datagrams: Datagrams::default(),
        caches_recovered: AtomicBool::new(false),
        retries: Mutex::new(retries),
        store_contact: StoreContact::default(),
        sends: Mutex::default(),
        quarantine: Mutex::default(),
        connections: Arc::new(Connections::new(clock, correlation, notices)),
        usage,
        log,
        metrics,
        gateways: AtomicU64::new(u64::from(ASSUMED_GATEWAYS)),
        stopping_since: OnceLock::new(),
        in_flight: AtomicU64::new(0),
    }))
}

fn serve_callers(shared: &Arc<Shared>, settings: &GatewaySettings) -> Result<()> {
    let data = web::Data::new(Arc::clone(shared));
    let server = HttpServer::new(move || {
        App::new()
            .app_data(data.clone())
            .default_service(web::to(ingress::serve))
    })
    .workers(settings.node.threads)
    .backlog(BACKLOG)
    .keep_alive(CALLER_IDLE)
    .client_request_timeout(CALLER_HEAD)
    .h1_allow_half_closed(false)
    .on_connect(|connection, _| end_if_nothing_is_taken(connection))
    .disable_signals()
    .bind(settings.listen.callers)
    .with_context(|| format!("listen.callers = {}", settings.listen.callers))?;
    detach(server.run());
    Ok(())
}

fn end_if_nothing_is_taken(connection: &dyn Any) {
    let Some(stream) = connection.downcast_ref::<TcpStream>() else {
        return;
    };
    let limited = SockRef::from(stream).set_tcp_user_timeout(Some(CALLER_TAKES_NOTHING));
    if let Err(error) = limited {
        log::warn!("a silent caller will hold its connection: {error}");
    }
}

fn serve_peers(shared: &Arc<Shared>, address: SocketAddr) -> Result<()> {
    let data = web::Data::new(Arc::clone(shared));
    let server = HttpServer::new(move || {
        App::new()
            .app_data(data.clone())
            .route("/changes", web::get().to(peers::hand_over))
            .route("/caches", web::get().to(cache_recovery::hand_over))
    })
    .workers(1)
    .disable_signals()
    .bind(address)
    .with_context(|| format!("listen.peers = {address}"))?;
    detach(server.run());
    Ok(())
}

fn serve_checks(shared: &Arc<Shared>, ready: SocketAddr, metrics: SocketAddr) -> Result<()> {
    let data = web::Data::new(Arc::clone(shared));
    let server = HttpServer::new(move || {
        App::new()
            .app_data(data.clone())
            .route("/metrics", web::get().to(readiness::metrics))
            .default_service(web::to(readiness::answer))
    })
    .workers(1)
    .disable_signals()
    .bind(ready)
    .with_context(|| format!("listen.ready = {ready}"))?;
    // Metrics are worth a warning, not the gateway, if their port is taken.
    let server = match std::net::TcpListener::bind(metrics) {
        Ok(listener) => server.listen(listener)?,
        Err(error) => {
            log::warn!("listen.metrics = {metrics}: {error}");
            server
        }
    };
    detach(server.run());
    Ok(())
}

fn detach(server: Server) {
    actix_rt::spawn(async move {
        if let Err(error) = server.await {
            log::error!("a server ended: {error}");
        }
    });
}

async fn prune(shared: Arc<Shared>) {
    loop {
        sleep(PRUNE_PACE).await;
        shared
            .connections
            .prune(|worker| shared.directory.lock().get(worker).is_some());
        mirror_refresh::share_budgets_anew(&shared);
        let now = shared.now();
        shared.directory.lock().expire_notices(now);
        shared.sends.lock().expire(now);
        shared.quarantine.lock().expire(now);
    }
}

async fn until_told_to_stop(shared: &Shared, file: &Path) -> Result<()> {
    let mut terminate = signal(SignalKind::terminate()).context("no signal handler")?;
    let mut interrupt = signal(SignalKind::interrupt()).context("no signal handler")?;
    let mut hangup = signal(SignalKind::hangup()).context("no signal handler")?;
    let file: PathBuf = file.to_owned();
    loop {
        tokio::select! {
            _ = terminate.recv() => return Ok(()),
            _ = interrupt.recv() => return Ok(()),
            _ = hangup.recv() => reload(shared, &file),
        }
    }
}

/// Reads the settings again; what was in force stays so if they are faulty. Addresses and threads
/// take effect at the next start.
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
            shared.directory.lock().set_decisions(settings.decisions);
            *shared.settings.write() = Arc::new(settings);
            "applied".to_owned()
        }
        Err(error) => format!("{error:#}"),
    };
    let event = Event::Reloaded { outcome: &outcome };
    shared.log.record(Weight::Important, &event);
}

/// Finishes what is under way. New callers are served until whoever distributes them has noticed.
async fn stop(shared: &Shared) {
    let in_flight = || shared.in_flight.load(Ordering::Relaxed);
    let since = *shared.stopping_since.get_or_init(|| shared.now());
    let event = Event::Stopping {
        in_flight: in_flight(),
    };
    shared.log.record(Weight::Important, &event);
    let plan = shared.stop_plan();
    while !plan.may_exit(shared.now().since(since), in_flight()) {
        sleep(STOP_PACE).await;
    }
    let event = Event::Stopped {
        in_flight: in_flight(),
    };
    shared.log.record(Weight::Important, &event);
    sleep(STOP_PACE).await;
}
