//! The head of the configuration: the most recent changes, with their authors and times.

use std::time::{SystemTime, UNIX_EPOCH};

use serde::{Deserialize, Serialize};
use tansyhall_core::TenantName;
use utoipa::ToSchema;

use super::change::Change;

/// Number of changes that the head lists. They are the audit trail, and show whether a write whose
/// answer was lost took effect.
const MAX_RECENT_CHANGES: usize = 64;
/// Maximum number of resources that a record lists by name.
const MAX_LISTED_RESOURCES: usize = 16;

/// The author of a change.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Author {
    /// The account.
    pub account: String,
    /// The tenant whose resources the account may change; every resource if absent.
    pub tenant: Option<TenantName>,
}

/// One accepted change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, ToSchema)]
pub struct ChangeRecord {
    /// Unique identifier.
    pub id: String,
    /// The account that made it.
    pub account: String,
    /// The account's tenant, if it has one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[schema(value_type = Option<String>)]
    pub tenant: Option<TenantName>,
    /// When, by the clock of the node that took it, in milliseconds since 1970.
    pub at_unix_millis: u64,
    /// The first resources that were changed, as `kind/name`.
    pub resources: Vec<String>,
    /// How many more were changed.
    pub more: usize,
}

impl ChangeRecord {
    /// Creates a record of changes made now, with a new identifier.
    pub fn new(author: &Author, changes: &[Change]) -> Self {
        let now = SystemTime::now().duration_since(UNIX_EPOCH);
        let millis = now.map_or(0, |elapsed| elapsed.as_millis());
        let listed = changes.iter().take(MAX_LISTED_RESOURCES);
        Self {
            id: format!("{:032x}", rand::random::<u128>()),
            account: author.account.clone(),
            tenant: author.tenant.clone(),
            at_unix_millis: u64::try_from(millis).unwrap_or(u64::MAX),
            resources: listed.map(|change| change.key.to_string()).collect(),
            more: changes.len().saturating_sub(MAX_LISTED_RESOURCES),
        }
    }
}

/// The value of the head key.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub(super) struct Head {
    /// Lower bound of the configuration's revision; a restored store assigns lower revisions again.
    #[serde(default)]
    pub(super) least_revision: u64,
    recent_changes: Vec<ChangeRecord>,
}

impl Head {
    /// Returns the head with one more change; the configuration's revision is then at least
    /// `least_revision`.
    pub(super) fn with_change(&self, record: &ChangeRecord, least_revision: u64) -> Self {
        let mut recent_changes = self.recent_changes.clone();
        recent_changes.push(record.clone());
        let excess = recent_changes.len().saturating_sub(MAX_RECENT_CHANGES);
        recent_changes.drain(..excess);
        Self {
            least_revision,
            recent_changes,
        }
    }

    pub(super) fn contains_change(&self, id: &str) -> bool {
        self.recent_changes.iter().any(|record| record.id == id)
    }

    /// Returns whether the last change in the list has this identifier.
    pub(super) fn is_last_change(&self, id: &str) -> bool {
        self.recent_changes
            .last()
            .is_some_and(|record| record.id == id)
    }

    pub(super) fn records(&self) -> &[ChangeRecord] {
        &self.recent_changes
    }
}
