//! A TCP proxy on loopback that forwards connections and injects faults on demand.
//!
//! A graceful close is forwarded as a graceful close, and a broken connection as a reset, so that the link itself
//! never makes a truncated answer look complete.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::Serialize;
use tansyhall_platform_standin::listen_on_reused_address;
use tansyhall_testing::{ClientPartition, Partition, PartitionView, Partitions};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::sleep;

/// Maximum number of bytes that are forwarded at once.
const BUFFER_BYTES: usize = 16 << 10;
/// Maximum size of a piece on a link that splits data.
const MAX_PIECE_BYTES: usize = 48;
/// Number of bytes that a slow link forwards at once.
const SLOW_PIECE_BYTES: usize = 64;
/// Pause between two pieces on a slow link.
const SLOW_PAUSE: Duration = Duration::from_millis(10);

/// What a link does to the forwarded bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub enum LinkFault {
    /// Forwards them unchanged.
    None,
    /// Delays them.
    Delay {
        /// The delay in milliseconds.
        ms: u64,
    },
    /// Forwards them slowly.
    Throttle,
    /// Forwards them in pieces that are cut at arbitrary bytes.
    Split,
    /// Forwards nothing.
    Silence,
    /// Resets the connections.
    Reset,
}

impl LinkFault {
    /// Draws a random fault.
    pub fn draw(random: &mut ChaCha8Rng) -> Self {
        match random.random_range(0..6) {
            0 => Self::Delay {
                ms: random.random_range(1..200),
            },
            1 => Self::Throttle,
            2 | 3 => Self::Split,
            4 => Self::Silence,
            _ => Self::Reset,
        }
    }

    /// Returns the name of the fault.
    pub fn name(self) -> &'static str {
        match self {
            Self::None => "none",
            Self::Delay { .. } => "delay",
            Self::Throttle => "throttle",
            Self::Split => "split",
            Self::Silence => "silence",
            Self::Reset => "reset",
        }
    }
}

/// A running link. Dropping it stops accepting connections.
#[derive(Debug)]
pub struct Link {
    /// The address on which the link accepts connections.
    pub listen_address: SocketAddr,
    target: Arc<Mutex<SocketAddr>>,
    fault: watch::Sender<LinkFault>,
    is_open: watch::Sender<bool>,
    task: actix_rt::task::JoinHandle<()>,
}

impl Link {
    /// Opens a link to `target` on a free port.
    pub async fn open(target: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        Self::from_listener(listener, target, &Partitions::default())
    }

    /// Opens a link at this address, so that it can be closed and reopened there. The port should not be one that the
    /// system assigns to outgoing connections, because such a port can be taken while the link is closed. `partitions`
    /// says which clients are partitioned from the target.
    pub fn open_at(
        listen_address: SocketAddr,
        target: SocketAddr,
        partitions: &Partitions,
    ) -> std::io::Result<Self> {
        Self::from_listener(
            listen_on_reused_address(listen_address)?,
            target,
            partitions,
        )
    }

    fn from_listener(
        listener: TcpListener,
        target: SocketAddr,
        partitions: &Partitions,
    ) -> std::io::Result<Self> {
        let listen_address = listener.local_addr()?;
        let target = Arc::new(Mutex::new(target));
        let (fault, fault_receiver) = watch::channel(LinkFault::None);
        let (is_open, open_receiver) = watch::channel(true);
        let state = LinkState {
            target: Arc::clone(&target),
            fault: fault_receiver,
            is_open: open_receiver,
            partitions: partitions.view(),
        };
        let task = actix_rt::spawn(forward_connections(listener, state));
        Ok(Self {
            listen_address,
            target,
            fault,
            is_open,
            task,
        })
    }

    /// Forwards new connections to another target.
    pub fn set_target(&self, target: SocketAddr) {
        *self.target.lock() = target;
    }

    /// Resets all connections, and refuses new ones until the link is reopened.
    pub fn close(&self) {
        self.is_open.send_replace(false);
    }

    /// Accepts connections again at the same address.
    pub fn reopen(&self) {
        self.is_open.send_replace(true);
    }

    /// Sets what the link does to the forwarded bytes.
    pub fn set_fault(&self, fault: LinkFault) {
        self.fault.send_replace(fault);
    }
}

impl Drop for Link {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Makes closing the connection send a reset.
pub fn reset_on_close(stream: &TcpStream) {
    let _ = socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO));
}

/// The state that the tasks of a link share.
#[derive(Clone)]
struct LinkState {
    target: Arc<Mutex<SocketAddr>>,
    fault: watch::Receiver<LinkFault>,
    is_open: watch::Receiver<bool>,
    partitions: PartitionView,
}

/// Forwards connections, and stops listening while the link is closed.
async fn forward_connections(mut listener: TcpListener, mut state: LinkState) {
    let Ok(listen_address) = listener.local_addr() else {
        return;
    };
    loop {
        accept_while_open(listener, state.clone()).await;
        if state.is_open.wait_for(|is_open| *is_open).await.is_err() {
            return;
        }
        listener = listen_on_reused_address(listen_address)
            .expect("cannot listen on the port of the reopened link");
    }
}

async fn accept_while_open(listener: TcpListener, mut state: LinkState) {
    let shared = state.clone();
    let accepting = async {
        while let Ok((client, address)) = listener.accept().await {
            let partition = shared.partitions.of(address.ip());
            actix_rt::spawn(forward_connection(client, partition, shared.clone()));
        }
    };
    tokio::select! {
        () = accepting => {}
        _ = state.is_open.wait_for(|is_open| !is_open) => {}
    }
}

async fn forward_connection(
    mut client: TcpStream,
    mut partition: ClientPartition,
    state: LinkState,
) {
    let LinkState {
        target,
        mut fault,
        mut is_open,
        ..
    } = state;
    partition.wait_while_silent().await;
    if partition
        .current()
        .is_some_and(Partition::resets_new_connections)
    {
        return reset_on_close(&client);
    }
    let target = *target.lock();
    let _ = client.set_nodelay(true);
    let Ok(mut server) = TcpStream::connect(target).await else {
        return reset_on_close(&client);
    };
    let _ = server.set_nodelay(true);
    let ended = {
        let (client_read, client_write) = client.split();
        let (server_read, server_write) = server.split();
        let forward = forward_bytes(client_read, server_write, fault.clone(), partition.clone());
        let backward = forward_bytes(server_read, client_write, fault.clone(), partition.clone());
        let both = async {
            futures_util::future::try_join(forward, backward)
                .await
                .map(|_| ())
        };
        tokio::select! {
            ended = both => ended,
            _ = fault.wait_for(|fault| *fault == LinkFault::Reset) => Err(Broken),
            _ = is_open.wait_for(|is_open| !is_open) => Err(Broken),
            () = partition.wait_for_reset() => Err(Broken),
        }
    };
    if ended.is_err() {
        reset_on_close(&client);
        reset_on_close(&server);
    }
}

/// One of the two connections broke, or the link resets both.
struct Broken;

async fn forward_bytes(
    mut from: ReadHalf<'_>,
    mut to: WriteHalf<'_>,
    mut fault: watch::Receiver<LinkFault>,
    mut partition: ClientPartition,
) -> Result<(), Broken> {
    let mut random = ChaCha8Rng::seed_from_u64(rand::rng().next_u64());
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let count = from.read(&mut buffer).await.map_err(|_| Broken)?;
        partition.wait_while_silent().await;
        let current = fault.wait_for(|fault| *fault != LinkFault::Silence).await;
        let active_fault = current.map(|fault| *fault).unwrap_or(LinkFault::None);
        if count == 0 {
            return to.shutdown().await.map_err(|_| Broken);
        }
        write(&mut to, &buffer[..count], active_fault, &mut random)
            .await
            .map_err(|_| Broken)?;
    }
}

async fn write(
    to: &mut WriteHalf<'_>,
    mut bytes: &[u8],
    fault: LinkFault,
    random: &mut ChaCha8Rng,
) -> std::io::Result<()> {
    match fault {
        LinkFault::Delay { ms } => sleep(Duration::from_millis(ms)).await,
        LinkFault::Throttle => {
            for piece in bytes.chunks(SLOW_PIECE_BYTES) {
                to.write_all(piece).await?;
                sleep(SLOW_PAUSE).await;
            }
            return Ok(());
        }
        LinkFault::Split => {
            while !bytes.is_empty() {
                let length = random.random_range(1..=MAX_PIECE_BYTES).min(bytes.len());
                to.write_all(&bytes[..length]).await?;
                bytes = &bytes[length..];
                tokio::task::yield_now().await;
            }
            return Ok(());
        }
        _ => {}
    }
    to.write_all(bytes).await
}
