//! A token bucket whose rate and capacity change with the gateway's share of a limit.

use std::time::Duration;

use tansyhall_core::Timestamp;

use super::division::PARTS_PER_TOKEN;

/// Advised wait while a share has no rate: another may have been granted by then.
const ZERO_RATE_WAIT: Duration = Duration::from_secs(1);

/// What a gateway may use of one limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Share {
    /// Thousandths of a request per second.
    pub rate: u64,
    /// Capacity in parts of a token ([`PARTS_PER_TOKEN`]).
    pub capacity: u64,
}

/// Tokens for requests to one worker. A share that becomes larger adds no tokens at once; one that becomes smaller takes
/// away those beyond its capacity.
#[derive(Debug, Clone, Copy)]
pub struct ShareBucket {
    level: u64,
    share: Share,
    /// The end of the current share, and what is left from then on.
    until: Option<(Timestamp, Share)>,
    refilled_at: Timestamp,
}

impl ShareBucket {
    /// Creates an empty bucket without a share.
    pub fn empty(now: Timestamp) -> Self {
        Self {
            level: 0,
            share: Share::default(),
            until: None,
            refilled_at: now,
        }
    }

    /// Returns the share that is in use at `now`.
    pub fn share(&self, now: Timestamp) -> Share {
        match self.until {
            Some((end, rest)) if end <= now => rest,
            _ => self.share,
        }
    }

    /// Sets the share from now on, and the share that remains after a time, if this one ends.
    pub fn set_share(&mut self, now: Timestamp, share: Share, until: Option<(Timestamp, Share)>) {
        self.settle(now);
        self.share = share;
        self.until = until;
        self.settle(now);
    }

    /// Returns the time until a token is available; zero if there is one.
    pub fn wait(&self, now: Timestamp) -> Duration {
        let mut settled = *self;
        settled.settle(now);
        let missing = PARTS_PER_TOKEN.saturating_sub(settled.level);
        match (missing, settled.share.rate) {
            (0, _) => Duration::ZERO,
            (_, rate) if rate == 0 || settled.share.capacity < PARTS_PER_TOKEN => ZERO_RATE_WAIT,
            (missing, rate) => Duration::from_micros(missing.div_ceil(rate)),
        }
    }

    /// Takes a token; returns whether there was one.
    pub fn take(&mut self, now: Timestamp) -> bool {
        self.settle(now);
        let has_token = self.level >= PARTS_PER_TOKEN;
        if has_token {
            self.level -= PARTS_PER_TOKEN;
        }
        has_token
    }

    /// Returns a token of a request that was not sent.
    pub fn put_back(&mut self, now: Timestamp) {
        self.settle(now);
        self.level = (self.level + PARTS_PER_TOKEN).min(self.share.capacity);
    }

    /// Adds the tokens up to `now`, with the share that was in force at each time.
    fn settle(&mut self, now: Timestamp) {
        if let Some((end, rest)) = self.until.filter(|(end, _)| *end <= now) {
            self.refill(end);
            self.share = rest;
            self.until = None;
        }
        self.refill(now);
    }

    fn refill(&mut self, now: Timestamp) {
        let elapsed = now.since(self.refilled_at).as_micros() as u64;
        let gained = elapsed.saturating_mul(self.share.rate);
        self.level = self.level.saturating_add(gained).min(self.share.capacity);
        self.refilled_at = now.max(self.refilled_at);
    }
}
