//! Idle connections to one worker, kept for reuse.

use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::SendRequest;
use tansyhall_core::Timestamp;

use crate::correlation::CarriedIds;

/// How long no connection to a worker is kept for reuse after one of them has carried the answer to another request. A
/// late answer then cannot arrive in place of the answer to a later request. When all workers send two of five answers
/// twice, 84 of 5,834 requests that may run only once lose their answer, compared with 330 without this pause, at the
/// cost of twice as many new connections (sum of three seeds on two sites).
const REUSE_PAUSE: Duration = Duration::from_secs(30);

/// A connection to a worker.
#[derive(Debug)]
pub struct Connection {
    /// Sends requests on the connection.
    pub sender: SendRequest<Full<Bytes>>,
    /// When it becomes too old for reuse.
    pub usable_until: Timestamp,
    /// When it was opened or last received the head of an answer.
    pub last_received_at: Timestamp,
    /// The ids of the requests that it has carried.
    pub carried_ids: CarriedIds,
    _open: OpenGuard,
}

/// Counts a connection as open until it is dropped.
#[derive(Debug)]
pub struct OpenGuard(Arc<AtomicU32>);

impl Drop for OpenGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Connection {
    /// Creates a connection that has carried no request.
    pub fn new(sender: SendRequest<Full<Bytes>>, open: OpenGuard, now: Timestamp) -> Self {
        Self {
            sender,
            usable_until: Timestamp::default(),
            last_received_at: now,
            carried_ids: CarriedIds::default(),
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
    /// The time before which no connection is kept for reuse.
    reuse_paused_until: Timestamp,
}

impl Pool {
    /// Counts one more connection as open, or returns `None` if `max_open` are open. An idle connection is closed first if
    /// the limit is reached: it may be that no idle connection may carry the request that needs another one.
    pub fn try_open(&mut self, max_open: u32) -> Option<OpenGuard> {
        if self.open.load(Ordering::Relaxed) >= max_open && !self.idle.is_empty() {
            self.idle.remove(0);
        }
        if self.open.load(Ordering::Relaxed) >= max_open {
            return None;
        }
        self.open.fetch_add(1, Ordering::Relaxed);
        Some(OpenGuard(Arc::clone(&self.open)))
    }

    /// Returns whether any connection is open, in use or idle.
    pub fn has_open(&self) -> bool {
        self.open.load(Ordering::Relaxed) > 0
    }

    /// Takes the most recently used idle connection that has not carried this id: a late second answer to an earlier
    /// request with the same id could not be distinguished from the answer to this one.
    pub fn take(&mut self, now: Timestamp, id: &str) -> Option<Connection> {
        self.prune(now);
        let is_suitable = |connection: &Connection| {
            connection.sender.is_ready() && connection.carried_ids.allows(id)
        };
        let position = self.idle.iter().rposition(is_suitable)?;
        Some(self.idle.remove(position))
    }

    /// Keeps a connection for reuse after a complete answer.
    pub fn put(&mut self, now: Timestamp, connection: Connection) {
        let is_reusable = connection.is_usable(now) && !connection.carried_ids.is_full();
        if is_reusable && now >= self.reuse_paused_until {
            self.idle.push(connection);
        }
    }

    /// Closes idle connections and keeps none for `REUSE_PAUSE`, because the worker sends answers twice.
    pub fn pause_reuse(&mut self, now: Timestamp) {
        self.reuse_paused_until = now + REUSE_PAUSE;
        self.idle.clear();
    }

    /// Closes idle connections that have received nothing for the time `silence`.
    pub fn close_silent_connections(&mut self, silence: Duration, now: Timestamp) {
        self.idle
            .retain(|connection| now.since(connection.last_received_at) < silence);
    }

    /// Closes idle connections that are closed by the worker or too old for reuse.
    pub fn prune(&mut self, now: Timestamp) {
        self.idle.retain(|connection| connection.is_usable(now));
    }
}
