//! The sockets at which other nodes reach this one: UDP and TCP on the same port.

use std::net::{SocketAddr, TcpListener, UdpSocket};

use anyhow::{bail, Context, Result};
use futures_util::stream::{self, Stream};
use tansyhall_proto::MAX_DATAGRAM_BYTES;

/// Attempts to find a port that is free for both protocols if the address has port 0.
const MAX_PORT_ATTEMPTS: usize = 16;

/// The UDP socket and the TCP listener, both bound.
pub struct PeerTransport {
    pub(super) datagram_socket: UdpSocket,
    pub(super) request_listener: TcpListener,
    address: SocketAddr,
}

impl PeerTransport {
    /// Binds both sockets to an address; port 0 selects a port that is free for both.
    pub fn bind(address: SocketAddr) -> Result<Self> {
        let attempts = if address.port() == 0 {
            MAX_PORT_ATTEMPTS
        } else {
            1
        };
        for attempt in 1..=attempts {
            match Self::bind_once(address) {
                Ok(transport) => return Ok(transport),
                Err(error) if attempt == attempts => return Err(error),
                Err(_) => {}
            }
        }
        bail!("no port on {address} is free for both UDP and TCP")
    }

    fn bind_once(address: SocketAddr) -> Result<Self> {
        let context = || format!("cannot listen on {address} for peers");
        let request_listener = TcpListener::bind(address).with_context(context)?;
        let bound = request_listener.local_addr().with_context(context)?;
        let datagram_socket = UdpSocket::bind(bound).with_context(context)?;
        datagram_socket
            .set_nonblocking(true)
            .with_context(context)?;
        request_listener
            .set_nonblocking(true)
            .with_context(context)?;
        Ok(Self {
            datagram_socket,
            request_listener,
            address: bound,
        })
    }

    /// Returns the address at which other nodes reach this one.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

/// A received datagram, still encoded.
pub(super) struct Datagram {
    pub(super) from: SocketAddr,
    pub(super) bytes: Vec<u8>,
}

/// Returns a stream of the received datagrams. Errors of the socket, such as one for an unreachable
/// receiver of an earlier datagram, are ignored.
pub(super) fn receive_all(
    socket: std::rc::Rc<tokio::net::UdpSocket>,
) -> impl Stream<Item = Datagram> {
    let buffer = vec![0; MAX_DATAGRAM_BYTES];
    stream::unfold((socket, buffer), |(socket, mut buffer)| async move {
        loop {
            if let Ok((length, from)) = socket.recv_from(&mut buffer).await {
                let bytes = buffer[..length].to_vec();
                return Some((Datagram { from, bytes }, (socket, buffer)));
            }
            tokio::task::yield_now().await;
        }
    })
}
