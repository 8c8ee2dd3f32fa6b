//! Conversion between the wire format of placement messages and the types of [`tansyhall_forwarding::placement`].

use std::time::Duration;

use anyhow::{Context, Result};
use tansyhall_core::ServiceName;
use tansyhall_forwarding::{
    GatewayKey, Need, Objectives, Placement, PlacementAnswer, PlacementId, PlacementMessage,
    PlacementNeed, PlacementNotice, PlacementRequest, PromptPart, RefusalCause, SendResult,
    StatedLimit, TenantKey, WorkerId, WorkerNotice, MAX_BACKOFF, MAX_PART_TOKENS, MAX_STREAM_PAUSE,
};

use crate::load_messages::StatedLimitMessage;

use super::message::{
    MessageToScheduler, NeedKind, NoticeKind, NoticeMessage, PlacedMessage, PromptPartMessage,
    RefusedMessage, RequestMessage, SchedulerAnswerMessage,
};

fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}

impl From<&PlacementMessage> for MessageToScheduler {
    fn from(message: &PlacementMessage) -> Self {
        Self {
            sender: message.sender.0,
            sequence: message.sequence,
            open: message.open.iter().map(|id| id.0).collect(),
            notices: message.notices.iter().map(NoticeMessage::from).collect(),
            request: message.request.as_ref().map(RequestMessage::from),
        }
    }
}

impl TryFrom<MessageToScheduler> for PlacementMessage {
    type Error = anyhow::Error;

    fn try_from(message: MessageToScheduler) -> Result<Self> {
        let notices = message.notices.iter().map(PlacementNotice::try_from);
        Ok(Self {
            sender: GatewayKey(message.sender),
            sequence: message.sequence,
            open: message.open.into_iter().map(PlacementId).collect(),
            notices: notices.collect::<Result<_>>()?,
            request: message
                .request
                .map(PlacementRequest::try_from)
                .transpose()?,
        })
    }
}

impl NoticeKind {
    /// Returns the kind of notice that reports this result of a send.
    fn of(result: SendResult) -> Self {
        match result {
            SendResult::Answered { .. } => NoticeKind::Answered,
            SendResult::Failed => NoticeKind::Failed,
            SendResult::Refused => NoticeKind::Refused,
            // The path from this gateway may be at fault. The scheduler learns of a worker that has ended from a load report.
            SendResult::Unreachable | SendResult::ConnectionRefused => NoticeKind::Unreachable,
            SendResult::Absent => NoticeKind::Absent,
            SendResult::Abandoned { silent: true } => NoticeKind::AbandonedSilent,
            SendResult::Withheld | SendResult::Abandoned { silent: false } => NoticeKind::Abandoned,
        }
    }
}

impl From<&PlacementNotice> for NoticeMessage {
    fn from(notice: &PlacementNotice) -> Self {
        match *notice {
            PlacementNotice::PromptRead { id, latency } => Self {
                id: id.0,
                kind: NoticeKind::PromptRead as i32,
                latency_micros: micros(latency),
                ..Self::default()
            },
            PlacementNotice::Ended {
                id,
                result,
                worker_notice,
                rate_limit,
                pause,
            } => Self {
                id: id.0,
                kind: NoticeKind::of(result) as i32,
                latency_micros: match result {
                    SendResult::Answered { latency } => micros(latency),
                    _ => 0,
                },
                worker_leaves: worker_notice.is_leaving,
                rest_micros: worker_notice.backoff.map_or(0, micros),
                rate_limit: rate_limit.map(StatedLimitMessage::from),
                pause_micros: pause.map_or(0, micros),
            },
        }
    }
}

impl TryFrom<&NoticeMessage> for PlacementNotice {
    type Error = anyhow::Error;

    fn try_from(message: &NoticeMessage) -> Result<Self> {
        let id = PlacementId(message.id);
        let latency = Duration::from_micros(message.latency_micros);
        let kind =
            NoticeKind::try_from(message.kind).context("unknown kind of placement notice")?;
        let result = match kind {
            NoticeKind::PromptRead => return Ok(PlacementNotice::PromptRead { id, latency }),
            NoticeKind::Answered => SendResult::Answered { latency },
            NoticeKind::Failed => SendResult::Failed,
            NoticeKind::Refused => SendResult::Refused,
            NoticeKind::Unreachable => SendResult::Unreachable,
            NoticeKind::Absent => SendResult::Absent,
            NoticeKind::AbandonedSilent => SendResult::Abandoned { silent: true },
            NoticeKind::Abandoned => SendResult::Abandoned { silent: false },
        };
        let backoff = Duration::from_micros(message.rest_micros).min(MAX_BACKOFF);
        let worker_notice = WorkerNotice {
            is_leaving: message.worker_leaves,
            backoff: (!backoff.is_zero()).then_some(backoff),
            rate_limit: None,
        };
        Ok(PlacementNotice::Ended {
            id,
            result,
            worker_notice,
            rate_limit: message.rate_limit.as_ref().map(StatedLimit::from),
            pause: decode_pause(message.pause_micros),
        })
    }
}

/// Returns the pause of a stream that a gateway reports; `None` for none, or an impossible one.
fn decode_pause(micros: u64) -> Option<Duration> {
    let pause = Duration::from_micros(micros);
    if pause > MAX_STREAM_PAUSE {
        log::debug!("ignoring an impossible pause of a stream: {micros} us");
        return None;
    }
    (!pause.is_zero()).then_some(pause)
}

impl From<&PlacementRequest> for RequestMessage {
    fn from(request: &PlacementRequest) -> Self {
        let (need, reader) = match &request.need {
            PlacementNeed::Admission | PlacementNeed::AdmissionOrLeaving => {
                (NeedKind::Admission, "")
            }
            PlacementNeed::Worker { need } => match need {
                Need::Run => (NeedKind::Run, ""),
                Need::ReadPrompt => (NeedKind::ReadPrompt, ""),
                Need::Continue { reader } => (NeedKind::Continue, reader.as_str()),
            },
        };
        let part = |part: &PromptPart| PromptPartMessage {
            id: part.id.clone(),
            tokens: part.tokens,
        };
        let qualified_name_of = |worker: &WorkerId| worker.qualified_name().to_owned();
        Self {
            id: request.id.0,
            service: request.service.as_str().to_owned(),
            route: request.route.clone(),
            prompt: request.prompt.iter().map(part).collect(),
            yields: request.yields,
            objective_micros: micros(request.objectives.latency),
            pause_micros: request.objectives.pause.map(micros),
            left_micros: micros(request.objectives.time_left),
            draw: request.draw,
            need: need as i32,
            reader: reader.to_owned(),
            avoid: request.avoid.iter().map(qualified_name_of).collect(),
            tenant: request.tenant.map(|tenant| tenant.0),
            may_use_leaving: request.need == PlacementNeed::AdmissionOrLeaving,
        }
    }
}

impl TryFrom<RequestMessage> for PlacementRequest {
    type Error = anyhow::Error;

    fn try_from(message: RequestMessage) -> Result<Self> {
        let kind = NeedKind::try_from(message.need).context("unknown need in placement request")?;
        let avoid = message.avoid.iter();
        let avoid = avoid.map(|id| WorkerId::from(id.as_str())).collect();
        let worker = |need| PlacementNeed::Worker { need };
        let need = match kind {
            NeedKind::Admission => match message.may_use_leaving {
                true => PlacementNeed::AdmissionOrLeaving,
                false => PlacementNeed::Admission,
            },
            NeedKind::Run => worker(Need::Run),
            NeedKind::ReadPrompt => worker(Need::ReadPrompt),
            NeedKind::Continue => {
                let reader = WorkerId::from(message.reader.as_str());
                worker(Need::Continue { reader })
            }
        };
        let part = |part: PromptPartMessage| PromptPart {
            id: part.id,
            tokens: part.tokens.min(MAX_PART_TOKENS),
        };
        Ok(Self {
            id: PlacementId(message.id),
            service: ServiceName::new(message.service),
            route: message.route,
            prompt: message.prompt.into_iter().map(part).collect(),
            tenant: message.tenant.map(TenantKey),
            yields: message.yields,
            objectives: Objectives {
                latency: Duration::from_micros(message.objective_micros),
                pause: message.pause_micros.map(Duration::from_micros),
                time_left: Duration::from_micros(message.left_micros),
            },
            draw: message.draw,
            need,
            avoid,
        })
    }
}

impl SchedulerAnswerMessage {
    /// Creates the message for the answer to a placement request.
    pub fn new(id: PlacementId, answer: &PlacementAnswer) -> Self {
        let (placed, refused) = match answer {
            PlacementAnswer::NoWorker => (None, None),
            PlacementAnswer::Placed(placement) => (Some(PlacedMessage::from(placement)), None),
            PlacementAnswer::Refused {
                cause,
                waiting,
                retry_after,
            } => {
                let refused = RefusedMessage {
                    tenant_share: *cause == RefusalCause::TenantShare,
                    rate_limit: *cause == RefusalCause::RateLimit,
                    waiting_micros: micros(*waiting),
                    retry_after_micros: micros(*retry_after),
                };
                (None, Some(refused))
            }
        };
        Self {
            id: id.0,
            placed,
            refused,
        }
    }

    /// Decodes the answer and the id of the requested placement.
    ///
    /// # Errors
    ///
    /// Fails if the address to fetch KV cache from is invalid.
    pub fn decode_answer(self) -> Result<(PlacementId, PlacementAnswer)> {
        let id = PlacementId(self.id);
        let answer = match (self.placed, self.refused) {
            (Some(placed), _) => PlacementAnswer::Placed(placed.decode_placement(id)?),
            (None, Some(refused)) => PlacementAnswer::Refused {
                cause: match (refused.rate_limit, refused.tenant_share) {
                    (true, _) => RefusalCause::RateLimit,
                    (false, true) => RefusalCause::TenantShare,
                    (false, false) => RefusalCause::Overload,
                },
                waiting: Duration::from_micros(refused.waiting_micros),
                retry_after: Duration::from_micros(refused.retry_after_micros),
            },
            (None, None) => PlacementAnswer::NoWorker,
        };
        Ok((id, answer))
    }
}

impl From<&Placement> for PlacedMessage {
    fn from(placement: &Placement) -> Self {
        let fetch_from = placement.fetch_from.map(|address| address.to_string());
        Self {
            worker: placement.worker.qualified_name().to_owned(),
            read_apart: placement.read_apart,
            fetch_from: fetch_from.unwrap_or_default(),
            reading_tokens: placement.reading_tokens,
            short_reading: placement.short_reading,
            expected_micros: micros(placement.expected_latency),
            has_rate_token: placement.has_rate_token,
            rate_limit: placement.rate_limit.map(StatedLimitMessage::from),
        }
    }
}

impl PlacedMessage {
    fn decode_placement(self, id: PlacementId) -> Result<Placement> {
        let fetch_from = match self.fetch_from.is_empty() {
            true => None,
            false => Some(
                self.fetch_from
                    .parse()
                    .context("invalid address to fetch KV cache from")?,
            ),
        };
        Ok(Placement {
            id,
            worker: WorkerId::from(self.worker.as_str()),
            read_apart: self.read_apart,
            fetch_from,
            reading_tokens: self.reading_tokens.min(MAX_PART_TOKENS),
            short_reading: self.short_reading,
            expected_latency: Duration::from_micros(self.expected_micros),
            has_rate_token: self.has_rate_token,
            rate_limit: self.rate_limit.as_ref().map(StatedLimit::from),
        })
    }
}
