//! Clients of the platform. The client of the key-value service uses the public JSON gateway of etcd v3. The rest of
//! the system uses only the [`KeyValueStore`] trait, so supporting another service requires only one module.

#![forbid(unsafe_code)]

pub mod etcd;
pub mod limiter;
pub mod machines;
pub mod retry;
pub mod store;

pub use etcd::EtcdStore;
pub use limiter::{Admission, RateLimit, RateLimitExhausted, TokenBucket};
pub use retry::{NextStep, Repeatability, RetryPolicy};
pub use store::{
    Compare, KeyValue, KeyValueStore, LeaseId, Operation, RangeOutcome, RangePage, Revision,
    StoreEpoch, StoreError, Transaction, TransactionOutcome, WatchEvent, WatchStream,
};
