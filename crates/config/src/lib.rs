//! Operator resources and node settings: types, defaults and validation. A configuration is
//! accepted or refused as a whole, so that what is in force always holds together.

#![forbid(unsafe_code)]

pub mod configuration;
pub mod file;
pub mod resource;
pub mod routing;
pub mod settings;

pub use configuration::{Configuration, ConfigurationError, Problem};
pub use file::ResourceFile;
pub use resource::{
    Backend, Policy, Pool, Resource, ResourceKey, ResourceKind, RoleBounds, Service, ServiceKind,
    Site,
};
pub use routing::RoutingSettings;
pub use settings::{NodeSettings, SettingsError};
