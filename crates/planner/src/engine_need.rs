//! Estimates how many engines a service needs so that prompts are read in time, from the number of engines that the
//! demand keeps busy.
//!
//! The headroom is chosen for prompts that take 0.25 s to 0.5 s to read on an engine that reads one prompt at a time,
//! with an objective of 0.5 s. A prompt of 0.5 s is late if it waits at all, so nearly every prompt has to find an idle
//! engine. In a queue with Poisson arrivals (M/M/c), 17 engines are needed if 10 are busy on average, and 35 if 25 are,
//! for at most [`WAITING_FRACTION`] of the prompts to wait; the mean wait is then below 0.05 of a reading time. The
//! utilization that this permits grows with the number of engines: 0.59 at 10 and 0.71 at 25 busy engines. A fixed
//! utilization would be too high for a few engines and too expensive for many.
//!
//! Four properties of the load increase the number of busy engines that the headroom is computed for:
//!
//! - The mix of long prompts and short questions changes every 2.8 s, but an engine needs 3 s to change its role. The
//!   engines of one role therefore do not help the other one: each role is staffed for its own peak.
//! - The observed demand is a rate with a half-life of 2 s. If the demand alternates every 2.8 s, the rate shows 0.45
//!   of the actual swing. [`HIDDEN_RISE`] of an observed rise is added to it.
//! - Engines ordered for a burst serve only after their startup time. Room is kept for a burst of the observed size:
//!   the largest ratio of the demand to the lowest demand within the startup time before it. This number is stated
//!   separately, because a burst and a withdrawal rarely coincide: it is worth the price of spot workers, but not that
//!   of reserved ones.
//! - The mix changes back within 15 s. The number falls only when the demand of the last [`HOLD_SECONDS`] needs
//!   considerably less, and by a limited fraction at a time. It rises at once.

use std::collections::VecDeque;
use std::time::Duration;

use tansyhall_core::Timestamp;

/// Maximum fraction of prompts that find no idle engine.
const WAITING_FRACTION: f64 = 0.05;
/// Seconds for which a peak of the demand is remembered: twice the 15 s after which the mix of requests changes back.
const HOLD_SECONDS: u64 = 30;
/// Length of the intervals whose extremes are stored, in seconds.
const INTERVAL_SECONDS: u64 = 1;
/// Part of an observed rise that the smoothing of the demand hides. With a half-life of 2 s and a change every 2.8 s,
/// the observed swing is 0.45 of the actual one, so half the observed rise times (1 / 0.45 - 1) is missing at the peak.
const HIDDEN_RISE: f64 = 0.6;
/// Size of a burst, as a multiple of the demand before it, that is assumed at first. Bursts double the demand within a
/// second.
const INITIAL_BURST: f64 = 2.0;
/// Time for which bursts must have been observed before [`INITIAL_BURST`] is no longer assumed: the longest time for
/// which the mix of requests stays the same.
const BURST_OBSERVATION: Duration = Duration::from_secs(15);
/// Lower bound of the expected size of a burst, which covers the variation of Poisson arrivals within a second.
const MIN_BURST: f64 = 1.25;
/// Upper bound of the expected size of a burst. A larger ratio means that the load starts anew.
const MAX_BURST: f64 = 2.5;
/// Number of engines added to both sides of the ratio that measures a burst, so that single prompts in a light load do
/// not count as bursts.
const BURST_OFFSET: f64 = 1.0;
/// Time for which demand must have been observed before the estimate is used: the demand of both phases of the mix
/// (2.8 s each) is known by then.
const WARM_UP: Duration = Duration::from_secs(6);
/// Demand, in engines, from which a service counts as used.
const MIN_OBSERVED_DEMAND: f64 = 0.05;
/// Part by which the number is raised above what is required, so that a peak that is a little higher than the last one
/// requires no further orders.
const RAISE_MARGIN: f64 = 0.1;
/// The number falls only if less than this fraction of it is required. A smaller correction saves less than its orders
/// and the orders that revert it cost.
const FALL_THRESHOLD: f64 = 0.9;
/// Maximum fraction of the number that is given up at a time.
const MAX_FALL: f64 = 0.3;
/// Time between two reductions of the number: the new number of workers serves one change of the mix first.
const FALL_INTERVAL: Duration = Duration::from_secs(15);
/// Upper bound of the estimate; no fleet has more workers.
const MAX_ENGINES: u32 = 16_384;

/// Number of engines that the demand of a service keeps busy in each role.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct BusyEngines {
    /// Engines that read long prompts.
    pub prefill: f64,
    /// Engines that decode streams and read short prompts.
    pub decode: f64,
}

/// The minimum and maximum of a value within one interval.
#[derive(Debug, Clone, Copy)]
struct Extremes {
    began_at: Timestamp,
    min: f64,
    max: f64,
}

/// The extremes of a value within the last [`HOLD_SECONDS`].
#[derive(Debug, Clone, Default)]
struct RecentExtremes {
    intervals: VecDeque<Extremes>,
}

impl RecentExtremes {
    fn record(&mut self, now: Timestamp, value: f64) {
        let interval = Duration::from_secs(INTERVAL_SECONDS);
        match self.intervals.back_mut() {
            Some(last) if now.since(last.began_at) < interval => {
                last.min = last.min.min(value);
                last.max = last.max.max(value);
            }
            _ => self.intervals.push_back(Extremes {
                began_at: now,
                min: value,
                max: value,
            }),
        }
        let hold = Duration::from_secs(HOLD_SECONDS + INTERVAL_SECONDS);
        while (self.intervals.front()).is_some_and(|first| now.since(first.began_at) > hold) {
            self.intervals.pop_front();
        }
    }

    fn max(&self) -> f64 {
        let maxima = self.intervals.iter().map(|interval| interval.max);
        maxima.fold(0.0, f64::max)
    }

    /// Returns the minimum within the last `period`, or `None` if nothing was recorded in it.
    fn min_within(&self, now: Timestamp, period: Duration) -> Option<f64> {
        let recent = self.intervals.iter().rev();
        recent
            .take_while(|interval| now.since(interval.began_at) <= period)
            .map(|interval| interval.min)
            .reduce(f64::min)
    }
}

/// The demand on the engines of one role.
#[derive(Debug, Clone, Default)]
struct RoleDemand {
    observed: RecentExtremes,
    /// Estimate of the demand without the smoothing.
    actual: RecentExtremes,
    /// The lowest demand within the startup time of a worker: the demand before a burst that is in progress.
    before: RecentExtremes,
    /// Ratio of the actual demand to the one before.
    bursts: RecentExtremes,
}

impl RoleDemand {
    /// Records the number of busy engines, and returns the number that has to be expected without and with a further
    /// burst. A burst multiplies the demand by at least `min_burst`. At the start of the load, rises are not bursts.
    fn expect(
        &mut self,
        now: Timestamp,
        busy: f64,
        startup: Duration,
        min_burst: f64,
        is_start: bool,
    ) -> (f64, f64) {
        self.observed.record(now, busy);
        let before = self.observed.min_within(now, startup).unwrap_or(busy);
        let actual = busy + HIDDEN_RISE * (busy - before);
        let burst = match is_start {
            true => 1.0,
            false => (actual + BURST_OFFSET) / (before + BURST_OFFSET),
        };
        self.actual.record(now, actual);
        self.before.record(now, before);
        self.bursts.record(now, burst);
        let burst = self.bursts.max().clamp(min_burst, MAX_BURST);
        let peak = self.actual.max();
        (peak, peak.max(self.before.max() * burst))
    }
}

/// Estimate of the engines that a service needs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EngineEstimate {
    /// Number of engines that the recent peak of the demand needs.
    pub needed: u32,
    /// Number of engines that a further burst of the observed size needs as well.
    pub with_burst: u32,
}

/// A number of engines that rises at once and falls slowly.
#[derive(Debug, Clone, Copy, Default)]
struct SlowlyFalling {
    engines: f64,
    fell_at: Option<Timestamp>,
}

impl SlowlyFalling {
    fn follow(&mut self, now: Timestamp, required: f64, min_needed: f64) {
        if required > self.engines {
            self.engines = match required > min_needed {
                true => required * (1.0 + RAISE_MARGIN),
                false => required,
            };
            return;
        }
        let goal = (required * (1.0 + RAISE_MARGIN)).max(min_needed);
        let may_fall = self
            .fell_at
            .is_none_or(|fell_at| now.since(fell_at) >= FALL_INTERVAL);
        if goal < self.engines * FALL_THRESHOLD && may_fall {
            self.engines = goal.max(self.engines * (1.0 - MAX_FALL));
            self.fell_at = Some(now);
        }
    }

    fn workers(&self, min_needed: f64) -> u32 {
        self.engines.max(min_needed).ceil() as u32
    }
}

/// The number of engines that a service needs, which follows the demand.
#[derive(Debug, Clone, Default)]
pub struct EngineNeed {
    prefill: RoleDemand,
    decode: RoleDemand,
    used_since: Option<Timestamp>,
    needed: SlowlyFalling,
    with_burst: SlowlyFalling,
}

impl EngineNeed {
    /// Records that the demand keeps `busy` engines busy at `now`, and returns the number of engines that it needs, at
    /// least `min_needed`. An ordered engine serves after `startup`. Returns `None` until enough is known about the
    /// demand.
    pub fn update(
        &mut self,
        now: Timestamp,
        busy: BusyEngines,
        startup: Duration,
        min_needed: f64,
    ) -> Option<EngineEstimate> {
        let demand = |engines: f64| match engines.is_finite() {
            true => engines.clamp(0.0, f64::from(MAX_ENGINES)),
            false => 0.0,
        };
        let (prefill, decode) = (demand(busy.prefill), demand(busy.decode));
        if self.used_since.is_none() && prefill + decode < MIN_OBSERVED_DEMAND {
            return None;
        }
        let observed_for = now.since(*self.used_since.get_or_insert(now));
        let min_burst = match observed_for < BURST_OBSERVATION {
            true => INITIAL_BURST,
            false => MIN_BURST,
        };
        let is_start = observed_for < WARM_UP;
        let prefill = self
            .prefill
            .expect(now, prefill, startup, min_burst, is_start);
        let decode = self
            .decode
            .expect(now, decode, startup, min_burst, is_start);
        let required =
            |prefill, decode| f64::from(engines_for(prefill) + engines_for(decode)).max(min_needed);
        self.needed
            .follow(now, required(prefill.0, decode.0), min_needed);
        self.with_burst
            .follow(now, required(prefill.1, decode.1), min_needed);
        (!is_start).then(|| self.estimate(min_needed))
    }

    /// Returns the number of engines that the demand observed so far needs, at least `min_needed`.
    pub fn estimate(&self, min_needed: f64) -> EngineEstimate {
        let needed = self.needed.workers(min_needed);
        EngineEstimate {
            needed,
            with_burst: self.with_burst.workers(min_needed).max(needed),
        }
    }
}

/// Returns the smallest number of engines at which at most [`WAITING_FRACTION`] of the prompts find all engines busy,
/// if the prompts keep `busy` engines busy on average (Erlang's C formula).
pub fn engines_for(busy: f64) -> u32 {
    if busy <= 0.0 {
        return 0;
    }
    // Erlang's B formula, by its recursion over the number of engines.
    let mut blocked = 1.0;
    for engines in 1..MAX_ENGINES {
        let count = f64::from(engines);
        blocked = busy * blocked / (count + busy * blocked);
        let utilization = busy / count;
        let waiting = blocked / (1.0 - utilization * (1.0 - blocked));
        if utilization < 1.0 && waiting <= WAITING_FRACTION {
            return engines;
        }
    }
    MAX_ENGINES
}
