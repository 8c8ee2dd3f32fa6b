//! The store: leases, and the pool's one key, created by compare-and-swap. A stand-in of the
//! platform's service, without its own faults; the cluster adds those.

use std::collections::HashMap;

use tansyhall_authority::{ClaimRecord, Epoch, Lease};
use tansyhall_core::{Duration, Timestamp};

/// The pool's key.
#[derive(Debug, Clone, Copy)]
struct Key {
    lease: i64,
    revision: u64,
    claim: u64,
}

/// What a node asks of the store.
#[derive(Debug, Clone, Copy)]
pub enum StoreRequest {
    /// A new lease.
    Grant(Duration),
    /// Another term of a lease.
    Renew(Lease),
    /// Create the key, attached to a lease.
    Create(Lease),
    /// Read the key.
    Read,
}

/// What the store answers.
#[derive(Debug, Clone, Copy)]
pub enum StoreReply {
    /// The lease.
    Granted(Lease, Duration),
    /// The lease goes on.
    Renewed(Duration),
    /// The lease is gone.
    Lapsed,
    /// The key was created, or existed.
    Created,
    /// The key, and the judge's number of the claim.
    Read(Option<(ClaimRecord, u64)>),
}

/// The store's state.
#[derive(Debug, Default)]
pub struct Store {
    leases: HashMap<i64, (Timestamp, Duration)>,
    key: Option<Key>,
    revision: u64,
    claims: u64,
    next_lease: i64,
}

impl Store {
    /// Serves one request.
    pub fn serve(&mut self, now: Timestamp, request: StoreRequest) -> StoreReply {
        self.expire(now);
        match request {
            StoreRequest::Grant(time_to_live) => {
                self.next_lease += 1;
                let until = now + time_to_live;
                self.leases.insert(self.next_lease, (until, time_to_live));
                StoreReply::Granted(Lease(self.next_lease), time_to_live)
            }
            StoreRequest::Renew(lease) => match self.leases.get_mut(&lease.0) {
                Some((until, time_to_live)) => {
                    *until = now + *time_to_live;
                    StoreReply::Renewed(*time_to_live)
                }
                None => StoreReply::Lapsed,
            },
            StoreRequest::Create(lease) => {
                if self.key.is_none() && self.leases.contains_key(&lease.0) {
                    self.create(lease);
                }
                StoreReply::Created
            }
            StoreRequest::Read => StoreReply::Read(self.key.map(read)),
        }
    }

    fn create(&mut self, lease: Lease) {
        self.revision += 1;
        self.claims += 1;
        self.key = Some(Key {
            lease: lease.0,
            revision: self.revision,
            claim: self.claims,
        });
    }

    fn expire(&mut self, now: Timestamp) {
        self.leases.retain(|_, (until, _)| now < *until);
        if self
            .key
            .is_some_and(|key| !self.leases.contains_key(&key.lease))
        {
            self.key = None;
            self.revision += 1;
        }
    }
}

fn read(key: Key) -> (ClaimRecord, u64) {
    let record = ClaimRecord {
        lease: Lease(key.lease),
        epoch: Epoch(key.revision),
    };
    (record, key.claim)
}
