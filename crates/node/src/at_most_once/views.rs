//! The views as the store holds them: one small record, written by compare-and-swap when nodes come
//! and go, and never for a request.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use tansyhall_journal::{Member, View, ViewNumber, VIEW_SIZE};
use tansyhall_store::{
    Compare, EtcdStore, KeyValueStore, Operation, Revision, StoreError, Transaction,
};

/// Key of the record.
const VIEW_KEY: &str = "/tansyhall/journal/views";

/// A member of a view and where it is reached.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlacedMember {
    /// The node in one incarnation.
    pub member: Member,
    /// Where nodes reach it.
    pub peers: SocketAddr,
}

/// A view and where its members are reached.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlacedView {
    /// Its number.
    pub number: ViewNumber,
    /// Its members.
    pub members: [PlacedMember; VIEW_SIZE],
}

impl PlacedView {
    /// The view without addresses.
    pub fn view(&self) -> View {
        View {
            number: self.number,
            members: self.members.clone().map(|placed| placed.member),
        }
    }
}

/// What the store holds.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ViewRecord {
    /// The view that tries use; absent until the first view is complete.
    pub active: Option<PlacedView>,
    /// The view that follows it.
    pub prepared: Option<PlacedView>,
}

/// The record as it was read.
#[derive(Debug, Clone, Default)]
pub(super) struct StoredViews {
    /// The record.
    pub(super) record: ViewRecord,
    /// When it was last written; absent if it never was.
    modified: Option<Revision>,
    /// The store's revision at the read.
    pub(super) revision: Revision,
}

impl StoredViews {
    /// Reads the record.
    pub(super) async fn read(store: &EtcdStore) -> Result<Self, StoreError> {
        let range = store.range(VIEW_KEY).await?;
        let entry = range.entries.iter().find(|entry| entry.key == VIEW_KEY);
        let Some(entry) = entry else {
            return Ok(Self {
                revision: range.revision,
                ..Self::default()
            });
        };
        let record = serde_json::from_slice(&entry.value)
            .map_err(|error| StoreError::NotApplied(format!("{VIEW_KEY}: {error}")))?;
        Ok(Self {
            record,
            modified: Some(entry.modified),
            revision: range.revision,
        })
    }

    /// Replaces the record, if nobody has written it since it was read; returns whether it did.
    pub(super) async fn replace(
        &self,
        store: &EtcdStore,
        record: &ViewRecord,
    ) -> Result<bool, StoreError> {
        let value = serde_json::to_vec(record)
            .map_err(|error| StoreError::NotApplied(error.to_string()))?;
        let key = VIEW_KEY.to_owned();
        let compare = match self.modified {
            Some(modified) => Compare::ModifiedAt(key.clone(), modified),
            None => Compare::Absent(key.clone()),
        };
        let transaction = Transaction {
            compare: vec![compare],
            operations: vec![Operation::Put {
                key,
                value,
                lease: None,
            }],
        };
        Ok(store.transact(&transaction).await?.succeeded)
    }
}
