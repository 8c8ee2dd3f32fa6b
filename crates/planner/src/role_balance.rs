//! Decides how many engines of a service decode and how many only prefill prompts.
//!
//! The demand on both roles is expressed in engines. `streams` is the number of engines whose slots are
//! filled by the requests in progress, or will be filled by the requests that arrived recently, whichever is
//! more. `prefill` is the number of prefill engines that the callers' prompts would keep busy, including
//! prompts that are refused. A stream holds its slot for seconds, so decode engines fill up slowly, whereas a
//! prompt that finds no free prefill engine is delayed immediately. Decode engines are therefore assigned
//! according to the streams, and all other engines prefill:
//!
//! 1. The streams need `streams` / `FULL_UTILISATION` decode engines. The short prompts that decode engines
//!    prefill themselves need `short_prefill` / `SHORT_PREFILL_UTILISATION` more. The sum is rounded up.
//! 2. If that leaves prefill engines with a utilisation above `FULL_UTILISATION`, the number of decode
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
//! above `FULL_UTILISATION`. No difference changes anything while that role has at least
//! `MIN_ENGINES_FOR_LIGHT_LOAD` engines with a utilisation of at most `LIGHT_UTILISATION`: more engines
//! would not serve any request sooner, and a large fleet under light load would order thousands of changes.
//! Engines are taken from the zone that has most engines of the other role, the least busy first. At most
//! [`MAX_CHANGING_SHARE`] of the engines change at once.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use tansyhall_core::{Role, ZoneName};

use crate::role_need::{single_role_engines, ExpectedDemand, Need, RolePeaks};

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
