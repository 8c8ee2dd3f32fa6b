//! How many engines of a service decode and how many only read prompts.
//!
//! Reading is what takes an engine's time: a stream that decodes costs a fraction of a slot, while
//! a prompt that is read beside streams slows all of them. So engines decode only as far as the
//! streams need it, and all others read:
//!
//! 1. decoders needed = streams under way / (slots x [`STREAMS_PART`]), rounded up;
//! 2. at least one for each zone that has engines, and [`MIN_DECODERS_PART`] of all, so that the
//!    loss of an engine or a zone leaves decoders;
//! 3. at least one reader, if there are two engines or more.
//!
//! A difference of one engine changes nothing unless a side is empty or the streams need it, since
//! an engine that changes is away for a while. Engines are taken from the zone where their role is
//! most frequent, the least busy first, and at most [`MAX_CHANGES`] at once.

use std::collections::BTreeMap;

use tansyhall_core::{Role, ZoneName};

/// The part of a decoder's slots that streams may fill before another decoder is needed.
const STREAMS_PART: f64 = 0.5;
/// The least part of all engines that decode.
const MIN_DECODERS_PART: f64 = 0.28;
/// A smaller difference from what is needed changes nothing.
const TOLERATED_DIFFERENCE: usize = 1;
/// Engines that change at once.
const MAX_CHANGES: usize = 3;

/// An engine as the planner sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BalancedEngine {
    /// Its zone.
    pub zone: ZoneName,
    /// The role that it has or is changing to.
    pub role: Role,
    /// Whether it is changing.
    pub changing: bool,
    /// Requests under way there.
    pub streams: u32,
    /// Requests that it can work on at once.
    pub slots: u32,
}

/// An engine that should change, by its place in the list, and its new role.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RoleChange {
    /// The engine's place.
    pub engine: usize,
    /// The role it should have.
    pub role: Role,
}

/// The changes to make now. Engines that do both are left alone.
pub fn balance_roles(engines: &[BalancedEngine]) -> Vec<RoleChange> {
    let split: Vec<usize> = (0..engines.len())
        .filter(|index| engines[*index].role != Role::Mixed)
        .collect();
    let changing = split.iter().filter(|index| engines[**index].changing);
    let allowed = MAX_CHANGES.saturating_sub(changing.count());
    let decoders = count(engines, &split, Role::Decode);
    let needed = decoders_needed(engines, &split);
    let (role, difference) = match decoders > needed {
        true => (Role::Prefill, decoders - needed),
        false => (Role::Decode, needed - decoders),
    };
    let readers = split.len() - decoders;
    let one_side_is_empty = decoders == 0 || readers == 0;
    if difference <= TOLERATED_DIFFERENCE && !one_side_is_empty {
        return Vec::new();
    }
    let mut changes = Vec::new();
    let mut roles: Vec<Role> = engines.iter().map(|engine| engine.role).collect();
    for _ in 0..difference.min(allowed) {
        let Some(engine) = next_to_change(engines, &split, &roles, role) else {
            break;
        };
        roles[engine] = role;
        changes.push(RoleChange { engine, role });
    }
    changes
}

fn decoders_needed(engines: &[BalancedEngine], split: &[usize]) -> usize {
    let decoding = split
        .iter()
        .map(|index| &engines[*index])
        .filter(|engine| engine.role == Role::Decode);
    let streams: u32 = decoding.map(|engine| engine.streams).sum();
    let slots = split.iter().map(|index| engines[*index].slots).max();
    let streams_each = f64::from(slots.unwrap_or(1).max(1)) * STREAMS_PART;
    let for_streams = (f64::from(streams) / streams_each).ceil() as usize;
    let zones = zones_of(engines, split).len();
    let part = (split.len() as f64 * MIN_DECODERS_PART).ceil() as usize;
    let most = split.len().saturating_sub(1).max(1);
    for_streams.max(zones).max(part).min(most)
}

fn zones_of<'a>(engines: &'a [BalancedEngine], split: &[usize]) -> BTreeMap<&'a ZoneName, usize> {
    let mut zones = BTreeMap::new();
    for index in split {
        *zones.entry(&engines[*index].zone).or_default() += 1;
    }
    zones
}

fn count(engines: &[BalancedEngine], split: &[usize], role: Role) -> usize {
    let has_role = |index: &&usize| engines[**index].role == role;
    split.iter().filter(has_role).count()
}

/// The engine to change next: of those that have another role and stand still, one of the zone
/// with the most of them, the least busy first.
fn next_to_change(
    engines: &[BalancedEngine],
    split: &[usize],
    roles: &[Role],
    role: Role,
) -> Option<usize> {
    let others = |index: &&usize| roles[**index] != role;
    let mut in_zone: BTreeMap<&ZoneName, usize> = BTreeMap::new();
    for index in split.iter().filter(others) {
        *in_zone.entry(&engines[*index].zone).or_default() += 1;
    }
    split
        .iter()
        .filter(others)
        .filter(|index| !engines[**index].changing)
        .copied()
        .min_by_key(|index| {
            let engine = &engines[*index];
            let frequent = in_zone.get(&engine.zone).copied().unwrap_or_default();
            (std::cmp::Reverse(frequent), engine.streams, *index)
        })
}
