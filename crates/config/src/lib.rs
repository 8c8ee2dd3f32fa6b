//! Operator resources and node settings: types, defaults and validation. A configuration is
//! accepted or rejected as a whole, so that the configuration in use is always consistent.

#![forbid(unsafe_code)]

pub mod configuration;
pub mod file;
pub mod problem;
pub mod resource;
pub mod routing;
pub mod settings;
pub mod syntax;
pub mod validation;

pub use configuration::Configuration;
pub use file::ResourceFile;
pub use problem::{ConfigurationError, Problem};
pub use resource::{
    Backend, Policy, Pool, Resource, ResourceKey, ResourceKind, RoleBounds, Service, ServiceKind,
    Site, Tenant,
};
pub use routing::RoutingSettings;
pub use settings::{NodeSettings, SettingsError};
pub use syntax::locate;
pub use validation::Programs;
