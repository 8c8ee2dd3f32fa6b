//! Opens a connection to a worker directly or through relays, whichever succeeds first. As in RFC 8305, each attempt has
//! a head start before the next one begins.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures_util::future::{BoxFuture, FutureExt};
use futures_util::stream::{FuturesUnordered, StreamExt};
use tansyhall_forwarding::{ConnectFailure, DirectOutcome, RelayOutcome, WorkerId, WorkerPath};
use tokio::net::TcpStream;
use tokio::time::{sleep_until, Instant};

use super::client::{self, RelayedStream};
use super::{ConnectError, Peers, RelayedCheck, WorkerRelays, WorkerStream, PROBE_CHECK_TIME};
use crate::worker_connect::{self, check_alive, CONNECT_TIMEOUT};

/// Head start of the preferred path.
const PREFERRED_HEAD_START: Duration = Duration::from_millis(100);
/// Head start of a relay before the next one is asked.
const RELAY_HEAD_START: Duration = Duration::from_millis(200);
/// Maximum number of relays that are asked for one connection, without those that refuse to connect to the worker.
const MAX_RELAYED_ATTEMPTS: usize = 3;
/// Maximum number of all relays that are asked for one connection.
const MAX_ASKED_RELAYS: usize = 8;
/// Maximum time for another relay to contradict one that is refused by the worker.
const CONFIRMATION_TIMEOUT: Duration = Duration::from_millis(150);
/// Time after which a relay that has not connected to the worker has probably no better path to it than one that failed.
const RELAY_CONNECT_TIME: Duration = Duration::from_millis(50);
/// Maximum time to establish a connection by any path.
const RACE_TIMEOUT: Duration = CONNECT_TIMEOUT.saturating_mul(2);

type DirectAttempt<'a> = BoxFuture<'a, std::io::Result<TcpStream>>;
type RelayedAttempt<'a> = BoxFuture<'a, (usize, Result<RelayedStream, RelayOutcome>)>;

impl WorkerRelays {
    /// Opens a connection to a worker.
    pub async fn connect(
        &self,
        worker: &WorkerId,
        address: SocketAddr,
    ) -> Result<WorkerStream, ConnectError> {
        let path = self.path_to(worker);
        Race::new(self, worker, address, path).run().await
    }

    /// Opens a connection to a worker without a relay, and checks whether it is reset at once.
    pub async fn connect_directly(
        &self,
        worker: &WorkerId,
        address: SocketAddr,
    ) -> Result<TcpStream, ConnectError> {
        let connected = self.connect_checked(address).await;
        let outcome = worker_connect::outcome_of(&connected);
        self.record_direct(worker, outcome);
        connected.map_err(|error| ConnectError::of_direct(outcome, &error))
    }

    async fn connect_checked(&self, address: SocketAddr) -> std::io::Result<TcpStream> {
        let stream = self.connector.connect(address).await?;
        check_alive(&stream, PROBE_CHECK_TIME).await?;
        Ok(stream)
    }

    /// Asks relays whether the address of a worker refuses connections.
    pub async fn check_through_relays(
        &self,
        worker: &WorkerId,
        address: SocketAddr,
    ) -> RelayedCheck {
        let mut race = Race::new(self, worker, address, WorkerPath::RelayOnly);
        match race.run().await {
            Ok(_) => RelayedCheck::Connected,
            Err(_) if race.outcomes.contains(&RelayOutcome::WorkerRefused) => RelayedCheck::Refused,
            Err(_) => RelayedCheck::Unknown,
        }
    }
}

struct Race<'a> {
    relays: &'a WorkerRelays,
    worker: &'a WorkerId,
    address: SocketAddr,
    peers: Arc<Peers>,
    /// The direct attempt in progress.
    direct: Option<(Instant, DirectAttempt<'a>)>,
    direct_due: Option<Instant>,
    direct_outcome: Option<DirectOutcome>,
    relayed: FuturesUnordered<RelayedAttempt<'a>>,
    relay_due: Option<Instant>,
    tried: Vec<usize>,
    last_relay_at: Instant,
    outcomes: Vec<RelayOutcome>,
    deadline: Instant,
    detail: String,
}

impl<'a> Race<'a> {
    fn new(
        relays: &'a WorkerRelays,
        worker: &'a WorkerId,
        address: SocketAddr,
        path: WorkerPath,
    ) -> Self {
        let now = Instant::now();
        let later = now + PREFERRED_HEAD_START;
        let (direct_due, relay_due) = match path {
            WorkerPath::DirectFirst => (Some(now), later),
            WorkerPath::RelayFirst => (Some(later), now),
            WorkerPath::RelayOnly => (None, now),
        };
        Self {
            relays,
            worker,
            address,
            peers: relays.peers(),
            direct: None,
            direct_due,
            direct_outcome: None,
            relayed: FuturesUnordered::new(),
            relay_due: Some(relay_due),
            tried: Vec::new(),
            last_relay_at: now,
            outcomes: Vec::new(),
            deadline: now + RACE_TIMEOUT,
            detail: String::from("connection was not established in time"),
        }
    }

    async fn run(&mut self) -> Result<WorkerStream, ConnectError> {
        loop {
            self.start_due_attempts();
            let is_idle = self.direct.is_none() && self.relayed.is_empty();
            let is_over = is_idle && self.next_start().is_none();
            if is_over || self.is_unreachable() {
                return Err(self.error());
            }
            let wake_at = self
                .next_start()
                .map_or(self.deadline, |at| at.min(self.deadline));
            tokio::select! {
                biased;
                connected = pending_direct(&mut self.direct) => {
                    if let Some(stream) = self.finish_direct(connected) {
                        return Ok(WorkerStream::Direct(stream));
                    }
                }
                Some((peer, opened)) = self.relayed.next() => {
                    match self.finish_relayed(peer, opened) {
                        RelayedResult::Opened(stream) => return Ok(stream),
                        RelayedResult::WorkerRefused => return Err(self.error()),
                        RelayedResult::Failed => {}
                    }
                }
                () = sleep_until(wake_at) => {
                    if Instant::now() >= self.deadline {
                        return Err(self.error());
                    }
                }
            }
        }
    }

    /// Returns when the next attempt begins, if any remains.
    fn next_start(&self) -> Option<Instant> {
        let starts = [self.direct_due, self.next_relay()];
        starts.into_iter().flatten().min()
    }

    fn next_relay(&self) -> Option<Instant> {
        self.relay_due.filter(|_| self.may_ask_relay())
    }

    fn start_due_attempts(&mut self) {
        let now = Instant::now();
        if self.next_relay().is_some_and(|due| due <= now) {
            let selected = self.select_relay();
            self.relay_due = selected.map(|_| now + RELAY_HEAD_START);
            if let Some(peer) = selected {
                self.start_relayed(peer);
            }
        }
        let has_no_relay = self.next_relay().is_none() && self.relayed.is_empty();
        if self
            .direct_due
            .is_some_and(|due| due <= now || has_no_relay)
        {
            self.direct_due = None;
            let connecting = self.relays.open_direct(self.worker, self.address);
            self.direct = Some((now, connecting.boxed()));
        }
    }

    /// Returns whether neither this gateway nor a relay reached the worker, and the relays that are still trying would have
    /// reached it by now.
    fn is_unreachable(&self) -> bool {
        let has_failed_directly = self.direct_outcome == Some(DirectOutcome::Failed);
        let has_failed_relayed = self.outcomes.contains(&RelayOutcome::WorkerUnreachable);
        let had_time = self.last_relay_at.elapsed() >= RELAY_CONNECT_TIME;
        has_failed_directly && has_failed_relayed && self.tried.len() > 1 && had_time
    }

    fn may_ask_relay(&self) -> bool {
        let refusals = self.outcomes.iter().filter(|outcome| outcome.is_by_relay());
        let attempts = self.tried.len() - refusals.count();
        attempts < MAX_RELAYED_ATTEMPTS && self.tried.len() < MAX_ASKED_RELAYS
    }

    fn select_relay(&self) -> Option<usize> {
        let now = self.relays.clock.now();
        let paths = self.relays.paths.lock();
        paths.select_relay(now, &self.peers.peers, &self.tried, rand::random())
    }

    fn start_relayed(&mut self, peer: usize) {
        self.tried.push(peer);
        self.last_relay_at = Instant::now();
        let (worker, address) = (self.worker, self.address);
        let relay = self.peers.addresses[peer];
        let opening = async move { (peer, client::open(relay, worker, address).await) };
        self.relayed.push(opening.boxed());
    }

    /// Records a failure of the direct attempt. Its success is recorded with the first answer on the connection.
    fn finish_direct(&mut self, connected: std::io::Result<TcpStream>) -> Option<TcpStream> {
        self.direct = None;
        let outcome = worker_connect::outcome_of(&connected);
        match connected {
            Ok(stream) => Some(stream),
            Err(error) => {
                self.direct_outcome = Some(outcome);
                self.relays.record_direct(self.worker, outcome);
                self.detail = error.to_string();
                self.hasten_relay();
                None
            }
        }
    }

    /// Asks the next relay at once.
    fn hasten_relay(&mut self) {
        self.relay_due = self.relay_due.map(|_| Instant::now());
    }

    fn finish_relayed(
        &mut self,
        index: usize,
        opened: Result<RelayedStream, RelayOutcome>,
    ) -> RelayedResult {
        let peers = Arc::clone(&self.peers);
        let peer = &peers.peers[index];
        match opened {
            Ok(stream) => {
                self.record_slow_direct();
                let outcome = RelayOutcome::Connected;
                self.relays.record_relayed(peer, self.worker, outcome);
                let name = Arc::from(peer.name.as_str());
                RelayedResult::Opened(WorkerStream::Relayed(stream, name))
            }
            Err(outcome) => {
                self.relays.record_relayed(peer, self.worker, outcome);
                self.outcomes.push(outcome);
                self.hasten_relay();
                if outcome != RelayOutcome::WorkerRefused {
                    return RelayedResult::Failed;
                }
                if !self.should_confirm_refusal(index) {
                    return RelayedResult::WorkerRefused;
                }
                let confirmed_by = Instant::now() + CONFIRMATION_TIMEOUT;
                self.deadline = self.deadline.min(confirmed_by);
                RelayedResult::Failed
            }
        }
    }

    /// Records that the direct attempt in progress has not succeeded although it had a head start.
    fn record_slow_direct(&mut self) {
        if let Some((started, _)) = self.direct.take() {
            if started.elapsed() >= PREFERRED_HEAD_START {
                let outcome = DirectOutcome::Failed;
                self.relays.record_direct(self.worker, outcome);
            }
        }
    }

    /// Returns whether a relay of another zone is asked before a worker counts as gone.
    fn should_confirm_refusal(&self, refusing: usize) -> bool {
        let needs_confirmation = |peer: usize| {
            let paths = self.relays.paths.lock();
            paths.needs_confirmation(&self.peers.peers[peer])
        };
        let next = self.next_relay().and_then(|_| self.select_relay());
        needs_confirmation(refusing) && next.is_some_and(|next| !needs_confirmation(next))
    }

    fn error(&self) -> ConnectError {
        let now = self.relays.clock.now();
        let paths = self.relays.paths.lock();
        let failure = paths.classify_failure(now, self.direct_outcome, &self.outcomes);
        let detail = match failure {
            ConnectFailure::NoPath => "no path to workers: neither direct nor through a relay",
            ConnectFailure::WorkerRefused | ConnectFailure::WorkerUnreachable => &self.detail,
        };
        ConnectError {
            failure,
            detail: detail.to_owned(),
        }
    }
}

enum RelayedResult {
    Opened(WorkerStream),
    WorkerRefused,
    Failed,
}

async fn pending_direct(
    direct: &mut Option<(Instant, DirectAttempt<'_>)>,
) -> std::io::Result<TcpStream> {
    match direct {
        Some((_, attempt)) => attempt.await,
        None => std::future::pending().await,
    }
}
