//! Opens TCP connections to workers.

use std::io;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use futures_util::future::{BoxFuture, FutureExt};
use tansyhall_forwarding::DirectOutcome;
use tokio::net::{TcpSocket, TcpStream};
use tokio::time::timeout;

/// Maximum time to establish a connection.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Time after which the system closes a connection whose sent bytes are not acknowledged.
pub const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(3);

/// Opens direct connections to workers.
pub trait WorkerConnector: Send + Sync {
    /// Opens a connection to a worker. The attempt ends within [`CONNECT_TIMEOUT`].
    fn connect(&self, address: SocketAddr) -> BoxFuture<'static, io::Result<TcpStream>>;
}

/// Opens connections from a local address.
#[derive(Debug, Clone, Copy, Default)]
pub struct TcpConnector {
    source: Option<IpAddr>,
}

impl TcpConnector {
    /// Creates a connector with a local address; the system chooses it if there is none.
    pub fn from_address(source: Option<IpAddr>) -> Self {
        Self { source }
    }
}

impl WorkerConnector for TcpConnector {
    fn connect(&self, address: SocketAddr) -> BoxFuture<'static, io::Result<TcpStream>> {
        let connecting = connect(address, self.source);
        async move {
            let connected = timeout(CONNECT_TIMEOUT, connecting).await;
            let stream = connected.map_err(|_| timed_out())??;
            set_options(&stream, UNACKNOWLEDGED_TIMEOUT);
            Ok(stream)
        }
        .boxed()
    }
}

fn timed_out() -> io::Error {
    let description = "connection was not established in time";
    io::Error::new(io::ErrorKind::TimedOut, description)
}

/// Opens a connection to a worker from the local address `source`. The system chooses the local address if there is
/// none, or if the worker's address is of another family.
pub async fn connect(address: SocketAddr, source: Option<IpAddr>) -> io::Result<TcpStream> {
    match source.filter(|source| source.is_ipv4() == address.is_ipv4()) {
        Some(source) => connect_from(source, address).await,
        None => TcpStream::connect(address).await,
    }
}

async fn connect_from(source: IpAddr, address: SocketAddr) -> io::Result<TcpStream> {
    let socket = match source {
        IpAddr::V4(_) => TcpSocket::new_v4()?,
        IpAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.bind(SocketAddr::new(source, 0))?;
    socket.connect(address).await
}

/// Waits for a time in which a connection that leads nowhere is reset. Some middleboxes accept connections that they cannot
/// forward.
pub async fn check_alive(stream: &TcpStream, time: Duration) -> io::Result<()> {
    match timeout(time, stream.peek(&mut [0])).await {
        Err(_) | Ok(Ok(1..)) => Ok(()),
        Ok(Ok(0) | Err(_)) => Err(io::Error::new(
            io::ErrorKind::ConnectionReset,
            "connection was reset when it was established",
        )),
    }
}

/// Sets the options of connections that carry requests to workers, directly or through a relay. The system closes the
/// connection if the other end accepts no bytes for `unacknowledged_timeout`.
pub fn set_options(stream: &TcpStream, unacknowledged_timeout: Duration) {
    let _ = stream.set_nodelay(true);
    let _ = socket2::SockRef::from(stream).set_tcp_user_timeout(Some(unacknowledged_timeout));
}

/// Returns the result of a connection attempt.
pub fn outcome_of(connected: &io::Result<TcpStream>) -> DirectOutcome {
    match connected {
        Ok(_) => DirectOutcome::Connected,
        Err(error) if error.kind() == io::ErrorKind::ConnectionRefused => DirectOutcome::Refused,
        Err(error) if error.kind() == io::ErrorKind::ConnectionReset => DirectOutcome::Reset,
        Err(_) => DirectOutcome::Failed,
    }
}
