//! Which model, version and adapters engines are to load. One load at a time, so that a pool never
//! loses more than one engine to loading:
//!
//! 1. an engine with another model, or a version that is not wanted, loads the wanted model in the
//!    first wanted version that no engine has yet, else in the usual one;
//! 2. a wanted version that no engine has takes an engine from the version with the most, as long
//!    as that keeps one;
//! 3. an engine that lacks a wanted adapter loads it, without a drain.
//!
//! A load whose engine crashes halfway is tried again; after [`MAX_FAILURES`] the rollout stops, and
//! engines stay as they are until the operators change what is wanted.

use std::collections::HashMap;

use tansyhall_core::{AdapterName, EngineName, Incarnation, ModelName, VersionName};

/// Failures after which a load is not tried again.
pub const MAX_FAILURES: u32 = 2;

/// What the operators want engines of a pool to have loaded.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DesiredLoads {
    /// The model.
    pub model: ModelName,
    /// Versions that engines may have, the usual one first; any if empty.
    pub versions: Vec<VersionName>,
    /// Adapters that every engine has.
    pub adapters: Vec<AdapterName>,
}

/// What an engine has loaded.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LoadedEngine {
    /// The engine.
    pub name: EngineName,
    /// Its model.
    pub model: ModelName,
    /// The model's version.
    pub version: VersionName,
    /// Its adapters.
    pub adapters: Vec<AdapterName>,
}

/// One thing to load.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Load {
    /// A model version, in place of what is loaded.
    Model {
        /// The model.
        model: ModelName,
        /// Its version.
        version: VersionName,
    },
    /// An adapter, beside what is loaded.
    Adapter(AdapterName),
}

/// A load to make.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlannedLoad {
    /// The engine.
    pub engine: EngineName,
    /// What it is to load.
    pub load: Load,
}

/// The next load that brings a pool nearer to what is wanted, if any.
pub fn plan_loads(engines: &[LoadedEngine], desired: &DesiredLoads) -> Option<PlannedLoad> {
    replace_unwanted(engines, desired)
        .or_else(|| introduce_version(engines, desired))
        .or_else(|| add_adapter(engines, desired))
}

fn is_wanted(engine: &LoadedEngine, desired: &DesiredLoads) -> bool {
    let version = desired.versions.is_empty() || desired.versions.contains(&engine.version);
    engine.model == desired.model && version
}

fn count(engines: &[LoadedEngine], desired: &DesiredLoads, version: &VersionName) -> usize {
    let has = |engine: &&LoadedEngine| engine.model == desired.model && engine.version == *version;
    engines.iter().filter(has).count()
}

fn missing<'a>(engines: &[LoadedEngine], desired: &'a DesiredLoads) -> Option<&'a VersionName> {
    let mut versions = desired.versions.iter();
    versions.find(|version| count(engines, desired, version) == 0)
}

fn load_version(
    engine: &LoadedEngine,
    desired: &DesiredLoads,
    version: VersionName,
) -> PlannedLoad {
    let model = desired.model.clone();
    PlannedLoad {
        engine: engine.name.clone(),
        load: Load::Model { model, version },
    }
}

fn replace_unwanted(engines: &[LoadedEngine], desired: &DesiredLoads) -> Option<PlannedLoad> {
    let engine = engines.iter().find(|engine| !is_wanted(engine, desired))?;
    let version = missing(engines, desired).or(desired.versions.first());
    let version = version.cloned().unwrap_or_else(|| engine.version.clone());
    Some(load_version(engine, desired, version))
}

fn introduce_version(engines: &[LoadedEngine], desired: &DesiredLoads) -> Option<PlannedLoad> {
    let missing = missing(engines, desired)?;
    let size = |engine: &&LoadedEngine| count(engines, desired, &engine.version);
    let donor = engines.iter().max_by_key(size)?;
    (size(&donor) > 1).then(|| load_version(donor, desired, missing.clone()))
}

fn add_adapter(engines: &[LoadedEngine], desired: &DesiredLoads) -> Option<PlannedLoad> {
    let lacks = |engine: &&LoadedEngine| {
        desired
            .adapters
            .iter()
            .find(|adapter| !engine.adapters.contains(adapter))
            .cloned()
    };
    let engine = engines.iter().find(|engine| lacks(engine).is_some())?;
    let load = Load::Adapter(lacks(&engine)?);
    Some(PlannedLoad {
        engine: engine.name.clone(),
        load,
    })
}

/// Remembers loads that failed, so that a rollout stops by itself.
#[derive(Debug, Clone, Default)]
pub struct RolloutGuard {
    under_way: Option<(PlannedLoad, Incarnation)>,
    failures: HashMap<Load, u32>,
}

impl RolloutGuard {
    /// Whether a load may be tried.
    pub fn allows(&self, load: &Load) -> bool {
        self.failures.get(load).copied().unwrap_or(0) < MAX_FAILURES
    }

    /// A load begins at an engine in this incarnation.
    pub fn begin(&mut self, planned: PlannedLoad, incarnation: Incarnation) {
        self.under_way = Some((planned, incarnation));
    }

    /// An engine was observed. Returns the load that has failed for good with this observation.
    pub fn observe(
        &mut self,
        engine: &EngineName,
        incarnation: Incarnation,
    ) -> Option<PlannedLoad> {
        let (planned, begun_in) = self.under_way.as_mut()?;
        if planned.engine != *engine || *begun_in == incarnation {
            return None;
        }
        *begun_in = incarnation;
        let failures = self.failures.entry(planned.load.clone()).or_default();
        *failures += 1;
        if *failures < MAX_FAILURES {
            return None;
        }
        self.under_way.take().map(|(planned, _)| planned)
    }

    /// The load under way has ended.
    pub fn ended(&mut self) {
        self.under_way = None;
    }

    /// The operators changed what is wanted: every load may be tried again.
    pub fn reset(&mut self) {
        *self = Self::default();
    }
}
