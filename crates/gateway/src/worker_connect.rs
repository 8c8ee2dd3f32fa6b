//! Opens TCP connections to workers.

use std::io;
use std::net::{IpAddr, SocketAddr};

use tokio::net::{TcpSocket, TcpStream};

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
