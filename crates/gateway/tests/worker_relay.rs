//! Connections to workers through other gateways, over real sockets.

use std::io::{Error, ErrorKind};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU8, AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;

use futures_util::future::{BoxFuture, FutureExt};
use parking_lot::Mutex;
use socket2::{Domain, SockRef, Socket, Type};
use tansyhall_core::time::MonotonicClock;
use tansyhall_core::{ServiceName, ZoneName};
use tansyhall_forwarding::{
    ConnectFailure, DirectOutcome, Directory, GatewayKey, RelayOutcome, Worker, WorkerId,
    WorkerKind, WorkerState,
};
use tansyhall_gateway::events::EventLog;
use tansyhall_gateway::metrics::Metrics;
use tansyhall_gateway::presence::Member;
use tansyhall_gateway::worker_connect::{TcpConnector, WorkerConnector, CONNECT_TIMEOUT};
use tansyhall_gateway::worker_relay::client::{self, RelayedStream};
use tansyhall_gateway::worker_relay::{probes, server, RelayedCheck, WorkerRelays, WorkerStream};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::time::{sleep, timeout, Instant};

/// Longest time within which a worker is reached through a relay, or a connection to it fails.
const MAX_CONNECT_TIME: Duration = Duration::from_secs(1);
/// Time within which the departure of a caller must reach the worker.
const MAX_DEPARTURE_TIME: Duration = Duration::from_millis(500);
const WAIT_LIMIT: Duration = Duration::from_secs(10);
const CHECK_INTERVAL: Duration = Duration::from_millis(10);
/// More than all buffers of a relayed connection hold.
const LARGE_BYTES: usize = 4 << 20;
/// More than the buffers of all sockets between a worker and a gateway hold.
const SLOWLY_READ_BYTES: usize = 32 << 20;

const OPEN: u8 = 0;
const HANGING: u8 = 1;
const REFUSING: u8 = 2;
/// Connections are accepted and reset at once.
const RESETTING: u8 = 3;

/// The network between a gateway and all workers.
#[derive(Default)]
struct Network {
    state: AtomicU8,
    attempts: AtomicUsize,
}

impl Network {
    fn set(&self, state: u8) {
        self.state.store(state, Ordering::SeqCst);
    }
}

impl WorkerConnector for Network {
    fn connect(&self, address: SocketAddr) -> BoxFuture<'static, std::io::Result<TcpStream>> {
        self.attempts.fetch_add(1, Ordering::SeqCst);
        let state = self.state.load(Ordering::SeqCst);
        async move {
            match state {
                HANGING => {
                    sleep(CONNECT_TIMEOUT).await;
                    Err(Error::from(ErrorKind::TimedOut))
                }
                RESETTING => connect_to_resetting().await,
                REFUSING => Err(Error::from(ErrorKind::ConnectionRefused)),
                _ => TcpConnector::default().connect(address).await,
            }
        }
        .boxed()
    }
}

async fn connect_to_resetting() -> std::io::Result<TcpStream> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let stream = TcpStream::connect(listener.local_addr()?).await?;
    let (accepted, _) = listener.accept().await?;
    SockRef::from(&accepted).set_linger(Some(Duration::ZERO))?;
    Ok(stream)
}

/// A gateway without its callers.
struct Gateway {
    member: Member,
    network: Arc<Network>,
    directory: Arc<Mutex<Directory>>,
    relays: Arc<WorkerRelays>,
}

impl Gateway {
    /// Creates a gateway that relays up to `max_relayed` connections.
    async fn start_with_limit(
        name: &str,
        zone: &str,
        max_relayed: usize,
        workers: &[Worker],
    ) -> Self {
        let gateway = Self::without_server(name, zone, max_relayed, workers);
        server::serve(&gateway.relays, gateway.member.load_address).await;
        gateway
    }

    async fn start(name: &str, zone: &str, workers: &[Worker]) -> Self {
        Self::start_with_limit(name, zone, 100, workers).await
    }

    /// Creates a gateway at whose address nothing listens, like that of an older build.
    fn without_server(name: &str, zone: &str, max_relayed: usize, workers: &[Worker]) -> Self {
        let address = free_address();
        let mut directory = Directory::new(GatewayKey(1));
        directory.announce(workers.to_vec());
        let directory = Arc::new(Mutex::new(directory));
        let network = Arc::<Network>::default();
        let relays = WorkerRelays::new(
            MonotonicClock::start(),
            ZoneName::new(zone),
            Arc::clone(&directory),
            Arc::new(EventLog::new(name, 64, 64)),
            &Metrics::new().expect("metrics"),
        );
        let connector: Arc<dyn WorkerConnector> = network.clone();
        Self {
            member: Member {
                name: name.to_owned(),
                peer_address: address,
                load_address: address,
                zone: Some(ZoneName::new(zone)),
                capacity: 1.0,
            },
            relays: Arc::new(
                relays
                    .with_connector(connector)
                    .with_max_relayed(max_relayed),
            ),
            network,
            directory,
        }
    }

    fn address(&self) -> SocketAddr {
        self.member.load_address
    }

    async fn connect(&self, worker: &Worker) -> Result<WorkerStream, ConnectFailure> {
        let connecting = self.relays.connect(&worker.id, worker.address);
        let connected = timeout(MAX_CONNECT_TIME, connecting).await;
        connected
            .expect("a result in time")
            .map_err(|error| error.failure)
    }

    async fn connect_relayed(&self, worker: &Worker) -> (RelayedStream, String) {
        match self.connect(worker).await {
            Ok(WorkerStream::Relayed(stream, relay)) => (stream, relay.to_string()),
            Ok(WorkerStream::Direct(_)) => panic!("the connection is direct"),
            Err(failure) => panic!("no connection: {failure:?}"),
        }
    }

    async fn is_connected_directly(&self, worker: &Worker) -> bool {
        matches!(self.connect(worker).await, Ok(WorkerStream::Direct(_)))
    }
}

fn introduce(gateways: &[&Gateway]) {
    let members: Vec<Member> = gateways
        .iter()
        .map(|gateway| gateway.member.clone())
        .collect();
    for gateway in gateways {
        gateway.relays.set_members(&gateway.member.name, &members);
    }
}

fn free_address() -> SocketAddr {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    listener.local_addr().expect("a bound address")
}

fn worker_at(name: &str, address: SocketAddr) -> Worker {
    Worker {
        version: "v1".into(),
        id: WorkerId::from(name),
        service: ServiceName::new("s"),
        address,
        zone: ZoneName::new("z"),
        slots: 8,
        state: WorkerState::Ready,
        role: None,
        kind: WorkerKind::Reserved,
    }
}

/// Starts a worker that hands its connections over.
async fn scripted_worker(name: &str) -> (Worker, mpsc::UnboundedReceiver<TcpStream>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("a bound address");
    let (sender, receiver) = mpsc::unbounded_channel();
    actix_rt::spawn(async move {
        while let Ok((connection, _)) = listener.accept().await {
            if sender.send(connection).is_err() {
                return;
            }
        }
    });
    (worker_at(name, address), receiver)
}

/// Starts a worker that sends back what it receives.
async fn echoing_worker(name: &str) -> Worker {
    let (worker, mut connections) = scripted_worker(name).await;
    actix_rt::spawn(async move {
        while let Some(mut connection) = connections.recv().await {
            actix_rt::spawn(async move {
                let (mut reader, mut writer) = connection.split();
                let _ = tokio::io::copy(&mut reader, &mut writer).await;
            });
        }
    });
    worker
}

async fn open(relay: &Gateway, worker: &Worker) -> Result<RelayedStream, RelayOutcome> {
    client::open(relay.address(), &worker.id, worker.address).await
}

/// Opens a relayed connection and returns both of its ends.
async fn open_both(
    relay: &Gateway,
    worker: &Worker,
    connections: &mut mpsc::UnboundedReceiver<TcpStream>,
) -> (RelayedStream, TcpStream) {
    let near = open(relay, worker).await.expect("a connection");
    (near, connections.recv().await.expect("a connection"))
}

async fn eventually(description: &str, condition: impl Fn() -> bool) {
    let until = Instant::now() + WAIT_LIMIT;
    while !condition() {
        assert!(Instant::now() < until, "timed out: {description}");
        sleep(CHECK_INTERVAL).await;
    }
}

async fn assert_echoes(stream: &mut RelayedStream, bytes: &[u8]) {
    let (mut reader, mut writer) = tokio::io::split(&mut stream.io);
    let mut received = vec![0; bytes.len()];
    let (sent, read) = tokio::join!(writer.write_all(bytes), reader.read_exact(&mut received));
    sent.expect("sent");
    read.expect("received");
    assert!(received == bytes, "the bytes have changed");
}

#[actix_rt::test]
async fn a_worker_that_only_another_gateway_reaches_is_reached_through_it() {
    let worker = echoing_worker("w-1").await;
    let workers = [worker.clone()];
    for state in [HANGING, REFUSING] {
        let own = Gateway::start("g-1", "a", &workers).await;
        let other = Gateway::start("g-2", "a", &workers).await;
        introduce(&[&own, &other]);
        assert!(own.is_connected_directly(&worker).await);
        own.network.set(state);
        let (mut stream, relay) = own.connect_relayed(&worker).await;
        assert_eq!(relay, "g-2");
        let bytes: Vec<u8> = (0..LARGE_BYTES).map(|index| (index % 251) as u8).collect();
        assert_echoes(&mut stream, &bytes).await;
        assert_eq!(other.relays.server.relayed(), 1);
        drop(stream);
        eventually("the relay has closed", || {
            other.relays.server.relayed() == 0
        })
        .await;
    }
}

#[actix_rt::test]
async fn a_partitioned_gateway_uses_relays_at_once_and_returns_to_the_direct_path() {
    let workers = [echoing_worker("w-1").await, echoing_worker("w-2").await];
    let own = Gateway::start("g-1", "a", &workers).await;
    let other = Gateway::start("g-2", "b", &workers).await;
    introduce(&[&own, &other]);
    actix_rt::spawn(probes::run(Arc::clone(&own.relays)));
    own.network.set(HANGING);
    for worker in &workers {
        own.connect_relayed(worker).await;
    }
    assert!(own.relays.is_partitioned());
    let attempts = own.network.attempts.load(Ordering::SeqCst);
    own.connect_relayed(&workers[0]).await;
    let later_attempts = own.network.attempts.load(Ordering::SeqCst);
    assert!(later_attempts <= attempts + 1, "only a probe may be direct");
    own.network.set(OPEN);
    eventually("the gateway is restored", || !own.relays.is_partitioned()).await;
    assert!(own.is_connected_directly(&workers[0]).await);
}

#[actix_rt::test]
async fn a_probe_that_is_reset_does_not_end_a_partition() {
    let workers = [echoing_worker("w-1").await, echoing_worker("w-2").await];
    let own = Gateway::start("g-1", "a", &workers).await;
    let other = Gateway::start("g-2", "a", &workers).await;
    introduce(&[&own, &other]);
    own.network.set(REFUSING);
    for worker in &workers {
        own.connect_relayed(worker).await;
    }
    own.network.set(RESETTING);
    let probed = own
        .relays
        .connect_directly(&workers[0].id, workers[0].address);
    assert!(probed.await.is_err());
    assert!(own.relays.is_partitioned());
}

#[actix_rt::test]
async fn a_silent_worker_behind_a_hanging_path_reveals_the_partition() {
    let workers = [echoing_worker("w-1").await, echoing_worker("w-2").await];
    let own = Gateway::start("g-1", "a", &workers).await;
    let other = Gateway::start("g-2", "a", &workers).await;
    introduce(&[&own, &other]);
    actix_rt::spawn(probes::run(Arc::clone(&own.relays)));
    own.network.set(HANGING);
    own.relays.want_probe(&workers[0].id);
    eventually("a partition", || own.relays.is_partitioned()).await;
}

#[actix_rt::test]
async fn a_silent_worker_that_is_reached_directly_reveals_nothing() {
    let workers = [echoing_worker("w-1").await];
    let own = Gateway::start("g-1", "a", &workers).await;
    actix_rt::spawn(probes::run(Arc::clone(&own.relays)));
    own.relays.want_probe(&workers[0].id);
    let attempts = || own.network.attempts.load(Ordering::SeqCst);
    eventually("a probe", || attempts() == 1).await;
    assert!(!own.relays.may_be_partitioned());
}

#[actix_rt::test]
async fn a_regular_end_at_the_worker_is_a_regular_end() {
    let (worker, mut connections) = scripted_worker("w-1").await;
    let relay = Gateway::start("g-2", "a", std::slice::from_ref(&worker)).await;
    let (mut near, mut far) = open_both(&relay, &worker, &mut connections).await;
    far.write_all(b"whole").await.expect("sent");
    drop(far);
    let mut received = Vec::new();
    near.io
        .read_to_end(&mut received)
        .await
        .expect("a regular end");
    assert_eq!(received, b"whole");
    assert!(near.status.is_ended_by_worker());
}

/// Guards against answers that the relay cuts because a slow caller has stopped reading for a while.
#[actix_rt::test]
async fn a_gateway_that_reads_slowly_receives_everything() {
    /// Longer than the time after which a connection that acknowledges nothing is closed.
    const STALL: Duration = Duration::from_millis(4_500);
    let (worker, mut connections) = scripted_worker("w-1").await;
    let relay = Gateway::start("g-2", "a", std::slice::from_ref(&worker)).await;
    let (mut near, mut far) = open_both(&relay, &worker, &mut connections).await;
    actix_rt::spawn(async move { far.write_all(&vec![7; SLOWLY_READ_BYTES]).await });
    sleep(STALL).await;
    let mut received = Vec::new();
    let read = near.io.read_to_end(&mut received).await;
    read.expect("a regular end");
    assert_eq!(received.len(), SLOWLY_READ_BYTES);
}

#[actix_rt::test]
async fn a_reset_by_the_worker_is_an_error_at_the_worker() {
    let (worker, mut connections) = scripted_worker("w-1").await;
    let relay = Gateway::start("g-2", "a", std::slice::from_ref(&worker)).await;
    let (mut near, far) = open_both(&relay, &worker, &mut connections).await;
    SockRef::from(&far)
        .set_linger(Some(Duration::ZERO))
        .expect("an option");
    drop(far);
    let error = near.io.read(&mut [0; 8]).await.expect_err("an error");
    assert_eq!(error.kind(), ErrorKind::ConnectionReset);
    assert!(near.status.is_ended_by_worker());
}

#[actix_rt::test]
async fn the_death_of_the_relay_is_an_error_that_says_nothing_about_the_worker() {
    let (worker, mut connections) = scripted_worker("w-1").await;
    let relay = Gateway::without_server("g-2", "a", 100, std::slice::from_ref(&worker));
    let process = actix_rt::Arbiter::new();
    let (relays, address) = (Arc::clone(&relay.relays), relay.address());
    process.spawn(async move { server::serve(&relays, address).await });
    while open(&relay, &worker).await.is_err() {
        sleep(CHECK_INTERVAL).await;
    }
    connections.recv().await.expect("a connection");
    let (mut near, mut far) = open_both(&relay, &worker, &mut connections).await;
    far.write_all(b"part").await.expect("sent");
    let mut received = [0; 4];
    near.io.read_exact(&mut received).await.expect("received");
    process.stop();
    let error = near.io.read(&mut received).await.expect_err("an error");
    assert!(!near.status.is_ended_by_worker(), "{error}");
}

#[actix_rt::test]
async fn the_departure_of_the_gateway_reaches_the_worker() {
    let (worker, mut connections) = scripted_worker("w-1").await;
    let relay = Gateway::start("g-2", "a", std::slice::from_ref(&worker)).await;
    for sends_request in [false, true] {
        let (mut near, mut far) = open_both(&relay, &worker, &mut connections).await;
        if sends_request {
            near.io.write_all(b"request").await.expect("sent");
            far.read_exact(&mut [0; 7]).await.expect("received");
        }
        drop(near);
        let mut unread = [0; 8];
        let ended = timeout(MAX_DEPARTURE_TIME, far.read(&mut unread)).await;
        assert!(matches!(ended.expect("the end in time"), Ok(0) | Err(_)));
    }
    eventually("nothing is left", || relay.relays.server.relayed() == 0).await;
}

#[actix_rt::test]
async fn a_relay_at_its_limit_refuses_further_connections() {
    let worker = echoing_worker("w-1").await;
    let workers = std::slice::from_ref(&worker);
    let relay = Gateway::start_with_limit("g-2", "a", 1, workers).await;
    let first = open(&relay, &worker).await.expect("a connection");
    assert_eq!(
        open(&relay, &worker).await.err(),
        Some(RelayOutcome::AtLimit)
    );
    drop(first);
    eventually("the limit is free", || relay.relays.server.relayed() == 0).await;
    assert!(open(&relay, &worker).await.is_ok());
}

#[actix_rt::test]
async fn a_leaving_relay_takes_no_connection_and_finishes_the_open_ones() {
    let worker = echoing_worker("w-1").await;
    let relay = Gateway::start("g-2", "a", std::slice::from_ref(&worker)).await;
    let mut near = open(&relay, &worker).await.expect("a connection");
    relay.relays.server.leave();
    assert_eq!(
        open(&relay, &worker).await.err(),
        Some(RelayOutcome::Leaving)
    );
    assert_echoes(&mut near, b"still whole").await;
    assert!(near.status.is_leaving());
    assert_eq!(relay.relays.server.relayed(), 1);
}

#[actix_rt::test]
async fn a_relay_connects_only_to_workers_that_it_knows() {
    let worker = echoing_worker("w-1").await;
    let unannounced = worker_at("w-2", worker.address);
    let elsewhere = worker_at("w-1", free_address());
    let relay = Gateway::start("g-2", "a", std::slice::from_ref(&worker)).await;
    for unknown in [unannounced, elsewhere] {
        let opened = open(&relay, &unknown).await;
        assert_eq!(opened.err(), Some(RelayOutcome::UnknownWorker));
    }
    assert_eq!(relay.network.attempts.load(Ordering::SeqCst), 0);
}

#[actix_rt::test]
async fn an_older_build_is_passed_over() {
    let worker = echoing_worker("w-1").await;
    let workers = std::slice::from_ref(&worker);
    let own = Gateway::start("g-1", "a", workers).await;
    let older = Gateway::without_server("g-2", "a", 100, workers);
    assert_eq!(
        open(&older, &worker).await.err(),
        Some(RelayOutcome::Unsupported)
    );
    introduce(&[&own, &older]);
    own.network.set(REFUSING);
    assert_eq!(
        own.connect(&worker).await.err(),
        Some(ConnectFailure::WorkerRefused)
    );
    let newer = Gateway::start("g-3", "b", workers).await;
    introduce(&[&own, &older, &newer]);
    let (_, relay) = own.connect_relayed(&worker).await;
    assert_eq!(relay, "g-3");
}

#[actix_rt::test]
async fn another_protocol_at_the_address_of_a_peer_counts_as_an_older_build() {
    let worker = echoing_worker("w-1").await;
    let stranger = echoing_worker("stranger").await;
    let opened = client::open(stranger.address, &worker.id, worker.address).await;
    assert!(matches!(
        opened.err(),
        Some(RelayOutcome::Unsupported | RelayOutcome::Unavailable)
    ));
}

#[actix_rt::test]
async fn a_worker_whose_process_is_gone_is_refused_by_relays_too() {
    let gone = worker_at("w-1", free_address());
    let workers = std::slice::from_ref(&gone);
    let own = Gateway::start("g-1", "a", workers).await;
    let same_zone = Gateway::start("g-2", "a", workers).await;
    let other_zone = Gateway::start("g-3", "b", workers).await;
    introduce(&[&own, &same_zone, &other_zone]);
    assert_eq!(
        own.connect(&gone).await.err(),
        Some(ConnectFailure::WorkerRefused)
    );
    let checked = own
        .relays
        .check_through_relays(&gone.id, gone.address)
        .await;
    assert_eq!(checked, RelayedCheck::Refused);
    assert!(!own.relays.is_partitioned());
}

#[actix_rt::test]
async fn a_whole_zone_that_is_cut_off_uses_relays_of_another_zone() {
    let workers = [echoing_worker("w-1").await, echoing_worker("w-2").await];
    for state in [HANGING, REFUSING, RESETTING] {
        let own = Gateway::start("g-1", "a", &workers).await;
        let same_zone = Gateway::start("g-2", "a", &workers).await;
        let other_zone = Gateway::start("g-3", "b", &workers).await;
        introduce(&[&own, &same_zone, &other_zone]);
        for gateway in [&own, &same_zone] {
            gateway.network.set(state);
            // Only a connection that fails in use shows that connections are reset.
            if state == RESETTING {
                for worker in &workers {
                    gateway
                        .relays
                        .record_direct(&worker.id, DirectOutcome::Reset);
                }
            }
        }
        for worker in &workers {
            let (_, relay) = own.connect_relayed(worker).await;
            assert_eq!(relay, "g-3");
        }
        assert!(own.relays.is_partitioned());
        let opened = open(&own, &workers[0]).await;
        assert_eq!(opened.err(), Some(RelayOutcome::RelayPartitioned));
    }
}

#[actix_rt::test]
async fn a_usable_relay_is_found_among_many_partitioned_ones() {
    let workers = [echoing_worker("w-1").await, echoing_worker("w-2").await];
    let usable = Gateway::start("usable", "b", &workers).await;
    let mut partitioned = Vec::new();
    for number in 0..6 {
        let gateway = Gateway::start(&format!("g-{number}"), "a", &workers).await;
        gateway.network.set(REFUSING);
        partitioned.push(gateway);
    }
    for gateway in &partitioned {
        introduce(&[gateway, &usable]);
        for worker in &workers {
            gateway.connect_relayed(worker).await;
        }
        assert!(gateway.relays.is_partitioned());
    }
    let own = Gateway::start("own", "c", &workers).await;
    own.network.set(REFUSING);
    let others = partitioned.iter().chain([&usable, &own]);
    introduce(&others.collect::<Vec<_>>());
    let (_, relay) = own.connect_relayed(&workers[0]).await;
    assert_eq!(relay, "usable");
}

/// Guards against a gateway that has counted its workers before it knew them, and takes the end of one for a missing path.
#[actix_rt::test]
async fn one_of_several_workers_that_is_gone_is_not_a_missing_path() {
    let gone = worker_at("w-1", free_address());
    let workers = [gone.clone(), echoing_worker("w-2").await];
    let own = Gateway::start("g-1", "a", &[]).await;
    let other = Gateway::start("g-2", "a", &[]).await;
    introduce(&[&own, &other]);
    for gateway in [&own, &other] {
        gateway.relays.prune();
        gateway.directory.lock().announce(workers.to_vec());
    }
    let failure = own.connect(&gone).await.err();
    assert_eq!(failure, Some(ConnectFailure::WorkerRefused));
    assert!(!own.relays.may_be_partitioned());
}

/// Guards against a relay that takes the end of most workers for a partition of its own, so that it is not asked.
#[actix_rt::test]
async fn a_relay_at_which_most_workers_have_ended_stays_usable() {
    let mut workers = vec![echoing_worker("w-1").await];
    let ended: Vec<Worker> = (0..7)
        .map(|number| worker_at(&format!("e-{number}"), free_address()))
        .collect();
    workers.extend(ended.clone());
    let own = Gateway::start("g-1", "a", &workers).await;
    let relay = Gateway::start("g-2", "a", &workers).await;
    introduce(&[&own, &relay]);
    own.network.set(REFUSING);
    for worker in &ended {
        let opened = open(&relay, worker).await.err();
        assert_ne!(opened, Some(RelayOutcome::RelayPartitioned));
    }
    let (_, used) = own.connect_relayed(&workers[0]).await;
    assert_eq!(used, "g-2");
}

#[actix_rt::test]
async fn gateways_that_all_reach_no_worker_do_not_ask_in_circles() {
    let workers = [echoing_worker("w-1").await, echoing_worker("w-2").await];
    let first = Gateway::start("g-1", "a", &workers).await;
    let second = Gateway::start("g-2", "a", &workers).await;
    introduce(&[&first, &second]);
    first.network.set(REFUSING);
    second.network.set(REFUSING);
    for worker in &workers {
        for gateway in [&first, &second] {
            assert!(gateway.connect(worker).await.is_err());
        }
    }
    for gateway in [&first, &second] {
        let probing = actix_rt::spawn(probes::run(Arc::clone(&gateway.relays)));
        eventually("a sample", || gateway.relays.reaches_no_worker()).await;
        probing.abort();
    }
    let attempts =
        || [&first, &second].map(|gateway| gateway.network.attempts.load(Ordering::SeqCst));
    let before = attempts();
    assert_eq!(
        first.connect(&workers[0]).await.err(),
        Some(ConnectFailure::NoPath)
    );
    let after = attempts();
    assert!(after[0] <= before[0] + 1 && after[1] <= before[1] + 1);
    let checked = first
        .relays
        .check_through_relays(&workers[0].id, workers[0].address)
        .await;
    assert_eq!(checked, RelayedCheck::Unknown);
}

/// Returns a listener whose queue of connections is full, so that it drops further ones.
async fn full_listener() -> (Socket, Vec<TcpStream>) {
    let listener = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    let any: SocketAddr = "127.0.0.1:0".parse().expect("an address");
    listener.bind(&any.into()).expect("a free port");
    listener.listen(0).expect("a listener");
    let address = listener
        .local_addr()
        .expect("an address")
        .as_socket()
        .expect("an address");
    let mut queued = Vec::new();
    while let Ok(connected) = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await {
        queued.push(connected.expect("a connection"));
    }
    (listener, queued)
}

#[actix_rt::test]
async fn a_worker_that_drops_connections_fails_in_time_with_relays_too() {
    let (listener, _queued) = full_listener().await;
    let address = listener.local_addr().expect("an address").as_socket();
    let worker = worker_at("w-1", address.expect("an address"));
    let workers = std::slice::from_ref(&worker);
    let own = Gateway::start("g-1", "a", workers).await;
    let other = Gateway::start("g-2", "b", workers).await;
    introduce(&[&own, &other]);
    let failure = own.connect(&worker).await.err();
    assert_eq!(failure, Some(ConnectFailure::WorkerUnreachable));
}

#[actix_rt::test]
async fn without_relays_a_refusal_is_believed_at_once() {
    let worker = echoing_worker("w-1").await;
    let workers = std::slice::from_ref(&worker);
    let own = Gateway::start("g-1", "a", workers).await;
    own.relays.prune();
    let other = Gateway::start("g-2", "a", workers).await;
    introduce(&[&own, &other]);
    own.network.set(REFUSING);
    own.connect_relayed(&worker).await;
    assert!(own.relays.is_partitioned());
    let attempts = other.network.attempts.load(Ordering::SeqCst);
    own.relays.set_enabled(false);
    assert!(!own.relays.is_partitioned());
    assert_eq!(
        own.connect(&worker).await.err(),
        Some(ConnectFailure::WorkerRefused)
    );
    assert_eq!(other.network.attempts.load(Ordering::SeqCst), attempts);
}
