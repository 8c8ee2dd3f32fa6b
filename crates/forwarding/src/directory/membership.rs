//! The set of workers, as service discovery announces them one by one. The cost of each change is
//! that of one worker and does not grow with the fleet.

use std::collections::{HashMap, HashSet};

use tansyhall_core::Role;

use super::eligible::Group;
use super::tracked::TrackedWorker;
use super::Directory;
use crate::load_exchange::WorkerKey;
use crate::worker::{Worker, WorkerId, WorkerState};

impl Directory {
    /// Replaces the announced workers with this list. Sends in progress at other workers stay
    /// counted until they end.
    pub fn announce(&mut self, workers: Vec<Worker>) {
        let listed: HashSet<WorkerKey> = workers
            .iter()
            .map(|worker| WorkerKey::of(&worker.id))
            .collect();
        let known = self.workers.keys();
        let gone: Vec<WorkerKey> = known
            .filter(|key| !listed.contains(*key))
            .copied()
            .collect();
        for key in gone {
            self.withdraw_key(key);
        }
        for worker in workers {
            self.announce_one(worker);
        }
    }

    /// Adds an announced worker, or updates one.
    pub fn announce_one(&mut self, mut worker: Worker) {
        let key = WorkerKey::of(&worker.id);
        if self.notices.is_leaving(key) {
            worker.state = WorkerState::Draining;
        }
        if worker.state == WorkerState::Ready {
            self.leaving.remove(key);
        }
        self.notices.set_announced(key, true);
        self.remove_address(key);
        *self.announced_at.entry(worker.address).or_default() += 1;
        match self.workers.get_mut(&key) {
            Some(tracked) => tracked.announce(worker),
            None => {
                let mut tracked = TrackedWorker::new(worker);
                tracked.desired_role = self.desired_role(&tracked.worker.id);
                self.workers.insert(key, tracked);
            }
        }
        self.update_index(key);
    }

    /// Records that a worker is no longer announced. Sends in progress there stay counted until
    /// they end.
    pub fn withdraw(&mut self, id: &WorkerId) {
        self.withdraw_key(WorkerKey::of(id));
    }

    /// Sets the roles that engines should have, by name. An engine with a different role gets no
    /// new request.
    pub fn set_desired_roles(&mut self, roles: HashMap<String, Role>) {
        self.desired_roles = roles;
        let keys: Vec<WorkerKey> = self.workers.keys().copied().collect();
        for key in keys {
            let Some(tracked) = self.workers.get_mut(&key) else {
                continue;
            };
            tracked.desired_role = self.desired_roles.get(tracked.worker.id.as_str()).copied();
            self.update_index(key);
        }
    }

    /// Returns the last announced data of a worker that is still known because it is announced or
    /// has sends in progress.
    pub fn last_announced(&self, id: &WorkerId) -> Option<&Worker> {
        self.tracked(id).map(|tracked| &tracked.worker)
    }

    /// Iterates over the workers that are announced as ready.
    pub fn ready(&self) -> impl Iterator<Item = &Worker> {
        let announced = self.workers.values().filter(|tracked| tracked.announced);
        let workers = announced.map(|tracked| &tracked.worker);
        workers.filter(|worker| worker.state == WorkerState::Ready)
    }

    pub(super) fn tracked(&self, id: &WorkerId) -> Option<&TrackedWorker> {
        self.workers.get(&WorkerKey::of(id))
    }

    /// Removes all that is known about a worker.
    pub(super) fn forget(&mut self, key: WorkerKey) {
        let Some(tracked) = self.workers.remove(&key) else {
            return;
        };
        for part in tracked.cache.parts() {
            self.part_holders.remove(key, part);
        }
        self.eligible.remove(key);
        self.loaded_by_others.remove(&key);
    }

    fn withdraw_key(&mut self, key: WorkerKey) {
        self.remove_address(key);
        self.leaving.remove(key);
        self.notices.set_announced(key, false);
        let Some(tracked) = self.workers.get_mut(&key) else {
            return;
        };
        tracked.announced = false;
        match tracked.own_load.sends {
            0 => self.forget(key),
            _ => self.eligible.remove(key),
        }
    }

    /// Records that a worker is no longer at its address.
    fn remove_address(&mut self, key: WorkerKey) {
        let Some(tracked) = self.workers.get(&key).filter(|tracked| tracked.announced) else {
            return;
        };
        let address = tracked.worker.address;
        if let Some(count) = self.announced_at.get_mut(&address) {
            *count -= 1;
            if *count == 0 {
                self.announced_at.remove(&address);
            }
        }
    }

    fn desired_role(&self, id: &WorkerId) -> Option<Role> {
        self.desired_roles.get(id.as_str()).copied()
    }

    /// Adds a worker to the index of those that accept new requests, or removes it.
    pub(super) fn update_index(&mut self, key: WorkerKey) {
        let Some(tracked) = self.workers.get(&key) else {
            return;
        };
        let worker = &tracked.worker;
        match tracked.takes_new_requests() {
            true => {
                let group = Group::of_role(worker.role);
                self.eligible.insert(key, &worker.service, group);
            }
            false => self.eligible.remove(key),
        }
    }
}
