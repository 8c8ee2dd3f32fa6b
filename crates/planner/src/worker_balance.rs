//! Decides how many reserved and spot workers of a service each zone should have.
//!
//! Workers are billed by the second. Reserved workers stay for as long as they are wanted. Spot workers cost a
//! fraction of the price of reserved ones, but the provider may withdraw all spot workers of a zone at once
//! with little notice. Most workers are therefore spot workers, with enough spare ones to survive such a
//! withdrawal, spread evenly over the zones:
//!
//! 1. Each zone gets an equal share of the wanted workers. The remainder goes to the cheapest zones.
//! 2. The minimum number of workers of a zone are reserved. All others are spot workers where these are
//!    available and cheaper.
//! 3. Spot workers that a zone cannot provide are ordered in the other zones, up to the maximum number of
//!    workers of a zone.
//! 4. If the loss of all spot workers of one zone would leave fewer workers than the demand needs, reserved
//!    workers are added in the cheapest zones.
//! 5. Workers that are no longer wanted are released only when their replacements already serve.

use tansyhall_core::ZoneName;

/// How many workers there should be in all zones together.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WorkerTargets {
    /// Number of reserved workers that the operator planned. While spot workers replace them, no fewer workers
    /// serve.
    pub planned: u32,
    /// Number of workers to have if they can be had at the price of spot workers.
    pub wanted: u32,
    /// Number of workers to have at any price, even when the spot workers of one zone are withdrawn.
    pub needed: u32,
}

/// Fraction of the cost of the planned reserved workers that is spent on spot workers. It buys more workers than
/// planned, which serve bursts that the planned ones could not.
const SPOT_BUDGET_SHARE: f64 = 0.44;

/// Returns how many workers to aim for where the operator planned `planned` reserved ones: as many spot workers
/// as [`SPOT_BUDGET_SHARE`] of the planned cost buys, and at least enough that `planned` workers remain when the
/// workers of one zone are withdrawn, but never more than the planned cost pays for.
pub fn affordable_workers(planned: u32, zones: usize, limits: &WorkerLimits) -> u32 {
    let Some(price) = limits.spot_price.filter(|price| *price < 1.0) else {
        return planned;
    };
    let planned = f64::from(planned);
    let price = price.max(f64::MIN_POSITIVE);
    let zones = zones.max(1) as f64;
    let redundant = planned * zones / (zones - 1.0).max(1.0);
    let bought = planned * SPOT_BUDGET_SHARE / price;
    redundant.max(bought).min(planned / price).ceil() as u32
}

/// Limits on the workers of a service in each zone, and the price of spot workers.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WorkerLimits {
    /// Minimum number of workers of both kinds in a zone.
    pub min_workers: u32,
    /// Maximum number of workers of both kinds in a zone.
    pub max_workers: u32,
    /// Price of a spot worker as a fraction of the price of a reserved one; `None` if there are no spot workers.
    pub spot_price: Option<f64>,
}

/// The current workers of one zone.
#[derive(Debug, Clone, PartialEq)]
pub struct ZoneWorkers {
    /// Name of the zone.
    pub zone: ZoneName,
    /// Price of a reserved worker per second.
    pub price: f64,
    /// Number of reserved workers that accept requests.
    pub reserved: u32,
    /// Number of spot workers that accept requests.
    pub spot: u32,
    /// Whether the zone has spot workers to offer, as far as is known.
    pub has_spot: bool,
}

/// The workers that one zone should have.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ZoneGoal {
    /// Name of the zone.
    pub zone: ZoneName,
    /// Number of reserved workers.
    pub reserved: u32,
    /// Number of spot workers.
    pub spot: u32,
}

/// Returns the workers that each zone should have, in the order of `zones`.
pub fn balance_workers(
    zones: &[ZoneWorkers],
    limits: &WorkerLimits,
    workers: WorkerTargets,
) -> Vec<ZoneGoal> {
    let by_price = order_by_price(zones);
    let shares = equal_shares(zones.len(), &by_price, limits, workers.wanted);
    let spot_is_cheaper = limits.spot_price.is_some_and(|price| price < 1.0);
    let mut goals: Vec<ZoneGoal> = zones
        .iter()
        .zip(&shares)
        .map(|(zone, share)| plan_zone(zone, *share, limits, spot_is_cheaper))
        .collect();
    if spot_is_cheaper {
        let missing = shares
            .iter()
            .sum::<u32>()
            .saturating_sub(total_workers(&goals));
        add_spot(&mut goals, zones, limits, missing);
    }
    let max_lost = goals.iter().map(|goal| goal.spot).max().unwrap_or_default();
    let remaining = total_workers(&goals) - max_lost;
    let missing = workers.needed.saturating_sub(remaining);
    add_reserved(&mut goals, &by_price, limits, missing);
    let planned = equal_shares(zones.len(), &by_price, limits, workers.planned);
    for (goal, (zone, planned)) in goals.iter_mut().zip(zones.iter().zip(&planned)) {
        keep_reserved_until_replaced(goal, zone, *planned, limits);
    }
    keep_spot_until_replaced(&mut goals, zones, limits, workers.wanted);
    goals
}

fn total_workers(goals: &[ZoneGoal]) -> u32 {
    goals.iter().map(|goal| goal.reserved + goal.spot).sum()
}

fn order_by_price(zones: &[ZoneWorkers]) -> Vec<usize> {
    let mut order: Vec<usize> = (0..zones.len()).collect();
    order.sort_by(|left, right| zones[*left].price.total_cmp(&zones[*right].price));
    order
}

fn equal_shares(zones: usize, by_price: &[usize], limits: &WorkerLimits, wanted: u32) -> Vec<u32> {
    let count = u32::try_from(zones).unwrap_or(u32::MAX).max(1);
    let mut shares = vec![wanted / count; zones];
    for zone in by_price.iter().take((wanted % count) as usize) {
        shares[*zone] += 1;
    }
    let within_limits = |share: u32| {
        share.clamp(
            limits.min_workers,
            limits.max_workers.max(limits.min_workers),
        )
    };
    shares.into_iter().map(within_limits).collect()
}

fn plan_zone(
    zone: &ZoneWorkers,
    share: u32,
    limits: &WorkerLimits,
    spot_is_cheaper: bool,
) -> ZoneGoal {
    let reserved = match spot_is_cheaper {
        true => limits.min_workers.min(share),
        false => share,
    };
    let spot = match zone.has_spot {
        true => share - reserved,
        false => zone.spot.min(share - reserved),
    };
    ZoneGoal {
        zone: zone.zone.clone(),
        reserved,
        spot,
    }
}

/// Adds up to `missing` spot workers one by one, each in the zone with the fewest workers, within the maximum
/// of a zone.
fn add_spot(goals: &mut [ZoneGoal], zones: &[ZoneWorkers], limits: &WorkerLimits, missing: u32) {
    for _ in 0..missing {
        let zones_with_room = goals
            .iter_mut()
            .zip(zones)
            .filter(|(goal, zone)| zone.has_spot && goal.reserved + goal.spot < limits.max_workers);
        let Some((goal, _)) = zones_with_room.min_by_key(|(goal, _)| goal.reserved + goal.spot)
        else {
            break;
        };
        goal.spot += 1;
    }
}

fn add_reserved(
    goals: &mut [ZoneGoal],
    by_price: &[usize],
    limits: &WorkerLimits,
    mut missing: u32,
) {
    for zone in by_price {
        let goal = &mut goals[*zone];
        let room = limits.max_workers.saturating_sub(goal.reserved + goal.spot);
        let added = room.min(missing);
        goal.reserved += added;
        missing -= added;
    }
}

/// Keeps reserved workers until spot workers serve in their place, within the maximum of a zone.
fn keep_reserved_until_replaced(
    goal: &mut ZoneGoal,
    zone: &ZoneWorkers,
    planned: u32,
    limits: &WorkerLimits,
) {
    let serving = zone.spot.min(goal.spot);
    let kept = planned.saturating_sub(serving).min(zone.reserved);
    goal.reserved = goal.reserved.max(kept);
    // Reserved workers that have not left yet count towards the maximum of the zone.
    let occupied = goal.reserved.max(zone.reserved);
    goal.spot = goal.spot.min(limits.max_workers.saturating_sub(occupied));
}

/// Releases spot workers only as far as more workers serve in total than are wanted.
fn keep_spot_until_replaced(
    goals: &mut [ZoneGoal],
    zones: &[ZoneWorkers],
    limits: &WorkerLimits,
    wanted: u32,
) {
    let serving: u32 = zones.iter().map(|zone| zone.reserved + zone.spot).sum();
    let mut spare = serving.saturating_sub(wanted);
    for (goal, zone) in goals.iter_mut().zip(zones) {
        let released = zone.spot.saturating_sub(goal.spot).min(spare);
        spare -= released;
        let room = limits.max_workers.saturating_sub(goal.reserved);
        goal.spot = goal.spot.max((zone.spot - released).min(room));
    }
}
