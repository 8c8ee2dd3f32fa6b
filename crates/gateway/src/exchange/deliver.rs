//! Delivery of an answer's body to the caller, at once or in parts.

use bytes::Bytes;
use tansyhall_forwarding::{CompleteEvents, RequestEvent, SendFailure};
use tokio::time::timeout_at;

use super::attempt::{Attempt, ReceivedBody, MAX_BUFFERED_BYTES};
use super::Exchange;
use crate::answer::{Answer, AnswerHead};
use crate::headers::HeaderList;
use crate::send_guard::SendGuard;

impl Exchange {
    /// Handles the next bytes of a body. Returns the event if the attempt ends with them.
    pub(super) async fn handle_bytes(
        &mut self,
        attempt: &mut Attempt,
        bytes: Bytes,
    ) -> Result<(), RequestEvent> {
        let Some(open) = attempt.open_answer() else {
            return Ok(());
        };
        match &mut open.body {
            ReceivedBody::Error(buffered) => {
                if buffered.len() + bytes.len() > MAX_BUFFERED_BYTES {
                    return Err(self.failed_send(SendFailure::MayHaveRun));
                }
                buffered.extend_from_slice(&bytes);
                Ok(())
            }
            ReceivedBody::Whole(buffered) => {
                buffered.extend_from_slice(&bytes);
                if buffered.len() <= MAX_BUFFERED_BYTES {
                    return Ok(());
                }
                let buffered = std::mem::take(buffered).freeze();
                self.begin_parts(attempt, false);
                self.deliver_part(attempt, buffered).await
            }
            ReceivedBody::UnstartedStream => {
                self.count_usage(self.shared.now());
                self.begin_parts(attempt, true);
                self.deliver_part(attempt, bytes).await
            }
            ReceivedBody::Parts { .. } => self.deliver_part(attempt, bytes).await,
            ReceivedBody::Events { .. } => self.deliver_events(attempt, &bytes).await,
        }
    }

    /// Handles the end of a body and returns the event with which the attempt ends.
    pub(super) async fn handle_end(&mut self, attempt: &mut Attempt) -> RequestEvent {
        let Some(open) = attempt.open_answer() else {
            return self.failed_send(SendFailure::MayHaveRun);
        };
        let mut head = || {
            let headers = std::mem::take(&mut open.answer.headers);
            answer_head(open.answer.status, headers)
        };
        match &mut open.body {
            ReceivedBody::Error(buffered) => {
                self.error_answer = Some((head(), std::mem::take(buffered).freeze()));
                return self.failed_send(SendFailure::ErrorAnswer);
            }
            ReceivedBody::Whole(buffered) => {
                let body = std::mem::take(buffered).freeze();
                self.begin_answer(Answer::Whole(head(), body));
            }
            ReceivedBody::UnstartedStream => {
                self.begin_answer(Answer::Streamed(head()));
                self.sink.end().await;
            }
            ReceivedBody::Parts { .. } => self.sink.end().await,
            ReceivedBody::Events {
                framer,
                has_delivered,
                ..
            } => {
                // A replacement that sends no event cannot end the stream of a worker that has not ended it.
                let is_unended = self.has_silent_deliverer && !*has_delivered;
                if framer.pending_bytes() > 0 || !self.sink.has_begun() || is_unended {
                    return self.broken_answer(attempt);
                }
                self.replace_stalled();
                self.sink.end().await;
            }
        }
        RequestEvent::Completed
    }

    /// Returns the event for an answer that has broken off.
    pub(super) fn broken_answer(&mut self, attempt: &mut Attempt) -> RequestEvent {
        let (_, last_event) = attempt.delivered();
        let body = attempt.open_answer().map(|open| &open.body);
        match body {
            Some(ReceivedBody::Parts { .. }) => RequestEvent::Interrupted(None),
            Some(ReceivedBody::Events { .. })
                if self.stalled.is_none() && self.sink.has_begun() =>
            {
                RequestEvent::Interrupted(last_event)
            }
            _ => self.failed_send(SendFailure::MayHaveRun),
        }
    }

    /// Begins to deliver an answer in parts as they arrive.
    fn begin_parts(&mut self, attempt: &mut Attempt, is_stream: bool) {
        if let Some(open) = attempt.open_answer() {
            open.body = ReceivedBody::Parts { is_stream };
        }
        self.begin_streamed(attempt);
    }

    /// Sends the head of a streamed answer to the caller, unless one has been sent.
    fn begin_streamed(&mut self, attempt: &mut Attempt) {
        if self.sink.has_begun() {
            return;
        }
        if let Some(open) = attempt.open_answer() {
            let headers = std::mem::take(&mut open.answer.headers);
            let head = answer_head(open.answer.status, headers);
            self.begin_answer(Answer::Streamed(head));
        }
    }

    async fn deliver_part(
        &mut self,
        attempt: &mut Attempt,
        mut part: Bytes,
    ) -> Result<(), RequestEvent> {
        let mut is_in_order = true;
        let body = attempt.open_answer().map(|open| &open.body);
        let is_stream = matches!(body, Some(ReceivedBody::Parts { is_stream: true }));
        if is_stream {
            self.record_received(&mut attempt.guard);
            if let Err(misordered) = self.check_order(&attempt.destination.worker, &part) {
                part.truncate(misordered.bytes_before);
                is_in_order = false;
            }
        }
        if !part.is_empty() && !self.send_part(part).await || !is_in_order {
            return Err(RequestEvent::Interrupted(None));
        }
        if is_stream {
            self.record_delivered(&mut attempt.guard);
        }
        Ok(())
    }

    /// Delivers only complete events, so that another worker can continue after the last one delivered. An answer whose
    /// next event is out of order has failed: the worker may have begun anew, and events of two runs need not fit together.
    async fn deliver_events(
        &mut self,
        attempt: &mut Attempt,
        bytes: &[u8],
    ) -> Result<(), RequestEvent> {
        self.count_usage(self.shared.now());
        let Some(ReceivedBody::Events { framer, .. }) =
            attempt.open_answer().map(|open| &mut open.body)
        else {
            return Ok(());
        };
        let Ok(mut events) = framer.push(bytes) else {
            return Err(self.broken_answer(attempt));
        };
        let has_begun_next = framer.pending_bytes() > 0;
        if events.bytes.is_empty() {
            // Something was left of a stream whose end was doubtful.
            self.has_doubtful_end &= !has_begun_next;
            return Ok(());
        }
        let (has_delivered, _) = attempt.delivered();
        if !has_delivered && !self.is_announced_incarnation(&attempt.destination).await {
            return Err(self.broken_answer(attempt));
        }
        let checked = self.check_order(&attempt.destination.worker, &events.bytes);
        if let Err(misordered) = &checked {
            events.truncate(misordered.bytes_before);
        }
        if !events.bytes.is_empty() {
            self.deliver_complete_events(attempt, events).await?;
        }
        checked.map_err(|_| self.broken_answer(attempt))
    }

    async fn deliver_complete_events(
        &mut self,
        attempt: &mut Attempt,
        events: CompleteEvents,
    ) -> Result<(), RequestEvent> {
        self.has_doubtful_end = false;
        self.has_silent_deliverer = false;
        self.replace_stalled();
        self.bind_version(attempt.guard.version());
        self.record_received(&mut attempt.guard);
        self.begin_streamed(attempt);
        if let Some(ReceivedBody::Events {
            has_delivered,
            last_event,
            ..
        }) = attempt.open_answer().map(|open| &mut open.body)
        {
            *has_delivered = true;
            *last_event = events.last_id.or(last_event.take());
        }
        if !self.send_part(Bytes::from(events.bytes)).await {
            return Err(match self.time_left().is_zero() {
                true => RequestEvent::DeadlinePassed,
                false => RequestEvent::Interrupted(attempt.delivered().1),
            });
        }
        self.record_delivered(&mut attempt.guard);
        Ok(())
    }

    fn record_received(&mut self, guard: &mut SendGuard) {
        let now = self.shared.now();
        self.pause.record_received(now);
        guard.pause.record_received(now);
    }

    fn record_delivered(&mut self, guard: &mut SendGuard) {
        let now = self.shared.now();
        self.pause.record_delivered(now);
        guard.pause.record_delivered(now);
    }

    /// Sends a part to the caller and returns whether it was accepted. A caller that stops reading would otherwise
    /// occupy its worker forever, so the request ends at its deadline.
    async fn send_part(&self, part: Bytes) -> bool {
        let accepted = timeout_at(self.deadline(), self.sink.send_part(part)).await;
        accepted.unwrap_or(false)
    }
}

fn answer_head(status: u16, mut headers: HeaderList) -> AnswerHead {
    headers.remove_connection_headers();
    AnswerHead { status, headers }
}
