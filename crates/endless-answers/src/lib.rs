//! A test server whose answers never end: bytes arrive in a head or a body until the client closes the connection.

#![forbid(unsafe_code)]

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// Bytes of a request that are read at once. Longer requests are not understood.
const MAX_REQUEST_BYTES: usize = 64 << 10;
/// Length of a piece that is sent without pauses, in bytes.
const PIECE_BYTES: usize = 16 << 10;
/// Longest time without progress after which the server looks whether the test has ended.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// An answer without an end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndlessAnswer {
    /// A status line that does not end.
    StatusLine,
    /// Header lines without end.
    Headers,
    /// A header whose value does not end.
    HeaderValue,
    /// Interim answers without a final one.
    InterimAnswers,
    /// A body without a length, of an answer with this status.
    Body {
        /// The status.
        status: u16,
    },
    /// A chunked body, of an answer with this status.
    Chunks {
        /// The status.
        status: u16,
    },
    /// The body of an event stream whose first event does not end.
    Event,
}

impl EndlessAnswer {
    /// Returns whether the head of the answer does not end.
    pub fn is_in_head(self) -> bool {
        matches!(
            self,
            Self::StatusLine | Self::Headers | Self::HeaderValue | Self::InterimAnswers
        )
    }

    /// Returns the first bytes. `headers` are complete header lines.
    fn begin(self, headers: &str) -> String {
        match self {
            Self::StatusLine => "HTTP/1.1 200 ".into(),
            Self::Headers => format!("HTTP/1.1 200 OK\r\n{headers}"),
            Self::HeaderValue => format!("HTTP/1.1 200 OK\r\n{headers}X-Long: "),
            Self::InterimAnswers => String::new(),
            Self::Body { status } => format!("HTTP/1.1 {status} Status\r\n{headers}\r\n"),
            Self::Chunks { status } => {
                format!("HTTP/1.1 {status} Status\r\n{headers}Transfer-Encoding: chunked\r\n\r\n")
            }
            Self::Event => {
                format!("HTTP/1.1 200 OK\r\n{headers}Content-Type: text/event-stream\r\n\r\ndata: ")
            }
        }
    }

    /// Returns what follows again and again.
    fn unit(self) -> &'static str {
        match self {
            Self::Headers => "X-More: x\r\n",
            Self::InterimAnswers => "HTTP/1.1 100 Continue\r\n\r\n",
            Self::Chunks { .. } => "20\r\nmore bytes of a body without end\r\n",
            Self::StatusLine | Self::HeaderValue | Self::Body { .. } | Self::Event => "x",
        }
    }
}

/// How fast the bytes of an answer follow each other.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Pace {
    /// As fast as the client reads.
    Full,
    /// A few bytes after each pause, so that no time-out between two of them is reached.
    Trickle {
        /// The pause.
        pause: Duration,
    },
}

/// A server that gives each request the same answer.
pub struct EndlessServer {
    /// The address at which it listens.
    pub address: SocketAddr,
    state: Arc<State>,
}

#[derive(Debug, Default)]
struct State {
    sent_bytes: AtomicU64,
    requests: AtomicUsize,
    open: AtomicUsize,
    is_stopped: AtomicBool,
}

impl EndlessServer {
    /// Starts a server. `headers` returns complete header lines of the answer to a request, from the request's text.
    ///
    /// # Panics
    ///
    /// Panics if no port is free.
    pub fn start(
        answer: EndlessAnswer,
        pace: Pace,
        headers: impl Fn(&str) -> String + Send + Sync + 'static,
    ) -> Self {
        let listener = TcpListener::bind(("127.0.0.1", 0)).expect("a free port");
        let address = listener.local_addr().expect("a bound address");
        let state = Arc::<State>::default();
        let serving = Arc::clone(&state);
        let headers = Arc::new(headers);
        thread::spawn(move || {
            for connection in listener.incoming().flatten() {
                if serving.is_stopped.load(Ordering::Relaxed) {
                    return;
                }
                let (state, headers) = (Arc::clone(&serving), Arc::clone(&headers));
                thread::spawn(move || {
                    state.open.fetch_add(1, Ordering::Relaxed);
                    let _ = state.serve(connection, answer, pace, &*headers);
                    state.open.fetch_sub(1, Ordering::Relaxed);
                });
            }
        });
        Self { address, state }
    }

    /// Returns the number of bytes that the system has accepted from the server, over all connections.
    pub fn sent_bytes(&self) -> u64 {
        self.state.sent_bytes.load(Ordering::Relaxed)
    }

    /// Returns the number of requests that were received.
    pub fn requests(&self) -> usize {
        self.state.requests.load(Ordering::Relaxed)
    }

    /// Returns the number of connections that no client has closed.
    pub fn open_connections(&self) -> usize {
        self.state.open.load(Ordering::Relaxed)
    }
}

impl Drop for EndlessServer {
    fn drop(&mut self) {
        self.state.is_stopped.store(true, Ordering::Relaxed);
        // Ends the wait for the next connection.
        let _ = TcpStream::connect(self.address);
    }
}

impl State {
    /// Reads one request and sends its answer until the client closes the connection.
    fn serve(
        &self,
        mut connection: TcpStream,
        answer: EndlessAnswer,
        pace: Pace,
        headers: &dyn Fn(&str) -> String,
    ) -> std::io::Result<()> {
        connection.set_nodelay(true)?;
        connection.set_write_timeout(Some(POLL_INTERVAL))?;
        let mut request = vec![0; MAX_REQUEST_BYTES];
        let length = connection.read(&mut request)?;
        if length == 0 {
            return Ok(());
        }
        self.requests.fetch_add(1, Ordering::Relaxed);
        let text = String::from_utf8_lossy(&request[..length]).into_owned();
        self.send(&mut connection, answer.begin(&headers(&text)).as_bytes())?;
        let unit = answer.unit();
        let piece = match pace {
            Pace::Full => unit.repeat(PIECE_BYTES / unit.len()),
            Pace::Trickle { .. } => unit.to_owned(),
        };
        while !self.is_stopped.load(Ordering::Relaxed) {
            self.send(&mut connection, piece.as_bytes())?;
            if let Pace::Trickle { pause } = pace {
                thread::sleep(pause);
            }
        }
        connection.shutdown(Shutdown::Both)
    }

    /// Sends all bytes, however long the client takes to read them.
    fn send(&self, connection: &mut TcpStream, mut bytes: &[u8]) -> std::io::Result<()> {
        use std::io::ErrorKind::{Interrupted, TimedOut, WouldBlock};
        while !bytes.is_empty() && !self.is_stopped.load(Ordering::Relaxed) {
            match connection.write(bytes) {
                Ok(length) => {
                    self.sent_bytes.fetch_add(length as u64, Ordering::Relaxed);
                    bytes = &bytes[length..];
                }
                Err(error) if matches!(error.kind(), WouldBlock | TimedOut | Interrupted) => {}
                Err(error) => return Err(error),
            }
        }
        Ok(())
    }
}
