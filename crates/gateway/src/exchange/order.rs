//! Check that the events of a stream arrive in the order of their ids, whichever workers send them.

use tansyhall_forwarding::{EventOrder, MisorderedEvent, Repeatability, WorkerId};

use super::{CallerRequest, Exchange};
use crate::events::{Event, Priority};

/// Returns the order of the answer to a request. A worker need not heed the last event that a caller names if the stream
/// may not be resumed.
pub(super) fn order_of_answer(request: &CallerRequest) -> EventOrder {
    let is_resumable =
        request.routed.route.repeatability == Repeatability::Stream { resumable: true };
    match &request.terms.resumed {
        Some(resumed) if is_resumable => EventOrder::after(resumed.last_event.clone()),
        _ => EventOrder::default(),
    }
}

impl Exchange {
    /// Checks the next bytes of a worker's stream, and records the first event whose id does not rise.
    pub(super) fn check_order(
        &mut self,
        worker: &WorkerId,
        bytes: &[u8],
    ) -> Result<(), MisorderedEvent> {
        let checked = self.order.push(bytes);
        if let Err(misordered) = &checked {
            self.record_misordered(worker, misordered);
        }
        checked
    }

    fn record_misordered(&self, worker: &WorkerId, misordered: &MisorderedEvent) {
        let service = self.request.routed.service.as_str();
        let events = &self.shared.metrics.misordered_events;
        events.with_label_values(&[service]).inc();
        let event = Event::MisorderedEvent {
            request: self.request_id(),
            worker: worker.as_str(),
            id: &misordered.id,
            after: &misordered.after,
        };
        self.shared.log.record(Priority::Important, &event);
    }
}
