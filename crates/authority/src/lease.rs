//! The node's one lease. It counts from the moment the grant or renewal was *sent*, less a margin,
//! on the holder's monotonic clock: the service started counting no earlier than that, so the
//! holder always stops believing before the service lets another take over.
//!
//! Implements the lease of `Holder` in `spec/authority.pml`. The model's check `live[lease]` stands
//! for [`LeaseClock::is_valid`], which is never true for longer than the store keeps the lease.

use tansyhall_core::{Duration, Timestamp};

/// A lease of the store, by its identifier there.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Lease(pub i64);

/// When a lease must be considered lapsed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseClock {
    margin: Duration,
    valid_until: Option<Timestamp>,
}

impl LeaseClock {
    /// A lease that is not held yet.
    pub fn new(margin: Duration) -> Self {
        Self {
            margin,
            valid_until: None,
        }
    }

    /// A grant or renewal sent at `sent` was answered with `time_to_live`.
    pub fn renewed(&mut self, sent: Timestamp, time_to_live: Duration) {
        let until = sent + time_to_live.saturating_sub(self.margin);
        self.valid_until = Some(self.valid_until.map_or(until, |current| current.max(until)));
    }

    /// The service said that the lease is gone.
    pub fn lapsed(&mut self) {
        self.valid_until = None;
    }

    /// Whether an order may be sent at `now`.
    pub fn is_valid(&self, now: Timestamp) -> bool {
        self.valid_until.is_some_and(|until| now < until)
    }
}

/// Times of a lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseTiming {
    /// Time to live asked of the store.
    pub time_to_live: Duration,
    /// Time from one renewal's sending to the next.
    pub renewal: Duration,
    /// Taken off the lease's end for clocks that run at different rates.
    pub margin: Duration,
}

/// What the owner tells the keeper.
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
    /// The store does not know the lease any more.
    Lapsed,
    /// The store did not answer. A lease whose grant is lost this way is never used: it lapses.
    NoAnswer,
    /// The node stops as planned.
    Stop,
}

/// What the keeper asks its owner to do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeaseAction {
    /// Nothing before the next tick.
    Wait,
    /// Ask the store for a lease of this time to live.
    Grant(Duration),
    /// Renew the lease.
    Renew(Lease),
    /// Give the lease up, with every key attached to it.
    Revoke(Lease),
}

/// Keeps the lease: one call to the store at a time, none after a planned stop.
#[derive(Debug, Clone)]
pub struct LeaseKeeper {
    timing: LeaseTiming,
    clock: LeaseClock,
    lease: Option<Lease>,
    sent: Option<Timestamp>,
    next: Timestamp,
    stopped: bool,
}

impl LeaseKeeper {
    /// A keeper that holds no lease.
    pub fn new(timing: LeaseTiming) -> Self {
        Self {
            timing,
            clock: LeaseClock::new(timing.margin),
            lease: None,
            sent: None,
            next: Timestamp::default(),
            stopped: false,
        }
    }

    /// The lease, if one is held; whether it is still valid, [`LeaseKeeper::clock`] tells.
    pub fn lease(&self) -> Option<Lease> {
        self.lease
    }

    /// The lease's clock.
    pub fn clock(&self) -> LeaseClock {
        self.clock
    }

    /// Whether what hangs on a lease may be acted on at `now`: it is the lease that is held, and valid.
    /// The clock alone may count for a later lease, which was granted after this one had lapsed.
    pub fn is_valid(&self, lease: Lease, now: Timestamp) -> bool {
        self.lease == Some(lease) && self.clock.is_valid(now)
    }

    /// The next action after an event.
    pub fn step(&mut self, now: Timestamp, event: LeaseEvent) -> LeaseAction {
        match event {
            LeaseEvent::Tick => return self.tick(now),
            LeaseEvent::Stop => return self.stop(),
            LeaseEvent::Granted {
                lease,
                time_to_live,
            } => self.granted(lease, time_to_live),
            LeaseEvent::Renewed { time_to_live } => self.renewed(time_to_live),
            LeaseEvent::Lapsed => self.lapsed(),
            LeaseEvent::NoAnswer => {}
        }
        self.sent = None;
        LeaseAction::Wait
    }

    fn tick(&mut self, now: Timestamp) -> LeaseAction {
        if self.stopped || self.sent.is_some() || now < self.next {
            return LeaseAction::Wait;
        }
        self.sent = Some(now);
        self.next = now + self.timing.renewal;
        match self.lease {
            Some(lease) => LeaseAction::Renew(lease),
            None => LeaseAction::Grant(self.timing.time_to_live),
        }
    }

    fn granted(&mut self, lease: Lease, time_to_live: Duration) {
        if self.stopped {
            return;
        }
        self.lease = Some(lease);
        self.renewed(time_to_live);
    }

    fn renewed(&mut self, time_to_live: Duration) {
        if let (Some(sent), false) = (self.sent, self.stopped) {
            self.clock.renewed(sent, time_to_live);
        }
    }

    fn lapsed(&mut self) {
        self.lease = None;
        self.clock.lapsed();
        self.next = Timestamp::default();
    }

    /// The node stops believing before the store is told, so that no order follows the release.
    fn stop(&mut self) -> LeaseAction {
        self.stopped = true;
        self.clock.lapsed();
        self.lease
            .take()
            .map_or(LeaseAction::Wait, LeaseAction::Revoke)
    }
}
