//! The workers that accept new requests, indexed by service and by what they can be asked for, so
//! that the cost of a request does not grow with the fleet.

use std::collections::HashMap;

use tansyhall_core::{Role, ServiceName};

use crate::load_exchange::WorkerKey;
use crate::selection::Need;

/// What the workers of a group can be asked for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) enum Group {
    /// To read prompts for other engines.
    PrefillEngines,
    /// To run requests.
    Runners,
}

impl Group {
    /// Returns the group of a worker with this role.
    pub(super) fn of_role(role: Option<Role>) -> Self {
        match role {
            Some(Role::Prefill) => Group::PrefillEngines,
            _ => Group::Runners,
        }
    }

    /// Returns the group that serves a need.
    pub(super) fn serving(need: &Need) -> Self {
        match need {
            Need::ReadPrompt => Group::PrefillEngines,
            Need::Run | Need::Continue { .. } => Group::Runners,
        }
    }
}

/// The position of a worker in the index.
#[derive(Debug)]
struct IndexEntry {
    service: ServiceName,
    group: Group,
    position: usize,
}

/// The index. Each change takes constant time, however many workers there are.
#[derive(Debug, Default)]
pub(super) struct EligibleWorkers {
    groups: HashMap<ServiceName, HashMap<Group, Vec<WorkerKey>>>,
    entries: HashMap<WorkerKey, IndexEntry>,
}

impl EligibleWorkers {
    /// Returns the number of workers that accept new requests.
    pub(super) fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns the workers of a service that serve a need, in no particular order.
    pub(super) fn serving(&self, service: &ServiceName, need: &Need) -> &[WorkerKey] {
        let groups = self.groups.get(service);
        let group = groups.and_then(|groups| groups.get(&Group::serving(need)));
        group.map_or(&[], Vec::as_slice)
    }

    /// Adds a worker that accepts new requests of its service and group.
    pub(super) fn insert(&mut self, key: WorkerKey, service: &ServiceName, group: Group) {
        if let Some(entry) = self.entries.get(&key) {
            if entry.service == *service && entry.group == group {
                return;
            }
            self.remove(key);
        }
        let groups = self.groups.entry(service.clone()).or_default();
        let members = groups.entry(group).or_default();
        let entry = IndexEntry {
            service: service.clone(),
            group,
            position: members.len(),
        };
        members.push(key);
        self.entries.insert(key, entry);
    }

    /// Removes a worker that accepts no new requests.
    pub(super) fn remove(&mut self, key: WorkerKey) {
        let Some(entry) = self.entries.remove(&key) else {
            return;
        };
        let groups = self.groups.get_mut(&entry.service);
        let Some(members) = groups.and_then(|groups| groups.get_mut(&entry.group)) else {
            return;
        };
        members.swap_remove(entry.position);
        if let Some(moved) = members.get(entry.position) {
            if let Some(moved) = self.entries.get_mut(moved) {
                moved.position = entry.position;
            }
        }
    }
}
