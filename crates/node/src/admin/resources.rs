//! Creation, reads, lists, changes and deletion of single resources. The entity tag of a resource is
//! the store's revision of its last change; a change that names an older one is answered with the
//! present resource.

use actix_web::http::header;
use actix_web::{web, HttpRequest, HttpResponse};
use serde::{Deserialize, Serialize};
use tansyhall_config::settings::OperatorRole;
use tansyhall_config::{Resource, ResourceKey, ResourceKind};
use tansyhall_store::Revision;
use utoipa::{IntoParams, ToSchema};

use super::access;
use super::changes::{make_changes, Answer, ChangeQuery, Store};
use super::error::{entity_tag, ApiError};
use crate::configuration::{Change, Precondition};
use crate::state::Node;

/// Which resources of a kind to list; every filter that is given must match.
#[derive(Debug, Clone, Default, Deserialize, IntoParams)]
#[serde(deny_unknown_fields, default)]
pub struct ListFilter {
    /// The name starts with this.
    pub prefix: Option<String>,
    /// The resource belongs to this tenant.
    pub tenant: Option<String>,
    /// Services: the site.
    pub site: Option<String>,
    /// Pools: the service.
    pub service: Option<String>,
    /// Pools: the zone.
    pub zone: Option<String>,
}

impl ListFilter {
    fn matches(&self, resource: &Resource, owner: Option<&str>) -> bool {
        let (site, service, zone) = match resource {
            Resource::Service(service) => (Some(service.site.as_str()), None, None),
            Resource::Pool(pool) => (None, Some(pool.service.as_str()), Some(pool.zone.as_str())),
            Resource::Tenant(_) | Resource::Policy(_) | Resource::Site(_) => (None, None, None),
        };
        let equals = |wanted: &Option<String>, found: Option<&str>| {
            wanted.is_none() || wanted.as_deref() == found
        };
        let prefix = self.prefix.as_deref().unwrap_or("");
        resource.key().name.starts_with(prefix)
            && equals(&self.tenant, owner)
            && equals(&self.site, site)
            && equals(&self.service, service)
            && equals(&self.zone, zone)
    }
}

/// Resources of one kind.
#[derive(Debug, Serialize, ToSchema)]
pub struct ResourceList {
    /// Revision of the configuration that they are read from.
    pub revision: u64,
    /// The resources, by name.
    pub items: Vec<Resource>,
}

fn parse_kind(name: &str) -> Result<ResourceKind, ApiError> {
    ResourceKind::parse(name).ok_or_else(|| ApiError::UnknownKind(name.to_owned()))
}

fn parse_key(path: &(String, String)) -> Result<ResourceKey, ApiError> {
    Ok(ResourceKey::new(parse_kind(&path.0)?, &path.1))
}

fn header_text(request: &HttpRequest, name: header::HeaderName) -> Option<&str> {
    let value = request.headers().get(name)?;
    value.to_str().ok()
}

fn parse_precondition(request: &HttpRequest) -> Result<Precondition, ApiError> {
    let if_none_match = header_text(request, header::IF_NONE_MATCH);
    let if_match = header_text(request, header::IF_MATCH);
    match (if_none_match, if_match) {
        (None, None) => Ok(Precondition::Unstated),
        (Some("*"), None) => Ok(Precondition::Absent),
        (None, Some(tag)) => {
            let revision = tag.trim_matches('"').parse();
            let at = revision.map(|revision| Precondition::At(Revision(revision)));
            at.map_err(|_| ApiError::Malformed("If-Match must hold one entity tag".into()))
        }
        _ => {
            let message = "give either If-Match with one entity tag or If-None-Match: *";
            Err(ApiError::Malformed(message.into()))
        }
    }
}

/// Lists what is in force at this node, as far as the account may see it.
#[utoipa::path(
    get, path = "/admin/v1/{kind}",
    params(("kind" = String, Path, description = "tenant, policy, site, service or pool"), ListFilter),
    responses((status = 200, body = ResourceList), (status = 404, body = super::error::ErrorBody)),
    security(("bearer" = []))
)]
pub async fn list(
    node: web::Data<Node>,
    request: HttpRequest,
    kind: web::Path<String>,
    filter: web::Query<ListFilter>,
) -> Answer {
    let account = access::authorize(&node.settings.operators, &request, OperatorRole::Viewer)?;
    let kind = parse_kind(&kind)?;
    let in_force = node.in_force.load();
    let configuration = &in_force.configuration;
    let mut items = configuration.list(kind);
    items.retain(|resource| {
        let owner = configuration.owner(resource);
        let owner = owner.as_ref().map(|tenant| tenant.as_str());
        access::can_see(account, configuration, resource) && filter.matches(resource, owner)
    });
    Ok(HttpResponse::Ok().json(ResourceList {
        revision: configuration.revision,
        items,
    }))
}

/// Reads one resource from the store, with its entity tag.
#[utoipa::path(
    get, path = "/admin/v1/{kind}/{name}",
    params(("kind" = String, Path), ("name" = String, Path)),
    responses((status = 200, body = Resource), (status = 404, body = super::error::ErrorBody)),
    security(("bearer" = []))
)]
pub async fn get(
    node: web::Data<Node>,
    store: Store,
    request: HttpRequest,
    path: web::Path<(String, String)>,
) -> Answer {
    let account = access::authorize(&node.settings.operators, &request, OperatorRole::Viewer)?;
    let key = parse_key(&path)?;
    let snapshot = store.read().await?;
    let resource = snapshot.configuration.get(&key);
    let visible =
        resource.filter(|resource| access::can_see(account, &snapshot.configuration, resource));
    match (visible, snapshot.revisions.get(&key)) {
        (Some(resource), Some(revision)) => Ok(HttpResponse::Ok()
            .insert_header(entity_tag(*revision))
            .json(resource)),
        _ => Err(ApiError::NotFound(key)),
    }
}

/// Creates a resource (`If-None-Match: *`) or replaces it (`If-Match`).
#[utoipa::path(
    put, path = "/admin/v1/{kind}/{name}",
    params(("kind" = String, Path), ("name" = String, Path), ChangeQuery),
    request_body = Resource,
    responses(
        (status = 200, body = super::changes::ChangeAnswer),
        (status = 412, description = "changed by somebody else", body = super::error::ErrorBody),
        (status = 422, description = "would not hold together", body = super::error::ErrorBody),
        (status = 428, description = "If-Match is missing", body = super::error::ErrorBody),
    ),
    security(("bearer" = []))
)]
pub async fn put(
    node: web::Data<Node>,
    store: Store,
    request: HttpRequest,
    path: web::Path<(String, String)>,
    query: web::Query<ChangeQuery>,
    body: web::Bytes,
) -> Answer {
    let account = access::authorize(&node.settings.operators, &request, OperatorRole::Operator)?;
    let key = parse_key(&path)?;
    let resource = Resource::from_json(key.kind, &body)
        .map_err(|error| ApiError::Malformed(error.to_string()))?;
    if resource.key() != key {
        let message = format!("the body names {}, the path {key}", resource.key());
        return Err(ApiError::Malformed(message));
    }
    let change = Change {
        key,
        resource: Some(resource),
        precondition: parse_precondition(&request)?,
    };
    make_changes(&node, &store, account, &query, vec![change]).await
}

/// Deletes a resource; refused while another one refers to it.
#[utoipa::path(
    delete, path = "/admin/v1/{kind}/{name}",
    params(("kind" = String, Path), ("name" = String, Path), ChangeQuery),
    responses(
        (status = 200, body = super::changes::ChangeAnswer),
        (status = 409, description = "in use", body = super::error::ErrorBody),
        (status = 412, description = "changed by somebody else", body = super::error::ErrorBody),
        (status = 428, description = "If-Match is missing", body = super::error::ErrorBody),
    ),
    security(("bearer" = []))
)]
pub async fn delete(
    node: web::Data<Node>,
    store: Store,
    request: HttpRequest,
    path: web::Path<(String, String)>,
    query: web::Query<ChangeQuery>,
) -> Answer {
    let account = access::authorize(&node.settings.operators, &request, OperatorRole::Operator)?;
    let key = parse_key(&path)?;
    let change = Change {
        key,
        resource: None,
        precondition: parse_precondition(&request)?,
    };
    make_changes(&node, &store, account, &query, vec![change]).await
}
