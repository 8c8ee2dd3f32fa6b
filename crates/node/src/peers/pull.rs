//! Configuration pulls over TCP: one length-delimited request, one length-delimited answer, then
//! the connection ends.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use anyhow::{Context, Result};
use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use tansyhall_dissemination::PullBody;
use tansyhall_proto::{
    decode_pull_answer, decode_pull_request, encode_pull_answer, encode_pull_request, PullAnswer,
};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio_util::codec::{Framed, LengthDelimitedCodec};

use crate::state::Node;

/// Largest request accepted, in bytes; a request is one number.
const MAX_REQUEST_BYTES: usize = 64;
/// Longest time that one connection may take.
const CONNECTION_TIMEOUT: Duration = Duration::from_secs(5);
/// Wait after a connection could not be accepted, for example for want of descriptors.
const ACCEPT_RETRY: Duration = Duration::from_millis(100);

fn framed(stream: TcpStream, max_bytes: usize) -> Framed<TcpStream, LengthDelimitedCodec> {
    let codec = LengthDelimitedCodec::builder()
        .max_frame_length(max_bytes)
        .new_codec();
    Framed::new(stream, codec)
}

fn count(node: &Node, sent: usize, received: usize) {
    let bytes = &node.metrics.peers.pull_bytes;
    bytes.with_label_values(&["sent"]).inc_by(sent as u64);
    let received_bytes = bytes.with_label_values(&["received"]);
    received_bytes.inc_by(received as u64);
}

/// Asks a peer for what is newer than `held_revision`.
pub(super) async fn pull(
    node: Arc<Node>,
    peer: SocketAddr,
    held_revision: u64,
    timeout: Duration,
) -> Result<PullAnswer> {
    let max_bytes = node.settings.peer_limits.max_frame_bytes;
    let exchange = async {
        let stream = TcpStream::connect(peer).await?;
        let mut framed = framed(stream, max_bytes);
        let request = encode_pull_request(held_revision);
        let sent = request.len();
        framed.send(Bytes::from(request)).await?;
        let answer = framed.next().await.context("the peer did not answer")??;
        count(&node, sent, answer.len());
        Ok(decode_pull_answer(&answer)?)
    };
    let answer = tokio::time::timeout(timeout, exchange).await;
    answer.context("the peer did not answer in time")?
}

/// Serves pulls for as long as the process runs; peers beyond the limit are turned away.
pub(super) async fn serve(node: Arc<Node>, listener: TcpListener) {
    let permits = Arc::new(Semaphore::new(node.settings.peer_limits.max_connections));
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            actix_rt::time::sleep(ACCEPT_RETRY).await;
            continue;
        };
        let Ok(permit) = Arc::clone(&permits).try_acquire_owned() else {
            continue;
        };
        let node = Arc::clone(&node);
        actix_rt::spawn(async move {
            let served = tokio::time::timeout(CONNECTION_TIMEOUT, serve_one(&node, stream)).await;
            if !matches!(served, Ok(Ok(()))) {
                node.metrics.peers.malformed.inc();
            }
            drop(permit);
        });
    }
}

async fn serve_one(node: &Node, stream: TcpStream) -> Result<()> {
    let mut framed = framed(stream, MAX_REQUEST_BYTES);
    let request = framed.next().await.context("no request")??;
    let answer = answer(node, decode_pull_request(&request)?);
    let max_bytes = node.settings.peer_limits.max_frame_bytes;
    framed.codec_mut().set_max_frame_length(max_bytes);
    framed
        .send(Bytes::from(encode_pull_answer(&answer)))
        .await?;
    node.metrics.peers.pulls_served.inc();
    Ok(())
}

/// What this node has in force that is newer. A node that is still recovering has nothing in force,
/// and says so, rather than pass on what it has not yet compared with others.
fn answer(node: &Node, held_revision: u64) -> PullAnswer {
    let staleness = node.metrics.peers.staleness_seconds.get();
    let confirmation_age = Duration::try_from_secs_f64(staleness).unwrap_or(Duration::MAX);
    let is_recovering = node.in_force.load().configuration.revision == 0;
    let body = match is_recovering {
        true => PullBody::Current { revision: 0 },
        false => node.held.lock().answer(held_revision),
    };
    PullAnswer {
        confirmation_age,
        body,
    }
}
