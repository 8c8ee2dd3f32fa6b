//! Changes of the configuration in the platform's store.
//!
//! Each resource is a key. Every change also rewrites one head key and is conditional on the
//! head's revision, so that the whole configuration is validated in exactly the state in which it
//! will be in force. The head lists the recent changes with account and time. A writer whose answer
//! was lost reads the head back. If the identifier of its change is missing there, it rewrites the
//! head, after which the lost write can never take effect.
//!
//! The configuration's revision is that of the head, unless the store was restored from an older
//! copy and assigns revisions again that nodes have already received. The head then states a higher
//! revision for the configuration, so that a change is newer than every configuration that the node
//! making the change has held.

use std::collections::HashMap;

use tansyhall_config::{Configuration, Resource, ResourceKey, ResourceKind};
use tansyhall_store::store::RangeOutcome;
use tansyhall_store::{Compare, KeyValueStore, Operation, Revision, StoreError, Transaction};

use super::change::{self, Change, ChangeError, Effect, MAX_CHANGES};
use super::head::{Author, ChangeRecord, Head};

/// Prefix of every key of the configuration.
pub const CONFIGURATION_PREFIX: &str = "/tansyhall/config/";
const HEAD_KEY: &str = "/tansyhall/config/head";
const RESOURCE_PREFIX: &str = "/tansyhall/config/resources/";
/// Attempts to write to the store while other operators' changes come in between.
const MAX_ATTEMPTS: usize = 8;

/// The configuration with the revision of each resource.
#[derive(Debug, Clone, Default)]
pub struct Snapshot {
    /// The resources.
    pub configuration: Configuration,
    /// The revision of each resource's last change.
    pub revisions: HashMap<ResourceKey, Revision>,
    head: Head,
    head_revision: Option<Revision>,
}

/// A change that took effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CommittedChange {
    /// The revision at which it took effect. `None` if the store's answer was lost and another change
    /// came after it, so that there is no entity tag that identifies this change alone.
    pub revision: Option<Revision>,
    /// Number of resources written or deleted.
    pub changed: usize,
    /// Whether the store's answer was lost and the change was found by reading the head back.
    pub read_back: bool,
}

impl Snapshot {
    /// Decodes a read of every key below [`CONFIGURATION_PREFIX`].
    pub fn decode(range: &RangeOutcome) -> Result<Self, StoreError> {
        let mut snapshot = Snapshot::default();
        for entry in &range.entries {
            let invalid =
                |error: serde_json::Error| StoreError::Unknown(format!("{}: {error}", entry.key));
            if entry.key == HEAD_KEY {
                snapshot.head = serde_json::from_slice(&entry.value).map_err(invalid)?;
                snapshot.head_revision = Some(entry.modified);
                let least_revision = snapshot.head.least_revision;
                snapshot.configuration.revision = entry.modified.0.max(least_revision);
                continue;
            }
            let Some((kind, _)) = parse_resource_key(&entry.key) else {
                continue;
            };
            let resource = Resource::from_json(kind, &entry.value).map_err(invalid)?;
            snapshot.revisions.insert(resource.key(), entry.modified);
            snapshot.configuration.put(resource);
        }
        Ok(snapshot)
    }

    /// Returns the recent changes, the oldest first.
    pub fn records(&self) -> &[ChangeRecord] {
        self.head.records()
    }

    /// Returns the store's revision of the last change, or zero if there was none.
    pub fn store_revision(&self) -> Revision {
        self.head_revision.unwrap_or_default()
    }
}

fn parse_resource_key(key: &str) -> Option<(ResourceKind, &str)> {
    let (kind, name) = key.strip_prefix(RESOURCE_PREFIX)?.split_once('/')?;
    Some((ResourceKind::parse(kind)?, name))
}

fn store_key(key: &ResourceKey) -> String {
    format!("{RESOURCE_PREFIX}{key}")
}

/// The configuration in the platform's store.
pub struct ConfigurationStore<S> {
    store: S,
}

impl<S: KeyValueStore> ConfigurationStore<S> {
    /// Wraps a store.
    pub fn new(store: S) -> Self {
        Self { store }
    }

    /// Reads the configuration.
    pub async fn read(&self) -> Result<Snapshot, StoreError> {
        Snapshot::decode(&self.store.range(CONFIGURATION_PREFIX).await?)
    }

    /// Reads only the store's revision of the last change; zero if there was none.
    pub async fn read_revision(&self) -> Result<Revision, StoreError> {
        let range = self.store.range(HEAD_KEY).await?;
        let head = range.entries.iter().find(|entry| entry.key == HEAD_KEY);
        Ok(head.map_or(Revision::default(), |entry| entry.modified))
    }

    /// Checks changes against the configuration without making them, and returns the effect that each
    /// would have.
    pub async fn dry_run(
        &self,
        author: &Author,
        changes: &[Change],
    ) -> Result<Vec<Effect>, ChangeError> {
        let snapshot = self.read().await.map_err(ChangeError::NotApplied)?;
        change::apply(&snapshot, changes, author.tenant.as_ref())?;
        let effects = changes
            .iter()
            .map(|change| change.effect(&snapshot.configuration));
        Ok(effects.collect())
    }

    /// Makes all changes at one revision, or none. The changed configuration is newer than the one
    /// with `held_revision`, the newest that the node holds.
    pub async fn change(
        &self,
        author: &Author,
        changes: &[Change],
        held_revision: u64,
    ) -> Result<CommittedChange, ChangeError> {
        let record = ChangeRecord::new(author, changes);
        for _ in 0..MAX_ATTEMPTS {
            let snapshot = self.read().await.map_err(ChangeError::NotApplied)?;
            change::apply(&snapshot, changes, author.tenant.as_ref())?;
            let is_effective = |change: &&Change| !change.is_no_op(&snapshot.configuration);
            let effective: Vec<&Change> = changes.iter().filter(is_effective).collect();
            let committed = |revision, read_back| CommittedChange {
                revision,
                changed: effective.len(),
                read_back,
            };
            let is_behind = snapshot.configuration.revision < held_revision;
            if changes.is_empty() || (effective.is_empty() && !is_behind) {
                return Ok(committed(Some(snapshot.store_revision()), false));
            }
            let least_revision = snapshot.configuration.revision.max(held_revision);
            let least_revision = least_revision.saturating_add(1);
            let head = snapshot.head.with_change(&record, least_revision);
            let transaction = change_transaction(&snapshot, &head, &effective)?;
            match self.store.transact(&transaction).await {
                Ok(outcome) if outcome.succeeded => {
                    return Ok(committed(Some(outcome.revision), false))
                }
                Ok(_) => continue,
                Err(StoreError::Unknown(cause)) => {
                    let key = &effective.first().copied().unwrap_or(&changes[0]).key;
                    match self.resolve_lost_answer(&record.id, key, &cause).await? {
                        Resolution::Applied(revision) => return Ok(committed(revision, true)),
                        Resolution::NeverApplied => continue,
                    }
                }
                Err(error) => return Err(ChangeError::NotApplied(error)),
            }
        }
        Err(ChangeError::Contended)
    }

    /// Determines whether a change whose answer was lost took effect. If it did not, ensures that it
    /// never will.
    async fn resolve_lost_answer(
        &self,
        id: &str,
        key: &ResourceKey,
        cause: &str,
    ) -> Result<Resolution, ChangeError> {
        let unknown = |error: StoreError| {
            ChangeError::Unknown(StoreError::Unknown(format!("{cause}; then {error}")))
        };
        for _ in 0..MAX_ATTEMPTS {
            let snapshot = self.read().await.map_err(unknown)?;
            if snapshot.head.contains_change(id) {
                return Ok(Resolution::Applied(revision_of(&snapshot, id, key)));
            }
            let head_rewrite = rewrite_head(&snapshot).map_err(unknown)?;
            match self.store.transact(&head_rewrite).await {
                Ok(outcome) if outcome.succeeded => return Ok(Resolution::NeverApplied),
                Ok(_) | Err(StoreError::Unknown(_)) => continue,
                Err(error) => return Err(unknown(error)),
            }
        }
        Err(unknown(StoreError::Unknown(
            "could not be read back".into(),
        )))
    }
}

/// The outcome of a change whose answer was lost.
enum Resolution {
    Applied(Option<Revision>),
    NeverApplied,
}

/// Returns the revision of a change that the head lists. The key's own revision is the change's only
/// if no other change came after it.
fn revision_of(snapshot: &Snapshot, id: &str, key: &ResourceKey) -> Option<Revision> {
    if !snapshot.head.is_last_change(id) {
        return None;
    }
    let written = snapshot.revisions.get(key).copied();
    written.or(snapshot.head_revision)
}

fn head_condition(snapshot: &Snapshot) -> Compare {
    match snapshot.head_revision {
        Some(revision) => Compare::ModifiedAt(HEAD_KEY.into(), revision),
        None => Compare::Absent(HEAD_KEY.into()),
    }
}

fn put_head(head: &Head) -> Result<Operation, StoreError> {
    let value = serde_json::to_vec(head).map_err(|e| StoreError::NotApplied(e.to_string()))?;
    Ok(Operation::Put {
        key: HEAD_KEY.into(),
        value,
        lease: None,
    })
}

fn rewrite_head(snapshot: &Snapshot) -> Result<Transaction, StoreError> {
    let operations = vec![put_head(&snapshot.head)?];
    Ok(Transaction {
        compare: vec![head_condition(snapshot)],
        operations,
    })
}

fn change_transaction(
    snapshot: &Snapshot,
    head: &Head,
    changes: &[&Change],
) -> Result<Transaction, ChangeError> {
    if changes.len() > MAX_CHANGES {
        return Err(ChangeError::TooMany(changes.len()));
    }
    let mut operations = vec![put_head(head).map_err(ChangeError::NotApplied)?];
    for change in changes {
        let operation = operation_of(change)
            .map_err(|error| ChangeError::NotApplied(StoreError::NotApplied(error.to_string())))?;
        operations.push(operation);
    }
    Ok(Transaction {
        compare: vec![head_condition(snapshot)],
        operations,
    })
}

fn operation_of(change: &Change) -> Result<Operation, serde_json::Error> {
    let key = store_key(&change.key);
    Ok(match &change.resource {
        None => Operation::Delete { key },
        Some(resource) => Operation::Put {
            key,
            value: resource.to_json()?,
            lease: None,
        },
    })
}
