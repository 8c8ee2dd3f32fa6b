//! The copying of bytes between another gateway and a worker.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use futures_util::SinkExt;
use tansyhall_core::Timestamp;
use tansyhall_forwarding::{DirectOutcome, WorkerId};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::TcpStream;
use tokio::time::timeout;
use tokio_util::codec::{Framed, FramedWrite, LengthDelimitedCodec};

use super::message::{codec, encode, Frame, FrameKind, MAX_FRAME_BYTES};
use super::WorkerRelays;

/// Maximum time for the other gateway to close a connection after the worker has closed it.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);

type GatewayFrames = FramedWrite<OwnedWriteHalf, LengthDelimitedCodec>;

/// The worker of a relayed connection.
pub struct RelayedWorker<'a> {
    /// The paths of the relay.
    pub relays: &'a WorkerRelays,
    /// The worker.
    pub id: WorkerId,
    /// When the relay's connection to the worker was opened.
    pub opened_at: Timestamp,
}

impl RelayedWorker<'_> {
    /// Records what the first read from the worker says about the direct path of the relay.
    fn record_first(&self, received: &std::io::Result<usize>) {
        match received {
            Ok(0) => {}
            Ok(_) => self.relays.record_answered(&self.id, self.opened_at),
            Err(_) => self.relays.record_direct(&self.id, DirectOutcome::Reset),
        }
    }
}

/// Copies bytes in both directions until one side closes its connection.
pub async fn copy(
    gateway: Framed<TcpStream, LengthDelimitedCodec>,
    stream: TcpStream,
    worker: &RelayedWorker<'_>,
) {
    let parts = gateway.into_parts();
    let (mut from_gateway, to_gateway) = parts.io.into_split();
    let mut to_gateway = FramedWrite::new(to_gateway, codec());
    let (from_worker, to_worker) = stream.into_split();
    tokio::select! {
        () = copy_to_worker(parts.read_buf, &mut from_gateway, to_worker) => return,
        () = copy_to_gateway(from_worker, &mut to_gateway, worker) => {}
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
    worker: &RelayedWorker<'_>,
) {
    let mut is_leaving = worker.relays.server.watch_leaving();
    let mut is_first = true;
    let mut buffer = vec![0; MAX_FRAME_BYTES];
    let mut has_left = false;
    loop {
        let frame = tokio::select! {
            received = from_worker.read(&mut buffer) => {
                if std::mem::take(&mut is_first) {
                    worker.record_first(&received);
                }
                match received {
                    Ok(0) => Frame::of_kind(FrameKind::End),
                    Ok(count) => Frame::bytes(Bytes::copy_from_slice(&buffer[..count])),
                    Err(_) => Frame::of_kind(FrameKind::Reset),
                }
            }
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
