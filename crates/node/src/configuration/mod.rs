//! The configuration: changes in the platform's store, following it there or pulling it from peers,
//! and the tables by which requests are routed.

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
pub use held::{
    apply_pull_answer, hold_if_newer, put_held_in_force, ConfigurationRefused, HeldConfiguration,
};
pub use in_force::ConfigurationInForce;
pub use store::{CommittedChange, ConfigurationStore, Snapshot};
pub use watcher::ConfigurationWatcher;
