//! A TCP proxy between two processes with which a test can interrupt connections, make them silently drop
//! all data, or partition some clients from the server.

use std::net::{IpAddr, SocketAddr};
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::Arc;

use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use crate::partition::{ClientPartition, Partition, PartitionView, Partitions};

/// Size of the copy buffer, in bytes.
const BUFFER_BYTES: usize = 16 << 10;

/// A TCP proxy that forwards connections until it is cut.
pub struct Link {
    /// The address at which the proxy listens.
    pub listen_address: SocketAddr,
    is_cut: watch::Sender<bool>,
    blackhole_generation: watch::Sender<u64>,
    partitions: Partitions,
    counts: Arc<Counts>,
    task: actix_rt::task::JoinHandle<()>,
}

/// Counters over all connections of a link.
#[derive(Default)]
struct Counts {
    open: AtomicUsize,
    answered_bytes: AtomicU64,
    discarded_bytes: AtomicU64,
}

impl Link {
    /// Starts a proxy on a free port that forwards connections to `target`.
    pub fn open(target: SocketAddr) -> Self {
        let listener = free_listener().expect("a free port");
        let entrance = listener.local_addr().expect("a bound address");
        let (is_cut, cut_receiver) = watch::channel(false);
        let (blackhole_generation, generation_receiver) = watch::channel(0);
        let counts = Arc::<Counts>::default();
        let partitions = Partitions::default();
        let context = ConnectionContext {
            target,
            cut: cut_receiver,
            blackhole_generation: generation_receiver,
            partitions: partitions.view(),
            counts: Arc::clone(&counts),
        };
        let task = actix_rt::spawn(accept_connections(listener, context));
        Self {
            listen_address: entrance,
            is_cut,
            blackhole_generation,
            partitions,
            counts,
            task,
        }
    }

    /// Cuts or restores the link. A cut closes the open connections; new ones are accepted but not
    /// forwarded until the link is restored, so that their clients wait.
    pub fn set_cut(&self, is_cut: bool) {
        self.is_cut.send_replace(is_cut);
    }

    /// Black-holes the connections that are open now, permanently and in both directions: data sent on
    /// them is read and discarded, there is no reset, and neither end learns that the other has closed.
    /// Connections opened later are forwarded.
    pub fn blackhole_open_connections(&self) {
        self.blackhole_generation
            .send_modify(|blackhole_generation| *blackhole_generation += 1);
    }

    /// Partitions the clients with this source address from the server, or heals their partition with `None`.
    pub fn set_partition(&self, client: IpAddr, partition: Option<Partition>) {
        self.partitions.set(client, partition);
    }

    /// Returns the number of connections whose client end is open.
    pub fn open_connections(&self) -> usize {
        self.counts.open.load(Ordering::Relaxed)
    }

    /// Returns the number of bytes forwarded to clients.
    pub fn answered_bytes(&self) -> u64 {
        self.counts.answered_bytes.load(Ordering::Relaxed)
    }

    /// Returns the number of bytes that clients have sent on black-holed connections.
    pub fn discarded_bytes(&self) -> u64 {
        self.counts.discarded_bytes.load(Ordering::Relaxed)
    }
}

impl Drop for Link {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// State of the link that each connection task needs.
#[derive(Clone)]
struct ConnectionContext {
    target: SocketAddr,
    cut: watch::Receiver<bool>,
    blackhole_generation: watch::Receiver<u64>,
    partitions: PartitionView,
    counts: Arc<Counts>,
}

/// Counts a connection as open until dropped.
struct OpenConnection(Arc<Counts>);

impl OpenConnection {
    fn register(counts: &Arc<Counts>) -> Self {
        counts.open.fetch_add(1, Ordering::Relaxed);
        Self(Arc::clone(counts))
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.0.open.fetch_sub(1, Ordering::Relaxed);
    }
}

fn free_listener() -> std::io::Result<TcpListener> {
    let listener = std::net::TcpListener::bind("127.0.0.1:0")?;
    listener.set_nonblocking(true)?;
    TcpListener::from_std(listener)
}

async fn accept_connections(listener: TcpListener, context: ConnectionContext) {
    while let Ok((client, address)) = listener.accept().await {
        let partition = context.partitions.of(address.ip());
        actix_rt::spawn(proxy_until_cut(client, partition, context.clone()));
    }
}

async fn proxy_until_cut(
    client: TcpStream,
    partition: ClientPartition,
    mut context: ConnectionContext,
) {
    // Waiting fails when the link has been dropped, which means that the test has ended.
    if context.cut.wait_for(|is_cut| !is_cut).await.is_err() {
        return;
    }
    let mut cut = context.cut.clone();
    tokio::select! {
        () = proxy_connection(client, partition, context) => {}
        _ = cut.wait_for(|is_cut| *is_cut) => {}
    }
}

async fn proxy_connection(
    mut client: TcpStream,
    mut partition: ClientPartition,
    context: ConnectionContext,
) {
    let mut blackhole_generation = context.blackhole_generation.clone();
    let initial_generation = *blackhole_generation.borrow_and_update();
    let open = OpenConnection::register(&context.counts);
    partition.wait_while_silent().await;
    let current = partition.current();
    if current.is_some_and(Partition::resets_new_connections) {
        let _ = client.set_zero_linger();
        return;
    }
    let Ok(mut server) = TcpStream::connect(context.target).await else {
        return;
    };
    let forwarded = partition.clone();
    let copying = copy_both_ways(&mut client, &mut server, forwarded, &context.counts, open);
    let open = tokio::select! {
        () = copying => return,
        () = partition.wait_for_reset() => {
            let _ = client.set_zero_linger();
            let _ = server.set_zero_linger();
            return;
        }
        changed = blackhole_generation.wait_for(|blackhole_generation| *blackhole_generation > initial_generation) => match changed {
            Ok(_) => OpenConnection::register(&context.counts),
            Err(_) => return,
        },
    };
    // Keeps both sockets open until the client has closed its end and the test is over.
    discard_until_closed(&mut client, Some(&context.counts.discarded_bytes)).await;
    drop(open);
    discard_until_closed(&mut server, None).await;
    let _ = blackhole_generation.wait_for(|_| false).await;
}

async fn copy_both_ways(
    client: &mut TcpStream,
    server: &mut TcpStream,
    partition: ClientPartition,
    counts: &Counts,
    open: OpenConnection,
) {
    let (client_read, client_write) = client.split();
    let (server_read, server_write) = server.split();
    let for_requests = partition.clone();
    let requests = async {
        copy_until_closed(client_read, server_write, for_requests, None).await;
        drop(open);
    };
    let answered_bytes = Some(&counts.answered_bytes);
    let answers = copy_until_closed(server_read, client_write, partition, answered_bytes);
    tokio::join!(requests, answers);
}

/// Copies bytes until `from` reaches its end, then shuts down `to`.
async fn copy_until_closed(
    mut from: impl AsyncRead + Unpin,
    mut to: impl AsyncWrite + Unpin,
    mut partition: ClientPartition,
    count: Option<&AtomicU64>,
) {
    let mut buffer = vec![0; BUFFER_BYTES];
    while let Ok(length @ 1..) = from.read(&mut buffer).await {
        partition.wait_while_silent().await;
        if to.write_all(&buffer[..length]).await.is_err() {
            return;
        }
        add_bytes(count, length);
    }
    partition.wait_while_silent().await;
    // Fails if the other end is closed already.
    let _ = to.shutdown().await;
}

/// Reads and discards data until the peer closes the connection.
async fn discard_until_closed(end: &mut TcpStream, count: Option<&AtomicU64>) {
    let mut buffer = vec![0; BUFFER_BYTES];
    while let Ok(length @ 1..) = end.read(&mut buffer).await {
        add_bytes(count, length);
    }
}

fn add_bytes(count: Option<&AtomicU64>, length: usize) {
    if let Some(count) = count {
        count.fetch_add(length as u64, Ordering::Relaxed);
    }
}
