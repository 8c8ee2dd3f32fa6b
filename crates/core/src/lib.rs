//! Types that every other crate uses: identifiers, time, verdicts, rendezvous hashing and sharded maps. This crate
//! performs no input or output, so decision crates can depend on it.

#![forbid(unsafe_code)]

pub mod fleet;
pub mod hash;
pub mod id;
pub mod role;
pub mod sharded;
pub mod stream_end;
pub mod time;
pub mod verdict;

pub use fleet::FleetId;
pub use id::{
    AdapterName, EngineName, FleetName, Incarnation, ModelName, NodeId, OperatorName, PolicyName,
    PoolName, RequestId, ServiceName, SiteName, TenantName, VersionName, ZoneName,
};
pub use role::Role;
pub use sharded::Sharded;
pub use stream_end::StreamEnd;
pub use time::{Duration, Timestamp};
pub use verdict::Verdict;
