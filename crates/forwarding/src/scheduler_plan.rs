//! Which gateways place requests on workers, and for which others.
//!
//! A gateway that places its own requests must know what all others have under way: with hundreds of
//! them, each knows ever less of an engine's queue, and what they tell each other grows with the square
//! of their number. So a bounded number of gateways, the schedulers, place requests for all:
//!
//! 1. A fleet of up to [`FULL_EXCHANGE`] gateways needs none: each places its own requests.
//! 2. In a larger one each zone has its part of [`FULL_EXCHANGE`] schedulers, and at least one for each
//!    [`GATEWAYS_PER_SCHEDULER`] of its gateways. They are the first of the zone's ranking: those with
//!    the most processor time, rendezvous hashing among equals, so that gateways agree without messages.
//! 3. Every other gateway asks one scheduler of its zone, chosen by hashing too. One that doesn't answer
//!    is passed over, and the next of the ranking takes its place.
//! 4. Schedulers report the load they have placed to each other, and to [`SPARES`] more gateways of
//!    each zone, which are the next to become schedulers.
//!
//! Nothing depends on gateways agreeing: any gateway places requests for those that ask it, and one that
//! finds no scheduler places its own by what it knows.

use std::collections::BTreeMap;

use tansyhall_core::hash::rendezvous_weight;
use tansyhall_core::ZoneName;

/// Gateways that exchange reports of load at their full pace: each sends up to 50 a second to each,
/// which is what the slowest links that were played (10 Mbit/s) carry beside callers' requests.
pub const FULL_EXCHANGE: usize = 12;
/// Gateways for which one scheduler places requests. At some five requests a second from each, a scheduler
/// answers a few hundred questions a second, of which each takes a fraction of a millisecond.
pub const GATEWAYS_PER_SCHEDULER: usize = 64;
/// Gateways whose counts one gateway collects: a few hundred messages a second, about 2% of half a core (worked out,
/// not measured).
pub const GATEWAYS_PER_COLLECTOR: usize = 64;
/// What the ranking of collectors is hashed with.
const COLLECTING: &[u8] = b"collecting";
/// Gateways of each zone beside the schedulers that hear reports of load.
const SPARES: usize = 1;

/// A gateway as far as the plan needs to know it.
#[derive(Debug, Clone, PartialEq)]
pub struct SchedulerCandidate {
    /// Its name.
    pub name: String,
    /// Its zone.
    pub zone: ZoneName,
    /// Its processor time, in cores.
    pub capacity: f64,
}

/// The schedulers of a fleet.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct SchedulerPlan {
    zones: BTreeMap<ZoneName, ZoneRanking>,
}

/// The gateways of a zone, those that come first for scheduling first.
#[derive(Debug, Clone, PartialEq)]
struct ZoneRanking {
    names: Vec<String>,
    schedulers: usize,
}

impl ZoneRanking {
    fn new(zone: &ZoneName, mut members: Vec<SchedulerCandidate>, schedulers: usize) -> Self {
        let weight = |name: &str| rendezvous_weight(zone.as_str().as_bytes(), name.as_bytes());
        members.sort_by(|left, right| {
            let by_capacity = right.capacity.total_cmp(&left.capacity);
            by_capacity.then_with(|| weight(&right.name).cmp(&weight(&left.name)))
        });
        Self {
            schedulers: schedulers.min(members.len()),
            names: members.into_iter().map(|member| member.name).collect(),
        }
    }

    fn scheduling(&self) -> &[String] {
        &self.names[..self.schedulers]
    }

    fn listeners(&self) -> &[String] {
        let count = (self.schedulers + SPARES).min(self.names.len());
        &self.names[..count]
    }
}

impl SchedulerPlan {
    /// The plan of a fleet.
    pub fn new(members: Vec<SchedulerCandidate>) -> Self {
        let total = members.len();
        let mut by_zone: BTreeMap<ZoneName, Vec<SchedulerCandidate>> = BTreeMap::new();
        for member in members {
            by_zone.entry(member.zone.clone()).or_default().push(member);
        }
        let part = (FULL_EXCHANGE / by_zone.len().max(1)).max(1);
        let ranked = by_zone.into_iter().map(|(zone, members)| {
            let schedulers = match total <= FULL_EXCHANGE {
                true => members.len(),
                false => part.max(members.len().div_ceil(GATEWAYS_PER_SCHEDULER)),
            };
            let ranking = ZoneRanking::new(&zone, members, schedulers);
            (zone, ranking)
        });
        Self {
            zones: ranked.collect(),
        }
    }

    /// How many zones have gateways.
    pub fn zones(&self) -> usize {
        self.zones.len()
    }

    /// How many schedulers the fleet has.
    pub fn schedulers(&self) -> usize {
        self.zones.values().map(|zone| zone.schedulers).sum()
    }

    /// The schedulers.
    pub fn scheduling(&self) -> impl Iterator<Item = &str> {
        let schedulers = self.zones.values().flat_map(ZoneRanking::scheduling);
        schedulers.map(String::as_str)
    }

    /// Whether a gateway is a scheduler.
    pub fn is_scheduler(&self, name: &str) -> bool {
        self.scheduling().any(|scheduler| scheduler == name)
    }

    /// Whether a gateway hears the schedulers' reports.
    pub fn is_listener(&self, name: &str) -> bool {
        self.listeners().any(|listener| listener == name)
    }

    /// The gateways that hear the schedulers' reports.
    pub fn listeners(&self) -> impl Iterator<Item = &str> {
        let listeners = self.zones.values().flat_map(ZoneRanking::listeners);
        listeners.map(String::as_str)
    }

    /// How many gateways collect what the others have to tell.
    pub fn collectors(&self) -> usize {
        let gateways: usize = self.zones.values().map(|zone| zone.names.len()).sum();
        let collectors = gateways.div_ceil(GATEWAYS_PER_COLLECTOR);
        collectors.min(self.zones.len())
    }

    /// The gateway that collects what `own` has to tell, of those that are usable (`own` always is): the
    /// first of a zone's ranking, so that it has processor time; one for each [`GATEWAYS_PER_COLLECTOR`] of
    /// the fleet, spread by rendezvous hashing, the zones ranked by it too.
    pub fn collector_of(&self, own: &str, is_usable: impl Fn(&str) -> bool) -> Option<&str> {
        let collectors = self.collectors();
        let usable = |name: &&str| *name == own || is_usable(name);
        let firsts = self.zones.values().filter_map(|zone| {
            let mut names = zone.names.iter().map(String::as_str);
            names.find(usable)
        });
        let of_fleet = |name: &str| rendezvous_weight(COLLECTING, name.as_bytes());
        let mut firsts: Vec<&str> = firsts.collect();
        firsts.sort_by_key(|name| std::cmp::Reverse(of_fleet(name)));
        firsts.truncate(collectors);
        let of_own = |name: &str| rendezvous_weight(own.as_bytes(), name.as_bytes());
        firsts.into_iter().max_by_key(|name| of_own(name))
    }

    /// The scheduler that places the requests of the gateway `own` in `zone`, if one is usable. It may
    /// be that gateway itself.
    pub fn scheduler_of(
        &self,
        own: &str,
        zone: &ZoneName,
        is_usable: impl Fn(&str) -> bool,
    ) -> Option<&str> {
        let ranking = self.zones.get(zone)?;
        let usable = ranking
            .names
            .iter()
            .map(String::as_str)
            .filter(|name| *name == own || is_usable(name));
        let schedulers: Vec<&str> = usable.take(ranking.schedulers).collect();
        if schedulers.contains(&own) {
            return schedulers.into_iter().find(|name| *name == own);
        }
        let weight = |name: &str| rendezvous_weight(own.as_bytes(), name.as_bytes());
        schedulers.into_iter().max_by_key(|name| weight(name))
    }
}
