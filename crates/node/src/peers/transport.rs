//! The sockets that other nodes reach this one by: UDP and TCP on the same port.

use std::net::{SocketAddr, TcpListener, UdpSocket};

use anyhow::{bail, Context, Result};
use futures_util::stream::{self, Stream};
use tansyhall_proto::MAX_DATAGRAM_BYTES;

/// Tries to find a port that is free for both protocols, when any port will do.
const PORT_TRIES: usize = 16;

/// Both sockets, bound.
pub struct PeerTransport {
    pub(super) datagrams: UdpSocket,
    pub(super) pulls: TcpListener,
    address: SocketAddr,
}

impl PeerTransport {
    /// Binds both sockets to an address; port 0 takes one that is free for both.
    pub fn bind(address: SocketAddr) -> Result<Self> {
        let tries = if address.port() == 0 { PORT_TRIES } else { 1 };
        for attempt in 1..=tries {
            match Self::bind_once(address) {
                Ok(transport) => return Ok(transport),
                Err(error) if attempt == tries => return Err(error),
                Err(_) => {}
            }
        }
        bail!("no port on {address} is free for both UDP and TCP")
    }

    fn bind_once(address: SocketAddr) -> Result<Self> {
        let context = || format!("cannot listen on {address} for peers");
        let pulls = TcpListener::bind(address).with_context(context)?;
        let bound = pulls.local_addr().with_context(context)?;
        let datagrams = UdpSocket::bind(bound).with_context(context)?;
        datagrams.set_nonblocking(true).with_context(context)?;
        pulls.set_nonblocking(true).with_context(context)?;
        Ok(Self {
            datagrams,
            pulls,
            address: bound,
        })
    }

    /// Where other nodes reach this one.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

/// A datagram as it came.
pub(super) struct Datagram {
    pub(super) from: SocketAddr,
    pub(super) bytes: Vec<u8>,
}

/// Every datagram that arrives. Errors of the socket, such as an unreachable receiver of an
/// earlier datagram, are passed over.
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
