//! Changes of the configuration, and the rules by which they are accepted.

use tansyhall_config::{Configuration, ConfigurationError, Resource, ResourceKey, ResourceKind};
use tansyhall_core::TenantName;
use tansyhall_store::{Revision, StoreError};

use super::store::Snapshot;

/// Maximum number of resources changed at one revision: the key-value service accepts 128 operations
/// in a transaction, and one of them writes the head.
pub const MAX_CHANGES: usize = 127;

/// Why a change did not take effect, or may not have taken effect.
#[derive(Debug, thiserror::Error)]
pub enum ChangeError {
    /// The resource does not meet the operator's precondition.
    #[error("{key} was changed by somebody else; it is at revision {}", revision_text(.present))]
    Conflict {
        /// The resource.
        key: ResourceKey,
        /// Its present revision; `None` if it does not exist.
        present: Option<Revision>,
        /// Its present content; `None` if it does not exist.
        resource: Option<Box<Resource>>,
    },
    /// The resource exists and the operator stated no precondition.
    #[error("{key} exists: its entity tag is needed in If-Match")]
    PreconditionRequired {
        /// The resource.
        key: ResourceKey,
        /// Its revision.
        present: Revision,
    },
    /// The resource to delete does not exist.
    #[error("{0} does not exist")]
    NotFound(ResourceKey),
    /// Other resources refer to the resource to delete.
    #[error("{key} is in use by {}", join_keys(.referrers))]
    InUse {
        /// The resource.
        key: ResourceKey,
        /// The resources that refer to it.
        referrers: Vec<ResourceKey>,
    },
    /// The resource does not belong to the account's tenant.
    #[error("this account may not change {0}")]
    OutOfScope(ResourceKey),
    /// The changes do not fit into one transaction.
    #[error("{0} resources would change at once; at most {MAX_CHANGES} may")]
    TooMany(usize),
    /// The configuration would be invalid after the change.
    #[error("{0}")]
    Invalid(#[from] ConfigurationError),
    /// The store did not apply the change.
    #[error("the change was not made: {0}")]
    NotApplied(StoreError),
    /// The store's answer was lost, and whether the change took effect could not be read back.
    #[error("the change may have been made: {0}")]
    Unknown(StoreError),
    /// Changes by others came in between at every attempt.
    #[error("other changes kept coming in between; try again")]
    Contended,
}

fn revision_text(revision: &Option<Revision>) -> String {
    revision.map_or_else(|| "none".into(), |revision| revision.0.to_string())
}

fn join_keys(keys: &[ResourceKey]) -> String {
    let names: Vec<String> = keys.iter().map(ToString::to_string).collect();
    names.join(", ")
}

/// The state that an operator expects a resource to have before it is changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Precondition {
    /// Any state. A resource that has the new content already is not written.
    None,
    /// The operator stated no precondition, which is accepted only if the resource does not exist.
    Unstated,
    /// The resource does not exist.
    Absent,
    /// The resource was last changed at this revision.
    At(Revision),
    /// The resource was not changed after this revision. A resource that has the new content already
    /// is not written.
    NotAfter(Revision),
}

/// One change to one resource.
#[derive(Debug, Clone)]
pub struct Change {
    /// The resource.
    pub key: ResourceKey,
    /// Its new content; `None` deletes it.
    pub resource: Option<Resource>,
    /// The state that the operator expects the resource to have.
    pub precondition: Precondition,
}

impl Change {
    /// Returns the effect of the change on a configuration.
    pub fn effect(&self, configuration: &Configuration) -> Effect {
        match (&self.resource, configuration.get(&self.key)) {
            (None, _) => Effect::Delete,
            (Some(_), None) => Effect::Create,
            (Some(new), Some(present)) if *new == present => Effect::Unchanged,
            (Some(_), Some(_)) => Effect::Replace,
        }
    }

    /// Returns whether the change writes nothing.
    pub(super) fn is_no_op(&self, configuration: &Configuration) -> bool {
        let skips_unchanged = matches!(
            self.precondition,
            Precondition::None | Precondition::NotAfter(_)
        );
        skips_unchanged && self.effect(configuration) == Effect::Unchanged
    }
}

/// What a change does to a resource.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, utoipa::ToSchema)]
#[serde(rename_all = "kebab-case")]
pub enum Effect {
    /// It comes into being.
    Create,
    /// Its content changes.
    Replace,
    /// It goes away.
    Delete,
    /// It is there already.
    Unchanged,
}

/// Returns the configuration after the changes, if every rule allows them.
pub(super) fn apply(
    snapshot: &Snapshot,
    changes: &[Change],
    tenant: Option<&TenantName>,
) -> Result<Configuration, ChangeError> {
    let mut configuration = snapshot.configuration.clone();
    for change in changes {
        match &change.resource {
            Some(resource) => configuration.put(resource.clone()),
            None => {
                configuration.remove(&change.key);
            }
        }
    }
    for change in changes {
        check_scope(snapshot, &configuration, change, tenant)?;
        check_precondition(snapshot, change)?;
        check_not_referenced(&configuration, change)?;
    }
    configuration.validate()?;
    Ok(configuration)
}

fn check_precondition(snapshot: &Snapshot, change: &Change) -> Result<(), ChangeError> {
    let present = snapshot.revisions.get(&change.key).copied();
    if change.resource.is_none()
        && present.is_none()
        && change.precondition == Precondition::Unstated
    {
        return Err(ChangeError::NotFound(change.key.clone()));
    }
    let holds = match (change.precondition, present) {
        (Precondition::None, _) | (Precondition::Unstated, None) => true,
        (Precondition::Unstated, Some(present)) => {
            let key = change.key.clone();
            return Err(ChangeError::PreconditionRequired { key, present });
        }
        (Precondition::Absent, present) => present.is_none(),
        (Precondition::At(revision), present) => present == Some(revision),
        (Precondition::NotAfter(revision), Some(present)) => present <= revision,
        (Precondition::NotAfter(_), None) => true,
    };
    if holds {
        return Ok(());
    }
    Err(ChangeError::Conflict {
        key: change.key.clone(),
        present,
        resource: snapshot.configuration.get(&change.key).map(Box::new),
    })
}

fn check_not_referenced(after: &Configuration, change: &Change) -> Result<(), ChangeError> {
    if change.resource.is_some() {
        return Ok(());
    }
    let referrers = after.referrers(&change.key);
    if referrers.is_empty() {
        return Ok(());
    }
    let key = change.key.clone();
    Err(ChangeError::InUse { key, referrers })
}

/// Checks that a tenant's account changes only resources that belong to its tenant before and after
/// the change, and that it changes neither limits nor other tenants' pools through a policy.
fn check_scope(
    snapshot: &Snapshot,
    after: &Configuration,
    change: &Change,
    tenant: Option<&TenantName>,
) -> Result<(), ChangeError> {
    let Some(tenant) = tenant else { return Ok(()) };
    let before = &snapshot.configuration;
    let owns = |configuration: &Configuration, resource: &Resource| {
        configuration.owner(resource).as_ref() == Some(tenant)
    };
    let present = before.get(&change.key);
    let owned_before = present.is_none_or(|resource| owns(before, &resource));
    let owned_after = change
        .resource
        .as_ref()
        .is_none_or(|resource| owns(after, resource));
    let is_allowed = change.key.kind != ResourceKind::Tenant
        && owned_before
        && owned_after
        && policy_affects_only(after, change, tenant);
    if is_allowed {
        return Ok(());
    }
    Err(ChangeError::OutOfScope(change.key.clone()))
}

fn policy_affects_only(after: &Configuration, change: &Change, tenant: &TenantName) -> bool {
    let Some(Resource::Policy(policy)) = &change.resource else {
        return true;
    };
    let Ok(program) = tansyhall_policy::compile(&policy.source) else {
        return true;
    };
    let owns_pool = |name| {
        let pool = after.pools.get(name).cloned().map(Resource::Pool);
        pool.is_none_or(|pool| after.owner(&pool).as_ref() == Some(tenant))
    };
    program.tenants().is_empty() && program.pools().keys().all(owns_pool)
}
