//! A link between two processes that a test can cut or silence: connections that come to one address
//! are passed on to another.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::Arc;

use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Bytes that are passed on at once.
const BUFFER_BYTES: usize = 16 << 10;

/// A link that passes on connections until it is cut.
pub struct Link {
    /// Where to connect.
    pub entrance: SocketAddr,
    is_cut: watch::Sender<bool>,
    silences: watch::Sender<u64>,
    counts: Arc<Counts>,
    task: actix_rt::task::JoinHandle<()>,
}

/// What has passed so far.
#[derive(Default)]
struct Counts {
    open: AtomicUsize,
    answered_bytes: AtomicU64,
    lost_bytes: AtomicU64,
}

impl Link {
    /// Opens a link to `exit` on a free port.
    pub fn open(exit: SocketAddr) -> Self {
        let listener = free_listener().expect("a free port");
        let entrance = listener.local_addr().expect("a bound address");
        let (is_cut, seen_cut) = watch::channel(false);
        let (silences, seen_silences) = watch::channel(0);
        let counts = Arc::<Counts>::default();
        let passage = Passage {
            exit,
            cut: seen_cut,
            silences: seen_silences,
            counts: Arc::clone(&counts),
        };
        let task = actix_rt::spawn(pass_connections(listener, passage));
        Self {
            entrance,
            is_cut,
            silences,
            counts,
            task,
        }
    }

    /// Cuts the link or mends it. Connections in progress end when it is cut, and new ones are
    /// accepted but not passed on, so that their callers wait.
    pub fn set_cut(&self, is_cut: bool) {
        self.is_cut.send_replace(is_cut);
    }

    /// Makes the connections that are open now silent for good, both ways and without a reset: what
    /// is sent on them is taken and lost, and neither end hears that the other has closed. New
    /// connections pass.
    pub fn silence_open(&self) {
        self.silences.send_modify(|silences| *silences += 1);
    }

    /// Connections whose near end is open.
    pub fn open_connections(&self) -> usize {
        self.counts.open.load(Ordering::Relaxed)
    }

    /// Bytes that have come back to those who connected.
    pub fn answered_bytes(&self) -> u64 {
        self.counts.answered_bytes.load(Ordering::Relaxed)
    }

    /// Bytes that those who connected have sent on silent connections.
    pub fn lost_bytes(&self) -> u64 {
        self.counts.lost_bytes.load(Ordering::Relaxed)
    }
}

impl Drop for Link {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// What a connection needs to know of its link.
#[derive(Clone)]
struct Passage {
    exit: SocketAddr,
    cut: watch::Receiver<bool>,
    silences: watch::Receiver<u64>,
    counts: Arc<Counts>,
}

/// Counts a connection as open until it is dropped.
struct OpenConnection(Arc<Counts>);

impl OpenConnection {
    fn begin(counts: &Arc<Counts>) -> Self {
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

async fn pass_connections(listener: TcpListener, passage: Passage) {
    while let Ok((near, _)) = listener.accept().await {
        actix_rt::spawn(pass_connection(near, passage.clone()));
    }
}

async fn pass_connection(near: TcpStream, mut passage: Passage) {
    // The test that holds the other end of `cut` has ended when waiting fails.
    if passage.cut.wait_for(|is_cut| !is_cut).await.is_err() {
        return;
    }
    let mut cut = passage.cut.clone();
    tokio::select! {
        () = pass(near, passage) => {}
        _ = cut.wait_for(|is_cut| *is_cut) => {}
    }
}

async fn pass(mut near: TcpStream, passage: Passage) {
    let mut silences = passage.silences.clone();
    let before = *silences.borrow_and_update();
    let open = OpenConnection::begin(&passage.counts);
    let Ok(mut far) = TcpStream::connect(passage.exit).await else {
        return;
    };
    let passing = pass_both_ways(&mut near, &mut far, &passage.counts, open);
    let open = tokio::select! {
        () = passing => return,
        changed = silences.wait_for(|silences| *silences > before) => match changed {
            Ok(_) => OpenConnection::begin(&passage.counts),
            Err(_) => return,
        },
    };
    // Both ends stay open until the near one is closed and the test is over.
    lose(&mut near, Some(&passage.counts.lost_bytes)).await;
    drop(open);
    lose(&mut far, None).await;
    let _ = silences.wait_for(|_| false).await;
}

async fn pass_both_ways(
    near: &mut TcpStream,
    far: &mut TcpStream,
    counts: &Counts,
    open: OpenConnection,
) {
    let (near_read, near_write) = near.split();
    let (far_read, far_write) = far.split();
    let forth = async {
        pass_on(near_read, far_write, None).await;
        drop(open);
    };
    let back = pass_on(far_read, near_write, Some(&counts.answered_bytes));
    tokio::join!(forth, back);
}

/// Passes bytes on until one end is closed, which the other is told.
async fn pass_on(
    mut from: impl AsyncRead + Unpin,
    mut to: impl AsyncWrite + Unpin,
    count: Option<&AtomicU64>,
) {
    let mut buffer = vec![0; BUFFER_BYTES];
    while let Ok(length @ 1..) = from.read(&mut buffer).await {
        if to.write_all(&buffer[..length]).await.is_err() {
            return;
        }
        add(count, length);
    }
    // The other end may be closed already.
    let _ = to.shutdown().await;
}

/// Takes what is sent until the end is closed.
async fn lose(end: &mut TcpStream, count: Option<&AtomicU64>) {
    let mut buffer = vec![0; BUFFER_BYTES];
    while let Ok(length @ 1..) = end.read(&mut buffer).await {
        add(count, length);
    }
}

fn add(count: Option<&AtomicU64>, length: usize) {
    if let Some(count) = count {
        count.fetch_add(length as u64, Ordering::Relaxed);
    }
}
