//! A client that speaks HTTP/1.1 on a connection of its own for each attempt.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// What a client sends in one attempt.
#[derive(Debug, Clone)]
pub struct Attempt {
    pub method: &'static str,
    pub path: String,
    pub host: String,
    pub headers: Vec<(&'static str, String)>,
    pub body: Vec<u8>,
}

/// The head of an answer.
#[derive(Debug, Clone)]
pub struct Head {
    pub status: u16,
    pub headers: Vec<(String, String)>,
}

impl Head {
    /// Returns the value of a header.
    pub fn get(&self, name: &str) -> Option<&str> {
        let found = self
            .headers
            .iter()
            .find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }
}

/// An answer that is being read.
pub struct Answer {
    pub head: Head,
    stream: TcpStream,
    buffer: Vec<u8>,
    left: Left,
}

#[derive(Debug, Clone, Copy)]
enum Left {
    /// Bytes of a body with a length.
    Bytes(usize),
    /// A body in chunks; bytes of the current chunk with its line end.
    Chunk(usize),
    Done,
}

/// What was read of a body.
#[derive(Debug)]
pub enum Part {
    Bytes(Vec<u8>),
    /// The body is complete.
    End,
    /// The connection ended before the body did.
    Broken,
}

/// Sends an attempt on a new connection and reads the head of its answer.
pub async fn send(address: SocketAddr, attempt: &Attempt) -> std::io::Result<Answer> {
    let connected = timeout(Duration::from_secs(1), TcpStream::connect(address)).await;
    let stream = connected.map_err(|_| std::io::ErrorKind::TimedOut)??;
    send_on(stream, attempt).await
}

/// Sends an attempt on a connection and reads the head of its answer.
pub async fn send_on(mut stream: TcpStream, attempt: &Attempt) -> std::io::Result<Answer> {
    stream.write_all(&encode(attempt)).await?;
    let mut buffer = Vec::new();
    let end = loop {
        if let Some(end) = find(&buffer, b"\r\n\r\n") {
            break end;
        }
        if read_more(&mut stream, &mut buffer).await? == 0 {
            return Err(std::io::ErrorKind::UnexpectedEof.into());
        }
    };
    let head = parse_head(&buffer[..end])?;
    buffer.drain(..end + 4);
    let length = head
        .get("content-length")
        .and_then(|text| text.parse().ok());
    let is_chunked = head.get("transfer-encoding").is_some();
    let left = match (is_chunked, length) {
        (true, _) => Left::Chunk(0),
        (false, Some(length)) => Left::Bytes(length),
        (false, None) => Left::Done,
    };
    Ok(Answer {
        head,
        stream,
        buffer,
        left,
    })
}

impl Answer {
    /// Reads the next bytes of the body.
    pub async fn next(&mut self) -> Part {
        self.try_next().await.unwrap_or(Part::Broken)
    }

    async fn try_next(&mut self) -> std::io::Result<Part> {
        loop {
            match self.left {
                Left::Done | Left::Bytes(0) => return Ok(Part::End),
                Left::Bytes(left) if !self.buffer.is_empty() => {
                    let count = left.min(self.buffer.len());
                    self.left = Left::Bytes(left - count);
                    return Ok(Part::Bytes(self.buffer.drain(..count).collect()));
                }
                Left::Chunk(0) => {
                    if let Some(end) = find(&self.buffer, b"\r\n") {
                        let line = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                        let size = usize::from_str_radix(line.trim(), 16)
                            .map_err(|_| std::io::ErrorKind::InvalidData)?;
                        self.buffer.drain(..end + 2);
                        if size == 0 {
                            self.left = Left::Done;
                            return Ok(Part::End);
                        }
                        self.left = Left::Chunk(size + 2);
                        continue;
                    }
                }
                Left::Chunk(left) if !self.buffer.is_empty() => {
                    let count = left.min(self.buffer.len());
                    self.left = Left::Chunk(left - count);
                    let mut bytes: Vec<u8> = self.buffer.drain(..count).collect();
                    // The last two bytes of a chunk are its line end.
                    let line_end = count.min(2usize.saturating_sub(left - count));
                    bytes.truncate(bytes.len() - line_end);
                    if bytes.is_empty() {
                        continue;
                    }
                    return Ok(Part::Bytes(bytes));
                }
                Left::Bytes(_) | Left::Chunk(_) => {}
            }
            if read_more(&mut self.stream, &mut self.buffer).await? == 0 {
                return Ok(Part::Broken);
            }
        }
    }

    /// Reads the whole body; returns whether it was complete.
    pub async fn read_all(&mut self) -> (Vec<u8>, bool) {
        let mut body = Vec::new();
        loop {
            match self.next().await {
                Part::Bytes(bytes) => body.extend(bytes),
                Part::End => return (body, true),
                Part::Broken => return (body, false),
            }
        }
    }
}

/// Returns whether a gateway answers its health check with 200.
pub async fn is_ready(address: SocketAddr) -> bool {
    let attempt = Attempt {
        method: "GET",
        path: "/ready".into(),
        host: address.to_string(),
        headers: Vec::new(),
        body: Vec::new(),
    };
    let answer = timeout(Duration::from_millis(500), send(address, &attempt)).await;
    matches!(answer, Ok(Ok(answer)) if answer.head.status == 200)
}

fn encode(attempt: &Attempt) -> Vec<u8> {
    let mut text = format!(
        "{} {} HTTP/1.1\r\nHost: {}\r\n",
        attempt.method, attempt.path, attempt.host
    );
    for (name, value) in &attempt.headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    if attempt.method != "GET" {
        text.push_str(&format!("Content-Length: {}\r\n", attempt.body.len()));
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(&attempt.body);
    bytes
}

fn parse_head(bytes: &[u8]) -> std::io::Result<Head> {
    let text = String::from_utf8_lossy(bytes);
    let mut lines = text.split("\r\n");
    let status = lines
        .next()
        .and_then(|line| line.split(' ').nth(1)?.parse().ok());
    let headers = lines.filter_map(|line| line.split_once(':'));
    Ok(Head {
        status: status.ok_or(std::io::ErrorKind::InvalidData)?,
        headers: headers
            .map(|(name, value)| (name.to_owned(), value.trim().to_owned()))
            .collect(),
    })
}

async fn read_more(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> std::io::Result<usize> {
    let mut bytes = [0; 16384];
    let count = stream.read(&mut bytes).await?;
    buffer.extend_from_slice(&bytes[..count]);
    Ok(count)
}

fn find(bytes: &[u8], needle: &[u8]) -> Option<usize> {
    bytes
        .windows(needle.len())
        .position(|window| window == needle)
}
