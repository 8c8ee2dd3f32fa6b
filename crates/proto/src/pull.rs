//! Encoding of the answers to configuration pulls.

use prost::Message as _;
use tansyhall_core::Duration;
use tansyhall_dissemination::{Delta, Document, PullBody, ResourceChange};

use crate::error::DecodeError;
use crate::generated as wire;
use crate::generated::pull_answer::Body;

/// The answer to a pull.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PullAnswer {
    /// Time since the answering node last knew that its configuration was the newest.
    pub confirmation_age: Duration,
    /// The newer configuration that the answering node holds, if any.
    pub body: PullBody,
}

/// Encodes the answer to a pull.
pub fn encode_pull_answer(answer: &PullAnswer) -> Vec<u8> {
    let body = match &answer.body {
        PullBody::Current { revision } => Body::Current(wire::Current {
            revision: *revision,
        }),
        PullBody::Delta(delta) => Body::Delta(wire::Delta {
            base: delta.base,
            revision: delta.revision,
            checksum: delta.checksum,
            changes: delta.changes.iter().map(encode_change).collect(),
        }),
        PullBody::Snapshot(document) => Body::Snapshot(encode_document(document)),
    };
    let answer = wire::PullAnswer {
        confirmation_age_millis: crate::datagram::encode_millis(answer.confirmation_age),
        body: Some(body),
    };
    answer.encode_to_vec()
}

/// Decodes the answer to a pull.
pub fn decode_pull_answer(bytes: &[u8]) -> Result<PullAnswer, DecodeError> {
    let answer = wire::PullAnswer::decode(bytes)?;
    let body = match answer.body.ok_or(DecodeError::Missing("body"))? {
        Body::Current(current) => PullBody::Current {
            revision: current.revision,
        },
        Body::Delta(delta) => PullBody::Delta(Delta {
            base: delta.base,
            revision: delta.revision,
            checksum: delta.checksum,
            changes: delta.changes.into_iter().map(decode_change).collect(),
        }),
        Body::Snapshot(snapshot) => PullBody::Snapshot(decode_document(snapshot)?),
    };
    Ok(PullAnswer {
        confirmation_age: Duration::from_millis(answer.confirmation_age_millis),
        body,
    })
}

fn encode_change(change: &ResourceChange) -> wire::ResourceChange {
    wire::ResourceChange {
        key: change.key.clone(),
        content: change.content.clone(),
    }
}

fn decode_change(change: wire::ResourceChange) -> ResourceChange {
    ResourceChange {
        key: change.key,
        content: change.content,
    }
}

fn encode_document(document: &Document) -> wire::Snapshot {
    let resources = document.resources.iter();
    let resources = resources.map(|(key, content)| wire::ResourceChange {
        key: key.clone(),
        content: Some(content.clone()),
    });
    wire::Snapshot {
        revision: document.revision,
        resources: resources.collect(),
    }
}

fn decode_document(snapshot: wire::Snapshot) -> Result<Document, DecodeError> {
    let resources = snapshot.resources.into_iter().map(|resource| {
        let content = resource.content.ok_or(DecodeError::Missing("content"))?;
        Ok::<_, DecodeError>((resource.key, content))
    });
    Ok(Document {
        revision: snapshot.revision,
        resources: resources.collect::<Result<_, _>>()?,
    })
}
