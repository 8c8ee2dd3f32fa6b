//! Fair sharing of a node's request slots between tenants. When the node is nearly full, the last slots go to
//! tenants that hold less than their fair share, and not to whichever request arrives first.

use std::collections::HashMap;
use std::hash::Hash;

/// One slot in this many is reserved for tenants below their fair share.
const RESERVED_DIVISOR: usize = 8;

/// Whether a request got a slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SlotDecision {
    /// The request holds a slot until it is released.
    Admitted,
    /// Every slot is taken.
    Full,
    /// The remaining slots are reserved for tenants below their fair share.
    AboveFairShare,
}

/// The request slots of one node, counted by tenant.
#[derive(Debug, Clone)]
pub struct FairSlots<T> {
    slots: usize,
    taken: usize,
    by_tenant: HashMap<T, usize>,
}

impl<T: Hash + Eq> FairSlots<T> {
    /// Returns `slots` free slots.
    pub fn new(slots: usize) -> Self {
        Self {
            slots,
            taken: 0,
            by_tenant: HashMap::new(),
        }
    }

    /// Requests a slot for a request of a tenant.
    pub fn acquire(&mut self, tenant: T) -> SlotDecision {
        if self.taken >= self.slots {
            return SlotDecision::Full;
        }
        if self.is_contended() && self.held(&tenant) >= self.fair_share(&tenant) {
            return SlotDecision::AboveFairShare;
        }
        self.taken += 1;
        *self.by_tenant.entry(tenant).or_default() += 1;
        SlotDecision::Admitted
    }

    /// Releases the slot of a request of a tenant.
    pub fn release(&mut self, tenant: &T) {
        let Some(held) = self.by_tenant.get_mut(tenant) else {
            return;
        };
        *held -= 1;
        self.taken -= 1;
        if *held == 0 {
            self.by_tenant.remove(tenant);
        }
    }

    /// Returns the number of slots that a tenant holds.
    pub fn held(&self, tenant: &T) -> usize {
        self.by_tenant.get(tenant).copied().unwrap_or(0)
    }

    /// Returns the number of slots that are taken.
    pub const fn taken(&self) -> usize {
        self.taken
    }

    fn is_contended(&self) -> bool {
        self.taken >= self.slots - self.slots / RESERVED_DIVISOR
    }

    /// Returns the maximum number of slots that a tenant may hold under contention: an equal share among this
    /// tenant and the others that hold slots. Slots that the others do not use stay free for them, up to the
    /// number of reserved slots.
    fn fair_share(&self, tenant: &T) -> usize {
        let others = self.by_tenant.keys().filter(|other| *other != tenant);
        self.slots.div_ceil(others.count() + 1)
    }
}
