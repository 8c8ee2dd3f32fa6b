//! A caller with a connection of its own for each request.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// An answer as the caller has seen it.
#[derive(Debug, Clone, Default)]
pub struct Seen {
    pub status: u16,
    pub sealed: bool,
    /// Whether the answer has its proper end in the protocol.
    pub is_complete: bool,
    pub body: Vec<u8>,
}

impl Seen {
    pub fn is_success(&self) -> bool {
        (200..300).contains(&self.status) && self.sealed && self.is_complete
    }
}

/// Sends a request and reads its answer to the end of the connection.
pub fn call(gateway: SocketAddr, path: &str, id: &str, deadline: Duration) -> Seen {
    let head = format!(
        "POST {path} HTTP/1.1\r\nHost: site.example\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: {}\r\nContent-Length: 4\r\nConnection: close\r\n\r\nbody",
        deadline.as_millis()
    );
    let until = Instant::now() + deadline + Duration::from_secs(1);
    let mut bytes = Vec::new();
    if let Ok(mut stream) = TcpStream::connect_timeout(&gateway, Duration::from_secs(1)) {
        let _ = stream.write_all(head.as_bytes());
        let mut buffer = [0; 16 << 10];
        loop {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() || stream.set_read_timeout(Some(left)).is_err() {
                break;
            }
            match stream.read(&mut buffer) {
                Ok(count) if count > 0 => bytes.extend_from_slice(&buffer[..count]),
                _ => break,
            }
        }
    }
    parse(&bytes)
}

fn parse(bytes: &[u8]) -> Seen {
    let mut seen = Seen::default();
    let Some(end) = bytes.windows(4).position(|window| window == b"\r\n\r\n") else {
        return seen;
    };
    let head = String::from_utf8_lossy(&bytes[..end]).to_lowercase();
    let rest = &bytes[end + 4..];
    seen.status = head
        .get(9..12)
        .and_then(|code| code.parse().ok())
        .unwrap_or(0);
    let value = |name: &str| {
        head.lines()
            .filter_map(|line| line.split_once(':'))
            .find(|(known, _)| *known == name)
            .map(|(_, value)| value.trim().to_owned())
    };
    seen.sealed = value("x-response-seal").is_some();
    if let Some(length) = value("content-length").and_then(|length| length.parse::<usize>().ok()) {
        seen.is_complete = rest.len() == length;
        seen.body = rest.to_vec();
    } else {
        (seen.body, seen.is_complete) = unchunk(rest);
    }
    seen
}

fn unchunk(mut rest: &[u8]) -> (Vec<u8>, bool) {
    let mut body = Vec::new();
    loop {
        let Some(line) = rest.windows(2).position(|window| window == b"\r\n") else {
            return (body, false);
        };
        let size = std::str::from_utf8(&rest[..line]).ok();
        let Some(size) = size.and_then(|size| usize::from_str_radix(size.trim(), 16).ok()) else {
            return (body, false);
        };
        rest = &rest[line + 2..];
        if size == 0 {
            return (body, rest == b"\r\n");
        }
        if rest.len() < size + 2 {
            body.extend_from_slice(&rest[..rest.len().min(size)]);
            return (body, false);
        }
        body.extend_from_slice(&rest[..size]);
        rest = &rest[size + 2..];
    }
}
