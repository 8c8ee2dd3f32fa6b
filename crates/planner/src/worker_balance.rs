//! How many workers of a service to have in each zone, and of which price.
//!
//! A worker is paid for by the second. Reserved workers stay for as long as they are wanted; spot workers
//! cost a part of that, and all of a zone may be withdrawn at once with little notice. So most workers are
//! spot workers, as many more as a withdrawal takes, spread evenly over the zones:
//!
//! 1. each zone gets an equal part of the wanted workers, those left over go to the cheapest zones;
//! 2. the least that a zone must have are reserved, all others are spot workers where they can be had and
//!    cost less;
//! 3. what a zone that has none to give lacks is ordered in the others, as spot workers up to the most that
//!    a zone may have;
//! 4. reserved workers are added, where they cost least, if the spot workers of one zone could not be lost
//!    without having fewer workers than the demand needs;
//! 5. workers that are not wanted any more are given up only for others that serve already.

use tansyhall_core::ZoneName;

/// How many workers of all zones there should be.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WorkersWanted {
    /// Reserved workers that the operator planned: no fewer serve while spot workers take their place.
    pub planned: u32,
    /// At the price of spot workers.
    pub wanted: u32,
    /// At any price, also when a zone's spot workers are withdrawn.
    pub needed: u32,
}

/// The part of what the planned reserved workers cost that is spent on spot workers: more of them serve
/// bursts that the planned ones would not.
const SPENT_PART: f64 = 0.44;

/// How many workers to want where the operator planned for `planned` reserved ones: what [`SPENT_PART`] of
/// their price buys, and at least so many that as many as were planned are left when one zone's are
/// withdrawn; never more than cost what was planned.
pub fn affordable_workers(planned: u32, zones: usize, limits: &WorkerLimits) -> u32 {
    let Some(price) = limits.spot_price.filter(|price| *price < 1.0) else {
        return planned;
    };
    let planned = f64::from(planned);
    let price = price.max(f64::MIN_POSITIVE);
    let zones = zones.max(1) as f64;
    let redundant = planned * zones / (zones - 1.0).max(1.0);
    let bought = planned * SPENT_PART / price;
    redundant.max(bought).min(planned / price).ceil() as u32
}

/// What may be ordered of a service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WorkerLimits {
    /// The least workers of both kinds in a zone.
    pub least: u32,
    /// The most workers of both kinds in a zone.
    pub most: u32,
    /// The price of a spot worker as a part of a reserved one's; none if there are none.
    pub spot_price: Option<f64>,
}

/// A zone's workers.
#[derive(Debug, Clone, PartialEq)]
pub struct ZoneWorkers {
    /// The zone.
    pub zone: ZoneName,
    /// The price of a reserved worker for a second.
    pub price: f64,
    /// Reserved workers that take requests.
    pub reserved: u32,
    /// Spot workers that take requests.
    pub spot: u32,
    /// Whether spot workers can be had there as far as is known.
    pub has_spot: bool,
}

/// Workers that a zone should have.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ZoneGoal {
    /// The zone.
    pub zone: ZoneName,
    /// Reserved workers.
    pub reserved: u32,
    /// Spot workers.
    pub spot: u32,
}

/// The workers that each zone should have, in the order of `zones`.
pub fn balance_workers(
    zones: &[ZoneWorkers],
    limits: &WorkerLimits,
    workers: WorkersWanted,
) -> Vec<ZoneGoal> {
    let by_price = order_by_price(zones);
    let parts = equal_parts(zones.len(), &by_price, limits, workers.wanted);
    let spot_is_cheaper = limits.spot_price.is_some_and(|price| price < 1.0);
    let mut goals: Vec<ZoneGoal> = zones
        .iter()
        .zip(&parts)
        .map(|(zone, part)| zone_goal(zone, *part, limits, spot_is_cheaper))
        .collect();
    if spot_is_cheaper {
        let missing = parts.iter().sum::<u32>().saturating_sub(total(&goals));
        add_spot(&mut goals, zones, limits, missing);
    }
    let lost = goals.iter().map(|goal| goal.spot).max().unwrap_or_default();
    let left = total(&goals) - lost;
    let missing = workers.needed.saturating_sub(left);
    add_reserved(&mut goals, &by_price, limits, missing);
    let planned = equal_parts(zones.len(), &by_price, limits, workers.planned);
    for (goal, (zone, planned)) in goals.iter_mut().zip(zones.iter().zip(&planned)) {
        keep_reserved_until_replaced(goal, zone, *planned, limits);
    }
    keep_spot_until_replaced(&mut goals, zones, limits, workers.wanted);
    goals
}

fn total(goals: &[ZoneGoal]) -> u32 {
    goals.iter().map(|goal| goal.reserved + goal.spot).sum()
}

fn order_by_price(zones: &[ZoneWorkers]) -> Vec<usize> {
    let mut order: Vec<usize> = (0..zones.len()).collect();
    order.sort_by(|left, right| zones[*left].price.total_cmp(&zones[*right].price));
    order
}

fn equal_parts(zones: usize, by_price: &[usize], limits: &WorkerLimits, wanted: u32) -> Vec<u32> {
    let count = u32::try_from(zones).unwrap_or(u32::MAX).max(1);
    let mut parts = vec![wanted / count; zones];
    for zone in by_price.iter().take((wanted % count) as usize) {
        parts[*zone] += 1;
    }
    let within = |part: u32| part.clamp(limits.least, limits.most.max(limits.least));
    parts.into_iter().map(within).collect()
}

fn zone_goal(zone: &ZoneWorkers, part: u32, limits: &WorkerLimits, spot: bool) -> ZoneGoal {
    let reserved = match spot {
        true => limits.least.min(part),
        false => part,
    };
    let spot = match zone.has_spot {
        true => part - reserved,
        false => zone.spot.min(part - reserved),
    };
    ZoneGoal {
        zone: zone.zone.clone(),
        reserved,
        spot,
    }
}

/// Adds spot workers one by one where there are fewest, as far as there is room.
fn add_spot(goals: &mut [ZoneGoal], zones: &[ZoneWorkers], limits: &WorkerLimits, missing: u32) {
    for _ in 0..missing {
        let with_room = goals
            .iter_mut()
            .zip(zones)
            .filter(|(goal, zone)| zone.has_spot && goal.reserved + goal.spot < limits.most);
        let Some((goal, _)) = with_room.min_by_key(|(goal, _)| goal.reserved + goal.spot) else {
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
        let room = limits.most.saturating_sub(goal.reserved + goal.spot);
        let added = room.min(missing);
        goal.reserved += added;
        missing -= added;
    }
}

/// Keeps reserved workers until spot workers serve in their place, within the most that a zone may have.
fn keep_reserved_until_replaced(
    goal: &mut ZoneGoal,
    zone: &ZoneWorkers,
    planned: u32,
    limits: &WorkerLimits,
) {
    let serving = zone.spot.min(goal.spot);
    let kept = planned.saturating_sub(serving).min(zone.reserved);
    goal.reserved = goal.reserved.max(kept);
    // Reserved workers that have not left yet take room of the zone's most.
    let taken = goal.reserved.max(zone.reserved);
    goal.spot = goal.spot.min(limits.most.saturating_sub(taken));
}

/// Gives up spot workers only as far as more serve in all than are wanted.
fn keep_spot_until_replaced(
    goals: &mut [ZoneGoal],
    zones: &[ZoneWorkers],
    limits: &WorkerLimits,
    wanted: u32,
) {
    let serving: u32 = zones.iter().map(|zone| zone.reserved + zone.spot).sum();
    let mut spare = serving.saturating_sub(wanted);
    for (goal, zone) in goals.iter_mut().zip(zones) {
        let given_up = zone.spot.saturating_sub(goal.spot).min(spare);
        spare -= given_up;
        let room = limits.most.saturating_sub(goal.reserved);
        goal.spot = goal.spot.max((zone.spot - given_up).min(room));
    }
}
