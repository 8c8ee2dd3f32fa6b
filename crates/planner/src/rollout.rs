//! Plans which model, version and adapters the engines load. There is one load at a time, so that a pool
//! never has more than one engine unavailable because of loading:
//!
//! 1. An engine with another model or an unwanted version loads the desired model, in the first desired
//!    version that no engine has yet, or else in the default version.
//! 2. A desired version that no engine has is loaded on an engine of the most frequent version, provided
//!    that this version keeps at least one engine.
//! 3. An engine that lacks a desired adapter loads it without being drained.
//!
//! A load during which the engine crashes is retried. After [`MAX_FAILURES`] failures the rollout stops, and
//! the engines stay unchanged until the operators change the desired state.

use std::collections::HashMap;

use tansyhall_core::{AdapterName, EngineName, Incarnation, ModelName, VersionName};

/// Number of failures after which a load is not retried.
pub const MAX_FAILURES: u32 = 2;

/// What the engines of a pool should have loaded, as configured by the operators.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DesiredLoads {
    /// Desired model.
    pub model: ModelName,
    /// Versions that engines may have, the default version first. Empty if any version is allowed.
    pub versions: Vec<VersionName>,
    /// Adapters that every engine should have.
    pub adapters: Vec<AdapterName>,
}

/// What an engine has loaded.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LoadedEngine {
    /// Name of the engine.
    pub name: EngineName,
    /// Loaded model.
    pub model: ModelName,
    /// Version of the loaded model.
    pub version: VersionName,
    /// Loaded adapters.
    pub adapters: Vec<AdapterName>,
}

/// A model version or an adapter to load.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Load {
    /// A model version that replaces the loaded model and its adapters.
    Model {
        /// Name of the model.
        model: ModelName,
        /// Version of the model.
        version: VersionName,
    },
    /// An adapter that is loaded in addition.
    Adapter(AdapterName),
}

/// A load to carry out on an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlannedLoad {
    /// Engine that loads.
    pub engine: EngineName,
    /// What to load.
    pub load: Load,
}

/// Returns the next load towards the desired state, or `None` if the pool has reached it or no engine can be
/// spared.
pub fn plan_loads(engines: &[LoadedEngine], desired: &DesiredLoads) -> Option<PlannedLoad> {
    replace_unwanted(engines, desired)
        .or_else(|| introduce_version(engines, desired))
        .or_else(|| add_adapter(engines, desired))
}

fn is_wanted(engine: &LoadedEngine, desired: &DesiredLoads) -> bool {
    let is_version_wanted =
        desired.versions.is_empty() || desired.versions.contains(&engine.version);
    engine.model == desired.model && is_version_wanted
}

fn count_engines(engines: &[LoadedEngine], desired: &DesiredLoads, version: &VersionName) -> usize {
    let matches =
        |engine: &&LoadedEngine| engine.model == desired.model && engine.version == *version;
    engines.iter().filter(matches).count()
}

fn missing_version<'a>(
    engines: &[LoadedEngine],
    desired: &'a DesiredLoads,
) -> Option<&'a VersionName> {
    let mut versions = desired.versions.iter();
    versions.find(|version| count_engines(engines, desired, version) == 0)
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
    let version = missing_version(engines, desired).or(desired.versions.first());
    let version = version.cloned().unwrap_or_else(|| engine.version.clone());
    Some(load_version(engine, desired, version))
}

fn introduce_version(engines: &[LoadedEngine], desired: &DesiredLoads) -> Option<PlannedLoad> {
    let version = missing_version(engines, desired)?;
    let engines_with_same_version =
        |engine: &&LoadedEngine| count_engines(engines, desired, &engine.version);
    let donor = engines.iter().max_by_key(engines_with_same_version)?;
    (engines_with_same_version(&donor) > 1).then(|| load_version(donor, desired, version.clone()))
}

fn add_adapter(engines: &[LoadedEngine], desired: &DesiredLoads) -> Option<PlannedLoad> {
    let missing_adapter = |engine: &&LoadedEngine| {
        desired
            .adapters
            .iter()
            .find(|adapter| !engine.adapters.contains(adapter))
            .cloned()
    };
    let engine = engines
        .iter()
        .find(|engine| missing_adapter(engine).is_some())?;
    let load = Load::Adapter(missing_adapter(&engine)?);
    Some(PlannedLoad {
        engine: engine.name.clone(),
        load,
    })
}

/// Counts failed loads and stops a rollout after repeated failures.
#[derive(Debug, Clone, Default)]
pub struct RolloutGuard {
    in_progress: Option<(PlannedLoad, Incarnation)>,
    failures: HashMap<Load, u32>,
}

impl RolloutGuard {
    /// Returns whether a load may be attempted.
    pub fn allows(&self, load: &Load) -> bool {
        self.failures.get(load).copied().unwrap_or(0) < MAX_FAILURES
    }

    /// Records the start of a load on an engine in this incarnation.
    pub fn begin(&mut self, planned: PlannedLoad, incarnation: Incarnation) {
        self.in_progress = Some((planned, incarnation));
    }

    /// Records the observed incarnation of an engine. A new incarnation during a load counts as a failure of
    /// that load. Returns the load if it has failed [`MAX_FAILURES`] times and is given up.
    pub fn observe(
        &mut self,
        engine: &EngineName,
        incarnation: Incarnation,
    ) -> Option<PlannedLoad> {
        let (planned, started_in) = self.in_progress.as_mut()?;
        if planned.engine != *engine || *started_in == incarnation {
            return None;
        }
        *started_in = incarnation;
        let failures = self.failures.entry(planned.load.clone()).or_default();
        *failures += 1;
        if *failures < MAX_FAILURES {
            return None;
        }
        self.in_progress.take().map(|(planned, _)| planned)
    }

    /// Records the end of the load in progress.
    pub fn finish(&mut self) {
        self.in_progress = None;
    }

    /// Forgets all failures, so that every load may be attempted again. Called when the operators change the
    /// desired state.
    pub fn reset(&mut self) {
        *self = Self::default();
    }
}
