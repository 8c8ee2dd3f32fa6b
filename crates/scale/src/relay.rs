//! A relay between one hollow node and a stand-in, which counts what passes.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;

use anyhow::Result;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};

use crate::stand_ins::ANY_PORT;

const BUFFER_BYTES: usize = 16 * 1_024;
/// How the calls begin that are made here. A call is no longer than a buffer and is written at
/// once, so that its beginning is that of a read.
const METHODS: [&[u8]; 2] = [b"POST ", b"GET "];

/// What has passed.
#[derive(Debug, Default)]
pub(crate) struct RelayCounts {
    /// Bytes in both directions.
    bytes: AtomicU64,
    /// Calls made.
    calls: AtomicU64,
}

impl RelayCounts {
    pub(crate) fn bytes(&self) -> u64 {
        self.bytes.load(Ordering::Relaxed)
    }

    pub(crate) fn calls(&self) -> u64 {
        self.calls.load(Ordering::Relaxed)
    }
}

/// A relay that runs for as long as the current system does.
#[derive(Clone)]
pub(crate) struct Relay {
    pub(crate) address: SocketAddr,
    pub(crate) counts: Arc<RelayCounts>,
}

impl Relay {
    pub(crate) async fn start(to: SocketAddr) -> Result<Self> {
        let listener = TcpListener::bind(ANY_PORT).await?;
        let address = listener.local_addr()?;
        let counts = Arc::new(RelayCounts::default());
        actix_rt::spawn(accept(listener, to, Arc::clone(&counts)));
        Ok(Self { address, counts })
    }
}

async fn accept(listener: TcpListener, to: SocketAddr, counts: Arc<RelayCounts>) {
    while let Ok((near, _)) = listener.accept().await {
        actix_rt::spawn(connect(near, to, Arc::clone(&counts)));
    }
}

/// Relays one connection until either side ends it.
async fn connect(near: TcpStream, to: SocketAddr, counts: Arc<RelayCounts>) -> std::io::Result<()> {
    let far = TcpStream::connect(to).await?;
    near.set_nodelay(true)?;
    far.set_nodelay(true)?;
    let (near_read, near_write) = near.into_split();
    let (far_read, far_write) = far.into_split();
    tokio::select! {
        ended = copy(near_read, far_write, &counts) => ended,
        ended = copy(far_read, near_write, &counts) => ended,
    }
}

async fn copy(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    counts: &RelayCounts,
) -> std::io::Result<()> {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let length = from.read(&mut buffer).await?;
        if length == 0 {
            return Ok(());
        }
        let chunk = &buffer[..length];
        counts.bytes.fetch_add(length as u64, Ordering::Relaxed);
        if METHODS.iter().any(|method| chunk.starts_with(method)) {
            counts.calls.fetch_add(1, Ordering::Relaxed);
        }
        to.write_all(chunk).await?;
    }
}
