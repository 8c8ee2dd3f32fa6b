//! The configuration in force at this node, with its policies compiled.

use std::sync::Arc;

use tansyhall_config::{Configuration, ConfigurationError, Pool, Programs, Service, ServiceKind};
use tansyhall_core::{ModelName, ServiceName, TenantName};
use tansyhall_policy::{PoolBounds, Program, TenantLimits};

/// A validated configuration with its compiled policies, by which requests are routed.
#[derive(Debug, Clone, Default)]
pub struct ConfigurationInForce {
    /// The resources.
    pub configuration: Configuration,
    programs: Programs,
    default_program: Arc<Program>,
}

impl ConfigurationInForce {
    /// Validates and compiles a configuration.
    pub fn new(configuration: Configuration) -> Result<Self, ConfigurationError> {
        let programs = configuration.compile()?;
        Ok(Self {
            configuration,
            programs,
            default_program: Arc::default(),
        })
    }

    /// Returns the program that classifies a service's requests.
    pub fn program(&self, service: &ServiceName) -> Arc<Program> {
        let service = self.configuration.services.get(service);
        let policy = service.and_then(|service| service.policy.as_ref());
        let program = policy.and_then(|policy| self.programs.get(policy));
        Arc::clone(program.unwrap_or(&self.default_program))
    }

    /// Returns the limits of a tenant for requests of a service. Each limit comes from the service's
    /// policy, or else from the tenant's resource.
    pub fn tenant_limits(&self, service: &ServiceName, tenant: &TenantName) -> TenantLimits {
        let own = self.configuration.tenants.get(tenant);
        let own = own.map(|tenant| tenant.limits).unwrap_or_default();
        let program = self.program(service);
        let policy = program.tenants().get(tenant).copied().unwrap_or_default();
        TenantLimits {
            requests_per_second: policy.requests_per_second.or(own.requests_per_second),
            tokens_per_second: policy.tokens_per_second.or(own.tokens_per_second),
            concurrent: policy.concurrent.or(own.concurrent),
        }
    }

    /// Returns the bounds that the policy of a pool's service sets for the pool, in addition to those
    /// of the pool's resource.
    pub fn pool_bounds(&self, pool: &Pool) -> PoolBounds {
        let program = self.program(&pool.service);
        program.pools().get(&pool.name).cloned().unwrap_or_default()
    }

    /// Returns the pools that load a model.
    pub fn pools_of_model<'a>(&'a self, model: &'a ModelName) -> impl Iterator<Item = &'a Pool> {
        self.configuration
            .pools
            .values()
            .filter(move |pool| pool.model.as_ref() == Some(model))
    }

    /// Returns the pools of a service.
    pub fn pools_of_service<'a>(
        &'a self,
        service: &'a ServiceName,
    ) -> impl Iterator<Item = &'a Pool> {
        self.configuration
            .pools
            .values()
            .filter(move |pool| pool.service == *service)
    }

    /// Returns the application with the longest path prefix that `path` starts with.
    pub fn application(&self, path: &str) -> Option<&Service> {
        let matches = |service: &&Service| {
            service.kind == ServiceKind::Application
                && service
                    .path_prefix
                    .as_ref()
                    .is_some_and(|prefix| path.starts_with(prefix))
        };
        let length = |service: &&Service| service.path_prefix.as_ref().map_or(0, String::len);
        self.configuration
            .services
            .values()
            .filter(matches)
            .max_by_key(length)
    }
}
