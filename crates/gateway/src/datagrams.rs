//! The socket for datagrams between gateways: reports of load, and questions to schedulers with their
//! answers, counts of usage. A lost datagram is made good by later ones.

use std::net::SocketAddr;
use std::sync::OnceLock;

use anyhow::{Context, Result};
use prost::Message;
use tokio::net::UdpSocket;

use crate::load_messages::ReportMessage;
use crate::placement::{MessageToScheduler, SchedulerAnswerMessage};
use crate::quarantine::QuarantineUpdateMessage;
use crate::usage::{AcknowledgementMessage, UsageMessage};

/// The longest datagram.
pub const MAX_DATAGRAM_BYTES: usize = 16 << 10;

/// What gateways send each other as datagrams: one of these.
#[derive(Clone, PartialEq, Message)]
pub struct Datagram {
    /// Load of a gateway.
    #[prost(message, optional, tag = "1")]
    pub report: Option<ReportMessage>,
    /// A message to a scheduler.
    #[prost(message, optional, tag = "2")]
    pub question: Option<MessageToScheduler>,
    /// A scheduler's answer.
    #[prost(message, optional, tag = "3")]
    pub answer: Option<SchedulerAnswerMessage>,
    /// What a gateway has counted.
    #[prost(message, optional, tag = "4")]
    pub usage: Option<UsageMessage>,
    /// A collector's acknowledgement.
    #[prost(message, optional, tag = "5")]
    pub usage_acknowledged: Option<AcknowledgementMessage>,
    /// Requests under which workers end.
    #[prost(message, optional, tag = "6")]
    pub quarantine: Option<QuarantineUpdateMessage>,
}

impl Datagram {
    /// A report of load.
    pub fn report(report: ReportMessage) -> Self {
        Self {
            report: Some(report),
            ..Self::default()
        }
    }

    /// A message to a scheduler.
    pub fn question(question: MessageToScheduler) -> Self {
        Self {
            question: Some(question),
            ..Self::default()
        }
    }

    /// Requests under which workers end.
    pub fn quarantine(news: QuarantineUpdateMessage) -> Self {
        Self {
            quarantine: Some(news),
            ..Self::default()
        }
    }

    /// What a gateway has counted.
    pub fn usage(usage: UsageMessage) -> Self {
        Self {
            usage: Some(usage),
            ..Self::default()
        }
    }

    /// A collector's acknowledgement.
    pub fn usage_acknowledged(message: AcknowledgementMessage) -> Self {
        Self {
            usage_acknowledged: Some(message),
            ..Self::default()
        }
    }

    /// A scheduler's answer.
    pub fn answer(answer: SchedulerAnswerMessage) -> Self {
        Self {
            answer: Some(answer),
            ..Self::default()
        }
    }
}

/// The socket, once it is bound.
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
            .context("the socket for datagrams is bound already")
    }

    /// Sends a datagram; one that can't be sent now is lost like one that is dropped on its way.
    pub fn send(&self, address: SocketAddr, datagram: &Datagram) {
        self.send_encoded(address, &datagram.encode_to_vec());
    }

    /// Sends a datagram that goes to many.
    pub fn send_encoded(&self, address: SocketAddr, bytes: &[u8]) {
        let Some(socket) = self.socket.get() else {
            return;
        };
        if let Err(error) = socket.try_send_to(bytes, address) {
            log::debug!("a datagram to {address} is lost: {error}");
        }
    }

    /// The next datagram, and who has sent it; none if it can't be read.
    pub async fn receive(&self, buffer: &mut [u8]) -> Option<(Datagram, SocketAddr)> {
        let socket = self.socket.get()?;
        let (length, sender) = socket.recv_from(buffer).await.ok()?;
        match Datagram::decode(&buffer[..length]) {
            Ok(datagram) => Some((datagram, sender)),
            Err(error) => {
                log::debug!("a datagram of {sender} that is none of ours: {error}");
                None
            }
        }
    }
}
