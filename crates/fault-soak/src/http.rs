//! A strict HTTP/1.1 message reader: bytes that are not a message are reported as such.

use bytes::{Buf, BytesMut};
use tokio::io::{AsyncRead, AsyncReadExt};

/// Maximum size of a head.
const MAX_HEAD_BYTES: usize = 64 << 10;
/// The end of a head.
const HEAD_END: &[u8] = b"\r\n\r\n";
/// The end of a line.
const LINE_END: &[u8] = b"\r\n";

/// Why a message could not be read completely.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum ReadError {
    /// The peer closed the connection before the first byte of a message.
    #[error("closed")]
    Closed,
    /// The connection was closed or broke inside a message.
    #[error("cut")]
    Truncated,
    /// The bytes are not a message.
    #[error("not an HTTP/1.1 message: {0}")]
    Garbage(String),
}

/// How the length of a body is determined.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Framing {
    /// By `Content-Length`, in bytes.
    Length(usize),
    /// By chunked encoding.
    Chunked,
    /// By the end of the connection.
    UntilClose,
}

/// The first line and the headers of a message.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Head {
    /// The first line.
    pub first_line: String,
    headers: Vec<(String, String)>,
}

impl Head {
    /// Parses a head without the empty line at its end.
    pub fn parse(bytes: &[u8]) -> Result<Self, ReadError> {
        let text = std::str::from_utf8(bytes).map_err(|_| garbage(bytes))?;
        let mut lines = text.split("\r\n");
        let first_line = lines.next().unwrap_or_default().to_owned();
        if !first_line.contains("HTTP/1.1") {
            return Err(garbage(bytes));
        }
        let header = |line: &str| {
            let (name, value) = line.split_once(':')?;
            Some((name.to_owned(), value.trim().to_owned()))
        };
        let headers: Option<Vec<_>> = lines.map(header).collect();
        Ok(Self {
            first_line,
            headers: headers.ok_or_else(|| garbage(bytes))?,
        })
    }

    /// Returns the first value of a header.
    pub fn get(&self, name: &str) -> Option<&str> {
        let found = self
            .headers
            .iter()
            .find(|(header_name, _)| header_name.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// Returns a word of the first line.
    pub fn first_line_word(&self, index: usize) -> &str {
        self.first_line.split(' ').nth(index).unwrap_or_default()
    }

    /// Returns the status of an answer, or an error if the message is not an answer.
    pub fn status(&self) -> Result<u16, ReadError> {
        let is_answer = self.first_line.starts_with("HTTP/1.1 ");
        let status = self.first_line_word(1).parse().ok().filter(|_| is_answer);
        status.ok_or_else(|| garbage(self.first_line.as_bytes()))
    }

    /// Whether the sender closes the connection after this message.
    pub fn closes_connection(&self) -> bool {
        self.get("Connection")
            .is_some_and(|value| value.eq_ignore_ascii_case("close"))
    }

    /// Returns how the length of the body is determined, or `default` if no header determines it.
    pub fn framing(&self, default: Framing) -> Result<Framing, ReadError> {
        if self
            .get("Transfer-Encoding")
            .is_some_and(|value| value.eq_ignore_ascii_case("chunked"))
        {
            return Ok(Framing::Chunked);
        }
        match self.get("Content-Length") {
            None => Ok(default),
            Some(text) => match text.parse() {
                Ok(length) => Ok(Framing::Length(length)),
                Err(_) => Err(garbage(text.as_bytes())),
            },
        }
    }
}

fn garbage(bytes: &[u8]) -> ReadError {
    ReadError::Garbage(String::from_utf8_lossy(bytes).chars().take(200).collect())
}

/// Reads messages one after another. Cancelling a read of a head loses no bytes.
#[derive(Debug)]
pub struct Reader<R> {
    source: R,
    buffer: BytesMut,
}

impl<R: AsyncRead + Unpin> Reader<R> {
    /// Creates a reader of this source.
    pub fn new(source: R) -> Self {
        Self {
            source,
            buffer: BytesMut::new(),
        }
    }

    /// Returns the source.
    pub fn source(&mut self) -> &mut R {
        &mut self.source
    }

    /// Returns the received bytes that do not belong to a message read so far.
    pub fn surplus(&self) -> &[u8] {
        &self.buffer
    }

    /// Reads the next head.
    pub async fn read_head(&mut self) -> Result<Head, ReadError> {
        loop {
            if let Some(end) = find(&self.buffer, HEAD_END) {
                let head = Head::parse(&self.buffer[..end]);
                self.buffer.advance(end + HEAD_END.len());
                return head;
            }
            if self.buffer.len() > MAX_HEAD_BYTES {
                return Err(garbage(&self.buffer));
            }
            if let Err(error) = self.fill().await {
                let has_partial_message = !self.buffer.is_empty();
                return Err(if has_partial_message {
                    ReadError::Truncated
                } else {
                    error
                });
            }
        }
    }

    /// Reads a body to its end and appends the data to `body` as it arrives.
    pub async fn read_body(
        &mut self,
        framing: Framing,
        body: &mut Vec<u8>,
    ) -> Result<(), ReadError> {
        match framing {
            Framing::Length(length) => self.read_length(length, body).await,
            Framing::Chunked => self.read_chunks(body).await,
            Framing::UntilClose => self.read_until_close(body).await,
        }
    }

    async fn read_chunks(&mut self, body: &mut Vec<u8>) -> Result<(), ReadError> {
        loop {
            let line = self.read_line().await?;
            let size = usize::from_str_radix(&line, 16).map_err(|_| garbage(line.as_bytes()))?;
            if size == 0 {
                return self.expect_line_end().await;
            }
            self.read_length(size, body).await?;
            self.expect_line_end().await?;
        }
    }

    async fn expect_line_end(&mut self) -> Result<(), ReadError> {
        match self.read_line().await?.as_str() {
            "" => Ok(()),
            other => Err(garbage(other.as_bytes())),
        }
    }

    async fn read_line(&mut self) -> Result<String, ReadError> {
        loop {
            if let Some(end) = find(&self.buffer, LINE_END) {
                let line = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                self.buffer.advance(end + LINE_END.len());
                return Ok(line);
            }
            self.fill().await.map_err(|_| ReadError::Truncated)?;
        }
    }

    async fn read_length(
        &mut self,
        mut length: usize,
        body: &mut Vec<u8>,
    ) -> Result<(), ReadError> {
        loop {
            let count = length.min(self.buffer.len());
            body.extend_from_slice(&self.buffer[..count]);
            self.buffer.advance(count);
            length -= count;
            if length == 0 {
                return Ok(());
            }
            self.fill().await.map_err(|_| ReadError::Truncated)?;
        }
    }

    async fn read_until_close(&mut self, body: &mut Vec<u8>) -> Result<(), ReadError> {
        loop {
            body.extend_from_slice(&self.buffer);
            self.buffer.clear();
            match self.fill().await {
                Ok(()) => {}
                Err(ReadError::Closed) => return Ok(()),
                Err(error) => return Err(error),
            }
        }
    }

    /// Reads more bytes. Returns `Closed` after a graceful close and `Truncated` if the connection broke.
    async fn fill(&mut self) -> Result<(), ReadError> {
        match self.source.read_buf(&mut self.buffer).await {
            Ok(0) => Err(ReadError::Closed),
            Ok(_) => Ok(()),
            Err(_) => Err(ReadError::Truncated),
        }
    }
}

fn find(bytes: &[u8], what: &[u8]) -> Option<usize> {
    bytes.windows(what.len()).position(|window| window == what)
}
