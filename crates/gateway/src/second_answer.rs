//! Finds a second answer in the body of the first.
//!
//! A worker may cut an answer short and send it again, whole, on the same connection, or send more after an
//! answer without a length. The head of the second answer then lies where the body of the first is read.

use crate::headers::HeaderList;

/// How a status line begins.
const VERSION: &[u8] = b"HTTP/1.1 ";
/// A status line up to the end of its status, in bytes.
const STATUS_LINE_BYTES: usize = VERSION.len() + 3;
/// The longest head of a second answer that is looked for, in bytes.
const SEARCHED_BYTES: usize = 2 << 10;

/// Looks for a second answer under the same id.
#[derive(Debug)]
pub struct SecondAnswerSearch {
    /// The end of a header line with the request's id.
    id_line: String,
    /// Names of the first answer's headers.
    names: Vec<String>,
    /// What may be a second answer's head as far as it has come, or the beginning of a status line.
    candidate: Vec<u8>,
    /// Whether the candidate begins with a whole status line.
    has_status_line: bool,
}

impl SecondAnswerSearch {
    /// Looks for another answer to the request with this id, whose first answer has these headers.
    pub fn new(id: &str, headers: &HeaderList) -> Self {
        let names = headers
            .iter()
            .map(|header| header.name.to_ascii_lowercase());
        Self {
            id_line: format!(": {id}\r\n"),
            names: names.collect(),
            candidate: Vec::new(),
            has_status_line: false,
        }
    }

    /// Whether a second answer has begun in these bytes or shortly before.
    pub fn finds_in(&mut self, bytes: &[u8]) -> bool {
        self.candidate.extend_from_slice(bytes);
        while self.seek_status_line() {
            let searched = self.candidate.len().min(SEARCHED_BYTES);
            if holds(&self.candidate[..searched], self.id_line.as_bytes()) {
                return true;
            }
            if self.candidate.len() <= SEARCHED_BYTES {
                return false;
            }
            self.candidate.drain(..STATUS_LINE_BYTES);
            self.has_status_line = false;
        }
        false
    }

    /// Drops what comes before the next status line; false if there is none yet.
    fn seek_status_line(&mut self) -> bool {
        if self.has_status_line {
            return true;
        }
        let begin = status_line_in(&self.candidate);
        self.has_status_line = begin.is_some();
        let rest = self.candidate.len().saturating_sub(STATUS_LINE_BYTES - 1);
        self.candidate.drain(..begin.unwrap_or(rest));
        self.has_status_line
    }

    /// Whether the body ends inside the head of a second answer: after a status line come only headers
    /// that the first answer has, too.
    pub fn ends_in_head(&self) -> bool {
        let mut lines = self.candidate.split(|byte| *byte == b'\n').skip(1);
        self.has_status_line && lines.all(|line| self.may_be_header(line))
    }

    /// Whether a line, which may be cut, is a header that the first answer has.
    fn may_be_header(&self, line: &[u8]) -> bool {
        let name = line.split(|byte| *byte == b':').next().unwrap_or_default();
        let name = name.to_ascii_lowercase();
        let is_whole = line.contains(&b':');
        self.names.iter().any(|known| match is_whole {
            true => known.as_bytes() == name,
            false => known.as_bytes().starts_with(&name),
        })
    }
}

/// Whether a status line begins in these bytes.
pub fn holds_status_line(bytes: &[u8]) -> bool {
    status_line_in(bytes).is_some()
}

fn status_line_in(bytes: &[u8]) -> Option<usize> {
    let is_status_line = |window: &[u8]| {
        window.starts_with(VERSION) && window[VERSION.len()..].iter().all(u8::is_ascii_digit)
    };
    bytes.windows(STATUS_LINE_BYTES).position(is_status_line)
}

fn holds(bytes: &[u8], wanted: &[u8]) -> bool {
    bytes.windows(wanted.len()).any(|window| window == wanted)
}
