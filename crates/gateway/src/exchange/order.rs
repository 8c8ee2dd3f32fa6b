//! Check that the events of a stream arrive in the order of their ids, whichever workers send them.

use tansyhall_forwarding::{EventOrder, MisorderedEvent, Repeatability, WorkerId};

use super::{CallerRequest, Exchange};
use crate::events::{Event, Priority};

/// Returns the order of the answer to a request.
pub(super) fn order_of_answer(request: &CallerRequest) -> EventOrder {
    let after = last_event_of_caller(request).map(str::to_owned);
    after.map_or_else(EventOrder::default, EventOrder::after)
}

/// Returns the event after which a caller takes a stream up. A worker need not heed the last event that a caller names if the
/// stream may not be resumed.
pub(super) fn last_event_of_caller(request: &CallerRequest) -> Option<&str> {
    let is_resumable =
        request.routed.route.repeatability == Repeatability::Stream { resumable: true };
    let resumed = request.terms.resumed.as_ref().filter(|_| is_resumable)?;
    Some(&resumed.last_event)
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
