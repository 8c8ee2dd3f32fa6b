//! Clients of the platform. The key-value service is reached through the published JSON gateway
//! of etcd v3; the rest of the system sees only the [`KeyValueStore`] trait, so that another
//! service costs one module.

#![forbid(unsafe_code)]

pub mod etcd;
pub mod limiter;
pub mod machines;
pub mod retry;
pub mod store;

pub use etcd::EtcdStore;
pub use limiter::{Admission, RateLimit, ShareUsedUp, TokenBucket};
pub use retry::{NextStep, Repeatability, RetryPolicy};
pub use store::{
    Compare, KeyValue, KeyValueStore, LeaseId, Operation, RangeOutcome, RangePage, Revision,
    StoreEpoch, StoreError, Transaction, TransactionOutcome, WatchEvent, WatchStream,
};
