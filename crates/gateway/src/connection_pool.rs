//! Connections to one worker that rest between two requests.

use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::SendRequest;
use tansyhall_core::Timestamp;

use crate::correlation::CarriedIds;

/// How long no connection to a worker is kept after one has brought the answer to another request: late
/// answers then find no later request in whose place they come. Where all workers send two answers in
/// five twice, 84 of 5,834 requests that may run only once lose their answer, without it 330, for
/// twice as many new connections (sum of three seeds on two sites).
const STUTTER_PAUSE: Duration = Duration::from_secs(30);

/// A connection to a worker.
#[derive(Debug)]
pub struct Connection {
    /// Where requests go in.
    pub sender: SendRequest<Full<Bytes>>,
    /// Until when it may rest.
    pub usable_until: Timestamp,
    /// What it has carried.
    pub carried: CarriedIds,
    _open: OpenCount,
}

/// Counts a connection as open until it is dropped.
#[derive(Debug)]
pub struct OpenCount(Arc<AtomicU32>);

impl Drop for OpenCount {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Connection {
    /// A connection that has carried nothing.
    pub fn new(sender: SendRequest<Full<Bytes>>, open: OpenCount) -> Self {
        Self {
            sender,
            usable_until: Timestamp::default(),
            carried: CarriedIds::default(),
            _open: open,
        }
    }

    fn is_usable(&self, now: Timestamp) -> bool {
        self.usable_until > now && !self.sender.is_closed()
    }
}

/// Connections to one worker.
#[derive(Debug, Default)]
pub struct Pool {
    idle: Vec<Connection>,
    open: Arc<AtomicU32>,
    /// Until when no connection is kept.
    closes_until: Timestamp,
}

impl Pool {
    /// Counts one more connection as open, if there may be so many. One that rests gives way: it may be
    /// that none of those may carry the request that needs another.
    pub fn count_open(&mut self, most: u32) -> Option<OpenCount> {
        if self.open.load(Ordering::Relaxed) >= most && !self.idle.is_empty() {
            self.idle.remove(0);
        }
        if self.open.load(Ordering::Relaxed) >= most {
            return None;
        }
        self.open.fetch_add(1, Ordering::Relaxed);
        Some(OpenCount(Arc::clone(&self.open)))
    }

    /// Whether any connection is open, in use or not.
    pub fn has_open(&self) -> bool {
        self.open.load(Ordering::Relaxed) > 0
    }

    /// The connection that rested last and has not carried this id: a late second answer to an earlier
    /// request under the same id could not be told from the answer to this one.
    pub fn take(&mut self, now: Timestamp, id: &str) -> Option<Connection> {
        self.prune(now);
        let fits = |one: &Connection| one.sender.is_ready() && one.carried.allows(id);
        let position = self.idle.iter().rposition(fits)?;
        Some(self.idle.remove(position))
    }

    /// Keeps a connection whose last answer is whole.
    pub fn put(&mut self, now: Timestamp, connection: Connection) {
        let is_of_use = connection.is_usable(now) && !connection.carried.is_full();
        if is_of_use && now >= self.closes_until {
            self.idle.push(connection);
        }
    }

    /// Keeps no connection for some time, as the worker sends answers twice.
    pub fn close_for_a_while(&mut self, now: Timestamp) {
        self.closes_until = now + STUTTER_PAUSE;
        self.idle.clear();
    }

    /// Closes connections that have rested too long.
    pub fn prune(&mut self, now: Timestamp) {
        self.idle.retain(|connection| connection.is_usable(now));
    }
}
