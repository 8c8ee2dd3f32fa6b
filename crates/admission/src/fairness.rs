//! Fairness between tenants at a node that is nearly full: the last places go to those tenants
//! that hold less than their fair part of all places, rather than to whoever comes first.

use std::collections::HashMap;
use std::hash::Hash;

/// The part of all places that is kept for tenants below their fair part.
const KEPT_DIVISOR: usize = 8;

/// Whether a request got a place.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlaceDecision {
    /// It has a place until it leaves.
    Admitted,
    /// Every place is taken.
    Full,
    /// The places that are left are for tenants that hold fewer.
    AboveFairPart,
}

/// Places of one node, counted by tenant.
#[derive(Debug, Clone)]
pub struct FairPlaces<T> {
    places: usize,
    taken: usize,
    by_tenant: HashMap<T, usize>,
}

impl<T: Hash + Eq> FairPlaces<T> {
    /// A node with this many places, all free.
    pub fn new(places: usize) -> Self {
        Self {
            places,
            taken: 0,
            by_tenant: HashMap::new(),
        }
    }

    /// A request of a tenant asks for a place.
    pub fn enter(&mut self, tenant: T) -> PlaceDecision {
        if self.taken >= self.places {
            return PlaceDecision::Full;
        }
        if self.is_contended() && self.held(&tenant) >= self.fair_part(&tenant) {
            return PlaceDecision::AboveFairPart;
        }
        self.taken += 1;
        *self.by_tenant.entry(tenant).or_default() += 1;
        PlaceDecision::Admitted
    }

    /// A request of a tenant gives its place back.
    pub fn leave(&mut self, tenant: &T) {
        let Some(held) = self.by_tenant.get_mut(tenant) else {
            return;
        };
        *held -= 1;
        self.taken -= 1;
        if *held == 0 {
            self.by_tenant.remove(tenant);
        }
    }

    /// Places that a tenant holds.
    pub fn held(&self, tenant: &T) -> usize {
        self.by_tenant.get(tenant).copied().unwrap_or(0)
    }

    /// Places that are taken.
    pub const fn taken(&self) -> usize {
        self.taken
    }

    fn is_contended(&self) -> bool {
        self.taken >= self.places - self.places / KEPT_DIVISOR
    }

    /// The most that a tenant may hold under contention: as much as each other one that is here.
    /// What the others do not use of theirs, up to the kept places, stays free for them.
    fn fair_part(&self, tenant: &T) -> usize {
        let others = self.by_tenant.keys().filter(|other| *other != tenant);
        self.places.div_ceil(others.count() + 1)
    }
}
