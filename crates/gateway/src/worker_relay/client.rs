//! The gateway's end of a relayed connection.

use std::io::{Error, ErrorKind};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::stream::{try_unfold, BoxStream};
use futures_util::{SinkExt, StreamExt};
use prost::Message;
use tansyhall_forwarding::{RelayOutcome, WorkerId};
use tokio::io::{join, Join};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::TcpStream;
use tokio::time::timeout;
use tokio_util::codec::{Framed, FramedParts, FramedRead, LengthDelimitedCodec};
use tokio_util::io::StreamReader;

use super::message::{codec, encode, Frame, FrameKind, OpenAnswer, OpenRequest};
use crate::worker_connect::{set_options, CONNECT_TIMEOUT, UNACKNOWLEDGED_TIMEOUT};

/// Additional time for the relay's answer, on top of the time that it has to connect to the worker.
const ANSWER_MARGIN: Duration = Duration::from_millis(100);

type Frames = FramedRead<OwnedReadHalf, LengthDelimitedCodec>;

/// Both directions of a relayed connection.
pub type RelayedIo =
    Join<StreamReader<BoxStream<'static, std::io::Result<Bytes>>, Bytes>, OwnedWriteHalf>;

/// A connection to a worker through a relay. Reading from it ends regularly only if the worker has closed the connection
/// regularly.
pub struct RelayedStream {
    /// Reads from and writes to the worker.
    pub io: RelayedIo,
    /// What the relay has reported.
    pub status: Arc<RelayedStatus>,
}

/// What the relay has reported about a connection.
#[derive(Debug, Default)]
pub struct RelayedStatus {
    is_leaving: AtomicBool,
    is_ended_by_worker: AtomicBool,
}

impl RelayedStatus {
    /// Returns whether the relay is stopping, so that the connection must not be reused.
    pub fn is_leaving(&self) -> bool {
        self.is_leaving.load(Ordering::Relaxed)
    }

    /// Returns whether the worker, and not the relay, has ended the connection.
    pub fn is_ended_by_worker(&self) -> bool {
        self.is_ended_by_worker.load(Ordering::Relaxed)
    }
}

/// Opens a connection to a worker through the relay at the address `relay`.
pub async fn open(
    relay: SocketAddr,
    worker: &WorkerId,
    address: SocketAddr,
) -> Result<RelayedStream, RelayOutcome> {
    let request = OpenRequest {
        worker: worker.qualified_name().to_owned(),
        address: address.to_string(),
    };
    match timeout(
        CONNECT_TIMEOUT + ANSWER_MARGIN,
        request_connection(relay, request),
    )
    .await
    {
        Ok(opened) => opened,
        Err(_) => Err(RelayOutcome::Unavailable),
    }
}

async fn request_connection(
    relay: SocketAddr,
    request: OpenRequest,
) -> Result<RelayedStream, RelayOutcome> {
    let stream = TcpStream::connect(relay).await.map_err(connect_outcome)?;
    set_options(&stream, UNACKNOWLEDGED_TIMEOUT);
    let mut framed = Framed::new(stream, codec());
    let sent = framed.send(encode(&request)).await;
    sent.map_err(|_| RelayOutcome::Unavailable)?;
    let answer = match framed.next().await {
        Some(Ok(message)) => OpenAnswer::decode(message).map_err(|_| RelayOutcome::Unsupported)?,
        Some(Err(error)) if error.kind() == ErrorKind::InvalidData => {
            return Err(RelayOutcome::Unsupported)
        }
        _ => return Err(RelayOutcome::Unavailable),
    };
    match answer.outcome() {
        RelayOutcome::Connected => Ok(into_stream(framed.into_parts())),
        outcome => Err(outcome),
    }
}

fn connect_outcome(error: Error) -> RelayOutcome {
    match error.kind() {
        ErrorKind::ConnectionRefused => RelayOutcome::Unsupported,
        _ => RelayOutcome::Unavailable,
    }
}

fn into_stream(parts: FramedParts<TcpStream, LengthDelimitedCodec>) -> RelayedStream {
    let (read_half, write_half) = parts.io.into_split();
    let mut frames = FramedRead::new(read_half, codec());
    *frames.read_buffer_mut() = parts.read_buf;
    let status = Arc::<RelayedStatus>::default();
    let state = (frames, Arc::clone(&status));
    let chunks = try_unfold(state, |(mut frames, status)| async move {
        let chunk = next_chunk(&mut frames, &status).await?;
        Ok(chunk.map(|chunk| (chunk, (frames, status))))
    });
    RelayedStream {
        io: join(StreamReader::new(chunks.boxed()), write_half),
        status,
    }
}

/// Returns the next bytes of the worker, or `None` if it has closed the connection regularly.
async fn next_chunk(frames: &mut Frames, status: &RelayedStatus) -> std::io::Result<Option<Bytes>> {
    loop {
        let Some(message) = frames.next().await.transpose()? else {
            return Err(Error::new(ErrorKind::UnexpectedEof, "the relay has ended"));
        };
        let frame = Frame::decode(message)?;
        match FrameKind::try_from(frame.kind) {
            Ok(FrameKind::Bytes) if frame.bytes.is_empty() => {}
            Ok(FrameKind::Bytes) => return Ok(Some(frame.bytes)),
            Ok(FrameKind::Leaving) => status.is_leaving.store(true, Ordering::Relaxed),
            Ok(FrameKind::End) => {
                status.is_ended_by_worker.store(true, Ordering::Relaxed);
                return Ok(None);
            }
            Ok(FrameKind::Reset) => {
                status.is_ended_by_worker.store(true, Ordering::Relaxed);
                return Err(Error::new(
                    ErrorKind::ConnectionReset,
                    "connection of the relay to the worker broke",
                ));
            }
            Err(error) => return Err(Error::new(ErrorKind::InvalidData, error)),
        }
    }
}
