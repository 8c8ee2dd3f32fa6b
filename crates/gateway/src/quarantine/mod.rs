//! Requests under which workers end: what this gateway and the others know of them together. The rules
//! are [`tansyhall_forwarding::quarantine`]'s; datagrams between gateways carry what is new at once, and
//! the store holds what is barred for those that start.

mod exchange;
mod listed;
mod message;

use tansyhall_forwarding::Fingerprint;

use crate::events::{Event, Weight};
use crate::state::Shared;

pub use exchange::{take_in, tell_due, worker_ended};
pub use listed::{keep_listed, read_listed, PREFIX};
pub use message::NewsMessage;

/// Records requests that are barred from now on.
fn record_barred(shared: &Shared, barred: &[Fingerprint], source: &str) {
    for fingerprint in barred {
        let event = Event::Barred {
            fingerprint: &fingerprint.to_string(),
            source,
        };
        shared.log.record(Weight::Important, &event);
    }
}
