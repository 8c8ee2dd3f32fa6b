//! The connections of a caller: one to each gateway, reused until it closes.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use tansyhall_platform_standin::{LEAVING, RATE_LIMIT, REQUEST_ID, SEAL};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::timeout;

use super::requests::CallerRequest;
use crate::evidence::{CallerAnswer, Outcome, StrayBytes};
use crate::http::{Framing, Head, ReadError, Reader};

/// How much longer a caller waits than the deadline that it sends.
pub const DEADLINE_GRACE: Duration = Duration::from_secs(1);
/// Maximum number of bytes read from a connection to record data that belongs to no answer.
const MAX_STRAY_BYTES: usize = 400;

/// HTTP client with one reusable connection to each gateway.
pub struct Client {
    idle_connections: Vec<Option<Reader<TcpStream>>>,
}

/// The part of an answer that has been received.
#[derive(Default)]
struct Received {
    head: Option<Head>,
    body: Vec<u8>,
}

impl Client {
    /// Creates a client for this number of gateways, without open connections.
    pub fn new(gateways: usize) -> Self {
        Self {
            idle_connections: (0..gateways).map(|_| None).collect(),
        }
    }

    /// Records data that arrived on an idle connection after its last answer. Drops the connection if it has such
    /// data or is closed.
    pub fn record_stray(&mut self, gateway: usize, record: impl FnOnce(StrayBytes), at_ms: u64) {
        let Some(mut connection) = self.idle_connections[gateway].take() else {
            return;
        };
        let mut bytes = connection.surplus().to_vec();
        let mut unread = [0; MAX_STRAY_BYTES];
        let is_open = match connection.source().try_read(&mut unread) {
            Ok(count) => {
                bytes.extend_from_slice(&unread[..count]);
                false
            }
            Err(error) => error.kind() == std::io::ErrorKind::WouldBlock,
        };
        if !bytes.is_empty() {
            let bytes = String::from_utf8_lossy(&bytes).into_owned();
            record(StrayBytes {
                gateway,
                at_ms,
                bytes,
            });
        } else if is_open {
            self.idle_connections[gateway] = Some(connection);
        }
    }

    /// Sends a request to a gateway and waits for the answer until the timeout.
    pub async fn send_request(
        &mut self,
        gateway: usize,
        address: SocketAddr,
        request: &CallerRequest,
        answer_timeout: Duration,
    ) -> Outcome {
        let mut received = Received::default();
        let idle_connection = self.idle_connections[gateway].take();
        let exchange = exchange(idle_connection, address, request, &mut received);
        let ended = match timeout(answer_timeout, exchange).await {
            Ok(ended) => ended,
            Err(_) => Err(ReadError::Truncated),
        };
        match ended {
            Ok(connection) => {
                self.idle_connections[gateway] = connection;
                outcome(received, None)
            }
            Err(error) => outcome(received, Some(error)),
        }
    }
}

fn outcome(received: Received, ended: Option<ReadError>) -> Outcome {
    let is_whole = ended.is_none();
    if let Some(ReadError::Garbage(bytes)) = ended {
        return Outcome::Garbage { bytes };
    }
    let Some(head) = received.head else {
        let why = ended.map_or_else(String::new, |error| error.to_string());
        return Outcome::NoAnswer { why };
    };
    let header = |name| head.get(name).map(str::to_owned);
    Outcome::Answer(CallerAnswer {
        status: head.status().unwrap_or(0),
        id: header(REQUEST_ID),
        seal: header(SEAL),
        says_leaving: head.get(LEAVING) == Some("1"),
        names_limit: head.get(RATE_LIMIT).is_some(),
        body: Bytes::from(received.body),
        is_whole,
    })
}

/// Sends a request and receives its answer. Returns the connection if it can be reused.
async fn exchange(
    idle_connection: Option<Reader<TcpStream>>,
    address: SocketAddr,
    request: &CallerRequest,
    received: &mut Received,
) -> Result<Option<Reader<TcpStream>>, ReadError> {
    let mut connection = match idle_connection {
        Some(connection) => connection,
        None => connect(address).await?,
    };
    let written = connection.source().write_all(&request.bytes()).await;
    written.map_err(|_| ReadError::Truncated)?;
    let head = connection.read_head().await?;
    head.status()?;
    let framing = head.framing(Framing::UntilClose)?;
    let is_reusable = framing != Framing::UntilClose && !head.closes_connection();
    received.head = Some(head);
    connection.read_body(framing, &mut received.body).await?;
    Ok(is_reusable.then_some(connection))
}

async fn connect(address: SocketAddr) -> Result<Reader<TcpStream>, ReadError> {
    let stream = TcpStream::connect(address).await;
    let stream = stream.map_err(|_| ReadError::Closed)?;
    let _ = stream.set_nodelay(true);
    Ok(Reader::new(stream))
}
