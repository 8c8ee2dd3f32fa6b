//! The socket for datagrams between gateways: load reports, placement messages to schedulers and their
//! answers, counts of usage, updates of the quarantine, and the software versions at which streams began. A lost datagram is compensated by later ones.

use std::net::SocketAddr;
use std::sync::OnceLock;

use anyhow::{Context, Result};
use prost::Message;
use tokio::net::UdpSocket;

use crate::load_messages::ReportMessage;
use crate::placement::{MessageToScheduler, SchedulerAnswerMessage};
use crate::quarantine::QuarantineUpdateMessage;
use crate::stream_versions::message::{
    HistoryAnswerMessage, HistoryQuestionMessage, RecordedStreamsMessage, StreamsMessage,
    VersionAnswerMessage, VersionQuestionMessage,
};
use crate::usage::{AcknowledgementMessage, UsageMessage};

/// Longest datagram that is received.
pub const MAX_DATAGRAM_BYTES: usize = 16 << 10;

/// A datagram between gateways. Exactly one field is set.
#[derive(Clone, PartialEq, Message)]
pub struct Datagram {
    /// A load report.
    #[prost(message, optional, tag = "1")]
    pub report: Option<ReportMessage>,
    /// A placement message to a scheduler.
    #[prost(message, optional, tag = "2")]
    pub question: Option<MessageToScheduler>,
    /// A scheduler's answer to a placement request.
    #[prost(message, optional, tag = "3")]
    pub answer: Option<SchedulerAnswerMessage>,
    /// Usage counts of a gateway.
    #[prost(message, optional, tag = "4")]
    pub usage: Option<UsageMessage>,
    /// A collector's acknowledgement of usage counts.
    #[prost(message, optional, tag = "5")]
    pub usage_acknowledged: Option<AcknowledgementMessage>,
    /// An update of the quarantine of requests that crash workers.
    #[prost(message, optional, tag = "6")]
    pub quarantine: Option<QuarantineUpdateMessage>,
    /// Streams that have begun. Gateways of earlier versions ignore this and the following fields.
    #[prost(message, optional, tag = "7")]
    pub streams: Option<StreamsMessage>,
    /// A question at which software version a stream began.
    #[prost(message, optional, tag = "8")]
    pub version_question: Option<VersionQuestionMessage>,
    /// The answer to such a question.
    #[prost(message, optional, tag = "9")]
    pub version_answer: Option<VersionAnswerMessage>,
    /// An update of the quarantine of prompt parts that crash workers. Its fingerprints are those of parts.
    #[prost(message, optional, tag = "10")]
    pub part_quarantine: Option<QuarantineUpdateMessage>,
    /// Streams whose software versions have been written to the store. Gateways of earlier versions ignore this and the
    /// following fields.
    #[prost(message, optional, tag = "11")]
    pub recorded_streams: Option<RecordedStreamsMessage>,
    /// A question which software versions a gateway has seen.
    #[prost(message, optional, tag = "12")]
    pub history_question: Option<HistoryQuestionMessage>,
    /// The answer to such a question.
    #[prost(message, optional, tag = "13")]
    pub history_answer: Option<HistoryAnswerMessage>,
}

impl Datagram {
    /// Creates a datagram with a load report.
    pub fn report(report: ReportMessage) -> Self {
        Self {
            report: Some(report),
            ..Self::default()
        }
    }

    /// Creates a datagram with a placement message to a scheduler.
    pub fn question(question: MessageToScheduler) -> Self {
        Self {
            question: Some(question),
            ..Self::default()
        }
    }

    /// Creates a datagram with an update of the quarantine.
    pub fn quarantine(update: QuarantineUpdateMessage) -> Self {
        Self {
            quarantine: Some(update),
            ..Self::default()
        }
    }

    /// Creates a datagram with an update of the quarantine of prompt parts.
    pub fn part_quarantine(update: QuarantineUpdateMessage) -> Self {
        Self {
            part_quarantine: Some(update),
            ..Self::default()
        }
    }

    /// Creates a datagram with usage counts.
    pub fn usage(usage: UsageMessage) -> Self {
        Self {
            usage: Some(usage),
            ..Self::default()
        }
    }

    /// Creates a datagram with an acknowledgement of usage counts.
    pub fn usage_acknowledged(message: AcknowledgementMessage) -> Self {
        Self {
            usage_acknowledged: Some(message),
            ..Self::default()
        }
    }

    /// Creates a datagram that tells of streams.
    pub fn streams(streams: StreamsMessage) -> Self {
        Self {
            streams: Some(streams),
            ..Self::default()
        }
    }

    /// Creates a datagram about streams that have been written to the store.
    pub fn recorded_streams(message: RecordedStreamsMessage) -> Self {
        Self {
            recorded_streams: Some(message),
            ..Self::default()
        }
    }

    /// Creates a datagram that asks at which version a stream began.
    pub fn version_question(question: VersionQuestionMessage) -> Self {
        Self {
            version_question: Some(question),
            ..Self::default()
        }
    }

    /// Creates a datagram that answers such a question.
    pub fn version_answer(answer: VersionAnswerMessage) -> Self {
        Self {
            version_answer: Some(answer),
            ..Self::default()
        }
    }

    /// Creates a datagram that asks which software versions a gateway has seen.
    pub fn history_question(message: HistoryQuestionMessage) -> Self {
        Self {
            history_question: Some(message),
            ..Self::default()
        }
    }

    /// Creates a datagram that answers such a question.
    pub fn history_answer(message: HistoryAnswerMessage) -> Self {
        Self {
            history_answer: Some(message),
            ..Self::default()
        }
    }

    /// Creates a datagram with a scheduler's answer.
    pub fn answer(answer: SchedulerAnswerMessage) -> Self {
        Self {
            answer: Some(answer),
            ..Self::default()
        }
    }
}

/// The datagram socket; empty until it is bound.
#[derive(Debug, Default)]
pub struct Datagrams {
    socket: OnceLock<UdpSocket>,
}

impl Datagrams {
    /// Binds the socket.
    pub async fn bind(&self, address: SocketAddr) -> Result<()> {
        let socket = UdpSocket::bind(address)
            .await
            .with_context(|| format!("listen.load = {address}"))?;
        self.socket
            .set(socket)
            .ok()
            .context("the datagram socket is already bound")
    }

    /// Sends a datagram. If the socket cannot send it immediately, the datagram is lost, as if the network had dropped
    /// it.
    pub fn send(&self, address: SocketAddr, datagram: &Datagram) {
        self.send_encoded(address, &datagram.encode_to_vec());
    }

    /// Sends an encoded datagram, so that a datagram for several receivers is encoded only once.
    pub fn send_encoded(&self, address: SocketAddr, bytes: &[u8]) {
        let Some(socket) = self.socket.get() else {
            return;
        };
        if let Err(error) = socket.try_send_to(bytes, address) {
            log::debug!("datagram to {address} was not sent: {error}");
        }
    }

    /// Receives the next datagram and its sender's address. Returns `None` if it could not be received or decoded.
    pub async fn receive(&self, buffer: &mut [u8]) -> Option<(Datagram, SocketAddr)> {
        let socket = self.socket.get()?;
        let (length, sender) = socket.recv_from(buffer).await.ok()?;
        match Datagram::decode(&buffer[..length]) {
            Ok(datagram) => Some((datagram, sender)),
            Err(error) => {
                log::debug!("ignoring malformed datagram from {sender}: {error}");
                None
            }
        }
    }
}
