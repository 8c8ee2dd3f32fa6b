//! The views in the store: one small record, written by compare-and-swap when nodes join or leave,
//! and never for a request.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use tansyhall_journal::{Member, View, ViewNumber, VIEW_SIZE};
use tansyhall_store::{
    Compare, EtcdStore, KeyValueStore, Operation, Revision, StoreError, Transaction,
};

/// Store key of the record.
const VIEW_KEY: &str = "/tansyhall/journal/views";

/// A member of a view and its address.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberWithAddress {
    /// The node in one incarnation.
    pub member: Member,
    /// Address for requests from other nodes.
    pub peers: SocketAddr,
}

/// A view and the addresses of its members.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ViewWithAddresses {
    /// Number of the view.
    pub number: ViewNumber,
    /// Members of the view.
    pub members: [MemberWithAddress; VIEW_SIZE],
}

impl ViewWithAddresses {
    /// Returns the view without addresses.
    pub fn view(&self) -> View {
        View {
            number: self.number,
            members: self.members.clone().map(|member| member.member),
        }
    }
}

/// Content of the record.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ViewRecord {
    /// View that attempts use; absent until the first view is complete.
    pub active: Option<ViewWithAddresses>,
    /// View that is prepared to follow it.
    pub prepared: Option<ViewWithAddresses>,
}

/// The record as it was read from the store.
#[derive(Debug, Clone, Default)]
pub(super) struct StoredViews {
    /// The record.
    pub(super) record: ViewRecord,
    /// Revision of its last write; absent if it was never written.
    modified: Option<Revision>,
    /// Revision of the store at the time of the read.
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

    /// Replaces the record unless it was written after it was read; returns whether it was
    /// replaced.
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
