//! Messages between a gateway and the scheduler that places its requests, as they are sent.

use std::time::Duration;

use anyhow::{Context, Result};
use prost::Message;
use tansyhall_core::ServiceName;
use tansyhall_forwarding::{
    GatewayKey, Need, Objectives, Placement, PlacementAnswer, PlacementId, PlacementMessage,
    PlacementNeed, PlacementNotice, PlacementRequest, PromptPart, SendResult, WorkerId,
};

/// What a gateway sends to a scheduler.
#[derive(Clone, PartialEq, Message)]
pub struct QuestionMessage {
    /// The sender's key.
    #[prost(fixed64, tag = "1")]
    pub sender: u64,
    /// Grows with each message.
    #[prost(uint64, tag = "2")]
    pub sequence: u64,
    /// Placements that the sender holds open here.
    #[prost(uint64, repeated, tag = "3")]
    pub open: Vec<u64>,
    /// What is new of them.
    #[prost(message, repeated, tag = "4")]
    pub notices: Vec<NoticeMessage>,
    /// A request to be placed.
    #[prost(message, optional, tag = "5")]
    pub request: Option<RequestMessage>,
}

/// What is new of a placement.
#[derive(Clone, PartialEq, Message)]
pub struct NoticeMessage {
    /// The placement.
    #[prost(uint64, tag = "1")]
    pub id: u64,
    /// What happened.
    #[prost(enumeration = "NoticeKind", tag = "2")]
    pub kind: i32,
    /// Microseconds until the answer began, where it did.
    #[prost(uint64, tag = "3")]
    pub latency_micros: u64,
}

/// What may happen to a placement.
#[derive(Debug, Clone, Copy, PartialEq, Eq, prost::Enumeration)]
#[repr(i32)]
pub enum NoticeKind {
    /// Its prompt was read.
    PromptRead = 0,
    /// A whole answer.
    Answered = 1,
    /// The worker failed.
    Failed = 2,
    /// The worker had no room.
    Refused = 3,
    /// The worker could not be reached.
    Unreachable = 4,
    /// The worker is not there.
    Absent = 5,
    /// Given up because the worker was silent.
    AbandonedSilent = 6,
    /// Given up for another reason.
    Abandoned = 7,
}

/// A request to be placed.
#[derive(Clone, PartialEq, Message)]
pub struct RequestMessage {
    /// Names the placement.
    #[prost(uint64, tag = "1")]
    pub id: u64,
    /// The service.
    #[prost(string, tag = "2")]
    pub service: String,
    /// The route.
    #[prost(string, tag = "3")]
    pub route: String,
    /// The prompt's parts.
    #[prost(message, repeated, tag = "4")]
    pub prompt: Vec<PromptPartMessage>,
    /// Whether more urgent routes go first.
    #[prost(bool, tag = "5")]
    pub yields: bool,
    /// Microseconds until the answer should begin.
    #[prost(uint64, tag = "6")]
    pub objective_micros: u64,
    /// Microseconds that the stream may pause, if there is a bound.
    #[prost(uint64, optional, tag = "7")]
    pub pause_micros: Option<u64>,
    /// Microseconds until the caller gives up.
    #[prost(uint64, tag = "8")]
    pub left_micros: u64,
    /// A random number.
    #[prost(fixed64, tag = "9")]
    pub draw: u64,
    /// What is needed.
    #[prost(enumeration = "NeedKind", tag = "10")]
    pub need: i32,
    /// The worker that has read the prompt, if it goes on from there.
    #[prost(string, tag = "11")]
    pub reader: String,
    /// Workers that are not to be chosen.
    #[prost(string, repeated, tag = "12")]
    pub avoid: Vec<String>,
}

/// A part of a prompt.
#[derive(Clone, PartialEq, Message)]
pub struct PromptPartMessage {
    /// Its identity.
    #[prost(string, tag = "1")]
    pub id: String,
    /// Its length.
    #[prost(uint64, tag = "2")]
    pub tokens: u64,
}

/// What a request may need.
#[derive(Debug, Clone, Copy, PartialEq, Eq, prost::Enumeration)]
#[repr(i32)]
pub enum NeedKind {
    /// Admission and the first worker.
    Admission = 0,
    /// A worker that runs it.
    Run = 1,
    /// A worker that reads the prompt.
    ReadPrompt = 2,
    /// A worker that goes on after the reader.
    Continue = 3,
}

/// What a scheduler answers.
#[derive(Clone, PartialEq, Message)]
pub struct AnswerMessage {
    /// The placement that was asked for.
    #[prost(uint64, tag = "1")]
    pub id: u64,
    /// Where it goes, if it was placed.
    #[prost(message, optional, tag = "2")]
    pub placed: Option<PlacedMessage>,
    /// Why not, if it was refused.
    #[prost(message, optional, tag = "3")]
    pub refused: Option<RefusedMessage>,
}

/// Where a request goes.
#[derive(Clone, PartialEq, Message)]
pub struct PlacedMessage {
    /// The worker.
    #[prost(string, tag = "1")]
    pub worker: String,
    /// Whether it only reads.
    #[prost(bool, tag = "2")]
    pub read_apart: bool,
    /// The address to fetch from, or empty.
    #[prost(string, tag = "3")]
    pub fetch_from: String,
    /// Tokens to read.
    #[prost(uint64, tag = "4")]
    pub reading_tokens: u64,
    /// Whether they are few.
    #[prost(bool, tag = "5")]
    pub short_reading: bool,
    /// Microseconds until the answer is expected.
    #[prost(uint64, tag = "6")]
    pub expected_micros: u64,
}

/// Why a request was refused.
#[derive(Clone, PartialEq, Message)]
pub struct RefusedMessage {
    /// Microseconds that it would have waited.
    #[prost(uint64, tag = "1")]
    pub waiting_micros: u64,
    /// Microseconds after which to come back.
    #[prost(uint64, tag = "2")]
    pub retry_after_micros: u64,
}

fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}

impl From<&PlacementMessage> for QuestionMessage {
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

impl TryFrom<QuestionMessage> for PlacementMessage {
    type Error = anyhow::Error;

    fn try_from(message: QuestionMessage) -> Result<Self> {
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

impl From<&PlacementNotice> for NoticeMessage {
    fn from(notice: &PlacementNotice) -> Self {
        let (id, kind, latency) = match *notice {
            PlacementNotice::PromptRead { id, latency } => (id, NoticeKind::PromptRead, latency),
            PlacementNotice::Ended { id, result } => {
                let (kind, latency) = match result {
                    SendResult::Answered { latency } => (NoticeKind::Answered, latency),
                    SendResult::Failed => (NoticeKind::Failed, Duration::ZERO),
                    SendResult::Refused => (NoticeKind::Refused, Duration::ZERO),
                    SendResult::Unreachable => (NoticeKind::Unreachable, Duration::ZERO),
                    SendResult::Absent => (NoticeKind::Absent, Duration::ZERO),
                    SendResult::Abandoned { silent: true } => {
                        (NoticeKind::AbandonedSilent, Duration::ZERO)
                    }
                    SendResult::Abandoned { silent: false } => {
                        (NoticeKind::Abandoned, Duration::ZERO)
                    }
                };
                (id, kind, latency)
            }
        };
        Self {
            id: id.0,
            kind: kind as i32,
            latency_micros: micros(latency),
        }
    }
}

impl TryFrom<&NoticeMessage> for PlacementNotice {
    type Error = anyhow::Error;

    fn try_from(message: &NoticeMessage) -> Result<Self> {
        let id = PlacementId(message.id);
        let latency = Duration::from_micros(message.latency_micros);
        let kind = NoticeKind::try_from(message.kind).context("notice of an unknown kind")?;
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
        Ok(PlacementNotice::Ended { id, result })
    }
}

impl From<&PlacementRequest> for RequestMessage {
    fn from(request: &PlacementRequest) -> Self {
        let (need, reader, avoid): (_, &str, &[WorkerId]) = match &request.need {
            PlacementNeed::Admission => (NeedKind::Admission, "", &[]),
            PlacementNeed::Worker { need, avoid } => match need {
                Need::Run => (NeedKind::Run, "", avoid),
                Need::ReadPrompt => (NeedKind::ReadPrompt, "", avoid),
                Need::Continue { reader } => (NeedKind::Continue, reader.as_str(), avoid),
            },
        };
        let part = |part: &PromptPart| PromptPartMessage {
            id: part.id.clone(),
            tokens: part.tokens,
        };
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
            avoid: avoid.iter().map(|id| id.as_str().to_owned()).collect(),
        }
    }
}

impl TryFrom<RequestMessage> for PlacementRequest {
    type Error = anyhow::Error;

    fn try_from(message: RequestMessage) -> Result<Self> {
        let kind = NeedKind::try_from(message.need).context("request for an unknown need")?;
        let avoid = message.avoid.iter();
        let avoid = avoid.map(|id| WorkerId::from(id.as_str())).collect();
        let worker = |need, avoid| PlacementNeed::Worker { need, avoid };
        let need = match kind {
            NeedKind::Admission => PlacementNeed::Admission,
            NeedKind::Run => worker(Need::Run, avoid),
            NeedKind::ReadPrompt => worker(Need::ReadPrompt, avoid),
            NeedKind::Continue => {
                let reader = WorkerId::from(message.reader.as_str());
                worker(Need::Continue { reader }, avoid)
            }
        };
        let part = |part: PromptPartMessage| PromptPart {
            id: part.id,
            tokens: part.tokens,
        };
        Ok(Self {
            id: PlacementId(message.id),
            service: ServiceName::new(message.service),
            route: message.route,
            prompt: message.prompt.into_iter().map(part).collect(),
            yields: message.yields,
            objectives: Objectives {
                latency: Duration::from_micros(message.objective_micros),
                pause: message.pause_micros.map(Duration::from_micros),
                time_left: Duration::from_micros(message.left_micros),
            },
            draw: message.draw,
            need,
        })
    }
}

impl AnswerMessage {
    /// An answer as it is sent.
    pub fn new(id: PlacementId, answer: &PlacementAnswer) -> Self {
        let (placed, refused) = match answer {
            PlacementAnswer::NoWorker => (None, None),
            PlacementAnswer::Placed(placement) => (Some(PlacedMessage::from(placement)), None),
            PlacementAnswer::Refused {
                waiting,
                retry_after,
            } => {
                let refused = RefusedMessage {
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

    /// The answer, with the placement that it is for.
    pub fn decode_answer(self) -> Result<(PlacementId, PlacementAnswer)> {
        let id = PlacementId(self.id);
        let answer = match (self.placed, self.refused) {
            (Some(placed), _) => PlacementAnswer::Placed(placed.decode_placement(id)?),
            (None, Some(refused)) => PlacementAnswer::Refused {
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
            worker: placement.worker.as_str().to_owned(),
            read_apart: placement.read_apart,
            fetch_from: fetch_from.unwrap_or_default(),
            reading_tokens: placement.reading_tokens,
            short_reading: placement.short_reading,
            expected_micros: micros(placement.expected),
        }
    }
}

impl PlacedMessage {
    fn decode_placement(self, id: PlacementId) -> Result<Placement> {
        let fetch_from = match self.fetch_from.is_empty() {
            true => None,
            false => Some(self.fetch_from.parse().context("address to fetch from")?),
        };
        Ok(Placement {
            id,
            worker: WorkerId::from(self.worker.as_str()),
            read_apart: self.read_apart,
            fetch_from,
            reading_tokens: self.reading_tokens,
            short_reading: self.short_reading,
            expected: Duration::from_micros(self.expected_micros),
        })
    }
}
