//! Whose an answer is: every byte that a worker makes for a request is marked with the request.

use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;

/// What makes a request this one: its id, its path with query, and its body.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize)]
pub struct RequestKey {
    /// Its id.
    pub id: String,
    /// Path and query.
    pub target: String,
    /// The hash of its body.
    pub body: u64,
}

/// What the body of a request begins with that ends each worker which begins to run it.
pub const DEADLY: &[u8] = b"deadly";

/// The hash of a body.
pub fn body_hash(body: &[u8]) -> u64 {
    xxh3_64(body)
}

/// A run's mark on its answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Mark {
    /// The number of the run.
    pub run: u64,
    /// The worker.
    pub worker: String,
    /// The request.
    pub key: RequestKey,
}

/// The word that a mark begins with.
const MARK: &str = "made-by";

impl Mark {
    /// Its text, one line without the end.
    pub fn text(&self) -> String {
        let RequestKey { id, target, body } = &self.key;
        let Self { run, worker, .. } = self;
        format!("{MARK} {worker} {run} {id} {target} {body:016x}")
    }

    /// Reads the mark from a line that begins with one.
    pub fn parse(line: &str) -> Option<Self> {
        let mut words = line.split(' ');
        if words.next()? != MARK {
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

    /// The marks in a text.
    pub fn find_all(text: &str) -> Vec<Self> {
        let starts = text.match_indices(MARK);
        let lines = starts.map(|(start, _)| text[start..].lines().next().unwrap_or_default());
        lines.filter_map(Self::parse).collect()
    }
}
