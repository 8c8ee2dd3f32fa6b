//! Division of one rate limit between gateways by their demand.
//!
//! A limit of R requests per second allows R t + R + 2 requests in any time t. It is divided into a reserve and a main
//! part. The reserve is [`RESERVE_FRACTION`] of the rate, in slots that each have the capacity of one request; the first
//! gateways of a worker's rendezvous order hold one slot each and never lose it while they belong to the fleet. The main
//! part has the other fraction of the rate and the remaining capacity, and is leased in millionths ([`Portion`]).

use std::cmp::Reverse;

use super::MemberKey;
use crate::rate_limit::RateLimit;

/// Millionths in the whole main part.
pub const WHOLE_PPM: u32 = 1_000_000;
/// Parts of a token: a rate of a thousandth of a request per second adds one in a microsecond.
pub const PARTS_PER_TOKEN: u64 = 1_000_000_000;
/// The fraction of a rate that is kept for gateways whose demand is unknown, as a divisor: one tenth. A limit used by a
/// gateway without a slot still reaches 0.9.
const RESERVE_DIVISOR: u64 = 10;
/// How many times as much another gateway must demand to get the lease of one that has the capacity of one request. Leases
/// that move with each report are used by neither.
const LEASE_PREFERENCE: u64 = 4;
/// Capacity of a gateway without a slot, in hundredths of a request. A bucket that holds a single request loses tokens
/// whenever it is full.
const LEASED_CAPACITY_PERCENT: u64 = 150;
/// Requests that a worker may receive beyond its rate, in addition to those of one second.
const EXTRA_TOKENS: u64 = 2;
/// Parts that a rate of a thousandth of a request per second adds in a second.
const PARTS_PER_MILLI: u64 = 1_000_000;

/// The reserve of one limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Reserve {
    /// Slots into which the reserve is divided.
    pub slots: u64,
    /// Slots that are assigned. One stays free where there are several: a gateway that was removed from the fleet while
    /// it is cut off may still use its slot.
    pub assigned: u64,
}

impl Reserve {
    /// Returns the reserve of a limit. Half of the requests that the limit allows at once are for its slots, the others
    /// for the main part.
    pub fn of(limit: RateLimit) -> Self {
        let whole = limit.millirequests_per_second() / 1_000;
        let slots = ((whole + EXTRA_TOKENS) / 2).max(1);
        Self {
            slots,
            assigned: (slots - 1).max(1),
        }
    }

    /// Returns the rate of one slot in thousandths of a request per second.
    pub fn slot_rate(self, limit: RateLimit) -> u64 {
        limit.millirequests_per_second() / RESERVE_DIVISOR / self.slots
    }
}

/// Returns the rate of the main part in thousandths of a request per second.
pub fn main_rate(limit: RateLimit) -> u64 {
    let rate = limit.millirequests_per_second();
    rate - rate / RESERVE_DIVISOR
}

/// Returns the capacity of the main part in parts of a token.
pub fn main_capacity(limit: RateLimit) -> u64 {
    let burst = limit.millirequests_per_second() * PARTS_PER_MILLI;
    burst + (EXTRA_TOKENS - 1) * PARTS_PER_TOKEN - (Reserve::of(limit).slots - 1) * PARTS_PER_TOKEN
}

/// The demand of one gateway for a worker with a limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Claim {
    /// The gateway.
    pub member: MemberKey,
    /// Its demand in thousandths of a request per second.
    pub demand: u64,
    /// Whether it holds a lease already.
    pub has_lease: bool,
    /// Whether it holds a slot of the reserve. Its capacity is then one request without a part of the main capacity.
    pub has_slot: bool,
}

/// The part of the main rate and of the main capacity that a gateway may use, in millionths.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Portion {
    /// Part of the rate.
    pub rate_ppm: u32,
    /// Part of the capacity.
    pub capacity_ppm: u32,
}

/// What a gateway should get of the main part of a limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Target {
    /// The part.
    pub portion: Portion,
    /// The capacity without which it cannot use the part, in millionths.
    pub least_capacity_ppm: u32,
}

impl Target {
    /// Returns the part that may be granted if at most `available` may be; nothing if that could not be used.
    pub fn within(self, available: Portion) -> Portion {
        if available.capacity_ppm < self.least_capacity_ppm {
            return Portion::default();
        }
        Portion {
            rate_ppm: self.portion.rate_ppm.min(available.rate_ppm),
            capacity_ppm: self.portion.capacity_ppm.min(available.capacity_ppm),
        }
    }
}

/// Divides the main part of a limit: the rate by max-min fairness, and what no gateway demands in proportion to the
/// demands, so that each can grow. If the capacity does not suffice for one request of each gateway, those with the
/// least demand get nothing, with preference for those that have a lease. The sums of both parts are at most [`WHOLE_PPM`].
pub fn divide(limit: RateLimit, claims: &[Claim]) -> Vec<(MemberKey, Target)> {
    let mut chosen: Vec<Claim> = claims
        .iter()
        .filter(|claim| claim.demand > 0)
        .copied()
        .collect();
    let preference = |claim: &Claim| {
        let factor = if claim.has_lease { LEASE_PREFERENCE } else { 1 };
        claim.demand.saturating_mul(factor)
    };
    chosen.sort_by_key(|claim| (Reverse(preference(claim)), claim.member));
    let request = leased_capacity_ppm(limit);
    let mut spare = WHOLE_PPM;
    chosen.retain(|claim| {
        let cost = if claim.has_slot { 0 } else { request };
        let fits = cost <= spare;
        spare -= if fits { cost } else { 0 };
        fits
    });
    chosen.sort_by_key(|claim| (Reverse(claim.demand), claim.member));
    let rates = divide_rate(main_rate(limit), &chosen);
    let portions = chosen.iter().zip(rates).map(|(claim, rate_ppm)| {
        let own = if claim.has_slot { 0 } else { request };
        let of_spare = u64::from(spare) * u64::from(rate_ppm) / u64::from(WHOLE_PPM);
        let capacity_ppm = own + of_spare as u32;
        let portion = Portion {
            rate_ppm,
            capacity_ppm,
        };
        let target = Target {
            portion,
            least_capacity_ppm: own,
        };
        (claim.member, target)
    });
    portions.collect()
}

/// Returns the part of the main capacity that a gateway without a slot needs, rounded up.
fn leased_capacity_ppm(limit: RateLimit) -> u32 {
    let whole = u64::from(WHOLE_PPM);
    let needed = PARTS_PER_TOKEN / 100 * LEASED_CAPACITY_PERCENT;
    let ppm = (needed * whole).div_ceil(main_capacity(limit));
    ppm.min(whole) as u32
}

/// Returns the rates of claims, which are ordered by decreasing demand, in millionths of `whole`.
fn divide_rate(whole: u64, claims: &[Claim]) -> Vec<u32> {
    let mut rates = vec![0; claims.len()];
    let mut rest = whole;
    for (index, claim) in claims.iter().enumerate().rev() {
        rates[index] = claim.demand.min(rest / (index as u64 + 1));
        rest -= rates[index];
    }
    let total: u128 = claims.iter().map(|claim| u128::from(claim.demand)).sum();
    for (rate, claim) in rates.iter_mut().zip(claims) {
        let extra = u128::from(rest) * u128::from(claim.demand) / total.max(1);
        *rate += extra as u64;
    }
    let in_ppm =
        |rate: u64| (u128::from(rate) * u128::from(WHOLE_PPM) / u128::from(whole.max(1))) as u32;
    rates.into_iter().map(in_ppm).collect()
}
