//! One emulated engine.

use tansyhall_core::{Role, Timestamp};
use tansyhall_engine_model::{Batch, CostModel};
use tansyhall_routing::LoadSnapshot;

/// What an engine is doing about work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EngineMode {
    /// Takes work.
    Serving,
    /// Takes no new work; changes to the role once idle.
    Draining(Role),
    /// Away for a change to the role.
    Changing(Role),
    /// Crashed.
    Down,
}

/// An engine and its batch.
pub struct EmulatedEngine {
    /// The batch.
    pub batch: Batch,
    /// The role in force.
    pub role: Role,
    /// What it is doing.
    pub mode: EngineMode,
    /// Grows with each crash.
    pub incarnation: u32,
    /// Whether an iteration is under way.
    pub iterating: bool,
    /// Prompt tokens accepted since the start.
    pub accepted_prompt_tokens: f64,
    costs: CostModel,
}

impl EmulatedEngine {
    /// An idle engine.
    pub fn new(costs: CostModel, role: Role) -> Self {
        let mut batch = Batch::new(costs);
        batch.set_role(role);
        Self {
            batch,
            role,
            mode: EngineMode::Serving,
            incarnation: 0,
            iterating: false,
            accepted_prompt_tokens: 0.0,
            costs,
        }
    }

    /// Whether it takes new work.
    pub fn accepts_work(&self) -> bool {
        self.mode == EngineMode::Serving
    }

    /// The present load.
    pub fn snapshot(&self, now: Timestamp) -> LoadSnapshot {
        let decoding = self.batch.decoding();
        LoadSnapshot {
            taken_at: now,
            decoding: decoding as f64,
            waiting: (self.batch.len() - decoding) as f64,
            pending_prefill_tokens: self.batch.pending_prefill_tokens() as f64,
            free_sequences: self.batch.free_sequences() as f64,
            accepted_prompt_tokens: self.accepted_prompt_tokens,
        }
    }

    /// Loses everything.
    pub fn crash(&mut self) {
        self.batch = Batch::new(self.costs);
        self.batch.set_role(self.role);
        self.mode = EngineMode::Down;
        self.incarnation += 1;
        self.iterating = false;
        self.accepted_prompt_tokens = 0.0;
    }

    /// Plays a new role.
    pub fn take_role(&mut self, role: Role) {
        self.role = role;
        self.batch.set_role(role);
        self.mode = EngineMode::Serving;
    }
}
