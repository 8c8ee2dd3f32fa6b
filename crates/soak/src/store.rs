//! A simulated store: leases, and the single key of the pool, which is created by compare-and-swap. It stands in for the
//! platform's store and has no faults itself. The cluster adds those.

use std::collections::HashMap;

use tansyhall_authority::{ClaimRecord, Epoch, Lease};
use tansyhall_core::{Duration, Timestamp};

/// The key of the pool.
#[derive(Debug, Clone, Copy)]
struct Key {
    lease: i64,
    revision: u64,
    claim: u64,
}

/// A request of a node to the store.
#[derive(Debug, Clone, Copy)]
pub enum StoreRequest {
    /// Grants a lease with this time to live.
    Grant(Duration),
    /// Renews a lease.
    Renew(Lease),
    /// Creates the key, attached to a lease.
    Create(Lease),
    /// Reads the key.
    Read,
}

/// The store's answer to a request.
#[derive(Debug, Clone, Copy)]
pub enum StoreReply {
    /// The lease was granted with this time to live.
    Granted(Lease, Duration),
    /// The lease was renewed with this time to live.
    Renewed(Duration),
    /// The lease has lapsed.
    Lapsed,
    /// The key was created, or the request had no effect: the key existed, or the lease had lapsed.
    Created,
    /// The claim record in the key and the oracle's number of the claim, or `None` if the key is absent.
    Read(Option<(ClaimRecord, u64)>),
}

/// The state of the store.
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
            StoreRequest::Read => StoreReply::Read(self.key.map(read_key)),
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

fn read_key(key: Key) -> (ClaimRecord, u64) {
    let record = ClaimRecord {
        lease: Lease(key.lease),
        epoch: Epoch(key.revision),
    };
    (record, key.claim)
}
