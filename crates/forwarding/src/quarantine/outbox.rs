//! Messages to other gateways about requests that crash workers: their content, recipients and send times.
//!
//! Messages may be lost, so each is sent a few more times. Each repeat contains everything known at that time,
//! so the last one makes up for all lost ones before it.

use std::collections::BTreeMap;
use std::time::Duration;

use tansyhall_core::Timestamp;

use super::{Fingerprint, QuarantineUpdate, WorkerEnds};

/// Delays before a message is sent again. Only if all four copies are lost does a recipient receive nothing. All
/// are sent within half of the shortest time (3 s) in which gateways must learn of each other's changes.
const REPEAT_DELAYS: [Duration; 3] = [
    Duration::from_millis(100),
    Duration::from_millis(300),
    Duration::from_millis(1_000),
];
/// Number of repeats of an important message.
pub(crate) const MANY_REPEATS: usize = REPEAT_DELAYS.len();
/// Number of repeats for a first worker end, which bars nothing yet, and for a bar that other gateways report too.
pub(crate) const FEW_REPEATS: usize = 1;
/// Maximum number of requests in one message, so that it fits into one packet.
const MAX_REQUESTS_PER_MESSAGE: usize = 14;

/// The gateways that receive a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Audience {
    /// The gateways that receive load reports: all gateways in a small fleet, some of each zone in a large one.
    /// They combine what single gateways have observed.
    Listeners,
    /// All gateways.
    All,
}

/// What a message says about a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Topic {
    /// Workers ended while running the request.
    WorkerEnds,
    /// A worker has answered the request.
    Cleared,
}

/// A message to other gateways.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OutgoingUpdate {
    /// The gateways that receive it.
    pub audience: Audience,
    /// The content.
    pub update: QuarantineUpdate,
}

#[derive(Debug)]
struct PendingMessage {
    topic: Topic,
    audience: Audience,
    due: Timestamp,
    repeat_delays: &'static [Duration],
}

/// Messages that wait to be sent for the first time or again.
#[derive(Debug, Default)]
pub(crate) struct Outbox {
    pending: BTreeMap<Fingerprint, PendingMessage>,
}

impl Outbox {
    /// Queues a message about a request. It replaces the queued message about the same request, if any.
    pub(crate) fn enqueue(
        &mut self,
        now: Timestamp,
        fingerprint: Fingerprint,
        topic: Topic,
        audience: Audience,
        repeats: usize,
    ) {
        let before = self.pending.get(&fingerprint);
        let widest_audience = before.map_or(audience, |before| before.audience.max(audience));
        let pending = PendingMessage {
            topic,
            audience: widest_audience,
            due: now,
            repeat_delays: &REPEAT_DELAYS[..repeats],
        };
        self.pending.insert(fingerprint, pending);
    }

    /// Returns the messages to send now. `worker_ends` returns the worker ends known for a request.
    pub(crate) fn take_due(
        &mut self,
        now: Timestamp,
        worker_ends: impl Fn(Fingerprint) -> Option<WorkerEnds>,
    ) -> Vec<OutgoingUpdate> {
        let mut batches = [Batch::new(Audience::Listeners), Batch::new(Audience::All)];
        self.pending.retain(|fingerprint, pending| {
            if pending.due > now {
                return true;
            }
            let batch = match pending.audience {
                Audience::Listeners => &mut batches[0],
                Audience::All => &mut batches[1],
            };
            match pending.topic {
                Topic::Cleared => batch.add_cleared(*fingerprint),
                Topic::WorkerEnds => batch.add_worker_ends(worker_ends(*fingerprint)),
            }
            let Some((delay, later_delays)) = pending.repeat_delays.split_first() else {
                return false;
            };
            pending.due = now + *delay;
            pending.repeat_delays = later_delays;
            true
        });
        batches.into_iter().flat_map(Batch::into_messages).collect()
    }
}

/// Messages for one audience.
#[derive(Debug)]
struct Batch {
    audience: Audience,
    finished: Vec<QuarantineUpdate>,
    update: QuarantineUpdate,
}

impl Batch {
    fn new(audience: Audience) -> Self {
        Self {
            audience,
            finished: Vec::new(),
            update: QuarantineUpdate::default(),
        }
    }

    fn add_worker_ends(&mut self, worker_ends: Option<WorkerEnds>) {
        self.update.worker_ends.extend(worker_ends);
        self.finish_message_if_full();
    }

    fn add_cleared(&mut self, fingerprint: Fingerprint) {
        self.update.cleared.push(fingerprint);
        self.finish_message_if_full();
    }

    fn finish_message_if_full(&mut self) {
        if self.update.worker_ends.len() + self.update.cleared.len() >= MAX_REQUESTS_PER_MESSAGE {
            self.finished.push(std::mem::take(&mut self.update));
        }
    }

    fn into_messages(mut self) -> impl Iterator<Item = OutgoingUpdate> {
        if !self.update.is_empty() {
            self.finished.push(self.update);
        }
        let audience = self.audience;
        let messages = self.finished.into_iter();
        messages.map(move |update| OutgoingUpdate { audience, update })
    }
}
