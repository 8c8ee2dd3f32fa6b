//! The configuration: how it is changed in the platform's store, how a node follows it there or
//! takes it from its peers, and the tables that requests are routed by.

pub mod change;
pub mod head;
pub mod headers;
pub mod held;
pub mod in_force;
pub mod store;
pub mod watcher;

pub use change::{Change, ChangeError, Effect, Precondition};
pub use head::{Author, ChangeRecord};
pub use headers::RequestHeaders;
pub use held::{hold, put_held_in_force, take_answer, Held, Refused};
pub use in_force::InForce;
pub use store::{Committed, ConfigurationStore, Snapshot};
pub use watcher::ConfigurationWatcher;
