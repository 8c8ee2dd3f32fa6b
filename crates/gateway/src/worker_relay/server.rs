//! Relays connections of other gateways to workers. The relay only copies bytes; the other gateway makes all decisions.
//! A relay connects to workers directly, never through another relay.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;

use futures_util::{SinkExt, StreamExt};
use prost::Message;
use tansyhall_forwarding::{DirectOutcome, WorkerId};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::{sleep, timeout};
use tokio_util::codec::Framed;

use super::message::{codec, encode, OpenAnswer, OpenRequest, OpenResult};
use super::tunnel::{self, RelayedWorker};
use super::WorkerRelays;
use crate::worker_connect::{self, set_options};

/// Maximum number of connections that are relayed at the same time. Each takes two descriptors and up to 64 KB of
/// buffers, which leaves most of 4,100 descriptors and 260 MB to the gateway's own connections.
pub const MAX_RELAYED_CONNECTIONS: usize = 512;
/// Maximum number of connections of other gateways, including those that are refused.
const MAX_CONNECTIONS: usize = MAX_RELAYED_CONNECTIONS + 128;
/// Maximum time to receive a request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(1);
/// Time after which the system closes a connection of a gateway that accepts no bytes. A gateway whose caller reads slowly
/// accepts none for up to 10 s.
const STALL_TIMEOUT: Duration = Duration::from_secs(15);
/// Pause after an error of the listening socket.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// The connections that this gateway relays.
#[derive(Debug)]
pub struct RelayServer {
    connections: AtomicUsize,
    relayed: AtomicUsize,
    max_relayed: usize,
    is_leaving: watch::Sender<bool>,
}

impl RelayServer {
    /// Creates a server without connections that relays up to `max_relayed` of them.
    pub fn new(max_relayed: usize) -> Self {
        Self {
            connections: AtomicUsize::new(0),
            relayed: AtomicUsize::new(0),
            max_relayed,
            is_leaving: watch::Sender::new(false),
        }
    }

    /// Returns the number of connections that are relayed.
    pub fn relayed(&self) -> usize {
        self.relayed.load(Ordering::Relaxed)
    }

    /// Refuses new connections, and tells other gateways not to reuse the open ones.
    pub fn leave(&self) {
        self.is_leaving.send_replace(true);
    }

    fn is_leaving(&self) -> bool {
        *self.is_leaving.borrow()
    }

    /// Returns a receiver that becomes true when the server leaves.
    pub(super) fn watch_leaving(&self) -> watch::Receiver<bool> {
        self.is_leaving.subscribe()
    }
}

/// Counts a connection until it is dropped.
struct CountGuard<'a>(&'a AtomicUsize);

impl<'a> CountGuard<'a> {
    fn try_begin(count: &'a AtomicUsize, max: usize) -> Option<Self> {
        let increment = |current: usize| (current < max).then_some(current + 1);
        let counted = count.fetch_update(Ordering::Relaxed, Ordering::Relaxed, increment);
        counted.ok().map(|_| Self(count))
    }
}

impl Drop for CountGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Listens for other gateways. Without the address, the gateway runs and relays nothing.
pub async fn serve(relays: &Arc<WorkerRelays>, address: SocketAddr) {
    match TcpListener::bind(address).await {
        Ok(listener) => {
            actix_rt::spawn(accept(Arc::clone(relays), listener));
        }
        Err(error) => {
            log::warn!("listen.load = {address}: cannot relay connections to workers: {error}")
        }
    }
}

async fn accept(relays: Arc<WorkerRelays>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let relays = Arc::clone(&relays);
                actix_rt::spawn(async move { handle_connection(&relays, stream).await });
            }
            Err(error) => {
                log::debug!("cannot accept a connection of another gateway: {error}");
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn handle_connection(relays: &WorkerRelays, stream: TcpStream) {
    let server = &relays.server;
    let Some(_counted) = CountGuard::try_begin(&server.connections, MAX_CONNECTIONS) else {
        return;
    };
    set_options(&stream, STALL_TIMEOUT);
    let mut framed = Framed::new(stream, codec());
    let Ok(Some(Ok(message))) = timeout(REQUEST_TIMEOUT, framed.next()).await else {
        return;
    };
    let Ok(request) = OpenRequest::decode(message) else {
        return;
    };
    let relayed = CountGuard::try_begin(&server.relayed, server.max_relayed);
    let opened = match relayed {
        _ if server.is_leaving() => Err(OpenResult::Leaving),
        None => Err(OpenResult::AtLimit),
        Some(_) => {
            tokio::select! {
                opened = connect(relays, &request) => opened,
                () = closed(framed.get_ref()) => return,
            }
        }
    };
    let result = opened.as_ref().err().copied();
    let answer = OpenAnswer::new(result.unwrap_or(OpenResult::Opened));
    if framed.send(encode(&answer)).await.is_err() {
        return;
    }
    if let Ok(stream) = opened {
        let worker = RelayedWorker {
            relays,
            id: WorkerId::from(request.worker.as_str()),
            opened_at: relays.clock.now(),
        };
        tunnel::copy(framed, stream, &worker).await;
    }
}

/// Waits until the other gateway closes a connection on which it is not expected to send anything.
async fn closed(stream: &TcpStream) {
    let received = stream.peek(&mut [0]).await;
    if matches!(received, Ok(count) if count > 0) {
        std::future::pending::<()>().await;
    }
}

async fn connect(relays: &WorkerRelays, request: &OpenRequest) -> Result<TcpStream, OpenResult> {
    if relays.is_partitioned() {
        return Err(OpenResult::RelayPartitioned);
    }
    let worker = WorkerId::from(request.worker.as_str());
    let announced = relays.address_of(&worker);
    let is_requested = |address: &SocketAddr| address.to_string() == request.address;
    let address = announced
        .filter(is_requested)
        .ok_or(OpenResult::UnknownWorker)?;
    let connected = relays.open_direct(&worker, address).await;
    let outcome = worker_connect::outcome_of(&connected);
    if connected.is_err() {
        relays.record_direct(&worker, outcome);
    }
    connected.map_err(|_| match outcome {
        _ if relays.may_be_partitioned() => OpenResult::RelayPartitioned,
        DirectOutcome::Refused => OpenResult::WorkerRefused,
        _ => OpenResult::WorkerUnreachable,
    })
}
