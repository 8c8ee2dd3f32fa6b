//! What passes between nodes: membership datagrams over UDP, requests over TCP. The
//! decisions are those of the membership, dissemination and journal crates; here are the sockets, the
//! clock, and what the rest of the node may see.

mod actor;
pub mod exchange;
mod foreign;
mod handlers;
mod machines;
mod metrics;
mod pull;
mod transport;
mod view;

pub use actor::PeersActor;
pub use foreign::ForeignLog;
pub use handlers::{Leave, StoreRead};
pub use metrics::PeerMetrics;
pub use transport::PeerTransport;
pub use view::{MemberStatus, PeersSnapshot, PeersView, ZoneContact, ZoneStatus};
