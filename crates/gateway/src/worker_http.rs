//! HTTP connections to workers. A worker in trouble may send bytes without end: its connection must not occupy the thread
//! that serves other requests as well, nor wait forever for an answer behind interim ones.

use std::future::poll_fn;
use std::io;
use std::pin::Pin;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::task::{ready, Context, Poll};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::Full;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, ReadBuf};
use tokio::sync::{watch, Notify};
use tokio::time::{timeout, timeout_at, Instant};

/// Bytes that a connection reads before other tasks of its thread run.
const READ_QUOTA_BYTES: usize = 16 << 10;
/// Maximum number of interim answers (status 1xx) to one request. Workers send at most a few.
const MAX_INTERIM_ANSWERS: usize = 16;

/// Number of bytes after the last answer that are kept, unless one read brings more.
const MAX_SURPLUS_BYTES: usize = 4 << 10;
/// Time in which the rest of what a worker has sent at once arrives.
const SURPLUS_TIME: Duration = Duration::from_millis(20);

/// An HTTP connection to a worker.
#[derive(Debug)]
pub struct HttpConnection {
    /// Sends requests on the connection.
    pub sender: SendRequest<Full<Bytes>>,
    /// What has arrived after the last answer.
    pub surplus: Surplus,
}

/// The bytes after the last answer on a connection. The connection ends when any arrive.
#[derive(Debug)]
pub struct Surplus(watch::Receiver<Option<Bytes>>);

impl Surplus {
    /// Waits for bytes that have been sent together with the answer, until `deadline`. Returns none if the connection is
    /// still open then, or has ended without any.
    pub async fn receive(&mut self, deadline: Instant) -> Bytes {
        let received = timeout_at(deadline, self.0.wait_for(Option::is_some)).await;
        match received {
            Ok(Ok(bytes)) => bytes.clone().unwrap_or_default(),
            Ok(Err(_)) | Err(_) => Bytes::new(),
        }
    }

    /// Returns the time by which bytes that were sent together with an answer arrive, if the answer ends now.
    pub fn deadline() -> Instant {
        Instant::now() + SURPLUS_TIME * 2
    }
}

/// Starts the HTTP connection on a stream to a worker.
pub async fn start<S>(stream: S) -> hyper::Result<HttpConnection>
where
    S: AsyncRead + AsyncWrite + Unpin + Send + 'static,
{
    let stream = TokioIo::new(FairStream::new(stream));
    let (sender, mut driver) = hyper::client::conn::http1::handshake(stream).await?;
    let (ended, surplus) = watch::channel(None);
    actix_rt::spawn(async move {
        let driven = poll_fn(|context| driver.poll_without_shutdown(context)).await;
        let parts = driver.into_parts();
        let mut stream = parts.io.into_inner();
        // Nobody waits if the connection was closed here.
        if !ended.is_closed() {
            let surplus = read_surplus(&parts.read_buf, &mut stream).await;
            ended.send_replace(Some(surplus));
        }
        match driven {
            Ok(()) => drop(stream.shutdown().await),
            Err(error) => log::debug!("connection to a worker failed: {error}"),
        }
    });
    Ok(HttpConnection {
        sender,
        surplus: Surplus(surplus),
    })
}

/// Reads on after the first bytes of a surplus, if there are any.
async fn read_surplus<S: AsyncRead + Unpin>(first: &[u8], stream: &mut S) -> Bytes {
    let kept = first.len().min(MAX_SURPLUS_BYTES);
    let mut surplus = BytesMut::from(&first[..kept]);
    let reading = async {
        while !surplus.is_empty() && surplus.len() < MAX_SURPLUS_BYTES {
            if !matches!(stream.read_buf(&mut surplus).await, Ok(count) if count > 0) {
                break;
            }
        }
    };
    let _ = timeout(SURPLUS_TIME, reading).await;
    surplus.freeze()
}

/// Counts the interim answers to a request.
#[derive(Debug, Default)]
pub struct InterimAnswers {
    count: AtomicUsize,
    exceeded: Notify,
}

impl InterimAnswers {
    /// Counts the interim answers to this request from now on.
    pub fn count_for(request: &mut hyper::Request<Full<Bytes>>) -> Arc<Self> {
        let interim_answers = Arc::<Self>::default();
        let counted = Arc::clone(&interim_answers);
        hyper::ext::on_informational(request, move |_| counted.count_one());
        interim_answers
    }

    fn count_one(&self) {
        if self.count.fetch_add(1, Ordering::Relaxed) == MAX_INTERIM_ANSWERS {
            self.exceeded.notify_one();
        }
    }

    /// Waits until there are too many.
    pub async fn exceed_limit(&self) {
        self.exceeded.notified().await;
    }
}

/// A stream that yields to other tasks after it has read [`READ_QUOTA_BYTES`], also if more bytes are available. Otherwise
/// the HTTP library would process all that a fast sender sends, up to the scheduler's budget of reads.
#[derive(Debug)]
struct FairStream<S> {
    stream: S,
    read_bytes: usize,
}

impl<S> FairStream<S> {
    fn new(stream: S) -> Self {
        Self {
            stream,
            read_bytes: 0,
        }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for FairStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.read_bytes >= READ_QUOTA_BYTES {
            self.read_bytes = 0;
            context.waker().wake_by_ref();
            return Poll::Pending;
        }
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        self.read_bytes += buffer.filled().len() - before;
        Poll::Ready(Ok(()))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for FairStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
