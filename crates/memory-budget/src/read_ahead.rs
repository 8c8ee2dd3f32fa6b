//! How many bytes of a caller's connection may be handed to the HTTP parser. The parser turns all bytes that it gets
//! into requests and parts of bodies, each of which takes much more memory than its bytes.

/// Bytes that are handed over before the parser runs again.
const HEAD_SLICE_BYTES: usize = 2 << 10;
/// Bytes that are read beyond a request in progress. Reading on detects callers that disconnect.
const AHEAD_BYTES: usize = 2 << 10;
/// Bytes of a body with a known length that are read before the parts so far have been taken.
const SIZED_WINDOW_BYTES: usize = 32 << 10;
/// The same for a body in chunks, which may be as short as one byte.
const CHUNKED_WINDOW_BYTES: usize = 4 << 10;
/// Bytes that are read and discarded at once before a connection is closed.
const DISCARD_SLICE_BYTES: usize = 16 << 10;

/// What may be read from a connection now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Allowance {
    /// Up to this many bytes.
    Read(usize),
    /// Nothing until the parser has processed what was read; it can do so at once.
    Parse,
    /// Nothing until the request in progress, or its body, has advanced.
    Wait,
    /// The head of a request exceeds its maximum length.
    HeadTooLong,
}

/// The length of a body, or of the rest of one, as it is announced.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyLength {
    /// This many bytes; 0 if there is none.
    Known(usize),
    /// The body is sent in chunks.
    Chunked,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// Between requests, or within the head of one.
    Head { read: usize },
    /// Within the body of the request in progress.
    Body { window: usize },
    /// The request in progress has been read completely.
    Answer,
    /// The connection is being closed.
    Closing,
}

/// The read allowance of one connection.
#[derive(Debug)]
pub struct ReadAhead {
    phase: Phase,
    max_head_bytes: usize,
    /// Bytes read since the parser last ran.
    unparsed: usize,
    /// Bytes read beyond requests in progress since the connection was last idle.
    ahead: usize,
}

impl ReadAhead {
    /// Starts with an idle connection.
    pub fn new(max_head_bytes: usize) -> Self {
        Self {
            phase: Phase::Head { read: 0 },
            max_head_bytes,
            unparsed: 0,
            ahead: 0,
        }
    }

    /// Returns what may be read now. After [`Allowance::Parse`] the parser is assumed to have run.
    pub fn allowance(&mut self) -> Allowance {
        match self.phase {
            Phase::Head { read } => {
                self.ahead = 0;
                let is_full = read >= self.max_head_bytes;
                match self.unparsed {
                    0 if is_full => Allowance::HeadTooLong,
                    HEAD_SLICE_BYTES.. => self.parse(),
                    _ if is_full => self.parse(),
                    unparsed => Allowance::Read(HEAD_SLICE_BYTES - unparsed),
                }
            }
            Phase::Body { window: 0 } => Allowance::Wait,
            Phase::Body { window } => Allowance::Read(window),
            Phase::Answer if self.ahead >= AHEAD_BYTES => Allowance::Wait,
            Phase::Answer => Allowance::Read(AHEAD_BYTES - self.ahead),
            Phase::Closing if self.unparsed >= DISCARD_SLICE_BYTES => self.parse(),
            Phase::Closing => Allowance::Read(DISCARD_SLICE_BYTES - self.unparsed),
        }
    }

    fn parse(&mut self) -> Allowance {
        self.unparsed = 0;
        Allowance::Parse
    }

    /// Records bytes read.
    pub fn record_read(&mut self, bytes: usize) {
        self.unparsed += bytes;
        match &mut self.phase {
            Phase::Head { read } => *read += bytes,
            Phase::Body { window } => *window = window.saturating_sub(bytes),
            Phase::Answer => self.ahead += bytes,
            Phase::Closing => {}
        }
    }

    /// Returns the bytes read of a head that is not complete, or 0 outside heads.
    pub fn incomplete_head(&self) -> usize {
        match self.phase {
            Phase::Head { read } => read,
            _ => 0,
        }
    }

    /// Begins a request, or continues its body after all parts so far have been taken.
    pub fn expect_body(&mut self, rest: BodyLength) {
        self.unparsed = 0;
        self.phase = match rest {
            BodyLength::Known(0) => Phase::Answer,
            BodyLength::Known(rest) => Phase::Body {
                window: rest.min(SIZED_WINDOW_BYTES),
            },
            BodyLength::Chunked => Phase::Body {
                window: CHUNKED_WINDOW_BYTES,
            },
        };
    }

    /// Ends the request in progress. If its body has not been read completely, the connection is being closed.
    pub fn end_request(&mut self) {
        self.phase = match self.phase {
            Phase::Answer => Phase::Head { read: 0 },
            Phase::Head { .. } | Phase::Body { .. } | Phase::Closing => Phase::Closing,
        };
    }
}
