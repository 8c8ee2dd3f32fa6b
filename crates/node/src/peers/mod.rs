//! Traffic between nodes: membership datagrams over UDP, requests over TCP. The membership,
//! dissemination and journal crates make the decisions; this module holds the sockets, the clock, and
//! the view of other nodes that the rest of this node reads.

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
pub use foreign::ForeignLogLimiter;
pub use handlers::{Leave, StoreRead};
pub use metrics::PeerMetrics;
pub use transport::PeerTransport;
pub use view::{MemberStatus, PeersSnapshot, PeersView, ZoneContact, ZoneStatus};
