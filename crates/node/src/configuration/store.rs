//! Changes of the configuration in the platform's store.
//!
//! Each resource is a key. Every change also rewrites one head key and is conditional on the
//! head's revision, so that the whole configuration is validated against exactly what it will be
//! in force with. The head lists the identifiers of recent changes: a writer whose answer was lost
//! reads it back, and when its identifier is missing rewrites the head, after which the lost write
//! can never take effect.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};
use tansyhall_config::{Configuration, ConfigurationError, Resource, ResourceKey, ResourceKind};
use tansyhall_platform::store::RangeOutcome;
use tansyhall_platform::{Compare, KeyValueStore, Operation, Revision, StoreError, Transaction};

/// Prefix of every key of the configuration.
pub const CONFIGURATION_PREFIX: &str = "/tansyhall/config/";
const HEAD_KEY: &str = "/tansyhall/config/head";
const RESOURCE_PREFIX: &str = "/tansyhall/config/resources/";
/// Identifiers of changes that the head remembers.
const RECENT_CHANGES: usize = 64;
/// Tries when other operators' changes come in between.
const MAX_TRIES: usize = 8;

/// Why a change did not take effect, or may not have.
#[derive(Debug, thiserror::Error)]
pub enum ChangeError {
    /// The resource is not at the revision that the operator saw.
    #[error("{key} is at revision {present:?}, not at the one given")]
    Conflict {
        /// The resource.
        key: ResourceKey,
        /// Its revision now; absent if it does not exist.
        present: Option<Revision>,
        /// What is there now.
        resource: Option<Box<Resource>>,
    },
    /// The configuration would not hold together.
    #[error("{0}")]
    Invalid(#[from] ConfigurationError),
    /// The store did not take the change.
    #[error("the change was not made: {0}")]
    NotApplied(StoreError),
    /// The store's answer was lost and could not be read back.
    #[error("the change may have been made: {0}")]
    Unknown(StoreError),
    /// Other changes kept coming in between.
    #[error("other changes kept coming in between; try again")]
    Contended,
}

/// What an operator saw of a resource before changing it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Precondition {
    /// Nothing is asked.
    None,
    /// The resource does not exist.
    Absent,
    /// The resource was last changed at this revision.
    At(Revision),
}

/// One change to one resource.
#[derive(Debug, Clone)]
pub struct Change {
    /// The resource.
    pub key: ResourceKey,
    /// Its new content; `None` deletes it.
    pub resource: Option<Resource>,
    /// What the operator saw.
    pub precondition: Precondition,
}

/// The configuration with the revision of each resource.
#[derive(Debug, Clone, Default)]
pub struct Snapshot {
    /// The resources.
    pub configuration: Configuration,
    /// Revision of each resource's last change.
    pub revisions: HashMap<ResourceKey, Revision>,
    head: Head,
    head_revision: Option<Revision>,
}

#[derive(Debug, Clone, Default, Serialize, Deserialize)]
struct Head {
    recent_changes: Vec<String>,
}

impl Head {
    fn with(&self, change_id: &str) -> Self {
        let mut recent_changes = self.recent_changes.clone();
        recent_changes.push(change_id.to_owned());
        let excess = recent_changes.len().saturating_sub(RECENT_CHANGES);
        recent_changes.drain(..excess);
        Self { recent_changes }
    }

    fn contains(&self, change_id: &str) -> bool {
        self.recent_changes.iter().any(|id| id == change_id)
    }
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
                snapshot.configuration.revision = entry.modified.0;
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

    fn check(&self, change: &Change) -> Result<(), ChangeError> {
        let present = self.revisions.get(&change.key).copied();
        let holds = match change.precondition {
            Precondition::None => true,
            Precondition::Absent => present.is_none(),
            Precondition::At(revision) => present == Some(revision),
        };
        if holds {
            return Ok(());
        }
        Err(ChangeError::Conflict {
            key: change.key.clone(),
            present,
            resource: self.configuration.get(&change.key).map(Box::new),
        })
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

    /// Reads the newest revision's number alone; zero if there is no configuration.
    pub async fn read_revision(&self) -> Result<u64, StoreError> {
        let range = self.store.range(HEAD_KEY).await?;
        let head = range.entries.iter().find(|entry| entry.key == HEAD_KEY);
        Ok(head.map_or(0, |entry| entry.modified.0))
    }

    /// Checks changes against the configuration without making them.
    pub async fn dry_run(&self, changes: &[Change]) -> Result<(), ChangeError> {
        let snapshot = self.read().await.map_err(ChangeError::NotApplied)?;
        changed(&snapshot, changes).map(|_| ())
    }

    /// Makes all changes at one revision, or none. `change_id` must be unique.
    pub async fn change(
        &self,
        change_id: &str,
        changes: &[Change],
    ) -> Result<Revision, ChangeError> {
        for _ in 0..MAX_TRIES {
            let snapshot = self.read().await.map_err(ChangeError::NotApplied)?;
            let transaction = commit(&snapshot, change_id, changes)?;
            match self.store.transact(&transaction).await {
                Ok(outcome) if outcome.succeeded => return Ok(outcome.revision),
                Ok(_) => continue,
                Err(StoreError::Unknown(cause)) => {
                    if let Some(revision) = self.resolve(change_id, &cause).await? {
                        return Ok(revision);
                    }
                }
                Err(error) => return Err(ChangeError::NotApplied(error)),
            }
        }
        Err(ChangeError::Contended)
    }

    /// Finds out whether a change whose answer was lost took effect; if not, makes sure that it
    /// never will.
    async fn resolve(&self, change_id: &str, cause: &str) -> Result<Option<Revision>, ChangeError> {
        let unknown = |error: StoreError| {
            ChangeError::Unknown(StoreError::Unknown(format!("{cause}; then {error}")))
        };
        for _ in 0..MAX_TRIES {
            let snapshot = self.read().await.map_err(unknown)?;
            if snapshot.head.contains(change_id) {
                return Ok(snapshot.head_revision);
            }
            let seal = seal(&snapshot).map_err(unknown)?;
            match self.store.transact(&seal).await {
                Ok(outcome) if outcome.succeeded => return Ok(None),
                Ok(_) | Err(StoreError::Unknown(_)) => continue,
                Err(error) => return Err(unknown(error)),
            }
        }
        Err(unknown(StoreError::Unknown(
            "could not be read back".into(),
        )))
    }
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

fn seal(snapshot: &Snapshot) -> Result<Transaction, StoreError> {
    let operations = vec![put_head(&snapshot.head)?];
    Ok(Transaction {
        compare: vec![head_condition(snapshot)],
        operations,
    })
}

fn changed(snapshot: &Snapshot, changes: &[Change]) -> Result<Configuration, ChangeError> {
    let mut configuration = snapshot.configuration.clone();
    for change in changes {
        snapshot.check(change)?;
        match &change.resource {
            Some(resource) => configuration.put(resource.clone()),
            None => {
                configuration.remove(&change.key);
            }
        }
    }
    configuration.validate()?;
    Ok(configuration)
}

fn commit(
    snapshot: &Snapshot,
    change_id: &str,
    changes: &[Change],
) -> Result<Transaction, ChangeError> {
    changed(snapshot, changes)?;
    let mut operations =
        vec![put_head(&snapshot.head.with(change_id)).map_err(ChangeError::NotApplied)?];
    for change in changes {
        let key = store_key(&change.key);
        let operation = match &change.resource {
            None => Operation::Delete { key },
            Some(resource) => {
                let value = resource.to_json();
                let value = value.map_err(|error| {
                    ChangeError::NotApplied(StoreError::NotApplied(error.to_string()))
                })?;
                Operation::Put {
                    key,
                    value,
                    lease: None,
                }
            }
        };
        operations.push(operation);
    }
    Ok(Transaction {
        compare: vec![head_condition(snapshot)],
        operations,
    })
}
