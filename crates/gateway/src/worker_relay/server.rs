//! Relays connections of other gateways to workers. The relay only copies bytes; the other gateway makes all decisions.
//! A relay connects to workers directly, never through another relay.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use futures_util::{SinkExt, StreamExt};
use prost::Message;
use tansyhall_forwarding::{DirectOutcome, WorkerId};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::{sleep, timeout};
use tokio_util::codec::{Framed, FramedWrite, LengthDelimitedCodec};

use super::message::{
    codec, encode, Frame, FrameKind, OpenAnswer, OpenRequest, OpenResult, MAX_FRAME_BYTES,
};
use super::WorkerRelays;
use crate::worker_connect::{self, set_options};

/// Maximum number of connections that are relayed at the same time. Each takes two descriptors and up to 64 KB of
/// buffers, which leaves most of 4,100 descriptors and 260 MB to the gateway's own connections.
pub const MAX_RELAYED_CONNECTIONS: usize = 512;
/// Maximum number of connections of other gateways, including those that are refused.
const MAX_CONNECTIONS: usize = MAX_RELAYED_CONNECTIONS + 128;
/// Maximum time to receive a request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum time for the other gateway to close a connection after the worker has closed it.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);
/// Pause after an error of the listening socket.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

type GatewayFrames = FramedWrite<OwnedWriteHalf, LengthDelimitedCodec>;

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
    set_options(&stream);
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
    if let Ok(worker) = opened {
        relay(framed, worker, server.is_leaving.subscribe()).await;
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
    let connected = relays.connector.connect(address).await;
    let outcome = worker_connect::outcome_of(&connected);
    relays.record_direct(&worker, outcome);
    connected.map_err(|_| match outcome {
        _ if relays.may_be_partitioned() => OpenResult::RelayPartitioned,
        DirectOutcome::Refused => OpenResult::WorkerRefused,
        _ => OpenResult::WorkerUnreachable,
    })
}

/// Copies bytes in both directions until one side closes its connection.
async fn relay(
    gateway: Framed<TcpStream, LengthDelimitedCodec>,
    worker: TcpStream,
    is_leaving: watch::Receiver<bool>,
) {
    let parts = gateway.into_parts();
    let (mut from_gateway, to_gateway) = parts.io.into_split();
    let mut to_gateway = FramedWrite::new(to_gateway, codec());
    let (from_worker, to_worker) = worker.into_split();
    tokio::select! {
        () = copy_to_worker(parts.read_buf, &mut from_gateway, to_worker) => return,
        () = copy_to_gateway(from_worker, &mut to_gateway, is_leaving) => {}
    }
    // Closing a socket with unread bytes would reset the connection and could discard the last frame.
    let _ = to_gateway.get_mut().shutdown().await;
    let mut unread = [0; 1024];
    let drain =
        async { while matches!(from_gateway.read(&mut unread).await, Ok(count) if count > 0) {} };
    let _ = timeout(CLOSE_TIMEOUT, drain).await;
}

/// Returns when the gateway has closed its connection. Bytes that the worker no longer accepts are discarded, because it
/// may still be sending its answer.
async fn copy_to_worker(
    first: BytesMut,
    from_gateway: &mut OwnedReadHalf,
    mut to_worker: OwnedWriteHalf,
) {
    let mut is_accepting = to_worker.write_all(&first).await.is_ok();
    let mut buffer = BytesMut::with_capacity(MAX_FRAME_BYTES);
    while matches!(from_gateway.read_buf(&mut buffer).await, Ok(count) if count > 0) {
        if is_accepting {
            is_accepting = to_worker.write_all(&buffer).await.is_ok();
        }
        buffer.clear();
    }
}

/// Returns when the worker has closed its connection, or the gateway does not accept any more bytes.
async fn copy_to_gateway(
    mut from_worker: OwnedReadHalf,
    to_gateway: &mut GatewayFrames,
    mut is_leaving: watch::Receiver<bool>,
) {
    let mut buffer = vec![0; MAX_FRAME_BYTES];
    let mut has_left = false;
    loop {
        let frame = tokio::select! {
            received = from_worker.read(&mut buffer) => match received {
                Ok(0) => Frame::of_kind(FrameKind::End),
                Ok(count) => Frame::bytes(Bytes::copy_from_slice(&buffer[..count])),
                Err(_) => Frame::of_kind(FrameKind::Reset),
            },
            _ = is_leaving.wait_for(|is_leaving| *is_leaving), if !has_left => {
                has_left = true;
                Frame::of_kind(FrameKind::Leaving)
            }
        };
        let is_last = matches!(frame.kind(), FrameKind::End | FrameKind::Reset);
        let sent = to_gateway.send(encode(&frame)).await;
        if is_last || sent.is_err() {
            return;
        }
    }
}
