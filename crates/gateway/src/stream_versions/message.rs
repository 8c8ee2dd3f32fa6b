//! Wire format of the messages about the software versions at which streams began.

use prost::Message;
use tansyhall_forwarding::{AttemptKey, SoftwareVersion, Testimony};

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

impl StreamMessage {
    /// Creates the message about a stream.
    pub fn new(attempt: AttemptKey, version: &SoftwareVersion) -> Self {
        Self {
            attempt: attempt.0,
            version: version.as_str().to_owned(),
        }
    }

    /// Returns the attempt and the version.
    pub fn decode_stream(&self) -> (AttemptKey, SoftwareVersion) {
        let version = SoftwareVersion::from(self.version.as_str());
        (AttemptKey(self.attempt), version)
    }
}

impl VersionAnswerMessage {
    /// Creates the answer to the question with this number.
    pub fn new(number: u64, testimony: &Testimony) -> Self {
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
