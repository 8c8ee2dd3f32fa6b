//! The configuration in force at this node, with its policies compiled.

use std::sync::Arc;

use tansyhall_config::{Configuration, ConfigurationError, Pool, Programs, Service, ServiceKind};
use tansyhall_core::{ModelName, ServiceName};
use tansyhall_policy::Program;

/// A validated configuration, ready to route by.
#[derive(Debug, Clone, Default)]
pub struct InForce {
    /// The resources.
    pub configuration: Configuration,
    programs: Programs,
    fallback: Arc<Program>,
}

impl InForce {
    /// Validates and compiles a configuration.
    pub fn new(configuration: Configuration) -> Result<Self, ConfigurationError> {
        let programs = configuration.compile()?;
        Ok(Self {
            configuration,
            programs,
            fallback: Arc::default(),
        })
    }

    /// The program that classifies a service's requests.
    pub fn program(&self, service: &ServiceName) -> Arc<Program> {
        let service = self.configuration.services.get(service);
        let policy = service.and_then(|service| service.policy.as_ref());
        let program = policy.and_then(|policy| self.programs.get(policy));
        Arc::clone(program.unwrap_or(&self.fallback))
    }

    /// Pools that load a model.
    pub fn pools_of_model<'a>(&'a self, model: &'a ModelName) -> impl Iterator<Item = &'a Pool> {
        self.configuration
            .pools
            .values()
            .filter(move |pool| pool.model.as_ref() == Some(model))
    }

    /// Pools of a service.
    pub fn pools_of_service<'a>(
        &'a self,
        service: &'a ServiceName,
    ) -> impl Iterator<Item = &'a Pool> {
        self.configuration
            .pools
            .values()
            .filter(move |pool| pool.service == *service)
    }

    /// The application whose path prefix is the longest that `path` starts with.
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
