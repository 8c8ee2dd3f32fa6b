//! Connections to workers. They are kept open between requests and carry one request at a time. Their number never
//! exceeds this gateway's share of the connections that a worker accepts, except by one that asks for the worker's start.
//!
//! Errors say whether the request may have reached the worker. A connection that received anything other than one
//! complete answer is not reused. Every answer that this module returns was matched to its request as described in
//! [`crate::correlation`].

use std::collections::{HashMap, HashSet};
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::ext::ReasonPhrase;
use parking_lot::Mutex;
use tansyhall_core::time::MonotonicClock;
use tansyhall_core::Timestamp;
use tansyhall_forwarding::{
    ConnectFailure, DirectOutcome, IdleRule, RateToken, Reachability, Unavailable, WorkerId,
};

use crate::answer_body::{AnswerBody, BorrowedConnection};
use crate::connection_losses::{ConnectionLosses, Loss};
use crate::connection_pool::{Connection, OpenGuard, Pool, Relay, Reuse};
use crate::correlation::{ComparedHead, Correlation, Mismatch};
use crate::headers::HeaderList;
use crate::second_answer::SecondAnswerSearch;
use crate::worker_connect::{self, TcpConnector, WorkerConnector};
use crate::worker_http::{self, InterimAnswers};
use crate::worker_notices::WorkerNotices;
use crate::worker_relay::{ConnectError, WorkerRelays, WorkerStream};
use crate::worker_request::{RequestKind, WorkerRequest};

/// How long an idle connection is kept if the worker names no time-out.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_millis(400);
/// How much earlier than the worker this gateway stops using an idle connection.
const IDLE_TIMEOUT_MARGIN: Duration = Duration::from_millis(700);

/// The destination of a request.
#[derive(Debug, Clone)]
pub struct Destination {
    /// The worker.
    pub worker: WorkerId,
    /// Its address.
    pub address: SocketAddr,
    /// Maximum number of connections that this gateway may have open to the worker.
    pub max_connections: u32,
}

/// Why a request has no answer.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum SendError {
    /// No byte of it was sent.
    #[error("not sent: {0}")]
    NotSent(NotSentReason),
    /// It may have reached the worker.
    #[error("no answer: {0}")]
    NoAnswer(String),
}

/// Why a request was not sent to a worker.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum NotSentReason {
    /// The worker's address refuses connections from this gateway.
    #[error("connection to the worker's address was refused")]
    ConnectionRefused,
    /// This gateway is partitioned from its workers, and no relay is usable.
    #[error("no path to workers: neither direct nor through a relay")]
    NoPath,
    /// This gateway has the maximum number of connections open to the worker.
    #[error("maximum number of connections to the worker is open")]
    TooManyConnections,
    /// The worker or its entry in the store states that it accepts no further requests for now.
    #[error("{0}")]
    WorkerUnavailable(Unavailable),
    /// The request could not be built, or the connection could not be established in time, or it was closed
    /// before the request was sent.
    #[error("{0}")]
    Failed(String),
}

/// The answer to a request. Its body is still to be read.
#[derive(Debug)]
pub struct WorkerAnswer {
    /// The HTTP status.
    pub status: u16,
    /// All headers.
    pub headers: HeaderList,
    /// The body.
    pub body: AnswerBody,
}

/// How far the send of a request has come.
#[derive(Debug, Default)]
pub struct SendProgress {
    relay: Mutex<Option<Arc<str>>>,
    sent_at: Mutex<Option<Timestamp>>,
}

impl SendProgress {
    /// Returns the name of the gateway that relays the connection; `None` for a direct connection.
    pub fn relay(&self) -> Option<Arc<str>> {
        self.relay.lock().clone()
    }

    /// Returns whether the request has been passed to an open connection.
    pub fn is_sent(&self) -> bool {
        self.sent_at().is_some()
    }

    /// Returns when the request was last passed to an open connection.
    pub fn sent_at(&self) -> Option<Timestamp> {
        *self.sent_at.lock()
    }

    fn record_sent(&self, now: Timestamp, connection: &Connection) {
        *self.relay.lock() = connection.relay.as_ref().map(|relay| relay.name.clone());
        *self.sent_at.lock() = Some(now);
    }
}

/// Connections to all workers.
#[derive(Debug)]
pub struct Connections {
    clock: MonotonicClock,
    correlation: Correlation,
    /// The local address of connections to workers; the system chooses it if there is none.
    pub source_address: Option<IpAddr>,
    /// Notices that workers attach to their answers.
    pub notices: WorkerNotices,
    /// `None` if all connections are direct.
    relays: Option<Arc<WorkerRelays>>,
    pools: Mutex<HashMap<WorkerId, Pool>>,
    /// Connections that were lost during a request, and addresses that refuse connections.
    pub losses: ConnectionLosses,
}

impl Connections {
    /// Creates a set without connections. Connections are opened from the local address `source_address`.
    pub fn new(
        clock: MonotonicClock,
        correlation: Correlation,
        notices: WorkerNotices,
        source_address: Option<IpAddr>,
    ) -> Self {
        Self {
            clock,
            correlation,
            source_address,
            notices,
            relays: None,
            pools: Mutex::default(),
            losses: ConnectionLosses::default(),
        }
    }

    /// Opens connections through relays to workers that are not reached directly.
    pub fn with_relays(mut self, relays: Arc<WorkerRelays>) -> Self {
        self.clock = relays.clock();
        self.relays = Some(relays);
        self
    }

    /// Sends a request and waits for the head of its answer. Everything that is sent to workers passes through this
    /// function, so that their notices and entries apply to all of it, no matter who selected the worker and when.
    pub async fn send(
        self: &Arc<Self>,
        destination: &Destination,
        request: &WorkerRequest,
    ) -> Result<WorkerAnswer, SendError> {
        self.send_with_progress(destination, request, &SendProgress::default())
            .await
    }

    /// Sends a request like [`Connections::send`], and records in `progress` when it is passed to a connection.
    pub async fn send_with_progress(
        self: &Arc<Self>,
        destination: &Destination,
        request: &WorkerRequest,
        progress: &SendProgress,
    ) -> Result<WorkerAnswer, SendError> {
        self.notices
            .check_permitted(&destination.worker, request.kind)?;
        let http_request = build(destination, request)?;
        let token = self.notices.take_rate_token(&destination.worker, request)?;
        let sent = self
            .send_http_request(destination, request, http_request, progress)
            .await;
        if let (RateToken::Taken, Err(SendError::NotSent(_))) = (token, &sent) {
            self.notices.return_rate_token(&destination.worker);
        }
        sent
    }

    /// Sends the request on an idle connection, or on a new one.
    async fn send_http_request(
        self: &Arc<Self>,
        destination: &Destination,
        request: &WorkerRequest,
        mut http_request: hyper::Request<Full<Bytes>>,
        progress: &SendProgress,
    ) -> Result<WorkerAnswer, SendError> {
        let id = self.correlation.id_of(request);
        while let Some(connection) =
            id.and_then(|id| self.take_idle(&destination.worker, id, request.kind))
        {
            progress.record_sent(self.clock.now(), &connection);
            match self
                .send_on(destination, connection, request, http_request)
                .await
            {
                Ok(answer) => return Ok(answer),
                Err(AttemptError::Failed(error)) => return Err(error),
                Err(AttemptError::Unsent(unsent)) => http_request = *unsent,
            }
        }
        let connection = self.connect(destination, request.kind).await?;
        // A notice of the worker, or a change of its entry, may have arrived while the connection was being established.
        self.notices
            .check_permitted(&destination.worker, request.kind)?;
        progress.record_sent(self.clock.now(), &connection);
        match self
            .send_on(destination, connection, request, http_request)
            .await
        {
            Ok(answer) => Ok(answer),
            Err(AttemptError::Failed(error)) => Err(error),
            Err(AttemptError::Unsent(_)) => Err(not_sent(
                "connection was closed before the request was sent",
            )),
        }
    }

    /// Closes idle connections that are too old for reuse, and forgets workers that are gone and have no open connection.
    /// Answers on open connections may still have to be attributed to an incarnation after another one is announced.
    pub fn prune(&self, is_known: impl Fn(&WorkerId) -> bool) {
        let now = self.clock.now();
        let mut pools = self.pools.lock();
        pools.retain(|worker, pool| {
            pool.prune(now, self.idle_rule(worker));
            if pool.take_lost() {
                self.losses.doubts.lock().record_loss(worker);
            }
            is_known(worker) || pool.has_open()
        });
        let has_pool: HashSet<WorkerId> = pools.keys().cloned().collect();
        drop(pools);
        self.losses
            .prune(|worker| is_known(worker) || has_pool.contains(worker));
    }

    /// Closes idle connections to all workers that have received nothing for the time `silence`. Connections usually go
    /// silent together: if one has, each of the others that is reused would cost one more request.
    pub fn close_silent_connections(&self, silence: Duration) {
        let now = self.clock.now();
        for pool in self.pools.lock().values_mut() {
            pool.close_silent_connections(silence, now);
        }
    }

    /// Asks for a probe of the direct path to a worker that was silent.
    pub fn want_path_probe(&self, worker: &WorkerId) {
        if let Some(relays) = &self.relays {
            relays.want_probe(worker);
        }
    }

    /// Returns whether any connection to a worker is open, in use or idle.
    pub fn has_open(&self, worker: &WorkerId) -> bool {
        let pools = self.pools.lock();
        pools.get(worker).is_some_and(Pool::has_open)
    }

    fn take_idle(&self, worker: &WorkerId, id: &str, kind: RequestKind) -> Option<Connection> {
        let now = self.clock.now();
        let reuse = Reuse {
            rule: self.idle_rule(worker),
            allows_relayed: kind.allows_relay(),
        };
        let mut pools = self.pools.lock();
        let pool = pools.get_mut(worker)?;
        let connection = pool.take(now, id, reuse);
        if pool.take_lost() {
            self.losses.doubts.lock().record_loss(worker);
        }
        connection
    }

    fn idle_rule(&self, worker: &WorkerId) -> IdleRule {
        match &self.relays {
            Some(relays) => relays.idle_rule(worker),
            None => IdleRule::ALL_DIRECT,
        }
    }

    /// Keeps a connection for the next request after it has carried a complete answer.
    pub fn return_connection(&self, worker: WorkerId, connection: Connection) {
        let now = self.clock.now();
        let mut pools = self.pools.lock();
        pools.entry(worker).or_default().put(now, connection);
    }

    async fn connect(
        &self,
        destination: &Destination,
        kind: RequestKind,
    ) -> Result<Connection, SendError> {
        let open = self.try_open(destination)?;
        let stream = self.open_stream(destination, kind).await;
        let stream = stream.map_err(|error| self.connect_error(destination, kind, error))?;
        let (http, relay) = match stream {
            WorkerStream::Direct(stream) => (worker_http::start(stream).await, None),
            WorkerStream::Relayed(stream, name) => {
                let status = stream.status;
                let http = worker_http::start(stream.io).await;
                (http, Some(Relay { name, status }))
            }
        };
        let http = http.map_err(not_sent)?;
        Ok(Connection::new(http, relay, open, self.clock.now()))
    }

    /// Returns whether a worker accepts connections, directly or through relays. The connection is closed at once and does
    /// not count as open.
    pub async fn probe(&self, destination: &Destination) -> Reachability {
        let kind = RequestKind::Run;
        let Err(error) = self.open_stream(destination, kind).await else {
            return Reachability::Connected;
        };
        match self.connect_error(destination, kind, error) {
            SendError::NotSent(NotSentReason::ConnectionRefused) => Reachability::Refused,
            _ => Reachability::Unknown,
        }
    }

    async fn open_stream(
        &self,
        destination: &Destination,
        kind: RequestKind,
    ) -> Result<WorkerStream, ConnectError> {
        let (worker, address) = (&destination.worker, destination.address);
        match &self.relays {
            Some(relays) if kind.allows_relay() => relays.connect(worker, address).await,
            Some(relays) => {
                let connected = relays.connect_directly(worker, address).await;
                connected.map(WorkerStream::Direct)
            }
            None => {
                let connector = TcpConnector::from_address(self.source_address);
                let connected = connector.connect(address).await;
                let outcome = worker_connect::outcome_of(&connected);
                connected
                    .map(WorkerStream::Direct)
                    .map_err(|error| ConnectError::of_direct(outcome, &error))
            }
        }
    }

    /// Returns the error of a request without a connection. A refusal that no relay could confirm, because the request must
    /// not use one, is not reported as a loss.
    fn connect_error(
        &self,
        destination: &Destination,
        kind: RequestKind,
        error: ConnectError,
    ) -> SendError {
        match error.failure {
            ConnectFailure::WorkerRefused => {
                if kind.allows_relay() || self.relays.is_none() {
                    self.losses.report(Loss::ConnectionRefused, destination);
                }
                SendError::NotSent(NotSentReason::ConnectionRefused)
            }
            ConnectFailure::WorkerUnreachable => not_sent(error.detail),
            ConnectFailure::NoPath => SendError::NotSent(NotSentReason::NoPath),
        }
    }

    fn try_open(&self, destination: &Destination) -> Result<OpenGuard, SendError> {
        let mut pools = self.pools.lock();
        let pool = pools.entry(destination.worker.clone()).or_default();
        let counted = pool.try_open(destination.max_connections);
        counted.ok_or(SendError::NotSent(NotSentReason::TooManyConnections))
    }

    async fn send_on(
        self: &Arc<Self>,
        destination: &Destination,
        mut connection: Connection,
        request: &WorkerRequest,
        mut http_request: hyper::Request<Full<Bytes>>,
    ) -> Result<WorkerAnswer, AttemptError> {
        let sent_at = self.clock.now();
        let interim_answers = InterimAnswers::count_for(&mut http_request);
        let sending = connection.sender.try_send_request(http_request);
        let sent = tokio::select! {
            sent = sending => sent,
            () = interim_answers.exceed_limit() => {
                let reason = "too many interim answers".into();
                return Err(AttemptError::Failed(SendError::NoAnswer(reason)));
            }
        };
        let response = match sent {
            Ok(response) => response,
            Err(mut error) => {
                return Err(match error.take_message() {
                    Some(unsent) => {
                        self.record_reset(destination, &connection);
                        self.losses.doubts.lock().record_loss(&destination.worker);
                        AttemptError::Unsent(Box::new(unsent))
                    }
                    None => {
                        self.record_reset(destination, &connection);
                        if connection.fails_at_worker() {
                            self.losses.report(Loss::Broken, destination);
                        }
                        AttemptError::Failed(SendError::NoAnswer(error.into_error().to_string()))
                    }
                })
            }
        };
        self.record_answered(destination, &connection);
        connection.last_received_at = self.clock.now();
        let answered = self.matched_answer(destination, connection, request, sent_at, response);
        answered.map_err(AttemptError::Failed)
    }

    /// Records that a direct connection has ended before its first answer.
    fn record_reset(&self, destination: &Destination, connection: &Connection) {
        if let (Some(relays), true) = (&self.relays, connection.is_new_and_direct()) {
            relays.record_direct(&destination.worker, DirectOutcome::Reset);
        }
    }

    /// Records that the first answer has arrived on a direct connection.
    fn record_answered(&self, destination: &Destination, connection: &Connection) {
        if let (Some(relays), true) = (&self.relays, connection.is_new_and_direct()) {
            relays.record_answered(&destination.worker, connection.last_received_at);
        }
    }

    /// Returns the answer that was received on a connection if it matches the request that was sent at `sent_at`.
    fn matched_answer(
        self: &Arc<Self>,
        destination: &Destination,
        mut connection: Connection,
        request: &WorkerRequest,
        sent_at: Timestamp,
        response: hyper::Response<Incoming>,
    ) -> Result<WorkerAnswer, SendError> {
        let (head, incoming) = response.into_parts();
        let headers = to_header_list(&head.headers);
        let reason = head.extensions.get::<ReasonPhrase>();
        let compared = ComparedHead {
            status: head.status.as_u16(),
            reason: reason.map_or(&[], |reason| reason.as_bytes()),
            headers: &headers,
            answers_before: connection.carried_ids.count(),
        };
        let worker = &destination.worker;
        let checked = self.correlation.check(worker, request, compared);
        checked.map_err(|mismatch| self.mismatch_error(worker, mismatch))?;
        let status = head.status.as_u16();
        self.notices
            .record_answer(worker, request.kind, sent_at, status, &headers);
        let id = self.correlation.id_of(request);
        let usable_until = id.and_then(|id| {
            connection.carried_ids.record(id);
            self.reusable_until(&headers)
        });
        connection.usable_until = usable_until.unwrap_or_default();
        let borrowed = BorrowedConnection {
            connections: Arc::clone(self),
            destination: destination.clone(),
            connection,
            is_reusable: usable_until.is_some(),
        };
        let search = id.map(|id| SecondAnswerSearch::new(id, &headers));
        let body = AnswerBody::new(incoming, &headers, borrowed, search)?;
        Ok(WorkerAnswer {
            status,
            headers,
            body,
        })
    }

    /// Returns the error for a request that got a mismatched answer. If the answer was late, connections to the worker
    /// are not reused for a while.
    fn mismatch_error(&self, worker: &WorkerId, mismatch: Mismatch) -> SendError {
        if mismatch == Mismatch::Late {
            let mut pools = self.pools.lock();
            let pool = pools.entry(worker.clone()).or_default();
            pool.pause_reuse(self.clock.now());
        }
        SendError::NoAnswer(mismatch.to_string())
    }

    /// Returns the time until which a connection may be reused after an answer with these headers, or `None` if the worker
    /// closes it.
    fn reusable_until(&self, headers: &HeaderList) -> Option<Timestamp> {
        let closes = headers
            .get("connection")
            .is_some_and(|value| value.to_ascii_lowercase().contains("close"));
        if closes {
            return None;
        }
        let idle = match headers.get("keep-alive").and_then(keep_alive_timeout) {
            Some(worker_timeout) => worker_timeout.saturating_sub(IDLE_TIMEOUT_MARGIN),
            None => DEFAULT_IDLE_TIMEOUT,
        };
        Some(self.clock.now() + idle)
    }
}

fn not_sent(reason: impl std::fmt::Display) -> SendError {
    SendError::NotSent(NotSentReason::Failed(reason.to_string()))
}

enum AttemptError {
    Unsent(Box<hyper::Request<Full<Bytes>>>),
    Failed(SendError),
}

fn keep_alive_timeout(value: &str) -> Option<Duration> {
    let seconds = value
        .split(',')
        .filter_map(|parameter| parameter.trim().strip_prefix("timeout="))
        .find_map(|text| text.trim().parse::<u64>().ok());
    seconds.map(Duration::from_secs)
}

fn build(
    destination: &Destination,
    request: &WorkerRequest,
) -> Result<hyper::Request<Full<Bytes>>, SendError> {
    let mut builder = hyper::Request::builder()
        .method(request.method.as_str())
        .uri(request.target.as_str());
    for header in request.headers.iter() {
        builder = builder.header(header.name.as_str(), header.value.as_slice());
    }
    if request.headers.get("host").is_none() {
        builder = builder.header("host", destination.address.to_string());
    }
    builder
        .body(Full::new(request.body.clone()))
        .map_err(not_sent)
}

fn to_header_list(headers: &hyper::HeaderMap) -> HeaderList {
    let mut list = HeaderList::default();
    for (name, value) in headers {
        list.push(name.as_str(), value.as_bytes());
    }
    list
}
