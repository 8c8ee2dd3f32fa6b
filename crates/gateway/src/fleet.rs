//! The gateways that are announced in the store, and which of them are schedulers.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use tansyhall_core::Timestamp;
use tansyhall_forwarding::{RecorderPlan, SchedulerCandidate, SchedulerPlan};

use crate::presence::Member;

/// How long a gateway is remembered whose announcement is gone. The announcement of a gateway that the store ignores expires
/// although the gateway runs.
const FORMER_MEMBER_TTL: Duration = Duration::from_secs(60);
/// Maximum number of gateways that are remembered.
const MAX_FORMER_MEMBERS: usize = 64;

/// The fleet of announced gateways.
#[derive(Debug, Default)]
pub struct Fleet {
    /// Determines which gateways place requests.
    pub plan: SchedulerPlan,
    /// Determines which gateways record the software versions of streams.
    pub recorders: RecorderPlan,
    members: HashMap<String, Member>,
    /// Gateways whose announcements are gone, each with the time at which that was noticed.
    former: Vec<(Timestamp, Member)>,
}

impl Fleet {
    /// Creates the fleet of these gateways. Gateways that do not announce their zone can be neither
    /// schedulers nor recorders.
    pub fn new(members: Vec<Member>) -> Self {
        let candidates = members.iter().filter_map(|member| {
            Some(SchedulerCandidate {
                name: member.name.clone(),
                zone: member.zone.clone()?,
                capacity: member.capacity,
            })
        });
        let candidates: Vec<SchedulerCandidate> = candidates.collect();
        let recorders = RecorderPlan::new(&candidates);
        let plan = SchedulerPlan::new(candidates);
        let members = members.into_iter();
        Self {
            plan,
            recorders,
            members: members
                .map(|member| (member.name.clone(), member))
                .collect(),
            former: Vec::new(),
        }
    }

    /// Returns the fleet of these gateways, which follows this one.
    pub fn succeeded_by(&self, now: Timestamp, members: Vec<Member>) -> Self {
        let mut next = Self::new(members);
        let gone = self.members.values().map(|member| (now, member.clone()));
        let former = gone.chain(self.former.iter().cloned());
        let is_recent = |since: Timestamp| now.since(since) < FORMER_MEMBER_TTL;
        let former = former.filter(|(since, member)| {
            is_recent(*since) && !next.members.contains_key(&member.name)
        });
        next.former = former.take(MAX_FORMER_MEMBERS).collect();
        next
    }

    /// Returns the number of announced gateways.
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Returns whether no gateway is announced.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// Returns whether the fleet consists of exactly these gateways, with the same addresses, zones and capacities.
    pub fn has_members(&self, members: &[Member]) -> bool {
        let is_known = |member: &Member| self.members.get(&member.name) == Some(member);
        members.len() == self.members.len() && members.iter().all(is_known)
    }

    /// Iterates over all gateways.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// Iterates over all gateways, and over those whose announcements are gone since a short time.
    pub fn recent_members(&self) -> impl Iterator<Item = &Member> {
        let former = self.former.iter().map(|(_, member)| member);
        self.members.values().chain(former)
    }

    /// Iterates over the names of all gateways.
    pub fn names(&self) -> impl Iterator<Item = &str> {
        self.members.keys().map(String::as_str)
    }

    /// Returns the address at which a gateway receives datagrams.
    pub fn load_address(&self, name: &str) -> Option<SocketAddr> {
        self.members.get(name).map(|member| member.load_address)
    }
}
