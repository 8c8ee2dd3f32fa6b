//! The gateways that are announced, and which of them are schedulers.

use std::collections::HashMap;
use std::net::SocketAddr;

use tansyhall_forwarding::{SchedulerCandidate, SchedulerPlan};

use crate::presence::Member;

/// The fleet as the store announces it.
#[derive(Debug, Default)]
pub struct Fleet {
    /// Which gateways place requests.
    pub plan: SchedulerPlan,
    members: HashMap<String, Member>,
}

impl Fleet {
    /// The fleet of these gateways. Those that do not tell their zone can't be schedulers.
    pub fn new(members: Vec<Member>) -> Self {
        let candidates = members.iter().filter_map(|member| {
            Some(SchedulerCandidate {
                name: member.name.clone(),
                zone: member.zone.clone()?,
                capacity: member.capacity,
            })
        });
        let plan = SchedulerPlan::new(candidates.collect());
        let members = members.into_iter();
        Self {
            plan,
            members: members.map(|one| (one.name.clone(), one)).collect(),
        }
    }

    /// How many gateways are announced.
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Whether none is.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// Whether these are the same gateways, reached in the same way.
    pub fn is_of(&self, members: &[Member]) -> bool {
        let is_known = |member: &Member| self.members.get(&member.name) == Some(member);
        members.len() == self.members.len() && members.iter().all(is_known)
    }

    /// All gateways.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// The names of all gateways.
    pub fn names(&self) -> impl Iterator<Item = &str> {
        self.members.keys().map(String::as_str)
    }

    /// Where a gateway takes datagrams.
    pub fn load_address(&self, name: &str) -> Option<SocketAddr> {
        self.members.get(name).map(|member| member.load)
    }
}
