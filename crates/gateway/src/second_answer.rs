//! Detects a second answer in the body of the first one.
//!
//! A worker may truncate an answer and send it again completely on the same connection, or send another answer after one
//! without a length. The head of the second answer is then read as part of the first answer's body, completely or, where the
//! first one has a length, as far as its length goes.

use crate::headers::HeaderList;

/// The start of a status line.
const STATUS_LINE_START: &[u8] = b"HTTP/1.1 ";
/// The length in bytes of a status line up to the end of its status code.
const STATUS_LINE_BYTES: usize = STATUS_LINE_START.len() + 3;
/// Maximum length in bytes of a second answer's head in which the id is searched for.
const MAX_SEARCHED_BYTES: usize = 2 << 10;

/// Searches a body for a second answer with the same id.
#[derive(Debug)]
pub struct SecondAnswerSearch {
    /// The end of a header line whose value is the request's id.
    id_line: String,
    /// Names of the first answer's headers, in lower case.
    header_names: Vec<String>,
    /// The received part of what may be the head of a second answer, or of what may be a status line.
    candidate: Vec<u8>,
    /// Whether the candidate begins with a status line up to its status code.
    has_status_line: bool,
}

impl SecondAnswerSearch {
    /// Creates a search for another answer to the request `id`, whose first answer has these headers.
    pub fn new(id: &str, headers: &HeaderList) -> Self {
        let header_names = headers
            .iter()
            .map(|header| header.name.to_ascii_lowercase());
        Self {
            id_line: format!(": {id}\r\n"),
            header_names: header_names.collect(),
            candidate: Vec::new(),
            has_status_line: false,
        }
    }

    /// Adds the next bytes of the body. Returns whether a second answer begins in them or shortly before.
    pub fn detects_in(&mut self, bytes: &[u8]) -> bool {
        self.candidate.extend_from_slice(bytes);
        while self.seek_status_line() {
            let searched = self.candidate.len().min(MAX_SEARCHED_BYTES);
            if contains(&self.candidate[..searched], self.id_line.as_bytes()) {
                return true;
            }
            if self.candidate.len() <= MAX_SEARCHED_BYTES {
                return false;
            }
            self.candidate.drain(..STATUS_LINE_BYTES);
            self.has_status_line = false;
        }
        false
    }

    /// Drops the bytes before the next status line. Returns false if there is none yet.
    fn seek_status_line(&mut self) -> bool {
        if self.has_status_line {
            return true;
        }
        let start = find_status_line(&self.candidate);
        self.has_status_line = start.is_some();
        let scanned = self.candidate.len().saturating_sub(STATUS_LINE_BYTES - 1);
        self.candidate.drain(..start.unwrap_or(scanned));
        self.has_status_line
    }

    /// Returns whether the body ends inside what may be the head of a second answer. What follows on the connection can
    /// tell.
    pub fn is_undecided(&self) -> bool {
        self.has_status_line || started_status_line(&self.candidate).is_some()
    }

    /// Returns whether the head of a second answer begins in the body and goes on in the bytes that follow it on the
    /// connection. That bytes follow proves nothing by itself: a whole answer may be followed by another one.
    pub fn continues_in(&self, following: &[u8]) -> bool {
        if following.is_empty() {
            return false;
        }
        let (id, searched) = (self.id_line.as_bytes(), &self.candidate);
        if !self.has_status_line {
            let start = started_status_line(searched).unwrap_or_default();
            return find_status_line(&[start, following].concat()) == Some(0);
        }
        let head = [searched, following].concat();
        let head = &head[..head.len().min(MAX_SEARCHED_BYTES)];
        contains(head, id) || begins_with_head(head)
    }

    /// Returns whether the body ends inside the head of a second answer: all lines after a status line are headers that
    /// the first answer has as well.
    pub fn ends_in_head(&self) -> bool {
        let mut lines = self.candidate.split(|byte| *byte == b'\n').skip(1);
        self.has_status_line && lines.all(|line| self.may_be_header(line))
    }

    /// Returns whether a line, which may be truncated, is a header that the first answer has as well.
    fn may_be_header(&self, line: &[u8]) -> bool {
        let name = line.split(|byte| *byte == b':').next().unwrap_or_default();
        let name = name.to_ascii_lowercase();
        let is_complete_name = line.contains(&b':');
        self.header_names
            .iter()
            .any(|known| match is_complete_name {
                true => known.as_bytes() == name,
                false => known.as_bytes().starts_with(&name),
            })
    }
}

/// Returns whether these bytes contain the start of a status line.
pub fn contains_status_line(bytes: &[u8]) -> bool {
    find_status_line(bytes).is_some()
}

fn find_status_line(bytes: &[u8]) -> Option<usize> {
    let is_status_line = |window: &[u8]| {
        window.starts_with(STATUS_LINE_START)
            && window[STATUS_LINE_START.len()..]
                .iter()
                .all(u8::is_ascii_digit)
    };
    bytes.windows(STATUS_LINE_BYTES).position(is_status_line)
}

/// Returns the end of these bytes if it is the start of a status line up to its status code.
fn started_status_line(bytes: &[u8]) -> Option<&[u8]> {
    // The first letter occurs only once in it.
    let start = bytes
        .iter()
        .rposition(|byte| *byte == STATUS_LINE_START[0])?;
    let started = &bytes[start..];
    let compared = started.len().min(STATUS_LINE_START.len());
    let (text, code) = started.split_at(compared);
    let is_started = text == &STATUS_LINE_START[..compared] && code.iter().all(u8::is_ascii_digit);
    is_started.then_some(started)
}

/// Returns whether these bytes, which begin with a status line, begin with a complete head.
fn begins_with_head(bytes: &[u8]) -> bool {
    let mut lines = bytes.split(|byte| *byte == b'\n').skip(1);
    let end = lines.find(|line| !is_header_line(line));
    end == Some(b"\r")
}

fn is_header_line(line: &[u8]) -> bool {
    let is_name_byte =
        |byte: &u8| byte.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(byte);
    let name = line.split(|byte| *byte == b':').next().unwrap_or_default();
    !name.is_empty() && name.len() < line.len() && name.iter().all(is_name_byte)
}

fn contains(bytes: &[u8], needle: &[u8]) -> bool {
    bytes.windows(needle.len()).any(|window| window == needle)
}
