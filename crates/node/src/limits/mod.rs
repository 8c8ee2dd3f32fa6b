//! Limits of tenants at this node: which tenant a caller belongs to, what it may use, and the
//! shares of its limits that this node holds.

pub mod admission;
pub mod canary;
pub mod keys;
pub mod limiter;
pub mod tenant;
pub mod ticker;
pub mod transport;

pub use admission::{Admission, Refusal};
pub use canary::{Variant, AFFINITY_HEADER};
pub use limiter::TenantLimiter;
pub use tenant::{tenant_of, TENANT_HEADER};
pub use transport::{DisconnectedTransport, ShareTransport};
