//! The newest configuration that this node holds: validated, and ready to be put in force and pulled
//! by peers.

use std::sync::Arc;

use bytes::Bytes;
use tansyhall_config::{Configuration, Resource, ResourceKind};
use tansyhall_dissemination::{
    DisseminationSettings, Document, History, PullBody, PullOutcome, RevisionStatus,
};
use tansyhall_proto::PullAnswer;

use super::in_force::ConfigurationInForce;
use crate::state::Node;

/// The newest configuration, both encoded for peers and compiled for routing.
pub struct HeldConfiguration {
    history: History,
    compiled: Arc<ConfigurationInForce>,
}

/// A configuration was refused as a whole; the last valid one is kept.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConfigurationRefused;

impl Default for HeldConfiguration {
    fn default() -> Self {
        Self {
            history: History::new(DisseminationSettings::default().max_deltas),
            compiled: Arc::default(),
        }
    }
}

impl HeldConfiguration {
    /// Returns the answer to a pull of a peer that holds `held_revision`.
    pub fn answer(&self, held_revision: u64) -> PullBody {
        self.history.answer(held_revision)
    }

    /// Returns the revision held, or zero if there is none.
    pub fn revision(&self) -> u64 {
        self.history.newest().revision
    }
}

/// Replaces the configuration held if the new one is newer. Fails if the new one is invalid.
pub fn hold_if_newer(
    node: &Node,
    configuration: Configuration,
) -> Result<(), ConfigurationRefused> {
    if configuration.revision <= node.held_configuration.lock().revision() {
        return Ok(());
    }
    let revision = configuration.revision;
    let Some(document) = encode_document(&configuration) else {
        return refuse(node, revision, "it cannot be encoded");
    };
    match ConfigurationInForce::new(configuration) {
        Ok(compiled) => {
            let mut held = node.held_configuration.lock();
            if held.history.push(document) {
                held.compiled = Arc::new(compiled);
            }
            Ok(())
        }
        Err(error) => refuse(node, revision, &error.to_string()),
    }
}

fn refuse(node: &Node, revision: u64, reason: &str) -> Result<(), ConfigurationRefused> {
    node.metrics.configuration_refused.inc();
    log::error!("refused configuration revision {revision}: {reason}");
    Err(ConfigurationRefused)
}

/// Puts the configuration held in force if it is newer than the one in force, and returns the revision
/// in force afterwards.
pub fn put_held_in_force(node: &Node) -> u64 {
    let compiled = Arc::clone(&node.held_configuration.lock().compiled);
    let revision_in_force = node.in_force.load().configuration.revision;
    let revision = compiled.configuration.revision;
    if revision <= revision_in_force {
        return revision_in_force;
    }
    node.in_force.store(compiled);
    let gauge = &node.metrics.configuration_revision;
    gauge.set(i64::try_from(revision).unwrap_or(i64::MAX));
    log::info!("configuration revision {revision} is in force");
    revision
}

/// Holds the configuration of a peer's answer to a pull, if it is valid.
pub fn apply_pull_answer(node: &Node, answer: PullAnswer) -> PullOutcome {
    let held_revision = node.held_configuration.lock().revision();
    let document = match answer.body {
        PullBody::Current { revision } if revision <= held_revision => {
            return PullOutcome::Held(RevisionStatus {
                revision,
                confirmation_age: answer.confirmation_age,
            });
        }
        PullBody::Current { .. } => return PullOutcome::Failed,
        PullBody::Delta(delta) => node
            .held_configuration
            .lock()
            .history
            .newest()
            .apply(&delta)
            .ok(),
        PullBody::Snapshot(document) => Some(document),
    };
    let Some(document) = document else {
        return PullOutcome::Failed;
    };
    let revision = document.revision;
    let Some(configuration) = decode_document(&document) else {
        return PullOutcome::Refused { revision };
    };
    match hold_if_newer(node, configuration) {
        Ok(()) => PullOutcome::Held(RevisionStatus {
            revision,
            confirmation_age: answer.confirmation_age,
        }),
        Err(ConfigurationRefused) => PullOutcome::Refused { revision },
    }
}

fn encode_document(configuration: &Configuration) -> Option<Document> {
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

fn decode_document(document: &Document) -> Option<Configuration> {
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
