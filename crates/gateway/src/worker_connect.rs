//! Direct TCP connections to workers.

use std::io::{Error, ErrorKind};
use std::net::SocketAddr;
use std::time::Duration;

use futures_util::future::{BoxFuture, FutureExt};
use tansyhall_forwarding::DirectOutcome;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Maximum time to establish a connection.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Time after which the system closes a connection whose sent bytes are not acknowledged.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(3);

/// Opens direct connections to workers.
pub trait WorkerConnector: Send + Sync {
    /// Opens a connection to a worker.
    fn connect(&self, address: SocketAddr) -> BoxFuture<'static, std::io::Result<TcpStream>>;
}

/// Opens connections from any address of this machine.
#[derive(Debug, Default)]
pub struct TcpConnector;

impl WorkerConnector for TcpConnector {
    fn connect(&self, address: SocketAddr) -> BoxFuture<'static, std::io::Result<TcpStream>> {
        connect(address).boxed()
    }
}

/// Opens a connection to a worker. All connections to workers are opened here.
pub async fn connect(address: SocketAddr) -> std::io::Result<TcpStream> {
    match timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await {
        Ok(connected) => connected.inspect(set_options),
        Err(_) => Err(Error::new(
            ErrorKind::TimedOut,
            "connection was not established in time",
        )),
    }
}

/// Sets the options of connections that carry requests to workers, directly or through a relay.
pub fn set_options(stream: &TcpStream) {
    let _ = stream.set_nodelay(true);
    let _ = socket2::SockRef::from(stream).set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT));
}

/// Returns the result of a connection attempt.
pub fn outcome_of(connected: &std::io::Result<TcpStream>) -> DirectOutcome {
    match connected {
        Ok(_) => DirectOutcome::Connected,
        Err(error) if error.kind() == ErrorKind::ConnectionRefused => DirectOutcome::Refused,
        Err(_) => DirectOutcome::Failed,
    }
}
