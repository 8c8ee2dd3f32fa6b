//! Shares of workers' rate limits that follow the demand of the gateways that place requests.
//!
//! One of these gateways, the leader, divides the main part of each limit ([`division`]) by the demands that all report,
//! and grants each gateway a lease. Each gateway adds its lease to its slot of the reserve, if it has one. Whatever
//! happens to the reports, the sum of what all gateways may use stays within the limit:
//!
//! - A lease names the time at which its holder sent the report that it answers, and ends [`VALIDITY`] after that on the
//!   holder's clock. The leader counts it from the later receipt of that report, for [`MARGIN`] longer. No clocks are
//!   compared.
//! - A smaller lease takes effect at its holder at once. The leader counts the larger one until the holder confirms the
//!   smaller one or the larger one has ended. Only what is free by this count is granted.
//! - There is one leader at a time ([`leadership`]). A new one grants nothing until the leases of earlier ones have ended.
//! - A gateway uses a slot of the reserve only if it holds it in the fleet that it knows and in the last fleet that all
//!   its members have reported to know.

pub mod bucket;
pub mod division;
pub mod leadership;
pub mod meter;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use tansyhall_core::hash::rendezvous_weight;
use tansyhall_core::Timestamp;
use xxhash_rust::xxh3::xxh3_64;

use crate::load_exchange::{GatewayKey, WorkerKey, STALE_AFTER};
use crate::rate_limit::RateLimit;
use bucket::Share;
use division::{Claim, Portion, Reserve, Target, PARTS_PER_TOKEN, WHOLE_PPM};
use leadership::{Leadership, Vote, MAX_VIEW_DIFFERENCE};

/// How long leases and votes are valid: as long as reported loads, four reports.
pub const VALIDITY: Duration = STALE_AFTER;
/// How much longer the grantor counts them, because clocks of machines run at slightly different rates: 3% of
/// [`VALIDITY`].
pub const MARGIN: Duration = Duration::from_millis(50);
/// Interval of reports. Three of four may be lost before a lease ends.
pub const REPORT_INTERVAL: Duration = Duration::from_millis(400);
/// Maximum number of demands in one report, about 3 KB. The greatest are reported.
pub const MAX_DEMANDS: usize = 256;
/// Maximum number of leases in one report, about 6 KB of a datagram.
const MAX_GRANTS: usize = 200;
/// Leases that one worker's limit is assumed to have when workers are spread over reports.
const USUAL_GRANTS: usize = 8;
/// Maximum number of reports over which leases are spread, so that each is renewed before it ends.
const MAX_ROUNDS: usize = 3;

/// Identifies a gateway by its name, in all its incarnations.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct MemberKey(pub u64);

impl MemberKey {
    /// Returns the key of the gateway with this name.
    pub fn of(name: &str) -> Self {
        Self(xxh3_64(name.as_bytes()))
    }
}

/// The demand of a gateway for one worker with a limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LimitDemand {
    /// The worker.
    pub worker: WorkerKey,
    /// Thousandths of a request per second.
    pub demand: u64,
}

/// A lease of a part of a limit, granted by the leader.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Grant {
    /// The worker whose limit it is.
    pub worker: WorkerKey,
    /// The holder's incarnation.
    pub holder: GatewayKey,
    /// When the holder sent the report that this answers, on the holder's clock.
    pub seen: Timestamp,
    /// The part of the limit.
    pub portion: Portion,
}

/// What a gateway reports for the division of limits.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ShareReport {
    /// The reporting gateway.
    pub member: MemberKey,
    /// When it sent this, on its own clock.
    pub sent_at: Timestamp,
    /// A hash of the members that it knows.
    pub view: u64,
    /// The number of members that it knows.
    pub member_count: u32,
    /// Whether it is the leader.
    pub leads: bool,
    /// Its vote. For the leader, this also confirms its leases in the report that the vote names.
    pub vote: Option<Vote>,
    /// Its demands.
    pub demands: Vec<LimitDemand>,
    /// Leases that it grants.
    pub grants: Vec<Grant>,
}

/// The last report of another gateway.
#[derive(Debug)]
struct Peer {
    key: GatewayKey,
    sent_at: Timestamp,
    received_at: Timestamp,
    view: u64,
    member_count: u32,
    leads: bool,
    demands: BTreeMap<WorkerKey, u64>,
}

impl Peer {
    fn is_fresh(&self, now: Timestamp) -> bool {
        now < self.received_at + VALIDITY
    }
}

/// A lease of this gateway.
#[derive(Debug, Clone, Copy)]
struct Lease {
    portion: Portion,
    until: Timestamp,
}

/// A lease that this gateway has granted in its report of the time `sent_at`.
#[derive(Debug, Clone, Copy)]
struct Granted {
    holder: GatewayKey,
    sent_at: Timestamp,
    portion: Portion,
    until: Timestamp,
}

/// The leases of one worker's limit that may still be used, by member.
type GrantedLeases = BTreeMap<MemberKey, Vec<Granted>>;

/// One gateway's part in the division of limits.
#[derive(Debug)]
pub struct DemandShares {
    own: GatewayKey,
    member: MemberKey,
    /// The gateways that share limits; without `member` if this gateway has no share.
    members: BTreeSet<MemberKey>,
    /// The last members that all of them have reported to know.
    confirmed: BTreeSet<MemberKey>,
    /// Increases when `members` or `confirmed` changes.
    slot_version: u64,
    peers: BTreeMap<MemberKey, Peer>,
    /// Members that take part in this division. Gateways of earlier versions use equal shares instead.
    participants: BTreeSet<MemberKey>,
    /// Until then, a gateway that is not a member may know a fleet that is very different from the own one.
    unknown_fleet_until: Timestamp,
    leadership: Option<Leadership>,
    leases: BTreeMap<WorkerKey, Lease>,
    granted: BTreeMap<WorkerKey, GrantedLeases>,
    reports: usize,
}

impl DemandShares {
    /// Creates the state of a gateway that knows no other.
    pub fn new(own: GatewayKey) -> Self {
        Self {
            own,
            member: MemberKey(own.0),
            members: BTreeSet::new(),
            confirmed: BTreeSet::new(),
            slot_version: 0,
            peers: BTreeMap::new(),
            participants: BTreeSet::new(),
            unknown_fleet_until: Timestamp::default(),
            leadership: None,
            leases: BTreeMap::new(),
            granted: BTreeMap::new(),
            reports: 0,
        }
    }

    /// Sets the gateways that share limits, and which of them this one is.
    pub fn set_members(&mut self, member: MemberKey, members: BTreeSet<MemberKey>) {
        self.member = member;
        self.peers.retain(|peer, _| members.contains(peer));
        self.participants.retain(|peer| members.contains(peer));
        self.members = members;
        self.slot_version += 1;
    }

    /// Returns a number that increases when the result of [`Self::has_slot`] may change.
    pub fn slot_version(&self) -> u64 {
        self.slot_version
    }

    /// Returns whether this gateway holds a slot of the reserve of a worker's limit.
    pub fn has_slot(&self, worker: WorkerKey, limit: RateLimit) -> bool {
        let assigned = Reserve::of(limit).assigned;
        let holds = |members| first_members(members, worker, assigned).contains(&self.member);
        holds(&self.members) && holds(&self.confirmed)
    }

    /// Returns what this gateway may use of a limit. If that ends, the end and what remains from then on are returned as
    /// well.
    pub fn share(
        &self,
        now: Timestamp,
        worker: WorkerKey,
        limit: RateLimit,
        has_slot: bool,
    ) -> (Share, Option<(Timestamp, Share)>) {
        let slot = match has_slot {
            true => Share {
                rate: Reserve::of(limit).slot_rate(limit),
                capacity: PARTS_PER_TOKEN,
            },
            false => Share::default(),
        };
        let lease = self.leases.get(&worker).filter(|lease| lease.until > now);
        let Some(lease) = lease else {
            return (slot, None);
        };
        let part = |whole: u64, ppm: u32| {
            (u128::from(whole) * u128::from(ppm) / u128::from(WHOLE_PPM)) as u64
        };
        let share = Share {
            rate: slot.rate + part(division::main_rate(limit), lease.portion.rate_ppm),
            capacity: slot.capacity
                + part(division::main_capacity(limit), lease.portion.capacity_ppm),
        };
        (share, Some((lease.until, slot)))
    }

    /// Applies the report of another gateway; returns whether leases of this gateway have changed. Impossible leases are
    /// ignored, and so are reports of gateways that are not members.
    pub fn receive(&mut self, now: Timestamp, sender: GatewayKey, report: &ShareReport) -> bool {
        let is_member = self.members.contains(&report.member) && report.member != self.member;
        if !is_member && self.is_different(report.member_count) {
            self.unknown_fleet_until = now + VALIDITY;
        }
        let is_old = self
            .peers
            .get(&report.member)
            .is_some_and(|peer| peer.key == sender && peer.sent_at >= report.sent_at);
        if !is_member || is_old {
            return false;
        }
        let demands = report.demands.iter().take(MAX_DEMANDS);
        let peer = Peer {
            key: sender,
            sent_at: report.sent_at,
            received_at: now,
            view: report.view,
            member_count: report.member_count,
            leads: report.leads,
            demands: demands.map(|entry| (entry.worker, entry.demand)).collect(),
        };
        self.peers.insert(report.member, peer);
        self.participants.insert(report.member);
        if let Some(vote) = report.vote.filter(|vote| vote.leader == self.own) {
            self.confirm(report.member, sender, vote.seen);
            if let Some(leadership) = &mut self.leadership {
                leadership.count(now, report.member, vote.seen);
            }
        }
        self.accept_leases(now, &report.grants)
    }

    /// Records a report without a part on shares. A gateway that still sends reports, but none on shares, has been set to
    /// use equal shares: nothing is leased until it takes part again.
    pub fn receive_without_shares(&mut self, now: Timestamp, sender: GatewayKey) {
        let has_stopped = |peer: &Peer| peer.key == sender && !peer.is_fresh(now);
        let stopped = self.peers.iter().find(|(_, peer)| has_stopped(peer));
        if let Some((member, _)) = stopped {
            self.participants.remove(member);
        }
    }

    fn accept_leases(&mut self, now: Timestamp, grants: &[Grant]) -> bool {
        let is_valid = |grant: &&Grant| {
            let Portion {
                rate_ppm,
                capacity_ppm,
            } = grant.portion;
            let is_possible = rate_ppm <= WHOLE_PPM && capacity_ppm <= WHOLE_PPM;
            grant.holder == self.own && grant.seen <= now && is_possible
        };
        let own: Vec<&Grant> = grants.iter().filter(is_valid).collect();
        for grant in &own {
            let lease = Lease {
                portion: grant.portion,
                until: grant.seen + VALIDITY,
            };
            self.leases.insert(grant.worker, lease);
        }
        !own.is_empty()
    }

    /// Records that a gateway has received the report that this one sent at `sent_at`: leases granted to it earlier have
    /// been replaced by those in that report.
    fn confirm(&mut self, member: MemberKey, holder: GatewayKey, sent_at: Timestamp) {
        for leases in self.granted.values_mut() {
            let Some(leases) = leases.get_mut(&member) else {
                continue;
            };
            let is_named = |lease: &Granted| lease.sent_at == sent_at && lease.holder == holder;
            if leases.iter().any(is_named) {
                leases.retain(|lease| lease.sent_at >= sent_at || lease.holder != holder);
            }
        }
    }

    /// Returns the report that this gateway sends now; `None` if it has no share. `limits` are the known limits, and
    /// `demands` this gateway's own demands. The leader's own leases are renewed by this.
    pub fn report(
        &mut self,
        now: Timestamp,
        limits: &BTreeMap<WorkerKey, RateLimit>,
        mut demands: Vec<LimitDemand>,
    ) -> Option<ShareReport> {
        if !self.members.contains(&self.member) {
            return None;
        }
        self.reports += 1;
        self.leases.retain(|_, lease| lease.until > now);
        self.confirm_members(now);
        let vote = self.vote(now);
        let (leads, may_grant) = self.update_leadership(now);
        demands.sort_by_key(|entry| Reverse(entry.demand));
        demands.truncate(MAX_DEMANDS);
        let grants = match may_grant {
            true => self.grant_all(now, limits, &demands),
            false => Vec::new(),
        };
        Some(ShareReport {
            member: self.member,
            sent_at: now,
            view: view_of(&self.members),
            member_count: self.members.len() as u32,
            leads,
            vote,
            demands,
            grants,
        })
    }

    /// Returns whether a fleet of this size may have a majority that has no gateway in common with the own one.
    fn is_different(&self, member_count: u32) -> bool {
        member_count.abs_diff(self.members.len() as u32) > MAX_VIEW_DIFFERENCE
    }

    fn fresh_peers(&self, now: Timestamp) -> impl Iterator<Item = (&MemberKey, &Peer)> {
        self.peers
            .iter()
            .filter(move |(_, peer)| peer.is_fresh(now))
    }

    /// Updates the last members that all of them have reported to know.
    fn confirm_members(&mut self, now: Timestamp) {
        if self.confirmed == self.members {
            return;
        }
        let view = view_of(&self.members);
        let agreeing = self.fresh_peers(now).filter(|(_, peer)| peer.view == view);
        if agreeing.count() + 1 == self.members.len() {
            self.confirmed = self.members.clone();
            self.slot_version += 1;
        }
    }

    /// Votes for the leader, or for the first member from which reports arrive if there is none.
    fn vote(&mut self, now: Timestamp) -> Option<Vote> {
        let leads = self.leadership.as_ref().is_some_and(Leadership::leads);
        let leader = self.fresh_peers(now).find(|(_, peer)| peer.leads);
        let first = self.fresh_peers(now).next();
        let own = (leads || leader.is_none()).then_some(self.member);
        let target = match (own, leader.or(first)) {
            (Some(own), Some((member, _))) if !leads => own.min(*member),
            (Some(own), _) => own,
            (None, Some((member, _))) => *member,
            (None, None) => self.member,
        };
        let leadership = self.leadership.get_or_insert_with(|| Leadership::new(now));
        if !leadership.vote(now, target) {
            return None;
        }
        if target == self.member {
            leadership.count(now, self.member, now);
        }
        let peer = self.peers.get(&target)?;
        Some(Vote {
            leader: peer.key,
            seen: peer.sent_at,
        })
    }

    /// Returns whether this gateway leads, and whether it may grant leases. It may not as long as a member has never
    /// taken part and may use an equal share, or knows very different members.
    fn update_leadership(&mut self, now: Timestamp) -> (bool, bool) {
        let is_similar = |(_, peer): (_, &Peer)| !self.is_different(peer.member_count);
        let all_similar = now >= self.unknown_fleet_until && self.fresh_peers(now).all(is_similar);
        let all_participate = self.participants.len() + 1 == self.members.len();
        let Some(leadership) = &mut self.leadership else {
            return (false, false);
        };
        leadership.update(now, &self.members);
        let may_grant = leadership.may_grant(now) && all_similar && all_participate;
        (leadership.leads(), may_grant)
    }

    fn grant_all(
        &mut self,
        now: Timestamp,
        limits: &BTreeMap<WorkerKey, RateLimit>,
        own_demands: &[LimitDemand],
    ) -> Vec<Grant> {
        self.granted.retain(|_, members| {
            members.retain(|_, leases| {
                leases.retain(|lease| lease.until > now);
                !leases.is_empty()
            });
            !members.is_empty()
        });
        let mut claims = self.claims(now, limits, own_demands);
        for worker in self.granted.keys() {
            claims.entry(*worker).or_default();
        }
        let rounds = (claims.len() * USUAL_GRANTS)
            .div_ceil(MAX_GRANTS)
            .clamp(1, MAX_ROUNDS);
        let is_due = |worker: &WorkerKey| worker.0 as usize % rounds == self.reports % rounds;
        let due: Vec<(WorkerKey, Vec<Claim>)> = claims
            .into_iter()
            .filter(|(worker, _)| is_due(worker))
            .collect();
        let mut grants = Vec::new();
        for (worker, claims) in due {
            if grants.len() >= MAX_GRANTS {
                break;
            }
            let targets = match limits.get(&worker) {
                Some(limit) => division::divide(*limit, &claims),
                None => Vec::new(),
            };
            self.grant(now, worker, &targets, &mut grants);
        }
        grants
    }

    /// Returns the demands of all members, by worker with a limit.
    fn claims(
        &self,
        now: Timestamp,
        limits: &BTreeMap<WorkerKey, RateLimit>,
        own_demands: &[LimitDemand],
    ) -> BTreeMap<WorkerKey, Vec<Claim>> {
        let own = own_demands
            .iter()
            .map(|entry| (self.member, entry.worker, entry.demand));
        let others = self.fresh_peers(now).flat_map(|(member, peer)| {
            let demands = peer.demands.iter();
            demands.map(move |(worker, demand)| (*member, *worker, *demand))
        });
        let has_lease = |member, worker| {
            let members = self.granted.get(&worker);
            let leases = members.and_then(|members| members.get(&member));
            leases.is_some_and(|leases| usable(leases).rate_ppm > 0)
        };
        let mut slot_holders = BTreeMap::new();
        let mut claims: BTreeMap<WorkerKey, Vec<Claim>> = BTreeMap::new();
        for (member, worker, demand) in own.chain(others) {
            let Some(limit) = limits.get(&worker) else {
                continue;
            };
            let slots = slot_holders.entry(worker).or_insert_with(|| {
                first_members(&self.members, worker, Reserve::of(*limit).assigned)
            });
            claims.entry(worker).or_default().push(Claim {
                member,
                demand,
                has_lease: has_lease(member, worker),
                has_slot: slots.contains(&member),
            });
        }
        claims
    }

    /// Grants leases of one limit: to each gateway its target, but no more than it may already use plus what is free.
    fn grant(
        &mut self,
        now: Timestamp,
        worker: WorkerKey,
        targets: &[(MemberKey, Target)],
        grants: &mut Vec<Grant>,
    ) {
        let leases = self.granted.entry(worker).or_default();
        let holders = leases.keys();
        let mut wanted: BTreeMap<MemberKey, Target> =
            holders.map(|member| (*member, Target::default())).collect();
        wanted.extend(targets.iter().copied());
        let sum = |part: fn(&Portion) -> u32| -> u32 {
            leases.values().map(|leases| part(&usable(leases))).sum()
        };
        let mut free = Portion {
            rate_ppm: WHOLE_PPM.saturating_sub(sum(|portion| portion.rate_ppm)),
            capacity_ppm: WHOLE_PPM.saturating_sub(sum(|portion| portion.capacity_ppm)),
        };
        for (member, target) in wanted {
            let is_own = member == self.member;
            let (holder, seen, received_at) = match self.peers.get(&member) {
                _ if is_own => (self.own, now, now),
                Some(peer) if peer.is_fresh(now) => (peer.key, peer.sent_at, peer.received_at),
                _ => continue,
            };
            let leases = leases.entry(member).or_default();
            let before = usable(leases);
            let portion = target.within(Portion {
                rate_ppm: before.rate_ppm + free.rate_ppm,
                capacity_ppm: before.capacity_ppm + free.capacity_ppm,
            });
            if portion == Portion::default() && before == portion {
                continue;
            }
            free.rate_ppm -= portion.rate_ppm.saturating_sub(before.rate_ppm);
            free.capacity_ppm -= portion.capacity_ppm.saturating_sub(before.capacity_ppm);
            if is_own {
                leases.clear();
                let until = now + VALIDITY;
                self.leases.insert(worker, Lease { portion, until });
            }
            leases.push(Granted {
                holder,
                sent_at: now,
                portion,
                until: received_at + VALIDITY + MARGIN,
            });
            if !is_own {
                grants.push(Grant {
                    worker,
                    holder,
                    seen,
                    portion,
                });
            }
        }
    }
}

/// Returns the most that the holder of these leases may use.
fn usable(leases: &[Granted]) -> Portion {
    let rates = leases.iter().map(|lease| lease.portion.rate_ppm);
    let capacities = leases.iter().map(|lease| lease.portion.capacity_ppm);
    Portion {
        rate_ppm: rates.max().unwrap_or(0),
        capacity_ppm: capacities.max().unwrap_or(0),
    }
}

/// Returns the first `count` members in the rendezvous order of a worker.
fn first_members(
    members: &BTreeSet<MemberKey>,
    worker: WorkerKey,
    count: u64,
) -> BTreeSet<MemberKey> {
    let key = worker.0.to_le_bytes();
    let mut order: Vec<MemberKey> = members.iter().copied().collect();
    order.sort_by_cached_key(|member| Reverse(rendezvous_weight(&key, &member.0.to_le_bytes())));
    let count = usize::try_from(count).unwrap_or(usize::MAX);
    order.into_iter().take(count).collect()
}

/// Returns a hash of a set of members.
fn view_of(members: &BTreeSet<MemberKey>) -> u64 {
    let bytes: Vec<u8> = members
        .iter()
        .flat_map(|member| member.0.to_le_bytes())
        .collect();
    xxh3_64(&bytes)
}
