//! Decides how many reserved and spot workers each zone should have, given the number of workers that the load needs
//! and the number of zones whose spot workers may be withdrawn at once.
//!
//! Spot workers cost a fraction of reserved ones, but the provider may withdraw all spot workers of a zone within
//! seconds, and later offers none there for a while. A new worker needs seconds to start. The needed number therefore
//! has to remain after the loss of all spot workers of the tolerated number of zones. The room for a further burst has
//! to remain too, as far as spot workers can provide it: reserved workers for it would cost several times as much, and
//! a burst and a withdrawal rarely coincide. The plan is the cheapest one that fulfills this:
//!
//! 1. Each zone has its minimum number of workers as reserved ones.
//! 2. For each upper bound on the spot workers of a zone, as many spot workers are added as are needed in addition to
//!    those that a withdrawal takes, in the cheapest zones first. Where spot workers do not suffice, present reserved
//!    workers are kept and further ones are added in the cheapest zones. The bound with the lowest price is used. An
//!    even spread loses the fewest workers, and an expensive zone gets fewer workers if their price exceeds that of the
//!    additional workers that an uneven spread requires.
//! 3. A zone whose spot workers are being withdrawn, that refused spot workers, or whose order for them is unanswered
//!    counts with its serving spot workers only. The others make up for it at once.
//! 4. The previous plan stays in force while it still fulfills the need, unless the new one saves more than its orders
//!    cost.
//! 5. Workers are released only while the rest fulfills the need, the most expensive ones first, and reserved workers
//!    only if spot workers serve. While a zone has no spot workers to offer, those of other zones stay: they are cheap,
//!    and such shortages are short.

use tansyhall_core::ZoneName;

use crate::worker_balance::{WorkerLimits, ZoneGoal};

/// Price of an order, in seconds of a reserved worker.
const ORDER_PRICE: f64 = 3.0;
/// Seconds in which a new plan has to save the price of its orders: the load of the next seconds is not known for
/// longer than the time for which peaks of it are remembered.
const SAVING_SECONDS: f64 = 30.0;
/// Fraction of the price that a new plan has to save: a smaller difference may be reverted by the next change of the
/// need, which rises at once.
const MIN_SAVING: f64 = 0.06;

/// Divisor of the wanted workers that gives how many may be missing for a startup time while workers are exchanged.
const EXCHANGED_FRACTION: u32 = 16;
/// Number of equal parts in which the workers of a group are released, in turn with other groups. A withdrawal takes
/// the spot workers of the zone that has most, so zones have to exchange their reserved workers at the same pace.
const RELEASE_PARTS: u32 = 4;

/// The current workers of one zone.
#[derive(Debug, Clone, PartialEq)]
pub struct ZoneSupply {
    /// Name of the zone.
    pub zone: ZoneName,
    /// Price of a reserved worker per second.
    pub price: f64,
    /// Number of reserved workers that accept requests and that no order in progress releases.
    pub reserved: u32,
    /// Number of spot workers that accept requests and that no order in progress releases.
    pub spot: u32,
    /// Number of spot workers that are leaving.
    pub leaving_spot: u32,
    /// Number of ordered reserved workers that are expected to accept requests soon.
    pub starting_reserved: u32,
    /// Number of ordered spot workers that are expected to accept requests soon.
    pub starting_spot: u32,
    /// Number of reserved workers that still serve, but that an order in progress releases.
    pub departing_reserved: u32,
    /// Number of spot workers that still serve, but that an order in progress releases.
    pub departing_spot: u32,
    /// Number of spot workers in an order that is unanswered and may still be carried out; 0 if there is none.
    pub unanswered_spot: u32,
    /// Whether reserved workers can be ordered: no order for them is unanswered.
    pub offers_reserved: bool,
    /// Whether spot workers can be ordered: the last order was not refused and none is unanswered.
    pub offers_spot: bool,
}

impl ZoneSupply {
    /// Returns whether the zone's spot workers are being withdrawn. More workers leave at once than remain only in a
    /// withdrawal.
    fn is_withdrawn(&self) -> bool {
        self.leaving_spot > self.spot
    }

    fn has_spot(&self) -> bool {
        self.offers_spot && !self.is_withdrawn()
    }

    /// Returns the spot workers that serve or are starting.
    fn expected_spot(&self) -> u32 {
        match self.is_withdrawn() {
            true => self.spot,
            false => self.spot.saturating_add(self.starting_spot),
        }
    }

    /// Returns how many workers of the zone's maximum its spot workers take up, until those that are released have
    /// left, and if an unanswered order is carried out.
    fn claimed_spot(&self) -> u32 {
        let present = self.expected_spot().saturating_add(self.departing_spot);
        present.max(self.unanswered_spot)
    }

    /// Returns how many workers of the zone's maximum its reserved workers take up, until those that are released have
    /// left.
    fn claimed_reserved(&self) -> u32 {
        self.expected_reserved()
            .saturating_add(self.departing_reserved)
    }

    /// Returns the reserved workers that serve or are starting.
    fn expected_reserved(&self) -> u32 {
        self.reserved.saturating_add(self.starting_reserved)
    }
}

/// What the workers have to be sufficient for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Requirement {
    /// Number of workers that the load needs, at any price.
    pub needed: u32,
    /// Number of workers to have at the price of spot workers, for a further burst.
    pub wanted: u32,
    /// Number of zones whose spot workers may be withdrawn at once.
    pub tolerated_zones: u32,
}

impl Requirement {
    /// Returns the requirement with as many needed workers as are wanted and can remain after a withdrawal without
    /// further reserved workers.
    fn within_spot(self, zones: &[ZoneSupply], limits: &WorkerLimits) -> Self {
        let max_spot = max_of_zone(limits) - limits.min_workers;
        let offered = zones.iter().map(|zone| match zone.has_spot() {
            true => (limits.min_workers, max_spot),
            false => (limits.min_workers, zone.spot.min(max_spot)),
        });
        let possible = match cheaper_spot(limits) {
            Some(_) => remaining_workers(offered, self.tolerated_zones),
            None => self.wanted,
        };
        Self {
            needed: self.needed.max(self.wanted.min(possible)),
            ..self
        }
    }
}

impl Requirement {
    /// Returns the requirement that the workers that stay have to fulfill while others are released: a little less than
    /// what is wanted. A zone full of reserved workers would otherwise have no room for the spot workers that replace
    /// the last of them.
    fn while_releasing(self, zones: &[ZoneSupply], limits: &WorkerLimits) -> Self {
        let wanted = self.within_spot(zones, limits).needed;
        Self {
            needed: self.needed.max(wanted - wanted / EXCHANGED_FRACTION),
            ..self
        }
    }
}

/// Plans the workers of one service and remembers the plan in force.
#[derive(Debug, Clone, Default)]
pub struct RiskAwareWorkers {
    plan: Option<Vec<ZoneGoal>>,
}

impl RiskAwareWorkers {
    /// Returns the workers that each zone should have now, in the order of `zones`. No worker is released unless
    /// `may_release`.
    pub fn update(
        &mut self,
        zones: &[ZoneSupply],
        limits: &WorkerLimits,
        required: Requirement,
        may_release: bool,
    ) -> Vec<ZoneGoal> {
        let to_keep = required.while_releasing(zones, limits);
        let required = required.within_spot(zones, limits);
        let best = cheapest_plan(zones, limits, required);
        let previous = self.plan.take().unwrap_or_else(|| present_workers(zones));
        let plan = match stays_in_force(&previous, &best, zones, limits, required) {
            true => previous,
            false => best,
        };
        let mut goals = next_step(&plan, zones, limits, to_keep, may_release);
        add_where_room_is(&mut goals, zones, limits, required);
        self.plan = Some(plan);
        goals
    }
}

/// Returns the number of spot workers that each zone should have if all zones offered them, in the order of `zones`.
/// Zones that had none are asked for this number again.
pub fn spot_if_offered(
    zones: &[ZoneSupply],
    limits: &WorkerLimits,
    required: Requirement,
) -> Vec<u32> {
    let mut offering = zones.to_vec();
    for zone in &mut offering {
        zone.offers_spot = true;
        zone.leaving_spot = 0;
    }
    let required = required.within_spot(&offering, limits);
    let plan = cheapest_plan(&offering, limits, required);
    let within_room = |(goal, zone): (&ZoneGoal, &ZoneSupply)| {
        let room = max_of_zone(limits).saturating_sub(zone.claimed_reserved());
        goal.spot.min(room)
    };
    plan.iter().zip(zones).map(within_room).collect()
}

/// Returns the number of workers that remain if the spot workers of `tolerated_zones` zones are withdrawn. Each item
/// contains the reserved and the spot workers of a zone.
pub fn remaining_workers(
    workers: impl IntoIterator<Item = (u32, u32)>,
    tolerated_zones: u32,
) -> u32 {
    let workers: Vec<(u32, u32)> = workers.into_iter().collect();
    let total: u32 = workers.iter().map(|(reserved, spot)| reserved + spot).sum();
    let mut spot: Vec<u32> = workers.iter().map(|(_, spot)| *spot).collect();
    spot.sort_unstable_by(|left, right| right.cmp(left));
    let lost: u32 = spot.iter().take(tolerated_zones as usize).sum();
    total - lost
}

/// Returns the workers that serve or are starting, as the plan that an earlier holder of the authority carried out.
fn present_workers(zones: &[ZoneSupply]) -> Vec<ZoneGoal> {
    let present = |zone: &ZoneSupply| ZoneGoal {
        zone: zone.zone.clone(),
        reserved: zone.expected_reserved(),
        spot: zone.expected_spot(),
    };
    zones.iter().map(present).collect()
}

/// Adds reserved workers in the cheapest zones that have room, for additions of the plan that have to wait for room.
fn add_where_room_is(
    goals: &mut [ZoneGoal],
    zones: &[ZoneSupply],
    limits: &WorkerLimits,
    required: Requirement,
) {
    let mut missing = shortage(goals, zones, required);
    for index in order_by_price(zones) {
        let (goal, zone) = (&mut goals[index], &zones[index]);
        let occupied =
            goal.spot.max(zone.claimed_spot()) + goal.reserved.max(zone.claimed_reserved());
        let added = match zone.offers_reserved {
            true => max_of_zone(limits).saturating_sub(occupied).min(missing),
            false => 0,
        };
        goal.reserved += added;
        missing -= added;
    }
}

fn order_by_price(zones: &[ZoneSupply]) -> Vec<usize> {
    let mut by_price: Vec<usize> = (0..zones.len()).collect();
    by_price.sort_by(|left, right| zones[*left].price.total_cmp(&zones[*right].price));
    by_price
}

fn max_of_zone(limits: &WorkerLimits) -> u32 {
    limits.max_workers.max(limits.min_workers)
}

/// Returns the price of a spot worker as a fraction of a reserved one if spot workers are cheaper.
fn cheaper_spot(limits: &WorkerLimits) -> Option<f64> {
    limits.spot_price.filter(|price| *price < 1.0)
}

fn price_of(plan: &[ZoneGoal], zones: &[ZoneSupply], limits: &WorkerLimits) -> f64 {
    let spot_price = limits.spot_price.unwrap_or(1.0);
    let of_zone = |(goal, zone): (&ZoneGoal, &ZoneSupply)| {
        zone.price * (f64::from(goal.reserved) + spot_price * f64::from(goal.spot))
    };
    plan.iter().zip(zones).map(of_zone).sum()
}

/// Returns how many of a plan's workers can be counted on: those that can be ordered, or serve already.
fn reliable_workers<'a>(
    plan: &'a [ZoneGoal],
    zones: &'a [ZoneSupply],
) -> impl Iterator<Item = (u32, u32)> + 'a {
    plan.iter().zip(zones).map(|(goal, zone)| {
        let reserved = match zone.offers_reserved {
            true => goal.reserved,
            false => goal.reserved.min(zone.reserved),
        };
        let spot = match zone.has_spot() {
            true => goal.spot,
            false => goal.spot.min(zone.spot),
        };
        (reserved, spot)
    })
}

fn shortage(plan: &[ZoneGoal], zones: &[ZoneSupply], required: Requirement) -> u32 {
    let reliable = reliable_workers(plan, zones);
    let remaining = remaining_workers(reliable, required.tolerated_zones);
    required.needed.saturating_sub(remaining)
}

/// Returns the cheapest plan of those with the least shortage.
fn cheapest_plan(
    zones: &[ZoneSupply],
    limits: &WorkerLimits,
    required: Requirement,
) -> Vec<ZoneGoal> {
    let by_price = order_by_price(zones);
    let max_spot = max_of_zone(limits) - limits.min_workers;
    let max_bound = match cheaper_spot(limits) {
        // More spot workers in one zone than are needed in total are of no use.
        Some(_) => max_spot.min(required.needed),
        None => 0,
    };
    let plans = (0..=max_bound).map(|bound| {
        let plan = plan_with_bound(zones, limits, required, &by_price, bound);
        let rank = (
            shortage(&plan, zones, required),
            price_of(&plan, zones, limits),
        );
        (rank, plan)
    });
    let cheapest = plans.min_by(
        |((left_short, left_price), _), ((right_short, right_price), _)| {
            let by_shortage = left_short.cmp(right_short);
            by_shortage.then(left_price.total_cmp(right_price))
        },
    );
    cheapest.map(|(_, plan)| plan).unwrap_or_default()
}

/// Returns the cheapest plan in which no zone has more than `bound` spot workers.
fn plan_with_bound(
    zones: &[ZoneSupply],
    limits: &WorkerLimits,
    required: Requirement,
    by_price: &[usize],
    bound: u32,
) -> Vec<ZoneGoal> {
    let mut plan: Vec<ZoneGoal> = zones
        .iter()
        .map(|zone| ZoneGoal {
            zone: zone.zone.clone(),
            reserved: limits.min_workers,
            spot: 0,
        })
        .collect();
    let lost = bound.saturating_mul(required.tolerated_zones.min(zones.len() as u32));
    let wanted = required.needed.saturating_add(lost);
    let reliable: u32 = reliable_workers(&plan, zones)
        .map(|(reserved, _)| reserved)
        .sum();
    let mut missing = wanted.saturating_sub(reliable);
    for index in by_price {
        let zone = &zones[*index];
        let offered = match zone.has_spot() {
            true => max_of_zone(limits) - limits.min_workers,
            false => zone.spot.min(max_of_zone(limits) - limits.min_workers),
        };
        let added = offered.min(bound).min(missing);
        plan[*index].spot = added;
        missing -= added;
    }
    // A withdrawal takes the most spot workers that a zone has, which may be fewer than the bound.
    let mut missing = shortage(&plan, zones, required);
    for index in by_price {
        let (goal, zone) = (&mut plan[*index], &zones[*index]);
        let room = max_of_zone(limits).saturating_sub(goal.reserved + goal.spot);
        let present = zone.expected_reserved().saturating_sub(goal.reserved);
        let added = room.min(present).min(missing);
        goal.reserved += added;
        missing -= added;
    }
    for index in by_price {
        let (goal, zone) = (&mut plan[*index], &zones[*index]);
        let spot = goal.spot.max(zone.unanswered_spot);
        let room = max_of_zone(limits).saturating_sub(goal.reserved + spot);
        let added = match zone.offers_reserved {
            true => room.min(missing),
            false => 0,
        };
        goal.reserved += added;
        missing -= added;
    }
    plan
}

/// Returns whether the previous plan is kept: it is valid, fulfills the need as well as the best one, and costs little
/// more.
fn stays_in_force(
    previous: &[ZoneGoal],
    best: &[ZoneGoal],
    zones: &[ZoneSupply],
    limits: &WorkerLimits,
    required: Requirement,
) -> bool {
    let is_valid = previous.len() == zones.len()
        && previous.iter().zip(zones).all(|(goal, zone)| {
            let total = goal.reserved + goal.spot;
            goal.zone == zone.zone
                && goal.reserved >= limits.min_workers
                && total <= max_of_zone(limits)
                && (goal.spot == 0 || cheaper_spot(limits).is_some())
        });
    if !is_valid || shortage(previous, zones, required) > shortage(best, zones, required) {
        return false;
    }
    let price = price_of(previous, zones, limits);
    let saved = price - price_of(best, zones, limits);
    if saved < price * MIN_SAVING {
        return true;
    }
    let orders = previous.iter().zip(best).map(|(previous, best)| {
        u32::from(previous.reserved != best.reserved) + u32::from(previous.spot != best.spot)
    });
    saved * SAVING_SECONDS <= ORDER_PRICE * f64::from(orders.sum::<u32>())
}

/// A group of workers that a plan reduces.
#[derive(Debug, Clone, Copy)]
struct Reduction {
    zone: usize,
    is_spot: bool,
    workers: u32,
    price: f64,
}

/// Returns the goals that can be ordered now towards a plan: additions for which a zone has room, and releases that
/// leave enough serving workers.
fn next_step(
    plan: &[ZoneGoal],
    zones: &[ZoneSupply],
    limits: &WorkerLimits,
    required: Requirement,
    may_release: bool,
) -> Vec<ZoneGoal> {
    let mut serving: Vec<(u32, u32)> = zones
        .iter()
        .map(|zone| (zone.reserved, zone.spot))
        .collect();
    if may_release {
        let mut groups = reductions(plan, zones, limits);
        let whole_groups = groups.clone();
        for _ in 0..RELEASE_PARTS {
            for (group, whole) in groups.iter_mut().zip(&whole_groups) {
                let part = Reduction {
                    workers: whole.workers.div_ceil(RELEASE_PARTS).min(group.workers),
                    ..*group
                };
                let released = releasable(&serving, zones, limits, required, part);
                group.workers -= released;
                let (reserved, spot) = &mut serving[group.zone];
                match group.is_spot {
                    true => *spot -= released,
                    false => *reserved -= released,
                }
            }
        }
    }
    let steps = plan.iter().zip(zones).zip(serving);
    steps
        .map(|((goal, zone), kept)| step_of_zone(goal, zone, kept, limits))
        .collect()
}

/// Returns the groups of workers that a plan reduces, the most expensive ones first. Ordered workers that are starting
/// are not cancelled.
fn reductions(plan: &[ZoneGoal], zones: &[ZoneSupply], limits: &WorkerLimits) -> Vec<Reduction> {
    let spot_price = limits.spot_price.unwrap_or(1.0);
    let all_offer_spot = zones.iter().all(ZoneSupply::has_spot);
    let of_zone = |(index, (goal, zone)): (usize, (&ZoneGoal, &ZoneSupply))| {
        let needs_room = goal.reserved > zone.expected_reserved()
            && goal.reserved + zone.expected_spot() > max_of_zone(limits);
        let may_release_spot = cheaper_spot(limits).is_none() || all_offer_spot || needs_room;
        let spot = match may_release_spot && zone.expected_spot() == zone.spot {
            true => zone.spot.saturating_sub(goal.spot),
            false => 0,
        };
        let reserved = match zone.starting_reserved == 0 {
            true => zone.reserved.saturating_sub(goal.reserved),
            false => 0,
        };
        let group = |is_spot, workers, price| Reduction {
            zone: index,
            is_spot,
            workers,
            price,
        };
        [
            group(false, reserved, zone.price),
            group(true, spot, zone.price * spot_price),
        ]
    };
    let groups = plan.iter().zip(zones).enumerate().flat_map(of_zone);
    let mut reductions: Vec<Reduction> = groups.filter(|group| group.workers > 0).collect();
    reductions.sort_by(|left, right| right.price.total_cmp(&left.price));
    reductions
}

/// Returns how many workers of a group can be released such that the serving workers still fulfill the need, now and
/// after a withdrawal, as well as they do before.
fn releasable(
    serving: &[(u32, u32)],
    zones: &[ZoneSupply],
    limits: &WorkerLimits,
    required: Requirement,
    group: Reduction,
) -> u32 {
    let after = |released: u32| {
        let mut after = serving.to_vec();
        let (reserved, spot) = &mut after[group.zone];
        match group.is_spot {
            true => *spot -= released,
            false => *reserved -= released,
        }
        let total: u32 = after.iter().map(|(reserved, spot)| reserved + spot).sum();
        (total, remaining_workers(after, required.tolerated_zones))
    };
    let (total, remaining) = after(0);
    let is_allowed = |released: u32| {
        let (total_after, remaining_after) = after(released);
        total_after >= required.needed.min(total)
            && remaining_after >= required.needed.min(remaining)
    };
    // Reserved workers leave only in exchange for spot workers that serve.
    let replaced: u32 = match cheaper_spot(limits).is_some() && !group.is_spot {
        true => zones.iter().map(|zone| zone.spot).sum(),
        false => u32::MAX,
    };
    let (mut allowed, mut forbidden) = (0, group.workers.min(replaced).saturating_add(1));
    while allowed + 1 < forbidden {
        let middle = allowed + (forbidden - allowed) / 2;
        match is_allowed(middle) {
            true => allowed = middle,
            false => forbidden = middle,
        }
    }
    allowed
}

/// Returns the goal of a zone: what the plan adds, within the room that serving and starting workers leave, and the
/// `kept` serving workers of both kinds.
fn step_of_zone(
    goal: &ZoneGoal,
    zone: &ZoneSupply,
    kept: (u32, u32),
    limits: &WorkerLimits,
) -> ZoneGoal {
    let max = max_of_zone(limits);
    let held = |kept: u32, serving: u32, expected: u32| match kept == serving {
        true => expected,
        false => kept,
    };
    let held_reserved = held(kept.0, zone.reserved, zone.expected_reserved());
    let held_spot = held(kept.1, zone.spot, zone.expected_spot());
    let spot_room = max.saturating_sub(zone.claimed_reserved().max(held_reserved));
    let spot = goal.spot.min(spot_room).max(held_spot);
    let reserved_room = max.saturating_sub(zone.claimed_spot().max(spot));
    let reserved = goal.reserved.min(reserved_room).max(held_reserved);
    ZoneGoal {
        zone: zone.zone.clone(),
        reserved,
        spot,
    }
}
