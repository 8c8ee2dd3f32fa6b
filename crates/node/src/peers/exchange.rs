//! Requests between nodes over TCP. A connection carries one length-delimited request and one
//! length-delimited answer, and is then closed.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use anyhow::{Context, Result};
use bytes::{Bytes, BytesMut};
use futures_util::{SinkExt, StreamExt};
use tansyhall_proto::{
    decode_request, encode_journal_answer, encode_pull_answer, encode_request,
    encode_status_answer, PeerCall, PeerRequest,
};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio_util::codec::{Framed, LengthDelimitedCodec};

use super::{foreign, pull};
use crate::callers::origin;
use crate::state::Node;

/// Timeout of serving one connection.
const CONNECTION_TIMEOUT: Duration = Duration::from_secs(5);
/// Delay after a connection could not be accepted, for example because no file descriptor was free.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

fn framed(node: &Node, stream: TcpStream) -> Framed<TcpStream, LengthDelimitedCodec> {
    let codec = LengthDelimitedCodec::builder()
        .max_frame_length(node.settings.peer_limits.max_frame_bytes)
        .new_codec();
    Framed::new(stream, codec)
}

fn count_bytes(node: &Node, sent: usize, received: usize) {
    let bytes = &node.metrics.peers.pull_bytes;
    bytes.with_label_values(&["sent"]).inc_by(sent as u64);
    let received_bytes = bytes.with_label_values(&["received"]);
    received_bytes.inc_by(received as u64);
}

/// Sends a request to a peer and returns the encoded answer.
pub async fn send_request(
    node: &Node,
    peer: SocketAddr,
    request: PeerRequest,
    timeout: Duration,
) -> Result<BytesMut> {
    let call = PeerCall {
        fleet: node.fleet,
        request,
    };
    let request = Bytes::from(encode_request(&call));
    let exchange = async {
        let stream = TcpStream::connect(peer).await?;
        stream.set_nodelay(true)?;
        let mut framed = framed(node, stream);
        let sent = request.len();
        framed.send(request).await?;
        let answer = framed.next().await.context("the peer did not answer")??;
        count_bytes(node, sent, answer.len());
        Ok(answer)
    };
    let answer = tokio::time::timeout(timeout, exchange).await;
    answer.context("the peer did not answer in time")?
}

/// Serves requests for as long as the process runs. Connections beyond the limit wait in the
/// listener's backlog, until the peers' timeouts end their requests.
pub(super) async fn serve(node: Arc<Node>, listener: TcpListener) {
    let permits = Arc::new(Semaphore::new(node.settings.peer_limits.max_connections));
    while let Ok(permit) = Arc::clone(&permits).acquire_owned().await {
        let Ok((stream, from)) = listener.accept().await else {
            actix_rt::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let node = Arc::clone(&node);
        actix_rt::spawn(async move {
            let served =
                tokio::time::timeout(CONNECTION_TIMEOUT, serve_connection(&node, stream, from))
                    .await;
            if !matches!(served, Ok(Ok(()))) {
                node.metrics.peers.malformed.inc();
            }
            drop(permit);
        });
    }
}

/// Serves one connection. A node of another fleet gets no answer, because its request was meant for
/// the node that had this address before.
async fn serve_connection(node: &Arc<Node>, stream: TcpStream, from: SocketAddr) -> Result<()> {
    let mut framed = framed(node, stream);
    let request = framed
        .next()
        .await
        .context("the peer closed the connection without a request")??;
    let call = decode_request(&request)?;
    if !node.fleet.admits(call.fleet) {
        foreign::record_foreign_message(node, from);
        return Ok(());
    }
    let answer = answer_request(node, call.request).await;
    framed.send(Bytes::from(answer)).await?;
    Ok(())
}

async fn answer_request(node: &Arc<Node>, request: PeerRequest) -> Vec<u8> {
    match request {
        PeerRequest::Pull { held_revision } => {
            node.metrics.peers.pulls_served.inc();
            encode_pull_answer(&pull::answer_pull(node, held_revision))
        }
        PeerRequest::Journal(call) => {
            let now = node.clock.now();
            let is_stopping = node.is_stopping();
            encode_journal_answer(&node.journal.answer(now, call, is_stopping))
        }
        PeerRequest::Status(query) => encode_status_answer(&origin::answer_peer(node, query).await),
    }
}
