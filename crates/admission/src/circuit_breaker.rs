//! A circuit breaker for one back end, driven by the observed outcomes of attempts. After several
//! consecutive failures it opens and refuses attempts. After a delay it admits one probe. If the probe
//! succeeds, the breaker closes; if it fails, the breaker opens for longer.

use std::time::Duration;

use tansyhall_core::Timestamp;

use crate::backoff::Backoff;

/// Thresholds and time-outs of a circuit breaker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BreakerSettings {
    /// Number of consecutive failures that open the breaker.
    pub failure_threshold: u32,
    /// How long the breaker stays open; the delay doubles with each failed probe.
    pub open_backoff: Backoff,
    /// Time without an outcome of a probe after which another probe is admitted.
    pub probe_timeout: Duration,
}

/// An event that the breaker reacts to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BreakerEvent {
    /// An attempt is about to be made.
    Attempt,
    /// An attempt succeeded.
    Success,
    /// An attempt failed because of the back end.
    Failure,
}

/// Decision of the breaker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BreakerDecision {
    /// The back end may be used.
    Admit,
    /// The back end must not be used for this long.
    Refuse {
        /// Time until the next probe is admitted.
        probe_in: Duration,
    },
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    Closed {
        failures: u32,
    },
    Open {
        probe_at: Timestamp,
        failed_probes: u32,
    },
    Probing {
        since: Timestamp,
        failed_probes: u32,
    },
}

/// A circuit breaker for one back end.
#[derive(Debug, Clone)]
pub struct CircuitBreaker {
    settings: BreakerSettings,
    state: State,
}

impl CircuitBreaker {
    /// Returns a closed breaker.
    pub fn new(settings: BreakerSettings) -> Self {
        Self {
            settings,
            state: State::Closed { failures: 0 },
        }
    }

    /// Returns whether the back end may be used now, without starting a probe.
    pub fn peek(&self, now: Timestamp) -> BreakerDecision {
        let probe_at = match self.state {
            State::Closed { .. } => return BreakerDecision::Admit,
            State::Open { probe_at, .. } => probe_at,
            State::Probing { since, .. } => since + self.settings.probe_timeout,
        };
        if now >= probe_at {
            return BreakerDecision::Admit;
        }
        BreakerDecision::Refuse {
            probe_in: probe_at.since(now),
        }
    }

    /// Processes one event and returns whether the back end may be used after it.
    pub fn step(&mut self, now: Timestamp, event: BreakerEvent) -> BreakerDecision {
        match event {
            BreakerEvent::Attempt => return self.start_attempt(now),
            BreakerEvent::Success => self.state = State::Closed { failures: 0 },
            BreakerEvent::Failure => self.record_failure(now),
        }
        self.peek(now)
    }

    /// Returns whether the breaker is closed.
    pub fn is_closed(&self) -> bool {
        matches!(self.state, State::Closed { .. })
    }

    /// Returns whether the breaker is in its initial state, closed and without failures, and can be dropped.
    pub fn has_no_failures(&self) -> bool {
        self.state == State::Closed { failures: 0 }
    }

    fn start_attempt(&mut self, now: Timestamp) -> BreakerDecision {
        let decision = self.peek(now);
        if decision == BreakerDecision::Admit {
            self.state = match self.state {
                State::Closed { failures } => State::Closed { failures },
                State::Open { failed_probes, .. } | State::Probing { failed_probes, .. } => {
                    State::Probing {
                        since: now,
                        failed_probes,
                    }
                }
            };
        }
        decision
    }

    fn record_failure(&mut self, now: Timestamp) {
        self.state = match self.state {
            State::Closed { failures } if failures + 1 < self.settings.failure_threshold => {
                State::Closed {
                    failures: failures + 1,
                }
            }
            State::Closed { .. } => self.open_state(now, 0),
            State::Probing { failed_probes, .. } => {
                self.open_state(now, failed_probes.saturating_add(1))
            }
            // The attempt started before the breaker opened, so its failure is no new information.
            unchanged @ State::Open { .. } => unchanged,
        };
    }

    fn open_state(&self, now: Timestamp, failed_probes: u32) -> State {
        let delay = self.settings.open_backoff.delay(failed_probes, 1.0);
        State::Open {
            probe_at: now + delay,
            failed_probes,
        }
    }
}
