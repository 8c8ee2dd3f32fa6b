//! Decides how many engines of a service decode and how many only prefill prompts.
//!
//! The demand on both roles is expressed in engines. `streams` is the number of engines whose slots are
//! filled by the requests in progress, or will be filled by the requests that arrived recently, whichever is
//! more. `prefill` is the number of prefill engines that the callers' prompts would keep busy, including
//! prompts that are refused. A stream holds its slot for seconds, so decode engines fill up slowly, whereas a
//! prompt that finds no free prefill engine is delayed immediately. Decode engines are therefore assigned
//! according to the streams, and all other engines prefill:
//!
//! 1. The streams need `streams` / [`FULL_UTILISATION`] decode engines. The short prompts that decode engines
//!    prefill themselves need `short_prefill` / [`SHORT_PREFILL_UTILISATION`] more. The sum is rounded up.
//! 2. If that leaves prefill engines with a utilisation above [`FULL_UTILISATION`], the number of decode
//!    engines is limited to the one that makes both roles equally short: engines x decoding /
//!    (decoding + `prefill`), where decoding is `streams` + `short_prefill`.
//! 3. There is at least one decode engine for each zone that has engines, and at least
//!    [`MIN_DECODE_SHARE`] of all engines decode, so that decode engines remain after the loss of an engine or
//!    a zone.
//! 4. There is at least one prefill engine if there are two engines or more.
//!
//! If the recent peaks of both roles are known ([`RolePeaks`]), the engines that neither role needs now are divided in
//! proportion to the peaks: the mix of requests turns faster than engines change their roles, so that both roles need
//! room for the next turn. If there are too few engines for the current need, the most urgent routes get theirs first.
//!
//! An engine is unavailable while it changes its role. A difference of up to [`TOLERATED_SHARE`] of the
//! engines therefore changes nothing, unless the role that would gain engines has none or its utilisation is
//! above [`FULL_UTILISATION`]. No difference changes anything while that role has at least
//! [`MIN_ENGINES_FOR_LIGHT_LOAD`] engines with a utilisation of at most [`LIGHT_UTILISATION`]: more engines
//! would not serve any request sooner, and a large fleet under light load would order thousands of changes.
//! Engines are taken from the zone that has most engines of the other role, the least busy first. At most
//! [`MAX_CHANGING_SHARE`] of the engines change at once.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::Duration;

use tansyhall_core::{Role, Timestamp, ZoneName};

use crate::peak::RecentPeak;

/// Fraction of its slots or of its time above which an engine counts as full, because waiting times grow
/// quickly beyond it.
const FULL_UTILISATION: f64 = 0.9;
/// Fraction of their time up to which decode engines are kept busy with prefilling short prompts. At 0.6, a
/// short prompt waits on average for three quarters of the time that one prefill takes (M/D/1), and short
/// prompts arrive in bursts.
const SHORT_PREFILL_UTILISATION: f64 = 0.6;
/// Fraction of its slots or of its time in use up to which a role gets no more engines: a burst of four times the
/// current demand still fits. Without this rule, 483 changes were ordered for 9,560 engines in 25 s of light
/// load, and as many requests are served without these changes.
const LIGHT_UTILISATION: f64 = 0.25;
/// Number of engines in a role from which low utilisation means light load. Fewer engines can be filled by a
/// handful of long prompts that arrive together, however low the mean demand is.
const MIN_ENGINES_FOR_LIGHT_LOAD: usize = 16;
/// Minimum fraction of all engines that decode.
const MIN_DECODE_SHARE: f64 = 0.28;
/// Difference from the needed number, as a fraction of all engines, up to which no engine changes its role: about
/// the variation of the counted streams from one second to the next.
const TOLERATED_SHARE: f64 = 0.02;
/// Lower bound of the tolerated difference, in engines.
const MIN_TOLERATED_ENGINES: usize = 1;
/// Maximum fraction of all engines that change at once, since engines serve no requests while they change.
const MAX_CHANGING_SHARE: f64 = 0.05;
/// Lower bound of the number of engines that may change at once.
const MIN_CHANGE_LIMIT: usize = 3;

/// Utilisation up to which urgent requests keep engines busy at a peak. A request then waits on average for half of the
/// time that one request takes (M/D/1), and the choice of engines that have its prompt cached does not make it late.
const URGENT_PEAK_UTILISATION: f64 = 0.5;
/// Time in which the peak of a role's demand decays to half: twice as long as a mix of requests commonly lasts, so that
/// the previous mix still counts when it returns.
const ROLE_PEAK_HALF_LIFE: Duration = Duration::from_secs(30);

/// The state of one engine that the planner uses.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BalancedEngine {
    /// Zone of the engine.
    pub zone: ZoneName,
    /// Role that the engine has or is changing to.
    pub role: Role,
    /// Whether the engine is changing its role.
    pub changing: bool,
    /// Number of requests in progress on the engine.
    pub streams: u32,
    /// Number of requests that the engine can process concurrently.
    pub slots: u32,
}

/// A role change to make.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RoleChange {
    /// Index of the engine in the list passed to [`balance_roles`].
    pub engine: usize,
    /// New role of the engine.
    pub role: Role,
}

/// Demand of the callers, including requests that are refused.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct ExpectedDemand {
    /// Number of prefill engines that the prompts would keep busy.
    pub prefill_engines: f64,
    /// Number of decode engines that prefilling the short prompts would keep busy.
    pub decode_engines_for_short_prompts: f64,
    /// Number of slots that the streams will hold.
    pub decode_slots: f64,
    /// The part of this demand that belongs to the most urgent routes.
    pub urgent: UrgentFractions,
}

/// The fractions of the demand that belong to the most urgent routes of the service, each from 0 to 1.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct UrgentFractions {
    /// Of the demand for prefill engines.
    pub prefill: f64,
    /// Of the short prompts that decode engines prefill.
    pub short_prefill: f64,
    /// Of the slots of streams.
    pub slots: f64,
}

/// The engines that each role needed at the recent peak of its demand. The two peaks need not have been simultaneous.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct RolePeaks {
    /// Decode engines for the streams and for the short prompts that they prefill.
    pub decode_engines: f64,
    /// Prefill engines.
    pub prefill_engines: f64,
}

/// The recent peaks of the demand for both roles of a service's engines.
#[derive(Debug, Clone, Copy)]
pub struct RolePeakTracker {
    decode: RecentPeak,
    prefill: RecentPeak,
}

impl Default for RolePeakTracker {
    fn default() -> Self {
        Self {
            decode: RecentPeak::with_half_life(ROLE_PEAK_HALF_LIFE),
            prefill: RecentPeak::with_half_life(ROLE_PEAK_HALF_LIFE),
        }
    }
}

impl RolePeakTracker {
    /// Records the demand at `now` and returns the recent peaks.
    pub fn observe(
        &mut self,
        now: Timestamp,
        engines: &[BalancedEngine],
        expected: ExpectedDemand,
    ) -> RolePeaks {
        let need = Need::of(engines, &single_role_engines(engines), expected);
        let needed = need.peak_engines();
        RolePeaks {
            decode_engines: self.decode.observe(now, needed.decode_engines),
            prefill_engines: self.prefill.observe(now, needed.prefill_engines),
        }
    }
}

/// Demand on the engines, expressed as the number of engines that it keeps busy.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Need {
    streams: f64,
    short_prefill: f64,
    prefill: f64,
    urgent: UrgentFractions,
}

impl Need {
    fn of(engines: &[BalancedEngine], single_role: &[usize], expected: ExpectedDemand) -> Self {
        let decoding = single_role
            .iter()
            .map(|index| &engines[*index])
            .filter(|engine| engine.role == Role::Decode);
        let streams: u32 = decoding.map(|engine| engine.streams).sum();
        let slots = single_role.iter().map(|index| engines[*index].slots).max();
        let slots = f64::from(slots.unwrap_or(1).max(1));
        Self {
            streams: f64::from(streams).max(expected.decode_slots) / slots,
            short_prefill: expected.decode_engines_for_short_prompts,
            prefill: expected.prefill_engines,
            urgent: expected.urgent,
        }
    }

    /// Returns the part of the need that belongs to the most urgent routes.
    fn urgent_part(&self) -> Self {
        Self {
            streams: self.streams * self.urgent.slots,
            short_prefill: self.short_prefill * self.urgent.short_prefill,
            prefill: self.prefill * self.urgent.prefill,
            urgent: self.urgent,
        }
    }

    /// Returns the engines that each role needs at a peak of its demand, with the headroom that urgent requests need.
    fn peak_engines(&self) -> RolePeaks {
        let urgent = self.urgent_part();
        let engines = |busy: f64, urgent: f64| {
            urgent / URGENT_PEAK_UTILISATION + (busy - urgent) / FULL_UTILISATION
        };
        RolePeaks {
            decode_engines: engines(
                self.busy_engines(Role::Decode),
                urgent.busy_engines(Role::Decode),
            ),
            prefill_engines: engines(self.prefill, urgent.prefill),
        }
    }

    /// Returns how many of too few engines should decode: the most urgent routes get the engines that they need, and
    /// the other routes share the remaining ones in proportion to their need.
    fn decode_engines_in_shortage(&self, engines: f64) -> usize {
        let urgent = self.urgent_part();
        let urgent_decode = urgent.needed_decode_engines();
        let urgent_prefill = urgent.needed_prefill_engines();
        let remaining = engines - urgent_decode - urgent_prefill;
        if remaining <= 0.0 {
            let fraction = urgent_decode / (urgent_decode + urgent_prefill);
            return (engines * fraction).round() as usize;
        }
        let other_decode = self.needed_decode_engines() - urgent_decode;
        let other_prefill = self.needed_prefill_engines() - urgent_prefill;
        let fraction = other_decode / (other_decode + other_prefill).max(f64::MIN_POSITIVE);
        (urgent_decode + remaining * fraction).round() as usize
    }

    fn needed_decode_engines(&self) -> f64 {
        let for_short = self.short_prefill / SHORT_PREFILL_UTILISATION;
        self.streams / FULL_UTILISATION + for_short
    }

    fn needed_prefill_engines(&self) -> f64 {
        self.prefill / FULL_UTILISATION
    }

    /// Returns how many of `engines` engines should decode so that the spare ones are divided in proportion to the
    /// peaks of both roles.
    fn decode_engines_for_peaks(&self, engines: f64, peaks: RolePeaks) -> usize {
        let least = self.needed_decode_engines().ceil();
        let most = engines - self.needed_prefill_engines().ceil();
        if least > most {
            return self.decode_engines_in_shortage(engines);
        }
        // A peak that all engines together could not serve says no more than that all were busy.
        let decode_peak = peaks.decode_engines.min(engines);
        let prefill_peak = peaks.prefill_engines.min(engines);
        let both_peaks = (decode_peak + prefill_peak).max(f64::MIN_POSITIVE);
        let in_proportion = (engines * decode_peak / both_peaks).round();
        in_proportion.clamp(least, most) as usize
    }

    /// Returns how many of `engines` engines should decode, before the minimum of each role is applied.
    fn decode_engines(&self, engines: f64, peaks: Option<RolePeaks>) -> usize {
        if let Some(peaks) = peaks {
            return self.decode_engines_for_peaks(engines, peaks);
        }
        let decode_engines = self.needed_decode_engines().ceil();
        let prefill_engines = engines - decode_engines;
        if self.prefill <= prefill_engines * FULL_UTILISATION {
            return decode_engines as usize;
        }
        let decoding = self.streams + self.short_prefill;
        let equally_short = engines * decoding / (decoding + self.prefill);
        decode_engines.min(equally_short.round()) as usize
    }

    /// Returns whether the demand fills `engines` engines of a role.
    fn fills(&self, role: Role, engines: usize) -> bool {
        self.busy_engines(role) > engines as f64 * FULL_UTILISATION
    }

    /// Returns whether the demand is light for `engines` engines of a role.
    fn is_light(&self, role: Role, engines: usize) -> bool {
        engines >= MIN_ENGINES_FOR_LIGHT_LOAD
            && self.busy_engines(role) <= engines as f64 * LIGHT_UTILISATION
    }

    /// Returns how many engines of a role the demand keeps busy.
    fn busy_engines(&self, role: Role) -> f64 {
        match role {
            Role::Decode => self.streams + self.short_prefill,
            _ => self.prefill,
        }
    }
}

/// Returns the indices of the engines that are not mixed.
fn single_role_engines(engines: &[BalancedEngine]) -> Vec<usize> {
    let is_single_role = |index: &usize| engines[*index].role != Role::Mixed;
    (0..engines.len()).filter(is_single_role).collect()
}

/// Returns the role changes to make now for the expected demand. Mixed engines are left unchanged. With `peaks`, spare
/// engines are divided between both roles, and nothing changes before there was any demand; otherwise they prefill.
pub fn balance_roles(
    engines: &[BalancedEngine],
    expected: ExpectedDemand,
    peaks: Option<RolePeaks>,
) -> Vec<RoleChange> {
    let single_role = single_role_engines(engines);
    let changing = single_role.iter().filter(|index| engines[**index].changing);
    let allowed = max_changing(single_role.len()).saturating_sub(changing.count());
    let decode_engines = count(engines, &single_role, Role::Decode);
    let prefill_engines = single_role.len() - decode_engines;
    let need = Need::of(engines, &single_role, expected);
    let needed = needed_decode_engines(engines, &single_role, need, peaks);
    let (role, difference, engines_in_role) = match decode_engines > needed {
        true => (Role::Prefill, decode_engines - needed, prefill_engines),
        false => (Role::Decode, needed - decode_engines, decode_engines),
    };
    let has_both_roles = decode_engines > 0 && prefill_engines > 0;
    if has_both_roles && peaks == Some(RolePeaks::default()) {
        return Vec::new();
    }
    let is_urgent =
        decode_engines == 0 || prefill_engines == 0 || need.fills(role, engines_in_role);
    let is_small = difference <= tolerated_difference(single_role.len())
        || need.is_light(role, engines_in_role);
    if is_small && !is_urgent {
        return Vec::new();
    }
    let mut zones = ZoneQueue::by_zone(engines, &single_role, role);
    let change = |engine| RoleChange { engine, role };
    let next = std::iter::from_fn(|| ZoneQueue::next(&mut zones).map(change));
    next.take(difference.min(allowed)).collect()
}

/// Returns how many of `engines` engines may change at once.
fn max_changing(engines: usize) -> usize {
    let share = (engines as f64 * MAX_CHANGING_SHARE).ceil() as usize;
    share.max(MIN_CHANGE_LIMIT)
}

/// Returns the difference up to which none of `engines` engines change.
fn tolerated_difference(engines: usize) -> usize {
    let share = (engines as f64 * TOLERATED_SHARE) as usize;
    share.max(MIN_TOLERATED_ENGINES)
}

fn needed_decode_engines(
    engines: &[BalancedEngine],
    single_role: &[usize],
    need: Need,
    peaks: Option<RolePeaks>,
) -> usize {
    let zones = zones_of(engines, single_role).len();
    let share = (single_role.len() as f64 * MIN_DECODE_SHARE).ceil() as usize;
    let max = single_role.len().saturating_sub(1).max(1);
    let decode_engines = need.decode_engines(single_role.len() as f64, peaks);
    decode_engines.max(zones).max(share).min(max)
}

fn zones_of<'a>(
    engines: &'a [BalancedEngine],
    single_role: &[usize],
) -> BTreeMap<&'a ZoneName, usize> {
    let mut zones = BTreeMap::new();
    for index in single_role {
        *zones.entry(&engines[*index].zone).or_default() += 1;
    }
    zones
}

fn count(engines: &[BalancedEngine], single_role: &[usize], role: Role) -> usize {
    let has_role = |index: &&usize| engines[**index].role == role;
    single_role.iter().filter(has_role).count()
}

/// The engines of one zone that could change to the role that needs engines.
struct ZoneQueue {
    /// Number of engines in the other role, including those that are already changing.
    candidates: usize,
    /// Number of streams and index of each engine that is not changing, the least busy last.
    available: Vec<(u32, usize)>,
}

impl ZoneQueue {
    fn by_zone(engines: &[BalancedEngine], single_role: &[usize], role: Role) -> Vec<Self> {
        let mut zones: BTreeMap<&ZoneName, Self> = BTreeMap::new();
        for index in single_role
            .iter()
            .filter(|index| engines[**index].role != role)
        {
            let engine = &engines[*index];
            let zone = zones.entry(&engine.zone).or_insert(Self {
                candidates: 0,
                available: Vec::new(),
            });
            zone.candidates += 1;
            if !engine.changing {
                zone.available.push((engine.streams, *index));
            }
        }
        let mut zones: Vec<Self> = zones.into_values().collect();
        for zone in &mut zones {
            zone.available
                .sort_unstable_by(|left, right| right.cmp(left));
        }
        zones
    }

    /// Removes and returns the engine to change next: the least busy one of the zone with the most candidates.
    fn next(zones: &mut [Self]) -> Option<usize> {
        let eligible = zones.iter_mut().filter(|zone| !zone.available.is_empty());
        let zone = eligible
            .min_by_key(|zone| (Reverse(zone.candidates), zone.available.last().copied()))?;
        zone.candidates -= 1;
        zone.available.pop().map(|(_, engine)| engine)
    }
}
