//! The lease of a node. The holder counts the time to live from the moment it *sent* the grant or
//! renewal request, on its own monotonic clock, and subtracts a margin. The store starts to count no
//! earlier than that, so the holder always considers the lease lapsed before the store lets another
//! node take over.
//!
//! Implements the lease of `Holder` in `spec/authority.pml`. The model's check `live[lease]` stands
//! for [`LeaseValidity::is_valid`], which is never true for longer than the store keeps the lease.

use tansyhall_core::{Duration, Timestamp};

/// Time after an unanswered request for a new lease until the next one. It doubles with each further one, up to the
/// renewal interval.
const FIRST_GRANT_RETRY_DELAY: Duration = Duration::from_millis(250);
/// Number of doublings after which the delay stays as it is.
const MAX_DOUBLINGS: u32 = 8;

/// The store's identifier of a lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Lease(pub i64);

/// The period for which the holder may rely on a lease, on the holder's clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseValidity {
    clock_drift_margin: Duration,
    valid_until: Option<Timestamp>,
}

impl LeaseValidity {
    /// Creates the state of a lease that has not been granted yet.
    pub fn new(clock_drift_margin: Duration) -> Self {
        Self {
            clock_drift_margin,
            valid_until: None,
        }
    }

    /// Records that the store answered a grant or renewal request sent at `sent_at` with `time_to_live`.
    /// A late answer never shortens the validity.
    pub fn record_renewal(&mut self, sent_at: Timestamp, time_to_live: Duration) {
        let until = sent_at + time_to_live.saturating_sub(self.clock_drift_margin);
        self.valid_until = Some(self.valid_until.map_or(until, |current| current.max(until)));
    }

    /// Records that the lease has ended: it lapsed at the store, or the node stops.
    pub fn record_end(&mut self) {
        self.valid_until = None;
    }

    /// Returns whether the lease is valid at `now`, so that an order may be sent.
    pub fn is_valid(&self, now: Timestamp) -> bool {
        self.valid_until.is_some_and(|until| now < until)
    }
}

/// Durations that govern a lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseTiming {
    /// Time to live to request from the store.
    pub time_to_live: Duration,
    /// Time between sending one renewal request and sending the next.
    pub renewal_interval: Duration,
    /// Subtracted from the end of the lease, because the clocks of the node and the store may run at
    /// different rates.
    pub clock_drift_margin: Duration,
}

/// Input to [`LeaseHolder::step`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeaseEvent {
    /// Time has passed.
    Tick,
    /// The store granted a lease.
    Granted {
        /// The lease.
        lease: Lease,
        /// The time to live granted.
        time_to_live: Duration,
    },
    /// The store renewed the lease.
    Renewed {
        /// The time to live granted.
        time_to_live: Duration,
    },
    /// The store no longer knows the lease.
    Lapsed,
    /// The store did not answer. If the answer to a grant is lost, the granted lease is never used and
    /// lapses.
    NoAnswer,
    /// The node shuts down as planned.
    Stop,
}

/// What the caller of [`LeaseHolder::step`] must do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeaseAction {
    /// Do nothing until the next tick.
    Wait,
    /// Request a lease with this time to live from the store.
    Grant(Duration),
    /// Renew the lease.
    Renew(Lease),
    /// Revoke the lease, which deletes every key attached to it.
    Revoke(Lease),
}

/// Obtains a lease and keeps it renewed. At most one grant or renewal request is in progress at a
/// time, and none is started after a planned shutdown.
#[derive(Debug, Clone)]
pub struct LeaseHolder {
    timing: LeaseTiming,
    validity: LeaseValidity,
    lease: Option<Lease>,
    request_sent_at: Option<Timestamp>,
    next_request_at: Timestamp,
    /// Number of requests for a new lease in a row that were not answered.
    unanswered_grants: u32,
    stopped: bool,
}

impl LeaseHolder {
    /// Creates a state machine that holds no lease.
    pub fn new(timing: LeaseTiming) -> Self {
        Self {
            timing,
            validity: LeaseValidity::new(timing.clock_drift_margin),
            lease: None,
            request_sent_at: None,
            next_request_at: Timestamp::default(),
            unanswered_grants: 0,
            stopped: false,
        }
    }

    /// Returns the lease, if one is held. Use [`LeaseHolder::is_valid`] to check whether it is still
    /// valid.
    pub fn lease(&self) -> Option<Lease> {
        self.lease
    }

    /// Returns the validity of the lease, by value.
    pub fn validity(&self) -> LeaseValidity {
        self.validity
    }

    /// Returns whether `lease` is the lease that is held and is valid at `now`, so that rights attached
    /// to it may be used. Checking [`LeaseHolder::validity`] alone is not enough: it may describe a later
    /// lease, granted after `lease` had lapsed.
    pub fn is_valid(&self, lease: Lease, now: Timestamp) -> bool {
        self.lease == Some(lease) && self.validity.is_valid(now)
    }

    /// Processes an event and returns the next action.
    pub fn step(&mut self, now: Timestamp, event: LeaseEvent) -> LeaseAction {
        match event {
            LeaseEvent::Tick => return self.tick(now),
            LeaseEvent::Stop => return self.stop(),
            LeaseEvent::Granted {
                lease,
                time_to_live,
            } => self.apply_grant(lease, time_to_live),
            LeaseEvent::Renewed { time_to_live } => self.apply_renewal(time_to_live),
            LeaseEvent::Lapsed => self.apply_lapse(),
            LeaseEvent::NoAnswer => self.apply_no_answer(now),
        }
        self.request_sent_at = None;
        LeaseAction::Wait
    }

    fn tick(&mut self, now: Timestamp) -> LeaseAction {
        if self.stopped || self.request_sent_at.is_some() || now < self.next_request_at {
            return LeaseAction::Wait;
        }
        self.request_sent_at = Some(now);
        self.next_request_at = now + self.timing.renewal_interval;
        match self.lease {
            Some(lease) => LeaseAction::Renew(lease),
            None => LeaseAction::Grant(self.timing.time_to_live),
        }
    }

    fn apply_grant(&mut self, lease: Lease, time_to_live: Duration) {
        if self.stopped {
            return;
        }
        self.lease = Some(lease);
        self.unanswered_grants = 0;
        self.apply_renewal(time_to_live);
    }

    /// Repeats an unanswered request for a new lease sooner than a renewal, which has the time to live to succeed: a node
    /// without a lease is unknown to the others.
    fn apply_no_answer(&mut self, now: Timestamp) {
        if self.lease.is_some() {
            return;
        }
        let doublings = self.unanswered_grants.min(MAX_DOUBLINGS);
        let delay = FIRST_GRANT_RETRY_DELAY * 2_u32.pow(doublings);
        self.next_request_at = now + delay.min(self.timing.renewal_interval);
        self.unanswered_grants = doublings + 1;
    }

    fn apply_renewal(&mut self, time_to_live: Duration) {
        if let (Some(sent_at), false) = (self.request_sent_at, self.stopped) {
            self.validity.record_renewal(sent_at, time_to_live);
        }
    }

    fn apply_lapse(&mut self) {
        self.lease = None;
        self.validity.record_end();
        self.next_request_at = Timestamp::default();
    }

    /// Marks the lease as lapsed before the store is asked to revoke it, so that no order is sent after
    /// the lease is released.
    fn stop(&mut self) -> LeaseAction {
        self.stopped = true;
        self.validity.record_end();
        self.lease
            .take()
            .map_or(LeaseAction::Wait, LeaseAction::Revoke)
    }
}
