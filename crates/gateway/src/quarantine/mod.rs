//! Exchange of knowledge about requests that crash workers. [`tansyhall_forwarding::quarantine`] defines the rules.
//! Gateways send each other updates at once, in datagrams, and the store lists barred requests for gateways that
//! start.

mod exchange;
mod listed;
mod message;

use tansyhall_forwarding::Fingerprint;

use crate::events::{Event, Priority};
use crate::state::Shared;

pub use exchange::{receive_update, record_worker_end, send_due_updates};
pub use listed::{maintain_store_list, read_store_list, PREFIX};
pub use message::QuarantineUpdateMessage;

/// Logs requests that are newly barred.
fn record_barred(shared: &Shared, barred: &[Fingerprint], source: &str) {
    for fingerprint in barred {
        let event = Event::Barred {
            fingerprint: &fingerprint.to_string(),
            source,
        };
        shared.log.record(Priority::Important, &event);
    }
}
