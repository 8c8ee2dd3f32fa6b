//! Properties of the rollout of models, versions and adapters.

use proptest::prelude::*;
use tansyhall_core::{AdapterName, EngineName, Incarnation, ModelName, VersionName};
use tansyhall_planner::{plan_loads, DesiredLoads, Load, LoadedEngine, PlannedLoad, RolloutGuard};

fn engine(index: usize, model: &str, version: &str) -> LoadedEngine {
    LoadedEngine {
        name: EngineName::new(format!("engine-{index}")),
        model: ModelName::from(model),
        version: VersionName::from(version),
        adapters: Vec::new(),
    }
}

fn desired(versions: &[&str], adapters: &[&str]) -> DesiredLoads {
    DesiredLoads {
        model: ModelName::from("base"),
        versions: versions
            .iter()
            .map(|name| VersionName::from(*name))
            .collect(),
        adapters: adapters
            .iter()
            .map(|name| AdapterName::from(*name))
            .collect(),
    }
}

fn carry_out(engines: &mut [LoadedEngine], planned: PlannedLoad) {
    let engine = engines
        .iter_mut()
        .find(|engine| engine.name == planned.engine);
    let engine = engine.expect("the plan names an engine outside the pool");
    match planned.load {
        Load::Model { model, version } => {
            engine.model = model;
            engine.version = version;
            engine.adapters.clear();
        }
        Load::Adapter(adapter) => engine.adapters.push(adapter),
    }
}

#[test]
fn nothing_is_loaded_if_any_version_is_allowed() {
    let engines = [engine(0, "base", "7"), engine(1, "base", "8")];
    assert_eq!(plan_loads(&engines, &desired(&[], &[])), None);
}

#[test]
fn a_new_version_takes_one_engine_and_the_default_version_keeps_the_others() {
    let mut engines: Vec<_> = (0..4).map(|index| engine(index, "base", "1")).collect();
    let desired = desired(&["1", "2"], &[]);
    let planned =
        plan_loads(&engines, &desired).expect("no load was planned although version 2 is missing");
    carry_out(&mut engines, planned);
    assert_eq!(plan_loads(&engines, &desired), None);
    let canaries = engines
        .iter()
        .filter(|engine| engine.version.as_str() == "2")
        .count();
    assert_eq!(canaries, 1);
}

#[test]
fn a_load_that_crashes_its_engine_twice_is_not_retried() {
    let engines = [engine(0, "base", "1")];
    let planned = plan_loads(&engines, &desired(&["2"], &[]))
        .expect("no load was planned although version 2 is wanted");
    let mut guard = RolloutGuard::default();
    guard.begin(planned.clone(), Incarnation(1));
    assert_eq!(guard.observe(&planned.engine, Incarnation(1)), None);
    assert_eq!(guard.observe(&planned.engine, Incarnation(2)), None);
    assert!(guard.allows(&planned.load));
    assert_eq!(
        guard.observe(&planned.engine, Incarnation(3)),
        Some(planned.clone())
    );
    assert!(!guard.allows(&planned.load));
    guard.reset();
    assert!(guard.allows(&planned.load));
}

proptest! {
    #[test]
    fn a_rollout_ends_in_the_desired_state(
        present in prop::collection::vec((0..2_usize, 0..4_usize), 1..8),
        wanted in prop::sample::subsequence(vec!["0", "1", "2", "3"], 0..4),
        adapters in prop::sample::subsequence(vec!["slips", "verdicts"], 0..2),
    ) {
        let mut engines: Vec<LoadedEngine> = present
            .iter()
            .enumerate()
            .map(|(index, (model, version))| {
                engine(index, ["base", "old"][*model], ["0", "1", "2", "3"][*version])
            })
            .collect();
        let desired = desired(&wanted, &adapters);
        let max_loads = engines.len() * (2 + adapters.len()) + wanted.len();
        let mut loads = 0;
        while let Some(planned) = plan_loads(&engines, &desired) {
            carry_out(&mut engines, planned);
            loads += 1;
            prop_assert!(loads <= max_loads);
        }
        for engine in &engines {
            prop_assert_eq!(&engine.model, &desired.model);
            prop_assert!(wanted.is_empty() || desired.versions.contains(&engine.version));
            prop_assert!(desired.adapters.iter().all(|name| engine.adapters.contains(name)));
        }
        let served = |version: &VersionName| engines.iter().any(|engine| engine.version == *version);
        let enough = engines.len() >= desired.versions.len();
        prop_assert!(!enough || desired.versions.iter().all(served));
    }
}
