//! Connections to workers: kept between requests, one request at a time on each, never more than
//! this gateway's part of what a worker accepts.
//!
//! Errors say whether the request may have reached the worker. A connection that brought anything
//! but one whole answer is not used again. Every answer that leaves this module is tied to its
//! request as [`crate::correlation`] says.

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

use crate::answer_body::{AnswerBody, Returning};
use crate::connection_losses::{ConnectionLosses, Loss};
use crate::connection_pool::{Connection, OpenCount, Pool};
use crate::correlation::{ComparedHead, Correlation, Foreign};
use crate::headers::HeaderList;
use crate::second_answer::SecondAnswerSearch;
use crate::worker_notices::WorkerNotices;
use crate::worker_request::WorkerRequest;

/// Time for a new connection to come up.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Time after which unacknowledged bytes break a connection.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(3);
/// How long a connection is kept if the worker does not say.
const DEFAULT_IDLE: Duration = Duration::from_millis(400);
/// How much earlier than the worker a kept connection is given up.
const IDLE_MARGIN: Duration = Duration::from_millis(700);

/// Where a request goes.
#[derive(Debug, Clone)]
pub struct Destination {
    /// The worker.
    pub worker: WorkerId,
    /// Its address.
    pub address: SocketAddr,
    /// The most connections this gateway may have there.
    pub max_connections: u32,
}

/// Why a request brought no answer.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum SendError {
    /// No byte of it was sent, as there is no connection.
    #[error("not sent: {0}")]
    NotSent(Unconnected),
    /// It may have arrived.
    #[error("no answer: {0}")]
    NoAnswer(String),
}

/// Why there is no connection to a worker.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Unconnected {
    /// Nothing listens at its address.
    #[error("nothing listens there")]
    NothingListens,
    /// This gateway has as many as it may.
    #[error("too many connections")]
    TooMany,
    /// The worker has said that it wants nothing more.
    #[error("{0}")]
    Unwanted(Unavailable),
    /// It did not come up, or not in time, or was closed at once.
    #[error("{0}")]
    Failed(String),
}

/// The answer to a request, whose body is still to be read.
#[derive(Debug)]
pub struct WorkerAnswer {
    /// The status.
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
    /// What workers say of themselves.
    pub notices: WorkerNotices,
    pools: Mutex<HashMap<WorkerId, Pool>>,
    /// Connections that were lost under a request, and addresses where nothing listens.
    pub losses: ConnectionLosses,
}

impl Connections {
    /// No connection yet.
    pub fn new(clock: MonotonicClock, correlation: Correlation, notices: WorkerNotices) -> Self {
        Self {
            clock,
            correlation,
            notices,
            pools: Mutex::default(),
            losses: ConnectionLosses::default(),
        }
    }

    /// Sends a request and waits for the head of its answer. All that goes to workers goes through here, so that
    /// what they said of themselves holds for all of it, whoever has chosen them and whenever.
    pub async fn send(
        self: &Arc<Self>,
        destination: &Destination,
        request: &WorkerRequest,
    ) -> Result<WorkerAnswer, SendError> {
        self.notices.permit(&destination.worker, request.asked)?;
        let built = build(destination, request)?;
        let token = self.notices.take_rate_token(&destination.worker, request)?;
        let sent = self.send_built(destination, request, built).await;
        if let (RateToken::Taken, Err(SendError::NotSent(_))) = (token, &sent) {
            self.notices.give_back_rate_token(&destination.worker);
        }
        sent
    }

    /// Sends it on a kept connection, or on a new one.
    async fn send_built(
        self: &Arc<Self>,
        destination: &Destination,
        request: &WorkerRequest,
        mut built: hyper::Request<Full<Bytes>>,
    ) -> Result<WorkerAnswer, SendError> {
        let id = self.correlation.id_of(request);
        while let Some(connection) = id.and_then(|id| self.take(&destination.worker, id)) {
            match self.send_on(destination, connection, request, built).await {
                Ok(answer) => return Ok(answer),
                Err(Attempt::Failed(error)) => return Err(error),
                Err(Attempt::Unused(unused)) => built = *unused,
            }
        }
        let connection = self.connect(destination).await?;
        // The worker may have said something while the connection came up.
        self.notices.permit(&destination.worker, request.asked)?;
        match self.send_on(destination, connection, request, built).await {
            Ok(answer) => Ok(answer),
            Err(Attempt::Failed(error)) => Err(error),
            Err(Attempt::Unused(_)) => Err(not_sent("closed at once")),
        }
    }

    /// Closes connections that have rested too long, and those to workers that are gone.
    pub fn prune(&self, is_known: impl Fn(&WorkerId) -> bool) {
        let now = self.clock.now();
        self.pools.lock().retain(|worker, pool| {
            pool.prune(now);
            is_known(worker) || pool.has_open()
        });
    }

    /// Closes kept connections, to whatever worker, that have brought nothing for so long. Connections go
    /// silent together: if one has, each of the others would cost a request of its own.
    pub fn give_up_unheard_for(&self, silence: Duration) {
        let now = self.clock.now();
        for pool in self.pools.lock().values_mut() {
            pool.give_up_unheard_for(silence, now);
        }
    }

    fn take(&self, worker: &WorkerId, id: &str) -> Option<Connection> {
        let now = self.clock.now();
        self.pools.lock().get_mut(worker)?.take(now, id)
    }

    /// Keeps a connection that has brought a whole answer for the next request.
    pub fn put(&self, worker: WorkerId, connection: Connection) {
        let now = self.clock.now();
        let mut pools = self.pools.lock();
        pools.entry(worker).or_default().put(now, connection);
    }

    async fn connect(&self, destination: &Destination) -> Result<Connection, SendError> {
        let open = self.count_open(destination)?;
        let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(destination.address))
            .await
            .map_err(|_| not_sent("no connection in time"))?
            .map_err(|error| self.unconnected(destination, &error))?;
        let _ = stream.set_nodelay(true);
        let _ = socket2::SockRef::from(&stream).set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT));
        let handshake = hyper::client::conn::http1::handshake(TokioIo::new(stream)).await;
        let (sender, driver) = handshake.map_err(not_sent)?;
        actix_rt::spawn(async move {
            if let Err(error) = driver.await {
                log::debug!("connection to a worker: {error}");
            }
        });
        Ok(Connection::new(sender, open, self.clock.now()))
    }

    fn unconnected(&self, destination: &Destination, error: &std::io::Error) -> SendError {
        if error.kind() != ErrorKind::ConnectionRefused {
            return not_sent(error);
        }
        self.losses.tell(Loss::NothingListens, destination);
        SendError::NotSent(Unconnected::NothingListens)
    }

    fn count_open(&self, destination: &Destination) -> Result<OpenCount, SendError> {
        let mut pools = self.pools.lock();
        let pool = pools.entry(destination.worker.clone()).or_default();
        let counted = pool.count_open(destination.max_connections);
        counted.ok_or(SendError::NotSent(Unconnected::TooMany))
    }

    async fn send_on(
        self: &Arc<Self>,
        destination: &Destination,
        mut connection: Connection,
        request: &WorkerRequest,
        built: hyper::Request<Full<Bytes>>,
    ) -> Result<WorkerAnswer, Attempt> {
        let sent = self.clock.now();
        let response = match connection.sender.try_send_request(built).await {
            Ok(response) => response,
            Err(mut error) => {
                return Err(match error.take_message() {
                    Some(unused) => Attempt::Unused(Box::new(unused)),
                    None => {
                        self.losses.tell(Loss::Broken, destination);
                        Attempt::Failed(SendError::NoAnswer(error.into_error().to_string()))
                    }
                })
            }
        };
        connection.heard = self.clock.now();
        let answered = self.answer_of(destination, connection, request, sent, response);
        answered.map_err(Attempt::Failed)
    }

    /// The answer that came on a connection, if it is the one to the request that was sent at `sent`.
    fn answer_of(
        self: &Arc<Self>,
        destination: &Destination,
        mut connection: Connection,
        request: &WorkerRequest,
        sent: Timestamp,
        response: hyper::Response<Incoming>,
    ) -> Result<WorkerAnswer, SendError> {
        let (head, incoming) = response.into_parts();
        let headers = header_list(&head.headers);
        let reason = head.extensions.get::<ReasonPhrase>();
        let compared = ComparedHead {
            status: head.status.as_u16(),
            reason: reason.map_or(&[], |reason| reason.as_bytes()),
            headers: &headers,
            answers_before: connection.carried.count(),
        };
        let worker = &destination.worker;
        let checked = self.correlation.check(worker, request, compared);
        checked.map_err(|foreign| self.foreign_answer(worker, foreign))?;
        let status = head.status.as_u16();
        self.notices
            .hear(worker, request.asked, sent, status, &headers);
        let id = self.correlation.id_of(request);
        let usable_until = id.and_then(|id| {
            connection.carried.note(id);
            self.keep_until(&headers)
        });
        connection.usable_until = usable_until.unwrap_or_default();
        let returning = Returning {
            connections: Arc::clone(self),
            destination: destination.clone(),
            connection,
            is_kept: usable_until.is_some(),
        };
        let search = id.map(|id| SecondAnswerSearch::new(id, &headers));
        let body = AnswerBody::new(incoming, &headers, returning, search);
        Ok(WorkerAnswer {
            status,
            headers,
            body,
        })
    }

    /// What an answer that is not the request's means for it, and for the worker's connections.
    fn foreign_answer(&self, worker: &WorkerId, foreign: Foreign) -> SendError {
        if foreign == Foreign::Late {
            let mut pools = self.pools.lock();
            let pool = pools.entry(worker.clone()).or_default();
            pool.close_for_a_while(self.clock.now());
        }
        SendError::NoAnswer(foreign.to_string())
    }

    /// How long a connection may rest after an answer with these headers.
    fn keep_until(&self, headers: &HeaderList) -> Option<Timestamp> {
        let closes = headers
            .get("connection")
            .is_some_and(|value| value.to_ascii_lowercase().contains("close"));
        if closes {
            return None;
        }
        let idle = match headers.get("keep-alive").and_then(keep_alive_timeout) {
            Some(given) => given.saturating_sub(IDLE_MARGIN),
            None => DEFAULT_IDLE,
        };
        Some(self.clock.now() + idle)
    }
}

fn not_sent(reason: impl std::fmt::Display) -> SendError {
    SendError::NotSent(Unconnected::Failed(reason.to_string()))
}

enum Attempt {
    Unused(Box<hyper::Request<Full<Bytes>>>),
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

fn header_list(headers: &hyper::HeaderMap) -> HeaderList {
    let mut list = HeaderList::default();
    for (name, value) in headers {
        list.push(name.as_str(), value.as_bytes());
    }
    list
}
