//! Idle connections to one worker, kept for reuse.

use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::SendRequest;
use tansyhall_core::Timestamp;
use tansyhall_forwarding::IdleRule;

use crate::correlation::CarriedIds;
use crate::worker_http::{HttpConnection, Surplus};
use crate::worker_relay::client::RelayedStatus;

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
    /// What has arrived after its last answer.
    pub surplus: Surplus,
    /// When it becomes too old for reuse.
    pub usable_until: Timestamp,
    /// When it was opened or last received the head of an answer.
    pub last_received_at: Timestamp,
    /// The relay through which it leads to the worker; `None` if it is direct.
    pub relay: Option<Relay>,
    /// The ids of the requests that it has carried.
    pub carried_ids: CarriedIds,
    _open: OpenGuard,
}

/// The relay of a connection.
#[derive(Debug, Clone)]
pub struct Relay {
    /// The name of the relaying gateway.
    pub name: Arc<str>,
    /// What it has reported about the connection.
    pub status: Arc<RelayedStatus>,
}

/// Which idle connections a request may use.
#[derive(Debug, Clone, Copy)]
pub struct Reuse {
    /// Which idle connections are kept.
    pub rule: IdleRule,
    /// Whether the request may use a relayed connection.
    pub allows_relayed: bool,
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
    pub fn new(
        http: HttpConnection,
        relay: Option<Relay>,
        open: OpenGuard,
        now: Timestamp,
    ) -> Self {
        Self {
            sender: http.sender,
            surplus: http.surplus,
            relay,
            usable_until: Timestamp::default(),
            last_received_at: now,
            carried_ids: CarriedIds::default(),
            _open: open,
        }
    }

    /// Returns whether a failure of the connection is one at the worker. The end of a relay says nothing about the worker.
    pub fn fails_at_worker(&self) -> bool {
        self.relay
            .as_ref()
            .is_none_or(|relay| relay.status.is_ended_by_worker())
    }

    /// Returns whether it is direct and has received no answer.
    pub fn is_new_and_direct(&self) -> bool {
        self.relay.is_none() && self.carried_ids.count() == 0
    }

    /// Returns whether the worker, or its end, has closed it before it became too old for reuse.
    fn is_lost(&self, now: Timestamp) -> bool {
        self.usable_until > now && self.sender.is_closed() && self.fails_at_worker()
    }

    fn is_usable(&self, now: Timestamp) -> bool {
        let is_relay_leaving = self
            .relay
            .as_ref()
            .is_some_and(|relay| relay.status.is_leaving());
        self.usable_until > now && !self.sender.is_closed() && !is_relay_leaving
    }

    fn is_kept_by(&self, rule: IdleRule) -> bool {
        match self.relay {
            Some(_) => rule.keeps_relayed,
            None => self.last_received_at >= rule.direct_alive_since,
        }
    }
}

/// Connections to one worker.
#[derive(Debug, Default)]
pub struct Pool {
    idle: Vec<Connection>,
    open: Arc<AtomicU32>,
    /// The time before which no connection is kept for reuse.
    reuse_paused_until: Timestamp,
    /// Whether the worker has closed an idle connection.
    has_lost: bool,
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
    pub fn take(&mut self, now: Timestamp, id: &str, reuse: Reuse) -> Option<Connection> {
        self.prune(now, reuse.rule);
        let is_suitable = |connection: &Connection| {
            let is_path_allowed = connection.relay.is_none() || reuse.allows_relayed;
            is_path_allowed && connection.sender.is_ready() && connection.carried_ids.allows(id)
        };
        let position = self.idle.iter().rposition(is_suitable)?;
        Some(self.idle.remove(position))
    }

    /// Returns whether the worker has closed an idle connection since this was asked last.
    pub fn take_lost(&mut self) -> bool {
        std::mem::take(&mut self.has_lost)
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

    /// Closes idle connections that are closed by the worker, too old for reuse, or not kept by `rule`.
    pub fn prune(&mut self, now: Timestamp, rule: IdleRule) {
        self.has_lost |= self.idle.iter().any(|connection| connection.is_lost(now));
        self.idle
            .retain(|connection| connection.is_usable(now) && connection.is_kept_by(rule));
    }
}
