//! A caller's connection. It hands bytes to the HTTP parser only as far as [`ReadAhead`] allows, and bounds the length of
//! heads and the time in which they must be complete.

use std::cell::{Cell, RefCell};
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll, Waker};
use std::time::Duration;

use prometheus::IntCounter;
use tansyhall_memory_budget::{Allowance, BodyLength, ReadAhead, Reservation};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{sleep, Instant, Sleep};

/// Memory that an open connection takes, in bytes: two buffers of the server and its task.
pub const CONNECTION_BYTES: usize = 20 << 10;
/// Length of a head that fits into the connection's buffers, in bytes.
const SHORT_HEAD_BYTES: usize = 2 << 10;
const HEAD_TOO_LONG: &[u8] =
    b"HTTP/1.1 431 Request Header Fields Too Large\r\nconnection: close\r\ncontent-length: 0\r\n\r\n";
const HEAD_TOO_LATE: &[u8] =
    b"HTTP/1.1 408 Request Timeout\r\nconnection: close\r\ncontent-length: 0\r\n\r\n";

/// Limits on the heads of requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HeadLimits {
    /// The maximum length in bytes.
    pub max_bytes: usize,
    /// The time from the first byte to the last.
    pub timeout: Duration,
}

/// Tells a response when all that the server has taken of it has been written to the connection.
#[derive(Default)]
pub struct Flushing {
    /// The task of a response that waits for a flush.
    waiting: RefCell<Option<Waker>>,
    is_flushed: Cell<bool>,
}

impl Flushing {
    /// Waits for the end of a flush that has not begun yet. The server flushes after each poll of a response's body.
    pub fn poll_flushed(&self, context: &mut Context<'_>) -> Poll<()> {
        if self.is_flushed.take() {
            return Poll::Ready(());
        }
        *self.waiting.borrow_mut() = Some(context.waker().clone());
        Poll::Pending
    }

    fn record_flush(&self) {
        if let Some(waker) = self.waiting.borrow_mut().take() {
            self.is_flushed.set(true);
            waker.wake();
        }
    }
}

/// The reading side of a connection, shared by its stream and its requests.
pub struct Reading {
    ahead: RefCell<ReadAhead>,
    /// The task that waits until the request in progress has advanced.
    waiting: Cell<Option<Waker>>,
}

impl Default for Reading {
    fn default() -> Self {
        Self::new(usize::MAX)
    }
}

impl Reading {
    fn new(max_head_bytes: usize) -> Self {
        Self {
            ahead: RefCell::new(ReadAhead::new(max_head_bytes)),
            waiting: Cell::new(None),
        }
    }

    /// Begins a request with a body of this length, or continues it with the rest after all parts so far were taken.
    pub fn expect_body(&self, rest: BodyLength) {
        self.ahead.borrow_mut().expect_body(rest);
        self.wake();
    }

    fn end_request(&self) {
        self.ahead.borrow_mut().end_request();
        self.wake();
    }

    fn wake(&self) {
        if let Some(waker) = self.waiting.take() {
            waker.wake();
        }
    }
}

/// A request in progress on a connection. The next one is read after it is dropped.
pub struct RequestInProgress(Rc<Reading>);

impl RequestInProgress {
    /// Begins a request with a body of this length.
    pub fn begin(reading: Rc<Reading>, body: BodyLength) -> Self {
        reading.expect_body(body);
        Self(reading)
    }

    /// Returns the reading side of its connection.
    pub fn reading(&self) -> &Reading {
        &self.0
    }
}

impl Drop for RequestInProgress {
    fn drop(&mut self) {
        self.0.end_request();
    }
}

/// A caller's connection.
pub struct CallerStream {
    stream: TcpStream,
    reading: Rc<Reading>,
    flushing: Rc<Flushing>,
    limits: HeadLimits,
    /// Fires when the head that is being read is too late.
    head_timer: Option<Pin<Box<Sleep>>>,
    is_timer_set: bool,
    memory: Reservation,
    /// Counts heads for which there is no memory.
    refused_heads: IntCounter,
}

impl CallerStream {
    /// Wraps a connection, which holds `memory` until it is closed.
    pub fn new(
        stream: TcpStream,
        limits: HeadLimits,
        memory: Reservation,
        refused_heads: IntCounter,
    ) -> Self {
        Self {
            stream,
            reading: Rc::new(Reading::new(limits.max_bytes)),
            flushing: Rc::default(),
            limits,
            head_timer: None,
            is_timer_set: false,
            memory,
            refused_heads,
        }
    }

    /// Returns the reading side, for the connection's requests.
    pub fn reading(&self) -> Rc<Reading> {
        Rc::clone(&self.reading)
    }

    /// Returns what tells responses that they have been written.
    pub fn flushing(&self) -> Rc<Flushing> {
        Rc::clone(&self.flushing)
    }

    fn incomplete_head(&self) -> usize {
        self.reading.ahead.borrow().incomplete_head()
    }

    fn poll_read_up_to(
        &mut self,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
        max: usize,
    ) -> Poll<io::Result<()>> {
        let length = max.min(buffer.remaining());
        let mut limited = ReadBuf::new(buffer.initialize_unfilled_to(length));
        let polled = Pin::new(&mut self.stream).poll_read(context, &mut limited)?;
        if polled.is_pending() {
            return self.poll_head_timer(context);
        }
        let read = limited.filled().len();
        buffer.advance(read);
        self.reading.ahead.borrow_mut().record_read(read);
        Poll::Ready(self.reserve_for_head())
    }

    /// Reserves memory for a head that is longer than most.
    fn reserve_for_head(&mut self) -> io::Result<()> {
        if self.incomplete_head() <= SHORT_HEAD_BYTES {
            return Ok(());
        }
        let memory = CONNECTION_BYTES + self.limits.max_bytes;
        self.memory.grow_to(memory).map_err(|error| {
            self.refused_heads.inc();
            io::Error::other(error)
        })
    }

    /// Closes the connection if the head that is being read is too late.
    fn poll_head_timer(&mut self, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.incomplete_head() == 0 {
            return Poll::Pending;
        }
        let timeout = self.limits.timeout;
        let timer = self
            .head_timer
            .get_or_insert_with(|| Box::pin(sleep(timeout)));
        if !self.is_timer_set {
            timer.as_mut().reset(Instant::now() + timeout);
            self.is_timer_set = true;
        }
        ready!(timer.as_mut().poll(context));
        self.end_reading(HEAD_TOO_LATE)
    }

    /// Answers as far as the connection accepts it, and reports the end of the caller's requests.
    fn end_reading(&self, answer: &[u8]) -> Poll<io::Result<()>> {
        let _ = self.stream.try_write(answer);
        Poll::Ready(Ok(()))
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        if this.incomplete_head() == 0 {
            this.is_timer_set = false;
        }
        let allowance = this.reading.ahead.borrow_mut().allowance();
        match allowance {
            Allowance::Read(max) => this.poll_read_up_to(context, buffer, max),
            Allowance::Parse => {
                context.waker().wake_by_ref();
                Poll::Pending
            }
            Allowance::Wait => {
                this.reading.waiting.set(Some(context.waker().clone()));
                Poll::Pending
            }
            Allowance::HeadTooLong => this.end_reading(HEAD_TOO_LONG),
        }
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    /// The server flushes after it has written all that it buffers.
    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(Pin::new(&mut self.stream).poll_flush(context))?;
        self.flushing.record_flush();
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, buffers)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
