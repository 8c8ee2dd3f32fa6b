//! A circuit breaker for one back end, driven by observed outcomes. After several failures in a
//! row it opens and refuses attempts; after a while it lets one probe through, whose outcome closes
//! it or opens it for longer.

use std::time::Duration;

use tansyhall_core::Timestamp;

use crate::backoff::Backoff;

/// Sizes of a breaker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BreakerSettings {
    /// Failures in a row that open it.
    pub failures: u32,
    /// How long it stays open; the wait doubles with each failed probe.
    pub open: Backoff,
    /// How long a probe may go without an outcome before another is let through.
    pub probe: Duration,
}

/// What happened.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BreakerEvent {
    /// An attempt is about to be made.
    Attempt,
    /// An attempt succeeded.
    Success,
    /// An attempt failed for a reason that lies with the back end.
    Failure,
}

/// The breaker's answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BreakerDecision {
    /// The back end may be used.
    Admit,
    /// The back end must not be used for this long.
    Refuse {
        /// Time until the next probe.
        probe_in: Duration,
    },
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    Closed { failures: u32 },
    Open { probe_at: Timestamp, opened: u32 },
    Probing { since: Timestamp, opened: u32 },
}

/// The breaker.
#[derive(Debug, Clone)]
pub struct CircuitBreaker {
    settings: BreakerSettings,
    state: State,
}

impl CircuitBreaker {
    /// A closed breaker.
    pub fn new(settings: BreakerSettings) -> Self {
        Self {
            settings,
            state: State::Closed { failures: 0 },
        }
    }

    /// Whether the back end may be used now, without taking the probe's place.
    pub fn peek(&self, now: Timestamp) -> BreakerDecision {
        let next = match self.state {
            State::Closed { .. } => return BreakerDecision::Admit,
            State::Open { probe_at, .. } => probe_at,
            State::Probing { since, .. } => since + self.settings.probe,
        };
        if now >= next {
            return BreakerDecision::Admit;
        }
        BreakerDecision::Refuse {
            probe_in: next.since(now),
        }
    }

    /// Takes one event and says whether the back end may be used after it.
    pub fn step(&mut self, now: Timestamp, event: BreakerEvent) -> BreakerDecision {
        match event {
            BreakerEvent::Attempt => return self.attempt(now),
            BreakerEvent::Success => self.state = State::Closed { failures: 0 },
            BreakerEvent::Failure => self.fail(now),
        }
        self.peek(now)
    }

    /// Whether the breaker is closed.
    pub fn is_closed(&self) -> bool {
        matches!(self.state, State::Closed { .. })
    }

    /// Whether the breaker holds nothing worth keeping.
    pub fn is_quiet(&self) -> bool {
        self.state == State::Closed { failures: 0 }
    }

    fn attempt(&mut self, now: Timestamp) -> BreakerDecision {
        let decision = self.peek(now);
        if decision == BreakerDecision::Admit {
            self.state = match self.state {
                State::Closed { failures } => State::Closed { failures },
                State::Open { opened, .. } | State::Probing { opened, .. } => {
                    State::Probing { since: now, opened }
                }
            };
        }
        decision
    }

    fn fail(&mut self, now: Timestamp) {
        self.state = match self.state {
            State::Closed { failures } if failures + 1 < self.settings.failures => State::Closed {
                failures: failures + 1,
            },
            State::Closed { .. } => self.open(now, 0),
            State::Probing { opened, .. } => self.open(now, opened.saturating_add(1)),
            // An attempt from before the breaker opened tells nothing new.
            open @ State::Open { .. } => open,
        };
    }

    fn open(&self, now: Timestamp, opened: u32) -> State {
        let wait = self.settings.open.wait(opened, 1.0);
        State::Open {
            probe_at: now + wait,
            opened,
        }
    }
}
