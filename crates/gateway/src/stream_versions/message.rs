//! Format of the software versions at which streams began, in messages and in the store.

use std::collections::BTreeMap;
use std::time::Duration;

use prost::Message;
use tansyhall_core::ServiceName;
use tansyhall_forwarding::{
    AttemptKey, Position, ServedVersion, ServiceHistory, SoftwareVersion, StreamRecord, Testimony,
};

use crate::state::saturating_millis;

/// Tells another gateway of streams that have begun.
#[derive(Clone, PartialEq, Message)]
pub struct StreamsMessage {
    /// The streams.
    #[prost(message, repeated, tag = "1")]
    pub streams: Vec<StreamMessage>,
}

/// A stream that has begun.
#[derive(Clone, PartialEq, Message)]
pub struct StreamMessage {
    /// Key of the attempt that brought its first event.
    #[prost(fixed64, tag = "1")]
    pub attempt: u64,
    /// The software version of the worker that began it.
    #[prost(string, tag = "2")]
    pub version: String,
}

/// Informs other gateways of streams that are recorded in the store.
#[derive(Clone, PartialEq, Message)]
pub struct RecordedStreamsMessage {
    /// Keys of the attempts that brought their first events.
    #[prost(fixed64, repeated, tag = "1")]
    pub attempts: Vec<u64>,
}

/// Streams in an item of the store.
#[derive(Clone, PartialEq, Message)]
pub struct StoredStreamsMessage {
    /// The streams by version.
    #[prost(message, repeated, tag = "1")]
    pub versions: Vec<VersionStreamsMessage>,
}

/// The streams of one software version.
#[derive(Clone, PartialEq, Message)]
pub struct VersionStreamsMessage {
    /// The software version of the workers that began them.
    #[prost(string, tag = "1")]
    pub version: String,
    /// Keys of the attempts that brought their first events.
    #[prost(fixed64, repeated, tag = "2")]
    pub attempts: Vec<u64>,
}

/// Names a software version that serves, in an item of the store.
#[derive(Clone, PartialEq, Message)]
pub struct ServedVersionMessage {
    /// The service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// The version of its workers.
    #[prost(string, tag = "2")]
    pub version: String,
}

/// Asks another gateway at which version a stream began.
#[derive(Clone, PartialEq, Message)]
pub struct VersionQuestionMessage {
    /// Number of the question, which the answer repeats.
    #[prost(fixed64, tag = "1")]
    pub number: u64,
    /// The service that the stream belongs to.
    #[prost(string, tag = "2")]
    pub service: String,
    /// Key of the attempt that brought its first event, if the caller names one.
    #[prost(fixed64, optional, tag = "3")]
    pub attempt: Option<u64>,
    /// Whether the gateway is to read the store before it answers. Gateways of earlier versions answer at once.
    #[prost(bool, tag = "4")]
    pub confirms: bool,
}

/// The answer to [`VersionQuestionMessage`].
#[derive(Clone, PartialEq, Message)]
pub struct VersionAnswerMessage {
    /// Number of the question.
    #[prost(fixed64, tag = "1")]
    pub number: u64,
    /// What the answering gateway can say.
    #[prost(enumeration = "TestimonyKind", tag = "2")]
    pub kind: i32,
    /// The version that it names, if it names one.
    #[prost(string, tag = "3")]
    pub version: String,
    /// Whether the gateway has read the store since it was asked.
    #[prost(bool, tag = "4")]
    pub confirmed: bool,
}

/// Asks another gateway which versions it has seen.
#[derive(Clone, PartialEq, Message)]
pub struct HistoryQuestionMessage {
    /// Number of the question, which the answer repeats.
    #[prost(fixed64, tag = "1")]
    pub number: u64,
}

/// The answer to [`HistoryQuestionMessage`].
#[derive(Clone, PartialEq, Message)]
pub struct HistoryAnswerMessage {
    /// Number of the question.
    #[prost(fixed64, tag = "1")]
    pub number: u64,
    /// Epoch of the answering gateway's mirror of the store.
    #[prost(uint64, tag = "2")]
    pub epoch: u64,
    /// Revision of the answering gateway's mirror of the store.
    #[prost(uint64, tag = "3")]
    pub revision: u64,
    /// What it has seen of each service.
    #[prost(message, repeated, tag = "4")]
    pub services: Vec<ServiceHistoryMessage>,
}

/// What a gateway has seen of a service.
#[derive(Clone, PartialEq, Message)]
pub struct ServiceHistoryMessage {
    /// The service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// Milliseconds for which the gateway has watched it.
    #[prost(uint64, tag = "2")]
    pub watched_ms: u64,
    /// The versions that it has seen.
    #[prost(message, repeated, tag = "3")]
    pub versions: Vec<SeenVersionMessage>,
}

/// A version that a gateway has seen.
#[derive(Clone, PartialEq, Message)]
pub struct SeenVersionMessage {
    /// The version.
    #[prost(string, tag = "1")]
    pub version: String,
    /// Milliseconds since it was last seen.
    #[prost(uint64, tag = "2")]
    pub age_ms: u64,
}

/// The kinds of testimonies.
#[derive(Debug, Clone, Copy, PartialEq, Eq, prost::Enumeration)]
#[repr(i32)]
pub enum TestimonyKind {
    /// Nothing follows from what the gateway knows.
    Unsure = 0,
    /// The stream began at this version.
    Known = 1,
    /// The stream is not known, and only this version serves.
    Only = 2,
    /// The stream is not known, and several versions serve.
    Several = 3,
}

impl ServedVersionMessage {
    /// Creates the item of a version.
    pub fn new(served: &ServedVersion) -> Self {
        Self {
            service: served.service.as_str().to_owned(),
            version: served.version.as_str().to_owned(),
        }
    }

    /// Returns the version.
    pub fn served(&self) -> ServedVersion {
        ServedVersion {
            service: ServiceName::new(self.service.as_str()),
            version: SoftwareVersion::from(self.version.as_str()),
        }
    }
}

impl StreamMessage {
    /// Creates the message about a stream.
    pub fn new(record: &StreamRecord) -> Self {
        Self {
            attempt: record.attempt.0,
            version: record.version.as_str().to_owned(),
        }
    }

    /// Returns the attempt and the version.
    pub fn record(&self) -> StreamRecord {
        StreamRecord {
            attempt: AttemptKey(self.attempt),
            version: SoftwareVersion::from(self.version.as_str()),
        }
    }
}

impl RecordedStreamsMessage {
    /// Creates the message about these streams.
    pub fn new(attempts: &[AttemptKey]) -> Self {
        let attempts = attempts.iter().map(|attempt| attempt.0);
        Self {
            attempts: attempts.collect(),
        }
    }

    /// Returns the attempts.
    pub fn attempts(&self) -> impl Iterator<Item = AttemptKey> + '_ {
        self.attempts.iter().copied().map(AttemptKey)
    }
}

impl StoredStreamsMessage {
    /// Creates the item with these streams.
    pub fn new(records: &[&StreamRecord]) -> Self {
        let mut versions: BTreeMap<&str, Vec<u64>> = BTreeMap::new();
        for record in records {
            let attempts = versions.entry(record.version.as_str()).or_default();
            attempts.push(record.attempt.0);
        }
        let versions = versions.into_iter();
        Self {
            versions: versions
                .map(|(version, attempts)| VersionStreamsMessage {
                    version: version.to_owned(),
                    attempts,
                })
                .collect(),
        }
    }

    /// Returns the streams.
    pub fn records(&self) -> impl Iterator<Item = StreamRecord> + '_ {
        self.versions.iter().flat_map(|streams| {
            let version = SoftwareVersion::from(streams.version.as_str());
            let attempts = streams.attempts.iter().copied().map(AttemptKey);
            attempts.map(move |attempt| StreamRecord {
                attempt,
                version: version.clone(),
            })
        })
    }
}

impl VersionAnswerMessage {
    /// Creates the answer to the question with this number.
    pub fn new(number: u64, testimony: &Testimony, confirmed: bool) -> Self {
        let (kind, version) = match testimony {
            Testimony::Known(version) => (TestimonyKind::Known, version.as_str()),
            Testimony::Only(version) => (TestimonyKind::Only, version.as_str()),
            Testimony::Several => (TestimonyKind::Several, ""),
            Testimony::Unsure => (TestimonyKind::Unsure, ""),
        };
        Self {
            number,
            kind: kind as i32,
            version: version.to_owned(),
            confirmed,
        }
    }

    /// Returns what the answer says. A kind that this gateway does not know says nothing.
    pub fn testimony(&self) -> Testimony {
        let version = || SoftwareVersion::from(self.version.as_str());
        match TestimonyKind::try_from(self.kind) {
            Ok(TestimonyKind::Known) => Testimony::Known(version()),
            Ok(TestimonyKind::Only) => Testimony::Only(version()),
            Ok(TestimonyKind::Several) => Testimony::Several,
            Ok(TestimonyKind::Unsure) | Err(_) => Testimony::Unsure,
        }
    }
}

impl HistoryAnswerMessage {
    /// Creates the answer to the question with this number.
    pub fn new(number: u64, position: Position, histories: &[ServiceHistory]) -> Self {
        Self {
            number,
            epoch: position.epoch,
            revision: position.revision,
            services: histories.iter().map(ServiceHistoryMessage::new).collect(),
        }
    }

    /// Returns the position of the answering gateway's mirror.
    pub fn position(&self) -> Position {
        Position::new(self.epoch, self.revision)
    }

    /// Returns what the gateway has seen of each service.
    pub fn histories(&self) -> Vec<ServiceHistory> {
        let services = self.services.iter();
        services.map(ServiceHistoryMessage::history).collect()
    }
}

impl ServiceHistoryMessage {
    fn new(history: &ServiceHistory) -> Self {
        let seen = |(version, age): &(SoftwareVersion, Duration)| SeenVersionMessage {
            version: version.as_str().to_owned(),
            age_ms: saturating_millis(*age),
        };
        Self {
            service: history.service.as_str().to_owned(),
            watched_ms: saturating_millis(history.watched),
            versions: history.versions.iter().map(seen).collect(),
        }
    }

    fn history(&self) -> ServiceHistory {
        let seen = |seen: &SeenVersionMessage| {
            let version = SoftwareVersion::from(seen.version.as_str());
            (version, Duration::from_millis(seen.age_ms))
        };
        ServiceHistory {
            service: ServiceName::new(self.service.as_str()),
            watched: Duration::from_millis(self.watched_ms),
            versions: self.versions.iter().map(seen).collect(),
        }
    }
}
