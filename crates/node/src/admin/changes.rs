//! Changes through the administration API: whole files, dry runs, and the audit trail.

use actix_web::{web, HttpRequest, HttpResponse};
use serde::{Deserialize, Serialize};
use tansyhall_config::settings::{OperatorAccount, OperatorRole};
use tansyhall_config::{Resource, ResourceFile, ResourceKey};
use tansyhall_store::{EtcdStore, Revision};
use utoipa::{IntoParams, ToSchema};

use super::access;
use super::error::{entity_tag, ApiError};
use crate::configuration::{
    Change, ChangeError, ChangeRecord, ConfigurationStore, Effect, Precondition,
};
use crate::state::Node;

/// The configuration in the platform's store.
pub type Store = web::Data<ConfigurationStore<EtcdStore>>;
/// The answer of a handler of the administration API.
pub type Answer = Result<HttpResponse, ApiError>;

/// File name that error messages give for the request body.
const BODY_FILE_NAME: &str = "body";

/// How a change is made.
#[derive(Debug, Clone, Default, Deserialize, IntoParams)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct ChangeQuery {
    /// Checks the change and makes nothing.
    pub dry_run: Option<String>,
    /// For whole files: no resource of the file may have changed after this revision.
    pub expected_revision: Option<u64>,
}

/// What came of a change.
#[derive(Debug, Serialize, ToSchema)]
pub struct ChangeAnswer {
    /// The revision of the change; null if its answer was lost and another change came after it.
    pub revision: Option<u64>,
    /// Resources written or deleted.
    pub changed: usize,
    /// Whether the store's answer was lost and the change was found by reading it back.
    pub read_back: bool,
}

/// What a change would do.
#[derive(Debug, Serialize, ToSchema)]
pub struct DryRunAnswer {
    /// Always true.
    pub dry_run: bool,
    /// The effect on each resource, in the order of the request.
    pub effects: Vec<ResourceEffect>,
}

/// What a change would do to one resource.
#[derive(Debug, Serialize, ToSchema)]
pub struct ResourceEffect {
    /// The resource.
    pub resource: ResourceKey,
    /// What would happen to it.
    pub effect: Effect,
}

/// The whole configuration, as far as the account may see it.
#[derive(Debug, Serialize, ToSchema)]
pub struct ConfigurationAnswer {
    /// The store's revision of the last change.
    pub revision: u64,
    /// Every resource.
    pub items: Vec<VersionedResource>,
}

/// A resource with its revision.
#[derive(Debug, Serialize, ToSchema)]
pub struct VersionedResource {
    /// The store's revision of its last change; its entity tag.
    pub revision: u64,
    /// The resource.
    pub resource: Resource,
}

/// Recent changes.
#[derive(Debug, Serialize, ToSchema)]
pub struct AuditAnswer {
    /// The changes, the last one first.
    pub entries: Vec<ChangeRecord>,
}

/// Applies a TOML resource file: every resource is created or replaced at one revision, or none is.
#[utoipa::path(
    post, path = "/admin/v1/apply",
    params(ChangeQuery),
    request_body(content = String, content_type = "application/toml"),
    responses(
        (status = 200, body = ChangeAnswer),
        (status = 412, description = "changed by somebody else", body = super::error::ErrorBody),
        (status = 422, description = "would not hold together", body = super::error::ErrorBody),
    ),
    security(("bearer" = []))
)]
pub async fn apply(
    node: web::Data<Node>,
    store: Store,
    request: HttpRequest,
    query: web::Query<ChangeQuery>,
    body: String,
) -> Answer {
    let account = access::authorize(&node.settings.operators, &request, OperatorRole::Operator)?;
    let file = ResourceFile::parse(&body)
        .map_err(|error| ApiError::Malformed(error.render(BODY_FILE_NAME, &body)))?;
    let expected = query.expected_revision.map(Revision);
    let changes = file.into_resources().into_iter().map(|resource| Change {
        key: resource.key(),
        resource: Some(resource),
        precondition: expected.map_or(Precondition::None, Precondition::NotAfter),
    });
    make_changes(&node, &store, account, &query, changes.collect()).await
}

/// Makes changes, or only checks them if the query asks for a dry run.
pub(super) async fn make_changes(
    node: &Node,
    store: &Store,
    account: &OperatorAccount,
    query: &ChangeQuery,
    changes: Vec<Change>,
) -> Answer {
    let author = access::author(account);
    if query.dry_run.is_some() {
        let effects = store.dry_run(&author, &changes).await?;
        let effects = changes
            .into_iter()
            .zip(effects)
            .map(|(change, effect)| ResourceEffect {
                resource: change.key,
                effect,
            });
        return Ok(HttpResponse::Ok().json(DryRunAnswer {
            dry_run: true,
            effects: effects.collect(),
        }));
    }
    let held_revision = node.held_configuration.lock().revision();
    let outcome = store.change(&author, &changes, held_revision).await;
    count_change(node, outcome.as_ref().map(|_| ()));
    let committed = outcome?;
    if committed.changed > 0 {
        log::info!(
            "account {} changed {} resources at revision {:?}",
            account.name,
            committed.changed,
            committed.revision.map(|revision| revision.0)
        );
    }
    let mut response = HttpResponse::Ok();
    if let Some(revision) = committed.revision {
        response.insert_header(entity_tag(revision));
    }
    Ok(response.json(ChangeAnswer {
        revision: committed.revision.map(|revision| revision.0),
        changed: committed.changed,
        read_back: committed.read_back,
    }))
}

fn count_change(node: &Node, outcome: Result<(), &ChangeError>) {
    let label = match outcome {
        Ok(()) => "accepted",
        Err(ChangeError::Conflict { .. }) => "conflict",
        Err(ChangeError::Unknown(_)) => "unknown",
        Err(ChangeError::NotApplied(_) | ChangeError::Contended) => "unavailable",
        Err(_) => "refused",
    };
    node.metrics.changes.with_label_values(&[label]).inc();
}

/// Reads the whole configuration from the store, as far as the account may see it.
#[utoipa::path(
    get, path = "/admin/v1/configuration",
    responses((status = 200, body = ConfigurationAnswer)),
    security(("bearer" = []))
)]
pub async fn configuration(node: web::Data<Node>, store: Store, request: HttpRequest) -> Answer {
    let account = access::authorize(&node.settings.operators, &request, OperatorRole::Viewer)?;
    let snapshot = store.read().await?;
    let configuration = &snapshot.configuration;
    let resources = configuration.keys().filter_map(|key| {
        let resource = configuration.get(&key)?;
        let revision = snapshot.revisions.get(&key)?.0;
        let visible = access::can_see(account, configuration, &resource);
        visible.then_some(VersionedResource { revision, resource })
    });
    Ok(HttpResponse::Ok().json(ConfigurationAnswer {
        revision: snapshot.store_revision().0,
        items: resources.collect(),
    }))
}

/// Lists recent changes: who, when, what; a tenant's account sees those of its tenant.
#[utoipa::path(
    get, path = "/admin/v1/audit",
    responses((status = 200, body = AuditAnswer)),
    security(("bearer" = []))
)]
pub async fn audit(node: web::Data<Node>, store: Store, request: HttpRequest) -> Answer {
    let account = access::authorize(&node.settings.operators, &request, OperatorRole::Viewer)?;
    let snapshot = store.read().await?;
    let visible =
        |record: &&ChangeRecord| account.tenant.is_none() || record.tenant == account.tenant;
    let records = snapshot.records().iter().rev().filter(visible);
    Ok(HttpResponse::Ok().json(AuditAnswer {
        entries: records.cloned().collect(),
    }))
}
