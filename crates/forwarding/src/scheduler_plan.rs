//! Selection of the gateways that place requests on workers, and of the gateways that they serve.
//!
//! A gateway that places its own requests must know the requests in progress at all other gateways. With hundreds of
//! gateways, each of them knows less and less of an engine's queue, and the messages between them grow with the square
//! of their number. Therefore a bounded number of gateways, the schedulers, place requests for all:
//!
//! 1. A fleet of up to [`MAX_FULL_RATE_REPORTERS`] gateways needs no separate schedulers: each gateway places its own requests.
//! 2. In a larger fleet each zone has an equal share of [`MAX_FULL_RATE_REPORTERS`] schedulers, and at least one for each
//!    [`GATEWAYS_PER_SCHEDULER`] of its gateways. The schedulers are the first gateways of the zone's ranking, which
//!    orders them by processor time, and by rendezvous hashing if that is equal, so gateways agree without messages.
//! 3. Every other gateway sends its requests for placement to one scheduler of its zone, also chosen by hashing. A
//!    scheduler that doesn't answer is skipped, and the next gateway of the ranking takes its place.
//! 4. Schedulers report the load that they have placed to each other, and to [`STANDBY_SCHEDULERS_PER_ZONE`] more
//!    gateways of each zone, which are the next to become schedulers.
//!
//! Nothing depends on agreement between gateways: any gateway places requests for those that ask it, and a gateway
//! that finds no scheduler places its own requests by what it knows.

use std::collections::BTreeMap;

use tansyhall_core::hash::rendezvous_weight;
use tansyhall_core::ZoneName;

/// Maximum number of gateways that exchange load reports at the full rate. Each sends up to 50 reports per second to
/// each other one, which the slowest tested links (10 Mbit/s) can carry in addition to callers' requests.
pub const MAX_FULL_RATE_REPORTERS: usize = 12;
/// Number of gateways that one scheduler places requests for. At about five requests per second from each, a
/// scheduler answers a few hundred placement requests per second, each of which takes a fraction of a millisecond.
pub const GATEWAYS_PER_SCHEDULER: usize = 64;
/// Number of gateways whose usage counts one gateway collects: a few hundred messages per second, an estimated 2% of
/// half a core.
pub const GATEWAYS_PER_COLLECTOR: usize = 64;
/// Key with which the ranking of collectors is hashed.
const COLLECTOR_HASH_KEY: &[u8] = b"collecting";
/// Number of gateways in each zone that receive load reports in addition to the schedulers.
const STANDBY_SCHEDULERS_PER_ZONE: usize = 1;

/// The properties of a gateway that the plan depends on.
#[derive(Debug, Clone, PartialEq)]
pub struct SchedulerCandidate {
    /// Name of the gateway.
    pub name: String,
    /// Zone of the gateway.
    pub zone: ZoneName,
    /// Processor time of the gateway, in cores.
    pub capacity: f64,
}

/// The schedulers of a fleet.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct SchedulerPlan {
    zones: BTreeMap<ZoneName, ZoneRanking>,
}

/// The gateways of a zone in the order in which they become schedulers.
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

    fn scheduler_names(&self) -> &[String] {
        &self.names[..self.schedulers]
    }

    fn listeners(&self) -> &[String] {
        let count = (self.schedulers + STANDBY_SCHEDULERS_PER_ZONE).min(self.names.len());
        &self.names[..count]
    }
}

impl SchedulerPlan {
    /// Creates the plan for a fleet.
    pub fn new(members: Vec<SchedulerCandidate>) -> Self {
        let total = members.len();
        let mut by_zone: BTreeMap<ZoneName, Vec<SchedulerCandidate>> = BTreeMap::new();
        for member in members {
            by_zone.entry(member.zone.clone()).or_default().push(member);
        }
        let schedulers_per_zone = (MAX_FULL_RATE_REPORTERS / by_zone.len().max(1)).max(1);
        let ranked = by_zone.into_iter().map(|(zone, members)| {
            let schedulers = match total <= MAX_FULL_RATE_REPORTERS {
                true => members.len(),
                false => schedulers_per_zone.max(members.len().div_ceil(GATEWAYS_PER_SCHEDULER)),
            };
            let ranking = ZoneRanking::new(&zone, members, schedulers);
            (zone, ranking)
        });
        Self {
            zones: ranked.collect(),
        }
    }

    /// Returns the number of zones that have gateways.
    pub fn zone_count(&self) -> usize {
        self.zones.len()
    }

    /// Returns the number of schedulers in the fleet.
    pub fn scheduler_count(&self) -> usize {
        self.zones.values().map(|zone| zone.schedulers).sum()
    }

    /// Returns the names of all schedulers.
    pub fn scheduler_names(&self) -> impl Iterator<Item = &str> {
        let schedulers = self.zones.values().flat_map(ZoneRanking::scheduler_names);
        schedulers.map(String::as_str)
    }

    /// Returns whether a gateway is a scheduler.
    pub fn is_scheduler(&self, name: &str) -> bool {
        self.scheduler_names().any(|scheduler| scheduler == name)
    }

    /// Returns whether a gateway receives the schedulers' load reports.
    pub fn is_listener(&self, name: &str) -> bool {
        self.listeners().any(|listener| listener == name)
    }

    /// Returns the names of the gateways that receive the schedulers' load reports.
    pub fn listeners(&self) -> impl Iterator<Item = &str> {
        let listeners = self.zones.values().flat_map(ZoneRanking::listeners);
        listeners.map(String::as_str)
    }

    /// Returns the number of gateways that collect the usage counts of the others.
    pub fn collector_count(&self) -> usize {
        let gateways: usize = self.zones.values().map(|zone| zone.names.len()).sum();
        let collectors = gateways.div_ceil(GATEWAYS_PER_COLLECTOR);
        collectors.min(self.zones.len())
    }

    /// Returns the gateway that collects the usage counts of the gateway `own`, among the usable gateways (`own` is
    /// always usable). A collector is the first usable gateway of a zone's ranking, so that it has processor time. The
    /// fleet has one collector for each [`GATEWAYS_PER_COLLECTOR`] gateways. Rendezvous hashing selects the zones that
    /// provide a collector, and distributes the gateways among the collectors.
    pub fn collector_of(&self, own: &str, is_usable: impl Fn(&str) -> bool) -> Option<&str> {
        let collectors = self.collector_count();
        let usable = |name: &&str| *name == own || is_usable(name);
        let candidates = self.zones.values().filter_map(|zone| {
            let mut names = zone.names.iter().map(String::as_str);
            names.find(usable)
        });
        let zone_weight = |name: &str| rendezvous_weight(COLLECTOR_HASH_KEY, name.as_bytes());
        let mut candidates: Vec<&str> = candidates.collect();
        candidates.sort_by_key(|name| std::cmp::Reverse(zone_weight(name)));
        candidates.truncate(collectors);
        let own_weight = |name: &str| rendezvous_weight(own.as_bytes(), name.as_bytes());
        candidates.into_iter().max_by_key(|name| own_weight(name))
    }

    /// Returns the scheduler that places the requests of the gateway `own` in `zone`, if one is usable. It may be
    /// that gateway itself.
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
