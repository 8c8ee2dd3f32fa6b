//! Connections to workers. They are kept open between requests and carry one request at a time. Their number never
//! exceeds this gateway's share of the connections that a worker accepts.
//!
//! Errors say whether the request may have reached the worker. A connection that received anything other than one
//! complete answer is not reused. Every answer that this module returns was matched to its request as described in
//! [`crate::correlation`].

use std::collections::HashMap;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::ext::ReasonPhrase;
use hyper_util::rt::TokioIo;
use parking_lot::Mutex;
use tansyhall_core::time::MonotonicClock;
use tansyhall_core::Timestamp;
use tansyhall_forwarding::{RateToken, Unavailable, WorkerId};
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::answer_body::{AnswerBody, BorrowedConnection};
use crate::connection_losses::{ConnectionLosses, Loss};
use crate::connection_pool::{Connection, OpenGuard, Pool};
use crate::correlation::{ComparedHead, Correlation, Mismatch};
use crate::headers::HeaderList;
use crate::second_answer::SecondAnswerSearch;
use crate::worker_notices::WorkerNotices;
use crate::worker_request::WorkerRequest;

/// Maximum time to establish a connection.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Time after which the system closes a connection whose sent bytes are not acknowledged.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(3);
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
    /// This gateway has the maximum number of connections open to the worker.
    #[error("maximum number of connections to the worker is open")]
    TooManyConnections,
    /// The worker has stated that it accepts no further requests for now.
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

/// Connections to all workers.
#[derive(Debug)]
pub struct Connections {
    clock: MonotonicClock,
    correlation: Correlation,
    /// Notices that workers attach to their answers.
    pub notices: WorkerNotices,
    pools: Mutex<HashMap<WorkerId, Pool>>,
    /// Connections that were lost during a request, and addresses that refuse connections.
    pub losses: ConnectionLosses,
}

impl Connections {
    /// Creates a set without connections.
    pub fn new(clock: MonotonicClock, correlation: Correlation, notices: WorkerNotices) -> Self {
        Self {
            clock,
            correlation,
            notices,
            pools: Mutex::default(),
            losses: ConnectionLosses::default(),
        }
    }

    /// Sends a request and waits for the head of its answer. Everything that is sent to workers passes through this
    /// function, so that their notices apply to all of it, no matter who selected the worker and when.
    pub async fn send(
        self: &Arc<Self>,
        destination: &Destination,
        request: &WorkerRequest,
    ) -> Result<WorkerAnswer, SendError> {
        self.notices
            .check_permitted(&destination.worker, request.kind)?;
        let http_request = build(destination, request)?;
        let token = self.notices.take_rate_token(&destination.worker, request)?;
        let sent = self
            .send_http_request(destination, request, http_request)
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
    ) -> Result<WorkerAnswer, SendError> {
        let id = self.correlation.id_of(request);
        while let Some(connection) = id.and_then(|id| self.take_idle(&destination.worker, id)) {
            match self
                .send_on(destination, connection, request, http_request)
                .await
            {
                Ok(answer) => return Ok(answer),
                Err(AttemptError::Failed(error)) => return Err(error),
                Err(AttemptError::Unsent(unsent)) => http_request = *unsent,
            }
        }
        let connection = self.connect(destination).await?;
        // A notice of the worker may have arrived while the connection was being established.
        self.notices
            .check_permitted(&destination.worker, request.kind)?;
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
    pub fn prune(&self, is_known: impl Fn(&WorkerId) -> bool) {
        let now = self.clock.now();
        self.pools.lock().retain(|worker, pool| {
            pool.prune(now);
            is_known(worker) || pool.has_open()
        });
    }

    /// Closes idle connections to all workers that have received nothing for the time `silence`. Connections usually go
    /// silent together: if one has, each of the others that is reused would cost one more request.
    pub fn close_silent_connections(&self, silence: Duration) {
        let now = self.clock.now();
        for pool in self.pools.lock().values_mut() {
            pool.close_silent_connections(silence, now);
        }
    }

    fn take_idle(&self, worker: &WorkerId, id: &str) -> Option<Connection> {
        let now = self.clock.now();
        self.pools.lock().get_mut(worker)?.take(now, id)
    }

    /// Keeps a connection for the next request after it has carried a complete answer.
    pub fn return_connection(&self, worker: WorkerId, connection: Connection) {
        let now = self.clock.now();
        let mut pools = self.pools.lock();
        pools.entry(worker).or_default().put(now, connection);
    }

    async fn connect(&self, destination: &Destination) -> Result<Connection, SendError> {
        let open = self.try_open(destination)?;
        let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(destination.address))
            .await
            .map_err(|_| not_sent("connection was not established in time"))?
            .map_err(|error| self.connect_error(destination, &error))?;
        let _ = stream.set_nodelay(true);
        let _ = socket2::SockRef::from(&stream).set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT));
        let handshake = hyper::client::conn::http1::handshake(TokioIo::new(stream)).await;
        let (sender, driver) = handshake.map_err(not_sent)?;
        actix_rt::spawn(async move {
            if let Err(error) = driver.await {
                log::debug!("connection to a worker failed: {error}");
            }
        });
        Ok(Connection::new(sender, open, self.clock.now()))
    }

    fn connect_error(&self, destination: &Destination, error: &std::io::Error) -> SendError {
        if error.kind() != ErrorKind::ConnectionRefused {
            return not_sent(error);
        }
        self.losses.report(Loss::ConnectionRefused, destination);
        SendError::NotSent(NotSentReason::ConnectionRefused)
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
        http_request: hyper::Request<Full<Bytes>>,
    ) -> Result<WorkerAnswer, AttemptError> {
        let sent_at = self.clock.now();
        let response = match connection.sender.try_send_request(http_request).await {
            Ok(response) => response,
            Err(mut error) => {
                return Err(match error.take_message() {
                    Some(unsent) => AttemptError::Unsent(Box::new(unsent)),
                    None => {
                        self.losses.report(Loss::Broken, destination);
                        AttemptError::Failed(SendError::NoAnswer(error.into_error().to_string()))
                    }
                })
            }
        };
        connection.last_received_at = self.clock.now();
        let answered = self.matched_answer(destination, connection, request, sent_at, response);
        answered.map_err(AttemptError::Failed)
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
        let body = AnswerBody::new(incoming, &headers, borrowed, search);
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
