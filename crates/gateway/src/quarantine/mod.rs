//! Exchange of knowledge about requests that crash workers. [`tansyhall_forwarding::quarantine`] defines the rules.
//! Gateways send each other updates at once, in datagrams, and the store lists barred requests for gateways that
//! start.

mod exchange;
mod listed;
mod message;

use tansyhall_forwarding::Fingerprint;

use crate::events::{Event, Weight};
use crate::state::Shared;

pub use exchange::{take_in, tell_due, worker_ended};
pub use listed::{keep_listed, read_listed, PREFIX};
pub use message::NewsMessage;

/// Logs requests that are newly barred.
fn record_barred(shared: &Shared, barred: &[Fingerprint], source: &str) {
    for fingerprint in barred {
        let event = Event::Barred {
            fingerprint: &fingerprint.to_string(),
            source,
        };
        shared.log.record(Weight::Important, &event);
    }
}
