//! The status of a node: desired and observed state of its pools, and the revisions in force here and
//! at other nodes.

use std::collections::BTreeMap;

use actix_web::{web, HttpRequest, HttpResponse};
use serde::Serialize;
use tansyhall_config::settings::{OperatorAccount, OperatorRole};
use tansyhall_config::{Pool, Resource, RoleBounds};
use tansyhall_core::Role;
use tansyhall_engine::protocol::EngineState;
use utoipa::ToSchema;

use super::access;
use super::changes::Answer;
use crate::configuration::ConfigurationInForce;
use crate::peers::{MemberStatus, ZoneStatus};
use crate::state::{EngineStatus, Node};

/// What this node has in force and observes.
#[derive(Debug, Serialize, ToSchema)]
pub struct Status {
    /// The node's name.
    pub node: String,
    /// Its zone.
    pub zone: String,
    /// The revision in force here.
    pub configuration_revision: u64,
    /// Milliseconds since the configuration in force was last confirmed as the newest; absent
    /// before the first time.
    pub configuration_seen_millis_ago: Option<u64>,
    /// Whether a planned stop has begun.
    pub stopping: bool,
    /// Nodes of this node's zone, itself included, as this one sees them.
    #[schema(value_type = Vec<Object>)]
    pub members: Vec<MemberStatus>,
    /// Other zones, as last heard.
    #[schema(value_type = Vec<Object>)]
    pub zones: Vec<ZoneStatus>,
    /// Pools, desired and observed.
    pub pools: Vec<PoolStatus>,
    /// Engines, as last observed by this node.
    #[schema(value_type = Vec<Object>)]
    pub engines: Vec<EngineState>,
}

/// One pool, desired and observed.
#[derive(Debug, Serialize, ToSchema)]
pub struct PoolStatus {
    /// The pool's name.
    pub pool: String,
    /// Its service.
    pub service: String,
    /// Its zone.
    pub zone: String,
    /// Desired: the model.
    pub model: Option<String>,
    /// Desired: bounds on roles.
    pub bounds: Vec<RoleBounds>,
    /// Back ends that belong to it.
    pub backends: usize,
    /// Back ends of which this node has observed no state.
    pub unobserved: usize,
    /// Observed: engines in each role.
    pub roles: BTreeMap<&'static str, usize>,
    /// Observed: engines that are draining.
    pub draining: usize,
    /// Observed: engines that load another model than the desired one.
    pub other_model: usize,
    /// Whether what is observed meets what is desired.
    pub settled: bool,
}

impl PoolStatus {
    fn new(pool: &Pool, engines: &[&EngineState]) -> Self {
        let count = |role: Role| engines.iter().filter(|state| state.role == role).count();
        let roles = Role::ALL.map(|role| (role.name(), count(role)));
        let has_other_model = |state: &&&EngineState| Some(&state.model) != pool.model.as_ref();
        let draining = engines.iter().filter(|state| state.draining).count();
        let other_model = engines.iter().filter(has_other_model).count();
        let is_within = |bounds: &RoleBounds| {
            let found = count(bounds.role) as u64;
            let max_engines = bounds.most.map_or(u64::MAX, u64::from);
            (u64::from(bounds.least)..=max_engines).contains(&found)
        };
        let is_settled = pool.roles.iter().all(is_within) && draining == 0 && other_model == 0;
        Self {
            pool: pool.name.to_string(),
            service: pool.service.to_string(),
            zone: pool.zone.to_string(),
            model: pool.model.as_ref().map(ToString::to_string),
            bounds: pool.roles.clone(),
            backends: pool.backends.len(),
            unobserved: pool.backends.len().saturating_sub(engines.len()),
            roles: roles.into_iter().collect(),
            draining,
            other_model,
            settled: is_settled,
        }
    }
}

/// Reads what this node has in force and observes.
#[utoipa::path(
    get, path = "/admin/v1/status",
    responses((status = 200, body = Status)),
    security(("bearer" = []))
)]
pub async fn status(node: web::Data<Node>, request: HttpRequest) -> Answer {
    let account = access::authorize(&node.settings.operators, &request, OperatorRole::Viewer)?;
    let in_force = node.in_force.load();
    let pools = visible_pools(account, &in_force);
    let (pools, engines) = node.with_engines(|engines| {
        let state_of = |name| {
            engines
                .get(name)
                .and_then(|status: &EngineStatus| status.state.as_ref())
        };
        let mut statuses = Vec::new();
        let mut states = Vec::new();
        for pool in pools {
            let backends = pool.backends.iter();
            let observed: Vec<_> = backends
                .filter_map(|backend| state_of(&backend.name))
                .collect();
            statuses.push(PoolStatus::new(pool, &observed));
            states.extend(observed.into_iter().cloned());
        }
        (statuses, states)
    });
    let peers = node.peers.snapshot();
    Ok(HttpResponse::Ok().json(Status {
        node: node.settings.name.to_string(),
        zone: node.settings.zone.to_string(),
        configuration_revision: in_force.configuration.revision,
        configuration_seen_millis_ago: node.metrics.peers.staleness_millis(),
        stopping: node.is_stopping(),
        members: peers.members.clone(),
        zones: peers.zones.clone(),
        pools,
        engines,
    }))
}

fn visible_pools<'a>(
    account: &OperatorAccount,
    in_force: &'a ConfigurationInForce,
) -> Vec<&'a Pool> {
    let configuration = &in_force.configuration;
    let pools = configuration.pools.values();
    let is_visible = |pool: &&Pool| {
        let resource = Resource::Pool((*pool).clone());
        account.tenant.is_none() || access::can_see(account, configuration, &resource)
    };
    pools.filter(is_visible).collect()
}
