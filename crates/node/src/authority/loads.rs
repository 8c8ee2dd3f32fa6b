//! Rollout of models, versions and adapters to a pool's engines: carries out the planner's loads by
//! the observed engine states, and stops when an engine crashes on the same load again.

use tansyhall_authority::Goal;
use tansyhall_config::Pool;
use tansyhall_core::{AdapterName, EngineName, Incarnation, VersionName};
use tansyhall_engine::protocol::EngineState;
use tansyhall_planner::{plan_loads, DesiredLoads, Load, LoadedEngine, RolloutGuard};

use crate::state::Node;

/// The rollout of one pool.
#[derive(Debug, Default)]
pub struct PoolRollout {
    desired: Option<DesiredLoads>,
    guard: RolloutGuard,
}

impl PoolRollout {
    /// Starts the next load and returns its engine and goal. Called when no change is in progress.
    pub fn start_next_load(&mut self, node: &Node, pool: &Pool) -> Option<(EngineName, Goal)> {
        let desired = desired_loads(pool)?;
        if self.desired.as_ref() != Some(&desired) {
            self.guard.reset();
            self.desired = Some(desired.clone());
        }
        self.guard.finish();
        let observed = observed_states(node, pool);
        if observed.len() < pool.backends.len() {
            return None;
        }
        let engines: Vec<LoadedEngine> = observed.iter().map(loaded_engine).collect();
        let planned = plan_loads(&engines, &desired)?;
        if !self.guard.allows(&planned.load) {
            return None;
        }
        log::info!(
            "engine {} will load {}",
            planned.engine,
            load_text(&planned.load)
        );
        let incarnation = incarnation_of(&observed, &planned.engine)?;
        let next = (planned.engine.clone(), goal_of(&planned.load));
        self.guard.begin(planned, incarnation);
        Some(next)
    }

    /// Returns the engine whose load has just failed again; the rollout stops.
    pub fn stop_if_failed_again(&mut self, node: &Node, pool: &Pool) -> Option<EngineName> {
        let observed = observed_states(node, pool);
        let guard = &mut self.guard;
        let failed = |state: &EngineState| guard.observe(&state.engine, state.incarnation);
        let planned = observed.iter().find_map(failed)?;
        log::warn!(
            "pool {}: loading {} failed again; the rollout stops",
            pool.name,
            load_text(&planned.load)
        );
        node.metrics.rollouts_stopped.inc();
        Some(planned.engine)
    }
}

fn desired_loads(pool: &Pool) -> Option<DesiredLoads> {
    Some(DesiredLoads {
        model: pool.model.clone()?,
        versions: pool.versions.clone(),
        adapters: pool.adapters.clone(),
    })
}

fn observed_states(node: &Node, pool: &Pool) -> Vec<EngineState> {
    node.with_engines(|engines| {
        let states = pool.backends.iter().filter_map(|backend| {
            let state = engines.get(&backend.name)?.state.as_ref()?;
            // The engine may report another name for itself; the pool's name for it is used.
            Some(EngineState {
                engine: backend.name.clone(),
                ..state.clone()
            })
        });
        states.collect()
    })
}

fn loaded_engine(state: &EngineState) -> LoadedEngine {
    LoadedEngine {
        name: state.engine.clone(),
        model: state.model.clone(),
        version: VersionName::new(state.version.as_str()),
        adapters: state
            .adapters
            .iter()
            .map(|name| AdapterName::new(name.as_str()))
            .collect(),
    }
}

fn incarnation_of(observed: &[EngineState], engine: &EngineName) -> Option<Incarnation> {
    let state = observed.iter().find(|state| state.engine == *engine);
    state.map(|state| state.incarnation)
}

fn goal_of(load: &Load) -> Goal {
    match load {
        Load::Model { model, version } => Goal::Model {
            model: model.clone(),
            version: version.to_string(),
        },
        Load::Adapter(adapter) => Goal::Adapter(adapter.to_string()),
    }
}

fn load_text(load: &Load) -> String {
    match load {
        Load::Model { model, version } => format!("model {model} version {version}"),
        Load::Adapter(adapter) => format!("adapter {adapter}"),
    }
}
