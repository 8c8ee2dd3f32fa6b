//! Exchange of knowledge about requests and prompt parts that crash workers. [`tansyhall_forwarding::quarantine`] and
//! [`tansyhall_forwarding::part_quarantine`] define the rules. Gateways send each other updates at once, in datagrams, and
//! the store lists what is barred for gateways that start.

mod exchange;
mod listed;
mod message;

use tansyhall_forwarding::Fingerprint;

use crate::events::{Event, Priority};
use crate::state::Shared;

pub use exchange::{receive_part_update, receive_update, record_worker_end, send_due_updates};
pub use listed::{maintain_store_list, read_store_list};
pub use message::QuarantineUpdateMessage;

/// What is barred.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Subject {
    /// A request, as a whole.
    Request,
    /// A part of prompts.
    PromptPart,
}

impl Subject {
    /// All subjects.
    pub const ALL: [Self; 2] = [Self::Request, Self::PromptPart];

    /// Returns the name in logs.
    fn name(self) -> &'static str {
        match self {
            Self::Request => "request",
            Self::PromptPart => "prompt_part",
        }
    }
}

/// Logs what is newly barred.
fn record_barred(shared: &Shared, subject: Subject, barred: &[Fingerprint], source: &str) {
    for fingerprint in barred {
        let event = Event::Barred {
            subject: subject.name(),
            fingerprint: &fingerprint.to_string(),
            source,
        };
        shared.log.record(Priority::Important, &event);
    }
}
