//! How many engines of a service decode and how many only read prompts.
//!
//! What is needed is counted in engines on both sides: `streams` is how many decoders' slots the
//! requests under way fill, or those that came lately will fill, whichever is more; `reading` how many
//! readers the prompts that callers send would keep busy, those that are refused included. A stream holds its slot for seconds, so that decoders
//! fill up slowly; a prompt that finds no reader is late at once. So decoders get what the streams
//! need and all other engines read:
//!
//! 1. decoders for the streams: `streams` / [`FULL_PART`], and for the short prompts that they read
//!    themselves: those / [`SHORT_READING_PART`], rounded up;
//! 2. if that leaves readers with more than [`FULL_PART`] of their time taken, no more than make both
//!    sides equally short: engines x decoding / (decoding + `reading`), decoding being `streams` and short prompts;
//! 3. at least one for each zone that has engines, and [`MIN_DECODERS_PART`] of all, so that the
//!    loss of an engine or a zone leaves decoders;
//! 4. at least one reader, if there are two engines or more.
//!
//! An engine that changes is away for a while, so that a difference of [`TOLERATED_PART`] changes nothing
//! unless the side that would get it is empty or has more than [`FULL_PART`] of it taken. Neither does any difference
//! while that side has [`RESERVED`] engines and [`LIGHT_PART`] of them taken or less: more engines would serve nobody sooner, and a large
//! fleet under light load would order thousands. Engines are
//! taken from the zone where their role is most frequent, the least busy first, and at most
//! [`CHANGING_PART`] at once.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use tansyhall_core::{Role, ZoneName};

/// The part of its slots, or of its time, with which an engine counts as full: above it waits grow
/// quickly.
const FULL_PART: f64 = 0.9;
/// The part of their time up to which decoders are kept busy with reading short prompts: at 0.6 these wait
/// for each other three quarters of the time that one takes (M/D/1), and they come in bursts.
const SHORT_READING_PART: f64 = 0.6;
/// The part of its slots, or of its time, up to which a side gets no more engines: a burst of four times what is
/// asked now still fits. Before 9,560 engines 483 were ordered in the 25 s of a quiet day; without them as much is served.
const LIGHT_PART: f64 = 0.25;
/// Engines of a side that are not few: fewer are filled by a handful of long prompts that come together, however
/// little is asked on the mean.
const RESERVED: usize = 16;
/// The least part of all engines that decode.
const MIN_DECODERS_PART: f64 = 0.28;
/// The part of all engines up to which a difference from what is needed changes nothing: about what the
/// counted streams vary by from one second to the next,
const TOLERATED_PART: f64 = 0.02;
/// but one engine at least.
const LEAST_TOLERATED: usize = 1;
/// The part of all engines that change at once: what they would have served meanwhile is lost,
const CHANGING_PART: f64 = 0.05;
/// but so many engines at least.
const LEAST_CHANGING: usize = 3;

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

/// What callers ask for, what is refused included.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct ExpectedDemand {
    /// Engines that do nothing but read which it would keep busy.
    pub readers: f64,
    /// Engines that decode which reading its short prompts would keep busy.
    pub decoders: f64,
    /// Places that its streams will hold.
    pub places: f64,
}

/// What is asked of the engines, counted in engines.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Need {
    streams: f64,
    short_reading: f64,
    reading: f64,
}

impl Need {
    fn of(engines: &[BalancedEngine], split: &[usize], expected: ExpectedDemand) -> Self {
        let decoding = split
            .iter()
            .map(|index| &engines[*index])
            .filter(|engine| engine.role == Role::Decode);
        let streams: u32 = decoding.map(|engine| engine.streams).sum();
        let slots = split.iter().map(|index| engines[*index].slots).max();
        let slots = f64::from(slots.unwrap_or(1).max(1));
        Self {
            streams: f64::from(streams).max(expected.places) / slots,
            short_reading: expected.decoders,
            reading: expected.readers,
        }
    }

    /// Decoders of so many engines, before the least numbers of each role.
    fn decoders(&self, engines: f64) -> usize {
        let for_short = self.short_reading / SHORT_READING_PART;
        let for_streams = (self.streams / FULL_PART + for_short).ceil();
        let readers = engines - for_streams;
        if self.reading <= readers * FULL_PART {
            return for_streams as usize;
        }
        let decoding = self.streams + self.short_reading;
        let equally_short = engines * decoding / (decoding + self.reading);
        for_streams.min(equally_short.round()) as usize
    }

    /// Whether engines of that role, so many, are full.
    fn fills(&self, role: Role, engines: usize) -> bool {
        self.taken(role) > engines as f64 * FULL_PART
    }

    /// Whether engines of that role, so many, have hardly anything to do.
    fn is_light(&self, role: Role, engines: usize) -> bool {
        engines >= RESERVED && self.taken(role) <= engines as f64 * LIGHT_PART
    }

    /// Engines of that role that are kept busy.
    fn taken(&self, role: Role) -> f64 {
        match role {
            Role::Decode => self.streams + self.short_reading,
            _ => self.reading,
        }
    }
}

/// The changes to make now, if callers ask for so much. Engines that do both are left alone.
pub fn balance_roles(engines: &[BalancedEngine], expected: ExpectedDemand) -> Vec<RoleChange> {
    let split: Vec<usize> = (0..engines.len())
        .filter(|index| engines[*index].role != Role::Mixed)
        .collect();
    let changing = split.iter().filter(|index| engines[**index].changing);
    let allowed = most_changing(split.len()).saturating_sub(changing.count());
    let decoders = count(engines, &split, Role::Decode);
    let readers = split.len() - decoders;
    let need = Need::of(engines, &split, expected);
    let needed = decoders_needed(engines, &split, need);
    let (role, difference, there) = match decoders > needed {
        true => (Role::Prefill, decoders - needed, readers),
        false => (Role::Decode, needed - decoders, decoders),
    };
    let pressing = decoders == 0 || readers == 0 || need.fills(role, there);
    let is_small = difference <= tolerated(split.len()) || need.is_light(role, there);
    if is_small && !pressing {
        return Vec::new();
    }
    let mut zones = ZoneQueue::of_others(engines, &split, role);
    let change = |engine| RoleChange { engine, role };
    let next = std::iter::from_fn(|| ZoneQueue::next(&mut zones).map(change));
    next.take(difference.min(allowed)).collect()
}

/// Engines that may change at once, of so many.
fn most_changing(engines: usize) -> usize {
    let part = (engines as f64 * CHANGING_PART).ceil() as usize;
    part.max(LEAST_CHANGING)
}

/// The difference that changes nothing, of so many engines.
fn tolerated(engines: usize) -> usize {
    let part = (engines as f64 * TOLERATED_PART) as usize;
    part.max(LEAST_TOLERATED)
}

fn decoders_needed(engines: &[BalancedEngine], split: &[usize], need: Need) -> usize {
    let zones = zones_of(engines, split).len();
    let part = (split.len() as f64 * MIN_DECODERS_PART).ceil() as usize;
    let most = split.len().saturating_sub(1).max(1);
    let decoders = need.decoders(split.len() as f64);
    decoders.max(zones).max(part).min(most)
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

/// The engines of a zone that have another role than the one that is wanted.
struct ZoneQueue {
    /// How many they are.
    others: usize,
    /// Those that stand still, the least busy last.
    still: Vec<(u32, usize)>,
}

impl ZoneQueue {
    fn of_others(engines: &[BalancedEngine], split: &[usize], role: Role) -> Vec<Self> {
        let mut zones: BTreeMap<&ZoneName, Self> = BTreeMap::new();
        for index in split.iter().filter(|index| engines[**index].role != role) {
            let engine = &engines[*index];
            let zone = zones.entry(&engine.zone).or_insert(Self {
                others: 0,
                still: Vec::new(),
            });
            zone.others += 1;
            if !engine.changing {
                zone.still.push((engine.streams, *index));
            }
        }
        let mut zones: Vec<Self> = zones.into_values().collect();
        for zone in &mut zones {
            zone.still.sort_unstable_by(|left, right| right.cmp(left));
        }
        zones
    }

    /// Takes the engine to change next: the least busy one of the zone with the most others.
    fn next(zones: &mut [Self]) -> Option<usize> {
        let left = zones.iter_mut().filter(|zone| !zone.still.is_empty());
        let zone = left.min_by_key(|zone| (Reverse(zone.others), zone.still.last().copied()))?;
        zone.others -= 1;
        zone.still.pop().map(|(_, engine)| engine)
    }
}
