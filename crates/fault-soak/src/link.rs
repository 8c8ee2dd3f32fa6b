//! A link on loopback that passes connections on, and harms them on demand.
//!
//! An end in good order is passed on as one, and a break as a reset, so that the link itself never makes a
//! broken answer look whole.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::Serialize;
use tansyhall_platform_standin::listen_on_reused_address;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::sleep;

/// Bytes that are passed on in one step.
const STEP_BYTES: usize = 16 << 10;
/// The most bytes of a split piece.
const MAX_PIECE_BYTES: usize = 48;
/// Bytes of a step of a slow link.
const SLOW_STEP_BYTES: usize = 64;
/// Pause between two steps of a slow link.
const SLOW_PAUSE: Duration = Duration::from_millis(10);

/// What a link does to bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub enum LinkFault {
    /// Nothing.
    None,
    /// They come later.
    Delay {
        /// How much later.
        ms: u64,
    },
    /// They come slowly.
    Throttle,
    /// They come in pieces cut at any byte.
    Split,
    /// None come.
    Silence,
    /// Connections that carry some are reset.
    Reset,
}

impl LinkFault {
    /// Draws a fault.
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

    /// Its name.
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

/// A link; it ends when this is dropped.
#[derive(Debug)]
pub struct Link {
    /// Where to connect.
    pub entrance: SocketAddr,
    exit: Arc<Mutex<SocketAddr>>,
    fault: watch::Sender<LinkFault>,
    is_open: watch::Sender<bool>,
    task: actix_rt::task::JoinHandle<()>,
}

impl Link {
    /// Opens a link to `exit` on a free port.
    pub async fn open(exit: SocketAddr) -> std::io::Result<Self> {
        Self::of(TcpListener::bind("127.0.0.1:0").await?, exit)
    }

    /// Opens a link that may be closed and opened again at this entrance; a port that the system gives to
    /// outgoing connections may be taken meanwhile.
    pub fn open_at(entrance: SocketAddr, exit: SocketAddr) -> std::io::Result<Self> {
        Self::of(listen_on_reused_address(entrance)?, exit)
    }

    fn of(listener: TcpListener, exit: SocketAddr) -> std::io::Result<Self> {
        let entrance = listener.local_addr()?;
        let exit = Arc::new(Mutex::new(exit));
        let (fault, seen) = watch::channel(LinkFault::None);
        let (is_open, open_seen) = watch::channel(true);
        let state = LinkState {
            exit: Arc::clone(&exit),
            fault: seen,
            is_open: open_seen,
        };
        let task = actix_rt::spawn(pass_connections(listener, state));
        Ok(Self {
            entrance,
            exit,
            fault,
            is_open,
            task,
        })
    }

    /// Leads new connections to another place.
    pub fn lead_to(&self, exit: SocketAddr) {
        *self.exit.lock() = exit;
    }

    /// Resets all connections, and refuses new ones until it is opened again.
    pub fn close(&self) {
        self.is_open.send_replace(false);
    }

    /// Takes connections again, at the same entrance.
    pub fn open_again(&self) {
        self.is_open.send_replace(true);
    }

    /// Changes what it does to bytes.
    pub fn set_fault(&self, fault: LinkFault) {
        self.fault.send_replace(fault);
    }
}

impl Drop for Link {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Makes the end of a connection a reset.
pub fn reset_on_close(stream: &TcpStream) {
    let _ = socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO));
}

/// What the tasks of a link look at.
#[derive(Clone)]
struct LinkState {
    exit: Arc<Mutex<SocketAddr>>,
    fault: watch::Receiver<LinkFault>,
    is_open: watch::Receiver<bool>,
}

/// Passes connections on, and leaves the entrance while the link is closed.
async fn pass_connections(mut listener: TcpListener, mut state: LinkState) {
    let Ok(entrance) = listener.local_addr() else {
        return;
    };
    loop {
        accept_while_open(listener, state.clone()).await;
        if state.is_open.wait_for(|is_open| *is_open).await.is_err() {
            return;
        }
        listener = listen_on_reused_address(entrance).expect("the link's port is free");
    }
}

async fn accept_while_open(listener: TcpListener, mut state: LinkState) {
    let passed = state.clone();
    let accepting = async {
        while let Ok((near, _)) = listener.accept().await {
            actix_rt::spawn(pass_connection(near, passed.clone()));
        }
    };
    tokio::select! {
        () = accepting => {}
        _ = state.is_open.wait_for(|is_open| !is_open) => {}
    }
}

async fn pass_connection(mut near: TcpStream, state: LinkState) {
    let LinkState {
        exit,
        mut fault,
        mut is_open,
    } = state;
    let exit = *exit.lock();
    let _ = near.set_nodelay(true);
    let Ok(mut far) = TcpStream::connect(exit).await else {
        return reset_on_close(&near);
    };
    let _ = far.set_nodelay(true);
    let ended = {
        let (near_read, near_write) = near.split();
        let (far_read, far_write) = far.split();
        let there = pass(near_read, far_write, fault.clone());
        let back = pass(far_read, near_write, fault.clone());
        let both = async {
            futures_util::future::try_join(there, back)
                .await
                .map(|_| ())
        };
        tokio::select! {
            ended = both => ended,
            _ = fault.wait_for(|fault| *fault == LinkFault::Reset) => Err(Broken),
            _ = is_open.wait_for(|is_open| !is_open) => Err(Broken),
        }
    };
    if ended.is_err() {
        reset_on_close(&near);
        reset_on_close(&far);
    }
}

/// One of the two connections broke, or the link breaks them.
struct Broken;

async fn pass(
    mut from: ReadHalf<'_>,
    mut to: WriteHalf<'_>,
    mut fault: watch::Receiver<LinkFault>,
) -> Result<(), Broken> {
    let mut random = ChaCha8Rng::seed_from_u64(rand::rng().next_u64());
    let mut step = vec![0; STEP_BYTES];
    loop {
        let count = from.read(&mut step).await.map_err(|_| Broken)?;
        let heard = fault.wait_for(|fault| *fault != LinkFault::Silence).await;
        let harm = heard.map(|fault| *fault).unwrap_or(LinkFault::None);
        if count == 0 {
            return to.shutdown().await.map_err(|_| Broken);
        }
        write(&mut to, &step[..count], harm, &mut random)
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
            for piece in bytes.chunks(SLOW_STEP_BYTES) {
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
