//! Identity of requests and marks in answers. Workers put a mark into each body and each event that they generate for a
//! request, so that judges can tell which request it belongs to.

use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;

/// The identity of a request: its id, its path with query, and its body.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize)]
pub struct RequestKey {
    /// The request id.
    pub id: String,
    /// The path with query.
    pub target: String,
    /// The hash of the body.
    pub body: u64,
}

/// Prefix of the body of a request that crashes each worker which starts to run it.
pub const CRASH_BODY_PREFIX: &[u8] = b"deadly";

/// Returns the hash of a body.
pub fn body_hash(body: &[u8]) -> u64 {
    xxh3_64(body)
}

/// The mark of a run in its answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Mark {
    /// The number of the run.
    pub run: u64,
    /// The worker.
    pub worker: String,
    /// The request.
    pub key: RequestKey,
}

/// The first word of a mark.
const MARK_PREFIX: &str = "made-by";

impl Mark {
    /// Returns the mark as one line of text without a line break.
    pub fn text(&self) -> String {
        let RequestKey { id, target, body } = &self.key;
        let Self { run, worker, .. } = self;
        format!("{MARK_PREFIX} {worker} {run} {id} {target} {body:016x}")
    }

    /// Parses a line that begins with a mark.
    pub fn parse(line: &str) -> Option<Self> {
        let mut words = line.split(' ');
        if words.next()? != MARK_PREFIX {
            return None;
        }
        let worker = words.next()?.to_owned();
        let run = words.next()?.parse().ok()?;
        let id = words.next()?.to_owned();
        let target = words.next()?.to_owned();
        let body = u64::from_str_radix(words.next()?, 16).ok()?;
        let key = RequestKey { id, target, body };
        Some(Self { run, worker, key })
    }

    /// Returns all marks in a text.
    pub fn find_all(text: &str) -> Vec<Self> {
        let starts = text.match_indices(MARK_PREFIX);
        let lines = starts.map(|(start, _)| text[start..].lines().next().unwrap_or_default());
        lines.filter_map(Self::parse).collect()
    }
}
