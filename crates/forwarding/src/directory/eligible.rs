//! The workers that take new requests, indexed by service and by what they can be asked for, so that the
//! work for one request does not grow with the fleet.

use std::collections::HashMap;

use tansyhall_core::{Role, ServiceName};

use crate::load_exchange::WorkerKey;
use crate::selection::Need;

/// What the workers of a group can be asked for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) enum Group {
    /// To read prompts for others.
    Readers,
    /// To run requests.
    Runners,
}

impl Group {
    /// The group of a worker with this role.
    pub(super) fn of_role(role: Option<Role>) -> Self {
        match role {
            Some(Role::Prefill) => Group::Readers,
            _ => Group::Runners,
        }
    }

    /// The group that serves a need.
    pub(super) fn serving(need: &Need) -> Self {
        match need {
            Need::ReadPrompt => Group::Readers,
            Need::Run | Need::Continue { .. } => Group::Runners,
        }
    }
}

/// Where a worker stands in the index.
#[derive(Debug)]
struct Place {
    service: ServiceName,
    group: Group,
    position: usize,
}

/// The index. Each change takes the same time, however many workers there are.
#[derive(Debug, Default)]
pub(super) struct EligibleWorkers {
    groups: HashMap<ServiceName, HashMap<Group, Vec<WorkerKey>>>,
    places: HashMap<WorkerKey, Place>,
}

impl EligibleWorkers {
    /// How many workers take new requests.
    pub(super) fn len(&self) -> usize {
        self.places.len()
    }

    /// The workers of a service that serve a need, in no order.
    pub(super) fn serving(&self, service: &ServiceName, need: &Need) -> &[WorkerKey] {
        let groups = self.groups.get(service);
        let group = groups.and_then(|groups| groups.get(&Group::serving(need)));
        group.map_or(&[], Vec::as_slice)
    }

    /// A worker takes new requests of its service and group.
    pub(super) fn insert(&mut self, key: WorkerKey, service: &ServiceName, group: Group) {
        if let Some(place) = self.places.get(&key) {
            if place.service == *service && place.group == group {
                return;
            }
            self.remove(key);
        }
        let groups = self.groups.entry(service.clone()).or_default();
        let members = groups.entry(group).or_default();
        let place = Place {
            service: service.clone(),
            group,
            position: members.len(),
        };
        members.push(key);
        self.places.insert(key, place);
    }

    /// A worker takes no new requests.
    pub(super) fn remove(&mut self, key: WorkerKey) {
        let Some(place) = self.places.remove(&key) else {
            return;
        };
        let groups = self.groups.get_mut(&place.service);
        let Some(members) = groups.and_then(|groups| groups.get_mut(&place.group)) else {
            return;
        };
        members.swap_remove(place.position);
        if let Some(moved) = members.get(place.position) {
            if let Some(moved) = self.places.get_mut(moved) {
                moved.position = place.position;
            }
        }
    }
}
