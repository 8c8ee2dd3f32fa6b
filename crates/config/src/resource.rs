//! The resources that operators create and change.

use std::fmt;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use tansyhall_core::{
    AdapterName, EngineName, ModelName, PolicyName, PoolName, Role, ServiceName, SiteName,
    TenantName, VersionName, ZoneName,
};
use tansyhall_policy::TenantLimits;
use utoipa::ToSchema;

/// A tenant: a team that shares the fleet with others.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, ToSchema)]
#[serde(deny_unknown_fields)]
pub struct Tenant {
    /// The tenant's name.
    #[schema(value_type = String)]
    pub name: TenantName,
    /// Who answers for it, such as a person or a mail address.
    pub owner: String,
    /// What it may use.
    #[serde(default)]
    #[schema(value_type = Object)]
    pub limits: TenantLimits,
}

/// A site: a place with its zones.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, ToSchema)]
#[serde(deny_unknown_fields)]
pub struct Site {
    /// The site's name.
    #[schema(value_type = String)]
    pub name: SiteName,
    /// The region it belongs to.
    pub region: String,
    /// Its zones.
    #[schema(value_type = Vec<String>)]
    pub zones: Vec<ZoneName>,
}

/// What a service offers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, ToSchema)]
#[serde(rename_all = "kebab-case")]
pub enum ServiceKind {
    /// Completions by model engines.
    LanguageModel,
    /// Plain HTTP by application workers.
    Application,
}

/// A service that callers address.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, ToSchema)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// The service's name.
    #[schema(value_type = String)]
    pub name: ServiceName,
    /// The site that offers it.
    #[schema(value_type = String)]
    pub site: SiteName,
    /// What it offers.
    pub kind: ServiceKind,
    /// The policy that classifies its requests.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[schema(value_type = Option<String>)]
    pub policy: Option<PolicyName>,
    /// The tenant that owns it; absent if it belongs to the fleet's operators.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[schema(value_type = Option<String>)]
    pub tenant: Option<TenantName>,
    /// For applications: the path prefix that callers use.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub path_prefix: Option<String>,
}

/// One engine or application worker of a pool.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, ToSchema)]
#[serde(deny_unknown_fields)]
pub struct Backend {
    /// The back end's name, unique over all pools.
    #[schema(value_type = String)]
    pub name: EngineName,
    /// Where it is reached.
    #[schema(value_type = String)]
    pub address: SocketAddr,
}

/// How many engines of a pool may play a role.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, ToSchema)]
#[serde(deny_unknown_fields)]
pub struct RoleBounds {
    /// The role.
    #[schema(value_type = String)]
    pub role: Role,
    /// At least this many.
    #[serde(default)]
    pub least: u32,
    /// At most this many; no bound if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub most: Option<u32>,
}

/// Back ends of one service in one zone.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, ToSchema)]
#[serde(deny_unknown_fields)]
pub struct Pool {
    /// The pool's name.
    #[schema(value_type = String)]
    pub name: PoolName,
    /// The service it serves.
    #[schema(value_type = String)]
    pub service: ServiceName,
    /// The zone it stands in.
    #[schema(value_type = String)]
    pub zone: ZoneName,
    /// Its back ends.
    pub backends: Vec<Backend>,
    /// The model its engines load; required for language-model services.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[schema(value_type = Option<String>)]
    pub model: Option<ModelName>,
    /// Versions of the model that its engines may load, the usual one first; any if empty.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    #[schema(value_type = Vec<String>)]
    pub versions: Vec<VersionName>,
    /// Adapters that its engines may load beside the model.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    #[schema(value_type = Vec<String>)]
    pub adapters: Vec<AdapterName>,
    /// Bounds on roles; roles without a bound are the planner's choice.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub roles: Vec<RoleBounds>,
}

/// A policy program.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, ToSchema)]
#[serde(deny_unknown_fields)]
pub struct Policy {
    /// The policy's name.
    #[schema(value_type = String)]
    pub name: PolicyName,
    /// The program's text.
    pub source: String,
    /// The tenant that owns it; absent if it belongs to the fleet's operators.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[schema(value_type = Option<String>)]
    pub tenant: Option<TenantName>,
}

/// The kinds of resource.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize, ToSchema,
)]
#[serde(rename_all = "kebab-case")]
pub enum ResourceKind {
    /// [`Tenant`]
    Tenant,
    /// [`Policy`]
    Policy,
    /// [`Site`]
    Site,
    /// [`Service`]
    Service,
    /// [`Pool`]
    Pool,
}

impl ResourceKind {
    /// All kinds, ordered so that each one follows the kinds that its fields refer to.
    pub const ALL: [ResourceKind; 5] = [
        ResourceKind::Tenant,
        ResourceKind::Policy,
        ResourceKind::Site,
        ResourceKind::Service,
        ResourceKind::Pool,
    ];

    /// Returns the kind's name in API paths and store keys.
    pub const fn name(self) -> &'static str {
        match self {
            ResourceKind::Tenant => "tenant",
            ResourceKind::Policy => "policy",
            ResourceKind::Site => "site",
            ResourceKind::Service => "service",
            ResourceKind::Pool => "pool",
        }
    }

    /// Returns the kind with this name, or `None` if there is none.
    pub fn parse(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|kind| kind.name() == name)
    }
}

/// Names one resource.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize, ToSchema)]
pub struct ResourceKey {
    /// Its kind.
    pub kind: ResourceKind,
    /// Its name.
    pub name: String,
}

impl ResourceKey {
    /// Creates a key from a kind and a name.
    pub fn new(kind: ResourceKind, name: &str) -> Self {
        Self {
            kind,
            name: name.to_owned(),
        }
    }
}

impl fmt::Display for ResourceKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.kind.name(), self.name)
    }
}

/// Any resource. The tag is `type`, since a service has a `kind` of its own.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, ToSchema)]
#[serde(tag = "type", rename_all = "kebab-case")]
pub enum Resource {
    /// A tenant.
    Tenant(Tenant),
    /// A policy.
    Policy(Policy),
    /// A site.
    Site(Site),
    /// A service.
    Service(Service),
    /// A pool.
    Pool(Pool),
}

impl Resource {
    /// Returns the resource's key.
    pub fn key(&self) -> ResourceKey {
        let (kind, name) = match self {
            Resource::Tenant(tenant) => (ResourceKind::Tenant, tenant.name.as_str()),
            Resource::Policy(policy) => (ResourceKind::Policy, policy.name.as_str()),
            Resource::Site(site) => (ResourceKind::Site, site.name.as_str()),
            Resource::Service(service) => (ResourceKind::Service, service.name.as_str()),
            Resource::Pool(pool) => (ResourceKind::Pool, pool.name.as_str()),
        };
        ResourceKey::new(kind, name)
    }

    /// Decodes a resource of a known kind from JSON; the body does not contain the kind.
    pub fn from_json(kind: ResourceKind, body: &[u8]) -> Result<Self, serde_json::Error> {
        Ok(match kind {
            ResourceKind::Tenant => Resource::Tenant(serde_json::from_slice(body)?),
            ResourceKind::Policy => Resource::Policy(serde_json::from_slice(body)?),
            ResourceKind::Site => Resource::Site(serde_json::from_slice(body)?),
            ResourceKind::Service => Resource::Service(serde_json::from_slice(body)?),
            ResourceKind::Pool => Resource::Pool(serde_json::from_slice(body)?),
        })
    }

    /// Encodes the resource as JSON without its kind.
    pub fn to_json(&self) -> Result<Vec<u8>, serde_json::Error> {
        match self {
            Resource::Tenant(tenant) => serde_json::to_vec(tenant),
            Resource::Policy(policy) => serde_json::to_vec(policy),
            Resource::Site(site) => serde_json::to_vec(site),
            Resource::Service(service) => serde_json::to_vec(service),
            Resource::Pool(pool) => serde_json::to_vec(pool),
        }
    }
}
