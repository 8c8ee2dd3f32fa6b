//! Create, read, list, change and delete resources. The entity tag of a resource is the store's
//! revision of its last change; a change that names an older one is answered with what is there.

use actix_web::http::header;
use actix_web::{web, HttpRequest, HttpResponse};
use serde_json::json;
use tansyhall_config::settings::OperatorRole;
use tansyhall_config::{Resource, ResourceFile, ResourceKey, ResourceKind};
use tansyhall_platform::{EtcdStore, Revision};

use super::access;
use super::error::{entity_tag, ApiError};
use crate::configuration::store::{Change, Precondition};
use crate::configuration::ConfigurationStore;
use crate::state::Node;

type Store = web::Data<ConfigurationStore<EtcdStore>>;
type Answer = Result<HttpResponse, ApiError>;

fn parse_kind(name: &str) -> Result<ResourceKind, ApiError> {
    ResourceKind::parse(name).ok_or_else(|| ApiError::UnknownKind(name.to_owned()))
}

fn parse_key(path: &(String, String)) -> Result<ResourceKey, ApiError> {
    let kind = parse_kind(&path.0)?;
    Ok(ResourceKey {
        kind,
        name: path.1.clone(),
    })
}

fn precondition(request: &HttpRequest) -> Result<Precondition, ApiError> {
    let text = |name| {
        request
            .headers()
            .get(name)
            .and_then(|value| value.to_str().ok())
    };
    if text(header::IF_NONE_MATCH) == Some("*") {
        return Ok(Precondition::Absent);
    }
    let Some(tag) = text(header::IF_MATCH) else {
        return Ok(Precondition::None);
    };
    let revision = tag.trim_matches('"').parse();
    let refused = |_| ApiError::Malformed("If-Match must hold one entity tag".into());
    revision
        .map(Revision)
        .map(Precondition::At)
        .map_err(refused)
}

/// `GET /admin/v1/{kind}`: what is in force at this node.
pub async fn list(node: web::Data<Node>, request: HttpRequest, kind: web::Path<String>) -> Answer {
    access::check(&node.settings.operators, &request, OperatorRole::Viewer)?;
    let kind = parse_kind(&kind)?;
    let in_force = node.in_force.load();
    let items = in_force.configuration.list(kind);
    let revision = in_force.configuration.revision;
    Ok(HttpResponse::Ok().json(json!({ "revision": revision, "items": items })))
}

/// `GET /admin/v1/{kind}/{name}`, read from the store.
pub async fn get(
    node: web::Data<Node>,
    store: Store,
    request: HttpRequest,
    path: web::Path<(String, String)>,
) -> Answer {
    access::check(&node.settings.operators, &request, OperatorRole::Viewer)?;
    let key = parse_key(&path)?;
    let snapshot = store.read().await?;
    match (
        snapshot.configuration.get(&key),
        snapshot.revisions.get(&key),
    ) {
        (Some(resource), Some(revision)) => Ok(HttpResponse::Ok()
            .insert_header(entity_tag(*revision))
            .json(resource)),
        _ => Err(ApiError::NotFound(key)),
    }
}

/// `PUT /admin/v1/{kind}/{name}`
pub async fn put(
    node: web::Data<Node>,
    store: Store,
    request: HttpRequest,
    path: web::Path<(String, String)>,
    body: web::Bytes,
) -> Answer {
    let key = parse_key(&path)?;
    let resource = Resource::from_json(key.kind, &body)
        .map_err(|fault| ApiError::Malformed(fault.to_string()))?;
    if resource.key() != key {
        let message = format!("the body names {}, the path {key}", resource.key());
        return Err(ApiError::Malformed(message));
    }
    let precondition = precondition(&request)?;
    let change = Change {
        key,
        resource: Some(resource),
        precondition,
    };
    make(&node, &store, &request, vec![change]).await
}

/// `DELETE /admin/v1/{kind}/{name}`; refused while another resource refers to it.
pub async fn delete(
    node: web::Data<Node>,
    store: Store,
    request: HttpRequest,
    path: web::Path<(String, String)>,
) -> Answer {
    let key = parse_key(&path)?;
    let precondition = precondition(&request)?;
    let change = Change {
        key,
        resource: None,
        precondition,
    };
    make(&node, &store, &request, vec![change]).await
}

/// `POST /admin/v1/apply`: a TOML resource file; every resource is created or replaced at one
/// revision, or none is.
pub async fn apply(
    node: web::Data<Node>,
    store: Store,
    request: HttpRequest,
    body: String,
) -> Answer {
    let file =
        ResourceFile::parse(&body).map_err(|fault| ApiError::Malformed(fault.to_string()))?;
    let changes = file.into_resources().into_iter().map(|resource| Change {
        key: resource.key(),
        resource: Some(resource),
        precondition: Precondition::None,
    });
    make(&node, &store, &request, changes.collect()).await
}

async fn make(node: &Node, store: &Store, request: &HttpRequest, changes: Vec<Change>) -> Answer {
    let account = access::check(&node.settings.operators, request, OperatorRole::Operator)?;
    if request.query_string() == "dry-run" {
        store.dry_run(&changes).await?;
        return Ok(HttpResponse::Ok().json(json!({ "dry_run": true })));
    }
    let change_id = format!("{}-{:032x}", account.name, rand::random::<u128>());
    let revision = store.change(&change_id, &changes).await?;
    let body = json!({ "revision": revision });
    Ok(HttpResponse::Ok()
        .insert_header(entity_tag(revision))
        .json(body))
}
