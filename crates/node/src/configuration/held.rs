//! The newest configuration that this node holds: validated, ready to be put in force and to be
//! pulled by peers.

use std::sync::Arc;

use bytes::Bytes;
use tansyhall_config::{Configuration, Resource, ResourceKind};
use tansyhall_dissemination::{
    DisseminationSettings, Document, History, PullBody, PullOutcome, RevisionStatus,
};
use tansyhall_proto::PullAnswer;

use super::in_force::InForce;
use crate::state::Node;

/// The newest configuration, as it travels and ready to route by.
pub struct Held {
    history: History,
    ready: Arc<InForce>,
}

/// A configuration that was refused as a whole; the last good one stays.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refused;

impl Default for Held {
    fn default() -> Self {
        Self {
            history: History::new(DisseminationSettings::default().max_deltas),
            ready: Arc::default(),
        }
    }
}

impl Held {
    /// What a peer that holds `held_revision` is given.
    pub fn answer(&self, held_revision: u64) -> PullBody {
        self.history.answer(held_revision)
    }

    /// The revision held; zero for none.
    pub fn revision(&self) -> u64 {
        self.history.newest().revision
    }
}

/// Holds a configuration if it is newer than the one held and validates.
pub fn hold(node: &Node, configuration: Configuration) -> Result<(), Refused> {
    if configuration.revision <= node.held.lock().revision() {
        return Ok(());
    }
    let revision = configuration.revision;
    let Some(document) = encode(&configuration) else {
        return refuse(node, revision, "it does not encode");
    };
    match InForce::new(configuration) {
        Ok(ready) => {
            let mut held = node.held.lock();
            if held.history.push(document) {
                held.ready = Arc::new(ready);
            }
            Ok(())
        }
        Err(error) => refuse(node, revision, &error.to_string()),
    }
}

fn refuse(node: &Node, revision: u64, reason: &str) -> Result<(), Refused> {
    node.metrics.configuration_refused.inc();
    log::error!("configuration revision {revision} is refused: {reason}");
    Err(Refused)
}

/// Puts the configuration held in force, unless it is older than the one in force; returns the
/// revision in force afterwards.
pub fn put_held_in_force(node: &Node) -> u64 {
    let ready = Arc::clone(&node.held.lock().ready);
    let present = node.in_force.load().configuration.revision;
    let revision = ready.configuration.revision;
    if revision <= present {
        return present;
    }
    node.in_force.store(ready);
    let gauge = &node.metrics.configuration_revision;
    gauge.set(i64::try_from(revision).unwrap_or(i64::MAX));
    log::info!("configuration revision {revision} is in force");
    revision
}

/// Takes what a peer answered to a pull.
pub fn take_answer(node: &Node, answer: PullAnswer) -> PullOutcome {
    let held_revision = node.held.lock().revision();
    let document = match answer.body {
        PullBody::Current { revision } if revision <= held_revision => {
            return PullOutcome::Held(RevisionStatus {
                revision,
                confirmation_age: answer.confirmation_age,
            });
        }
        PullBody::Current { .. } => return PullOutcome::Failed,
        PullBody::Delta(delta) => node.held.lock().history.newest().apply(&delta).ok(),
        PullBody::Snapshot(document) => Some(document),
    };
    let Some(document) = document else {
        return PullOutcome::Failed;
    };
    let revision = document.revision;
    let Some(configuration) = decode(&document) else {
        return PullOutcome::Refused { revision };
    };
    match hold(node, configuration) {
        Ok(()) => PullOutcome::Held(RevisionStatus {
            revision,
            confirmation_age: answer.confirmation_age,
        }),
        Err(Refused) => PullOutcome::Refused { revision },
    }
}

fn encode(configuration: &Configuration) -> Option<Document> {
    let mut document = Document {
        revision: configuration.revision,
        ..Document::default()
    };
    for kind in ResourceKind::ALL {
        for resource in configuration.list(kind) {
            let content = resource.to_json().ok()?;
            let key = resource.key().to_string();
            document.resources.insert(key, Bytes::from(content));
        }
    }
    Some(document)
}

fn decode(document: &Document) -> Option<Configuration> {
    let mut configuration = Configuration {
        revision: document.revision,
        ..Configuration::default()
    };
    for (key, content) in &document.resources {
        let (kind, _) = key.split_once('/')?;
        let resource = Resource::from_json(ResourceKind::parse(kind)?, content).ok()?;
        configuration.put(resource);
    }
    Some(configuration)
}
