//! Reservations of bytes from a fixed budget, shared by all threads of a process.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;

/// Reservations of requests up to this size may also use the part of the budget that is kept for small requests.
pub const SMALL_BYTES: usize = 64 << 10;

/// Memory that a process needs for itself, in bytes.
const OWN_BYTES: u64 = 40_000_000;
/// The share of the remaining memory that callers may hold. The rest covers the overhead of allocations.
const CALLERS_SHARE: f64 = 0.5;

/// What reserved bytes are used for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Use {
    /// Buffers of an open connection.
    Connection,
    /// A request in progress.
    Request,
}

/// The budget does not allow to hold more bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the memory for callers is exhausted")]
pub struct Exhausted;

/// The bytes that a process may hold for its callers. Clones share one budget.
#[derive(Debug, Clone)]
pub struct MemoryBudget {
    capacity: usize,
    held: Arc<AtomicUsize>,
}

impl MemoryBudget {
    /// Creates a budget of this many bytes.
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity,
            held: Arc::default(),
        }
    }

    /// Creates the budget of a process on a machine with this much memory in bytes.
    pub fn for_machine(memory_bytes: u64) -> Self {
        let available = memory_bytes.saturating_sub(OWN_BYTES);
        Self::new((available as f64 * CALLERS_SHARE) as usize)
    }

    /// Returns the budget in bytes.
    pub fn capacity(&self) -> usize {
        self.capacity
    }

    /// Returns the bytes that are reserved.
    pub fn held(&self) -> usize {
        self.held.load(Ordering::Relaxed)
    }

    /// Returns whether more than half of the budget is reserved.
    pub fn is_short(&self) -> bool {
        self.held() > self.capacity / 2
    }

    /// Reserves bytes. A quarter of the budget is kept for requests of up to [`SMALL_BYTES`].
    pub fn reserve(&self, bytes: usize, purpose: Use) -> Result<Reservation, Exhausted> {
        let mut reservation = Reservation {
            budget: self.clone(),
            purpose,
            bytes: 0,
        };
        reservation.grow_to(bytes)?;
        Ok(reservation)
    }

    fn limit(&self, bytes: usize, purpose: Use) -> usize {
        match purpose {
            Use::Request if bytes <= SMALL_BYTES => self.capacity,
            Use::Request | Use::Connection => self.capacity / 4 * 3,
        }
    }
}

/// Reserved bytes, released when dropped.
#[derive(Debug)]
pub struct Reservation {
    budget: MemoryBudget,
    purpose: Use,
    bytes: usize,
}

impl Reservation {
    /// Returns the reserved bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Extends the reservation to this many bytes in all. It is unchanged if the budget is exhausted, or if it is larger
    /// already.
    pub fn grow_to(&mut self, bytes: usize) -> Result<(), Exhausted> {
        let added = bytes.saturating_sub(self.bytes);
        if added == 0 {
            return Ok(());
        }
        let limit = self.budget.limit(bytes, self.purpose);
        let add = |held: usize| held.checked_add(added).filter(|held| *held <= limit);
        let held = &self.budget.held;
        held.fetch_update(Ordering::Relaxed, Ordering::Relaxed, add)
            .map_err(|_| Exhausted)?;
        self.bytes += added;
        Ok(())
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.budget.held.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}
